package oriolelink

import (
	"math"
	"sync/atomic"
	"time"
)

// lastTime is when something last happened. It keeps the monotonic reading of the clock,
// since the wall clock may be set back. It is safe for concurrent use.
type lastTime struct{ at atomic.Pointer[time.Time] }

func (l *lastTime) set(now time.Time) { l.at.Store(&now) }

// age returns the time since then, or the maximum duration if it has never happened.
func (l *lastTime) age(now time.Time) time.Duration {
	at := l.at.Load()
	if at == nil {
		return math.MaxInt64
	}
	return now.Sub(*at)
}
