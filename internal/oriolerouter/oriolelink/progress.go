package oriolelink

import "time"

// progress records when a peer was last seen to take bytes.
type progress struct {
	// acknowledged is how many bytes the peer had acknowledged when that was last observed.
	acknowledged int64
	at           time.Time
}

// observe records how many bytes the peer has acknowledged now, and reports whether the
// number has grown. It may be lower than before while a write waits.
func (g *progress) observe(now time.Time, acknowledged int64) (grown bool) {
	grown = acknowledged > g.acknowledged
	if grown {
		g.at = now
	}
	g.acknowledged = acknowledged
	return grown
}
