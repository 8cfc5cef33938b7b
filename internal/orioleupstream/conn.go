package orioleupstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/textproto"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

const (
	// dialTimeout bounds the time to connect. It allows many round trips between
	// zones and is shorter than the 1 s after which TCP retransmits a lost SYN:
	// the caller's own retry comes sooner.
	dialTimeout = 400 * time.Millisecond
	// minDialTime is how long an attempt to connect must go unanswered for the peer to
	// count as unreachable. The deadline of a call may end it sooner than dialTimeout.
	minDialTime = 200 * time.Millisecond
	// The TCP keep-alive settings detect an unresponsive peer within 2.5 s, which
	// is shorter than the time that the platform allows a gateway to recover.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// bufferSize is the size of the read and write buffers in bytes. A typical
	// request or response fits, so that it takes one system call.
	bufferSize = 4 << 10
	// maxHeadBytes bounds the status line and header of a response, and what
	// precedes its body otherwise. An upstream may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxExcluded bounds the request IDs that a connection remembers. One that
	// would have to remember more is closed.
	maxExcluded = 64
)

// conn is a connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	tcp     *net.TCPConn
	in      *bufio.Reader
	out     *bufio.Writer
	head    headLimiter
	tracker trackingWriter
	id      oriole.ConnID
	// used is set once the connection has carried a request.
	used bool
	// excluded holds the hashes of the request IDs that the connection must not
	// carry again.
	excluded []uint64
	// idleUntil is when the upstream may close the connection if it stays idle.
	idleUntil time.Time
}

// trackingWriter records whether a write to the connection has started, that is,
// whether the upstream may have received any byte.
type trackingWriter struct {
	conn    net.Conn
	started atomic.Bool
	// err is the first error of a write. Only the writer may use it until it has ended.
	err error
}

// Write implements io.Writer.
func (w *trackingWriter) Write(data []byte) (int, error) {
	w.started.Store(true)
	n, err := w.conn.Write(data)
	if w.err == nil {
		w.err = err
	}
	return n, err
}

// headLimiter reads from the connection, and fails once the head of a response
// exceeds maxHeadBytes.
type headLimiter struct {
	conn net.Conn
	// remaining is the number of bytes that the head may still take, or below 0
	// if no head is being read.
	remaining int
	// failed is set once the connection has returned an error, also its end.
	failed bool
}

// errHeadTooLarge is returned if the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("response header too large")

// Read implements io.Reader.
func (r *headLimiter) Read(data []byte) (n int, err error) {
	if r.remaining == 0 {
		return 0, errHeadTooLarge
	}
	if r.remaining > 0 {
		data = data[:min(len(data), r.remaining)]
	}
	n, err = r.conn.Read(data)
	r.failed = err != nil
	if r.remaining > 0 {
		r.remaining -= n
	}
	return n, err
}

// requestLineWriter replaces the first line that is written to it.
type requestLineWriter struct {
	out  *bufio.Writer
	line string
	done bool
}

// Write implements io.Writer.
func (w *requestLineWriter) Write(data []byte) (n int, err error) {
	n = len(data)
	if !w.done {
		_, rest, found := bytes.Cut(data, []byte("\r\n"))
		if !found {
			return n, nil
		}
		w.done = true
		if _, err := w.out.WriteString(w.line); err != nil {
			return 0, err
		}
		data = rest
	}
	_, err = w.out.Write(data)
	return n, err
}

// NewDialer returns a dialer whose connections use TCP keep-alive to detect an
// unresponsive peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
}

// lastConnID is the ID of the connection that this process opened last.
var lastConnID atomic.Uint64

func dial(ctx context.Context, to netip.AddrPort) (c *conn, err error) {
	started := time.Now()
	raw, err := NewDialer().DialContext(ctx, "tcp", to.String())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Wrap(oriole.ErrConnRefused, to.String())
	case err != nil && unanswered(err) && !errors.Is(ctx.Err(), context.Canceled) && time.Since(started) >= minDialTime:
		return nil, errors.Wrap(oriole.ErrUnreachable, to.String())
	case err != nil:
		return nil, errors.Wrap(oriole.ErrNotSent, err.Error())
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.Wrapf(oriole.ErrNotSent, "%T is not a TCP connection", raw)
	}
	c = &conn{Conn: raw, tcp: tcp, id: oriole.ConnID(lastConnID.Add(1)), head: headLimiter{conn: raw, remaining: -1}}
	c.in = bufio.NewReaderSize(&c.head, bufferSize)
	c.tracker.conn = raw
	c.out = bufio.NewWriterSize(&c.tracker, bufferSize)
	return c, nil
}

// unanswered reports whether an attempt to connect ended without any answer of the peer.
func unanswered(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// abort closes the connection and discards unsent data, so that no part of the
// request arrives after the call has failed.
func (c *conn) abort() {
	// SetLinger(0) makes Close reset the connection; without it the kernel may
	// still deliver buffered data. Errors are ignored, since the connection is
	// closed either way.
	_ = c.tcp.SetLinger(0)
	_ = c.Close()
}

// reusable reports whether an idle connection is open and has nothing to read.
// Unread data is an extra response to an earlier request, after which the
// connection can't be used again.
func (c *conn) reusable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buf[:])
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// exclude keeps the connection from carrying a request with the ID again. It
// reports false if the connection can't remember one more ID.
func (c *conn) exclude(requestID string) bool {
	if len(c.excluded) == maxExcluded {
		return false
	}
	c.excluded = append(c.excluded, xxhash.Sum64String(requestID))
	return true
}

// excludes reports whether the connection must not carry the request. Two IDs
// with the same hash cost a connection.
func (c *conn) excludes(requestID string) bool {
	return requestID != "" && slices.Contains(c.excluded, xxhash.Sum64String(requestID))
}

// exchange sends the call's request and reads its response, whose body takes its memory
// from the hold. It skips responses that do not match. reusable reports whether the
// connection may carry another request.
func (c *conn) exchange(ctx context.Context, call Call, hold *oriolememory.Hold) (resp *Response, reusable bool, err error) {
	defer func() { err = errors.Wrap(err, "exchanging a request and its response") }()
	// A deadline in the past interrupts pending reads and writes.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.tracker.started.Store(false)
	c.tracker.err = nil
	c.head.failed = false
	req, hasPast := call.Request, c.used
	written := make(chan error, 1)
	if req.ContentLength <= bufferSize {
		written <- c.write(req)
	} else {
		// The upstream may respond before it has read a long body, so its
		// response is read meanwhile.
		go func() { written <- c.write(req) }()
	}
	resp, reusable, err = c.read(call, hold)
	if err != nil && !c.head.failed {
		err = fmt.Errorf("%w: %w", ErrBadResponse, err)
	}
	if err != nil {
		return nil, false, err
	}
	if hasPast && call.ExtraWait > 0 && c.receivesWithin(call.ExtraWait) {
		return nil, false, ErrAmbiguous
	}
	if resp.untilEnd {
		return resp, false, c.checkOrderlyEnd(written)
	}
	select {
	case err := <-written:
		return resp, reusable && err == nil && stop(), nil
	default:
		// The request body is still being written to this connection.
		return resp, false, nil
	}
}

// checkOrderlyEnd returns an error if the connection, which has ended for the reader, was
// reset: its end is not that of a response then. The system reports a reset once, to the
// writer if that comes first, and the reader gets a plain end after that. A write that still
// waits has got no such error, and is given up: an upstream that has ended its response may
// not read on.
func (c *conn) checkOrderlyEnd(written <-chan error) error {
	// An error means that the connection is closed.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	<-written
	// net/http wraps the error of a write without giving access to it.
	if err := c.tracker.err; err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		return errors.Wrap(err, "connection lost before the end of the response was certain")
	}
	return nil
}

// receivesWithin reports whether bytes arrive within the wait.
func (c *conn) receivesWithin(wait time.Duration) bool {
	// If a deadline can't be set, the connection has failed.
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return err == nil
}

func (c *conn) write(req *http.Request) error {
	out := io.Writer(c.out)
	if strings.HasPrefix(req.URL.Opaque, "//") {
		// net/http would put the scheme before the target.
		out = &requestLineWriter{out: c.out, line: req.Method + " " + req.URL.Opaque + " HTTP/1.1\r\n"}
	}
	if err := req.Write(out); err != nil {
		return err
	}
	return c.out.Flush()
}

// maxResponses bounds the number of responses that are read for one request,
// including interim responses and those that belong to another request.
const maxResponses = 3

func (c *conn) read(call Call, hold *oriolememory.Hold) (*Response, bool, error) {
	first := !c.used
	c.used = true
	for range maxResponses {
		c.head.remaining = maxHeadBytes
		resp, err := c.readResponse(call.Request)
		if err != nil {
			return nil, false, err
		}
		c.head.remaining = -1
		if err := validate(resp); err != nil {
			return nil, false, err
		}
		if call.Head != nil {
			call.Head(resp)
		}
		body, err := readBody(resp, hold)
		if err != nil {
			return nil, false, err
		}
		// The end of the connection may be that of the body.
		c.head.failed = false
		if interim(resp) {
			continue
		}
		if !call.MatchesRequest(resp) {
			first = false
			continue
		}
		if !first && call.Unnamed != nil && call.Unnamed() {
			return nil, false, ErrAmbiguous
		}
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		if resp.StatusCode == http.StatusNoContent && claimsBody(resp) {
			// The body that the upstream may send is none to net/http.
			framed = false
		}
		// Of a response of HTTP/1.0, more than the body may have been read from the connection.
		reusable := !resp.Close && framed && resp.ProtoAtLeast(1, 1) && c.in.Buffered() == 0
		untilEnd := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, untilEnd: untilEnd}, reusable, nil
	}
	return nil, false, errors.New("no response matches the request")
}

// oldVersion begins the responses of HTTP/1.0.
const oldVersion = "HTTP/1.0"

// errOldEncoding is returned for a response of HTTP/1.0 with a transfer encoding, which that
// version doesn't have (RFC 9112, 6.1). net/http removes the field, and would take the chunks
// with their sizes for the body.
var errOldEncoding = errors.New("transfer encoding in a response of HTTP/1.0")

// readResponse reads the head of a response.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	// An error comes again when the response is read.
	if version, err := c.in.Peek(len(oldVersion)); err != nil || string(version) != oldVersion {
		return http.ReadResponse(c.in, req)
	}
	var head []byte
	for fields := 0; ; fields = len(head) {
		line, err := c.in.ReadBytes('\n')
		head = append(head, line...)
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(head[fields:], "\r\n")) == 0 {
			break
		}
	}
	_, fields, _ := bytes.Cut(head, []byte("\n"))
	header, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(fields))).ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	if _, found := header["Transfer-Encoding"]; found {
		return nil, errOldEncoding
	}
	return http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader(head), c.in)), req)
}

// validate returns an error if net/http has accepted a response that HTTP/1 does not allow
// for a request without an upgrade.
func validate(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errors.Errorf("protocol %s", resp.Proto)
	case !interim(resp) && !oriole.FinalStatus(resp.StatusCode):
		// net/http accepts three digits of any value, and signs such as in +20.
		return errors.Errorf("status %q", resp.Status)
	case interim(resp) && claimsBody(resp):
		// Upstream and gateway disagree on where the next response begins.
		return errors.Errorf("status %q with a body", resp.Status)
	}
	return nil
}

// interim reports whether another response follows. After status 101 the connection
// carries another protocol.
func interim(resp *http.Response) bool {
	return resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols
}

// claimsBody reports whether the header announces a body, also where the status allows
// none.
func claimsBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return len(resp.TransferEncoding) > 0 || (length != "" && length != "0")
}
