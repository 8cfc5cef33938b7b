package orioleingress

import (
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
)

// minIdleBeforeClose is how long a connection must have been idle before it may
// be closed. The first bytes of a request may have been read just before
// net/http reported the connection idle; the rest follows within milliseconds.
const minIdleBeforeClose = 100 * time.Millisecond

// trackedListener tracks accepted connections so that idle ones can be closed,
// except those on which the first byte of a request was read. net/http doesn't
// make this distinction.
type trackedListener struct {
	net.Listener
	// idleTimeout returns how long a connection may stay idle; it may be nil.
	idleTimeout func() time.Duration
	// guard bounds what clients hold; it may be nil.
	guard *Guard
	// pipelining is nil if the requests of a connection are served one after the other.
	pipelining *pipelining
	// ending is set once no more connections are accepted than those that the kernel has.
	ending atomic.Bool
	mu     sync.Mutex
	conns  map[*trackedConn]bool
}

func newTrackedListener(l net.Listener, idleTimeout func() time.Duration) *trackedListener {
	return &trackedListener{Listener: l, idleTimeout: idleTimeout, conns: make(map[*trackedConn]bool)}
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.accept()
		if err != nil {
			return nil, err
		}
		c := &trackedConn{Conn: conn}
		if l.pipelining != nil {
			c = l.pipelining.wrap(conn, l.idleTimeout)
		}
		c.guard = l.guard
		c.readsHead.Store(true)
		if l.guard == nil {
			return c, nil
		}
		if c.holder = l.guard.Ledger.Add(time.Now(), c.evict); c.holder != nil {
			return c, nil
		}
		l.guard.report(eventConnsFull)
		_ = conn.Close()
	}
}

// queueListener is implemented by TCP listeners.
type queueListener interface {
	net.Listener
	syscall.Conn
	SetDeadline(t time.Time) error
}

// acceptTimeout bounds a call to accept a connection that the kernel has.
const acceptTimeout = 100 * time.Millisecond

// endAccept ends listening. Connections that the kernel has accepted are still accepted, as
// closing the listener would reset them: the goroutine that accepts them closes it.
func (l *trackedListener) endAccept() {
	l.ending.Store(true)
	if listener, ok := l.Listener.(queueListener); ok && listener.SetDeadline(time.Unix(1, 0)) == nil {
		return
	}
	// Close only fails if the listener is already closed.
	_ = l.Listener.Close()
}

// accept accepts a connection, or closes the listener if listening is to end and the kernel
// has none. It doesn't wait for new ones then.
func (l *trackedListener) accept() (net.Conn, error) {
	for {
		listener, ok := l.Listener.(queueListener)
		if l.ending.Load() && (!ok || !connWaits(listener) || listener.SetDeadline(time.Now().Add(acceptTimeout)) != nil) {
			_ = l.Listener.Close()
		}
		conn, err := l.Listener.Accept()
		if err == nil || !l.ending.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// connWaits reports whether the kernel has a connection that is not accepted yet.
func connWaits(listener syscall.Conn) (waits bool) {
	control, err := listener.SyscallConn()
	if err != nil {
		return false
	}
	// An error means that the listener is closed.
	_ = control.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = err == nil && n > 0
	})
	return waits
}

// setState implements the ConnState hook of http.Server.
func (l *trackedListener) setState(conn net.Conn, state http.ConnState) {
	if setAheadState(conn, state) {
		return
	}
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateIdle && c.ahead != nil && !c.ahead.answered() {
		// Requests that were sent ahead are in progress, or a part of the next one was read.
		c.holder.Shrink(c.headHeld)
		c.headHeld = 0
		c.head.reset()
		c.readsHead.Store(true)
		c.servedBefore.Store(true)
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		l.conns[c] = true
		c.head.reset()
		c.readsHead.Store(true)
		if state == http.StateIdle {
			c.servedBefore.Store(true)
			c.headHeld = 0
			c.holder.Enter(time.Now(), orioleclients.Idle)
		}
		timeout := time.Duration(0)
		if l.idleTimeout != nil {
			timeout = l.idleTimeout()
		}
		c.setIdle(time.Now(), timeout)
	case http.StateActive:
		c.setActive()
		c.readsHead.Store(false)
		c.holder.Enter(time.Now(), orioleclients.Waiting)
	case http.StateClosed, http.StateHijacked:
		if state == http.StateHijacked {
			c.hijacked.Store(true)
			c.holder.Finish()
		}
		delete(l.conns, c)
		c.setActive()
	}
}

// closeIdle closes the idle connections.
func (l *trackedListener) closeIdle() {
	l.mu.Lock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIdle()
	}
}

// connCount returns the number of open connections.
func (l *trackedListener) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// trackedConn is an accepted connection.
type trackedConn struct {
	net.Conn
	// ahead is Conn if requests are read ahead, or nil.
	ahead *pipelinedConn
	guard *Guard
	// holder records what the connection holds; it is nil without a guard.
	holder *orioleclients.Conn
	// head is used while readsHead is set, and headHeld is what holder has taken for header
	// sections, both by the goroutine that serves the connection.
	head         headCounter
	headHeld     int64
	readsHead    atomic.Bool
	servedBefore atomic.Bool
	hijacked     atomic.Bool

	mu sync.Mutex
	// idleSince is when the connection became idle, or zero if it is active.
	// received says that bytes were read since then, and closing that reads are
	// ended, so that net/http closes the connection.
	idleSince time.Time
	received  bool
	closing   bool
	timer     *time.Timer
}

// SyscallConn implements syscall.Conn.
func (c *trackedConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// Read implements net.Conn. It refuses header sections beyond the guard's limits.
func (c *trackedConn) Read(data []byte) (int, error) {
	n, err := c.read(data)
	if n > 0 && c.guard != nil && c.readsHead.Load() {
		if refused := c.scanHead(data[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// read reads from the connection. An idle connection is kept if bytes have arrived before it
// is closed: the deadline that ends a read is noticed before bytes that already wait in the
// socket, if the process lacks the processor.
func (c *trackedConn) read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.requestWaits() {
		n, err = c.Conn.Read(data)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = c.received || n > 0
	if n > 0 && c.closing {
		if err := c.keep(); err != nil {
			return n, err
		}
	}
	return n, err
}

// requestWaits reports whether bytes wait in the socket of a connection that a deadline has
// found idle, so that it must not be closed. Otherwise it closes the sending direction, so
// that the client learns of the end at once: a process that lacks the processor may take
// long until net/http closes the connection.
func (c *trackedConn) requestWaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || c.received {
		return false
	}
	if oriolesocket.Unread(c.Conn) == 0 {
		if conn, ok := c.Conn.(closeWriter); ok {
			// An error means that the connection is closed.
			_ = conn.CloseWrite()
		}
		return false
	}
	c.received = true
	return c.keep() == nil
}

// keep takes back a decision to close the connection, as a request arrives. mu must be held.
func (c *trackedConn) keep() error {
	if c.closing {
		c.closing = false
		c.holder.Restore()
	}
	return c.SetReadDeadline(time.Now().Add(headerTimeout))
}

// setIdle marks the connection idle. If it is still idle after the timeout, it
// is closed; 0 means no timeout.
func (c *trackedConn) setIdle(now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince, c.received = now, false
	if timeout > 0 {
		c.timer = time.AfterFunc(timeout, c.closeIdle)
	}
}

// setActive marks the connection as not idle, and stops the idle timeout.
func (c *trackedConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

// closeIdle ends reads of the connection, so that net/http closes it, if it has
// been idle for minIdleBeforeClose and nothing was read. It doesn't close the
// connection itself: bytes may just have been read, or wait in the socket, which
// must be answered. The reader decides.
func (c *trackedConn) closeIdle() { _ = c.endIdle() }

// endIdle does what closeIdle does, and reports whether it has ended reads.
func (c *trackedConn) endIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() || time.Since(c.idleSince) < minIdleBeforeClose || c.received {
		return false
	}
	c.closing = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}
