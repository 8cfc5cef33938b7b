package oriole

import (
	"slices"
	"time"
)

// ShardKey determines which upstream of a sharded service owns a request.
// Callers send it with the request; upstreams own ranges of shard keys.
type ShardKey uint16

// MaxShardKey is the highest valid shard key.
const MaxShardKey ShardKey = 1<<16 - 1

// Fence is the fencing token of a key range. It increases with each change of
// owner or leader. An upstream refuses a grant whose fencing token is lower
// than the highest that it has seen for the range.
type Fence uint64

// UnknownLeader stands in [Assignment.PriorLeaders] for leaders whose records were
// lost when the store was restored.
const UnknownLeader GatewayID = "?"

// Range is a contiguous range of shard keys with one owner. Both ends are
// inclusive.
type Range struct {
	First ShardKey
	Last  ShardKey
	Owner Incarnation
	Fence Fence
	// PriorOwners are prior owners that may still hold a lease. The owner is
	// granted its lease only when none is left.
	PriorOwners []Incarnation
}

// Size returns the number of shard keys in the range.
func (r Range) Size() int { return int(r.Last) - int(r.First) + 1 }

// Contains reports whether key is in the range.
func (r Range) Contains(key ShardKey) bool { return r.First <= key && key <= r.Last }

// Grantable reports whether the owner may be granted its lease.
func (r Range) Grantable() bool { return len(r.PriorOwners) == 0 && r.Owner.ID != "" }

// Assignment maps the keys of one service to their owners. Only the leader of
// the current term writes it, by conditional update.
type Assignment struct {
	Service ServiceName
	// Term is incremented by each new leader.
	Term   uint64
	Leader GatewayID
	// PriorLeaders lists prior leaders that may still renew leases.
	PriorLeaders []GatewayID
	// Fence is the highest fencing token that any range has had.
	Fence Fence
	// Seq is the sequence number of this assignment within the term. The leader
	// increments it with each change that it publishes.
	Seq uint64
	// Ranges are sorted and cover every shard key exactly once.
	Ranges []Range
	// PendingReleases lists unanswered releases that upstreams may still execute.
	// It is stored for the next leader and not part of patches.
	PendingReleases []PendingRelease
	// PriorLeases tells for prior owners that own no range how much longer they may hold
	// leases. It is stored for the next leader, and absent after a patch.
	PriorLeases []PriorLease
	// UnknownRemaining is how much longer upstreams may hold leases of unknown leaders,
	// counted from when the assignment was written, or 0 if that is not known. It is absent
	// after a patch.
	UnknownRemaining time.Duration
}

// PriorLease is the time for which leases of a prior owner may still run, counted from when
// the assignment was written. A prior owner without one may have been granted leases until
// its leader ended.
type PriorLease struct {
	Owner     Incarnation
	Remaining time.Duration
}

// PendingRelease is a release of a range that was sent to an upstream and not
// answered. The upstream may execute it seconds later, even if it was granted
// the range again in the meantime. Both ends are inclusive.
type PendingRelease struct {
	Server ServerID
	First  ShardKey
	Last   ShardKey
}

// Covers reports whether the release is for keys of the range at the upstream.
func (p PendingRelease) Covers(server ServerID, first, last ShardKey) bool {
	return p.Server == server && p.First <= last && first <= p.Last
}

// Find returns the range that contains key, or nil if no ranges have been
// assigned yet.
func (a *Assignment) Find(key ShardKey) *Range {
	i, found := slices.BinarySearchFunc(a.Ranges, key, func(r Range, k ShardKey) int {
		switch {
		case r.Last < k:
			return -1
		case r.First > k:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &a.Ranges[i]
}

// Valid reports whether the ranges are sorted, cover every shard key exactly
// once, and have no fencing token above that of the assignment.
func (a *Assignment) Valid() bool {
	next := 0
	for _, r := range a.Ranges {
		if int(r.First) != next || r.Last < r.First || r.Fence > a.Fence {
			return false
		}
		next = int(r.Last) + 1
	}
	return next == int(MaxShardKey)+1
}

// Clone returns a deep copy.
func (a Assignment) Clone() Assignment {
	a.PriorLeaders = slices.Clone(a.PriorLeaders)
	a.PendingReleases = slices.Clone(a.PendingReleases)
	a.PriorLeases = slices.Clone(a.PriorLeases)
	a.Ranges = slices.Clone(a.Ranges)
	for i := range a.Ranges {
		a.Ranges[i].PriorOwners = slices.Clone(a.Ranges[i].PriorOwners)
	}
	return a
}

// Newer reports whether a is of a later term than old, or later in the same
// term. A nil old is older than any assignment.
func (a *Assignment) Newer(old *Assignment) bool {
	if old == nil || a.Term != old.Term {
		return old == nil || a.Term > old.Term
	}
	return a.Seq > old.Seq
}
