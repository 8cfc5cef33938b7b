// Package orioleassign decides who owns the keys of a divided service.
//
// Each service has one leader among the gateways. It alone changes the
// service's assignment, by conditional update in the platform's store, and
// orders the upstreams to take and give up ranges. [Machine] is the leader's
// and the candidates' side as pure steps: it holds no goroutine, does no I/O
// and reads no clock. docs/OWNERSHIP.md tells why no key has two owners.
package orioleassign
