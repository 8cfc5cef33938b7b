package oriolegroup

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// probeInterval is the time between health probes of servers that do not
// check grants: each probe costs such a server the work of several requests.
const probeInterval = time.Second

// serverState is what a keeper knows of one server.
type serverState struct {
	// mark is the server's newest clock reading, asked for at markSent and
	// received at markRecv.
	mark     time.Duration
	markSent time.Time
	markRecv time.Time

	incarnation uint64
	number      uint64
	waiting     bool
	sentAt      time.Time

	// fenced says that the server has accepted this keeper's term.
	fenced bool
	// leaseEnd is when every lease given under this term has surely lapsed.
	leaseEnd time.Time
	// foreignUntil is until when other gateways may have renewed the server's
	// lease, as long as it has not accepted this term.
	foreignUntil time.Time

	// heldUntil is until when the server surely holds the lease on owned.
	heldUntil time.Time
	owned     []int
	// accepted is the number of the newest grant that the server accepted.
	accepted uint64
	// releaseFrom is the newest grant that may still hold a slice that moves.
	releaseFrom uint64

	// draining is the server's own word.
	draining     bool
	failingSince time.Time
	lost         bool
	stable       time.Time

	// reported tells what the server held before this term.
	reportSeq   uint64
	reportOwned []int
	reportHeld  bool
}

// renewLeases sends every server its lease, or a request for its clock.
func (m *Machine) renewLeases(now time.Time) {
	k := m.keeper
	for i := range k.servers {
		s := &k.servers[i]
		if s.waiting && now.Sub(s.sentAt) < m.cfg.Timing.Silence {
			continue
		}
		if m.cfg.Fenced && !m.renewalDue(now, i) {
			continue
		}
		healthy := s.failingSince.IsZero()
		if !m.cfg.Fenced && healthy && now.Sub(s.sentAt) < probeInterval {
			continue
		}
		m.sendGrant(now, i)
	}
}

func (m *Machine) sendGrant(now time.Time, server int) {
	k := m.keeper
	s := &k.servers[server]
	s.number++
	s.waiting = true
	s.sentAt = now
	grant := oriole.Grant{
		Group:  m.cfg.Group,
		Server: server,
		Term:   k.term,
		Number: s.number,
		Seq:    k.table.Seq,
	}
	span := m.span(now, s)
	if span > 0 && m.mayHold(server) {
		grant.Mark = s.mark
		grant.Incarnation = s.incarnation
		grant.Span = span
		grant.Owned = m.grantable(server)
		s.leaseEnd = later(s.leaseEnd, s.markRecv.Add(m.cfg.Timing.stretch(span)))
	}
	m.emit(SendGrant{Grant: grant})
}

// renewals is how many times within its span a lease is renewed, so that two
// renewals in a row may be lost.
const renewals = 4

// renewalDue reports whether the server's lease is due for renewal, or does
// not say what it should.
func (m *Machine) renewalDue(now time.Time, server int) bool {
	s := &m.keeper.servers[server]
	urgent := !s.fenced || s.lost || !s.failingSince.IsZero() || !now.Before(s.heldUntil)
	if urgent || now.Sub(s.sentAt) >= m.cfg.Timing.Lease/renewals {
		return true
	}
	return !slices.Equal(s.owned, m.grantable(server))
}

// mayHold reports whether the server may get a lease. A server of a group in
// doubt gets none before its slices are proven: the lease that it reports is
// part of the proof.
func (m *Machine) mayHold(server int) bool {
	return !m.rec.IsDown(server) && !slices.Contains(m.keeper.safe, false)
}

// span returns the span of a lease that counts from the server's newest mark
// and ends with the keeper's authority, or 0 if none may be given.
func (m *Machine) span(now time.Time, s *serverState) time.Duration {
	if s.mark == 0 || s.lost || !s.fenced || !m.cfg.Fenced {
		return 0
	}
	end := m.authorityEnd()
	if !now.Before(end) {
		return 0
	}
	return min(m.cfg.Timing.Lease, end.Sub(s.markRecv))
}

// grantable returns the slices that the server may serve now. A slice that a
// proposal takes away is not among them, even if its lost server has returned:
// the proposal may be in force already.
func (m *Machine) grantable(server int) []int {
	k := m.keeper
	var owned []int
	for slice, owner := range k.table.Owner {
		leaving := k.movingTo[slice] != oriole.NoServer || (k.proposal != nil && k.proposal.Owner[slice] != owner)
		if owner == server && k.safe[slice] && !leaving {
			owned = append(owned, slice)
		}
	}
	return owned
}

func (m *Machine) grantDone(now time.Time, e GrantDone) {
	k := m.keeper
	if k == nil || e.Grant.Term != k.term || e.Grant.Server < 0 || e.Grant.Server >= len(k.servers) {
		return
	}
	s := &k.servers[e.Grant.Server]
	if e.Grant.Number != s.number {
		return
	}
	s.waiting = false
	if e.Failed {
		m.serverFailed(s, s.sentAt)
		return
	}
	if e.Reply.Term > k.term {
		m.yieldTo(e.Reply.Term, "")
		m.read(now)
		return
	}
	m.serverAnswered(now, e.Grant.Server, s)
	m.takeReply(now, e, s)
	first := e.Grant.Mark == 0 && m.cfg.Fenced && s.fenced
	if first && m.span(now, s) > 0 {
		m.sendGrant(now, e.Grant.Server)
	}
}

// takeReply records the server's mark and, if it accepted, its lease.
func (m *Machine) takeReply(now time.Time, e GrantDone, s *serverState) {
	reply := e.Reply
	markSent := s.markSent
	s.mark = reply.Mark
	s.markSent = s.sentAt
	s.markRecv = now
	s.draining = reply.Draining
	if s.incarnation != reply.Incarnation {
		s.incarnation = reply.Incarnation
		s.heldUntil = time.Time{}
	}
	if m.cfg.Fenced && reply.Term == m.keeper.term && !s.fenced {
		s.fenced = true
		s.reportSeq = reply.Seq
		s.reportOwned = reply.Owned
		s.reportHeld = reply.Held
	}
	if reply.Accepted && e.Grant.Mark != 0 {
		s.heldUntil = markSent.Add(e.Grant.Span)
		s.owned = e.Grant.Owned
		s.accepted = e.Grant.Number
	}
}

func (m *Machine) serverFailed(s *serverState, since time.Time) {
	if s.failingSince.IsZero() {
		s.failingSince = since
	}
}

func (m *Machine) serverAnswered(now time.Time, server int, s *serverState) {
	s.failingSince = time.Time{}
	if s.lost {
		s.lost = false
		m.note(NoteServerBack, server, 0)
	}
	if s.stable.IsZero() {
		s.stable = now
	}
}

// serverSuspect asks a server at once that requests could not reach.
func (m *Machine) serverSuspect(now time.Time, server int) {
	k := m.keeper
	if k == nil || server < 0 || server >= len(k.servers) {
		return
	}
	s := &k.servers[server]
	m.serverFailed(s, now)
	if !s.waiting {
		m.sendGrant(now, server)
	}
}

// forgiveSilence restarts the count of silence for everyone this gateway waits
// for.
func (m *Machine) forgiveSilence(now time.Time) {
	if m.keeper == nil {
		return
	}
	m.keeper.ackAt = now
	for i := range m.keeper.servers {
		s := &m.keeper.servers[i]
		if !s.failingSince.IsZero() && !s.lost {
			s.failingSince = now
		}
	}
}

func (m *Machine) detectLosses(now time.Time) {
	for i := range m.keeper.servers {
		s := &m.keeper.servers[i]
		if s.lost || s.failingSince.IsZero() || now.Sub(s.failingSince) <= m.cfg.Timing.Silence {
			continue
		}
		s.lost = true
		s.stable = time.Time{}
		if !m.cfg.Fenced {
			s.leaseEnd = now.Add(m.cfg.Timing.stretch(m.cfg.Timing.Work))
		}
		m.note(NoteServerLost, i, len(m.keeper.table.Owned(i)))
	}
}

// lapsed reports whether a lost server's lease has certainly ended, so that
// its slices may go to another server.
func (m *Machine) lapsed(now time.Time, s *serverState) bool {
	return s.lost && now.After(s.leaseEnd) && now.After(m.foreignEnd(s))
}

// foreignEnd returns until when others may have renewed the server's lease.
func (m *Machine) foreignEnd(s *serverState) time.Time {
	if s.fenced || s.foreignUntil.IsZero() {
		return time.Time{}
	}
	if !m.cfg.Fenced {
		return s.foreignUntil.Add(m.cfg.Timing.stretch(m.cfg.Timing.Work))
	}
	return s.foreignUntil
}
