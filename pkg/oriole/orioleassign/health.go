package orioleassign

import (
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

// updateHealth decides from the result of a call whether the upstream is down
// or has ended. A single call that was sent but not answered does not show that
// it is down: the upstream may execute calls late and serve requests meanwhile.
// Connections that are reset or refused never show that it has ended: a partition
// may do the same to those of all gateways while the upstream lives on.
// A release that was not answered never counts, since it waits for running
// requests.
func (m *Machine) updateHealth(now time.Time, c call, st *upstreamStatus, err error) {
	switch {
	case err == nil, errors.Is(err, oriole.ErrFenced):
		st.connectFailures, st.unanswered, st.down, st.unreachable = 0, 0, false, false
		return
	case errors.Is(err, oriole.ErrReplaced):
		m.recordEnd(now, c.incarnation, st, err)
	case errors.Is(err, oriole.ErrConnClosed), errors.Is(err, oriole.ErrExpired), c.kind == callRelease && mayHaveArrived(err):
		return
	case c.kind == callRelease:
		// Grants, which need no connection of their own, may still arrive.
		st.releaseFailedAt = now
		m.takeBackDue = true
		return
	case errors.Is(err, oriole.ErrNotSent):
		st.connectFailures++
		st.unreachable = errors.Is(err, oriole.ErrUnreachable) || errors.Is(err, oriole.ErrConnRefused)
		if st.unreachable && m.isolated(now) {
			m.isolatedAt = now
			m.stepDown("upstreams can't be reached")
			m.resignedTerm = m.current.Term
			return
		}
	default:
		if st.unanswered == 0 {
			st.unansweredSince = now
		}
		st.unanswered++
	}
	if st.connectFailures >= downThreshold || (st.unanswered > downThreshold && now.Sub(st.unansweredSince) >= unansweredTimeout) {
		if !st.down {
			m.log("down", LogEvent{Server: c.incarnation.ID, Detail: err.Error()})
		}
		st.down = true
		m.repairDue = true
		st.nextProbe = now.Add(downProbeDelay)
	}
}

// recordEnd records that the incarnation has ended, as err shows.
func (m *Machine) recordEnd(now time.Time, incarnation oriole.Incarnation, st *upstreamStatus, err error) {
	if st.ended {
		return
	}
	st.ended, st.endedAt = true, now
	m.repairDue = true
	m.log("ended", LogEvent{Server: incarnation.ID, Detail: err.Error()})
}

// hasPeers reports whether another gateway is alive that may lead.
func (m *Machine) hasPeers() bool {
	for _, member := range m.state.LiveMembers() {
		if member.ID != m.cfg.Self && !member.Draining {
			return true
		}
	}
	return false
}

// inAnotherZone reports whether the gateway's zone is not this one's, or all gateways are
// in the same zone.
func (m *Machine) inAnotherZone(g oriole.GatewayID) bool {
	zone := m.state.Gateways[m.cfg.Self].Zone
	if m.state.Gateways[g].Zone != zone {
		return true
	}
	for _, member := range m.state.Gateways {
		if member.Zone != zone {
			return false
		}
	}
	return g != m.cfg.Self
}

// ReportIsolated handles the report that this gateway does not reach the upstreams to
// which it sends requests itself. It goes on to lead if it reaches most of the others.
func (m *Machine) ReportIsolated(now time.Time) { m.isolatedAt = now }

// isolated reports whether this leader can't reach so many owners that it is cut off
// itself. Those that another zone can't reach either don't count. After a stall of this
// gateway, attempts may have ended without need.
func (m *Machine) isolated(now time.Time) bool {
	if !m.leading || now.Sub(m.stalledAt) < unansweredTimeout || !m.hasPeers() {
		return false
	}
	unreachable := 0
	for owner := range m.owners() {
		if st := m.upstreams[owner]; st != nil && st.unreachable && now.Sub(st.reportedAt) >= reportValidity {
			unreachable++
		}
	}
	return orioleliveness.CutOff(unreachable, len(m.owners()))
}
