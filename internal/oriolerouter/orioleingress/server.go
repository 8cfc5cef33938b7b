package orioleingress

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// headerTimeout limits the time to read a request's header on a server without a guard,
// whose limits follow the configuration.
const headerTimeout = 10 * time.Second

// Server is a duty that serves HTTP on a listener.
type Server struct {
	name    string
	server  *http.Server
	handler http.Handler
	// keepAlivesDisabled is set once connections are closed after their next
	// response, and listenerClosed once no more connections are accepted.
	keepAlivesDisabled atomic.Bool
	listenerClosed     atomic.Bool
	// acceptEnded is closed once the last accepted connection is tracked.
	acceptEnded     chan struct{}
	acceptEndedOnce sync.Once
	// active is the number of requests in flight.
	active   atomic.Int64
	listener *trackedListener
	// serveAhead starts the goroutine that accepts requests sent ahead.
	serveAhead sync.Once
}

// NewServer returns a duty that serves the handler. If idleTimeout is not nil,
// it is called whenever a connection becomes idle, and returns how long the
// connection may stay so; 0 means no limit.
func NewServer(name string, listener net.Listener, handler http.Handler, idleTimeout func() time.Duration) *Server {
	s := &Server{name: name, handler: handler, listener: newTrackedListener(listener, idleTimeout), acceptEnded: make(chan struct{})}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		// Discard errors of single connections, such as callers that hang up.
		ErrorLog:    log.New(io.Discard, "", 0),
		ConnState:   s.listener.setState,
		ConnContext: withConn,
	}
	return s
}

// SetGuard bounds what clients make the server hold. It must be called before Serve.
func (s *Server) SetGuard(guard *Guard) { s.listener.guard = guard }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.keepAlivesDisabled.Load() && mayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	// Handlers that read bodies set a deadline of their own.
	limitDiscard(w, r)
	s.handler.ServeHTTP(w, r)
}

func (s *Server) String() string { return s.name }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) (err error) {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	s.servePipelined()
	err = s.server.Serve(s.listener)
	if s.listenerClosed.Load() {
		s.acceptEndedOnce.Do(func() { close(s.acceptEnded) })
	}
	if s.listenerClosed.Load() || errors.Is(err, http.ErrServerClosed) {
		// Requests in flight continue until ctx is done.
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serve %s", s.name)
}

// DisableKeepAlives closes each connection after its next response, or after the responses
// to the requests that were sent ahead by then, and none before it.
// http.Server.SetKeepAlivesEnabled would also close connections that look idle although the
// first bytes of a request were read.
func (s *Server) DisableKeepAlives() {
	if p := s.listener.pipelining; p != nil {
		p.draining.Store(true)
	}
	s.keepAlivesDisabled.Store(true)
}

// shutdownPollInterval is how often a server that shuts down closes idle
// connections and checks for others.
const shutdownPollInterval = 20 * time.Millisecond

// Shutdown ends listening, closes idle connections, and waits until all
// connections have ended: a request may be on its way on one that was just
// accepted, or that the kernel has. It fails if requests are in flight when ctx
// is done.
func (s *Server) Shutdown(ctx context.Context, timers oriole.Timers) (err error) {
	s.listenerClosed.Store(true)
	s.listener.endAccept()
	// If ctx is done before, no more connections are accepted. Close only fails if the
	// listener is already closed.
	defer func() { _ = s.listener.Close() }()
	ticks, stop := timers.Subscribe(shutdownPollInterval)
	defer stop()
	for {
		s.listener.closeIdle()
		if s.ended() {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			if n := s.active.Load(); n > 0 {
				return errors.Wrapf(ctx.Err(), "%s: %d requests still in flight", s.name, n)
			}
			return nil
		}
	}
}

// ended reports whether no connection is open and none is accepted any more.
func (s *Server) ended() bool {
	select {
	case <-s.acceptEnded:
		return s.listener.connCount() == 0
	default:
		return false
	}
}
