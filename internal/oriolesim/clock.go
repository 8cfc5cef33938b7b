// Package oriolesim provides a simulated clock, with which time-dependent code
// runs deterministically and without waiting.
package oriolesim

import (
	"container/heap"
	"time"
)

// Clock runs functions in the order of their scheduled times; functions with the
// same time run in the order in which they were scheduled. It is not safe for
// concurrent use.
type Clock struct {
	now   time.Time
	queue queue
	seq   int
}

// NewClock returns a clock whose time is start.
func NewClock(start time.Time) *Clock {
	return &Clock{now: start}
}

// Now returns the simulated time: the scheduled time of the function that runs
// or ran last, or the time set by [Clock.AdvanceTo] since.
func (c *Clock) Now() time.Time {
	return c.now
}

// At schedules the function to run at the given time.
func (c *Clock) At(at time.Time, run func()) {
	c.seq++
	heap.Push(&c.queue, event{at, c.seq, run})
}

// After schedules the function to run after the duration.
func (c *Clock) After(d time.Duration, run func()) {
	c.At(c.now.Add(d), run)
}

// Step runs the next function if it is due before end, and reports whether it
// did.
func (c *Clock) Step(end time.Time) bool {
	if len(c.queue) == 0 || !c.queue[0].at.Before(end) {
		return false
	}
	e := heap.Pop(&c.queue).(event)
	c.now = e.at
	e.run()
	return true
}

// AdvanceTo sets the time without running any function. All functions that are
// scheduled before it must have run.
func (c *Clock) AdvanceTo(to time.Time) {
	c.now = to
}

// event is a scheduled function. seq orders events that have the same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// queue is a heap of events, the next due one first.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
