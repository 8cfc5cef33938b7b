package oriole

import "net/netip"

// GatewayID names one run of a gateway process. A restarted process takes a
// new ID, so that it can never use a lease of its predecessor.
type GatewayID string

// ServerID names an upstream. It is unique over all services of one settings
// file.
type ServerID string

// ServiceName names a service that callers address.
type ServiceName string

// ZoneName names an availability zone.
type ZoneName string

// GroupID names a group of servers of one service that share a keeper.
type GroupID string

// Slice is the index of a key range within its service, from 0.
type Slice uint32

// Term counts the keepers of a group. Even terms are committed in the store;
// the odd term after an even one is reserved for that term's deputy, for use
// while the store is away.
type Term uint64

// NextStored returns the lowest term above t that a store write may take.
func (t Term) NextStored() Term { return t&^1 + 2 }

// Reserved returns the term that the deputy of the stored term t may take
// without the store.
func (t Term) Reserved() Term { return t&^1 + 1 }

// Stored reports whether t is a term that a store write commits.
func (t Term) Stored() bool { return t&1 == 0 }

// Version is the store's version of an object; 0 means that it does not exist.
type Version uint64

// Member is one gateway as the platform's list or a peer reports it.
type Member struct {
	ID      GatewayID
	Zone    ZoneName
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Leaving bool
}

// Upstream is the fixed description of one server.
type Upstream struct {
	ID   ServerID
	Zone ZoneName
	Addr netip.AddrPort
}
