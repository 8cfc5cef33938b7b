package orioleassign

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// The time for which a lost owner's leases run on is known to its leader only. It is
// stored with the assignment, as the next leader would have to assume that leases were
// granted until its own term began. The same holds for leases of unknown leaders.

// priorLeasesDue reports whether the remaining leases of lost owners, or of unknown
// leaders, have to be stored.
func (m *Machine) priorLeasesDue(now time.Time) bool {
	if m.nextPriorLeases.After(now) {
		return false
	}
	m.nextPriorLeases = now.Add(priorLeasesInterval)
	return m.awaitsUnknownLeaders(now) || len(m.priorLeases(now, &m.current)) > 0
}

// priorLeases returns for how long the leases of the prior owners in an assignment may
// run on that own no range, neither now nor in the assignment, and to which no grant is
// under way: none will be sent to them as long as the assignment is in force.
func (m *Machine) priorLeases(now time.Time, a *oriole.Assignment) []oriole.PriorLease {
	if len(m.endedTermCalls) > 0 || m.awaitsUnknownLeaders(now) {
		return nil
	}
	expiry := make(map[oriole.Incarnation]time.Time)
	var holders []oriole.Incarnation
	for i := range m.leases {
		for _, p := range m.leases[i].priorOwners {
			if _, found := expiry[p.incarnation]; !found {
				holders = append(holders, p.incarnation)
			}
			expiry[p.incarnation] = later(expiry[p.incarnation], m.leaseExpiry(p.lastSent))
		}
	}
	if len(holders) == 0 {
		return nil
	}
	owners := make(map[oriole.ServerID]bool)
	for owner := range m.owners() {
		owners[owner.ID] = true
	}
	for _, r := range a.Ranges {
		owners[r.Owner.ID] = true
	}
	for _, c := range m.calls {
		if c.kind == callGrant {
			owners[c.incarnation.ID] = true
		}
	}
	var leases []oriole.PriorLease
	for _, holder := range holders {
		if !owners[holder.ID] {
			leases = append(leases, oriole.PriorLease{Owner: holder, Remaining: max(0, expiry[holder].Sub(now))})
		}
	}
	return leases
}

// limitPriorLeases applies the remaining leases that the last leader has stored to the
// prior owners.
func (m *Machine) limitPriorLeases(now time.Time, stored []oriole.PriorLease) {
	if len(stored) == 0 || m.awaitsUnknownLeaders(now) {
		return
	}
	lastSent := make(map[oriole.Incarnation]time.Time, len(stored))
	for _, s := range stored {
		// leaseExpiry returns the end for this time.
		lastSent[s.Owner] = m.endOfRemaining(now, s.Remaining).Add(now.Sub(m.leaseExpiry(now)))
	}
	for i := range m.leases {
		for j := range m.leases[i].priorOwners {
			p := &m.leases[i].priorOwners[j]
			if sent, found := lastSent[p.incarnation]; found {
				p.lastSent = earlier(p.lastSent, sent)
			}
		}
	}
}

// endOfRemaining returns when a time is over that a prior leader has stored. This leader's
// clock may be faster than that leader's.
func (m *Machine) endOfRemaining(now time.Time, remaining time.Duration) time.Time {
	return now.Add(remaining + time.Duration(float64(remaining)*m.cfg.MaxClockDrift))
}
