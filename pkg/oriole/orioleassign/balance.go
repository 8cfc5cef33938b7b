package orioleassign

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// target is an upstream that may own ranges.
type target struct {
	incarnation oriole.Incarnation
	// capacity is the requests per second that it can handle, duration the mean
	// duration of a request, and load the requests per second for its ranges.
	capacity float64
	duration time.Duration
	load     float64
	// pinned is set if its ranges can't be released now.
	pinned bool
}

// maxUtilization is the utilization from which a target counts as overloaded
// and its queue is assumed to grow without bound. Above it, the cost rises
// linearly by overloadGrowth, since the queue model has no finite value at full
// load.
const maxUtilization = 0.95

// cost returns the marginal cost of the target at the given load: by how much
// the total time of all requests grows with one more request per second. Load
// is balanced when all targets have the same cost. Fast targets then take more
// than their share of a light load, while under heavy load all targets are
// equally utilized.
func (t *target) cost(load float64) float64 {
	utilization := load / t.capacity
	excess := max(utilization-maxUtilization, 0)
	squared := min(utilization, maxUtilization) * min(utilization, maxUtilization)
	// The first term is the derivative, by the utilization r, of r/(1-r*r): half
	// the mean number of requests in an M/M/2 queue.
	growth := (1+squared)/((1-squared)*(1-squared)) + excess*overloadGrowth
	return t.duration.Seconds() * growth
}

// fillUtilization is the utilization up to which a target is filled by the load
// of an overloaded one.
const fillUtilization = 0.8

// overloadGrowth is the slope of the cost above maxUtilization.
const overloadGrowth = 1000

// Limits for balancing.
const (
	// costTolerance is the relative difference in cost between two targets
	// above which ranges move between them. Smaller differences are within the
	// noise of short measurements.
	costTolerance = 0.3
	// minTargetLoad is the load, in requests per second, that each target is
	// given however slow it is, since the speed of an unused target is never
	// measured.
	minTargetLoad = 0.7
	// minMoves and movesPerTarget bound the ranges moved by one plan, so that
	// all its handovers complete before the next plan. The number of hot keys
	// grows with the number of upstreams, and they have to be spread within
	// seconds however many there are.
	minMoves       = 6
	movesPerTarget = 0.25
	// rangesPerTarget and maxRanges limit the number of ranges of an assignment, see
	// rangeLimit. The leader renews each range's lease with a call of its own, and
	// 1200 ranges take some 670 calls a second.
	rangesPerTarget    = 8
	maxRanges          = 1200
	minRangesPerTarget = 2
	// minMoveShare is the minimum load of a move, as a share of the load that
	// should move. Smaller moves are not worth their handover.
	minMoveShare = 0.25
	// maxMoveShare is the maximum load of a move, as a multiple of the load
	// that should move. It is above 1 because a single hot key can't be split.
	maxMoveShare = 1.5
	// unownedPieces is the number of pieces per mean load of a target that an
	// unowned range is split into, so that its load is spread over several
	// targets.
	unownedPieces = 4
)

// balancer computes the ranges of the next assignment.
type balancer struct {
	// ranges are those of the next assignment. A fencing token of 0 means that
	// plan has to set a new one.
	ranges        []oriole.Range
	targets       []*target
	byIncarnation map[oriole.Incarnation]*target
	byID          map[oriole.ServerID]*target
	load          *profile
	// meanLoad is the total load divided by the number of targets.
	meanLoad float64
	changed  bool
}

func newBalancer(ranges []oriole.Range, targets []target, load *profile) *balancer {
	b := &balancer{
		ranges:        slices.Clone(ranges),
		byIncarnation: make(map[oriole.Incarnation]*target),
		byID:          make(map[oriole.ServerID]*target),
		load:          load,
	}
	for i := range targets {
		t := &targets[i]
		t.load = 0
		b.targets = append(b.targets, t)
		b.byIncarnation[t.incarnation] = t
		b.byID[t.incarnation.ID] = t
	}
	for _, r := range b.ranges {
		if t := b.byIncarnation[r.Owner]; t != nil {
			t.load += load.between(r.First, r.Last)
		}
	}
	b.meanLoad = load.between(0, oriole.MaxShardKey) / float64(max(len(targets), 1))
	return b
}

// rangeLimit returns the number of ranges from which on balancing moves whole ranges
// only, and unowned ranges are split into few pieces. Hot keys are still split, and
// small ranges joined with their neighbours for it.
func (b *balancer) rangeLimit() int {
	n := len(b.targets)
	return min(rangesPerTarget*n, max(maxRanges, minRangesPerTarget*n))
}

// initialRanges returns one range for each target, all of about the same size.
func initialRanges(targets []target) []oriole.Range {
	n := len(targets)
	keys := int(oriole.MaxShardKey) + 1
	ranges := make([]oriole.Range, 0, n)
	for i, t := range targets {
		ranges = append(ranges, oriole.Range{
			First: oriole.ShardKey(keys * i / n),
			Last:  oriole.ShardKey(keys*(i+1)/n - 1),
			Owner: t.incarnation,
		})
	}
	return ranges
}

// reassignUnowned assigns the ranges whose owners are not targets to targets.
// It reports whether anything changed.
func (b *balancer) reassignUnowned() bool {
	if len(b.targets) == 0 {
		return false
	}
	var next []oriole.Range
	for _, r := range b.ranges {
		switch {
		case b.byIncarnation[r.Owner] != nil:
			next = append(next, r)
		case b.byID[r.Owner.ID] != nil:
			// The owner has restarted and holds no lease.
			next = append(next, b.reassign(r, b.byID[r.Owner.ID]))
		default:
			next = append(next, b.distribute(r)...)
		}
	}
	b.ranges = next
	return b.changed
}

// reassign returns the range with a new owner and no fencing token yet. Its old
// owner becomes a prior owner.
func (b *balancer) reassign(r oriole.Range, to *target) oriole.Range {
	b.changed = true
	to.load += b.load.between(r.First, r.Last)
	priorOwners := slices.Clone(r.PriorOwners)
	if r.Owner.ID != "" && r.Owner != to.incarnation && !slices.Contains(priorOwners, r.Owner) {
		priorOwners = append(priorOwners, r.Owner)
	}
	// The new owner does not have to release the range to itself.
	priorOwners = slices.DeleteFunc(priorOwners, func(o oriole.Incarnation) bool { return o == to.incarnation })
	return oriole.Range{First: r.First, Last: r.Last, Owner: to.incarnation, PriorOwners: priorOwners}
}

// distribute splits a range into pieces and assigns each to the target whose
// cost is the lowest with the load of the piece added.
func (b *balancer) distribute(r oriole.Range) []oriole.Range {
	var pieces []oriole.Range
	pieceLoad := b.meanLoad / unownedPieces
	if len(b.ranges) >= b.rangeLimit() {
		pieceLoad = b.meanLoad
	}
	first := int(r.First)
	for first <= int(r.Last) {
		last := b.load.headWithLoad(oriole.ShardKey(first), r.Last, pieceLoad)
		part := r
		part.First, part.Last = oriole.ShardKey(first), last
		load := b.load.between(part.First, part.Last)
		to := slices.MinFunc(b.targets, func(x, y *target) int {
			return cmp.Compare(x.cost(x.load+load), y.cost(y.load+load))
		})
		reassigned := b.reassign(part, to)
		if n := len(pieces); n > 0 && pieces[n-1].Owner == reassigned.Owner {
			pieces[n-1].Last = reassigned.Last
		} else {
			pieces = append(pieces, reassigned)
		}
		first = int(last) + 1
	}
	return pieces
}

// balance moves ranges from the targets with the highest cost to those with the
// lowest. A target that no move relieves, such as the owner of a single hot key,
// does not hold up the relief of other overloaded targets. It reports whether
// anything changed.
func (b *balancer) balance() bool {
	if len(b.targets) < 2 {
		return b.changed
	}
	blocked := make(map[*target]bool)
	moves := max(minMoves, int(movesPerTarget*float64(len(b.targets))))
	moves -= b.joinSmall(moves / 2)
	for moves > 0 {
		high, low := b.mostExpensive(blocked), b.leastExpensive()
		if high == nil || !needsRelief(high, low) || (len(blocked) > 0 && !high.overloaded()) {
			break
		}
		if b.relieve(high, low) {
			moves--
		} else {
			blocked[high] = true
		}
	}
	return b.changed
}

// joinSmall moves small ranges to the owners of their neighbours while there are more
// ranges than the limit, so that merge can join them once they are handed over. It
// returns the number of moves, maxMoves at most.
func (b *balancer) joinSmall(maxMoves int) (moves int) {
	excess := len(b.ranges) - b.rangeLimit()
	for i := 1; i < len(b.ranges) && moves < min(maxMoves, excess); i++ {
		r, neighbour := b.ranges[i], b.ranges[i-1]
		from, to := b.byIncarnation[r.Owner], b.byIncarnation[neighbour.Owner]
		if from == nil || to == nil || from == to || from.pinned || !r.Grantable() || !neighbour.Grantable() {
			continue
		}
		load := b.load.between(r.First, r.Last)
		if load > b.meanLoad/unownedPieces || to.load+load > fillUtilization*to.capacity {
			continue
		}
		from.load -= load
		b.ranges[i] = b.reassign(r, to)
		moves++
	}
	return moves
}

// mostExpensive returns the target with the highest cost that is neither blocked nor
// pinned, or nil if all are.
func (b *balancer) mostExpensive(blocked map[*target]bool) *target {
	var high *target
	highCost := 0.0
	for _, t := range b.targets {
		if cost := t.cost(t.load); !blocked[t] && !t.pinned && (high == nil || cost > highCost) {
			high, highCost = t, cost
		}
	}
	return high
}

func (b *balancer) leastExpensive() *target {
	return slices.MinFunc(b.targets, func(x, y *target) int { return cmp.Compare(x.receiveCost(), y.receiveCost()) })
}

// needsRelief reports whether the costs of the targets differ enough for a move.
func needsRelief(high, low *target) bool {
	return high != low && high.load > 2*minTargetLoad && high.cost(high.load) >= low.receiveCost()*(1+costTolerance)
}

// overloaded reports whether the target's queue is assumed to grow without bound.
func (t *target) overloaded() bool { return t.load >= maxUtilization*t.capacity }

// relieve moves the range, or part of a range, that comes closest to equalizing
// the costs of the two targets. It reports whether it moved any.
func (b *balancer) relieve(high, low *target) bool {
	want := equalizingLoad(high, low)
	if low.load < minTargetLoad {
		want = max(want, minTargetLoad)
	}
	minLoad, maxLoad := want*minMoveShare, want*maxMoveShare
	if high.overloaded() {
		// A range that is moved can't be split again until it is handed over, so
		// that a hot one is cut at once into pieces that a target can handle.
		if room := fillUtilization*low.capacity - low.load; room > 0 {
			want = min(want, room)
			maxLoad = max(want*maxMoveShare, room)
		}
		// The target is overloaded: a move of any size is worth its handover.
		minLoad = 0
	}
	best, index := b.bestPart(high, want, minLoad, maxLoad, b.candidateParts)
	if index < 0 && high.overloaded() {
		best, index = b.bestPart(high, want, minLoad, maxLoad, func(r oriole.Range, _ float64) []oriole.Range {
			return []oriole.Range{b.load.hottestBucket(r)}
		})
	}
	if index < 0 {
		return b.moveHottestBucket(high)
	}
	high.load -= b.load.between(best.First, best.Last)
	b.replacePart(index, best, b.reassign(best, low))
	return true
}

// bestPart returns the part of a range of the target whose load is between
// minLoad and maxLoad and the closest to want, and the index of the range, which
// is -1 if there is none. parts returns the candidates of a range.
func (b *balancer) bestPart(owner *target, want, minLoad, maxLoad float64, parts func(r oriole.Range, want float64) []oriole.Range) (best oriole.Range, index int) {
	index = -1
	bestDiff := math.Inf(1)
	for i, r := range b.ranges {
		if r.Owner != owner.incarnation || !r.Grantable() {
			continue
		}
		for _, part := range parts(r, want) {
			load := b.load.between(part.First, part.Last)
			if diff := math.Abs(load - want); load > minLoad && load < maxLoad && diff < bestDiff {
				best, bestDiff, index = part, diff, i
			}
		}
	}
	return best, index
}

// minUpgradeFactor is the minimum ratio of a target's capacity to that of a hot
// key's owner for the key to move to the target.
const minUpgradeFactor = 1.25

// moveHottestBucket moves the hottest bucket of an overloaded target to the
// target with the highest capacity. A single key can't be split, so that a hot
// key needs the fastest upstream if no other move relieves its owner.
func (b *balancer) moveHottestBucket(from *target) bool {
	if !from.overloaded() {
		return false
	}
	to := slices.MaxFunc(b.targets, func(x, y *target) int { return cmp.Compare(x.capacity, y.capacity) })
	if to.capacity < minUpgradeFactor*from.capacity {
		return false
	}
	hottest, index, maxLoad := oriole.Range{}, -1, 0.0
	for i, r := range b.ranges {
		if r.Owner != from.incarnation || !r.Grantable() {
			continue
		}
		part := b.load.hottestBucket(r)
		if load := b.load.between(part.First, part.Last); load > maxLoad {
			hottest, index, maxLoad = part, i, load
		}
	}
	// The bucket's load must be at least the load that the new owner already
	// has: if it can't handle both, its other ranges have to move away.
	if index < 0 || maxLoad < to.load {
		return false
	}
	from.load -= maxLoad
	b.replacePart(index, hottest, b.reassign(hottest, to))
	return true
}

// receiveCost returns the cost of the target, or 0 if its load is below
// minTargetLoad, so that it is the first to receive more.
func (t *target) receiveCost() float64 {
	if t.load < minTargetLoad {
		return 0
	}
	return t.cost(t.load)
}

// equalizeSteps is the number of bisection steps in equalizingLoad. Each halves
// the error.
const equalizeSteps = 12

// equalizingLoad returns the load that has to move from high to low for their
// costs to become equal.
func equalizingLoad(high, low *target) float64 {
	lower, upper := 0.0, high.load
	for range equalizeSteps {
		middle := (lower + upper) / 2
		if high.cost(high.load-middle) > low.cost(low.load+middle) {
			lower = middle
		} else {
			upper = middle
		}
	}
	return lower
}

// candidateParts returns the parts of a range that are considered for a move of
// the wanted load.
func (b *balancer) candidateParts(r oriole.Range, want float64) []oriole.Range {
	parts := []oriole.Range{r}
	if len(b.ranges) >= b.rangeLimit() {
		return parts
	}
	head, tail := r, r
	head.Last = b.load.headWithLoad(r.First, r.Last, want)
	tail.First = b.load.tailWithLoad(r.First, r.Last, want)
	parts = append(parts, head, tail)
	hot := b.load.hottestBucket(r)
	if r.First < hot.First {
		head.Last = hot.First - 1
		parts = append(parts, head)
	}
	if hot.Last < r.Last {
		tail.First = hot.Last + 1
		parts = append(parts, tail)
	}
	return parts
}

// replacePart replaces part, which lies within the range with index i, by
// replacement.
func (b *balancer) replacePart(i int, part, replacement oriole.Range) {
	whole := b.ranges[i]
	var pieces []oriole.Range
	if whole.First < part.First {
		before := whole
		before.Last = part.First - 1
		pieces = append(pieces, before)
	}
	pieces = append(pieces, replacement)
	if part.Last < whole.Last {
		after := whole
		after.First = part.Last + 1
		pieces = append(pieces, after)
	}
	b.ranges = slices.Replace(b.ranges, i, i+1, pieces...)
}

// merge joins adjacent ranges with the same owner and prior owners, so that one
// grant covers them. It needs a new fencing token; until it arrives, the owner
// serves the keys under its old leases.
func (b *balancer) merge() {
	merged := b.ranges[:0:0]
	for _, r := range b.ranges {
		if n := len(merged); n > 0 && merged[n-1].Owner == r.Owner && slices.Equal(merged[n-1].PriorOwners, r.PriorOwners) {
			merged[n-1].Fence = 0
			merged[n-1].Last = r.Last
			continue
		}
		merged = append(merged, r)
	}
	b.ranges = merged
}
