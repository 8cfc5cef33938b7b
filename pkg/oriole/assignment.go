package oriole

import "slices"

// Point is a place on the key ring of a divided service.
type Point uint16

// LastPoint is the highest point.
const LastPoint Point = 1<<16 - 1

// Fence orders the owners of a key range: an upstream refuses a grant below
// the highest fence that it has seen.
type Fence uint64

// Range is a run of points with one owner, both ends included.
type Range struct {
	First Point
	Last  Point
	Owner Life
	Fence Fence
	// Givers are earlier owners that may still hold a lease. The owner gets
	// its lease when none is left.
	Givers []Life
}

// Size returns the number of points.
func (r Range) Size() int { return int(r.Last) - int(r.First) + 1 }

// Contains reports whether the range covers the point.
func (r Range) Contains(p Point) bool { return r.First <= p && p <= r.Last }

// Ready reports whether the owner may hold its lease.
func (r Range) Ready() bool { return len(r.Givers) == 0 && r.Owner.ID != "" }

// Assignment says who owns the keys of one service. Only the leader of its
// term writes it, by conditional update.
type Assignment struct {
	Service ServiceName
	// Term counts the leaders.
	Term   uint64
	Leader GatewayID
	// Prior lists earlier leaders that may still renew leases.
	Prior []GatewayID
	// Fence is the highest that any range has had.
	Fence Fence
	// Seq counts what the leader has told of the term's table.
	Seq uint64
	// Ranges are in order and cover every point once.
	Ranges []Range
}

// Find returns the range that covers the point, or nil before the first
// assignment was made.
func (a *Assignment) Find(p Point) *Range {
	i, found := slices.BinarySearchFunc(a.Ranges, p, func(r Range, p Point) int {
		switch {
		case r.Last < p:
			return -1
		case r.First > p:
			return 1
		}
		return 0
	})
	if !found {
		return nil
	}
	return &a.Ranges[i]
}

// Whole reports whether the ranges are in order and cover every point once.
func (a *Assignment) Whole() bool {
	next := 0
	for _, r := range a.Ranges {
		if int(r.First) != next || r.Last < r.First || r.Fence > a.Fence {
			return false
		}
		next = int(r.Last) + 1
	}
	return next == int(LastPoint)+1
}

// Clone returns a copy that shares nothing with a.
func (a Assignment) Clone() Assignment {
	a.Prior = slices.Clone(a.Prior)
	a.Ranges = slices.Clone(a.Ranges)
	for i := range a.Ranges {
		a.Ranges[i].Givers = slices.Clone(a.Ranges[i].Givers)
	}
	return a
}

// Newer reports whether a replaces old as what is known of the service.
func (a *Assignment) Newer(old *Assignment) bool {
	if old == nil || a.Term != old.Term {
		return old == nil || a.Term > old.Term
	}
	return a.Seq > old.Seq
}
