package oriole

import "slices"

// NoServer marks a slice that no server of its group owns.
const NoServer = -1

// Table maps the slices of one group to its servers. Owner[i] is an index into
// the group's servers, or [NoServer]; i counts the group's slices from 0.
type Table struct {
	Seq   uint64
	Owner []int
}

// Clone returns a copy of t that shares nothing with it.
func (t Table) Clone() Table {
	return Table{Seq: t.Seq, Owner: slices.Clone(t.Owner)}
}

// Owned returns the slices, as indexes within the group, that server owns.
func (t Table) Owned(server int) []int {
	var owned []int
	for i, owner := range t.Owner {
		if owner == server {
			owned = append(owned, i)
		}
	}
	return owned
}

// Counts returns how many slices each of n servers owns.
func (t Table) Counts(n int) []int {
	counts := make([]int, n)
	for _, owner := range t.Owner {
		if owner >= 0 && owner < n {
			counts[owner]++
		}
	}
	return counts
}

// Record is the object that the store keeps for one group. Only a conditional
// update changes it.
type Record struct {
	Group  GroupID
	Term   Term
	Keeper GatewayID
	Deputy GatewayID
	// Round counts the deputies of the term.
	Round uint64
	// Doubt says that gateways or servers of an earlier term may hold leases
	// or a newer table that this record does not show.
	Doubt bool
	// Down marks the servers that get no lease until a later record clears
	// the mark. It may be shorter than the list of servers.
	Down  []bool
	Table Table
}

// IsDown reports whether the server is marked down.
func (r Record) IsDown(server int) bool {
	return server < len(r.Down) && r.Down[server]
}

// Clone returns a copy of r that shares nothing with it.
func (r Record) Clone() Record {
	r.Table = r.Table.Clone()
	r.Down = slices.Clone(r.Down)
	return r
}

// Equal reports whether r and other hold the same values. It settles whether a
// write whose answer was lost took effect.
func (r Record) Equal(other Record) bool {
	return r.Group == other.Group &&
		r.Term == other.Term &&
		r.Keeper == other.Keeper &&
		r.Deputy == other.Deputy &&
		r.Round == other.Round &&
		r.Doubt == other.Doubt &&
		slices.Equal(r.Down, other.Down) &&
		r.Table.Seq == other.Table.Seq &&
		slices.Equal(r.Table.Owner, other.Table.Owner)
}

// View is what every gateway must know of a group to forward requests to it.
type View struct {
	Group  GroupID
	Term   Term
	Keeper GatewayID
	Deputy GatewayID
}

// Newer reports whether v replaces old.
func (v View) Newer(old View) bool {
	if v.Term != old.Term {
		return v.Term > old.Term
	}
	return v.Deputy != old.Deputy
}
