package oriolelink

import "time"

const (
	// transitWindow is the time for which the fastest frame is kept. It is short
	// enough for the drift between two clocks not to matter.
	transitWindow = 30 * time.Second
	// maxTransit is the longest time that a frame can be under way: longer than any
	// deadline. Frames that seem to take longer show that a clock was changed.
	maxTransit = time.Minute
)

// transit measures for how long frames of a peer were delayed on their way, in rings,
// sockets and the network. The clocks of the two gateways need not agree: the fastest
// recent frame counts as not delayed.
type transit struct {
	// fastest and earlier are the smallest differences between arrival and sending in
	// the window that began at since, and in the one before.
	fastest time.Duration
	earlier time.Duration
	since   time.Time
}

// record returns the delay of a frame that was sent and received at the given times,
// each by its gateway's own clock.
func (t *transit) record(sentAt, receivedAt time.Time) (delay time.Duration) {
	difference := receivedAt.Sub(sentAt)
	switch {
	case t.since.IsZero() || difference-min(t.fastest, t.earlier) > maxTransit:
		*t = transit{fastest: difference, earlier: difference, since: receivedAt}
	case receivedAt.Sub(t.since) >= transitWindow:
		t.earlier, t.fastest, t.since = t.fastest, difference, receivedAt
	default:
		t.fastest = min(t.fastest, difference)
	}
	return difference - min(t.fastest, t.earlier)
}
