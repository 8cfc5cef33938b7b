// Package oriolering implements the bounded queue that connects the duties of a
// gateway. A duty is a supervised goroutine that owns one piece of state.
package oriolering

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ring is a bounded FIFO queue between duties. Any number of goroutines may add
// and take items. Waiting goroutines block; they don't spin.
type Ring[T any] struct {
	items    chan T
	rejected atomic.Uint64
}

// New returns a ring that holds at most size items. It panics unless size is
// above 0: Offer would reject almost every item of a ring without capacity.
func New[T any](size int) *Ring[T] {
	if size <= 0 {
		panic("oriolering: size must be above 0")
	}
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds item and returns true. If the ring is full, it counts a rejection
// and returns false. It never blocks.
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)
		return false
	}
}

// Put adds item, blocking while the ring is full until ctx is done.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "putting an item into a ring")
	}
}

// Take removes and returns the oldest item, blocking while the ring is empty
// until ctx is done.
func (r *Ring[T]) Take(ctx context.Context) (item T, err error) {
	select {
	case item = <-r.items:
		return item, nil
	case <-ctx.Done():
		return item, errors.Wrap(ctx.Err(), "taking an item from a ring")
	}
}

// Out returns the channel of items, for duties that select over several rings.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Rejected returns the number of items that Offer has rejected because the ring
// was full.
func (r *Ring[T]) Rejected() uint64 { return r.rejected.Load() }
