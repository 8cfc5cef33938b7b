package orioleassign

import (
	"cmp"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// sweep holds the releases of all keys that a leader which has taken over sends to all
// upstreams while it awaits leaders whose records were lost. An upstream that has answered
// one holds no lease of such a leader, and accepts none any more, as the release bears a
// higher fencing token than any of theirs.
type sweep struct {
	// answeredAt is when each upstream has answered, and retryAt when a release that
	// failed may be repeated.
	answeredAt map[oriole.Incarnation]time.Time
	retryAt    map[oriole.Incarnation]time.Time
}

func newSweep() sweep {
	return sweep{answeredAt: make(map[oriole.Incarnation]time.Time), retryAt: make(map[oriole.Incarnation]time.Time)}
}

// sweeps reports whether this leader sweeps the upstreams. One that has settled the era
// renews the leases that it has granted.
func (m *Machine) sweeps(now time.Time) bool {
	return m.leading && m.firstFence == 0 && m.awaitsUnknownLeaders(now) && m.state.DirectoryLoaded
}

// sweepStart returns the earliest time of a sweep: unknown leaders move no ranges any
// more, and the leases that ended with them expire when the sweep is over.
func (m *Machine) sweepStart() time.Time {
	return later(m.eraSince.Add(m.takeoverDelay()), m.leaseExpiry(m.eraSince).Add(-m.maxRequestDuration))
}

// sendSweep requests the releases of a sweep that are due.
func (m *Machine) sendSweep(now time.Time) {
	if !m.sweeps(now) || now.Before(m.sweepStart()) || !m.confirmedForMove(now) {
		return
	}
	for _, u := range m.sweepTargets() {
		incarnation := u.Incarnation()
		_, answered := m.sweep.answeredAt[incarnation]
		if answered || now.Before(m.sweep.retryAt[incarnation]) || m.callInFlight(callRelease, u.ID, 0, oriole.MaxShardKey) {
			continue
		}
		all := lease{Range: oriole.Range{First: 0, Last: oriole.MaxShardKey, Fence: m.current.Fence}}
		m.status(incarnation).releasing++
		release := m.newCall(callRelease, u, all, m.confirmedAt.Add(m.cfg.MoveLease))
		c := m.calls[release.ID]
		// An unknown leader may have released the same keys before.
		c.sweep, c.repeated = true, true
		m.calls[release.ID] = c
		m.effects = append(m.effects, Effect{Release: release})
	}
}

// sweepTargets returns the upstreams of the service that the directory lists, in order.
func (m *Machine) sweepTargets() []oriole.Upstream {
	var targets []oriole.Upstream
	for _, u := range m.state.Upstreams {
		if u.Service == m.cfg.Service {
			targets = append(targets, u)
		}
	}
	slices.SortFunc(targets, func(a, b oriole.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return targets
}

// sweepDone records the result of a release of the sweep.
func (m *Machine) sweepDone(now time.Time, c call, err error) {
	if err != nil {
		m.sweep.retryAt[c.incarnation] = now.Add(callRetryDelay)
		return
	}
	m.sweep.answeredAt[c.incarnation] = now
}

// swept reports whether no upstream holds a lease of an unknown leader any more. Those
// that the directory lists have answered, and requests that were running have ended; the
// leases of others have expired.
func (m *Machine) swept(now time.Time) bool {
	if !m.sweeps(now) || !now.After(m.leaseExpiry(m.eraSince)) || now.Sub(m.upstreamsChanged) < firstAssignmentDelay {
		return false
	}
	targets := m.sweepTargets()
	for _, u := range targets {
		at, answered := m.sweep.answeredAt[u.Incarnation()]
		if !answered || now.Sub(at) < m.maxRequestDuration {
			return false
		}
	}
	return len(targets) > 0
}
