package oriolecaller

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// headerTimeout bounds the time to read a request's header where nothing else
// is configured, in the range of what operators set.
const headerTimeout = 10 * time.Second

// Server serves HTTP on a listener as a duty.
type Server struct {
	name    string
	server  *http.Server
	handler http.Handler
	// leaving makes connections end with their next answer, and closed says
	// that no more are accepted.
	leaving atomic.Bool
	closed  atomic.Bool
	// active counts the requests that are being answered.
	active atomic.Int64
	conns  *watchedListener
}

// NewServer returns a duty that serves the handler. If idle is set, it returns
// how long a connection may stay idle, and is asked each time one turns idle.
func NewServer(name string, listener net.Listener, handler http.Handler, idle func() time.Duration) *Server {
	s := &Server{name: name, handler: handler, conns: newWatchedListener(listener, idle)}
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: headerTimeout,
		// Callers that break off are no news.
		ErrorLog:  log.New(io.Discard, "", 0),
		ConnState: s.conns.changed,
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

func (s *Server) String() string { return s.name }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) (err error) {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	err = s.server.Serve(s.conns)
	if s.closed.Load() || errors.Is(err, http.ErrServerClosed) {
		// What is being answered goes on.
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrapf(err, "serving %s", s.name)
}

// Leave makes each connection end with its next answer. None is closed before:
// net/http would close those that look idle while a request is being read.
func (s *Server) Leave() { s.leaving.Store(true) }

// finishInterval is how often a server looks whether it has finished.
const finishInterval = 20 * time.Millisecond

// Finish accepts no connections any more, closes those that are idle, and waits
// for the requests that are being answered.
func (s *Server) Finish(ctx context.Context, timers oriole.Timers) (err error) {
	s.closed.Store(true)
	// It fails only if the listener is closed already.
	_ = s.conns.Close()
	ticks, stop := timers.Subscribe(finishInterval)
	defer stop()
	for {
		s.conns.closeIdle()
		if s.active.Load() == 0 {
			return nil
		}
		select {
		case <-ticks:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%s: %d requests not answered", s.name, s.active.Load())
		}
	}
}
