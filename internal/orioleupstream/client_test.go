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

// serve answers the n-th request of each connection with the text that answer
// returns, and closes the connection when that is empty.
func serve(t *testing.T, answer func(n int, id string) string) oriole.Upstream {
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
			go answerAll(conn, answer)
		}
	}()
	return oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String()), Born: time.Unix(1, 0)}
}

func answerAll(conn net.Conn, answer func(n int, id string) string) {
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
		text := answer(n, req.Header.Get("X-Attempt-Id"))
		if text == "" {
			return
		}
		if _, err := io.WriteString(conn, text); err != nil || strings.Contains(text, "Unframed") {
			return
		}
	}
}

func good(id string) string {
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

// TestAnswers: whatever an upstream sends, a caller gets the whole answer to its
// own request or none, and a request that may have run is never called not run.
func TestAnswers(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer func(n int, id string) string
		want   oriole.Outcome
		body   string
	}{
		{"whole", func(_ int, id string) string { return good(id) }, oriole.OutcomeAnswered, "hello"},
		{"an answer to another request first", func(_ int, id string) string { return good("old") + good(id) }, oriole.OutcomeAnswered, "hello"},
		{"interim answers first", func(_ int, id string) string { return "HTTP/1.1 100 Continue\r\n\r\n" + good(id) }, oriole.OutcomeAnswered, "hello"},
		{"only others' answers", func(int, string) string { return good("x") + good("y") + good("z") + good("w") }, oriole.OutcomeUnknown, ""},
		{"cut off", func(_ int, id string) string { return strings.Replace(good(id), "5", "50", 1) + "Unframed" }, oriole.OutcomeUnknown, ""},
		{"no bytes", func(int, string) string { return "" }, oriole.OutcomeUnknown, ""},
		{"not HTTP", func(int, string) string { return "220 mail.example ready Unframed\r\n\r\n" }, oriole.OutcomeUnknown, ""},
		{"no length", func(_ int, id string) string {
			return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n\r\nUnframed"
		}, oriole.OutcomeAnswered, "Unframed"},
		{"refused", func(_ int, id string) string {
			return "HTTP/1.1 503 No\r\nX-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}, oriole.OutcomeNotRun, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to := serve(t, test.answer)
			sender := newSender(t)
			for _, id := range []string{"1", "2"} {
				a := sender.Send(context.Background(), to, request(id))
				is.Equal(a.Outcome, test.want)
				if test.body != "" {
					is.Equal(string(a.Body), test.body)
				}
			}
		})
	}
}

// TestExtraAnswersBelongToNobody: an answer that nobody asked for ends the
// connection, or is skipped by the next request.
func TestExtraAnswersBelongToNobody(t *testing.T) {
	is := is.New(t)
	to := serve(t, func(_ int, id string) string { return good(id) + good(id) })
	sender := newSender(t)
	for i := range 20 {
		a := sender.Send(context.Background(), to, request(fmt.Sprint(i)))
		is.Equal(a.Outcome, oriole.OutcomeAnswered)
		is.Equal(a.Header.Get("X-Attempt-Id"), fmt.Sprint(i))
	}
}

func TestNothingListens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	to := oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String())}
	is.NoErr(l.Close())
	a := newSender(t).Send(context.Background(), to, request("1"))
	is.Equal(a.Outcome, oriole.OutcomeNotRun)
	is.Equal(a.Reason, oriole.ReasonConnection)
}

// TestBoundToItsConnection: a call that is bound to a connection is not sent on
// another.
func TestBoundToItsConnection(t *testing.T) {
	is := is.New(t)
	to := serve(t, func(n int, id string) string {
		if n == 1 {
			return ""
		}
		return good(id)
	})
	client, cleanup := orioleupstream.New()
	defer cleanup()
	call := func(conn oriole.ConnID) (*orioleupstream.Response, error) {
		req, err := http.NewRequest(http.MethodPost, "http://"+to.Addr.String()+"/x", nil)
		is.NoErr(err)
		return client.Do(context.Background(), orioleupstream.Call{
			To: to, Request: req, Conn: conn, Mine: func(*http.Response) bool { return true },
		})
	}
	first, err := call(0)
	is.NoErr(err)
	_, err = call(first.Conn) // the upstream closes it
	is.True(err != nil)
	_, err = call(first.Conn)
	is.True(errors.Is(err, oriole.ErrReconnected))
	is.True(errors.Is(err, oriole.ErrNotSent))
	next, err := call(0)
	is.NoErr(err)
	is.True(next.Conn != first.Conn)
}

func TestSendsUnchanged(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	seen := make(chan string, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		seen <- fmt.Sprintf("%s %s %s %s %q", r.Method, r.RequestURI, r.Host, body, r.Header["User-Agent"])
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Response-Signature", "s")
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	r := request("1")
	r.Target = "/a%2Fb/..//c?x=%20&y"
	a := newSender(t).Send(context.Background(), oriole.Upstream{ID: "i", Addr: netip.MustParseAddrPort(l.Addr().String())}, r)
	is.Equal(a.Outcome, oriole.OutcomeAnswered)
	is.Equal(<-seen, `POST /a%2Fb/..//c?x=%20&y h.example body []`)
}
