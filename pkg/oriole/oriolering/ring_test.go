package oriolering_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

func ExampleRing_Offer() {
	ring := oriolering.New[int](1)
	fmt.Println(ring.Offer(1), ring.Offer(2), ring.Rejected())
	// Output: true false 1
}

func TestTakeReturnsItemsInOrder(t *testing.T) {
	is := is.New(t)
	ring := oriolering.New[int](3)
	for i := range 3 {
		is.True(ring.Offer(i))
	}
	for i := range 3 {
		got, err := ring.Take(context.Background())
		is.NoErr(err)
		is.Equal(got, i)
	}
}

func TestBlockedCallsReturnWhenContextIsDone(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ring := oriolering.New[int](1)
	_, err := ring.Take(ctx)
	is.True(err != nil) // the ring is empty
	is.True(ring.Offer(1))
	is.True(ring.Put(ctx, 2) != nil) // the ring is full
	is.Equal(ring.Len(), 1)
}
