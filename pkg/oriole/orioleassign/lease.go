package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// lease is the leader's state for one range.
type lease struct {
	oriole.Range
	// lastSent is the latest time at which a grant to the owner may have been
	// sent. It does not count grants that are still unanswered, see
	// grantInFlight. leaseExpiry returns when the lease has certainly expired.
	lastSent time.Time
	// nextGrant is when the next grant is due.
	nextGrant time.Time
	// granted is set once the owner has accepted a grant from this leader.
	granted bool
	// conn is the connection that the fencing token was granted on, and
	// attempted is set once a grant with this fencing token may have been sent.
	// A grant on another connection could reach another incarnation of the
	// owner, which must not get the same fencing token.
	conn      oriole.ConnID
	attempted bool
	// fenceUnusable is set if the range needs a new fencing token: the owner
	// refused this one; or a grant failed after this one may have been sent, so
	// that the next grant could reach another incarnation; or this gateway has
	// resumed its term and can't know what it sent before.
	fenceUnusable bool
	priorOwners   []priorOwner
	// handover is the handover token that the last prior owner returned for the
	// next one.
	handover string
}

// priorOwner is the state of a prior owner that may still hold the range.
type priorOwner struct {
	incarnation oriole.Incarnation
	lastSent    time.Time
	nextRelease time.Time
	// releaseSent is set if a release was sent, or may have been sent by a prior
	// leader. Another release can be answered while requests are running that
	// the first one waits for: the range counts as held until maxRequestDuration
	// after repeatAnswered, when such a release was answered.
	releaseSent    bool
	repeatAnswered time.Time
}

// rangeFrom returns the index of the range that begins with the key, and whether there is
// one. The ranges are sorted.
func rangeFrom(ranges []oriole.Range, first oriole.ShardKey) (i int, found bool) {
	return slices.BinarySearchFunc(ranges, first, func(r oriole.Range, key oriole.ShardKey) int { return int(r.First) - int(key) })
}

// carryLeases returns the leases of the ranges, which replace the old leases.
// The times of calls to owners and prior owners carry over from the old leases
// that overlap. Without old leases, grants of prior leaders may have been sent
// up to assumedSent.
func carryLeases(old []lease, ranges []oriole.Range, assumedSent, now time.Time) []lease {
	next := make([]lease, 0, len(ranges))
	for _, r := range ranges {
		l := lease{Range: r, lastSent: assumedSent, nextGrant: now}
		if len(old) > 0 {
			l.lastSent, l.granted = lastGrantTo(old, r, r.Owner, time.Time{})
		}
		l.priorOwners = make([]priorOwner, 0, len(r.PriorOwners))
		for _, incarnation := range r.PriorOwners {
			// A prior leader may have sent a release already.
			p := priorOwner{incarnation: incarnation, lastSent: assumedSent, nextRelease: now, releaseSent: true}
			if len(old) > 0 {
				p.lastSent, _ = lastGrantTo(old, r, incarnation, time.Time{})
				p.releaseSent = releaseSentTo(old, r, incarnation)
			}
			l.priorOwners = append(l.priorOwners, p)
		}
		for i := range old {
			prev := &old[i]
			if prev.Fence == r.Fence && prev.First <= r.First && r.Last <= prev.Last {
				l.copyReleaseState(prev)
				l.nextGrant, l.handover = prev.nextGrant, prev.handover
				l.conn, l.attempted, l.fenceUnusable = prev.conn, prev.attempted, prev.fenceUnusable
				break
			}
		}
		next = append(next, l)
	}
	return next
}

// copyReleaseState copies the progress of releases from the old lease.
func (l *lease) copyReleaseState(old *lease) {
	for i := range l.priorOwners {
		for _, p := range old.priorOwners {
			if p.incarnation == l.priorOwners[i].incarnation {
				l.priorOwners[i].nextRelease, l.priorOwners[i].repeatAnswered = p.nextRelease, p.repeatAnswered
			}
		}
	}
}

// releaseSentTo reports whether a release of keys of the range was sent to any
// incarnation of the upstream.
func releaseSentTo(old []lease, r oriole.Range, to oriole.Incarnation) bool {
	for i := range old {
		prev := &old[i]
		if prev.Last < r.First || prev.First > r.Last {
			continue
		}
		if slices.ContainsFunc(prev.priorOwners, func(p priorOwner) bool { return p.incarnation.ID == to.ID && p.releaseSent }) {
			return true
		}
	}
	return false
}

// lastGrantTo returns the latest time at which a grant for any key of the range
// may have been sent to the upstream, or fallback if there was none. granted
// reports whether the incarnation has accepted grants of all keys of the range
// with the range's fencing token.
func lastGrantTo(old []lease, r oriole.Range, to oriole.Incarnation, fallback time.Time) (sent time.Time, granted bool) {
	sent = fallback
	granted = true
	for i := range old {
		prev := &old[i]
		if prev.Last < r.First || prev.First > r.Last {
			continue
		}
		if prev.Owner != to || prev.Fence != r.Fence || !prev.granted {
			granted = false
		}
		// A call to one incarnation of an upstream may have reached the next
		// one.
		if prev.Owner.ID == to.ID && prev.lastSent.After(sent) {
			sent = prev.lastSent
		}
		for _, p := range prev.priorOwners {
			if p.incarnation.ID == to.ID && p.lastSent.After(sent) {
				sent = p.lastSent
			}
		}
	}
	return sent, granted
}
