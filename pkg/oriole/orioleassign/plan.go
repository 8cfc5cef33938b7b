package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// targets returns the upstreams that may own ranges. For the first assignment
// these are all usable upstreams; later, those that own ranges already and
// those that a probe has reached recently. Upstreams that are down or have
// ended are left out.
func (m *Machine) targets(now time.Time, initial bool) []target {
	var targets []target
	owners := m.owners()
	for _, u := range m.state.UsableUpstreams(m.cfg.Service) {
		st := m.status(u.Incarnation())
		reached := initial || owners[u.Incarnation()] || now.Sub(st.probedAt) < probeValidity
		if !reached || st.down || st.ended {
			continue
		}
		targets = append(targets, m.target(now, u))
	}
	return targets
}

// target returns the upstream with its capacity.
func (m *Machine) target(now time.Time, u oriole.Upstream) target {
	duration := m.status(u.Incarnation()).requestDuration
	if duration <= 0 {
		duration = defaultRequestDuration
	}
	t := target{incarnation: u.Incarnation(), duration: duration, capacity: float64(u.Slots) / duration.Seconds()}
	if failedAt := m.status(u.Incarnation()).releaseFailedAt; !failedAt.IsZero() {
		t.pinned = now.Sub(failedAt) < releaseRetryInterval
	}
	if u.ColdUntil.After(now) {
		t.capacity = min(t.capacity, m.coldRate()*coldUtilization)
	}
	return t
}

// coldRate returns the requests per second that a cold upstream of the service
// can handle.
func (m *Machine) coldRate() float64 {
	if m.state.Config != nil {
		if rate := m.state.Config.Services[m.cfg.Service].ColdRate; rate > 0 {
			return rate
		}
	}
	return defaultColdRate
}

// SetRequestDuration records the mean duration of requests at an upstream.
func (m *Machine) SetRequestDuration(id oriole.ServerID, duration time.Duration) {
	if u, found := m.state.Upstreams[id]; found && duration > 0 {
		m.status(u.Incarnation()).requestDuration = duration
	}
}

// plan writes a new assignment if ranges have lost their owners, fencing tokens
// have to be replaced or load is uneven, or if changes have not been stored
// yet.
func (m *Machine) plan(now time.Time) {
	if m.settling || m.pendingWrite != nil || m.nextWrite.After(now) || !m.versionExact || !m.holdsLeadership(now) || !m.state.DirectoryLoaded {
		return
	}
	// A range that gets another owner or fencing token would have to wait for
	// unknown leaders, while its present owner's lease can be renewed.
	fixed := m.awaitsUnknownLeaders(now)
	due := !m.nextPlan.After(now) && !fixed
	refence := !m.nextRefence.After(now)
	repair := (m.repairDue || (m.refenceDue && refence)) && !fixed
	takeBack := m.takeBackDue && !fixed
	var targets []target
	if due || repair || takeBack {
		targets = m.targets(now, false)
	}
	if repair {
		repair = m.needsRepair(targets, refence)
		// Unusable fencing tokens are looked for again once they may be replaced.
		m.repairDue, m.refenceDue = false, !refence
	}
	var b *balancer
	if due || repair || takeBack {
		m.load.Decay(now)
		b = newBalancer(m.current.Ranges, targets, m.load.profile())
		b.takeBack(m.leases)
		m.takeBackDue = false
		b.reassignUnowned()
		if refence {
			b.refence(m.leases)
			m.nextRefence = now.Add(refenceInterval)
		}
	}
	if due {
		m.nextPlan = now.Add(planInterval)
		m.proposeMoves(b)
	}
	changed := b != nil && b.changed
	if !changed && !m.dirty && !m.priorLeasesDue(now) && !m.leaderWriteDue(now) {
		return
	}
	next := m.current.Clone()
	if changed {
		b.merge()
		next.Ranges = b.ranges
		next.Fence++
		for i := range next.Ranges {
			if next.Ranges[i].Fence == 0 {
				next.Ranges[i].Fence = next.Fence
			}
		}
	}
	next.PriorLeaders = m.remainingPriorLeaders(now)
	next.PendingReleases = m.pendingReleases()
	next.PriorLeases = m.priorLeases(now, &next)
	next.UnknownRemaining = max(0, m.unknownLeadersUntil.Sub(now))
	m.nextPriorLeases = now.Add(priorLeasesInterval)
	m.lastSeq++
	next.Seq = m.lastSeq
	m.dirty = false
	m.startWrite(now, next)
}

// needsRepair reports whether the owner of any range is not a target or, if
// refence is set, any fencing token is unusable.
func (m *Machine) needsRepair(targets []target, refence bool) bool {
	if len(targets) == 0 {
		return false
	}
	incarnations := make(map[oriole.Incarnation]bool, len(targets))
	for _, t := range targets {
		incarnations[t.incarnation] = true
	}
	return slices.ContainsFunc(m.leases, func(l lease) bool { return (refence && l.fenceUnusable) || !incarnations[l.Owner] })
}

// remainingPriorLeaders returns the prior leaders that may still renew leases, or
// whose leases may still run if their records were lost.
func (m *Machine) remainingPriorLeaders(now time.Time) []oriole.GatewayID {
	var prior []oriole.GatewayID
	if m.awaitsUnknownLeaders(now) {
		prior = append(prior, oriole.UnknownLeader)
	}
	for _, g := range m.current.PriorLeaders {
		if m.priorLeaders[g] {
			prior = append(prior, g)
		}
	}
	return prior
}

// takeBack returns the ranges to their prior owners that can't be released, and that
// no release has reached: they still hold them, and can be granted them at once.
func (b *balancer) takeBack(leases []lease) {
	for i := range leases {
		l := &leases[i]
		if len(l.priorOwners) != 1 || l.priorOwners[0].releaseSent || !l.priorOwners[0].repeatAnswered.IsZero() {
			continue
		}
		prior := b.byIncarnation[l.priorOwners[0].incarnation]
		j, found := rangeFrom(b.ranges, l.First)
		if prior == nil || !prior.pinned || !found || b.ranges[j].Fence != l.Fence {
			continue
		}
		if to := b.byIncarnation[l.Owner]; to != nil {
			to.load -= b.load.between(l.First, l.Last)
		}
		b.ranges[j] = b.reassign(b.ranges[j], prior)
	}
}

// refence requests a new fencing token for ranges whose fencing token is
// unusable.
func (b *balancer) refence(leases []lease) {
	for i := range leases {
		l := &leases[i]
		if !l.fenceUnusable {
			continue
		}
		j, found := rangeFrom(b.ranges, l.First)
		if !found {
			continue
		}
		if r := &b.ranges[j]; r.Last == l.Last && r.Fence == l.Fence && r.Grantable() {
			r.Fence = 0
			b.changed = true
		}
	}
}
