package orioleingress

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
)

// readPhase says how the bytes that net/http has read of a connection end.
type readPhase int

const (
	// phaseHead: between two requests, or in the head of one.
	phaseHead readPhase = iota
	// phaseBody: in a body of known length.
	phaseBody
	// phaseWhole: at the end of a request that is not answered yet.
	phaseWhole
	// phaseEarly: one byte after the end of a request that is not answered yet.
	phaseEarly
	// phaseUnknown: the rest of the connection is left to net/http.
	phaseUnknown
)

// pipelinedConn is an accepted connection. net/http serves its requests one after the
// other, and reads no further than the end of the current one, unless that is not certain.
// While a request without a body runs, those behind it that have no body either are read by
// the goroutine of net/http that waits for the caller to leave, and served as connections
// of their own. Until they are answered, net/http reads nothing more.
type pipelinedConn struct {
	net.Conn
	shared      *pipelining
	owner       *trackedConn
	idleTimeout func() time.Duration
	// changed receives a value when the reader has to look again.
	changed chan struct{}

	// mu is locked before the mutex of owner and deadlineMu.
	mu    sync.Mutex
	phase readPhase
	scan  headScanner
	// bodyLeft is the rest of the body in phaseBody, and hasBody says that the current
	// request is one that may have a body.
	bodyLeft int64
	hasBody  bool
	// responding says that net/http has begun to write the response of the current request.
	responding bool
	// buf holds bytes that were read and that net/http has not got, and scanned the length
	// of the part of it that next has scanned.
	buf     []byte
	next    headScanner
	scanned int
	// paused is the metric of the bound that stops requests from being sent ahead, or "".
	paused string
	// refused says that requests were sent ahead for which there was no room.
	refused bool
	// queue holds the requests sent ahead that are not answered, in order. outBytes is the
	// size of their responses, and writing says that one is being written.
	queue    []*aheadRequest
	outBytes int
	writing  bool
	// readErr is the error that ended reading. ended is set when nothing more may be
	// answered, and linger if bytes of the caller may not have been read by then.
	readErr error
	ended   bool
	linger  bool

	// deadline is the read deadline that net/http has set. interrupted says that it was
	// replaced to end a read.
	deadlineMu  sync.Mutex
	deadline    time.Time
	interrupted bool
}

// Read implements net.Conn.
func (c *pipelinedConn) Read(data []byte) (n int, err error) {
	if len(data) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.phase == phaseHead && c.ended:
			return 0, c.discardRest()
		case c.phase == phaseHead && len(c.queue) > 0:
			if err := c.finishAhead(); err != nil {
				return 0, err
			}
		case c.phase == phaseHead:
			return c.readHead(data)
		case c.phase == phaseBody:
			n, err = c.take(data[:min(int64(len(data)), c.bodyLeft)])
			if c.bodyLeft -= int64(n); c.bodyLeft == 0 {
				c.phase = phaseWhole
			}
			return n, err
		case c.phase == phaseWhole && len(data) == 1 && c.hasBody:
			return c.readEarly(data)
		case c.phase == phaseWhole && len(data) == 1:
			return c.readAhead(data)
		case c.phase == phaseUnknown:
			return c.take(data)
		case len(c.queue) > 0:
			// net/http has found another end of the request.
			c.end()
			return 0, net.ErrClosed
		default:
			c.phase = phaseUnknown
		}
	}
}

// readHead reads a part of a head, and not beyond the end of the request. mu must be held.
func (c *pipelinedConn) readHead(data []byte) (n int, err error) {
	buffered := min(len(data), len(c.buf))
	n = copy(data, c.buf)
	if buffered == 0 {
		c.drop(0)
		n, err = c.readSocket(data)
	}
	used := c.scan.feed(data[:n])
	switch c.scan.kind {
	case headIncomplete:
	case headOdd:
		c.phase, used = phaseUnknown, n
	default:
		body := min(c.scan.length, int64(n-used))
		used += int(body)
		c.bodyLeft = c.scan.length - body
		c.hasBody, c.responding = c.scan.kind != headBodiless, false
		c.phase = phaseWhole
		if c.bodyLeft > 0 {
			c.phase = phaseBody
		}
	}
	switch {
	case buffered > 0:
		c.drop(used)
	case used < n && !c.store(data[used:n]):
		// There is no room for the rest: net/http gets all of it.
		c.phase, c.refused, used = phaseUnknown, true, n
	}
	return used, err
}

// readEarly reads the byte after a request with a body. Requests behind such a one are
// not sent ahead. mu must be held.
func (c *pipelinedConn) readEarly(data []byte) (n int, err error) {
	if n, err = c.take(data); n == 1 {
		c.startEarly(data)
	}
	return n, err
}

// startEarly handles the first byte of the next request, which net/http gets before it has
// answered this one. mu must be held.
func (c *pipelinedConn) startEarly(data []byte) {
	c.phase = phaseEarly
	c.scan = headScanner{}
	c.scan.feed(data[:1])
}

// take reads from the buffer, or from the socket if it is empty. mu must be held, and is
// released meanwhile.
func (c *pipelinedConn) take(data []byte) (n int, err error) {
	if len(c.buf) == 0 {
		c.drop(0)
		return c.readSocket(data)
	}
	n = copy(data, c.buf)
	c.drop(n)
	return n, nil
}

// readSocket reads from the socket. mu must be held, and is released meanwhile.
func (c *pipelinedConn) readSocket(data []byte) (n int, err error) {
	for {
		if c.readErr != nil {
			return 0, c.readErr
		}
		c.mu.Unlock()
		n, err = c.Conn.Read(data)
		c.mu.Lock()
		timeout := errors.Is(err, os.ErrDeadlineExceeded)
		if timeout && n == 0 && c.clearInterrupt() {
			continue
		}
		if err != nil && !timeout {
			c.readErr = err
		}
		return n, err
	}
}

// store appends to the buffer, and reports whether there is room within the bounds. mu
// must be held.
func (c *pipelinedConn) store(data []byte) bool {
	if !c.grow(len(data)) {
		return false
	}
	c.buf = append(c.buf, data...)
	return true
}

// grow makes room for n more bytes in the buffer, if that is within the bounds. mu must be
// held.
func (c *pipelinedConn) grow(n int) bool {
	needed := max(len(c.buf)+n, minAheadBuffer)
	if needed <= cap(c.buf) || c.ended {
		return !c.ended
	}
	if cap(c.buf) > 0 {
		needed = max(needed, min(2*cap(c.buf), maxAheadHead))
	}
	if needed > maxAheadHead {
		return false
	}
	if !c.shared.reserve(int64(needed - cap(c.buf))) {
		c.pause(metricPausedBytes)
		return false
	}
	buf := make([]byte, len(c.buf), needed)
	copy(buf, c.buf)
	c.buf = buf
	return true
}

// room reports whether the buffer has room for another byte, after it has grown if needed.
// mu must be held.
func (c *pipelinedConn) room() bool { return len(c.buf) < cap(c.buf) || c.grow(1) }

// drop removes the first n bytes of the buffer, and the buffer if it is empty and nothing
// is sent ahead. mu must be held.
func (c *pipelinedConn) drop(n int) {
	c.buf = c.buf[:copy(c.buf, c.buf[n:])]
	c.next, c.scanned = headScanner{}, 0
	if len(c.buf) == 0 && len(c.queue) == 0 && c.phase != phaseWhole && c.buf != nil {
		c.shared.release(int64(cap(c.buf)))
		c.buf = nil
	}
}

// readAhead reads requests while another one, which is served by net/http, runs. It returns
// when net/http ends the read, the caller leaves, or a byte is not for a request that may be
// sent ahead, which it then returns. mu must be held.
func (c *pipelinedConn) readAhead(data []byte) (n int, err error) {
	for {
		switch {
		case c.ended:
			return 0, net.ErrClosed
		case c.readErr != nil:
			c.cancel()
			return 0, c.readErr
		case c.passed():
			return 0, os.ErrDeadlineExceeded
		case c.buf == nil:
			if n, err = c.readSocket(data); n == 0 {
				return 0, err
			}
			// A caller that waits for the response before it sends the next request may
			// have got it before net/http ends this read. Such a request isn't sent ahead.
			if c.responding || !c.store(data[:1]) {
				c.startEarly(data)
				return 1, nil
			}
		default:
			if !c.startAhead() && !c.room() {
				c.wait()
				continue
			}
			// If no request can be sent ahead, this still notices that the caller leaves.
			if err := c.fill(); errors.Is(err, os.ErrDeadlineExceeded) {
				return 0, err
			}
		}
	}
}

// finishAhead reads requests until those sent ahead are answered. net/http waits for the
// next request meanwhile. mu must be held.
func (c *pipelinedConn) finishAhead() error {
	c.flush()
	for !c.ended && len(c.queue) > 0 {
		if c.passed() {
			return os.ErrDeadlineExceeded
		}
		if c.readErr != nil {
			// Responses are still written: only the other direction may be closed.
			c.cancel()
			c.wait()
			continue
		}
		more := c.startAhead()
		switch {
		case c.ended || len(c.queue) == 0:
			return nil
		case !more && !c.room():
			c.wait()
		default:
			// The next round handles an error, which is kept. If no request can be sent
			// ahead, this still notices that the caller leaves.
			_ = c.fill()
		}
	}
	return nil
}

// fill reads once from the socket into the buffer, or nothing if wake ends the read. mu
// must be held, and is released meanwhile.
func (c *pipelinedConn) fill() error {
	free := c.buf[len(c.buf):cap(c.buf)]
	c.mu.Unlock()
	n, err := c.Conn.Read(free)
	c.mu.Lock()
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case c.ended:
		return net.ErrClosed
	case timeout && c.clearInterrupt():
		return nil
	case err != nil && !timeout:
		c.readErr = err
	}
	c.buf = c.buf[:len(c.buf)+n]
	return err
}

// startAhead starts the requests in the buffer behind one that is not answered, and reports
// whether more bytes are needed to go on. mu must be held, and is released meanwhile.
func (c *pipelinedConn) startAhead() bool {
	for !c.ended && !c.shared.draining.Load() && (c.phase == phaseWhole || len(c.queue) > 0) {
		c.scanned += c.next.feed(c.buf[c.scanned:])
		switch {
		case c.next.kind == headIncomplete:
			return c.room()
		case c.next.kind != headBodiless || c.scanned > maxAheadHead || c.next.lines > maxAheadLines:
			return false
		case len(c.queue) >= maxAhead:
			c.pause(metricPausedNumber)
			return false
		case c.outBytes >= maxConnAheadBytes || !c.shared.reserve(int64(aheadReserve+c.scanned)):
			c.pause(metricPausedBytes)
			return false
		}
		a := &aheadRequest{
			conn: c, turn: make(chan struct{}), changed: sync.NewCond(&c.mu),
			head: slices.Clone(c.buf[:c.scanned]), reserved: int64(aheadReserve + c.scanned), covered: expectedResponse,
		}
		c.drop(c.scanned)
		c.queue = append(c.queue, a)
		c.paused = ""
		c.shared.metrics.Add(metricAhead, 1)
		c.mu.Unlock()
		started := c.shared.start(a)
		c.mu.Lock()
		if !started {
			c.end()
		}
	}
	return false
}

// pause counts a bound that stops requests from being sent ahead. mu must be held.
func (c *pipelinedConn) pause(metric string) {
	if c.paused != metric {
		c.paused = metric
		c.shared.metrics.Add(metric, 1)
	}
}

// wait waits until something has changed. mu must be held, and is released meanwhile.
func (c *pipelinedConn) wait() {
	c.deadlineMu.Lock()
	deadline := c.deadline
	c.deadlineMu.Unlock()
	var passed <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		passed = timer.C
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-c.changed:
	case <-passed:
	}
}

// wake has the reader look again. mu must be held.
func (c *pipelinedConn) wake() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
	if c.ended || len(c.buf) > 0 {
		c.deadlineMu.Lock()
		defer c.deadlineMu.Unlock()
		c.interrupted = true
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// clearInterrupt reports whether a read was ended by wake, and restores the deadline.
func (c *pipelinedConn) clearInterrupt() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(c.deadline)
	return true
}

// passed reports whether the read deadline has passed.
func (c *pipelinedConn) passed() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.deadline.IsZero() && !c.deadline.After(time.Now())
}

// Write implements net.Conn.
func (c *pipelinedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	c.responding = c.responding || c.phase == phaseWhole
	c.mu.Unlock()
	return c.Conn.Write(data)
}

// SetReadDeadline implements net.Conn.
func (c *pipelinedConn) SetReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.deadline = t
	select {
	case c.changed <- struct{}{}:
	default:
	}
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *pipelinedConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close implements net.Conn. It cancels all requests of the connection.
func (c *pipelinedConn) Close() error {
	c.mu.Lock()
	if !c.ended {
		behind := len(c.queue) > 0 || len(c.buf) > 0 || c.phase == phaseEarly || c.refused || oriolesocket.Unread(c.Conn) > 0
		c.linger = behind && c.readErr == nil && !c.shared.isClosed()
		c.end()
		_ = c.discardRest()
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// abort ends the connection, so that Close doesn't wait until the caller has got the last
// response.
func (c *pipelinedConn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	c.linger = false
}

// SyscallConn implements syscall.Conn.
func (c *pipelinedConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

// rawConn returns the connection's access to its descriptor.
func rawConn(conn net.Conn) (syscall.RawConn, error) {
	if conn, ok := conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.New("connection has no descriptor")
}

// CloseWrite ends the responses.
func (c *pipelinedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// answered notes that net/http has answered a request that it has served on the connection
// itself, and reports whether it now waits for the first byte of a request.
func (c *pipelinedConn) answered() (idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseWhole:
		c.phase, c.scan = phaseHead, headScanner{}
	case phaseEarly:
		c.phase = phaseHead
	default:
		// The end of the request is not where it was expected.
		c.phase = phaseUnknown
	}
	if len(c.queue) > 0 || len(c.buf) > 0 {
		// Under mu, since flush may report the connection idle as soon as it is released.
		c.owner.holder.Enter(time.Now(), orioleclients.Waiting)
		return false
	}
	return true
}

// isLast reports whether no request has been sent ahead behind the given one, which is nil
// for one that net/http has read from the connection itself. In a planned stop, none follows
// later.
func (c *pipelinedConn) isLast(a *aheadRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a == nil {
		return len(c.queue) == 0
	}
	return len(c.queue) == 0 || c.queue[len(c.queue)-1] == a
}

// atTurn reports whether the responses before the request's are written. mu must be held.
func (c *pipelinedConn) atTurn(a *aheadRequest) bool {
	return c.phase == phaseHead && !c.writing && len(c.queue) > 0 && c.queue[0] == a
}

// takeOut returns the part of the response that waits. mu must be held.
func (c *pipelinedConn) takeOut(a *aheadRequest) net.Buffers {
	out := a.out
	c.outBytes -= a.outBytes
	a.out, a.outBytes = nil, 0
	return out
}

// writeOut writes to the caller. mu must be held, and is released meanwhile.
func (c *pipelinedConn) writeOut(out net.Buffers, deadline time.Time) error {
	c.mu.Unlock()
	err := c.owner.SetWriteDeadline(deadline)
	if err == nil {
		_, err = out.WriteTo(c.owner)
	}
	c.mu.Lock()
	if err != nil {
		c.end()
	}
	return err
}

// flush writes the complete responses whose turn it is, and lets the next request proceed.
// mu must be held, and is released meanwhile.
func (c *pipelinedConn) flush() {
	if c.writing || c.phase != phaseHead || len(c.queue) == 0 {
		return
	}
	if c.shared.isClosed() {
		// http.Server closes all connections, and must not wait for a caller.
		c.end()
		return
	}
	c.writing = true
	for !c.ended && len(c.queue) > 0 && c.queue[0].finished {
		a := c.queue[0]
		if out := c.takeOut(a); len(out) > 0 && c.writeOut(out, time.Time{}) != nil {
			break
		}
		if c.ended {
			break
		}
		c.queue = c.queue[1:]
		c.shared.release(a.reserved)
		if len(c.queue) > 0 {
			c.owner.holder.Enter(time.Now(), orioleclients.Waiting)
		}
		if a.closes {
			c.linger = true
			c.end()
		}
	}
	c.writing = false
	switch {
	case len(c.queue) > 0:
		a := c.queue[0]
		select {
		case <-a.turn:
		default:
			close(a.turn)
		}
		a.changed.Broadcast()
	case !c.ended && len(c.buf) == 0:
		timeout := time.Duration(0)
		if c.idleTimeout != nil {
			timeout = c.idleTimeout()
		}
		c.owner.servedBefore.Store(true)
		c.owner.holder.Enter(time.Now(), orioleclients.Idle)
		c.owner.setIdle(time.Now(), timeout)
	}
	c.wake()
}

// cancel cancels the requests sent ahead. What they still answer is written. mu must be
// held.
func (c *pipelinedConn) cancel() {
	for _, a := range c.queue {
		a.cancelled = true
		a.changed.Broadcast()
	}
}

// end ends the connection: nothing more is answered. mu must be held.
func (c *pipelinedConn) end() {
	if c.ended {
		return
	}
	c.ended = true
	for _, a := range c.queue {
		c.takeOut(a)
		c.shared.release(a.reserved)
		a.changed.Broadcast()
	}
	c.shared.release(int64(cap(c.buf)))
	c.queue, c.buf = nil, nil
	c.next, c.scanned = headScanner{}, 0
	c.wake()
}

// closeWriter is implemented by TCP connections.
type closeWriter interface{ CloseWrite() error }

// discardRest ends a connection on which the last response was written. Closing it with
// unread bytes would reset it, and the caller might lose the response. mu must be held, and
// is released meanwhile.
func (c *pipelinedConn) discardRest() error {
	tcp, ok := c.Conn.(closeWriter)
	if !c.linger || !ok {
		return io.EOF
	}
	c.linger = false
	c.mu.Unlock()
	defer c.mu.Lock()
	if tcp.CloseWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(c.shared.linger)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	return io.EOF
}
