package orioletimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a timer service whose clock counts the time for which the machine
// was suspended, which the clock of [Service] does not. Leases that others
// count must be checked by it.
type Boot struct {
	*Service
	wall time.Time
	boot time.Duration
}

// NewBoot returns a service that shares the ticks of s.
func NewBoot(s *Service) *Boot {
	return &Boot{Service: s, wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements oriole.Clock.
func (b *Boot) Now() time.Time { return b.wall.Add(sinceBoot() - b.boot) }

// sinceBoot returns the time since the machine started, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every system that this runs on; without it no
		// lease could be given safely.
		panic("orioletimer: no clock counts suspensions: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
