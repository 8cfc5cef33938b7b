// Package oriolefence is a server's side of fenced grants. Authors of servers
// may use it as it is; the stand-ins and the tests do.
package oriolefence

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Holder keeps the lease that a server holds. It is not safe for concurrent
// use; all times are offsets on the server's own monotonic clock.
type Holder struct {
	incarnation uint64
	term        oriole.Term
	number      uint64
	leaseTerm   oriole.Term
	leaseEnd    time.Duration
	seq         uint64
	owned       []int
}

// NewHolder returns a holder without a lease. The incarnation must differ from
// that of every earlier start of the server, and term must be the highest that
// the server accepted before it started: a server that can't remember it does
// not check grants, and must be declared so in the settings.
func NewHolder(incarnation uint64, term oriole.Term) *Holder {
	return &Holder{incarnation: incarnation, term: term}
}

// Term returns the highest term that the server has accepted.
func (h *Holder) Term() oriole.Term { return h.term }

// Apply takes in a grant that arrived at now. It refuses a grant of a lower
// term, and within a term one that is not newer than the last. The reply tells
// what the server held before.
func (h *Holder) Apply(now time.Duration, g oriole.Grant) oriole.GrantReply {
	reply := oriole.GrantReply{
		Mark:        now,
		Incarnation: h.incarnation,
		Seq:         h.seq,
		Owned:       slices.Clone(h.owned),
		Held:        now < h.leaseEnd,
	}
	switch {
	case g.Term < h.term:
	case g.Term == h.term && g.Number <= h.number:
	default:
		h.term = g.Term
		h.number = g.Number
		reply.Accepted = h.hold(now, g)
	}
	reply.Term = h.term
	return reply
}

// hold starts the lease of a grant that names a mark, unless it has lapsed
// already: a grant that was delayed, or that a frozen server finds when it
// returns, must not start a lease anew.
func (h *Holder) hold(now time.Duration, g oriole.Grant) bool {
	if g.Incarnation != h.incarnation || g.Mark <= 0 || g.Mark > now || now >= g.Mark+g.Span {
		return false
	}
	h.leaseTerm = g.Term
	h.leaseEnd = g.Mark + g.Span
	h.seq = g.Seq
	h.owned = slices.Clone(g.Owned)
	slices.Sort(h.owned)
	return true
}

// Serves reports whether the server may run a request that was sent under the
// term for the slice. Servers check it before a run and again before the run
// takes effect. A negative slice asks for the lease alone.
func (h *Holder) Serves(now time.Duration, term oriole.Term, slice int) bool {
	if term != h.term || term != h.leaseTerm || now >= h.leaseEnd {
		return false
	}
	if slice < 0 {
		return true
	}
	_, found := slices.BinarySearch(h.owned, slice)
	return found
}

// Holds reports whether the server owns the slice at now, under any term.
func (h *Holder) Holds(now time.Duration, slice int) bool {
	return h.Serves(now, h.term, slice)
}

// LeaseEnd returns when the present lease ends.
func (h *Holder) LeaseEnd() time.Duration { return h.leaseEnd }
