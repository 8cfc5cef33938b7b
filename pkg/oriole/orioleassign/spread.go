package orioleassign

import (
	"math"
	"slices"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// target is an upstream that may own ranges.
type target struct {
	life oriole.Life
	// capacity is the requests a second that it can serve, and load those
	// that its ranges get.
	capacity float64
	load     float64
}

// use returns the part of the capacity that the load takes.
func (t *target) use() float64 { return t.load / t.capacity }

// Limits of balancing.
const (
	// tolerance is how far above the mean use the busiest target may be before
	// ranges leave it. A queue at two thirds of its capacity feels a quarter
	// more load, and less is within the noise of short counts.
	tolerance = 0.25
	// quietUse is the use below which a target is left alone: two slots hardly
	// ever make a request wait there.
	quietUse = 0.15
	// movesAtOnce bounds the ranges of one change, so that one round of
	// hand-overs ends before the next is planned.
	movesAtOnce = 6
	// rangesPerTarget bounds the size of the table.
	rangesPerTarget = 8
	// leastGain is the part of the wanted load below which a move is not
	// worth its hand-over.
	leastGain = 0.25
	// orphanCuts is how many pieces of the mean load an unowned range is cut
	// into at least, so that its load spreads over several targets.
	orphanCuts = 4
)

// spreader works out the next ranges.
type spreader struct {
	ranges  []oriole.Range
	targets []*target
	byLife  map[oriole.Life]*target
	byID    map[oriole.ServerID]*target
	load    *profile
	mean    float64
	changed bool
}

func newSpreader(ranges []oriole.Range, targets []target, load *profile) *spreader {
	s := &spreader{
		ranges: slices.Clone(ranges),
		byLife: make(map[oriole.Life]*target),
		byID:   make(map[oriole.ServerID]*target),
		load:   load,
	}
	capacity := 0.0
	for i := range targets {
		t := &targets[i]
		t.load = 0
		s.targets = append(s.targets, t)
		s.byLife[t.life] = t
		s.byID[t.life.ID] = t
		capacity += t.capacity
	}
	total := 0.0
	for _, r := range s.ranges {
		weight := load.of(r.First, r.Last)
		total += weight
		if t := s.byLife[r.Owner]; t != nil {
			t.load += weight
		}
	}
	s.mean = total / math.Max(capacity, math.SmallestNonzeroFloat64)
	return s
}

// initial returns one range for each target, of about the same size.
func initial(targets []target) []oriole.Range {
	n := len(targets)
	points := int(oriole.LastPoint) + 1
	ranges := make([]oriole.Range, 0, n)
	for i, t := range targets {
		ranges = append(ranges, oriole.Range{
			First: oriole.Point(points * i / n),
			Last:  oriole.Point(points*(i+1)/n - 1),
			Owner: t.life,
		})
	}
	return ranges
}

// rescue gives the ranges whose owners may not serve them to targets. It
// reports whether anything changed.
func (s *spreader) rescue() bool {
	if len(s.targets) == 0 {
		return false
	}
	var next []oriole.Range
	for _, r := range s.ranges {
		switch {
		case s.byLife[r.Owner] != nil:
			next = append(next, r)
		case s.byID[r.Owner.ID] != nil:
			// The owner started anew and holds nothing.
			next = append(next, s.give(r, s.byID[r.Owner.ID]))
		default:
			next = append(next, s.scatter(r)...)
		}
	}
	s.ranges = next
	return s.changed
}

// give returns the range with a new owner; its old one becomes a giver.
func (s *spreader) give(r oriole.Range, to *target) oriole.Range {
	s.changed = true
	to.load += s.load.of(r.First, r.Last)
	givers := slices.Clone(r.Givers)
	if r.Owner.ID != "" && r.Owner != to.life && !slices.Contains(givers, r.Owner) {
		givers = append(givers, r.Owner)
	}
	// The new owner needs no release from itself.
	givers = slices.DeleteFunc(givers, func(l oriole.Life) bool { return l == to.life })
	return oriole.Range{First: r.First, Last: r.Last, Owner: to.life, Givers: givers}
}

// scatter cuts a range into pieces for the least loaded targets.
func (s *spreader) scatter(r oriole.Range) []oriole.Range {
	var pieces []oriole.Range
	piece := s.mean / orphanCuts
	first := int(r.First)
	for first <= int(r.Last) {
		last := s.load.after(oriole.Point(first), r.Last, piece)
		part := r
		part.First, part.Last = oriole.Point(first), last
		weight := s.load.of(part.First, part.Last)
		to := slices.MinFunc(s.targets, func(a, b *target) int {
			return compareFloat((a.load+weight)/a.capacity, (b.load+weight)/b.capacity)
		})
		given := s.give(part, to)
		if n := len(pieces); n > 0 && pieces[n-1].Owner == given.Owner {
			pieces[n-1].Last = given.Last
		} else {
			pieces = append(pieces, given)
		}
		first = int(last) + 1
	}
	return pieces
}

// balance moves ranges from the busiest targets to the idlest. It reports
// whether anything changed.
func (s *spreader) balance() bool {
	if len(s.targets) < 2 {
		return s.changed
	}
	for range movesAtOnce {
		if !s.moveOne() {
			break
		}
	}
	return s.changed
}

func (s *spreader) moveOne() bool {
	byUse := func(a, b *target) int { return compareFloat(a.use(), b.use()) }
	high, low := slices.MaxFunc(s.targets, byUse), slices.MinFunc(s.targets, byUse)
	if high.use() < max(s.mean*(1+tolerance), quietUse) && low.load > 0 {
		return false
	}
	want := min(high.load-s.mean*high.capacity, s.mean*low.capacity-low.load)
	if want <= 0 {
		return false
	}
	best, bestGain := oriole.Range{}, math.Inf(1)
	index := -1
	for i, r := range s.ranges {
		if r.Owner != high.life || !r.Ready() {
			continue
		}
		for _, part := range s.parts(r, want) {
			weight := s.load.of(part.First, part.Last)
			if off := math.Abs(weight - want); weight >= want*leastGain && weight < want*1.6 && off < bestGain {
				best, bestGain, index = part, off, i
			}
		}
	}
	if index < 0 {
		return false
	}
	high.load -= s.load.of(best.First, best.Last)
	s.replace(index, best, s.give(best, low))
	return true
}

// parts returns the parts of a range that might be moved to shift the load.
func (s *spreader) parts(r oriole.Range, want float64) []oriole.Range {
	parts := []oriole.Range{r}
	if len(s.ranges) >= rangesPerTarget*len(s.targets) {
		return parts
	}
	head, tail := r, r
	head.Last = s.load.after(r.First, r.Last, want)
	tail.First = s.load.ahead(r.First, r.Last, want)
	return append(parts, head, tail)
}

// replace puts given in the place of part, which is some of the range i.
func (s *spreader) replace(i int, part, given oriole.Range) {
	whole := s.ranges[i]
	var pieces []oriole.Range
	if whole.First < part.First {
		before := whole
		before.Last = part.First - 1
		pieces = append(pieces, before)
	}
	pieces = append(pieces, given)
	if part.Last < whole.Last {
		after := whole
		after.First = part.Last + 1
		pieces = append(pieces, after)
	}
	s.ranges = slices.Replace(s.ranges, i, i+1, pieces...)
}

// merge joins neighbours of one owner, which then get one grant. Where their
// fences differ the joined range gets a new one; the owner goes on serving it.
func (s *spreader) merge() {
	merged := s.ranges[:0:0]
	for _, r := range s.ranges {
		if n := len(merged); n > 0 && merged[n-1].Owner == r.Owner && slices.Equal(merged[n-1].Givers, r.Givers) {
			if merged[n-1].Fence != r.Fence {
				merged[n-1].Fence = 0
			}
			merged[n-1].Last = r.Last
			continue
		}
		merged = append(merged, r)
	}
	s.ranges = merged
}

func compareFloat(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
