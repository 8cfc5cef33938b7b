package orioleupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/orioleupstream"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
	"github.com/orioleswitch/orioleswitch/platform"
)

// newUpstream starts a server that responds to the n-th request of each connection
// with the raw text that respond returns. It closes the connection if the text is
// empty, or after sending it if it contains "Unframed".
func newUpstream(t *testing.T, respond func(n int, id string) string) oriole.Upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(conn, respond)
		}
	}()
	return oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String()), StartedAt: time.Unix(1, 0)}
}

func serveConn(conn net.Conn, respond func(n int, id string) string) {
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
		text := respond(n, req.Header.Get("X-Attempt-Id"))
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || strings.Contains(text, "Unframed") {
			return
		}
	}
}

func okResponse(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: s\r\nContent-Length: 5\r\n\r\nhello", id)
}

func newSender(t *testing.T) *orioleupstream.Sender {
	client, cleanup := orioleupstream.New()
	t.Cleanup(cleanup)
	return orioleupstream.NewSender(client, platform.Dialect{}, orioletimer.New())
}

func request(id string) oriole.Request {
	return oriole.Request{
		ID: id, Method: http.MethodPost, Host: "h.example", Target: "/a/b?c=d", Body: []byte("body"),
		Header: http.Header{"X-Attempt-Id": {id}}, Deadline: time.Now().Add(2 * time.Second),
	}
}

// Whatever bytes an upstream sends, the caller gets the complete response to its
// own request or none, and a request that may have run is never reported as not
// run.
func TestResponsesAreMatchedAndComplete(t *testing.T) {
	for _, test := range []struct {
		name    string
		respond func(n int, id string) string
		want    oriole.Outcome
		body    string
	}{
		{"complete", func(_ int, id string) string { return okResponse(id) }, oriole.OutcomeAnswered, "hello"},
		{"stale response to another request first", func(_ int, id string) string { return okResponse("old") + okResponse(id) }, oriole.OutcomeAnswered, "hello"},
		{"interim response first", func(_ int, id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + okResponse(id) }, oriole.OutcomeAnswered, "hello"},
		{"only responses to other requests", func(int, string) string { return okResponse("x") + okResponse("y") + okResponse("z") + okResponse("w") }, oriole.OutcomeUnknown, ""},
		{"truncated body", func(_ int, id string) string { return strings.Replace(okResponse(id), "5", "50", 1) + "Unframed" }, oriole.OutcomeUnknown, ""},
		{"closed without a response", func(int, string) string { return "" }, oriole.OutcomeUnknown, ""},
		{"not HTTP", func(int, string) string { return "220 mail.example ready Unframed\r\n\r\n" }, oriole.OutcomeUnknown, ""},
		{"body delimited by close", func(_ int, id string) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n\r\nUnframed"
		}, oriole.OutcomeAnswered, "Unframed"},
		{"not executed", func(_ int, id string) string {
			return "HTTP/1.1 503 No\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}, oriole.OutcomeNotRun, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to := newUpstream(t, test.respond)
			sender := newSender(t)
			for _, id := range []string{"1", "2"} {
				resp := sender.Send(context.Background(), to, request(id))
				is.Equal(resp.Outcome, test.want)
				if test.body != "" {
					is.Equal(string(resp.Body), test.body)
				}
			}
		})
	}
}

// An unsolicited response must not be taken for the response to the next request:
// the connection is closed, or the response is skipped.
func TestUnsolicitedResponsesAreDiscarded(t *testing.T) {
	is := is.New(t)
	to := newUpstream(t, func(_ int, id string) string { return okResponse(id) + okResponse(id) })
	sender := newSender(t)
	for i := range 20 {
		resp := sender.Send(context.Background(), to, request(fmt.Sprint(i)))
		is.Equal(resp.Outcome, oriole.OutcomeAnswered)
		is.Equal(resp.Header.Get("X-Attempt-Id"), fmt.Sprint(i))
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String())}
	is.NoErr(l.Close())
	resp := newSender(t).Send(context.Background(), to, request("1"))
	is.Equal(resp.Outcome, oriole.OutcomeNotRun)
	is.Equal(resp.Reason, oriole.ReasonConnection)
}

// A call with a connection ID is never sent on another connection, since another
// process may have taken the address over.
func TestCallIsBoundToConnection(t *testing.T) {
	is := is.New(t)
	to := newUpstream(t, func(n int, id string) string {
		if n == 1 {
			return ""
		}
		return okResponse(id)
	})
	client, cleanup := orioleupstream.New()
	defer cleanup()
	call := func(conn oriole.ConnID) (*orioleupstream.Response, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+to.Addr.String()+"/x", nil)
		is.NoErr(err)
		return client.Do(context.Background(), orioleupstream.Call{
			To: to, Request: req, Conn: conn, MatchesRequest: func(*http.Response) bool { return true },
		})
	}
	first, err := call(0)
	is.NoErr(err)
	_, err = call(first.Conn) // the upstream closes the connection without a response
	is.True(err != nil)
	_, err = call(first.Conn)
	is.True(errors.Is(err, oriole.ErrConnClosed))
	is.True(errors.Is(err, oriole.ErrNotSent))
	next, err := call(0)
	is.NoErr(err)
	is.True(next.Conn != first.Conn)
}

func TestRequestIsSentUnchanged(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	received := make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		received <- fmt.Sprintf("%s %s %s %s %q", r.Method, r.RequestURI, r.Host, body, r.Header["User-Agent"])
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "s")
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	r := request("1")
	r.Target = "/a%2Fb/..//c?x=%20&y"
	resp := newSender(t).Send(context.Background(), oriole.Upstream{ID: "i", Addr: netip.MustParseAddrPort(l.Addr().String())}, r)
	is.Equal(resp.Outcome, oriole.OutcomeAnswered)
	is.Equal(<-received, `POST /a%2Fb/..//c?x=%20&y h.example body []`)
}
