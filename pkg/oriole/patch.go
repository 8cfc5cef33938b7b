package oriole

import (
	"slices"
)

// AssignmentPatch is the difference between two assignments of one term, or of
// a term and the following one. Its ranges replace whatever covered their keys.
// If the term is new, its leader has given all other ranges the patch's fencing
// token.
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

// Diff returns the patch that turns a into next. Both must be of the same service,
// and next of the same term or the following one.
func (a *Assignment) Diff(next *Assignment) AssignmentPatch {
	patch := AssignmentPatch{
		Service: next.Service, Term: next.Term, Leader: next.Leader, BaseTerm: a.Term, BaseSeq: a.Seq, Seq: next.Seq, Fence: next.Fence,
	}
	old := a.rangesBefore(patch)
	for _, r := range next.Ranges {
		i, found := slices.BinarySearchFunc(old, r.First, func(r Range, p ShardKey) int { return int(r.First) - int(p) })
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

// Patched returns a copy of the assignment with the patch applied. fits reports
// whether the patch is based on a and results in a valid assignment.
func (a *Assignment) Patched(p AssignmentPatch) (next Assignment, fits bool) {
	if a == nil || a.Term != p.BaseTerm || a.Seq != p.BaseSeq {
		return next, false
	}
	next = a.Clone()
	next.Term, next.Leader, next.Seq, next.Fence = p.Term, p.Leader, p.Seq, p.Fence
	next.Ranges = a.rangesBefore(p)
	for _, r := range p.Ranges {
		next.Ranges = overlay(next.Ranges, r)
	}
	return next, next.Valid()
}

// overlay inserts over into ranges. Ranges that it covers in part are trimmed,
// or split in two.
func overlay(ranges []Range, over Range) []Range {
	var result []Range
	placed := false
	for _, r := range ranges {
		if r.Last < over.First || over.Last < r.First {
			if !placed && r.First > over.Last {
				result, placed = append(result, over), true
			}
			result = append(result, r)
			continue
		}
		if r.First < over.First {
			head := r
			head.Last = over.First - 1
			result = append(result, head)
		}
		if !placed {
			result, placed = append(result, over), true
		}
		if r.Last > over.Last {
			tail := r
			tail.First = over.Last + 1
			result = append(result, tail)
		}
	}
	if !placed {
		result = append(result, over)
	}
	return result
}
