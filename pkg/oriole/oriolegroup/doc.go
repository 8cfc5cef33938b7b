// Package oriolegroup decides, for one gateway and one group of servers, who
// is in charge of the group and which server owns which slice.
//
// A [Machine] is a pure step function: it takes the time and a typed event and
// returns typed effects in a fixed order. It holds no goroutine, does no I/O
// and reads no clock. docs/OWNERSHIP.md describes the protocol and
// spec/ownership.pml is its model.
//
// Three rules carry the safety of the protocol:
//
//   - A server accepts grants of the highest term it has seen, and of no lower
//     one, so two gateways can never both have work accepted by it.
//   - A slice leaves a server only by the server's own release, or when every
//     lease that any gateway may have given it has lapsed.
//   - A holder counts a lease from before it asked, and a granter from after
//     it was asked, each on its own monotonic clock, with a margin for drift.
package oriolegroup
