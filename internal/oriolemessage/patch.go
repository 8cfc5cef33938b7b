package oriolemessage

import (
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// FromPatch returns the message that tells what has changed of an assignment.
func FromPatch(p oriole.AssignmentPatch) *Patch {
	patch := &Patch{
		Service: string(p.Service), Term: p.Term, Base: p.Base, Seq: p.Seq, Fence: uint64(p.Fence),
		Ranges: make([]Range, 0, len(p.Ranges)),
	}
	for _, r := range p.Ranges {
		patch.Ranges = append(patch.Ranges, fromRange(r))
	}
	return patch
}

// ToPatch returns the change that the message tells of.
func (p *Patch) ToPatch() (patch oriole.AssignmentPatch, err error) {
	patch = oriole.AssignmentPatch{
		Service: oriole.ServiceName(p.Service), Term: p.Term, Base: p.Base, Seq: p.Seq, Fence: oriole.Fence(p.Fence),
	}
	next := 0
	for _, r := range p.Ranges {
		if r.First < next {
			return patch, errors.Wrap(ErrMalformed, "ranges of a patch")
		}
		next = r.Last + 1
		parsed, err := r.toRange()
		if err != nil {
			return patch, err
		}
		patch.Ranges = append(patch.Ranges, parsed)
	}
	if patch.Service == "" {
		return patch, errors.Wrap(ErrMalformed, "patch")
	}
	return patch, nil
}
