package orioleingress

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// aheadRequest is a request that was sent before the previous ones on its connection were
// answered. It is a net.Conn that carries this request only. What is written to it is
// written to the real connection when all responses before are complete.
type aheadRequest struct {
	conn *pipelinedConn
	// turn is closed when all requests before this one are answered.
	turn chan struct{}

	// The fields below are guarded by conn.mu. changed is signalled when one of them, or
	// what it depends on in conn, changes.
	changed *sync.Cond
	head    []byte
	// out is the part of the response that waits for its turn.
	out net.Buffers
	// outBytes is the size of out, and covered the size for which bytes are reserved.
	// reserved is what is taken of the shared bound.
	outBytes int
	covered  int
	reserved int64
	// finished is set once the response is complete, and closes if nothing may follow it.
	finished bool
	closes   bool
	// cancelled is set when the caller is gone.
	cancelled     bool
	expired       bool
	writeDeadline time.Time
}

// Read implements net.Conn. After the request, it blocks until the request has ended.
func (a *aheadRequest) Read(data []byte) (n int, err error) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case len(a.head) > 0:
			n = copy(data, a.head)
			a.head = a.head[n:]
			return n, nil
		case a.finished || a.cancelled || c.ended:
			return 0, io.EOF
		case a.expired:
			return 0, os.ErrDeadlineExceeded
		}
		a.changed.Wait()
	}
}

// Write implements net.Conn. It blocks if the response doesn't fit into the bounds, until
// it can be written to the caller.
func (a *aheadRequest) Write(data []byte) (n int, err error) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := int64(0)
	defer func() { c.shared.release(waiting) }()
	for {
		switch {
		case a.finished || c.ended:
			return 0, net.ErrClosed
		case c.atTurn(a):
			if err := c.writeOut(append(c.takeOut(a), data), a.writeDeadline); err != nil {
				return 0, err
			}
			return len(data), nil
		case waiting == 0 && a.keep(data):
			return len(data), nil
		case waiting == 0:
			// The handler holds the response meanwhile, which must count.
			waiting = int64(len(data))
			c.shared.held.Add(waiting)
		}
		a.changed.Wait()
	}
}

// keep keeps a part of the response until its turn, if it fits into the bounds. conn.mu
// must be held.
func (a *aheadRequest) keep(data []byte) bool {
	c := a.conn
	if c.outBytes+len(data) > maxConnAheadBytes {
		return false
	}
	if more := a.outBytes + len(data) - a.covered; more > 0 {
		if !c.shared.reserve(int64(more)) {
			return false
		}
		a.covered += more
		a.reserved += int64(more)
	}
	a.out = append(a.out, slices.Clone(data))
	a.outBytes += len(data)
	c.outBytes += len(data)
	return true
}

// Close implements net.Conn. net/http reports a connection idle before it closes it if
// another request could have followed.
func (a *aheadRequest) Close() error {
	a.finish(true)
	return nil
}

// finish ends the response. If it closes the connection, nothing may follow it.
func (a *aheadRequest) finish(closes bool) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.finished {
		return
	}
	a.finished, a.closes = true, closes
	a.changed.Broadcast()
	c.flush()
}

// SetReadDeadline implements net.Conn. net/http sets a time in the past to end a read; the
// request itself is complete, so that later deadlines have no effect.
func (a *aheadRequest) SetReadDeadline(t time.Time) error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.expired = !t.IsZero() && !t.After(time.Now())
	a.changed.Broadcast()
	return nil
}

// SetWriteDeadline implements net.Conn. It has an effect once the response is written to
// the caller.
func (a *aheadRequest) SetWriteDeadline(t time.Time) error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.writeDeadline = t
	if a.conn.atTurn(a) && !a.finished {
		return a.conn.owner.SetWriteDeadline(t)
	}
	return nil
}

// SetDeadline implements net.Conn.
func (a *aheadRequest) SetDeadline(t time.Time) error {
	_ = a.SetReadDeadline(t)
	return a.SetWriteDeadline(t)
}

// LocalAddr implements net.Conn.
func (a *aheadRequest) LocalAddr() net.Addr { return a.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (a *aheadRequest) RemoteAddr() net.Addr { return a.conn.RemoteAddr() }
