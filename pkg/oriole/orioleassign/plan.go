package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// targets returns the upstreams that may own ranges. For the first assignment
// every usable one may; later, those that own ranges and answer, and those
// that a probe has reached.
func (m *Machine) targets(now time.Time, first bool) []target {
	var targets []target
	for _, u := range m.world.UsableOf(m.cfg.Service) {
		h := m.holder(u.Life())
		reached := first || m.owns(u.Life()) || now.Sub(h.probed) < probedFor
		if !reached || h.down || h.ended {
			continue
		}
		targets = append(targets, m.target(now, u))
	}
	return targets
}

// target returns what the upstream can serve.
func (m *Machine) target(now time.Time, u oriole.Upstream) target {
	span := m.holder(u.Life()).span
	if span <= 0 {
		span = usualSpan
	}
	t := target{life: u.Life(), span: span, capacity: float64(u.Slots) / span.Seconds()}
	if u.ColdUntil.After(now) {
		t.capacity = min(t.capacity, m.coldRate()*coldCapacity)
	}
	return t
}

// coldRate returns the requests a second that a cold upstream of the service
// bears.
func (m *Machine) coldRate() float64 {
	if m.world.Config != nil {
		if rate := m.world.Config.Services[m.cfg.Service].ColdRate; rate > 0 {
			return rate
		}
	}
	return usualColdRate
}

// AddSpan takes how long requests run at an upstream.
func (m *Machine) AddSpan(id oriole.ServerID, span time.Duration) {
	if u, found := m.world.Upstreams[id]; found && span > 0 {
		m.holder(u.Life()).span = span
	}
}

// plan writes the next table if owners are lost or load is uneven.
func (m *Machine) plan(now time.Time) {
	if m.writing != nil || m.writeDue.After(now) || !m.exact || !m.entitled(now) || !m.world.Listed {
		return
	}
	targets := m.targets(now, false)
	due := !m.planDue.After(now)
	var s *spreader
	refence := !m.refenceDue.After(now)
	if due || m.disordered(targets, refence) {
		m.load.Age(now)
		s = newSpreader(m.stored.Ranges, targets, m.load.profile())
		s.rescue()
		if refence {
			s.refence(m.leases)
			m.refenceDue = now.Add(refenceWait)
		}
	}
	if due {
		m.planDue = now.Add(planWait)
		s.balance()
	}
	changed := s != nil && s.changed
	if !changed && !m.dirty {
		return
	}
	next := m.stored.Clone()
	if changed {
		s.merge()
		next.Ranges = s.ranges
		next.Fence++
		for i := range next.Ranges {
			if next.Ranges[i].Fence == 0 {
				next.Ranges[i].Fence = next.Fence
			}
		}
	}
	next.Prior = m.unsettled()
	m.seq++
	next.Seq = m.seq
	m.dirty = false
	m.write(now, next)
}

// disordered reports whether an owner may not serve its range, or, if fences
// may be replaced, whether one is spent.
func (m *Machine) disordered(targets []target, refence bool) bool {
	if len(targets) == 0 {
		return false
	}
	lives := make(map[oriole.Life]bool, len(targets))
	for _, t := range targets {
		lives[t.life] = true
	}
	return slices.ContainsFunc(m.leases, func(l lease) bool { return (refence && l.spent) || !lives[l.Owner] })
}

// unsettled returns the earlier leaders that may still renew leases.
func (m *Machine) unsettled() []oriole.GatewayID {
	var prior []oriole.GatewayID
	for _, g := range m.stored.Prior {
		if m.prior[g] {
			prior = append(prior, g)
		}
	}
	return prior
}

// refence gives a new fence to ranges whose fence is spent.
func (s *spreader) refence(leases []lease) {
	for i := range s.ranges {
		r := &s.ranges[i]
		for j := range leases {
			l := &leases[j]
			if l.spent && l.First == r.First && l.Last == r.Last && l.Fence == r.Fence && r.Ready() {
				r.Fence = 0
				s.changed = true
			}
		}
	}
}
