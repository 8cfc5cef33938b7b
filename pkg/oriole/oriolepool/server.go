package oriolepool

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// firstSpan is the run time that is expected before any was seen.
	firstSpan = 100 * time.Millisecond
	// spanWeight is the weight of a new run time in the mean: a few requests
	// on each slot tell that an upstream has turned slow.
	spanWeight = 0.15
	// speedWeight is the weight of a new run time in the mean that placing
	// goes by: longer than the moments for which a neighbour slows a VM.
	speedWeight = 0.05
	// coldBurst is how many requests a cold upstream may get beyond its rate.
	// Its bound is half more than the rate and five a second.
	coldBurst = 3
	// suspectFor is how long an upstream that broke a connection gets work at
	// the rate of a cold one: if it fell, it comes back cold, and its entry in
	// the directory tells so about a heartbeat later.
	suspectFor = 1500 * time.Millisecond
	// refusedFor is the pause after a connection that was not accepted.
	refusedFor = 250 * time.Millisecond
	// suspectRate is the rate, in requests a second, for suspects of services
	// that state no cold rate.
	suspectRate = 5
)

// server is what the pool knows of one upstream.
type server struct {
	upstream oriole.Upstream
	running  int
	// span is the mean run time.
	span time.Duration
	// speed is a slower mean of it, and runs the number that it is of.
	speed time.Duration
	runs  int
	// suspectUntil and pausedUntil limit an upstream that failed.
	suspectUntil time.Time
	pausedUntil  time.Time
	// tokens are the requests that a cold upstream may get now.
	tokens   float64
	tokensAt time.Time
}

func newServer(u oriole.Upstream, now time.Time) *server {
	return &server{upstream: u, span: firstSpan, tokens: coldBurst, tokensAt: now}
}

// cold reports whether the upstream bears a limited rate only.
func (s *server) cold(now time.Time) bool {
	return now.Before(s.upstream.ColdUntil) || now.Before(s.suspectUntil)
}

// free reports whether the upstream may get a request now.
func (s *server) free(now time.Time, service oriole.Service) bool {
	if s.running >= s.upstream.Slots || now.Before(s.pausedUntil) {
		return false
	}
	if !s.cold(now) {
		return true
	}
	s.refill(now, service)
	return s.tokens >= 1
}

func (s *server) refill(now time.Time, service oriole.Service) {
	rate := service.ColdRate
	if rate <= 0 {
		rate = suspectRate
	}
	s.tokens = min(s.tokens+now.Sub(s.tokensAt).Seconds()*rate, coldBurst)
	s.tokensAt = now
}

// start takes a slot.
func (s *server) start(now time.Time) {
	s.running++
	if s.cold(now) {
		s.tokens--
	}
}

// ended frees a slot and learns from the answer.
func (s *server) ended(now time.Time, a oriole.Answer, took time.Duration) {
	s.running--
	switch {
	case a.Outcome == oriole.OutcomeAnswered:
		s.span += time.Duration(spanWeight * float64(took-s.span))
		s.runs++
		weight := max(speedWeight, 1/float64(s.runs))
		s.speed += time.Duration(weight * float64(took-s.speed))
	case a.Reason == oriole.ReasonDeadline && took > s.span:
		// It ran at least that long.
		s.span += time.Duration(spanWeight * float64(took-s.span))
	case a.Outcome == oriole.OutcomeNotRun && a.Reason == oriole.ReasonConnection:
		s.pausedUntil = now.Add(refusedFor)
		s.suspectUntil = now.Add(suspectFor)
	case a.Reason == oriole.ReasonConnection:
		s.suspectUntil = now.Add(suspectFor)
	case a.Reason == oriole.ReasonShed:
		// Others send to it too.
		s.pausedUntil = now.Add(s.span / 2)
	}
}

// rate returns the requests a second that the upstream serves.
func (s *server) rate(now time.Time, service oriole.Service) float64 {
	rate := float64(s.upstream.Slots) / max(s.span, time.Millisecond).Seconds()
	if s.cold(now) && service.ColdRate > 0 {
		rate = min(rate, service.ColdRate)
	}
	return rate
}
