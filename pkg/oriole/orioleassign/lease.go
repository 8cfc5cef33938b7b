package orioleassign

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// lease is what the leader knows of one range.
type lease struct {
	oriole.Range
	// sent is the latest time at which a grant to the owner may have reached
	// it, so that its lease ends a hold later at the latest.
	sent time.Time
	// due is when the next grant goes out.
	due time.Time
	// granted says that the owner has accepted a grant from this leader.
	granted bool
	// conn is the connection that the fence was granted on, and tried says
	// that a grant of it may have left. Another life of the owner may answer on
	// another connection, which must not get the same fence.
	conn  oriole.ConnID
	tried bool
	// spent says that the fence is of no more use: the owner refused it, or its
	// connection is gone.
	spent  bool
	givers []giver
	// handover is what the last giver returned for the next owner.
	handover string
}

// giver is an earlier owner that may still hold the range.
type giver struct {
	life oriole.Life
	sent time.Time
	due  time.Time
	busy bool
	// asked is when the first release may have reached it, or zero. A second one
	// is answered while the work that the first waits for still runs: then it
	// has freed the range, but holds it until that work has certainly ended.
	asked time.Time
	freed bool
}

// follow returns the leases of ranges, which replace the leases in old. What
// was sent to an owner or giver is carried over by the points it was sent for.
func follow(old []lease, ranges []oriole.Range, unknown, now time.Time) []lease {
	next := make([]lease, 0, len(ranges))
	for _, r := range ranges {
		l := lease{Range: r, sent: unknown, due: now}
		if len(old) > 0 {
			l.sent, l.granted = sentTo(old, r, r.Owner, time.Time{})
		}
		l.givers = make([]giver, 0, len(r.Givers))
		for _, life := range r.Givers {
			// An earlier leader may have asked it already.
			g := giver{life: life, sent: unknown, due: now, asked: now}
			if len(old) > 0 {
				g.sent, _ = sentTo(old, r, life, time.Time{})
				g.asked = askedOf(old, r, life)
			}
			l.givers = append(l.givers, g)
		}
		for i := range old {
			o := &old[i]
			if o.Fence == r.Fence && o.First <= r.First && r.Last <= o.Last {
				l.keepReleases(o)
				l.due, l.handover = o.due, o.handover
				l.conn, l.tried, l.spent = o.conn, o.tried, o.spent
				break
			}
		}
		next = append(next, l)
	}
	return next
}

// keepReleases carries over which givers of the old lease are asked already.
func (l *lease) keepReleases(old *lease) {
	for i := range l.givers {
		for _, g := range old.givers {
			if g.life == l.givers[i].life {
				l.givers[i].busy, l.givers[i].due, l.givers[i].freed = g.busy, g.due, g.freed
			}
		}
	}
}

// askedOf returns the latest time at which any life of the upstream was first
// asked to release points of the range, or zero.
func askedOf(old []lease, r oriole.Range, life oriole.Life) (asked time.Time) {
	for i := range old {
		o := &old[i]
		if o.Last < r.First || o.First > r.Last {
			continue
		}
		for _, g := range o.givers {
			if g.life.ID == life.ID && g.asked.After(asked) {
				asked = g.asked
			}
		}
	}
	return asked
}

// sentTo returns the latest time at which a grant of any of the range's points
// may have reached the life, and whether it holds them all by the grant of the
// range's fence.
func sentTo(old []lease, r oriole.Range, life oriole.Life, never time.Time) (sent time.Time, granted bool) {
	sent = never
	granted = true
	for i := range old {
		o := &old[i]
		if o.Last < r.First || o.First > r.Last {
			continue
		}
		if o.Owner != life || o.Fence != r.Fence || !o.granted {
			granted = false
		}
		// What was sent to one life of an upstream may have reached the next.
		if o.Owner.ID == life.ID && o.sent.After(sent) {
			sent = o.sent
		}
		for _, g := range o.givers {
			if g.life.ID == life.ID && g.sent.After(sent) {
				sent = g.sent
			}
		}
	}
	return sent, granted
}
