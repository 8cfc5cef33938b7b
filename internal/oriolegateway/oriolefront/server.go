package oriolefront

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Times within which the parts of HTTP exchanges must come.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	stopTimeout   = 10 * time.Second
)

// Server is a duty that serves HTTP on a listener. The goroutines for each
// connection are those of net/http.
type Server struct {
	name     string
	listener net.Listener
	http     *http.Server
}

// NewServer returns the duty. It owns the listener.
func NewServer(name string, listener net.Listener, handler http.Handler) *Server {
	return &Server{
		name:     name,
		listener: listener,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
	}
}

func (s *Server) String() string { return "serve " + s.name }

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "serving %s", s.name) }()
	group, ctx := errgroup.WithContext(ctx)
	// Connections that a handler has taken over end with the server as well.
	s.http.BaseContext = func(net.Listener) context.Context { return ctx }
	group.Go(func() error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			// Shutdown has stopped it for good.
			<-ctx.Done()
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		return s.http.Close()
	})
	return group.Wait()
}

// Shutdown stops taking connections and waits for requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	return errors.Wrapf(s.http.Shutdown(ctx), "stopping %s", s.name)
}
