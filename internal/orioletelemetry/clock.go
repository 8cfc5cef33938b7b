package orioletelemetry

import "sync/atomic"

// LogicalClock is a Lamport clock. It orders the events of several processes: an
// event has a higher reading than those that caused it. It is safe for concurrent
// use.
type LogicalClock struct{ latest atomic.Uint64 }

// Tick advances the clock and returns its reading, which is higher than all
// earlier ones.
func (c *LogicalClock) Tick() uint64 { return c.latest.Add(1) }

// Observe advances the clock to a reading received with a message, if that is
// higher.
func (c *LogicalClock) Observe(reading uint64) {
	for {
		latest := c.latest.Load()
		if reading <= latest || c.latest.CompareAndSwap(latest, reading) {
			return
		}
	}
}
