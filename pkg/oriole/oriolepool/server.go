package oriolepool

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// initialDuration is the initial value of the moving mean of request durations.
	initialDuration = 100 * time.Millisecond
	// durationWeight is the weight of a new duration in the moving mean. With it, a
	// few requests on each slot show that an upstream has become slow.
	durationWeight = 0.15
	// longTermWeight is the weight of a new duration in the long-term mean, by
	// which keys are assigned to upstreams: that mean averages out the short
	// periods in which a noisy neighbour slows a VM.
	longTermWeight = 0.05
	// coldBurst is the number of requests that a cold upstream may get beyond its
	// rate. The limit for a cold upstream is 1.5 times the rate plus five requests
	// per second, which leaves room for a second sender.
	coldBurst = 2
	// suspectDuration is how long an upstream is suspect after it broke a
	// connection. It gets requests at the rate of a cold one: if it crashed, it
	// restarts cold, and its directory entry shows that only about a heartbeat
	// later.
	suspectDuration = 1500 * time.Millisecond
	// refusedPause is how long an upstream that refused a connection gets no
	// requests. Until suspectDuration has passed, it gets only those that no other
	// upstream of the pool can take.
	refusedPause = 250 * time.Millisecond
	// reachInterval is the time between two attempts to reach an upstream that did not
	// answer an attempt to connect.
	reachInterval = 500 * time.Millisecond
	// suspectRate is the rate limit, in requests per second, of suspect upstreams
	// whose service has no cold rate.
	suspectRate = 5
)

// server is the scheduling state of one upstream.
type server struct {
	upstream oriole.Upstream
	running  int
	// meanDuration is a moving mean of request durations.
	meanDuration time.Duration
	// longTermMean is a slower moving mean of them, and samples the number of
	// durations that went into it.
	longTermMean time.Duration
	samples      int
	// The upstream is rate-limited until suspectUntil, gets no requests until
	// pausedUntil, and only those that no other can take until refusedUntil.
	suspectUntil time.Time
	pausedUntil  time.Time
	refusedUntil time.Time
	// unreachable is set if the upstream did not answer the last attempt to connect, or
	// refused it while no request was running. It then gets one request at a time, from
	// reachAt on.
	unreachable bool
	reachAt     time.Time
	// cold is the token bucket for the time in which the upstream is cold, suspect that for
	// the time in which it is only suspect. Only the sole sender uses the first one.
	cold    bucket
	suspect bucket
}

// bucket is a token bucket, in requests. refilledAt is when it was last refilled, or the
// future time from which it fills.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// newServer returns the state of an upstream. Its bucket for coldness has filled since the
// pool has been its only sender.
func newServer(u oriole.Upstream, soleSince time.Time) *server {
	return &server{upstream: u, meanDuration: initialDuration, cold: bucket{refilledAt: soleSince}}
}

// rateLimited reports whether the upstream is rate-limited: cold or suspect.
func (s *server) rateLimited(now time.Time) bool {
	return s.isCold(now) || now.Before(s.suspectUntil)
}

// isCold reports whether the upstream is cold by its entry.
func (s *server) isCold(now time.Time) bool { return now.Before(s.upstream.ColdUntil) }

// bucket returns the token bucket of a rate-limited upstream.
func (s *server) bucket(now time.Time) *bucket {
	if s.isCold(now) {
		return &s.cold
	}
	return &s.suspect
}

// canStart reports whether the upstream may get a request now.
func (s *server) canStart(now time.Time, service oriole.Service) bool {
	if s.running >= s.upstream.Slots || now.Before(s.pausedUntil) {
		return false
	}
	if s.unreachable && (s.running > 0 || now.Before(s.reachAt)) {
		return false
	}
	if !s.rateLimited(now) {
		return true
	}
	rate := service.ColdRate
	if rate <= 0 {
		rate = suspectRate
	}
	b := s.bucket(now)
	b.refill(now, rate)
	return b.tokens >= 1
}

func (b *bucket) refill(now time.Time, rate float64) {
	if now.Before(b.refilledAt) {
		return
	}
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*rate, coldBurst)
	b.refilledAt = now
}

// start occupies a slot, and a token if the upstream is rate-limited.
func (s *server) start(now time.Time) {
	s.running++
	if s.rateLimited(now) {
		s.bucket(now).tokens--
	}
}

// finish frees a slot and updates the mean durations and pauses according to the
// response.
func (s *server) finish(now time.Time, response oriole.Response, duration time.Duration) {
	s.running--
	if response.Reason == oriole.ReasonUnreachable {
		s.unreachable, s.reachAt = true, now.Add(reachInterval)
		return
	}
	if response.Refused && s.running == 0 {
		// No other request shows that open connections live on.
		s.unreachable, s.reachAt = true, now.Add(reachInterval)
	}
	s.unreachable = s.unreachable && response.Outcome != oriole.OutcomeAnswered
	switch {
	case response.Outcome == oriole.OutcomeAnswered:
		s.meanDuration += time.Duration(durationWeight * float64(duration-s.meanDuration))
		s.samples++
		weight := max(longTermWeight, 1/float64(s.samples))
		s.longTermMean += time.Duration(weight * float64(duration-s.longTermMean))
	case response.Reason == oriole.ReasonDeadline && duration > s.meanDuration:
		// The request would have taken at least that long.
		s.meanDuration += time.Duration(durationWeight * float64(duration-s.meanDuration))
	case response.Outcome == oriole.OutcomeNotRun && response.Reason == oriole.ReasonConnection:
		s.pausedUntil = now.Add(refusedPause)
		s.suspectUntil = now.Add(suspectDuration)
		s.refusedUntil = s.suspectUntil
	case response.Reason == oriole.ReasonConnection:
		s.suspectUntil = now.Add(suspectDuration)
	case response.Reason == oriole.ReasonShed:
		// Its slots are full: other gateways send requests to it as well.
		s.pausedUntil = now.Add(s.meanDuration / 2)
	}
}

// serviceRate returns the number of requests per second that the upstream is
// expected to serve.
func (s *server) serviceRate(now time.Time, service oriole.Service) float64 {
	rate := float64(s.upstream.Slots) / max(s.meanDuration, time.Millisecond).Seconds()
	if s.rateLimited(now) && service.ColdRate > 0 {
		rate = min(rate, service.ColdRate)
	}
	return rate
}
