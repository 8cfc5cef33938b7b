package oriolememory_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

func ExamplePool() {
	p := oriolememory.NewPool(30<<20, 8<<20)
	h, release := p.Hold("upstream a")
	fmt.Println(h.Grow(8 << 20))
	fmt.Println(h.Grow(4 << 20))
	release()
	fmt.Println(h.Grow(4 << 20))
	// Output:
	// <nil>
	// too many bytes are held
	// <nil>
}

// TestOwnersLeaveRoom guards against one owner taking what others need, and against
// refusing bodies of the usual size because of it.
func TestOwnersLeaveRoom(t *testing.T) {
	is := is.New(t)
	p := oriolememory.NewPool(30<<20, 8<<20)
	hog := func(owner string) (taken int64) {
		for {
			h, _ := p.Hold(owner)
			if h.Grow(1<<20) != nil {
				return taken
			}
			taken += 1 << 20
		}
	}
	is.Equal(hog("a"), int64(10<<20))
	is.Equal(hog("b"), int64(10<<20))
	small, release := p.Hold("a")
	is.NoErr(small.Grow(64 << 10))
	release()
	is.Equal(hog("c"), int64(10<<20))
	h, _ := p.Hold("d")
	is.NoErr(h.Grow(64 << 10))
	is.Equal(h.Grow(1), oriolememory.ErrFull)
}

// TestPoolIsEmptyAfterReleases checks that any order of calls gives all bytes back, and
// never exceeds the size by more than what each hold may take in any case.
func TestPoolIsEmptyAfterReleases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, maxHolds, free = 1 << 20, 8, 64 << 10
		p := oriolememory.NewPool(size, 1<<18)
		var holds []*oriolememory.Hold
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, maxHolds-1).Draw(t, "hold")
			if i >= len(holds) {
				h, _ := p.Hold(fmt.Sprint(i % 3))
				holds = append(holds, h)
				continue
			}
			if rapid.Bool().Draw(t, "reset") {
				holds[i].Reset()
				continue
			}
			_ = holds[i].Grow(int64(rapid.IntRange(0, 1<<19).Draw(t, "bytes")))
			if used := p.Usage().Used; used > size+maxHolds*free {
				t.Fatalf("%d bytes held of %d", used, size)
			}
		}
		for _, h := range holds {
			h.Reset()
		}
		if used := p.Usage().Used; used != 0 {
			t.Fatalf("%d bytes held after all releases", used)
		}
	})
}

// TestSmallHoldsAreBoundedTogether guards against many small bodies that exceed the pool by
// many times, since each may take some bytes in any case.
func TestSmallHoldsAreBoundedTogether(t *testing.T) {
	is := is.New(t)
	const size, small, usual = 16 << 20, 64 << 10, 8 << 10
	p := oriolememory.NewPool(size, 8<<20)
	for range 1000 {
		h, _ := p.Hold("a")
		_ = h.Grow(small)
	}
	is.Equal(p.Usage().Used, int64(size+size/2))
	h, _ := p.Hold("b")
	is.Equal(h.Grow(small), oriolememory.ErrFull)
	is.NoErr(h.Grow(usual)) // a request of the usual size passes
	is.Equal(h.Grow(1), oriolememory.ErrFull)
}

// TestPeersLeaveWhatCallersHold guards against a gateway that dispatches for others and
// exceeds its memory because callers and peers each take all that is theirs.
func TestPeersLeaveWhatCallersHold(t *testing.T) {
	is := is.New(t)
	b := oriolememory.New(144<<20, 8<<20)
	callers := int64(0)
	for b.Bodies.Take(1 << 20) {
		callers += 1 << 20
	}
	is.Equal(callers, int64(54<<20))
	large, release := b.Peers.Hold("a")
	is.Equal(large.Grow(64<<10), oriolememory.ErrFull)
	is.NoErr(large.Grow(8 << 10)) // a request of the usual size passes
	is.True(!b.Bodies.Take(1))    // and counts
	release()
	b.Bodies.Give(1 << 20)
	is.NoErr(large.Grow(64 << 10))
	release()
	is.True(b.Bodies.Take(1 << 20))
}

// TestReaderTakesWhatItReads checks that a read fails once its bytes exceed the bound, and
// that they are held until then.
func TestReaderTakesWhatItReads(t *testing.T) {
	is := is.New(t)
	p := oriolememory.NewPool(1<<20, 1<<20)
	h, release := p.Hold("a")
	data, err := io.ReadAll(h.Reader(bytes.NewReader(make([]byte, 1<<20))))
	is.NoErr(err)
	is.Equal(len(data), 1<<20)
	is.Equal(p.Usage().Used, int64(1<<20))
	_, err = io.ReadAll(h.Reader(bytes.NewReader(make([]byte, 1))))
	is.Equal(err, oriolememory.ErrFull)
	release()
	is.Equal(p.Usage().Used, int64(0))
}

// TestStrictHoldsTakeNothingForFree guards against holds without number that exceed the
// bound together, since each may take some bytes in any case.
func TestStrictHoldsTakeNothingForFree(t *testing.T) {
	is := is.New(t)
	p := oriolememory.NewPool(96<<10, 96<<10)
	first, release := p.Hold("a")
	is.NoErr(first.GrowStrict(64 << 10))
	second, _ := p.Hold("b")
	is.Equal(second.GrowStrict(64<<10), oriolememory.ErrFull)
	first.Shrink(32 << 10)
	is.NoErr(second.GrowStrict(64 << 10))
	release()
	is.Equal(p.Usage().Used, int64(64<<10))
}
