// Package oriolepause decides how long a gateway leaves upstreams alone that have
// asked for it, and which requests may still go to them.
package oriolepause

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// MaxPause bounds a pause. A longer one is more likely an error of the upstream,
	// and would leave its keys without service.
	MaxPause = time.Minute
	// maxProbes bounds the requests that are sent during a pause. The platform allows
	// two from half a second after the pause began; these count from its beginning.
	maxProbes = 2
)

// Ledger holds the pauses of upstreams. A pause lasts until the latest time that any
// response of the upstream has asked for: responses may arrive in any order, so that
// one which asks for less does not shorten it.
type Ledger struct {
	pauses map[oriole.Incarnation]*pause
}

type pause struct {
	startedAt time.Time
	until     time.Time
	probes    int
	// refused is set once a request was refused, and priority is the highest
	// priority, that is the lowest value, of those that were.
	refused  bool
	priority int
}

// New returns a ledger without pauses.
func New() *Ledger { return &Ledger{pauses: make(map[oriole.Incarnation]*pause)} }

// Begin records that the upstream has asked for a pause from now on. It reports
// whether that begins a pause; otherwise it extends the one that runs, if at all. A
// duration of 0 or less asks for nothing.
func (l *Ledger) Begin(now time.Time, incarnation oriole.Incarnation, duration time.Duration) (began bool) {
	l.drop(now)
	if duration <= 0 {
		return false
	}
	until := now.Add(min(duration, MaxPause))
	if p := l.pauses[incarnation]; p != nil {
		if until.After(p.until) {
			p.until = until
		}
		return false
	}
	l.pauses[incarnation] = &pause{startedAt: now, until: until}
	return true
}

// drop forgets the pauses that have ended.
func (l *Ledger) drop(now time.Time) {
	for incarnation, p := range l.pauses {
		if !now.Before(p.until) {
			delete(l.pauses, incarnation)
		}
	}
}

// Until returns the end of the upstream's pause, or the zero time if none runs.
func (l *Ledger) Until(now time.Time, incarnation oriole.Incarnation) time.Time {
	p := l.pauses[incarnation]
	if p == nil || !now.Before(p.until) {
		return time.Time{}
	}
	return p.until
}

// Running returns the ends of the pauses that run.
func (l *Ledger) Running(now time.Time) map[oriole.Incarnation]time.Time {
	l.drop(now)
	running := make(map[oriole.Incarnation]time.Time, len(l.pauses))
	for incarnation, p := range l.pauses {
		running[incarnation] = p.until
	}
	return running
}

// Probe reports whether a request that would otherwise be refused, and that is safe to
// repeat, is sent to the upstream although it has asked for a pause. There are at most
// maxProbes in a pause, spread over it, of the highest priority that is refused.
func (l *Ledger) Probe(now time.Time, incarnation oriole.Incarnation, priority int) bool {
	p := l.pauses[incarnation]
	if p == nil || !now.Before(p.until) {
		return false
	}
	if !p.refused || priority < p.priority {
		p.refused, p.priority = true, priority
	}
	share := p.until.Sub(p.startedAt) / (maxProbes + 1)
	due := p.startedAt.Add(share * time.Duration(p.probes+1))
	if p.probes == maxProbes || priority > p.priority || now.Before(due) {
		return false
	}
	p.probes++
	return true
}
