// Package orioleassign assigns the keys of sharded services to upstreams.
//
// Each service has one leader among the gateways. Only the leader changes the
// service's assignment, by conditional update in the platform's store, and only
// the leader grants leases on key ranges to upstreams and has them released.
// [Machine] implements the leader, and the followers that may replace it, as a
// pure state machine: it starts no goroutine, does no I/O and reads no clock.
// docs/OWNERSHIP.md explains why no key ever has two owners.
package orioleassign
