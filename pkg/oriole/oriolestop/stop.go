// Package oriolestop decides what a gateway that is being stopped may still do:
// until when it accepts connections, and which requests it passes on. It has no
// clock; its caller passes the times.
package oriolestop

import "time"

const (
	// readinessPropagation is how long the load balancer may still open
	// connections to a gateway that is no longer ready: two checks, one second
	// apart.
	readinessPropagation = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the
	// process to exit.
	exitReserve = 500 * time.Millisecond
	// answerReserve is the time left to write responses that arrive at the
	// deadlines of their requests.
	answerReserve = 250 * time.Millisecond
	// refusalReserve is the part of answerReserve that is left to write the gateway's own
	// answers to requests that got none.
	refusalReserve = 100 * time.Millisecond
	// noticeTime is how long after the begin of a stop other gateways may learn of it.
	noticeTime = 500 * time.Millisecond
	// DutyTimeout is how long the process waits for its duties to end, and
	// FlushTimeout how long it writes the rest of the log. Together with
	// CloseTimeout they are shorter than exitReserve.
	DutyTimeout  = 200 * time.Millisecond
	FlushTimeout = 100 * time.Millisecond
	// CloseTimeout is the part of exitReserve in which peers confirm that their
	// connections are closed: many round trips between zones.
	CloseTimeout = 100 * time.Millisecond
)

// Schedule is the course of a planned stop. A nil Schedule is that of a gateway
// that isn't being stopped.
type Schedule struct {
	// ListenUntil is until when connections are accepted. Those that the kernel has
	// accepted by then are served, too.
	ListenUntil time.Time
	// AnswerUntil is until when upstreams may work on requests, if that is known
	// when the requests are passed on.
	AnswerUntil time.Time
	// GiveUpAt is when requests that are not answered yet get an answer of the gateway's own.
	GiveUpAt time.Time
	// CutAt is when the connections that remain are closed.
	CutAt time.Time
	// CloseUntil is until when peers may confirm that their connections are closed.
	CloseUntil time.Time
	start      time.Time
}

// New returns the schedule of a stop that starts at the given time. The process is
// killed once the grace period is over.
func New(start time.Time, gracePeriod time.Duration) *Schedule {
	return &Schedule{
		start:       start,
		ListenUntil: start.Add(min(readinessPropagation, gracePeriod-exitReserve-answerReserve)),
		AnswerUntil: start.Add(gracePeriod - exitReserve - answerReserve),
		GiveUpAt:    start.Add(gracePeriod - exitReserve - refusalReserve),
		CutAt:       start.Add(gracePeriod - exitReserve),
		CloseUntil:  start.Add(gracePeriod - exitReserve + CloseTimeout),
	}
}

// Admits reports whether a request with the deadline may be passed on to an
// upstream: it has ended when the process stops.
func (s *Schedule) Admits(deadline time.Time) bool {
	return s == nil || !deadline.After(s.AnswerUntil)
}

// Bound returns the earlier of the deadline and the end of the stop. A request that is sent
// once more with it as its deadline has ended when the process stops.
func (s *Schedule) Bound(deadline time.Time) time.Time {
	if s.Admits(deadline) {
		return deadline
	}
	return s.AnswerUntil
}

// Asks reports whether this gateway, which is being stopped, may ask another one to dispatch
// requests that is being stopped, as this one has learned at the given time. The other may
// end once it no longer listens, and both listen for the same time.
func (s *Schedule) Asks(now, since time.Time) bool {
	return s != nil && now.Sub(since) < s.ListenUntil.Sub(s.start)-noticeTime
}

// Starts reports whether queued requests may still be sent to upstreams. Requests
// that were queued before the stop may have any deadline.
func (s *Schedule) Starts(now time.Time) bool {
	return s == nil || now.Before(s.AnswerUntil)
}

// Keeps reports whether a request that was queued before the stop stays in its queue. One
// that could outlast the process is given back if another gateway can dispatch it, since
// that one sends to the same upstreams. Otherwise it stays while it can end in time, given
// how long it is expected to run.
func (s *Schedule) Keeps(now, deadline time.Time, duration time.Duration, otherDispatcher bool) bool {
	return s.Admits(deadline) || (!otherDispatcher && !now.Add(duration).After(s.AnswerUntil))
}
