// Package oriolememory bounds the bytes that a gateway holds for the requests and
// responses in progress, so that no upstream, service or peer can exhaust its memory.
package oriolememory

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrFull is returned when bytes would exceed a bound.
var ErrFull = errors.New("too many bytes are held")

const (
	// usualBytes is what each hold may take in any case, in bytes: a header of the usual
	// size and a short body pass whatever others hold. The number of holds is bounded
	// elsewhere.
	usualBytes = 8 << 10
	// freeBytes is what each hold may take whatever its owner and larger holds have taken,
	// in bytes, from a reserve of the pool's size divided by reserveDivisor.
	freeBytes      = 64 << 10
	reserveDivisor = 2
	// poolDivisor gives the size of each pool as a fraction of the memory of the VM.
	// Bodies of own callers have a bound of their own, and the runtime needs as much
	// again until garbage is collected.
	poolDivisor = 8
	// bodiesNumerator and bodiesDenominator give what callers and peers may hold together
	// as a fraction of the memory of the VM: as much as callers alone.
	bodiesNumerator, bodiesDenominator = 3, 8
	// ownerDivisor gives the share of a pool that one owner may take.
	ownerDivisor = 3
)

// Shared bounds what several holders of memory hold together, each of which has a bound of
// its own. A nil value sets no bound.
type Shared struct {
	size atomic.Int64
	used atomic.Int64
}

// NewShared returns a bound of size bytes.
func NewShared(size int64) *Shared {
	s := &Shared{}
	s.size.Store(size)
	return s
}

// Raise raises the bound to size bytes, if it is lower.
func (s *Shared) Raise(size int64) {
	if s != nil {
		s.size.Store(max(s.size.Load(), size))
	}
}

// Take takes n bytes, or reports false if they exceed the bound.
func (s *Shared) Take(n int64) bool {
	if s != nil && s.used.Add(n) > s.size.Load() {
		s.used.Add(-n)
		return false
	}
	return true
}

// Force takes n bytes although they may exceed the bound.
func (s *Shared) Force(n int64) {
	if s != nil {
		s.used.Add(n)
	}
}

// Give gives n bytes back.
func (s *Shared) Give(n int64) { s.Force(-n) }

// Budget divides the memory of a VM.
type Budget struct {
	// Bodies bounds what Peers and the connections of callers hold together: a gateway
	// that dispatches for others has both.
	Bodies *Shared
	// Responses bounds the responses that are read from upstreams, by upstream.
	Responses *Pool
	// Peers bounds the bodies of requests and responses that come from peers, by peer.
	Peers *Pool
	// Links bounds the bodies of requests and responses that are queued for peers, by
	// peer.
	Links *Pool
}

// New returns the budget of a VM with the memory in bytes. maxBody is the size of the
// largest body in bytes, of which each owner may hold at least one.
func New(memory, maxBody int64) *Budget {
	size := memory / poolDivisor
	b := &Budget{
		Bodies:    NewShared(memory * bodiesNumerator / bodiesDenominator),
		Responses: NewPool(size, maxBody), Peers: NewPool(size, maxBody), Links: NewPool(size, maxBody),
	}
	b.Peers.shared = b.Bodies
	return b
}

// Pool bounds the bytes that are held together.
type Pool struct {
	size, perOwner int64
	shared         *Shared

	mu      sync.Mutex
	used    int64
	owners  map[string]int64
	refused int64
}

// NewPool returns a pool of the size in bytes. Each owner may take a third of it, and at
// least one body of maxBody bytes.
func NewPool(size, maxBody int64) *Pool {
	return &Pool{size: size, perOwner: max(size/ownerDivisor, maxBody), owners: make(map[string]int64)}
}

// fieldCost is what a parsed header field takes besides its bytes: its entry in the map, the
// slice of its values, and its share of the map's free entries; and the same again in the
// copy that is passed on.
const fieldCost = 256

// HeaderCost returns the memory in bytes of a header whose fields, of which there are the
// given number, have the given size together.
func HeaderCost(fields, size int) int64 { return int64(fields*fieldCost + size) }

// Usage is the state of a pool.
type Usage struct {
	Used    int64 `json:"used"`
	Size    int64 `json:"size"`
	Refused int64 `json:"refused"`
}

// Usage returns the bytes that are held, the pool's size in bytes, and the number of
// times that bytes were refused.
func (p *Pool) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Usage{p.used, p.size, p.refused}
}

// Hold is what one request or response takes of a pool. A hold is used by one goroutine
// at a time.
type Hold struct {
	pool  *Pool
	owner string
	n     int64
}

// Hold returns a hold of the owner without any bytes, and a function that gives all of
// its bytes back. A nil pool sets no bound.
func (p *Pool) Hold(owner string) (h *Hold, release func()) {
	h = &Hold{pool: p, owner: owner}
	return h, h.Reset
}

// Grow takes n more bytes. It takes none and returns [ErrFull] if they exceed the share
// of the owner or the size of the pool. Small holds may exceed both, by half of the size
// together, and the smallest in any case.
func (h *Hold) Grow(n int64) error { return h.grow(n, freeBytes) }

// GrowStrict is like Grow without an exception for small holds: for holds whose number is
// not bounded.
func (h *Hold) GrowStrict(n int64) error { return h.grow(n, 0) }

func (h *Hold) grow(n, free int64) error {
	p := h.pool
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case h.n+n <= min(free, usualBytes):
		p.shared.Force(n)
	case !p.mayTake(h, n, free) || !p.shared.Take(n):
		p.refused++
		return ErrFull
	}
	h.n += n
	p.used += n
	p.owners[h.owner] += n
	return nil
}

// mayTake reports whether the hold may take n more bytes, where it may have free bytes from
// the reserve. p.mu must be held.
func (p *Pool) mayTake(h *Hold, n, free int64) bool {
	if h.n+n <= free && p.used+n <= p.size+p.size/reserveDivisor {
		return true
	}
	return p.used+n <= p.size && p.owners[h.owner]+n <= p.perOwner
}

// Reset gives all bytes back.
func (h *Hold) Reset() { h.Shrink(h.n) }

// Shrink gives n bytes back, which the hold must have taken.
func (h *Hold) Shrink(n int64) {
	p := h.pool
	if p == nil || n == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= n
	p.shared.Give(n)
	if p.owners[h.owner] -= n; p.owners[h.owner] == 0 {
		delete(p.owners, h.owner)
	}
	h.n -= n
}

// Reader returns a reader of r that takes the bytes that it reads. It fails with
// [ErrFull] once they exceed the bounds.
func (h *Hold) Reader(r io.Reader) io.Reader { return &reader{r, h} }

type reader struct {
	io.Reader
	hold *Hold
}

// Read implements io.Reader.
func (r *reader) Read(data []byte) (n int, err error) {
	n, err = r.Reader.Read(data)
	if full := r.hold.Grow(int64(n)); full != nil {
		return 0, full
	}
	return n, err
}
