package orioleupstream

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

const (
	// MaxBodyBytes is the maximum size of a response body in bytes. Bodies are
	// buffered whole, so that a truncated one is never passed on as complete.
	MaxBodyBytes = 8 << 20
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// does not announce its own idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// replyMargin is the time before the deadline of a call until which a connection may
	// be opened for it: a call that was not sent is reported before its caller gives up.
	replyMargin = 20 * time.Millisecond
)

// ErrBodyTooLarge is returned if a response body exceeds the maximum size.
var ErrBodyTooLarge = errors.New("response body too large")

// ErrAmbiguous is returned if a response may belong to an earlier request on the
// same connection.
var ErrAmbiguous = errors.New("response may belong to an earlier request")

// ErrBadResponse is returned, with its cause, if the response can't be used although the
// connection has not failed.
var ErrBadResponse = errors.New("bad response")

// Response is a complete response of an upstream.
type Response struct {
	// Conn identifies the connection that the response was received on.
	Conn   oriole.ConnID
	Status int
	Header http.Header
	Body   []byte
	// untilEnd is set if the end of the connection is that of the body.
	untilEnd bool
}

// Client sends requests to upstreams and pools idle connections by upstream
// incarnation, so that a connection opened to one incarnation is never used for
// another.
type Client struct {
	// memory bounds the bodies that are being read.
	memory *oriolememory.Pool
	mu     sync.Mutex
	// idle is nil once the client is closed.
	idle map[oriole.Incarnation][]*conn
}

// New returns a client and a function that closes it. The bodies that are being read are
// bounded by memory; nil sets no bound.
func New(memory *oriolememory.Pool) (client *Client, cleanup func()) {
	c := &Client{memory: memory, idle: make(map[oriole.Incarnation][]*conn)}
	return c, c.closeAll
}

// Call describes one request and how to handle its response.
type Call struct {
	To      oriole.Upstream
	Request *http.Request
	// Head is called with the status and header of each response as soon as they
	// have been read, also if it does not match or is cut off later. It may be nil.
	Head func(*http.Response)
	// MatchesRequest reports whether a response belongs to the request.
	MatchesRequest func(*http.Response) bool
	// Unnamed reports whether a response that matches bears no ID. The call fails
	// if its connection has carried an earlier request or response, of which it
	// may be a late copy. It may be nil.
	Unnamed func() bool
	// IdleTimeout returns how long the connection may be kept idle according to the
	// response header, or 0 if the header doesn't say.
	IdleTimeout func(http.Header) time.Duration
	// Conn is the connection to use, or 0 for any.
	Conn oriole.ConnID
	// RequestID is the ID that the response repeats, or empty if it repeats none.
	RequestID string
	// ExtraWait is set for calls whose responses bear no ID. On a connection that
	// has carried an earlier call, it is how long to wait for an extra response. If
	// one comes, either may be a late copy of an earlier one, and the call fails.
	ExtraWait time.Duration
	// MayRepeat reports whether the request may be sent again after its response.
	// It is then sent on another connection, as a late copy of the response may
	// arrive on this one. It may be nil.
	MayRepeat func() bool
	// NewConn requires a connection that carries this call only, on which no late
	// response to an earlier call can arrive.
	NewConn bool
	// StillValid is called once a connection is available, immediately before the
	// first byte is sent. If it is set and returns false, nothing is sent.
	StillValid func() bool
}

// Do sends the request once, without retries. If no byte has been sent, the
// error is [oriole.ErrNotSent]; after any other error the upstream may have acted on the
// request.
func (c *Client) Do(ctx context.Context, call Call) (resp *Response, err error) {
	defer func() { err = errors.Wrapf(err, "calling %s", call.To.ID) }()
	conn, err := c.acquireFor(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.StillValid != nil && !call.StillValid() {
		if call.NewConn {
			_ = conn.Close()
			return nil, oriole.ErrExpired
		}
		if conn.idleUntil.IsZero() {
			conn.idleUntil = time.Now().Add(defaultIdleTimeout)
		}
		c.putIdle(call.To.Incarnation(), conn)
		return nil, oriole.ErrExpired
	}
	reused := conn.used
	hold, release := c.memory.Hold(string(call.To.ID))
	resp, reusable, err := conn.exchange(ctx, call, hold)
	release()
	reusable = reusable && !call.NewConn
	if err != nil || !reusable {
		conn.abort()
	}
	if err != nil {
		if !conn.tracker.started.Load() {
			return nil, errors.Wrap(oriole.ErrNotSent, err.Error())
		}
		if reused && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The other connections may be silent too: a new one shows it sooner.
			c.closeIdle(call.To.Incarnation())
		}
		return nil, err
	}
	resp.Conn = conn.id
	if reusable && call.MayRepeat != nil && call.MayRepeat() && !conn.exclude(call.RequestID) {
		reusable = false
		_ = conn.Close()
	}
	if reusable {
		timeout := defaultIdleTimeout
		if call.IdleTimeout != nil {
			if announced := call.IdleTimeout(resp.Header); announced > 0 {
				timeout = announced
			}
		}
		conn.idleUntil = time.Now().Add(timeout)
		c.putIdle(call.To.Incarnation(), conn)
	}
	return resp, nil
}

// EnsureConn opens a connection to the upstream for later calls to use, unless one
// is already idle.
func (c *Client) EnsureConn(ctx context.Context, to oriole.Upstream) (err error) {
	conn, err := c.acquire(ctx, to, 0, "")
	if err != nil {
		return err
	}
	if conn.idleUntil.IsZero() {
		conn.idleUntil = time.Now().Add(defaultIdleTimeout)
	}
	c.putIdle(to.Incarnation(), conn)
	return nil
}

func (c *Client) acquireFor(ctx context.Context, call Call) (*conn, error) {
	if deadline, found := ctx.Deadline(); found {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-replyMargin))
		defer cancel()
	}
	if call.NewConn {
		return dial(ctx, call.To.Addr)
	}
	return c.acquire(ctx, call.To, call.Conn, call.RequestID)
}

// acquire returns an idle connection that may carry the request, or opens a new
// one. If id is not 0, it returns the connection with that ID, or
// [oriole.ErrConnClosed] if it is gone.
func (c *Client) acquire(ctx context.Context, to oriole.Upstream, id oriole.ConnID, requestID string) (*conn, error) {
	for {
		conn := c.takeIdle(to.Incarnation(), id, requestID)
		if conn == nil {
			break
		}
		if conn.reusable(time.Now()) {
			// A precaution: exchange reports a connection on which it has set a
			// deadline as not reusable.
			if err := conn.SetDeadline(time.Time{}); err == nil {
				return conn, nil
			}
		}
		_ = conn.Close()
	}
	if id != 0 {
		return nil, oriole.ErrConnClosed
	}
	return dial(ctx, to.Addr)
}

func (c *Client) takeIdle(incarnation oriole.Incarnation, id oriole.ConnID, requestID string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[incarnation]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; (id == 0 || conn.id == id) && !conn.excludes(requestID) {
			c.idle[incarnation] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

func (c *Client) putIdle(incarnation oriole.Incarnation, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		_ = conn.Close()
		return
	}
	c.idle[incarnation] = append(c.idle[incarnation], conn)
}

// CloseIdleConns closes the idle connections that have timed out and those to
// incarnations for which keep returns false.
func (c *Client) CloseIdleConns(keep func(oriole.Incarnation) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for incarnation, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if keep(incarnation) && now.Before(conn.idleUntil) {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, incarnation)
		} else {
			c.idle[incarnation] = kept
		}
	}
}

// closeIdle closes the idle connections to the incarnation.
func (c *Client) closeIdle(incarnation oriole.Incarnation) {
	c.CloseIdleConns(func(other oriole.Incarnation) bool { return other != incarnation })
}

func (c *Client) closeAll() {
	c.CloseIdleConns(func(oriole.Incarnation) bool { return false })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = nil
}

// readBody reads the body to its end, and takes its memory from the hold. It does not
// close it: that would read an endless one on, and the body holds no resource but the
// connection.
func readBody(resp *http.Response, hold *oriolememory.Hold) (body []byte, err error) {
	if resp.Body != http.NoBody && resp.ContentLength > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	hold.Reset()
	body, err = io.ReadAll(io.LimitReader(hold.Reader(resp.Body), MaxBodyBytes+1))
	if err == nil && len(body) > MaxBodyBytes {
		return nil, ErrBodyTooLarge
	}
	return body, err
}
