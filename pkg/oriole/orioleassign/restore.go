package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// eraShift is the number of low bits that count the terms and fencing tokens
	// of one era. No era lasts for as many writes.
	eraShift = 32
	// firstEra is the highest era that a store may state which was never restored.
	firstEra = 1
	// statementDelay is the time after which a report counts as made after the
	// restore. A report may be older by MaxCallDelay: a leader that replaces another
	// after its report needs a confirmation by the store before it moves ranges.
	statementDelay = 250 * time.Millisecond
	// statementTimeout is how long a leader waits for the other gateways to state
	// that none has replaced it, before it settles an era without that.
	statementTimeout = 1500 * time.Millisecond
	// askInterval is how often the other gateways are asked for their reports, which
	// do not count if they come too early.
	askInterval = 200 * time.Millisecond
	// waitAskInterval is the same while unknown leaders are awaited.
	waitAskInterval = time.Second
)

// eraStart returns the lowest term and the lowest fencing token of an era whose
// store was restored. What was lost with an earlier era is below it.
func eraStart(era uint64) uint64 { return era << eraShift }

// observeEra records the store's era, as shown by a response that has just
// arrived. It reports false for a response of an era that has ended.
func (m *Machine) observeEra(now time.Time, version oriole.Version, stale bool) (current bool) {
	if m.eraSince.IsZero() || version.Era > m.storeEra {
		m.restoreObserved = !m.eraSince.IsZero()
		m.storeEra, m.eraSince = version.Era, now
		clear(m.unchangedPeers)
		clear(m.stoppedPeers)
		m.sweep = newSweep()
	}
	return stale || version.Era == m.storeEra
}

// eraUnsettled reports whether this gateway, which does not lead, has found that
// no assignment was written yet in the store's era.
func (m *Machine) eraUnsettled() bool {
	return m.versionExact && m.version.Revision == 0 && m.current.Term > 0
}

// recordsLost reports whether assignments may have been lost that this gateway
// doesn't know.
func (m *Machine) recordsLost() bool {
	return m.eraUnsettled() || (m.version.Revision == 0 && m.version.Era > firstEra)
}

// reconcileRestored handles an assignment that this leader has read from a store
// that was restored. An assignment of an earlier era confirms nothing: it may be
// older than what is in force.
func (m *Machine) reconcileRestored(now, started time.Time, a oriole.Assignment, version oriole.Version) {
	if version.Revision > 0 && a.Term >= eraStart(version.Era) {
		if a.Leader == m.cfg.Self && a.Term == m.settlingTerm {
			// The response to the write was lost.
			m.confirmLeadership(started)
			m.eraSettled(now, a, version)
			return
		}
		m.setCurrent(now, a, version, true)
		return
	}
	if m.settling && version == m.settleFrom {
		return
	}
	if !m.holdsLeadership(now) {
		// A leader whose record was lost may have waited for the end of this
		// gateway's leader lease, and then have moved ranges.
		m.stepDown("store was restored after the leader lease had expired")
		m.resignedTerm = m.current.Term
		m.version, m.versionExact = version, true
		return
	}
	m.settling, m.settleFrom = true, version
	m.log("restored", LogEvent{Fence: m.current.Fence, Detail: "store was restored"})
}

// settleEra writes this leader's assignment as the first one of the store's era.
// The ranges keep their owners and fencing tokens; those of later changes exceed
// any that were lost.
func (m *Machine) settleEra(now time.Time) {
	if !m.settling || m.pendingWrite != nil || m.nextWrite.After(now) {
		return
	}
	unchanged := m.noneLedSince(m.confirmedAt)
	if !unchanged && now.Sub(m.eraSince) < statementTimeout {
		m.askPeers(now, askInterval)
		return
	}
	next := m.current.Clone()
	next.PriorLeaders = m.remainingPriorLeaders(now)
	if !unchanged && !slices.Contains(next.PriorLeaders, oriole.UnknownLeader) {
		next.PriorLeaders = append(next.PriorLeaders, oriole.UnknownLeader)
	}
	next.PendingReleases = m.pendingReleases()
	next.PriorLeases, next.UnknownRemaining = nil, 0
	next.Term, next.Fence = laterEra(next, m.settleFrom.Era)
	m.lastSeq++
	next.Seq = m.lastSeq
	m.dirty = false
	m.settlingTerm = next.Term
	m.pendingWrite = &next
	m.effects = append(m.effects, Effect{Write: &Write{Assignment: next, Expected: m.settleFrom}})
}

// askPeers has the peers report their terms, at most once per interval.
func (m *Machine) askPeers(now time.Time, interval time.Duration) {
	if m.nextAsk.After(now) {
		return
	}
	m.nextAsk = now.Add(interval)
	m.effects = append(m.effects, Effect{AskPeers: true})
}

// laterEra returns the term and the fencing token with which an assignment
// continues in the era.
func laterEra(a oriole.Assignment, era uint64) (uint64, oriole.Fence) {
	return max(a.Term+1, eraStart(era)), max(a.Fence+1, oriole.Fence(eraStart(era)))
}

// eraSettled applies the write by which this leader has settled an era.
func (m *Machine) eraSettled(now time.Time, a oriole.Assignment, version oriole.Version) {
	m.settling = version.Era < m.storeEra
	m.lastSeq = max(m.lastSeq, a.Seq)
	m.firstFence = a.Fence
	if slices.Contains(a.PriorLeaders, oriole.UnknownLeader) {
		m.awaitUnknownLeaders(now)
	}
	m.applyWrite(now, a, version)
	m.log("settled", LogEvent{Fence: a.Fence, Detail: "assignment was stored again"})
}

// awaitUnknownLeaders makes this leader wait until all leases have expired that
// were granted by leaders whose records were lost. Their last confirmation came
// from an earlier era of the store.
func (m *Machine) awaitUnknownLeaders(now time.Time) {
	until := m.leaseExpiry(m.eraSince.Add(m.cfg.LeaderLease))
	if !now.Before(until) {
		return
	}
	m.unknownLeadersUntil = later(m.unknownLeadersUntil, until)
	m.lateReleasesUntil = later(m.lateReleasesUntil, m.eraSince.Add(m.takeoverDelay()+lateExecution))
}

// awaitsUnknownLeaders reports whether upstreams may still hold leases of leaders
// whose records were lost.
func (m *Machine) awaitsUnknownLeaders(now time.Time) bool { return now.Before(m.unknownLeadersUntil) }

// endUnknownLeaders ends the wait for unknown leaders once it is over.
func (m *Machine) endUnknownLeaders(now time.Time) {
	if m.unknownLeadersUntil.IsZero() {
		return
	}
	if m.swept(now) {
		m.log("swept", LogEvent{Fence: m.current.Fence, Detail: "no upstream holds keys of leaders whose records were lost"})
		m.unknownLeadersUntil = now
	}
	if m.awaitsUnknownLeaders(now) {
		m.askPeers(now, waitAskInterval)
		return
	}
	m.unknownLeadersUntil = time.Time{}
	m.dirty, m.nextPlan = true, now
}

// recordPeerTerm records what a peer's report says about leaders whose records
// were lost with an earlier era of the store.
func (m *Machine) recordPeerTerm(now time.Time, peer oriole.GatewayID, minTerm uint64) {
	if !m.leading {
		return
	}
	if m.settling && minTerm == m.current.Term && now.Sub(m.eraSince) >= statementDelay {
		m.unchangedPeers[peer] = true
	}
	if m.awaitsUnknownLeaders(now) && minTerm >= m.current.Term && !m.stoppedPeers[peer] {
		m.stoppedPeers[peer] = true
		if m.allStopped() {
			m.unknownLeadersUntil = earlier(m.unknownLeadersUntil, m.leaseExpiry(now))
		}
	}
}

// noneLedSince reports whether no other gateway has led the service since the
// given time: all have stated, after the store was restored, that the term of
// this leader is the latest they know. A leader that had replaced it would need
// another confirmation by the store before it uses its fencing tokens.
func (m *Machine) noneLedSince(since time.Time) bool {
	if m.stalledAt.After(since) {
		return false
	}
	for _, g := range m.listedSince(since) {
		if !m.unchangedPeers[g] {
			return false
		}
	}
	return true
}

// allStopped reports whether all gateways that may have led before the store was
// restored have stopped or ended. A gateway that has not run for so long can't know
// them.
func (m *Machine) allStopped() bool {
	since := m.eraSince.Add(-m.cfg.LeaderLease)
	if !m.restoreObserved || m.startedAt.After(since) || m.stalledAt.After(since) {
		return false
	}
	for _, g := range m.listedSince(since) {
		if !m.stoppedPeers[g] && !m.gatewayEnded(g) {
			return false
		}
	}
	return true
}

// listedSince returns the other gateways that have been in the directory at any
// time since then.
func (m *Machine) listedSince(since time.Time) []oriole.GatewayID {
	var listed []oriole.GatewayID
	for g := range m.state.Gateways {
		if g != m.cfg.Self {
			listed = append(listed, g)
		}
	}
	for g, at := range m.unlistedAt {
		if !at.Before(since) {
			listed = append(listed, g)
		}
	}
	return listed
}

// recordListed records the gateways that the new state lists and the one before did not, and
// those that it no longer lists.
func (m *Machine) recordListed(now time.Time, next *oriole.ClusterState) {
	for g, at := range m.unlistedAt {
		if _, listed := next.Gateways[g]; listed || now.Sub(at) > 2*m.cfg.LeaderLease {
			delete(m.unlistedAt, g)
		}
	}
	for g := range m.state.Gateways {
		if _, listed := next.Gateways[g]; listed {
			continue
		}
		delete(m.listedAt, g)
		if g != m.cfg.Self {
			m.unlistedAt[g] = now
		}
	}
	for g := range next.Gateways {
		if _, listed := m.state.Gateways[g]; !listed {
			m.listedAt[g] = now
		}
	}
}

// recordStall records a time without ticks, in which gateways may have come and
// gone that this one has not seen.
func (m *Machine) recordStall(now time.Time) {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > startupDelay {
		m.stalledAt = now
	}
	m.lastTick = now
}
