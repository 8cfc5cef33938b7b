package oriolegroup

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Routing is what a keeper's request path needs of the machine. It is
// immutable.
type Routing struct {
	Keeper bool
	Term   oriole.Term
	// Owner maps each slice of the group to the server that serves it now, or
	// [oriole.NoServer] while requests have to wait.
	Owner []int
	// Until tells for each server until when work may be sent to it.
	Until []time.Time
	// Incarnation tells servers that started anew from those that went on.
	Incarnation []uint64
	// Out marks the servers that get no new work unless they own its slice.
	Out []bool
	// Closing says that the keeper hands the group over and starts no work.
	Closing bool
}

// Serves reports whether work may be sent to the server at the time.
func (r *Routing) Serves(server int, now time.Time) bool {
	return r.Keeper && !r.Closing && now.Before(r.Until[server])
}

// Routing returns the present routing.
func (m *Machine) Routing() *Routing {
	k := m.keeper
	if k == nil {
		return &Routing{}
	}
	r := &Routing{
		Keeper:      true,
		Term:        k.term,
		Owner:       slices.Clone(k.table.Owner),
		Until:       make([]time.Time, len(k.servers)),
		Incarnation: make([]uint64, len(k.servers)),
		Out:         slices.Clone(m.out),
		Closing:     k.handingOver,
	}
	for i := range k.servers {
		r.Until[i] = m.workUntil(&k.servers[i])
		r.Incarnation[i] = k.servers[i].incarnation
	}
	for slice, owner := range r.Owner {
		if owner == oriole.NoServer || !m.holds(owner, slice) {
			r.Owner[slice] = oriole.NoServer
		}
	}
	return r
}

// workUntil returns until when work may be sent to the server.
func (m *Machine) workUntil(s *serverState) time.Time {
	if m.cfg.Fenced {
		return s.heldUntil
	}
	if s.lost || s.mark == 0 || m.lastTick.Before(m.foreignEnd(s)) {
		return time.Time{}
	}
	return m.authorityEnd()
}

// holds reports whether the server is known to hold the slice and to keep it.
func (m *Machine) holds(server, slice int) bool {
	k := m.keeper
	if !k.safe[slice] || k.movingTo[slice] != oriole.NoServer {
		return false
	}
	if !m.cfg.Fenced {
		return true
	}
	_, found := slices.BinarySearch(k.servers[server].owned, slice)
	return found
}
