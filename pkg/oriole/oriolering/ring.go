// Package oriolering holds the bounded ring that joins the duties of a
// gateway.
package oriolering

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ring is a bounded queue between duties. Any number of goroutines may offer
// to it and take from it; a taker blocks without spinning.
type Ring[T any] struct {
	items   chan T
	refused atomic.Uint64
}

// New returns a ring that holds at most size items. It panics unless size is
// above 0, since a ring of no size would lose every item.
func New[T any](size int) *Ring[T] {
	if size <= 0 {
		panic("oriolering: size must be above 0")
	}
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds item and reports true, or counts a refusal and reports false when
// the ring is full. It never blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Put adds item, and waits while the ring is full until ctx is done.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "putting an item into a ring")
	}
}

// Take removes the oldest item, and waits while there is none until ctx is
// done.
func (r *Ring[T]) Take(ctx context.Context) (item T, err error) {
	select {
	case item = <-r.items:
		return item, nil
	case <-ctx.Done():
		return item, errors.Wrap(ctx.Err(), "taking an item from a ring")
	}
}

// Out returns the receiving side, for duties that select over several rings.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of items that wait.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items Offer has turned away.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
