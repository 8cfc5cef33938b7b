package oriolecaller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// settleSpan is how long a connection must have been idle before it may be
// closed: the first bytes of a request may have been read just before net/http
// called it idle, and the rest follows within milliseconds.
const settleSpan = 100 * time.Millisecond

// watchedListener accepts connections that can be closed while they are idle,
// but never once a byte of a request was read, which net/http can't tell.
type watchedListener struct {
	net.Listener
	// idle returns how long a connection may stay idle; it may be nil.
	idle  func() time.Duration
	mu    sync.Mutex
	conns map[*watchedConn]bool
}

func newWatchedListener(l net.Listener, idle func() time.Duration) *watchedListener {
	return &watchedListener{Listener: l, idle: idle, conns: make(map[*watchedConn]bool)}
}

// Accept implements net.Listener.
func (l *watchedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn}, nil
}

// changed follows the states of connections.
func (l *watchedListener) changed(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*watchedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		l.conns[c] = true
		span := time.Duration(0)
		if l.idle != nil {
			span = l.idle()
		}
		c.rest(time.Now(), span)
	case http.StateActive:
		c.work()
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
		c.work()
	}
}

// closeIdle closes the connections on which nothing of a request was read.
func (l *watchedListener) closeIdle() {
	l.mu.Lock()
	conns := make([]*watchedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.closeIdle()
	}
}

// watchedConn is a connection of a caller.
type watchedConn struct {
	net.Conn
	mu sync.Mutex
	// since is when it turned idle, or zero; read says that bytes have come
	// since, and closed that what comes is not read any more.
	since  time.Time
	read   bool
	closed bool
	timer  *time.Timer
}

// Read implements net.Conn.
func (c *watchedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.read = c.read || n > 0
	return n, err
}

// rest notes that the connection is idle, and closes it after the span unless
// that is 0.
func (c *watchedConn) rest(now time.Time, span time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.read = now, false
	if span > 0 {
		c.timer = time.AfterFunc(span, c.closeIdle)
	}
}

// work notes that the connection is not idle.
func (c *watchedConn) work() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

// closeIdle closes the connection if it is idle and nothing was read.
func (c *watchedConn) closeIdle() {
	c.mu.Lock()
	idle := !c.since.IsZero() && time.Since(c.since) >= settleSpan && !c.read && !c.closed
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		// Whether it succeeds or not, nothing is read from it any more.
		_ = c.Conn.Close()
	}
}
