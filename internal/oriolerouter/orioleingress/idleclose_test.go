package orioleingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
)

// heldConn is a connection whose reader gets no processor: Read starts only when it is
// allowed to, or once a read deadline in the past is set.
type heldConn struct {
	*net.TCPConn
	// closing is closed by Close, which then waits for closable.
	closing, closable chan struct{}

	mu      sync.Mutex
	changed *sync.Cond
	// allowed is the number of reads that may start, and armed says that all may once a
	// deadline in the past is set. expired says that the present one is in the past.
	allowed       int
	armed, opened bool
	expired       bool
	deadline      time.Time
	closeOnce     sync.Once
}

func newHeldConn(conn *net.TCPConn) *heldConn {
	c := &heldConn{TCPConn: conn, closing: make(chan struct{}), closable: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	close(c.closable)
	return c
}

// allow lets one read start.
func (c *heldConn) allow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed++
	c.changed.Broadcast()
}

// arm lets all reads start once a deadline in the past is set.
func (c *heldConn) arm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = true
}

// hasDeadline reports whether a read deadline in the future is set.
func (c *heldConn) hasDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadline.After(time.Now())
}

// Read implements net.Conn.
func (c *heldConn) Read(data []byte) (int, error) {
	c.mu.Lock()
	for !c.opened && !c.expired && c.allowed == 0 {
		c.changed.Wait()
	}
	if !c.opened && !c.expired {
		c.allowed--
	}
	c.mu.Unlock()
	return c.TCPConn.Read(data)
}

// SetReadDeadline implements net.Conn.
func (c *heldConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.expired = !t.IsZero() && !t.After(time.Now())
	c.opened = c.opened || c.armed && c.expired
	c.changed.Broadcast()
	return err
}

// open lets all reads start.
func (c *heldConn) open() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opened = true
	c.changed.Broadcast()
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.closeOnce.Do(func() { close(c.closing) })
	c.open()
	<-c.closable
	return c.TCPConn.Close()
}

// heldListener accepts connections as heldConns. If held is not nil, Accept waits until it
// is closed, which is the case once listening is to end.
type heldListener struct {
	*net.TCPListener
	conns    chan *heldConn
	held     chan struct{}
	heldOnce sync.Once
}

func (l *heldListener) release() {
	if l.held != nil {
		l.heldOnce.Do(func() { close(l.held) })
	}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	if l.held != nil {
		<-l.held
	}
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := newHeldConn(conn)
	l.conns <- c
	return c, nil
}

// SetDeadline sets the deadline of Accept.
func (l *heldListener) SetDeadline(t time.Time) error {
	defer l.release()
	return l.TCPListener.SetDeadline(t)
}

// Close implements net.Listener.
func (l *heldListener) Close() error {
	defer l.release()
	return l.TCPListener.Close()
}

// heldServer is a server whose connections are heldConns.
type heldServer struct {
	*Server
	listener *heldListener
}

// serveHeld serves a handler that answers with the path. The guard may be nil.
func serveHeld(t *testing.T, pipelining, holdAccept bool, guard *Guard) *heldServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldListener{TCPListener: listener.(*net.TCPListener), conns: make(chan *heldConn, 100)}
	if holdAccept {
		held.held = make(chan struct{})
	}
	s := &heldServer{listener: held}
	s.Server = NewServer("test", held, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}), nil)
	s.SetGuard(guard)
	if pipelining {
		s.EnablePipelining(orioletelemetry.NewMetrics())
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		held.release()
		<-ended
	})
	return s
}

// shutdown shuts the server down, with ticks at once, and returns its result.
func (s *heldServer) shutdown() <-chan error {
	s.DisableKeepAlives()
	result, ended := make(chan error, 1), make(chan struct{})
	timers := manualTimers{make(chan time.Time)}
	go func() {
		defer close(ended)
		ctx, cancel := context.WithTimeout(context.Background(), pipelineTimeout)
		defer cancel()
		result <- s.Shutdown(ctx, timers)
	}()
	go func() {
		for {
			select {
			case timers.ticks <- time.Now():
				time.Sleep(time.Millisecond)
			case <-ended:
				return
			}
		}
	}()
	return result
}

// tracked returns the server's only connection.
func (s *heldServer) tracked(t *testing.T) *trackedConn {
	t.Helper()
	var sole *trackedConn
	eventually(t, "the connection is tracked", func() bool {
		s.Server.listener.mu.Lock()
		defer s.Server.listener.mu.Unlock()
		for c := range s.Server.listener.conns {
			sole = c
		}
		return sole != nil
	})
	return sole
}

// connect opens a connection that is idle: a new one, or one that has served a request.
func (s *heldServer) connect(t *testing.T, used bool) (*pipelineClient, *heldConn) {
	t.Helper()
	client := dialPipeline(t, s.listener.Addr().String())
	conn := <-s.listener.conns
	if used {
		conn.allow()
		client.send(t, getText("/first"))
		client.expect(t, "/first")
	}
	eventually(t, "the connection is idle", func() bool {
		idle, _ := s.Server.listener.connStates()
		return idle == 1
	})
	return client, conn
}

// sendUnread sends a request and waits until it is in the socket of the server.
func sendUnread(t *testing.T, client *pipelineClient, conn net.Conn) {
	t.Helper()
	text := getText("/late")
	client.send(t, text)
	eventually(t, "the request has arrived", func() bool { return oriolesocket.Unread(conn) == int64(len(text)) })
}

// TestRequestInSocketOfIdleConnectionIsServed guards against closing a connection as idle
// while a request waits in its socket, because the reader got no processor before.
func TestRequestInSocketOfIdleConnectionIsServed(t *testing.T) {
	type closing struct {
		name string
		used bool
		// end decides to close the connection.
		end func(*heldServer, *trackedConn)
	}
	idleTimeout := func(_ *heldServer, c *trackedConn) { c.setIdle(time.Now().Add(-time.Minute), time.Nanosecond) }
	evict := func(_ *heldServer, c *trackedConn) {
		c.setIdle(time.Now().Add(-time.Minute), 0)
		c.evict()
	}
	for _, pipelining := range []bool{false, true} {
		for _, test := range []closing{
			{"planned stop, new", false, nil},
			{"planned stop, used", true, nil},
			{"idle timeout, new", false, idleTimeout},
			{"idle timeout, used", true, idleTimeout},
			{"closed for others, new", false, evict},
			{"closed for others, used", true, evict},
		} {
			t.Run(fmt.Sprintf("%s, pipelining %v", test.name, pipelining), func(t *testing.T) {
				is := is.New(t)
				s := serveHeld(t, pipelining, false, nil)
				client, conn := s.connect(t, test.used)
				conn.arm()
				sendUnread(t, client, conn)
				if test.end != nil {
					test.end(s, s.tracked(t))
					client.expect(t, "/late")
					return
				}
				finished := s.shutdown()
				resp, body, err := client.receive()
				is.NoErr(err)
				is.Equal(body, "/late")
				is.True(resp.Close)
				is.NoErr(<-finished)
			})
		}
	}
}

// TestRequestInSocketAtHeaderTimeoutIsServed guards against closing a new connection for
// not having sent a request while one waits in its socket.
func TestRequestInSocketAtHeaderTimeoutIsServed(t *testing.T) {
	for _, pipelining := range []bool{false, true} {
		t.Run(fmt.Sprintf("pipelining %v", pipelining), func(t *testing.T) {
			is := is.New(t)
			s := serveHeld(t, pipelining, false, &Guard{
				Ledger: orioleclients.NewLedger(roomy), Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()},
				Limits: func() ClientLimits { return ClientLimits{HeaderTimeout: time.Minute} },
			})
			client, conn := s.connect(t, false)
			conn.arm()
			sendUnread(t, client, conn)
			eventually(t, "a deadline is set for the header", conn.hasDeadline)
			is.NoErr(conn.SetReadDeadline(time.Unix(1, 0)))
			client.expect(t, "/late")
		})
	}
}

// TestIdleConnectionEndsWhenFoundEmpty guards against requests that arrive between the last
// look at a connection that is closed as idle and its end, if the process gets no processor
// in between: the caller must learn of the end at once.
func TestIdleConnectionEndsWhenFoundEmpty(t *testing.T) {
	for _, pipelining := range []bool{false, true} {
		t.Run(fmt.Sprintf("pipelining %v", pipelining), func(t *testing.T) {
			is := is.New(t)
			s := serveHeld(t, pipelining, false, nil)
			client, conn := s.connect(t, true)
			closable := make(chan struct{})
			conn.closable = closable
			conn.arm()
			finished := s.shutdown()
			<-conn.closing
			is.NoErr(client.SetReadDeadline(time.Now().Add(time.Second)))
			ended := client.ended()
			close(closable)
			is.True(ended)
			is.NoErr(<-finished)
		})
	}
}

// TestConnectionsInAcceptQueueAreServed guards against resetting connections that the
// kernel has accepted and the process has not when listening ends.
func TestConnectionsInAcceptQueueAreServed(t *testing.T) {
	is := is.New(t)
	s := serveHeld(t, true, true, nil)
	clients := make([]*pipelineClient, 5)
	for i := range clients {
		clients[i] = dialPipeline(t, s.listener.Addr().String())
		clients[i].send(t, getText("/queued"))
	}
	go func() {
		for conn := range s.listener.conns {
			conn.open()
		}
	}()
	finished := s.shutdown()
	for _, client := range clients {
		resp, body, err := client.receive()
		is.NoErr(err)
		is.Equal(body, "/queued")
		is.True(resp.Close)
	}
	is.NoErr(<-finished)
	_, err := net.Dial("tcp", s.listener.Addr().String())
	is.True(err != nil) // no connection is accepted any more
}

// slowAcceptListener accepts a connection, and passes it on once it is released.
type slowAcceptListener struct {
	net.Listener
	accepted, released chan struct{}
}

// Accept implements net.Listener.
func (l slowAcceptListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.released
	}
	return conn, err
}

// TestShutdownWaitsForConnectionBeingAccepted guards against a process that ends, as it has
// no connection left, while one with a request in its socket is being accepted.
func TestShutdownWaitsForConnectionBeingAccepted(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := slowAcceptListener{inner, make(chan struct{}), make(chan struct{})}
	server := servePipelineOn(t, listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	}), true, nil)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/late"))
	<-listener.accepted
	server.DisableKeepAlives()
	timers := manualTimers{make(chan time.Time)}
	finished := make(chan error, 1)
	go func() { finished <- server.Shutdown(context.Background(), timers) }()
	for range 5 {
		select {
		case timers.ticks <- time.Now():
		case err := <-finished:
			t.Fatalf("shut down while a connection was being accepted: %v", err)
		}
	}
	close(listener.released)
	client.expect(t, "/late")
	for ended := false; !ended; {
		select {
		case timers.ticks <- time.Now():
		case err := <-finished:
			is.NoErr(err)
			ended = true
		}
	}
}

// afterHeaderConn is a connection that calls afterHeader when net/http has cleared the
// deadline of a header section, before the connection counts as active.
type afterHeaderConn struct {
	net.Conn
	headers     int
	inHeader    bool
	afterHeader func(headers int)
}

// SetReadDeadline implements net.Conn.
func (c *afterHeaderConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if t.IsZero() && c.inHeader {
		c.headers++
		c.afterHeader(c.headers)
	}
	c.inHeader = t.After(time.Now())
	return err
}

// afterHeaderListener accepts connections as afterHeaderConns.
type afterHeaderListener struct {
	net.Listener
	afterHeader func(headers int)
}

// Accept implements net.Listener.
func (l afterHeaderListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &afterHeaderConn{Conn: conn, afterHeader: l.afterHeader}, nil
}

// TestBufferedRequestIsNotCancelled guards against cancelling a request that was read
// together with the one before it, because the connection is to be closed as idle in the
// moment in which the request starts.
func TestBufferedRequestIsNotCancelled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var server *pipelineServer
	ready := make(chan struct{})
	server = servePipelineOn(t, afterHeaderListener{listener, func(headers int) {
		if headers != 2 {
			return
		}
		<-ready
		server.listener.mu.Lock()
		conns := []*trackedConn{}
		for c := range server.listener.conns {
			conns = append(conns, c)
		}
		server.listener.mu.Unlock()
		for _, c := range conns {
			c.setIdle(time.Now().Add(-time.Minute), 0)
			c.closeIdle()
		}
	}}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(200 * time.Millisecond): // the reader has noticed a deadline by then
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), false, nil)
	close(ready)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/1")+getText("/2"))
	client.expect(t, "/1")
	client.expect(t, "/2")
}

// halfClosingListener accepts connections with a send buffer that holds a whole response,
// and reports those of which one direction is closed.
type halfClosingListener struct {
	net.Listener
	halfClosed chan struct{}
}

// Accept implements net.Listener.
func (l halfClosingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	return halfClosingConn{tcp, l.halfClosed}, tcp.SetWriteBuffer(4 << 20)
}

type halfClosingConn struct {
	*net.TCPConn
	halfClosed chan struct{}
}

// CloseWrite ends the responses.
func (c halfClosingConn) CloseWrite() error {
	select {
	case c.halfClosed <- struct{}{}:
	default:
	}
	return c.TCPConn.CloseWrite()
}

// TestClosingResponseIsNotCutOff guards against a reset that cuts off a response which
// closes the connection, because the next request waits in the socket and the caller has
// not taken all of the response yet.
func TestClosingResponseIsNotCutOff(t *testing.T) {
	const size = 1 << 20
	for _, test := range []struct{ name, first string }{
		{"GET", getText("/")},
		{"GET with odd header", "GET / HTTP/1.1\r\nHost: h\r\nConnection: Keep-Alive, Te\r\n\r\n"},
		{"POST", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"},
		{"POST with chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			started, arrived := make(chan net.Conn, 1), make(chan struct{})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			halfClosed := make(chan struct{}, 1)
			server := servePipelineOn(t, halfClosingListener{listener, halfClosed}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path != "/" {
					return
				}
				started <- connOf(r).Conn
				<-arrived
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			}), true, nil)
			server.listener.pipelining.linger = pipelineTimeout
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) {
					_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10)
				})
			}}
			client, err := dialer.Dial("tcp", server.addr)
			is.NoErr(err)
			defer func() { _ = client.Close() }()
			is.NoErr(client.SetDeadline(time.Now().Add(pipelineTimeout)))
			_, err = io.WriteString(client, test.first)
			is.NoErr(err)
			conn := <-started
			// More than net/http and the gateway buffer.
			_, err = io.WriteString(client, strings.Repeat(getText("/next"), 2000))
			is.NoErr(err)
			eventually(t, "requests wait in the socket", func() bool { return oriolesocket.Unread(conn) > 0 })
			close(arrived)
			eventually(t, "the response has ended", func() bool {
				return len(halfClosed) > 0 || server.listener.connCount() == 0
			})
			resp, err := http.ReadResponse(bufio.NewReader(client), nil)
			is.NoErr(err)
			n, err := io.Copy(io.Discard, resp.Body)
			is.NoErr(err)
			is.Equal(n, int64(size))
			is.NoErr(client.Close()) // ends the wait for the rest of the requests
		})
	}
}
