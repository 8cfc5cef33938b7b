// Package oriole holds the core types of orioleswitch and the interfaces of
// everything whose behaviour varies. Implementations live in packages below it;
// none of the types here starts a goroutine or does I/O.
//
// Each request to a sharded service carries a shard key. The service's
// [Assignment] maps ranges of shard keys to upstreams. It is written by the
// service's leader, one of the gateways, and stored by conditional update. The
// upstreams of all services are grouped into pools, see [PoolID]; each pool has
// a dispatcher, the gateway through which its requests are sent.
package oriole
