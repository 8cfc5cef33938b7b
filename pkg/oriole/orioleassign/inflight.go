package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// maxCallWait is how long a call may wait to be sent. A renewal that waited
	// longer is requested again.
	maxCallWait = time.Second
	// lateExecution is how long after it was sent an unanswered call may still be
	// executed by an upstream.
	lateExecution = 15 * time.Second
)

// unansweredRelease is a release that was sent and not answered, and the time
// until which the upstream may execute it. A later release of the same keys may
// be answered although requests are running that began before the late one.
type unansweredRelease struct {
	oriole.PendingRelease
	until time.Time
}

// takeoverDelay is how long after the start of its term a leader must assume
// that a prior leader which has not learned of the term still moves ranges.
func (m *Machine) takeoverDelay() time.Duration {
	return m.cfg.MoveLease + time.Duration(float64(m.cfg.MoveLease)*m.cfg.MaxClockDrift) + m.cfg.MaxCallDelay
}

// mayCall reports whether this leader may call upstreams: its leader lease is
// valid, its calls of earlier terms have arrived, and no prior leader moves
// ranges any more.
func (m *Machine) mayCall(now time.Time) bool {
	if !m.holdsLeadership(now) || len(m.endedTermCalls) > 0 {
		return false
	}
	return len(m.priorLeaders) == 0 || !now.Before(m.actFrom)
}

// mayMove reports whether this leader may release ranges and use fencing tokens
// for the first time. If it may not, it has its leadership confirmed.
func (m *Machine) mayMove(now time.Time) bool {
	return !m.settling && !m.awaitsUnknownLeaders(now) && m.confirmedForMove(now)
}

// confirmedForMove reports whether the move lease is valid. If it isn't, this leader has
// its leadership confirmed.
func (m *Machine) confirmedForMove(now time.Time) bool {
	if now.Before(m.confirmedAt.Add(m.cfg.MoveLease)) {
		return true
	}
	if !m.nextConfirm.After(now) {
		m.startRead(now, false)
	}
	return false
}

// endCalls ends the term of the unanswered calls.
func (m *Machine) endCalls() {
	for id, c := range m.calls {
		if c.kind != callProbe {
			m.endedTermCalls[id] = c
		}
	}
	clear(m.calls)
}

// lowestEndedTerm returns the lowest term of the calls that were unanswered when
// their term ended.
func (m *Machine) lowestEndedTerm() uint64 {
	lowest := m.current.Term
	for _, c := range m.endedTermCalls {
		lowest = min(lowest, c.term)
	}
	return lowest
}

// forgetArrivedCalls removes the calls of ended terms that have certainly
// arrived, and the unanswered releases that are executed no more.
func (m *Machine) forgetArrivedCalls(now time.Time) {
	for id, c := range m.endedTermCalls {
		if now.After(c.arrivesBefore) {
			delete(m.endedTermCalls, id)
		}
	}
	m.unansweredReleases = slices.DeleteFunc(m.unansweredReleases, func(r unansweredRelease) bool { return now.After(r.until) })
}

// recordUnanswered records a release whose result is unknown.
func (m *Machine) recordUnanswered(now time.Time, r oriole.PendingRelease) {
	m.unansweredReleases = append(m.unansweredReleases, unansweredRelease{r, now.Add(lateExecution)})
}

// recordReleasesOfPriorLeaders records the releases that prior leaders may have
// sent: those that they have stored, and those of ranges with prior owners.
func (m *Machine) recordReleasesOfPriorLeaders(now time.Time, a oriole.Assignment) {
	for _, r := range a.PendingReleases {
		m.recordUnanswered(now, r)
	}
	for _, r := range a.Ranges {
		for _, o := range r.PriorOwners {
			m.recordUnanswered(now, oriole.PendingRelease{Server: o.ID, First: r.First, Last: r.Last})
		}
	}
}

// pendingReleases returns the releases that upstreams may still execute.
func (m *Machine) pendingReleases() []oriole.PendingRelease {
	var pending []oriole.PendingRelease
	for _, r := range m.unansweredReleases {
		pending = append(pending, r.PendingRelease)
	}
	for _, calls := range []map[CallID]call{m.calls, m.endedTermCalls} {
		for _, c := range calls {
			if c.kind == callRelease {
				pending = append(pending, c.pendingRelease())
			}
		}
	}
	return pending
}

// releaseMayBePending reports whether an earlier release of keys of the range
// may still be executed by the upstream.
func (m *Machine) releaseMayBePending(id oriole.ServerID, first, last oriole.ShardKey) bool {
	return slices.ContainsFunc(m.pendingReleases(), func(r oriole.PendingRelease) bool { return r.Covers(id, first, last) })
}

// callInFlight reports whether a call of the kind for any of the keys is
// unanswered at the upstream, whichever incarnation it was meant for.
func (m *Machine) callInFlight(kind callKind, id oriole.ServerID, first, last oriole.ShardKey) bool {
	for _, c := range m.calls {
		if c.kind == kind && c.incarnation.ID == id && c.first <= last && first <= c.last {
			return true
		}
	}
	return false
}

func (c call) pendingRelease() oriole.PendingRelease {
	return oriole.PendingRelease{Server: c.incarnation.ID, First: c.first, Last: c.last}
}
