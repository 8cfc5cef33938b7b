// Package oriolesight lets people see what a gateway does: a time line of its
// events, counters, and logs of changes of state.
package oriolesight

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// timelineSize is the number of events that a gateway keeps.
const timelineSize = 4096

// Event is one entry of the time line.
type Event struct {
	// Clock orders events of all gateways: an event that another one caused
	// has a higher value than its cause.
	Clock   uint64           `json:"clock"`
	At      time.Time        `json:"at"`
	Gateway oriole.GatewayID `json:"gateway"`
	Kind    string           `json:"kind"`
	Group   oriole.GroupID   `json:"group,omitempty"`
	Term    oriole.Term      `json:"term,omitempty"`
	Server  oriole.ServerID  `json:"server,omitempty"`
	Count   int              `json:"count,omitempty"`
}

// String returns the event as one line for people.
func (e Event) String() string {
	line := fmt.Sprintf("%s %6d %-16s %-12s", e.At.Format("15:04:05.000"), e.Clock, e.Gateway, e.Kind)
	if e.Group != "" {
		line += fmt.Sprintf(" %s term %d", e.Group, e.Term)
	}
	if e.Server != "" {
		line += " server " + string(e.Server)
	}
	if e.Count != 0 {
		line += fmt.Sprintf(" count %d", e.Count)
	}
	return line
}

// Sort puts events of several gateways in causal order, and by time where one
// did not cause the other.
func Sort(events []Event) {
	slices.SortStableFunc(events, func(a, b Event) int {
		if c := cmp.Compare(a.Clock, b.Clock); c != 0 {
			return c
		}
		return a.At.Compare(b.At)
	})
}

// Timeline keeps the newest events of one gateway. It is safe for concurrent
// use.
type Timeline struct {
	self   oriole.GatewayID
	clock  oriole.Clock
	logger log.Interface
	mu     sync.Mutex
	events []Event
	last   uint64
}

// NewTimeline returns an empty time line. Every event is also logged: the time
// line holds changes of state only.
func NewTimeline(self oriole.GatewayID, clock oriole.Clock, logger log.Interface) *Timeline {
	return &Timeline{self: self, clock: clock, logger: logger}
}

// Add stamps the event and keeps it.
func (t *Timeline) Add(e Event) {
	t.mu.Lock()
	t.last++
	e.Clock = t.last
	e.At = t.clock.Now()
	e.Gateway = t.self
	if len(t.events) >= timelineSize {
		t.events = t.events[timelineSize/4:]
	}
	t.events = append(t.events, e)
	t.mu.Unlock()
	t.logger.WithFields(log.Fields{
		"gateway": e.Gateway,
		"group":   e.Group,
		"term":    e.Term,
		"server":  e.Server,
		"count":   e.Count,
	}).Info(e.Kind)
}

// Clock returns the logical clock, to be sent with messages.
func (t *Timeline) Clock() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Observe takes in the logical clock of a message that was received.
func (t *Timeline) Observe(clock uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = max(t.last, clock)
}

// Events returns the kept events after the given clock, oldest first.
func (t *Timeline) Events(after uint64) []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	var events []Event
	for _, e := range t.events {
		if e.Clock > after {
			events = append(events, e)
		}
	}
	return events
}
