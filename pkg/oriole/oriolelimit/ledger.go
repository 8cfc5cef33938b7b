// Package oriolelimit decides when a gateway may send requests to upstreams that have
// named the rate at which they take them.
package oriolelimit

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// MaxSpacing bounds the time between two requests. An upstream withdraws its limit
	// in a response only, so that one with a lower limit gets a request now and then.
	MaxSpacing = 4 * time.Second
	// burstTime and minBurst bound the requests that an upstream may get at once after
	// it got none for a while: what its limit allows in burstTime.
	burstTime = time.Second
	minBurst  = 2
	// maxAge is how long a limit holds that no response has named again.
	maxAge = time.Minute
	// changeRatio is the ratio between two limits from which on the later one counts as
	// a change: upstreams may name a slightly different one in each response.
	changeRatio = 1.25
)

// Ledger holds the limits that upstreams have named. One dispatcher sends all requests to
// an upstream, so that its gateway may use the whole limit.
type Ledger struct {
	limits map[oriole.Incarnation]*limit
}

// limit is a token bucket.
type limit struct {
	spacing time.Duration
	// noted is the spacing of the last change.
	noted      time.Duration
	namedAt    time.Time
	tokens     float64
	refilledAt time.Time
}

// New returns a ledger without limits.
func New() *Ledger { return &Ledger{limits: make(map[oriole.Incarnation]*limit)} }

// Record records what the header of a response says. It reports whether the upstream has
// named or withdrawn a limit, or changed it.
func (l *Ledger) Record(now time.Time, incarnation oriole.Incarnation, named oriole.RateLimit) (changed bool) {
	l.drop(now)
	known, spacing := l.limits[incarnation], min(named.Spacing, MaxSpacing)
	switch {
	case spacing <= 0:
		delete(l.limits, incarnation)
		return known != nil
	case known == nil:
		// The requests that are running count for the first of the limit.
		l.limits[incarnation] = &limit{spacing: spacing, noted: spacing, namedAt: now, refilledAt: now}
		return true
	}
	known.refill(now)
	known.spacing, known.namedAt = spacing, now
	ratio := float64(spacing) / float64(known.noted)
	if ratio < changeRatio && ratio > 1/changeRatio {
		return false
	}
	known.noted = spacing
	return true
}

// drop forgets the limits that no response has named for long.
func (l *Ledger) drop(now time.Time) {
	for incarnation, limit := range l.limits {
		if now.Sub(limit.namedAt) > maxAge {
			delete(l.limits, incarnation)
		}
	}
}

func (l *limit) refill(now time.Time) {
	if now.After(l.refilledAt) {
		burst := max(float64(burstTime)/float64(l.spacing), minBurst)
		l.tokens = min(l.tokens+float64(now.Sub(l.refilledAt))/float64(l.spacing), burst)
		l.refilledAt = now
	}
}

// Spacing returns the mean time between two requests that the upstream takes, or 0 if it
// has named no limit.
func (l *Ledger) Spacing(incarnation oriole.Incarnation) time.Duration {
	if limit := l.limits[incarnation]; limit != nil {
		return limit.spacing
	}
	return 0
}

// Available returns how many requests the upstream may get now. limited reports whether
// it has named a limit; otherwise there is none.
func (l *Ledger) Available(now time.Time, incarnation oriole.Incarnation) (n int, limited bool) {
	limit := l.limits[incarnation]
	if limit == nil {
		return 0, false
	}
	limit.refill(now)
	return int(limit.tokens), true
}

// Count counts a request that is sent to the upstream.
func (l *Ledger) Count(now time.Time, incarnation oriole.Incarnation) {
	if limit := l.limits[incarnation]; limit != nil {
		limit.refill(now)
		limit.tokens--
	}
}
