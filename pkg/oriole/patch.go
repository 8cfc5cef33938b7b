package oriole

import (
	"slices"
)

// AssignmentPatch is the difference between two assignments of one term, or of
// a term and the following one. Its ranges replace whatever covered their keys.
// If the term is new, all other ranges get the patch's fencing token, as a new
// leader replaces the fencing tokens of all ranges.
type AssignmentPatch struct {
	Service ServiceName
	Term    uint64
	Leader  GatewayID
	// Term and sequence number of the assignment that the patch applies to.
	BaseTerm uint64
	BaseSeq  uint64
	Seq      uint64
	Fence    Fence
	Ranges   []Range
}

// Diff returns the patch that turns a into next. Both must be of the same
// service, and next of the same term or the following one.
func (a *Assignment) Diff(next *Assignment) AssignmentPatch {
	patch := AssignmentPatch{
		Service: next.Service, Term: next.Term, Leader: next.Leader, BaseTerm: a.Term, BaseSeq: a.Seq, Seq: next.Seq, Fence: next.Fence,
	}
	old := a.rangesBefore(patch)
	for _, r := range next.Ranges {
		i, found := slices.BinarySearchFunc(old, r.First, func(r Range, key ShardKey) int { return int(r.First) - int(key) })
		if !found || !old[i].equal(r) {
			patch.Ranges = append(patch.Ranges, r)
		}
	}
	return patch
}

// rangesBefore returns the ranges that the patch is applied to: a's own, with
// the patch's fencing token if its term is new.
func (a *Assignment) rangesBefore(p AssignmentPatch) []Range {
	ranges := a.Clone().Ranges
	if p.Term != p.BaseTerm {
		for i := range ranges {
			ranges[i].Fence = p.Fence
		}
	}
	return ranges
}

func (r Range) equal(other Range) bool {
	return r.First == other.First && r.Last == other.Last && r.Owner == other.Owner && r.Fence == other.Fence &&
		slices.Equal(r.PriorOwners, other.PriorOwners)
}

// Patched returns a copy of the assignment with the patch applied. ok reports
// whether the patch is based on a and results in a valid assignment.
func (a *Assignment) Patched(p AssignmentPatch) (next Assignment, ok bool) {
	if a == nil || a.Term != p.BaseTerm || a.Seq != p.BaseSeq {
		return next, false
	}
	next = *a
	next.PriorLeaders, next.PendingReleases = slices.Clone(a.PriorLeaders), slices.Clone(a.PendingReleases)
	// They may hold leases again since.
	next.PriorLeases, next.UnknownRemaining = nil, 0
	next.Term, next.Leader, next.Seq, next.Fence = p.Term, p.Leader, p.Seq, p.Fence
	next.Ranges = replaceRanges(a.rangesBefore(p), p.Ranges)
	return next, next.Valid()
}

// replaceRanges returns the ranges with the keys of replacements replaced by these. Both
// are sorted. Ranges that are replaced in part are trimmed, or split.
func replaceRanges(ranges, replacements []Range) []Range {
	result := make([]Range, 0, len(ranges)+2*len(replacements))
	next := 0
	for _, r := range ranges {
		first := int(r.First)
		for next < len(replacements) && replacements[next].First <= r.Last {
			replacement := replacements[next]
			if first < int(replacement.First) {
				head := r
				head.First, head.Last = ShardKey(first), replacement.First-1
				result = append(result, head)
			}
			first = max(first, int(replacement.Last)+1)
			if replacement.Last > r.Last {
				// It also replaces keys of the next range, which adds it.
				break
			}
			result = append(result, replacement)
			next++
		}
		if first <= int(r.Last) {
			tail := r
			tail.First = ShardKey(first)
			result = append(result, tail)
		}
	}
	return append(result, replacements[next:]...)
}
