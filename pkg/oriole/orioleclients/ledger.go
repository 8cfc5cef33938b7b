// Package orioleclients decides which connections of clients a gateway keeps, and what
// they may make it hold, when its descriptors or its memory run short.
package orioleclients

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

var (
	// ErrFull is returned when bytes would exceed the bound and no other connection
	// could be closed for them.
	ErrFull = errors.New("clients hold too many bytes")
	// ErrClosed is returned for a connection that was closed in favor of others.
	ErrClosed = errors.New("the connection was closed in favor of others")
)

// SmallBytes is what a connection may hold, in bytes, for the reserve of the ledger to be
// open to it: a header section with its parsed fields, or a body of the usual size.
const SmallBytes = 96 << 10

// Phase is what a connection is doing.
type Phase int

const (
	// New connections have not sent a whole header section yet.
	New Phase = iota
	// Idle connections wait for the next request.
	Idle
	// Reading connections send a request.
	Reading
	// Waiting connections have sent their request and wait for the gateway. They are
	// never closed in favor of others: their requests may run.
	Waiting
	// Writing connections receive a response.
	Writing
)

// Limits bounds what the connections of a ledger hold together.
type Limits struct {
	// Conns is the maximum number of connections.
	Conns int
	// Bytes is the maximum number of bytes, of which Reserve is for connections that
	// hold SmallBytes at most.
	Bytes   int64
	Reserve int64
	// Shared bounds what these connections and others hold together.
	Shared *oriolememory.Shared
	// StallTimeout is the time without progress after which a connection may be closed
	// in favor of others.
	StallTimeout time.Duration
}

// newDivisor gives the time that a new connection has for its header section, as a fraction
// of the stall timeout, before it may be closed in favor of others. A client sends a header
// as soon as it has connected; connections that only fill the ledger are replaced sooner
// than new ones of the same kind arrive.
const newDivisor = 5

// stallTimeout returns the time without progress after which the connection may be closed
// in favor of others.
func (l *Ledger) stallTimeout(c *Conn) time.Duration {
	if c.phase == New {
		return l.limits.StallTimeout / newDivisor
	}
	return l.limits.StallTimeout
}

// Ledger records what the connections of clients hold.
type Ledger struct {
	limits Limits

	mu      sync.Mutex
	conns   map[*Conn]bool
	used    int64
	refused int64
	evicted int64
}

// NewLedger returns a ledger with the limits.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, conns: make(map[*Conn]bool)}
}

// Usage is the state of a ledger.
type Usage struct {
	Conns    int   `json:"conns"`
	MaxConns int   `json:"max_conns"`
	Used     int64 `json:"used"`
	Size     int64 `json:"size"`
	Refused  int64 `json:"refused"`
	Evicted  int64 `json:"evicted"`
}

// Usage returns what is held, the limits, how often connections or bytes were refused, and
// how many connections were closed in favor of others.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{len(l.conns), l.limits.Conns, l.used, l.limits.Bytes, l.refused, l.evicted}
}

// Conn is a connection of a client. A nil connection has no bounds.
type Conn struct {
	ledger     *Ledger
	end        func()
	phase      Phase
	served     bool
	progressAt time.Time
	bytes      int64
	removed    bool
}

// Add records a new connection, which end closes. If the ledger is full, it closes the
// connection that has stalled and holds most, or returns nil if none has stalled.
func (l *Ledger) Add(now time.Time, end func()) *Conn {
	l.mu.Lock()
	var victim *Conn
	if len(l.conns) >= l.limits.Conns {
		if victim = l.worst(now, nil, 0); victim == nil {
			l.refused++
			l.mu.Unlock()
			return nil
		}
		l.evict(victim)
	}
	c := &Conn{ledger: l, end: end, progressAt: now}
	l.conns[c] = true
	l.mu.Unlock()
	if victim != nil {
		victim.end()
	}
	return c
}

// Grow takes n more bytes for the connection. If there is no room, it closes other
// connections that have stalled, those that hold most first.
func (c *Conn) Grow(now time.Time, n int64) error {
	if c == nil {
		return nil
	}
	l := c.ledger
	var victims []*Conn
	defer func() {
		for _, victim := range victims {
			victim.end()
		}
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if c.removed {
			return ErrClosed
		}
		limit := l.limits.Bytes
		if c.bytes+n > SmallBytes {
			limit -= l.limits.Reserve
		}
		if l.used+n <= limit && l.limits.Shared.Take(n) {
			c.bytes += n
			l.used += n
			return nil
		}
		// No number of victims makes room for what exceeds the limit alone.
		victim := l.worst(now, c, 1)
		if victim == nil || c.bytes+n > limit {
			l.refused++
			return ErrFull
		}
		l.evict(victim)
		victims = append(victims, victim)
	}
}

// Fits reports whether the connection could hold n more bytes if no other one held any.
func (c *Conn) Fits(n int64) bool {
	if c == nil {
		return true
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	return n <= SmallBytes || c.bytes+n <= c.ledger.limits.Bytes-c.ledger.limits.Reserve
}

// Shrink gives n bytes back.
func (c *Conn) Shrink(n int64) {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.ledger.give(c, min(n, c.bytes))
}

// give gives back n of the connection's bytes. l.mu must be held.
func (l *Ledger) give(c *Conn, n int64) {
	c.bytes -= n
	l.used -= n
	l.limits.Shared.Give(n)
}

// Enter records that the connection has entered a phase, which counts as progress. An idle
// connection holds nothing.
func (c *Conn) Enter(now time.Time, phase Phase) {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.phase, c.progressAt = phase, now
	if phase == Idle {
		c.served = true
		c.ledger.give(c, c.bytes)
	}
}

// Progress records that the connection has moved bytes.
func (c *Conn) Progress(now time.Time) {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.progressAt = now
}

// Phase returns the phase that the connection is in.
func (c *Conn) Phase() Phase {
	if c == nil {
		return Waiting
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	return c.phase
}

// Finish gives all bytes back and lets the connection be closed before others: nothing is
// expected of it any more.
func (c *Conn) Finish() {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.ledger.give(c, c.bytes)
	c.progressAt = time.Time{}
}

// Restore takes back a connection that was to be closed in favor of others, but on which a
// request has just arrived.
func (c *Conn) Restore() {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.removed = false
	c.ledger.conns[c] = true
}

// Remove records that the connection has ended.
func (c *Conn) Remove() {
	if c == nil {
		return
	}
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.ledger.remove(c)
}

// remove removes a connection. l.mu must be held.
func (l *Ledger) remove(c *Conn) {
	if c.removed {
		return
	}
	c.removed = true
	delete(l.conns, c)
	l.give(c, c.bytes)
}

// evict removes a connection that is about to be closed. l.mu must be held.
func (l *Ledger) evict(c *Conn) {
	l.evicted++
	l.remove(c)
}

// worst returns the connection to close first, other than the excepted one: of those that
// have stalled and hold at least minBytes the one that holds most. Of equal ones it is one
// that was never served, and then the one that has made no progress for the longest time.
// l.mu must be held.
func (l *Ledger) worst(now time.Time, except *Conn, minBytes int64) (victim *Conn) {
	for c := range l.conns {
		if c == except || c.phase == Waiting || c.bytes < minBytes || now.Sub(c.progressAt) < l.stallTimeout(c) {
			continue
		}
		if victim == nil || worse(c, victim) {
			victim = c
		}
	}
	return victim
}

// worse reports whether a is closed before b.
func worse(a, b *Conn) bool {
	switch {
	case a.bytes != b.bytes:
		return a.bytes > b.bytes
	case a.served != b.served:
		return b.served
	}
	return a.progressAt.Before(b.progressAt)
}
