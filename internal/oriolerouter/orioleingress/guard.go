package orioleingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

const (
	// headerSlack is what a header section may have in white space, which the
	// configuration's limit doesn't count.
	headerSlack = 4 << 10
	// writePiece is the most that is written to a connection under one deadline.
	writePiece = 16 << 10
	// writeTick is how often it is checked how much a client has taken.
	writeTick = 500 * time.Millisecond
	// eventInterval is the least time between two log lines of one kind of event.
	eventInterval = time.Second
)

// ClientLimits bounds what the clients of one server may do. A limit of 0 is none.
type ClientLimits struct {
	// MaxHeaderBytes and MaxFields bound a request's header section.
	MaxHeaderBytes int
	MaxFields      int
	// HeaderTimeout bounds the time to send a header section.
	HeaderTimeout time.Duration
	// A client that sends a body or reads a response moves MinBytes in each
	// ProgressTimeout at least.
	ProgressTimeout time.Duration
	MinBytes        int64
}

// Guard bounds what the clients of a server make it hold. A nil guard sets no bounds.
type Guard struct {
	// Ledger records what connections hold.
	Ledger *orioleclients.Ledger
	// Limits returns the limits now.
	Limits  func() ClientLimits
	Metrics *orioletelemetry.Metrics
	Log     log.Interface
	// Server names the server in logs.
	Server string

	mu     sync.Mutex
	events map[string]*rate.Sometimes
}

// Events in which a bound acted. Each is counted as clients_EVENT.
const (
	eventConnsFull     = "conns_full"
	eventBytesFull     = "bytes_full"
	eventHeaderBytes   = "header_bytes"
	eventHeaderFields  = "header_fields"
	eventSlowBody      = "slow_body"
	eventSlowReader    = "slow_reader"
	eventClosed        = "closed_for_others"
	eventResponsesFull = "responses_full"
	eventClosedUnread  = "closed_unread"
)

// report counts an event, and logs it at most once in each eventInterval.
func (g *Guard) report(event string) {
	g.count(event, func(total int64) {
		usage := g.Ledger.Usage()
		g.Log.WithFields(log.Fields{
			"server": g.Server, "bound": event, "total": total,
			"conns": usage.Conns, "held": usage.Used, "evicted": usage.Evicted,
		}).Warn(oriolelog.MessageClientBound)
	})
}

// count counts an event, and calls logTotal with the number of such events at most once in
// each eventInterval.
func (g *Guard) count(event string, logTotal func(total int64)) {
	if g == nil || g.Metrics == nil {
		return
	}
	g.Metrics.Add("clients_"+event, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.events == nil {
		g.events = make(map[string]*rate.Sometimes)
	}
	sometimes := g.events[event]
	if sometimes == nil {
		sometimes = &rate.Sometimes{Interval: eventInterval}
		g.events[event] = sometimes
	}
	sometimes.Do(func() { logTotal(g.Metrics.Value("clients_" + event)) })
}

// limits returns the limits now; a nil guard has none.
func (g *Guard) limits() ClientLimits {
	if g == nil {
		return ClientLimits{}
	}
	return g.Limits()
}

// headCounter counts the bytes and lines of header sections as they arrive.
type headCounter struct {
	bytes, lines int
	// started is set once a line was not empty, and ended after the empty line that ends
	// the section.
	started, ended bool
	lineLength     int
}

// leadingBreaks is the number of bytes of empty lines that net/http skips before a request.
const leadingBreaks = 4

// reset prepares for the next header section.
func (s *headCounter) reset() { *s = headCounter{} }

// scan counts the bytes up to the end of the header section, and returns how many bytes
// and lines it has counted.
func (s *headCounter) scan(data []byte) (n, lines int) {
	for _, b := range data {
		if s.ended {
			break
		}
		n++
		switch b {
		case '\n':
			lines++
			s.ended = s.lineLength == 0 && (s.started || s.bytes+n > leadingBreaks)
			s.lineLength = 0
		case '\r':
		default:
			s.lineLength++
			s.started = true
		}
	}
	s.bytes += n
	s.lines += lines
	return n, lines
}

// errRefused ends the reads of a connection that was answered and closed by the guard.
// net/http does not answer after it.
var errRefused = io.EOF

// scanHead counts what was read of a header section, and refuses one that exceeds the
// limits before net/http has parsed the bytes.
func (c *trackedConn) scanHead(data []byte) error {
	g := c.guard
	first := c.head.bytes == 0
	n, lines := c.head.scan(data)
	limits := g.limits()
	if first {
		c.beginHead(limits.HeaderTimeout)
	}
	switch {
	case limits.MaxHeaderBytes > 0 && c.head.bytes > limits.MaxHeaderBytes+headerSlack:
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, eventHeaderBytes)
	case limits.MaxFields > 0 && c.head.lines > limits.MaxFields+2:
		// The request line and the empty line are no fields.
		return c.refuse(http.StatusRequestHeaderFieldsTooLarge, eventHeaderFields)
	}
	if c.head.ended {
		// net/http reports the connection active only once it has parsed the section. Grow
		// fails if the connection was closed in favor of others before it counts as waiting.
		c.holder.Enter(time.Now(), orioleclients.Waiting)
	}
	cost := oriolememory.HeaderCost(lines, n)
	switch err := c.holder.Grow(time.Now(), cost); {
	case errors.Is(err, orioleclients.ErrClosed):
		return errRefused
	case err != nil:
		return c.refuse(http.StatusServiceUnavailable, eventBytesFull)
	}
	c.headHeld += cost
	return nil
}

// beginHead notes the first byte of a header section. The connection may have been idle
// for long, and net/http sets no deadline before it has four bytes of a further request.
func (c *trackedConn) beginHead(timeout time.Duration) {
	now := time.Now()
	c.holder.Enter(now, orioleclients.New)
	if c.servedBefore.Load() && timeout > 0 {
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(now.Add(timeout))
	}
}

// refuse answers a request whose header section is not complete, and ends the connection.
// The request has not run. It is called by the goroutine that reads the connection.
func (c *trackedConn) refuse(status int, event string) error {
	c.guard.report(event)
	c.holder.Enter(time.Now(), orioleclients.New)
	c.holder.Finish()
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if status == http.StatusServiceUnavailable {
		text += "Retry-After: " + strconv.FormatFloat(bufferFullRetryAfter.Seconds(), 'f', 1, 64) + "\r\n" +
			headerOutcome + ": " + oriole.OutcomeNotRun.String() + "\r\n" + headerReason + ": " + oriole.ReasonQueueFull.String() + "\r\n"
	}
	now := time.Now()
	_ = c.Conn.SetDeadline(now.Add(discardTimeout))
	if _, err := io.WriteString(c.Conn, text+"\r\n"); err != nil {
		return errRefused
	}
	// Closing a connection with unread bytes resets it, and the client may lose the
	// response.
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	scratch := make([]byte, 4<<10)
	for discarded := 0; discarded < maxDiscarded; {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			break
		}
		discarded += n
	}
	return errRefused
}

// maxDiscarded is the most that is read of a connection after its request was refused.
const maxDiscarded = 256 << 10

// Write implements net.Conn. It fails if the client doesn't read as fast as the guard's
// limits require.
func (c *trackedConn) Write(data []byte) (written int, err error) {
	limits := c.guard.limits()
	if limits.ProgressTimeout <= 0 || c.hijacked.Load() {
		return c.Conn.Write(data)
	}
	if c.holder.Phase() == orioleclients.Waiting {
		c.holder.Enter(time.Now(), orioleclients.Writing)
	}
	// moved counts what the client has taken since movedAt. What it has not acknowledged
	// is measured from the first write on that times out: most responses fit into the
	// buffer of the system, and need no further system call.
	movedAt, moved := time.Now(), int64(0)
	measured, queued := false, int64(0)
	for len(data) > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(min(writeTick, limits.ProgressTimeout))); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[:min(len(data), writePiece)])
		written += n
		data = data[n:]
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := time.Now()
		switch {
		case !measured && err == nil:
			moved += int64(n)
		case !measured:
			measured, queued, movedAt = true, oriolesocket.Unsent(c.Conn), now
		default:
			// The system takes more only once much of its buffer is free: a client that
			// reads steadily takes bytes for seconds before it does.
			left := oriolesocket.Unsent(c.Conn)
			moved += max(int64(n)+queued-left, 0)
			queued = left
		}
		switch {
		case moved >= limits.MinBytes:
			movedAt, moved = now, 0
			c.holder.Progress(now)
		case err != nil && now.Sub(movedAt) >= limits.ProgressTimeout:
			c.guard.report(eventSlowReader)
			return written, err
		}
	}
	return written, c.Conn.SetWriteDeadline(time.Time{})
}

// SetReadDeadline implements net.Conn. While a header section is read, a deadline is the
// one of the header section: net/http has one for all servers.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if t.After(now) && c.readsHead.Load() {
		if timeout := c.guard.limits().HeaderTimeout; timeout > 0 {
			t = now.Add(timeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. The connection counts until it is closed: what the client still
// sends may be read for up to discardTimeout before that.
func (c *trackedConn) Close() error {
	defer c.holder.Remove()
	if c.guard != nil {
		if unread := oriolesocket.Unread(c.Conn); unread > 0 {
			c.guard.reportUnread(c, unread)
		}
	}
	return c.Conn.Close()
}

// reportUnread counts a connection that is closed while bytes of its client are not read, and
// logs it at most once in each eventInterval. A request may be among them.
func (g *Guard) reportUnread(c *trackedConn, unread int64) {
	c.mu.Lock()
	closing, idleSince := c.closing, c.idleSince
	c.mu.Unlock()
	idle := time.Duration(0)
	if !idleSince.IsZero() {
		idle = time.Since(idleSince)
	}
	g.count(eventClosedUnread, func(total int64) {
		g.Log.WithFields(log.Fields{
			"server": g.Server, "peer": c.RemoteAddr().String(), "unread": unread, "closing": closing, "idle": idle.String(),
			"served": c.servedBefore.Load(), "total": total,
		}).Info(oriolelog.MessageClosedUnread)
	})
}

// evict closes the connection in favor of others. A connection on which a request may just
// have arrived is closed as an idle one is, also a new one if nothing was read from it: the
// process may not have had the time.
func (c *trackedConn) evict() {
	c.guard.report(eventClosed)
	if c.endIdle() || c.servedBefore.Load() && c.isIdle() {
		return
	}
	if c.ahead != nil {
		c.ahead.abort()
	}
	_ = c.Conn.Close()
}

// isIdle reports whether the connection waits for its next request.
func (c *trackedConn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.idleSince.IsZero() && !c.received
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn stores the connection in the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of the request, or nil if it came over another listener.
func connOf(r *http.Request) *trackedConn {
	conn, _ := r.Context().Value(connKey{}).(*trackedConn)
	return conn
}

// holderOf returns what records the bytes that a request's connection holds, and the guard
// of its server. Both may be nil. A request that was sent ahead has none: it has no body,
// and the phase is that of the connection it arrived on.
func holderOf(r *http.Request) (holder *orioleclients.Conn, guard *Guard) {
	if conn := connOf(r); conn != nil {
		return conn.holder, conn.guard
	}
	return nil, nil
}

// limitDiscard bounds the time for which net/http discards the rest of a body that nobody
// reads, before or after the response. It discards maxDiscarded bytes at most.
func limitDiscard(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// A server that can't set a deadline is one of a test.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
	}
}
