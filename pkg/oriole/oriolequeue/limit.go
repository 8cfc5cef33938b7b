package oriolequeue

import "time"

// rampRuns is how many runs at a normal time in a row raise a limit by one;
// blindRuns is how many it takes while the normal time is not known, because
// no server of the group has been warm yet.
const (
	rampRuns  = 8
	blindRuns = 40
)

// normalFactor is how many times the normal time a run may take and still
// count as normal.
const normalFactor = 1.5

// jumpFactor is how many times the server's own mean a run takes when it
// points to a cold start; jumpRuns such runs in a row drop the limit. A cold
// server falls at the next request too many, while a limit that was dropped for
// a moment's straggler is back after a few runs.
const (
	jumpFactor = 2.5
	jumpRuns   = 1
)

// limit is the number of requests that may run on a server at once. It starts
// cold, rises on evidence, and drops to cold at once.
type limit struct {
	cold    int
	warm    int
	current int
	normal  int
	slow    int
	// settled counts the runs since the limit rose last.
	settled int
}

func newLimit(cold, warm int) limit {
	return limit{cold: cold, warm: warm, current: cold}
}

func (l *limit) now() int { return l.current }

// drop sets the limit to what a cold server bears.
func (l *limit) drop() {
	l.current = l.cold
	l.normal = 0
	l.slow = 0
	l.settled = 0
}

// warmFor reports whether the limit has been above cold for n runs.
func (l *limit) warmFor(n int) bool { return l.current > l.cold && l.settled >= n }

// completed takes in the time of a run, the server's own mean before it, and
// the normal time, 0 if it is not known.
func (l *limit) completed(took, mean, usual time.Duration) {
	if mean > 0 && float64(took) > jumpFactor*float64(mean) {
		l.slow++
		if l.slow >= jumpRuns {
			l.drop()
		}
		return
	}
	l.slow = 0
	l.settled++
	needed := blindRuns
	if usual > 0 {
		needed = rampRuns
	}
	if usual > 0 && float64(took) > normalFactor*float64(usual) {
		l.normal = 0
		return
	}
	l.normal++
	if l.normal >= needed && l.current < l.warm {
		l.current++
		l.normal = 0
		l.settled = 0
	}
}
