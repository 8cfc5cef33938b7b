// Package oriole holds the core types of orioleswitch and the interfaces of
// everything whose behaviour varies. Implementations live in packages below
// it; none of the types here starts a goroutine or does I/O.
//
// A service divided by key hashes each key into a [Slice]. Slices belong to a
// fixed [GroupID] of servers, and each group has one keeper: the only gateway
// that sends work and leases to the group's servers. The [Record] of a group
// names its keeper and is stored by conditional update.
package oriole
