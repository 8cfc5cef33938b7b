package orioleupstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// newCuttingUpstream starts a server that responds to the first request of each
// connection with okResponse if warm is set. It responds to the next one with text,
// and then ends the connection, by a reset if reset is set.
func newCuttingUpstream(t *testing.T, warm bool, cut func() (text string, reset bool)) oriole.Upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn *net.TCPConn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for n := 0; ; n++ {
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if warm && n == 0 {
				if _, err := io.WriteString(conn, okResponse(req.Header.Get("X-Attempt-Id"))); err != nil {
					return
				}
				continue
			}
			text, reset := cut()
			_, _ = io.WriteString(conn, text)
			if reset {
				_ = conn.SetLinger(0)
			}
			return
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if tcp, ok := conn.(*net.TCPConn); ok {
				go serve(tcp)
			}
		}
	}()
	return oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String()), StartedAt: time.Unix(1, 0)}
}

// A response that breaks off at any byte must not be taken for a complete one.
func TestResponseCutAnywhereIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\nX-Response-Signature: s\r\n"
	for _, test := range []struct {
		name, text string
		// withoutLength is set if the end of the connection ends the body.
		withoutLength bool
	}{
		{"length", head + "Content-Length: 12\r\n\r\nhello, world", false},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Attempt-Id: 2\r\nX-Response-Signature: s\r\n\r\nhello, world", false},
		{"no body", head + "Content-Length: 0\r\n\r\n", false},
		{"no content", "HTTP/1.1 204 No Content\r\nX-Attempt-Id: 2\r\nX-Response-Signature: s\r\n\r\n", false},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10\r\n, world of yours\r\n0\r\n\r\n", false},
		{"trailer", head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n", false},
		{"line feeds", strings.ReplaceAll(head+"Content-Length: 5\r\n\r\n", "\r\n", "\n") + "hello", false},
		{"folded line", head + "A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello", false},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nhello", false},
		{"without length", head + "\r\nhello", true},
		{"old version", strings.Replace(head, "1.1", "1.0", 1) + "\r\nhello", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, warm := range []bool{false, true} {
				for n := range len(test.text) + 1 {
					for _, reset := range []bool{false, true} {
						is := is.New(t)
						to := newCuttingUpstream(t, warm, func() (string, bool) { return test.text[:n], reset })
						sender := newSender(t)
						if warm {
							is.Equal(sender.Send(context.Background(), to, request("1")).Outcome, oriole.OutcomeAnswered)
						}
						resp := sender.Send(context.Background(), to, request("2"))
						bodyStart := len(test.text)
						if test.withoutLength {
							bodyStart = strings.Index(test.text, "\r\n\r\n") + len("\r\n\r\n")
						}
						switch {
						case test.withoutLength && n >= bodyStart && !reset:
							is.Equal(resp.Outcome, oriole.OutcomeAnswered)
							is.Equal(string(resp.Body), test.text[bodyStart:n])
						case test.withoutLength, n < len(test.text):
							if resp.Outcome != oriole.OutcomeUnknown {
								t.Fatalf("cut at %d, reset %v: %v with body %q", n, reset, resp.Outcome, resp.Body)
							}
						case !reset:
							is.Equal(resp.Outcome, oriole.OutcomeAnswered)
						}
					}
				}
			}
		})
	}
}
