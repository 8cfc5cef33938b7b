package oriolequeue

import "time"

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
	pauseUntil time.Time
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

// completed takes in the run time of an answered request.
func (s *server) completed(took, normal time.Duration) {
	s.limit.completed(took, s.latency, normal)
	if s.latency == 0 {
		s.latency = took
		return
	}
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}
