package oriolesocket

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// writePiece is the most that is handed to the system in one write. A larger one would
// count nothing until all of it was taken.
const writePiece = 16 << 10

// Conn is a connection that records when bytes have arrived and how many were written.
type Conn struct {
	net.Conn
	clock oriole.Clock
	// readAt is when bytes were last read, in Unix nanoseconds.
	readAt  atomic.Int64
	written atomic.Int64
}

// NewConn returns the connection with its records, whose times come from the clock.
func NewConn(conn net.Conn, clock oriole.Clock) *Conn {
	c := &Conn{Conn: conn, clock: clock}
	c.readAt.Store(clock.Now().UnixNano())
	return c
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.readAt.Store(c.clock.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (written int, err error) {
	for len(data) > 0 && err == nil {
		var n int
		n, err = c.Conn.Write(data[:min(len(data), writePiece)])
		c.written.Add(int64(n))
		written += n
		data = data[n:]
	}
	return written, err
}

// ReadAt returns when bytes of the peer were last read, or when the record began.
func (c *Conn) ReadAt() time.Time { return time.Unix(0, c.readAt.Load()) }

// Written returns the number of bytes that were written.
func (c *Conn) Written() int64 { return c.written.Load() }

// Acknowledged returns how many of the bytes that were written the peer has acknowledged.
// While a write waits, the system may hold up to writePiece bytes that are not counted as
// written yet: the number is lower by as many until the write goes on. The bytes that the
// system has accepted would be a poor measure: it accepts more only once much of its
// buffer is free, which a peer that reads steadily may take seconds for.
func (c *Conn) Acknowledged() int64 {
	// Bytes that are written between the two reads must not count as acknowledged.
	written := c.written.Load()
	return written - Unsent(c.Conn)
}
