package orioleupstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// dialTimeout bounds the time to connect. It is many round trips between
	// zones, and shorter than the second after which a lost opening packet is
	// sent again: a caller's retry is sooner.
	dialTimeout = 400 * time.Millisecond
	// probeIdle, probeInterval and probeCount find connections that went
	// silent: within 2.5 s, shorter than the window after which the platform
	// expects a gateway to work again.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// bufferSize holds a usual answer or request without a second call to the
	// system, in bytes.
	bufferSize = 4 << 10
)

// conn is one connection to an upstream. It carries one request at a time.
type conn struct {
	net.Conn
	tcp  *net.TCPConn
	in   *bufio.Reader
	out  *bufio.Writer
	sent sentWriter
	id   oriole.ConnID
	// idleUntil is when the upstream may close it.
	idleUntil time.Time
}

// sentWriter notes whether anything was handed to the system.
type sentWriter struct {
	conn net.Conn
	any  atomic.Bool
}

// Write implements io.Writer.
func (w *sentWriter) Write(data []byte) (int, error) {
	w.any.Store(true)
	return w.conn.Write(data)
}

// NewDialer returns a dialer whose connections find out when their peer is
// silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
}

// lastConn counts the connections of this process.
var lastConn atomic.Uint64

func dial(ctx context.Context, to netip.AddrPort) (c *conn, err error) {
	raw, err := NewDialer().DialContext(ctx, "tcp", to.String())
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Wrap(oriole.ErrUnreachable, to.String())
	case err != nil:
		return nil, errors.Wrap(oriole.ErrNotSent, err.Error())
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, errors.Wrapf(oriole.ErrNotSent, "%T is not a TCP connection", raw)
	}
	c = &conn{Conn: raw, tcp: tcp, id: oriole.ConnID(lastConn.Add(1)), in: bufio.NewReaderSize(raw, bufferSize)}
	c.sent.conn = raw
	c.out = bufio.NewWriterSize(&c.sent, bufferSize)
	return c, nil
}

// abort closes the connection and drops what has not left yet, so that it can't
// arrive after the call was given up.
func (c *conn) abort() {
	// Either way the connection is gone; without the option the system may
	// deliver what is left.
	_ = c.tcp.SetLinger(0)
	_ = c.Close()
}

// usable reports whether an idle connection is open and has nothing to read: an
// extra answer of an earlier request makes it useless.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), buf[:])
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads its answer. mine tells from an answer's
// header whether it belongs to the request; one that does not is skipped.
func (c *conn) exchange(ctx context.Context, req *http.Request, mine func(*http.Response) bool) (resp *Response, keep bool, err error) {
	defer func() { err = errors.Wrap(err, "exchanging a request") }()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	c.sent.any.Store(false)
	written := make(chan error, 1)
	if req.ContentLength <= bufferSize {
		written <- c.write(req)
	} else {
		// The upstream may answer before it has read a long body.
		go func() { written <- c.write(req) }()
	}
	resp, keep, err = c.read(req, mine)
	if err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		return resp, keep && err == nil && stop(), nil
	default:
		// The rest of the body is due on this connection.
		return resp, false, nil
	}
}

func (c *conn) write(req *http.Request) error {
	if err := req.Write(c.out); err != nil {
		return err
	}
	return c.out.Flush()
}

// skippedAnswers bounds the answers that belong to no request.
const skippedAnswers = 3

func (c *conn) read(req *http.Request, mine func(*http.Response) bool) (*Response, bool, error) {
	for range skippedAnswers {
		resp, err := http.ReadResponse(c.in, req)
		if err != nil {
			return nil, false, err
		}
		body, err := readBody(resp)
		if err != nil {
			return nil, false, err
		}
		if resp.StatusCode < 200 || !mine(resp) {
			continue
		}
		keep := !resp.Close && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0) && c.in.Buffered() == 0
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, keep, nil
	}
	return nil, false, errors.New("the answers belong to no request")
}
