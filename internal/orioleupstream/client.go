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
)

const (
	// maxBody bounds an answer's body in bytes: it is held whole, so that one
	// that was cut off is never passed on as complete.
	maxBody = 8 << 20
	// idleSpan is how long a connection is kept if the upstream does not say
	// when it closes idle ones.
	idleSpan = 4 * time.Second
)

// ErrTooLarge is returned for an answer above the size that is held.
var ErrTooLarge = errors.New("the answer is too large")

// Response is a whole answer of an upstream.
type Response struct {
	// Conn is the connection that it came on.
	Conn   oriole.ConnID
	Status int
	Header http.Header
	Body   []byte
}

// Client keeps connections to upstreams, each to one life of one.
type Client struct {
	mu   sync.Mutex
	idle map[oriole.Life][]*conn
}

// New returns a client, and a function that closes its connections.
func New() (client *Client, cleanup func()) {
	c := &Client{idle: make(map[oriole.Life][]*conn)}
	return c, c.closeAll
}

// Call describes one exchange.
type Call struct {
	To      oriole.Upstream
	Request *http.Request
	// Mine tells from an answer's header whether it belongs to the request.
	Mine func(*http.Response) bool
	// Idle tells from an answer's header how long the upstream keeps the
	// connection, or 0.
	Idle func(http.Header) time.Duration
	// Conn is the connection to use, or 0 for any.
	Conn oriole.ConnID
	// Ready is asked once there is a connection, just before the first byte
	// is sent; if it is set and returns false, nothing is sent.
	Ready func() bool
}

// Do sends the call once. Errors are ErrUnreachable and ErrNotSent if no byte
// has left; after any other the upstream may have acted on it.
func (c *Client) Do(ctx context.Context, call Call) (resp *Response, err error) {
	defer func() { err = errors.Wrapf(err, "calling %s", call.To.ID) }()
	conn, err := c.get(ctx, call.To, call.Conn)
	if err != nil {
		return nil, err
	}
	if call.Ready != nil && !call.Ready() {
		c.put(call.To.Life(), conn)
		return nil, errors.Wrap(oriole.ErrNotSent, "its time is over")
	}
	resp, keep, err := conn.exchange(ctx, call.Request, call.Mine)
	if err != nil || !keep {
		conn.abort()
	}
	if err != nil {
		if !conn.sent.any.Load() {
			return nil, errors.Wrap(oriole.ErrNotSent, err.Error())
		}
		return nil, err
	}
	resp.Conn = conn.id
	if keep {
		span := idleSpan
		if call.Idle != nil {
			if told := call.Idle(resp.Header); told > 0 {
				span = told
			}
		}
		conn.idleUntil = time.Now().Add(span)
		c.put(call.To.Life(), conn)
	}
	return resp, nil
}

// Reach opens a connection to the upstream, which later calls may use, unless
// there is one.
func (c *Client) Reach(ctx context.Context, to oriole.Upstream) (err error) {
	conn, err := c.get(ctx, to, 0)
	if err != nil {
		return err
	}
	if conn.idleUntil.IsZero() {
		conn.idleUntil = time.Now().Add(idleSpan)
	}
	c.put(to.Life(), conn)
	return nil
}

// get returns an idle connection, the one that is wanted if any is, or a new
// one.
func (c *Client) get(ctx context.Context, to oriole.Upstream, want oriole.ConnID) (*conn, error) {
	for {
		conn := c.take(to.Life(), want)
		if conn == nil {
			break
		}
		if conn.usable(time.Now()) {
			// A deadline of the last exchange may be left.
			if err := conn.SetDeadline(time.Time{}); err == nil {
				return conn, nil
			}
		}
		_ = conn.Close()
	}
	if want != 0 {
		return nil, oriole.ErrReconnected
	}
	return dial(ctx, to.Addr)
}

func (c *Client) take(life oriole.Life, want oriole.ConnID) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[life]
	for i := len(conns) - 1; i >= 0; i-- {
		if conn := conns[i]; want == 0 || conn.id == want {
			c.idle[life] = slices.Delete(conns, i, i+1)
			return conn
		}
	}
	return nil
}

func (c *Client) put(life oriole.Life, conn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		_ = conn.Close()
		return
	}
	c.idle[life] = append(c.idle[life], conn)
}

// Forget closes the idle connections of lives that keep does not report.
func (c *Client) Forget(keep func(oriole.Life) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for life, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if keep(life) && now.Before(conn.idleUntil) {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		}
		if len(kept) == 0 {
			delete(c.idle, life)
		} else {
			c.idle[life] = kept
		}
	}
}

func (c *Client) closeAll() {
	c.Forget(func(oriole.Life) bool { return false })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = nil
}

func readBody(resp *http.Response) (body []byte, err error) {
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		return nil, ErrTooLarge
	}
	return body, err
}
