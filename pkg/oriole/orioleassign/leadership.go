package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

// MinRenewTerm returns the lowest term in which calls of this gateway may still
// arrive at upstreams.
func (m *Machine) MinRenewTerm() uint64 {
	if len(m.endedTermCalls) > 0 {
		return m.lowestEndedTerm()
	}
	if m.draining || (m.current.Leader == m.cfg.Self && m.resignedTerm == m.current.Term) {
		return m.current.Term + 1
	}
	return m.current.Term
}

// PeerReachedStore records that the store responded to a peer at the given time,
// or now if that is in the future.
func (m *Machine) PeerReachedStore(now, at time.Time) {
	m.peerReachedStore = later(m.peerReachedStore, earlier(at, now))
}

// resignIfCutOff resigns the leadership if this gateway can't reach the store
// while others can: without the store a leader can renew leases, but not change
// owners. If nobody reaches the store, leases are renewed only as long as the
// leader stays, so that a response from before its own calls failed shows nothing.
// Frames that waited while this gateway was stalled may be older than they seem.
func (m *Machine) resignIfCutOff(now time.Time) {
	cutOff := m.failedCalls >= storeFailureThreshold && now.Sub(m.storeFailingSince) >= storeFailureTimeout
	evidenceFrom := later(m.storeFailingSince, m.stalledAt).Add(maxEvidenceDelay)
	if cutOff && m.peerReachedStore.After(evidenceFrom) && now.Sub(m.peerReachedStore) < peerStoreValidity {
		m.stepDown("store is reachable only by other gateways")
		m.resignedTerm = m.current.Term
	}
}

// Resign ends this gateway's participation: it resigns and makes no more calls
// to upstreams.
func (m *Machine) Resign(now time.Time) {
	m.draining = true
	m.stepDown("leaving")
}

// receive handles an assignment that its leader has published. A leader learns of its
// own writes from their results only, which also update its leases.
func (m *Machine) receive(now time.Time, a oriole.Assignment) {
	if m.leading && a.Term == m.current.Term {
		return
	}
	if !m.hasCurrent || a.Newer(&m.current) {
		m.setCurrent(now, a, oriole.Version{}, false)
	}
}

// setCurrent replaces the current assignment.
func (m *Machine) setCurrent(now time.Time, a oriole.Assignment, version oriole.Version, exact bool) {
	if m.hasCurrent && a.Newer(&m.current) && !m.state.Alive[a.Leader] {
		if !m.unheardLeaderActs(now) {
			m.log("leader-unheard", LogEvent{Fence: a.Fence, Detail: "leader not alive, but writes to the store"})
		}
		m.unheardLeaderWroteAt = now
	}
	if m.leading && (a.Term != m.current.Term || a.Leader != m.cfg.Self) {
		m.stepDown("another gateway is the leader")
	}
	m.current, m.version, m.hasCurrent, m.versionExact = a, version, true, exact
}

// stepDown discards the state of the leader, if this gateway leads.
func (m *Machine) stepDown(reason string) {
	if m.leading {
		m.log("step-down", LogEvent{Detail: reason})
		m.publishDue = false
	}
	m.leading = false
	m.pendingWrite = nil
	m.setLeases(nil)
	m.leaderGoneSince = time.Time{}
	m.settling, m.firstFence, m.unknownLeadersUntil = false, 0, time.Time{}
	clear(m.priorLeaders)
	m.endCalls()
	clear(m.upstreams)
	clear(m.lastGrantDone)
}

// becomeLeader starts a term that the store has confirmed.
func (m *Machine) becomeLeader(now time.Time, a oriole.Assignment) {
	m.current, m.hasCurrent = a, true
	m.leading = true
	m.lastSeq, m.dirty = a.Seq, false
	m.leaderGoneSince = time.Time{}
	m.nextPlan = now
	clear(m.priorLeaders)
	clear(m.upstreams)
	clear(m.lastGrantDone)
	m.endCalls()
	clear(m.unchangedPeers)
	clear(m.stoppedPeers)
	m.sweep = newSweep()
	m.settling, m.firstFence, m.unknownLeadersUntil = false, 0, time.Time{}
	for _, g := range a.PriorLeaders {
		if g == oriole.UnknownLeader {
			m.awaitUnknownLeaders(now)
			if a.UnknownRemaining > 0 {
				m.unknownLeadersUntil = earlier(m.unknownLeadersUntil, m.endOfRemaining(now, a.UnknownRemaining))
			}
			continue
		}
		m.priorLeaders[g] = true
	}
	m.priorLeadersUntil = now
	if len(m.priorLeaders) > 0 {
		m.priorLeadersUntil = now.Add(m.cfg.LeaderLease)
	}
	m.actFrom = now.Add(m.takeoverDelay())
	m.recordReleasesOfPriorLeaders(now, a)
	m.setLeases(carryLeases(nil, a.Ranges, m.priorLeadersUntil, now))
	m.limitPriorLeases(now, a.PriorLeases)
	m.log("lead", LogEvent{Fence: a.Fence, Detail: "term started"})
	m.dropPriorLeaders(now, nil)
	m.publish()
}

// applyWrite applies a change of the assignment that the store has confirmed.
func (m *Machine) applyWrite(now time.Time, a oriole.Assignment, version oriole.Version) {
	m.version, m.versionExact = version, true
	m.setLeases(carryLeases(m.leases, a.Ranges, m.priorLeadersUntil, now))
	m.current = a
	m.dropPriorOwners(now)
	if len(m.priorLeases(now, &a)) > len(a.PriorLeases) {
		m.nextPriorLeases = earlier(m.nextPriorLeases, now.Add(newPriorLeasesDelay))
	}
	m.publish()
}

// publish has the assignment published with the next effects, once for all changes.
func (m *Machine) publish() { m.publishDue = true }

// SetPeerMinRenewTerm handles a peer's report of the lowest term in which it
// may still renew leases.
func (m *Machine) SetPeerMinRenewTerm(now time.Time, peer oriole.GatewayID, minTerm uint64) {
	m.recordPeerTerm(now, peer, minTerm)
	if m.leading && m.priorLeaders[peer] && minTerm >= m.current.Term {
		m.dropPriorLeaders(now, &peer)
	}
	if !m.leading && peer == m.current.Leader && minTerm > m.current.Term {
		m.resignedTerm = m.current.Term
	}
}

// dropPriorLeaders removes the prior leaders that have certainly ended and, if
// stopped is set, the prior leader that has reported that it renews no more
// leases of earlier terms. All are removed once their leader leases have
// expired. When none is left, only this leader sends grants, and lastSent need
// no longer allow for later grants of prior leaders.
func (m *Machine) dropPriorLeaders(now time.Time, stopped *oriole.GatewayID) {
	if !m.leading || len(m.priorLeaders) == 0 {
		return
	}
	for g := range m.priorLeaders {
		if m.gatewayEnded(g) || (stopped != nil && *stopped == g) {
			delete(m.priorLeaders, g)
		}
	}
	if !m.priorLeadersUntil.After(now) {
		clear(m.priorLeaders)
		return
	}
	if len(m.priorLeaders) > 0 {
		return
	}
	m.priorLeadersUntil = now
	for i := range m.leases {
		l := &m.leases[i]
		l.lastSent = earlier(l.lastSent, now)
		for j := range l.priorOwners {
			l.priorOwners[j].lastSent = earlier(l.priorOwners[j].lastSent, now)
		}
	}
}

// gatewayEnded reports whether the gateway has certainly ended: its VM runs a
// later one.
func (m *Machine) gatewayEnded(g oriole.GatewayID) bool {
	for id := range m.state.Gateways {
		if id.Supersedes(g) {
			return true
		}
	}
	return m.cfg.Self.Supersedes(g)
}

// tickFollower keeps the assignment of a follower up to date, and claims the
// leadership when the leader is gone.
func (m *Machine) tickFollower(now time.Time) {
	if m.unheardLeaderActs(now) {
		if now.Sub(m.readStartedAt) >= unheardPollInterval(len(m.state.Gateways)) {
			m.startRead(now, false)
		}
	} else if !m.nextRead.After(now) {
		m.startRead(now, m.hasCurrent)
	}
	if m.pendingWrite != nil || m.reading || !m.hasCurrent || !m.state.DirectoryLoaded || now.Sub(m.startedAt) < startupDelay {
		return
	}
	if m.current.Leader == m.cfg.Self && m.resignedTerm != m.current.Term && !m.eraUnsettled() && !m.nextWrite.After(now) {
		// The assignment names this gateway as the leader, but it does not lead:
		// once a read has confirmed the assignment, reconcile resumes the term.
		m.startRead(now, false)
		return
	}
	reason := m.leaderGone(now)
	if reason == "" {
		m.leaderGoneSince = time.Time{}
		return
	}
	if m.leaderGoneSince.IsZero() {
		m.leaderGoneSince = now
	}
	rank := slices.Index(orioleplacement.RankLeaders(m.cfg.Service, m.state.LiveMembers()), m.cfg.Self)
	delay := time.Duration(rank) * candidateDelay
	if !m.isolatedAt.IsZero() && now.Sub(m.isolatedAt) < isolationTime {
		delay += isolatedDelay
	}
	if rank < 0 || now.Sub(m.leaderGoneSince) < delay || m.nextWrite.After(now) {
		return
	}
	if !m.versionExact || (reason == reasonWritesEnded && m.exactReadAt.Before(m.unheardLeaderWroteAt.Add(leaderWriteTimeout))) {
		m.startRead(now, false)
		return
	}
	m.claimLeadership(now, reason)
}

// reasonWritesEnded is the reason to replace a leader that was not alive, but wrote to the
// store until leaderWriteTimeout ago.
const reasonWritesEnded = "leader not alive, and wrote no more to the store"

// leaderGone returns why the leader is to be replaced, or "" if it is not: it is neither
// alive nor has written to the store recently, for example.
func (m *Machine) leaderGone(now time.Time) (reason string) {
	leader, listed := m.state.Gateways[m.current.Leader]
	switch {
	case m.current.Leader == m.cfg.Self && m.eraUnsettled():
		return "store restored"
	case m.current.Leader == "":
		return "no leader"
	case m.current.Term > 0 && m.resignedTerm == m.current.Term:
		return "leader resigned"
	case !listed:
		return "leader not listed"
	case leader.Draining:
		return "leader draining"
	case m.state.Alive[m.current.Leader]:
		m.unheardLeaderWroteAt = time.Time{}
	case m.unheardLeaderActs(now), now.Sub(m.listedAt[m.current.Leader]) < hearingDelay:
	case m.unheardLeaderWroteAt.IsZero():
		return "leader not alive"
	default:
		return reasonWritesEnded
	}
	return ""
}

// unheardLeaderActs reports whether the leader has written to the store recently, although
// this gateway did not count it as alive: what separates them is no end of the leader.
func (m *Machine) unheardLeaderActs(now time.Time) bool {
	return now.Sub(m.unheardLeaderWroteAt) < leaderWriteTimeout
}

// unheardPollInterval returns how often each of n gateways reads the assignment while it
// does not hear a leader that writes to the store. If all do so, they read at
// unheardPollRate at most.
func unheardPollInterval(n int) time.Duration {
	return max(minUnheardPollInterval, time.Duration(n)*time.Second/unheardPollRate)
}

// leaderWriteDue reports whether this leader is to write the assignment although it has not
// changed: most other gateways may not hear it, and learn from the store that it lives.
func (m *Machine) leaderWriteDue(now time.Time) bool {
	if now.Sub(m.writeStartedAt) < leaderWriteInterval {
		return false
	}
	heard, listed := 0, 0
	for id, g := range m.state.Gateways {
		if g.Draining {
			continue
		}
		listed++
		if id == m.cfg.Self || m.state.Alive[id] {
			heard++
		}
	}
	return 2*heard <= listed
}

// claimLeadership requests a write of an assignment with this gateway as the
// leader, which replaces the present one for the reason.
func (m *Machine) claimLeadership(now time.Time, reason string) {
	next := m.current.Clone()
	if len(next.Ranges) == 0 && now.Sub(m.upstreamsChanged) < firstAssignmentDelay {
		return
	}
	if len(next.Ranges) == 0 {
		targets := m.targets(now, true)
		if len(targets) == 0 {
			return
		}
		next.Ranges = initialRanges(targets)
	}
	// Owners may have restarted under the same IDs, and must then not get the
	// fencing tokens that they had before.
	lost := m.recordsLost()
	next.Term, next.Fence = next.Term+1, next.Fence+1
	if lost {
		next.Term, next.Fence = laterEra(m.current, m.version.Era)
	}
	for i := range next.Ranges {
		next.Ranges[i].Fence = next.Fence
	}
	if next.Leader != "" && !slices.Contains(next.PriorLeaders, next.Leader) {
		next.PriorLeaders = append(next.PriorLeaders, next.Leader)
	}
	next.PriorLeaders = slices.DeleteFunc(next.PriorLeaders, func(g oriole.GatewayID) bool { return m.gatewayEnded(g) || g == m.cfg.Self })
	if lost && !slices.Contains(next.PriorLeaders, oriole.UnknownLeader) {
		next.PriorLeaders = append(next.PriorLeaders, oriole.UnknownLeader)
	}
	if lost {
		// A leader whose record was lost may have granted them leases since.
		next.PriorLeases, next.UnknownRemaining = nil, 0
	}
	next.Leader = m.cfg.Self
	next.Seq = 1
	m.log("claim", LogEvent{Fence: next.Fence, Detail: reason})
	m.startWrite(now, next)
}
