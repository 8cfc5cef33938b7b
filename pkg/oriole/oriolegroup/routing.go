package oriolegroup

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Routing returns the present routing.
func (m *Machine) Routing() *oriole.Routing {
	k := m.keeper
	if k == nil {
		return &oriole.Routing{}
	}
	r := &oriole.Routing{
		Keeper:      true,
		Term:        k.term,
		Owner:       slices.Clone(k.table.Owner),
		Until:       make([]time.Time, len(k.servers)),
		Incarnation: make([]uint64, len(k.servers)),
		Lost:        make([]bool, len(k.servers)),
		Out:         make([]bool, len(k.servers)),
		Closing:     k.handingOver,
	}
	for i := range k.servers {
		r.Until[i] = m.workUntil(&k.servers[i])
		r.Incarnation[i] = k.servers[i].incarnation
		r.Lost[i] = k.servers[i].lost
		r.Out[i] = m.isOut(i)
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
