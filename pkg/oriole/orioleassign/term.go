package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolekeeper"
)

// RightsEnd returns the term below which this gateway renews nothing any more.
func (m *Machine) RightsEnd() uint64 {
	if m.leaving || (m.stored.Leader == m.cfg.Self && m.resigned == m.stored.Term) {
		return m.stored.Term + 1
	}
	return m.stored.Term
}

// Fed takes that a peer reaches the store.
func (m *Machine) Fed(now time.Time) { m.fed = now }

// resign gives up the lead if this gateway can't reach the store and others
// can: they may change owners, and renew as well.
func (m *Machine) resign(now time.Time) {
	away := !m.awaySince.IsZero() && now.Sub(m.awaySince) >= awayAfter
	if away && now.Sub(m.fed) < fedFor {
		m.stepDown("the store can't be reached, but by others")
		m.resigned = m.stored.Term
	}
}

// Leave ends the gateway's part: it orders nothing any more.
func (m *Machine) Leave(now time.Time) {
	m.leaving = true
	m.stepDown("leaving")
}

// told takes an assignment as its leader tells of it.
func (m *Machine) told(a oriole.Assignment) {
	if !m.known || a.Newer(&m.stored) {
		m.learn(a, 0, false)
	}
}

// learn replaces what is known of the assignment.
func (m *Machine) learn(a oriole.Assignment, version oriole.Version, exact bool) {
	if m.leading && (a.Term != m.stored.Term || a.Leader != m.cfg.Self) {
		m.stepDown("another gateway leads")
	}
	m.stored, m.version, m.known, m.exact = a, version, true, exact
}

func (m *Machine) stepDown(why string) {
	if m.leading {
		m.note("step-down", Note{Detail: why})
	}
	m.leading = false
	m.writing = nil
	m.leases = nil
	m.goneSince = time.Time{}
	clear(m.prior)
	clear(m.calls)
	clear(m.holders)
}

// lead begins a term that the store has confirmed.
func (m *Machine) lead(now time.Time, a oriole.Assignment) {
	m.stored, m.known = a, true
	m.leading = true
	m.seq, m.dirty = a.Seq, false
	m.goneSince = time.Time{}
	m.planDue = now
	clear(m.prior)
	clear(m.holders)
	clear(m.calls)
	for _, g := range a.Prior {
		m.prior[g] = true
	}
	m.horizon = now
	if len(m.prior) > 0 {
		m.horizon = now.Add(m.cfg.Right)
	}
	m.leases = follow(nil, a.Ranges, m.horizon, now)
	m.note("lead", Note{Fence: a.Fence, Detail: "term begins"})
	m.settlePrior(now, nil)
	m.tell()
}

// commit makes a change of the table take effect that the store has confirmed.
func (m *Machine) commit(now time.Time, a oriole.Assignment, version oriole.Version) {
	m.version, m.exact = version, true
	m.leases = follow(m.leases, a.Ranges, m.horizon, now)
	m.stored = a
	m.settleGivers(now)
	m.tell()
}

func (m *Machine) tell() {
	a := m.stored.Clone()
	m.out = append(m.out, Effect{Tell: &a})
}

// Heard takes a gateway's word that it renews nothing below the term.
func (m *Machine) Heard(now time.Time, peer oriole.GatewayID, rightsEnd uint64) {
	if m.leading && m.prior[peer] && rightsEnd >= m.stored.Term {
		m.settlePrior(now, &peer)
	}
	if !m.leading && peer == m.stored.Leader && rightsEnd > m.stored.Term {
		m.resigned = m.stored.Term
	}
}

// settlePrior crosses off the earlier leader that has given its word, and
// those that have certainly ended. Once none is left, no grant but this
// leader's is under way.
func (m *Machine) settlePrior(now time.Time, word *oriole.GatewayID) {
	if !m.leading || len(m.prior) == 0 {
		return
	}
	for g := range m.prior {
		if m.ended(g) || (word != nil && *word == g) {
			delete(m.prior, g)
		}
	}
	if !m.horizon.After(now) {
		// Their right has run out.
		clear(m.prior)
		return
	}
	if len(m.prior) > 0 {
		return
	}
	m.horizon = now
	for i := range m.leases {
		l := &m.leases[i]
		l.sent = earlier(l.sent, now)
		for j := range l.givers {
			l.givers[j].sent = earlier(l.givers[j].sent, now)
		}
	}
}

// ended reports whether the gateway's process is over for certain: its VM runs
// a later one.
func (m *Machine) ended(g oriole.GatewayID) bool {
	for id := range m.world.Gateways {
		if id.Succeeds(g) {
			return true
		}
	}
	return m.cfg.Self.Succeeds(g)
}

// follow keeps a gateway that does not lead up to date, and makes it a
// candidate when the leader is gone.
func (m *Machine) follow(now time.Time) {
	if !m.readDue.After(now) {
		m.read(now, m.known)
	}
	if m.writing != nil || m.reading || !m.known || !m.world.Listed || now.Sub(m.start) < startWait {
		return
	}
	if m.stored.Leader == m.cfg.Self && m.resigned != m.stored.Term && !m.writeDue.After(now) {
		m.read(now, false)
		return
	}
	if !m.leaderGone() {
		m.goneSince = time.Time{}
		return
	}
	if m.goneSince.IsZero() {
		m.goneSince = now
	}
	rank := slices.Index(oriolekeeper.Leaders(m.cfg.Service, m.world.Members()), m.cfg.Self)
	if rank < 0 || now.Sub(m.goneSince) < time.Duration(rank)*rankWait || m.writeDue.After(now) {
		return
	}
	if !m.exact {
		m.read(now, false)
		return
	}
	m.claim(now)
}

// leaderGone reports whether nobody leads that is listed, heard and staying.
func (m *Machine) leaderGone() bool {
	leader, listed := m.world.Gateways[m.stored.Leader]
	return m.stored.Leader == "" || (m.stored.Term > 0 && m.resigned == m.stored.Term) || !listed || leader.Leaving || !m.world.Alive[m.stored.Leader]
}

// claim writes an assignment that makes this gateway the leader.
func (m *Machine) claim(now time.Time) {
	next := m.stored.Clone()
	if len(next.Ranges) == 0 && now.Sub(m.changed) < firstWait {
		return
	}
	if len(next.Ranges) == 0 {
		targets := m.targets(now, true)
		if len(targets) == 0 {
			return
		}
		next.Ranges = initial(targets)
	}
	// Owners may have started anew under their IDs, and then must not get the
	// fences that they had.
	next.Fence++
	for i := range next.Ranges {
		next.Ranges[i].Fence = next.Fence
	}
	if next.Leader != "" && !slices.Contains(next.Prior, next.Leader) {
		next.Prior = append(next.Prior, next.Leader)
	}
	next.Prior = slices.DeleteFunc(next.Prior, func(g oriole.GatewayID) bool { return m.ended(g) || g == m.cfg.Self })
	next.Leader = m.cfg.Self
	next.Term++
	next.Seq = 1
	m.write(now, next)
}
