package orioleingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
)

// lateConn calls late once net/http has ended its read behind a response.
type lateConn struct {
	*net.TCPConn
	armed *atomic.Bool
	late  func(net.Conn)
}

// SetReadDeadline implements net.Conn.
func (c lateConn) SetReadDeadline(t time.Time) error {
	err := c.TCPConn.SetReadDeadline(t)
	if t.IsZero() && c.armed.CompareAndSwap(true, false) {
		c.late(c.TCPConn)
	}
	return err
}

// lateListener accepts connections as lateConns.
type lateListener struct {
	*net.TCPListener
	conn lateConn
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	return lateConn{conn, l.conn.armed, l.conn.late}, err
}

// TestRequestBehindClosingResponseDoesNotResetIt guards against a closing response that is
// cut off because a request arrives after net/http has last read from the connection, as it
// can if the process gets no processor before it closes the connection.
func TestRequestBehindClosingResponseDoesNotResetIt(t *testing.T) {
	for _, test := range []struct{ name, first string }{
		{"GET", getText("/")},
		{"POST", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("x", 1<<20)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var armed atomic.Bool
			next, sent := make(chan struct{}), make(chan struct{})
			late := lateListener{listener.(*net.TCPListener), lateConn{armed: &armed, late: func(conn net.Conn) {
				close(next)
				<-sent
				for oriolesocket.Unread(conn) == 0 {
					time.Sleep(time.Millisecond)
				}
			}}}
			server := NewServer("test", late, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, body)
				armed.Store(true)
			}), nil)
			server.EnablePipelining(orioletelemetry.NewMetrics())
			server.listener.pipelining.linger = pipelineTimeout
			stopped := make(chan error, 1)
			ctx, cancel := context.WithCancel(context.Background())
			go func() { stopped <- server.Serve(ctx) }()
			defer func() {
				cancel()
				<-stopped
			}()
			dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
				return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
			}}
			conn, err := dialer.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(pipelineTimeout)))
			client := &pipelineClient{conn, bufio.NewReader(conn)}
			client.send(t, test.first)
			<-next
			client.send(t, getText("/next"))
			close(sent)
			time.Sleep(50 * time.Millisecond) // the server closes the connection
			client.expect(t, body)
		})
	}
}
