package orioleliveness

import "time"

const (
	// maxTickGap is the longest time between two ticks of a gateway that runs. With
	// a heartbeat interval before it, it is shorter than [SilenceTimeout].
	maxTickGap = 600 * time.Millisecond
	// stallGrace is how long no gateway is judged after a stall of this one, so that
	// the frames that wait in its sockets are read first.
	stallGrace = 400 * time.Millisecond
)

// recordTick records a tick of this gateway. One that comes late begins the grace
// period, unless the one before was late too: a gateway that is always late still
// detects failures.
func (d *Detector) recordTick(now time.Time) {
	late := d.tickOverdue(now)
	if late && !d.lastTickLate {
		d.graceUntil = now.Add(stallGrace)
	}
	d.lastTick, d.lastTickLate = now, late
}

// Stalled reports whether this gateway was itself stalled until a moment ago, so
// that the silence of others shows nothing.
func (d *Detector) Stalled(now time.Time) bool {
	return now.Before(d.graceUntil) || (d.tickOverdue(now) && !d.lastTickLate)
}

func (d *Detector) tickOverdue(now time.Time) bool {
	return !d.lastTick.IsZero() && now.Sub(d.lastTick) > maxTickGap
}
