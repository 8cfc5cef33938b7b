package orioletimer

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a timer service whose clock, unlike that of [Service], includes
// the time for which the machine was suspended. Leases that another process also
// times must be timed by it, since the clock of that process keeps running while
// this machine is suspended.
type BootClock struct {
	*Service
	startTime   time.Time
	startUptime time.Duration
}

// NewBootClock returns a boot clock whose ticks are sent by s.
func NewBootClock(s *Service) *BootClock {
	return &BootClock{Service: s, startTime: time.Now().Round(0), startUptime: uptime()}
}

// Now implements [oriole.Clock].
func (b *BootClock) Now() time.Time { return b.startTime.Add(uptime() - b.startUptime) }

// uptime returns the time since the machine started, including suspensions.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported systems have CLOCK_BOOTTIME; without it leases would not
		// be safe.
		panic("orioletimer: reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
