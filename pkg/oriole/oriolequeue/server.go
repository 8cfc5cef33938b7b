package oriolequeue

import (
	"math"
	"time"
)

// shedPause is how long a server that shed a request is left alone.
const shedPause = 10 * time.Millisecond

// connectPause is how long a server that could not be reached is left alone.
const connectPause = 30 * time.Millisecond

// latencyWeight is the share of the newest run in the mean run time.
const latencyWeight = 0.1

// server is the queue's state of one server.
type server struct {
	line       line
	running    int
	jobs       map[*Job]struct{}
	solo       bool
	limit      limit
	latency    time.Duration
	lastRun    time.Time
	pauseUntil time.Time
	// accused are the requests that were in flight when a connection to this
	// start of the server was lost last, at accusedAt.
	accused   []Fingerprint
	accusedAt time.Time
}

// accuse records a request that was in flight when a connection was lost.
func (s *server) accuse(now time.Time, print Fingerprint) {
	s.accused = append(s.accused, print)
	s.accusedAt = now
}

// acquit returns the accused requests if a run that began later has been
// answered by the same start of the server: then it did not crash.
func (s *server) acquit(started time.Time) []Fingerprint {
	if len(s.accused) == 0 || !started.After(s.accusedAt) {
		return nil
	}
	acquitted := s.accused
	s.accused = nil
	return acquitted
}

func newServer(limits Limits) *server {
	return &server{line: newLine(), jobs: make(map[*Job]struct{}), limit: newLimit(limits.Cold, limits.Slots)}
}

// wait estimates how long a request that joins the line waits until it is
// answered.
func (s *server) wait() time.Duration {
	if s.latency == 0 {
		return 0
	}
	ahead := s.line.len() + s.running
	return s.latency * time.Duration(ahead/max(s.limit.now(), 1)+1)
}

// latencyHalfLife is the time without a run in which a server's mean comes half
// the way back to the usual one, so that a server that was slow is tried again.
const latencyHalfLife = time.Second

// expected returns the run time to expect of the server.
func (s *server) expected(now time.Time, usual time.Duration) time.Duration {
	if s.latency <= usual || s.running > 0 {
		return s.latency
	}
	age := now.Sub(s.lastRun).Seconds() / latencyHalfLife.Seconds()
	return usual + time.Duration(float64(s.latency-usual)*math.Exp2(-age))
}

// completed takes in the run time of an answered request that ended at now.
func (s *server) completed(now time.Time, took, normal time.Duration) {
	s.lastRun = now
	s.limit.completed(took, s.latency, normal)
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}
