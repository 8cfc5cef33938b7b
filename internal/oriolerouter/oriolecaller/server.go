package oriolecaller

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// headerTimeout bounds the time to read a request's header where nothing else
// is configured, in the range of what operators set.
const headerTimeout = 10 * time.Second

// Server serves HTTP on a listener as a duty.
type Server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// NewServer returns a duty that serves the handler. If idle is set, it returns
// how long a connection may stay idle, and is asked each time one turns idle.
func NewServer(name string, listener net.Listener, handler http.Handler, idle func() time.Duration) *Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(discard{}, "", 0),
	}
	if idle != nil {
		timers := &idleTimers{idle: idle, timers: make(map[net.Conn]*time.Timer)}
		server.ConnState = timers.changed
	}
	return &Server{name: name, server: server, listener: listener}
}

// discard drops what net/http logs: callers that break off are no news.
type discard struct{}

// Write implements io.Writer.
func (discard) Write(data []byte) (int, error) { return len(data), nil }

func (s *Server) String() string { return s.name }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) (err error) {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err = s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		// Shutdown has begun; what is being answered goes on.
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serving %s", s.name)
}

// CloseIdle makes connections end with their next answer.
func (s *Server) CloseIdle() { s.server.SetKeepAlivesEnabled(false) }

// Shutdown accepts no connections any more and waits for the requests that are
// being answered.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrapf(s.server.Shutdown(ctx), "shutting down %s", s.name)
}

// idleTimers closes connections that stay idle. net/http fixes the time when a
// server starts, while the configuration changes it.
type idleTimers struct {
	idle   func() time.Duration
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func (t *idleTimers) changed(conn net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer := t.timers[conn]; timer != nil {
		timer.Stop()
		delete(t.timers, conn)
	}
	if state != http.StateIdle && state != http.StateNew {
		return
	}
	if span := t.idle(); span > 0 {
		t.timers[conn] = time.AfterFunc(span, func() { _ = conn.Close() })
	}
}
