package orioleassign

import "time"

// Waits tells what the ranges of a leader wait for that have no lease of it.
type Waits struct {
	// Ranges is the number of these ranges, and Keys that of their keys.
	Ranges, Keys int
	// PriorOwners of the ranges have prior owners that may still hold leases, and Ungranted
	// only lack a grant to their owners. The others have no owner.
	PriorOwners, Ungranted int
	// Until is when the last of the prior owners' leases has certainly expired.
	Until time.Time
	// PriorLeaders is the number of earlier leaders that may still renew leases, and
	// UnknownLeaders is set if there may be some whose records were lost.
	PriorLeaders   int
	UnknownLeaders bool
}

// Waits returns what ranges wait for if this gateway leads.
func (m *Machine) Waits(now time.Time) (w Waits) {
	if !m.leading {
		return w
	}
	w.PriorLeaders, w.UnknownLeaders = len(m.priorLeaders), m.awaitsUnknownLeaders(now)
	for i := range m.leases {
		l := &m.leases[i]
		if l.granted && l.Grantable() {
			continue
		}
		w.Ranges++
		w.Keys += l.Size()
		switch {
		case len(l.priorOwners) > 0:
			w.PriorOwners++
		case l.Owner.ID != "":
			w.Ungranted++
		}
		for _, p := range l.priorOwners {
			w.Until = later(w.Until, m.leaseExpiry(p.lastSent))
		}
	}
	return w
}
