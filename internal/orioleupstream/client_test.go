package orioleupstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/orioleupstream"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
	"github.com/orioleswitch/orioleswitch/platform"
)

// newUpstream starts a server that responds to the n-th request of each connection
// with the raw text that respond returns. It closes the connection if the text is
// empty, or after sending it if it contains "Unframed".
func newUpstream(t *testing.T, respond func(n int, id string) string) oriole.Upstream {
	return newUpstreamByConn(t, func() func(int, string) string { return respond })
}

// newUpstreamByConn starts such a server with a respond function for each
// connection.
func newUpstreamByConn(t *testing.T, accept func() (respond func(n int, id string) string)) oriole.Upstream {
	t.Helper()
	return listenByConn(t, func() (serve func(net.Conn)) {
		respond := accept()
		return func(conn net.Conn) { serveConn(conn, respond) }
	})
}

// listen starts a server that serves each connection, and closes it afterwards.
func listen(t *testing.T, serve func(net.Conn)) oriole.Upstream {
	t.Helper()
	return listenByConn(t, func() func(net.Conn) { return serve })
}

// listenByConn starts such a server with a serve function for each connection.
func listenByConn(t *testing.T, accept func() (serve func(net.Conn))) oriole.Upstream {
	t.Helper()
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
			serve := accept()
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String()), StartedAt: time.Unix(1, 0)}
}

func serveConn(conn net.Conn, respond func(n int, id string) string) {
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
	client, cleanup := orioleupstream.New(nil)
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
	client, cleanup := orioleupstream.New(nil)
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
	for _, target := range []string{"/a%2Fb/..//c?x=%20&y", "//a/b", "//a/b?c=d", "//", `//a"b/%7e`} {
		r := request("1")
		r.Target = target
		resp := newSender(t).Send(context.Background(), oriole.Upstream{ID: "i", Addr: netip.MustParseAddrPort(l.Addr().String())}, r)
		is.Equal(resp.Outcome, oriole.OutcomeAnswered)
		is.Equal(<-received, "POST "+target+" h.example body []")
	}
}

// TestEndlessBytes checks that a call to an upstream that sends bytes without end
// fails, before its deadline if they come fast, after a bounded number of bytes,
// and that the next call gets a connection of its own.
func TestEndlessBytes(t *testing.T) {
	const chunk = "abcdefgh"
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n"
	}
	for _, test := range []struct {
		name string
		// prefix is sent first, then endless without end.
		prefix  func(id string) string
		endless string
		// limit is how many bytes may be read.
		limit int
	}{
		{"no response", func(string) string { return "" }, chunk, 1 << 20},
		{"status line", func(string) string { return "HTTP/1.1 200 " }, chunk, 1 << 20},
		{"header line", func(id string) string { return head(id) + "A: " }, chunk, 1 << 20},
		{"header lines", head, "A: b\r\n", 1 << 20},
		{"interim responses", func(string) string { return "" }, "HTTP/1.1 100 Continue\r\n\r\n", 1 << 20},
		{"chunk size", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n" }, "00000000", 1 << 20},
		{"chunk extension", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n1;" }, chunk, 1 << 20},
		{"small chunks with extensions", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n" }, "1;abcdefghijklmnopqrstuvwxyz\r\nx\r\n", 64 << 20},
		{"trailer", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: " }, chunk, 1 << 20},
		{"body", func(id string) string { return head(id) + "\r\n" }, chunk, 16 << 20},
		{"chunked body", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n" }, "8\r\n" + chunk + "\r\n", 64 << 20},
		{"after a response", okResponse, chunk, 1 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to, sent := newEndlessUpstream(t, test.prefix, test.endless)
			client, closeClient := orioleupstream.New(nil)
			sender := orioleupstream.NewSender(client, platform.Dialect{}, orioletimer.New())
			for _, id := range []string{"1", "2"} {
				r := request(id)
				r.Deadline = time.Now().Add(10 * time.Second)
				resp := sender.Send(context.Background(), to, r)
				if test.name == "after a response" {
					is.Equal(resp.Outcome, oriole.OutcomeAnswered)
					is.Equal(string(resp.Body), "hello")
					continue
				}
				is.Equal(resp.Outcome, oriole.OutcomeUnknown) // the upstream may have run it
				is.True(time.Now().Before(r.Deadline))
			}
			closeClient()
			for range 2 {
				if n := <-sent; n > test.limit+socketBuffers {
					t.Errorf("%d bytes were read, limit %d", n, test.limit)
				}
			}
		})
	}
}

// socketBuffers is the size of the kernel's buffers between upstream and gateway
// that may hold bytes which were sent and not read.
const socketBuffers = 16 << 20

// newEndlessUpstream starts a server that responds to each request with the prefix
// and then with a text that it repeats until the connection is closed. It reports
// how many bytes it sent on each connection.
func newEndlessUpstream(t *testing.T, prefix func(id string) string, endless string) (to oriole.Upstream, sent <-chan int) {
	t.Helper()
	counts := make(chan int, 16)
	to = listen(t, func(conn net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		block := strings.Repeat(endless, 512)
		// One write: bytes that come after the connection is idle again can meet the
		// next request.
		n, err := io.WriteString(conn, prefix(req.Header.Get("X-Attempt-Id"))+block)
		for err == nil {
			var m int
			m, err = io.WriteString(conn, block)
			n += m
		}
		counts <- n
	})
	return to, counts
}

// TestCallsOnNewConnections checks that a late copy of an earlier response is not
// taken for the response to a call that requires a connection of its own.
func TestCallsOnNewConnections(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	conns := make(chan struct{}, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns <- struct{}{}
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for n := 0; ; n++ {
					if _, err := http.ReadRequest(in); err != nil {
						return
					}
					if n > 0 {
						// A late copy of the first response.
						_, _ = io.WriteString(conn, okResponse("first"))
						<-release
					}
					_, _ = io.WriteString(conn, okResponse("first"))
				}
			}()
		}
	}()
	client, cleanup := orioleupstream.New(nil)
	defer cleanup()
	to := oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String()), StartedAt: time.Unix(1, 0)}
	for range 3 {
		req, err := http.NewRequest(http.MethodPost, "http://"+to.Addr.String()+"/x", nil)
		is.NoErr(err)
		_, err = client.Do(context.Background(), orioleupstream.Call{
			To: to, Request: req, NewConn: true, MatchesRequest: func(*http.Response) bool { return true },
		})
		is.NoErr(err)
	}
	close(release)
	is.Equal(len(conns), 3)
}

// TestExpiredCallLeavesNoConnection checks that a call that requires a connection
// of its own and expires before it is sent closes that connection.
func TestExpiredCallLeavesNoConnection(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client, cleanup := orioleupstream.New(nil)
	defer cleanup()
	req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/x", nil)
	is.NoErr(err)
	_, err = client.Do(context.Background(), orioleupstream.Call{
		To:      oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String())},
		Request: req, NewConn: true, StillValid: func() bool { return false },
	})
	is.True(errors.Is(err, oriole.ErrExpired))
	conn, err := l.Accept()
	is.NoErr(err)
	is.NoErr(conn.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// refusal returns a refusal of the request, or one without an ID if id is empty.
func refusal(id string) string {
	name := ""
	if id != "" {
		name = "X-Attempt-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 No\r\n" + name + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

// repeatingUpstream refuses the first arrival of each ID and runs later ones. On a
// connection that has carried a request before, its responses follow copies of the
// refusals that copies selects.
type repeatingUpstream struct {
	// copies returns the IDs whose refusals to send once more, given those that
	// were refused on the connection.
	copies func(refused []string) []string

	mu    sync.Mutex
	seen  map[string]bool
	conns int
}

func (u *repeatingUpstream) connCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns
}

func (u *repeatingUpstream) accept() func(n int, id string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns++
	var refused []string
	return func(_ int, id string) string {
		u.mu.Lock()
		defer u.mu.Unlock()
		text := ""
		for _, id := range u.copies(refused) {
			text += refusal(id)
		}
		if u.seen[id] {
			return text + okResponse(id)
		}
		u.seen[id] = true
		refused = append(refused, id)
		return text + refusal(id)
	}
}

// A late copy of a refusal must not be taken for the response to the same request
// when it is sent once more.
func TestCopyOfRefusalIsNotTakenForSecondResponse(t *testing.T) {
	is := is.New(t)
	u := &repeatingUpstream{seen: make(map[string]bool), copies: func(refused []string) []string {
		return refused[max(len(refused)-1, 0):]
	}}
	to := newUpstreamByConn(t, u.accept)
	sender := newSender(t)
	const requests = 300
	for i := range requests {
		id := fmt.Sprint(i)
		is.Equal(sender.Send(context.Background(), to, request(id)).Outcome, oriole.OutcomeNotRun)
		resp := sender.Send(context.Background(), to, request(id))
		is.Equal(resp.Outcome, oriole.OutcomeAnswered) // it has run
		is.Equal(resp.Header.Get("X-Attempt-Id"), id)
	}
	is.True(u.connCount() <= requests/10) // refusals share connections
}

// A copy of a refusal may come after many other requests on its connection.
func TestRefusedRequestIsNotSentOnItsConnectionAgain(t *testing.T) {
	is := is.New(t)
	repeat := ""
	u := &repeatingUpstream{seen: make(map[string]bool), copies: func(refused []string) []string {
		if slices.Contains(refused, repeat) {
			return []string{repeat}
		}
		return nil
	}}
	to := newUpstreamByConn(t, u.accept)
	sender := newSender(t)
	const requests = 300
	for i := range requests {
		is.Equal(sender.Send(context.Background(), to, request(fmt.Sprint(i))).Outcome, oriole.OutcomeNotRun)
	}
	for i := range requests {
		id := fmt.Sprint(i)
		u.mu.Lock()
		repeat = id
		u.mu.Unlock()
		is.Equal(sender.Send(context.Background(), to, request(id)).Outcome, oriole.OutcomeAnswered) // it has run
	}
	is.True(u.connCount() <= requests/10)
}

// On a kept connection, a response without an ID may be a late copy of one to an
// earlier request.
func TestResponseWithoutIDCountsOnFirstRequestOfConnectionOnly(t *testing.T) {
	for _, test := range []struct {
		name    string
		respond func(n int, id string) string
		want    []oriole.Outcome
	}{
		{"refusals on new connections", func(int, string) string { return refusal("") + "Unframed" }, []oriole.Outcome{oriole.OutcomeNotRun, oriole.OutcomeNotRun}},
		{"copy before the response", func(n int, id string) string {
			if n == 0 {
				return okResponse(id)
			}
			return refusal("") + okResponse(id)
		}, []oriole.Outcome{oriole.OutcomeAnswered, oriole.OutcomeUnknown, oriole.OutcomeAnswered, oriole.OutcomeUnknown}},
		{"misdirected copy before the response", func(n int, id string) string {
			if n == 0 {
				return okResponse(id)
			}
			return "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n" + okResponse(id)
		}, []oriole.Outcome{oriole.OutcomeAnswered, oriole.OutcomeUnknown, oriole.OutcomeAnswered}},
		{"after a response to another request", func(_ int, id string) string {
			return okResponse("old") + refusal("") + okResponse(id)
		}, []oriole.Outcome{oriole.OutcomeUnknown, oriole.OutcomeUnknown}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to := newUpstream(t, test.respond)
			sender := newSender(t)
			for i, want := range test.want {
				is.Equal(sender.Send(context.Background(), to, request(fmt.Sprint(i))).Outcome, want)
			}
		})
	}
}

// Nothing tells the responses to requests without an ID apart.
func TestRequestWithoutIDHasConnectionOfItsOwn(t *testing.T) {
	is := is.New(t)
	to := newUpstream(t, func(n int, id string) string {
		if n > 0 {
			return okResponse("")
		}
		if id == "" {
			return "HTTP/1.1 400 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		return okResponse(id)
	})
	sender := newSender(t)
	is.Equal(sender.Send(context.Background(), to, request("1")).Outcome, oriole.OutcomeAnswered)
	for range 2 {
		r := request("")
		r.Header = nil
		is.Equal(sender.Send(context.Background(), to, r).Outcome, oriole.OutcomeNotRun)
	}
}

// A late copy of an answer must not be taken for the next answer, and costs no
// connection.
func TestLateCopyOfAnswerIsSkipped(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	to := newUpstreamByConn(t, func() func(int, string) string {
		conns.Add(1)
		last := ""
		return func(_ int, id string) string {
			text := last + okResponse(id)
			last = okResponse(id)
			return text
		}
	})
	sender := newSender(t)
	for i := range 100 {
		id := fmt.Sprint(i)
		resp := sender.Send(context.Background(), to, request(id))
		is.Equal(resp.Outcome, oriole.OutcomeAnswered)
		is.Equal(resp.Header.Get("X-Attempt-Id"), id)
	}
	is.Equal(conns.Load(), int64(1))
}

// A caller must not wait past its deadline for a response that comes slowly and
// without end, and the upstream must see the connection close.
func TestSlowEndlessBytesEndAtDeadline(t *testing.T) {
	for _, prefix := range []string{"", "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n", "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Response-Signature: s\r\n\r\n"} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			for _, err = io.WriteString(conn, prefix); err == nil; _, err = io.WriteString(conn, "a") {
				time.Sleep(time.Millisecond)
			}
		}()
		r := request("1")
		r.Deadline = time.Now().Add(100 * time.Millisecond)
		resp := newSender(t).Send(context.Background(), oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String())}, r)
		is.Equal(resp.Outcome, oriole.OutcomeUnknown)
		is.Equal(resp.Reason, oriole.ReasonDeadline)
		<-closed
	}
}

// A request that was written in part must not be reported as not run.
func TestPartlyWrittenRequestIsUnknown(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 1000))
			_ = conn.Close() // a reset, since data is unread
		}
	}()
	r := request("1")
	for _, size := range []int{2000, 8 << 20} {
		r.Body = make([]byte, size)
		resp := newSender(t).Send(context.Background(), oriole.Upstream{ID: "i-1", Addr: netip.MustParseAddrPort(l.Addr().String())}, r)
		is.Equal(resp.Outcome, oriole.OutcomeUnknown)
	}
}

// A request that is cancelled after it was sent must not be reported as not run.
func TestCancelledRequestIsUnknownOnceSent(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	to := newUpstream(t, func(n int, id string) string {
		if id == "1" {
			return okResponse(id)
		}
		cancel()
		return "HTTP/1.1 100 Continue\r\n\r\n"
	})
	sender := newSender(t)
	is.Equal(sender.Send(ctx, to, request("1")).Outcome, oriole.OutcomeAnswered)
	resp := sender.Send(ctx, to, request("2")) // on the kept connection
	is.Equal(resp.Outcome, oriole.OutcomeUnknown)
	is.Equal(resp.Reason, oriole.ReasonCancelled)
}

// TestEndlessBodiesShareMemory guards against running out of memory because several
// upstreams send bodies without end at once, and against refusing the responses of
// others meanwhile.
func TestEndlessBodiesShareMemory(t *testing.T) {
	const (
		size     = 24 << 20
		faulty   = 6
		calls    = 4
		sent     = 3 << 20
		maxTotal = size + (faulty*calls+1)*64<<10
	)
	is := is.New(t)
	memory := oriolememory.NewPool(size, orioleupstream.MaxBodyBytes)
	client, closeClient := orioleupstream.New(memory)
	defer closeClient()
	sender := orioleupstream.NewSender(client, platform.Dialect{}, orioletimer.New())
	ctx, cancel := context.WithCancel(context.Background())
	responses := make(chan oriole.Response, faulty*calls)
	for i := range faulty {
		to := newStallingUpstream(t, sent)
		to.ID = oriole.ServerID(fmt.Sprint("i-", i))
		for n := range calls {
			r := request(fmt.Sprint(i, "-", n))
			r.Deadline = time.Now().Add(time.Minute)
			go func() { responses <- sender.Send(ctx, to, r) }()
		}
	}
	refused := 0
	for refused < faulty*calls-size/sent {
		is.Equal((<-responses).Reason, oriole.ReasonBadResponse)
		refused++
		is.True(memory.Usage().Used <= maxTotal)
	}
	sound := newUpstream(t, func(_ int, id string) string { return okResponse(id) })
	is.Equal(sender.Send(ctx, sound, request("sound")).Outcome, oriole.OutcomeAnswered)
	cancel()
	for range faulty*calls - refused {
		is.Equal((<-responses).Outcome, oriole.OutcomeUnknown)
	}
	is.Equal(memory.Usage().Used, int64(0))
}

// newStallingUpstream starts an upstream that sends a part of a body of n bytes, and then
// waits until its caller closes the connection.
func newStallingUpstream(t *testing.T, n int) oriole.Upstream {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		in := bufio.NewReader(conn)
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + req.Header.Get("X-Attempt-Id") + "\r\nX-Response-Signature: s\r\n\r\n"
		_, _ = io.WriteString(conn, head+strings.Repeat("a", n))
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = in.ReadByte()
	})
}
