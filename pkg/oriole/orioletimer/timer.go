// Package orioletimer provides the periodic ticks of a gateway's duties, and a
// clock that includes the time for which the machine was suspended.
package orioletimer

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// Service implements [oriole.Timers] with the system clock. One goroutine, the one
// that runs Serve, sends all ticks.
type Service struct {
	mu   sync.Mutex
	subs subscriptions
	wake chan struct{}
}

// New returns a timer service, which sends ticks while Serve runs.
func New() *Service {
	return &Service{wake: make(chan struct{}, 1)}
}

// Now implements [oriole.Clock]. The time has a monotonic reading.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe implements [oriole.Timers]. It panics unless interval is above 0.
func (s *Service) Subscribe(interval time.Duration) (ticks <-chan time.Time, stop func()) {
	if interval <= 0 {
		panic("orioletimer: interval must be above 0")
	}
	sub := &subscription{
		interval: interval,
		due:      time.Now().Add(interval),
		ticks:    make(chan time.Time, 1),
	}
	s.mu.Lock()
	heap.Push(&s.subs, sub)
	s.mu.Unlock()
	s.wakeServe()
	return sub.ticks, func() { s.remove(sub) }
}

// Serve sends ticks until ctx is done.
func (s *Service) Serve(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(s.sendDue(time.Now()))
		select {
		case <-timer.C:
		case <-s.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendDue sends the ticks that are due and returns the time until the next one. It
// returns an hour if there are no subscriptions: Subscribe wakes Serve anyway.
func (s *Service) sendDue(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.subs) > 0 && !s.subs[0].due.After(now) {
		s.subs[0].send(now)
		heap.Fix(&s.subs, 0)
	}
	if len(s.subs) == 0 {
		return time.Hour
	}
	return s.subs[0].due.Sub(now)
}

func (s *Service) remove(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sub.index >= 0 {
		heap.Remove(&s.subs, sub.index)
	}
}

func (s *Service) wakeServe() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

type subscription struct {
	interval time.Duration
	due      time.Time
	ticks    chan time.Time
	// index is the position in the heap, or -1 once the subscription was removed.
	index int
}

// send sends one tick and skips those that were missed, so that subscribers do not
// get a burst of ticks after the process was paused.
func (sub *subscription) send(now time.Time) {
	select {
	case sub.ticks <- now:
	default:
	}
	sub.due = sub.due.Add(sub.interval)
	if sub.due.Before(now) {
		sub.due = now.Add(sub.interval)
	}
}

// subscriptions is a heap of subscriptions, the next due one first.
type subscriptions []*subscription

func (q subscriptions) Len() int           { return len(q) }
func (q subscriptions) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

func (q subscriptions) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

func (q *subscriptions) Push(x any) {
	sub := x.(*subscription)
	sub.index = len(*q)
	*q = append(*q, sub)
}

func (q *subscriptions) Pop() any {
	last := len(*q) - 1
	sub := (*q)[last]
	sub.index = -1
	*q = (*q)[:last]
	return sub
}
