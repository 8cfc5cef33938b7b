package orioleingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
)

const (
	// maxAhead is the number of requests of a connection that may run, or have a response
	// that waits, behind the first.
	maxAhead = 16
	// maxAheadHead is the size in bytes of the largest head of a request that is sent
	// ahead; configurations limit heads to this size. It is also what a connection
	// buffers of the requests behind.
	maxAheadHead = 16 << 10
	// maxAheadLines is the number of lines of the largest head of a request that is sent
	// ahead: parsed fields take many times their bytes. Callers send some twenty.
	maxAheadLines = 64
	// minAheadBuffer is the size in bytes of the buffer for the requests behind, which
	// grows as needed.
	minAheadBuffer = 4 << 10
	// expectedResponse is the size in bytes of a response with its header that is reserved
	// for each request sent ahead: callers that send ahead get bodies of 30 KB at most.
	expectedResponse = 32 << 10
	// aheadReserve is what a request sent ahead takes besides its head: its response, and
	// the buffers and stacks of net/http.
	aheadReserve = expectedResponse + 16<<10
	// maxConnAheadBytes limits the responses that wait on a connection for their turn, to
	// 16 of 30 KB.
	maxConnAheadBytes = 512 << 10
	// maxAheadBytes limits what all connections hold for requests sent ahead, to a
	// seventeenth of the memory of the smallest VM.
	maxAheadBytes = 8 << 20
)

// Counters of pipelining.
const (
	metricAhead        = "pipeline_ahead"
	metricPausedNumber = "pipeline_paused_number"
	metricPausedBytes  = "pipeline_paused_bytes"
	gaugeAheadBytes    = "pipeline_bytes"
)

// pipelining is the part of a server that all connections share for requests which are
// sent before the previous ones are answered. It is the net.Listener that such requests
// are accepted from: each has a connection of its own, so that net/http parses it and
// runs it beside the others.
type pipelining struct {
	metrics *orioletelemetry.Metrics
	addr    net.Addr
	// accepted passes requests to the server, until closed is closed.
	accepted  chan *aheadRequest
	closed    chan struct{}
	closeOnce sync.Once
	// held is the number of bytes that are held or reserved, at most size except for
	// responses larger than what was reserved for them.
	held atomic.Int64
	size int64
	// linger is how long the rest of a caller's bytes is read after a response that closes
	// the connection.
	linger time.Duration
	// draining is set in a planned stop: no request is sent ahead any more.
	draining atomic.Bool
}

func newPipelining(addr net.Addr, metrics *orioletelemetry.Metrics) *pipelining {
	p := &pipelining{
		metrics: metrics, addr: addr, size: maxAheadBytes, linger: discardTimeout,
		accepted: make(chan *aheadRequest), closed: make(chan struct{}),
	}
	metrics.Gauge(gaugeAheadBytes, func() any { return p.held.Load() })
	return p
}

// Accept implements net.Listener.
func (p *pipelining) Accept() (net.Conn, error) {
	select {
	case a := <-p.accepted:
		return a, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (p *pipelining) Close() error {
	p.closeOnce.Do(func() { close(p.closed) })
	return nil
}

// Addr implements net.Listener.
func (p *pipelining) Addr() net.Addr { return p.addr }

// start has the server accept the request, and reports whether it does.
func (p *pipelining) start(a *aheadRequest) bool {
	select {
	case p.accepted <- a:
		return true
	case <-p.closed:
		return false
	}
}

// isClosed reports whether the server is being closed.
func (p *pipelining) isClosed() bool {
	select {
	case <-p.closed:
		return true
	default:
		return false
	}
}

// reserve takes n bytes, unless they exceed the bound.
func (p *pipelining) reserve(n int64) bool {
	if p.held.Add(n) > p.size {
		p.held.Add(-n)
		return false
	}
	return true
}

func (p *pipelining) release(n int64) { p.held.Add(-n) }

// wrap returns an accepted connection of which requests are read ahead.
func (p *pipelining) wrap(conn net.Conn, idleTimeout func() time.Duration) *trackedConn {
	ahead := &pipelinedConn{Conn: conn, shared: p, idleTimeout: idleTimeout, changed: make(chan struct{}, 1)}
	ahead.owner = &trackedConn{Conn: ahead, ahead: ahead}
	return ahead.owner
}

// EnablePipelining has the server read requests ahead and run them beside each other. It
// must be called before Serve. Without it, the requests of a connection are served one
// after the other.
func (s *Server) EnablePipelining(metrics *orioletelemetry.Metrics) {
	s.listener.pipelining = newPipelining(s.listener.Addr(), metrics)
}

// servePipelined serves the requests that are sent ahead until the server is closed.
func (s *Server) servePipelined() {
	if p := s.listener.pipelining; p != nil {
		s.serveAhead.Do(func() { go func() { _ = s.server.Serve(p) }() })
	}
}

// awaitTurn waits until all requests before this one on its connection are answered, and
// reports whether it had to wait. It fails if the connection ends before.
func awaitTurn(ctx context.Context) (waited bool, err error) {
	a, ok := ctx.Value(connKey{}).(*aheadRequest)
	if !ok {
		return false, nil
	}
	select {
	case <-a.turn:
		return false, ctx.Err()
	default:
	}
	select {
	case <-a.turn:
		return true, ctx.Err()
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// mayClose reports whether the response to the request may close its connection: a request
// that was sent ahead behind it may run by now, and must be answered.
func mayClose(ctx context.Context) bool {
	switch conn := ctx.Value(connKey{}).(type) {
	case *aheadRequest:
		return conn.conn.isLast(conn)
	case *trackedConn:
		return conn.ahead == nil || conn.ahead.isLast(nil)
	}
	return true
}

// setAheadState handles the ConnState hook of http.Server for a request that was sent
// ahead, and reports whether the connection is one of these.
func setAheadState(conn net.Conn, state http.ConnState) bool {
	a, ok := conn.(*aheadRequest)
	if ok && state == http.StateIdle {
		a.finish(false)
	}
	return ok
}
