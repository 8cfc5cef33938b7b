package orioleassign

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// maxConcurrentReleases bounds the concurrent release calls to one upstream,
// each of which waits for running requests to end.
const maxConcurrentReleases = 4

// holdsLeadership reports whether the leader's lease is still valid, so that it
// may call upstreams.
func (m *Machine) holdsLeadership(now time.Time) bool {
	return now.Before(m.confirmedAt.Add(m.cfg.LeaderLease))
}

// leaseExpiry returns the time at which all leases whose grants were sent by
// the given time have certainly expired, even by the slowest clock.
func (m *Machine) leaseExpiry(sent time.Time) time.Time {
	if sent.IsZero() {
		return sent
	}
	drift := time.Duration(float64(m.cfg.LeaseTTL) * m.cfg.MaxClockDrift)
	return sent.Add(m.cfg.LeaseTTL + drift + m.cfg.MaxCallDelay)
}

func (m *Machine) status(incarnation oriole.Incarnation) *upstreamStatus {
	st := m.upstreams[incarnation]
	if st == nil {
		st = &upstreamStatus{}
		m.upstreams[incarnation] = st
	}
	return st
}

// upstream returns the description of an incarnation, if the directory still
// has it or had it recently.
func (m *Machine) upstream(incarnation oriole.Incarnation) (oriole.Upstream, bool) {
	u, found := m.state.Upstreams[incarnation.ID]
	if found && u.Incarnation() == incarnation {
		return u, true
	}
	u, found = m.state.Departed[incarnation]
	return u, found
}

// successor returns the incarnation that has replaced an earlier one in the
// directory.
func (m *Machine) successor(incarnation oriole.Incarnation) (oriole.Incarnation, bool) {
	u, found := m.state.Upstreams[incarnation.ID]
	return u.Incarnation(), found && u.StartedAt.After(incarnation.StartedAt)
}

// incarnationEnded reports whether an incarnation has certainly ended.
func (m *Machine) incarnationEnded(incarnation oriole.Incarnation) bool {
	_, replaced := m.successor(incarnation)
	st := m.upstreams[incarnation]
	return replaced || (st != nil && st.ended)
}

// sendCalls requests the calls that are due.
func (m *Machine) sendCalls(now time.Time) {
	if !m.mayCall(now) {
		return
	}
	if m.dropPriorOwners(now) {
		m.publish()
	}
	for i := range m.leases {
		m.sendReleases(now, &m.leases[i])
	}
	m.sendGrants(now)
	m.sendSweep(now)
	m.sendProbes(now)
}

// dropPriorOwners removes the prior owners whose leases have ended, and
// replaces those that have restarted by their successors. It reports whether
// any lease changed.
func (m *Machine) dropPriorOwners(now time.Time) bool {
	changedAny := false
	for i := range m.leases {
		l := &m.leases[i]
		n := len(l.priorOwners)
		if n == 0 {
			continue
		}
		l.priorOwners = slices.DeleteFunc(l.priorOwners, func(p priorOwner) bool { return m.canDrop(now, l, p) })
		changed := len(l.priorOwners) < n
		changed = m.replaceRestarted(now, l) || changed
		if changed {
			m.priorOwnersChanged(now, l)
			changedAny = true
		}
	}
	return changedAny
}

// replaceRestarted replaces the prior owners that have restarted by their
// successors, since a call to one may have reached the other. It reports whether
// there were any.
func (m *Machine) replaceRestarted(now time.Time, l *lease) bool {
	replaced := false
	owners := l.priorOwners[:0:0]
	for _, p := range l.priorOwners {
		if next, found := m.successor(p.incarnation); found {
			p = priorOwner{incarnation: next, lastSent: p.lastSent, nextRelease: now, releaseSent: p.releaseSent}
			replaced = true
		}
		i := slices.IndexFunc(owners, func(o priorOwner) bool { return o.incarnation == p.incarnation })
		if i < 0 {
			owners = append(owners, p)
			continue
		}
		owners[i].lastSent = later(owners[i].lastSent, p.lastSent)
		owners[i].releaseSent = owners[i].releaseSent || p.releaseSent
	}
	l.priorOwners = owners
	return replaced
}

// canDrop reports whether the prior owner certainly holds no lease on keys of
// l, or has been replaced by the incarnation that owns l.
func (m *Machine) canDrop(now time.Time, l *lease, p priorOwner) bool {
	if m.callInFlight(callGrant, p.incarnation.ID, l.First, l.Last) {
		return false
	}
	if next, found := m.successor(p.incarnation); found && next == l.Owner {
		return true
	}
	if !p.repeatAnswered.IsZero() && now.After(p.repeatAnswered.Add(m.maxRequestDuration)) {
		return true
	}
	if now.After(m.leaseExpiry(p.lastSent)) {
		return true
	}
	// A grant that was under way when the incarnation ended may have reached the
	// next one.
	st := m.upstreams[p.incarnation]
	return st != nil && st.ended && !m.lastGrantDone[p.incarnation.ID].After(st.endedAt)
}

// priorOwnersChanged copies the lease's remaining prior owners to the
// assignment, and makes a grant due in case none is left.
func (m *Machine) priorOwnersChanged(now time.Time, l *lease) {
	l.PriorOwners = nil
	for _, p := range l.priorOwners {
		l.PriorOwners = append(l.PriorOwners, p.incarnation)
	}
	l.nextGrant = now
	i, found := rangeFrom(m.current.Ranges, l.First)
	if !found || m.current.Ranges[i].Fence != l.Fence {
		return
	}
	m.current = m.current.Clone()
	m.current.Ranges[i].PriorOwners = slices.Clone(l.PriorOwners)
	m.lastSeq++
	m.current.Seq = m.lastSeq
	m.dirty = true
}

// mayRelease reports whether another release may be sent to the upstream. If the last one
// found no connection, they are sent one at a time, and not as soon as the ranges of an
// upstream that answers: a lost one may be the prior owner of many.
func (st *upstreamStatus) mayRelease(now time.Time) bool {
	if !st.releaseFailedAt.IsZero() {
		return st.releasing == 0 && now.Sub(st.releaseFailedAt) >= failedReleaseDelay
	}
	return st.releasing < maxConcurrentReleases
}

// sendReleases requests the release calls that are due to prior owners of l.
func (m *Machine) sendReleases(now time.Time, l *lease) {
	for i := range l.priorOwners {
		p := &l.priorOwners[i]
		st := m.status(p.incarnation)
		if !p.repeatAnswered.IsZero() || p.nextRelease.After(now) || !st.mayRelease(now) {
			continue
		}
		to, found := m.upstream(p.incarnation)
		if !found || m.callInFlight(callRelease, p.incarnation.ID, l.First, l.Last) || !m.mayMove(now) {
			continue
		}
		repeated := p.releaseSent || m.releaseMayBePending(p.incarnation.ID, l.First, l.Last) || now.Before(m.lateReleasesUntil)
		p.releaseSent = true
		st.releasing++
		release := m.newCall(callRelease, to, *l, m.confirmedAt.Add(m.cfg.MoveLease))
		if repeated {
			c := m.calls[release.ID]
			c.repeated = true
			m.calls[release.ID] = c
		}
		m.effects = append(m.effects, Effect{Release: release})
	}
}

// sendGrants requests the earliest due grant for each upstream. It sends one
// grant at a time to each, so that they share one persistent connection.
func (m *Machine) sendGrants(now time.Time) {
	due := make(map[oriole.Incarnation]*lease)
	var owners []oriole.Incarnation
	for i := range m.leases {
		l := &m.leases[i]
		// Few leases are due at a time, and the lookups by owner cost the most.
		if l.nextGrant.After(now) || !l.Grantable() || l.fenceUnusable || m.incarnationEnded(l.Owner) || m.status(l.Owner).granting {
			continue
		}
		first := due[l.Owner]
		if first == nil {
			owners = append(owners, l.Owner)
		}
		if first == nil || l.nextGrant.Before(first.nextGrant) {
			due[l.Owner] = l
		}
	}
	for _, owner := range owners {
		l := due[owner]
		to, found := m.upstream(l.Owner)
		if !found {
			continue
		}
		sendBefore := earlier(now.Add(maxCallWait), m.confirmedAt.Add(m.cfg.LeaderLease))
		if !l.attempted {
			// An owner that has restarted since a new leader granted it the range
			// would accept this lower fencing token.
			if !m.mayMove(now) {
				continue
			}
			sendBefore = m.confirmedAt.Add(m.cfg.MoveLease)
		}
		m.status(l.Owner).granting = true
		grant := m.newCall(callGrant, to, *l, sendBefore)
		grant.Lease.TTL = m.cfg.LeaseTTL
		grant.Lease.Handover = l.handover
		grant.Lease.Conn = l.conn
		m.effects = append(m.effects, Effect{Grant: grant})
	}
}

// sendProbes requests probes of the upstreams without ranges: only those that
// can be reached are assigned any.
func (m *Machine) sendProbes(now time.Time) {
	owners := m.owners()
	for _, u := range m.state.UsableUpstreams(m.cfg.Service) {
		if owners[u.Incarnation()] {
			continue
		}
		st := m.status(u.Incarnation())
		if st.probing || st.granting || now.Sub(st.probedAt) < probeValidity || st.nextProbe.After(now) {
			continue
		}
		st.probing = true
		m.effects = append(m.effects, Effect{Probe: m.newCall(callProbe, u, lease{}, now.Add(maxCallWait))})
	}
}

// owners returns the incarnations that own ranges.
func (m *Machine) owners() map[oriole.Incarnation]bool {
	if m.ownerSet == nil {
		m.ownerSet = make(map[oriole.Incarnation]bool)
		for i := range m.leases {
			m.ownerSet[m.leases[i].Owner] = true
		}
	}
	return m.ownerSet
}

// setLeases replaces the leases.
func (m *Machine) setLeases(leases []lease) { m.leases, m.ownerSet, m.repairDue = leases, nil, true }

func (m *Machine) newCall(kind callKind, to oriole.Upstream, l lease, sendBefore time.Time) *LeaseCall {
	m.lastCall++
	m.calls[m.lastCall] = call{
		kind: kind, incarnation: to.Incarnation(), first: l.First, last: l.Last, fence: l.Fence,
		term: m.current.Term, arrivesBefore: sendBefore.Add(m.cfg.MaxCallDelay),
	}
	return &LeaseCall{
		ID:         m.lastCall,
		To:         to,
		Lease:      oriole.LeaseRequest{First: l.First, Last: l.Last, Fence: l.Fence},
		SendBefore: sendBefore,
	}
}

// CallDone handles the result of a call to an upstream.
func (m *Machine) CallDone(now time.Time, id CallID, r Result) {
	c, found := m.calls[id]
	if ended, ok := m.endedTermCalls[id]; ok {
		c = ended
		delete(m.endedTermCalls, id)
	}
	if c.kind == callRelease && r.Err != nil && mayHaveArrived(r.Err) {
		m.recordUnanswered(now, c.pendingRelease())
	}
	if !found {
		return
	}
	delete(m.calls, id)
	st := m.status(c.incarnation)
	switch c.kind {
	case callGrant:
		st.granting = false
		m.grantDone(now, c, r)
	case callRelease:
		st.releasing--
		if r.Err == nil {
			st.releaseFailedAt = time.Time{}
		}
		m.releaseDone(now, c, r)
	case callProbe:
		st.probing = false
		if r.Err == nil {
			st.probedAt, st.down = now, false
			m.nextPlan = now
		}
	}
	m.updateHealth(now, c, st, r.Err)
	m.schedulePass(now)
}

// suspectMinLeaseAge is the minimum age of a lease before it is renewed early
// because a dispatcher can't connect to the owner. It bounds the number of
// grants if only the dispatcher can't, and reports this repeatedly.
const suspectMinLeaseAge = 500 * time.Millisecond

// ReportUnreachable handles a dispatcher's report that the upstream accepted no
// connection. The leader checks this for itself by renewing the upstream's
// leases at once.
func (m *Machine) ReportUnreachable(now time.Time, from oriole.GatewayID, incarnation oriole.Incarnation) {
	if !m.leading {
		return
	}
	if m.inAnotherZone(from) {
		m.status(incarnation).reportedAt = now
	}
	for i := range m.leases {
		l := &m.leases[i]
		if l.Owner == incarnation && l.granted {
			l.nextGrant = earlier(l.nextGrant, later(now, l.lastSent.Add(suspectMinLeaseAge)))
		}
	}
	m.schedulePass(now)
}

// mayHaveArrived reports whether a call that returned err may have reached the
// upstream.
func mayHaveArrived(err error) bool {
	return !errors.Is(err, oriole.ErrNotSent)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// grantDone updates the leases with the result of a grant. The ranges may have
// changed since the grant was sent.
func (m *Machine) grantDone(now time.Time, c call, r Result) {
	mayHold := mayHaveArrived(r.Err)
	if mayHold {
		m.lastGrantDone[c.incarnation.ID] = now
	}
	for i := range m.leases {
		l := &m.leases[i]
		if l.Last < c.first || c.last < l.First {
			continue
		}
		for j := range l.priorOwners {
			if l.priorOwners[j].incarnation.ID == c.incarnation.ID && mayHold {
				l.priorOwners[j].lastSent = later(l.priorOwners[j].lastSent, now)
			}
		}
		if l.Owner != c.incarnation {
			continue
		}
		switch {
		case r.Err == nil:
			// From now on the owner refuses grants of prior leaders, so that
			// lastSent may also become earlier.
			l.lastSent = now
		case mayHold:
			l.lastSent = later(l.lastSent, now)
		}
		if l.Fence != c.fence {
			continue
		}
		l.attempted = l.attempted || mayHold
		if r.Err == nil {
			l.granted, l.conn = true, r.Conn
			l.nextGrant = now.Add(m.cfg.RenewInterval)
			continue
		}
		if errors.Is(r.Err, oriole.ErrFenced) && l.granted && c.fence < m.firstFence {
			// Another gateway has led whose record was lost.
			m.awaitUnknownLeaders(now)
			m.dirty = true
		}
		l.nextGrant = now.Add(callRetryDelay)
		if errors.Is(r.Err, oriole.ErrExpired) {
			// The connection that the fencing token was granted on is still open.
			continue
		}
		l.fenceUnusable = l.fenceUnusable || l.attempted || errors.Is(r.Err, oriole.ErrFenced)
		m.repairDue = true
	}
	if errors.Is(r.Err, oriole.ErrFenced) {
		// Another gateway may have become the leader.
		m.startRead(now, false)
	}
}

// releaseDone updates the leases with the result of a release.
func (m *Machine) releaseDone(now time.Time, c call, r Result) {
	if c.sweep {
		m.sweepDone(now, c, r.Err)
	}
	for i := range m.leases {
		l := &m.leases[i]
		if l.Last < c.first || c.last < l.First {
			continue
		}
		for j := range l.priorOwners {
			p := &l.priorOwners[j]
			if p.incarnation != c.incarnation {
				continue
			}
			p.nextRelease = now.Add(callRetryDelay)
			p.releaseSent = c.repeated || mayHaveArrived(r.Err)
		}
		// A release with an earlier fencing token proves nothing about what the
		// prior owner was granted since.
		coversLease := c.first <= l.First && l.Last <= c.last && c.fence == l.Fence
		if r.Err != nil || !coversLease {
			continue
		}
		if c.repeated {
			for j := range l.priorOwners {
				if p := &l.priorOwners[j]; p.incarnation == c.incarnation && p.repeatAnswered.IsZero() {
					p.repeatAnswered = now
				}
			}
			continue
		}
		n := len(l.priorOwners)
		l.priorOwners = slices.DeleteFunc(l.priorOwners, func(p priorOwner) bool { return p.incarnation == c.incarnation })
		if len(l.priorOwners) < n {
			l.handover = r.Handover
			m.priorOwnersChanged(now, l)
			m.publish()
		}
	}
}
