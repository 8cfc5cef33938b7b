package orioleingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/platform"
)

// recordingDispatcher answers every request with "ok" and records it.
type recordingDispatcher struct {
	mu       sync.Mutex
	requests []oriole.Request
}

func (d *recordingDispatcher) Do(_ context.Context, r oriole.Request, reply func(oriole.Response)) {
	d.mu.Lock()
	d.requests = append(d.requests, r)
	d.mu.Unlock()
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK, Body: []byte("ok")})
}

func (d *recordingDispatcher) received() (received []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.requests {
		received = append(received, r.Method+" "+r.Target+" "+string(r.Body))
	}
	return received
}

// listen serves a handler, and returns its address and the dispatcher that
// records the requests.
func listen(t testing.TB) (addr string, dispatcher *recordingDispatcher) {
	t.Helper()
	addr, dispatcher, _ = listenWithTimeout(t, time.Second)
	return addr, dispatcher
}

// listenWithTimeout is like listen, with the timeout of the route, and also returns
// the forwarder.
func listenWithTimeout(t testing.TB, timeout time.Duration) (addr string, dispatcher *recordingDispatcher, forwarder *Forwarder) {
	t.Helper()
	dispatcher = &recordingDispatcher{}
	forwarder = newForwarder(dispatcher)
	cfg := forwarder.cfg.State.Snapshot().Config
	cfg.Limits = oriole.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 64}
	cfg.Version = 1
	cfg.Routes = []oriole.Route{{Name: "r", Host: "h", Prefix: "/a/", Timeout: timeout, Shares: []oriole.Share{{Service: "s", Weight: 1}}}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer("test", listener, NewHandler(forwarder, platform.Dialect{}), nil)
	server.EnablePipelining(forwarder.cfg.Metrics)
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return listener.Addr().String(), dispatcher, forwarder
}

// exchange sends the text, reads the expected number of responses, closes its
// sending side, and returns the statuses of all responses.
func exchange(t testing.TB, addr, text string, expected int) (statuses []int) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return nil
	}
	in := bufio.NewReader(conn)
	for {
		if tcp, ok := conn.(*net.TCPConn); ok && len(statuses) == expected {
			// The server cancels pending requests when the caller closes its
			// side, so close it only after the last response.
			_ = tcp.CloseWrite()
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		statuses = append(statuses, resp.StatusCode)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return statuses
		}
	}
}

// headOfSize returns a header section of n bytes with short fields and no optional white
// space.
func headOfSize(n int) string {
	head := "GET /a/1 HTTP/1.1\r\nHost:h\r\n"
	for len(head) < n-len("a:\r\n\r\n")-10 {
		head += "a:v\r\n"
	}
	return head + "a:" + strings.Repeat("v", n-len(head)-len("a:\r\n\r\n")) + "\r\n\r\n"
}

const post = "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\n"

// Request smuggling: malformed or ambiguous framing must not let the body of one
// request pass as another request. Upstreams must only get complete requests with
// their own bodies.
func TestRequestsAreNotSmuggled(t *testing.T) {
	inner := "GET /a/inner HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, test := range []struct {
		name, text string
		statuses   []int
		received   []string
	}{
		{"whole", post + "Content-Length: 3\r\n\r\nhay", []int{200}, []string{"POST /a/1 hay"}},
		{"chunks", post + "Transfer-Encoding: chunked\r\n\r\n2\r\nha\r\n1\r\ny\r\n0\r\n\r\n", []int{200}, []string{"POST /a/1 hay"}},
		{"pipelined", post + "Content-Length: 3\r\n\r\nhay" + post + "Content-Length: 4\r\n\r\noats", []int{200, 200}, []string{"POST /a/1 hay", "POST /a/1 oats"}},
		{"two lengths", post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nhay" + inner, []int{400}, nil},
		{"a list of lengths", post + "Content-Length: 3, 4\r\n\r\nhay" + inner, []int{400}, nil},
		{"a length with a sign", post + "Content-Length: +3\r\n\r\nhay" + inner, []int{400}, nil},
		{"length and chunks", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", []int{200}, []string{"POST /a/1 "}},
		{"an unknown encoding", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + inner, []int{501}, nil},
		{"two encodings", post + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + inner, []int{501}, nil},
		{"an odd chunk size", post + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nhay\r\n0\r\n\r\n" + inner, nil, nil},
		{"a chunk size that overflows", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff1\r\nhay\r\n0\r\n\r\n", nil, nil},
		{"a chunk without a terminator", post + "Transfer-Encoding: chunked\r\n\r\n3\r\nhayX" + inner, nil, nil},
		{"white space before a colon", "POST /a/1 HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nhay" + inner, []int{400}, nil},
		{"a folded field", "POST /a/1 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n Content-Length: 3\r\n\r\n", []int{200}, []string{"POST /a/1 "}},
		{"two hosts", "GET /a/1 HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n", []int{400}, nil},
		{"no host", "GET /a/1 HTTP/1.1\r\n\r\n", []int{400}, nil},
		{"half a header", "POST /a/1 HTTP/1.1\r\nHost: h\r\nContent-Le", []int{400}, nil},
		{"half a body", post + "Content-Length: 30\r\n\r\nhay", nil, nil},
		{"a body too long", post + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), []int{413}, nil},
		{"chunks too long", post + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n\r\n", []int{413}, nil},
		{"a header too long", "GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 1024) + "\r\n\r\n", []int{431}, nil},
		{"short fields up to the limit", headOfSize(1024), []int{200}, []string{"GET /a/1 "}},
		{"short fields beyond the limit", headOfSize(1025), []int{431}, nil},
		{"a deadline that is not a number", "GET /a/1 HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: soon\r\n\r\n", []int{400}, nil},
		{"an idempotency key too long", "GET /a/1 HTTP/1.1\r\nHost: h\r\nIdempotency-Key: " + strings.Repeat("k", 257) + "\r\n\r\n", []int{400}, nil},
		{"no route", "GET /b/1 HTTP/1.1\r\nHost: h\r\n\r\n", []int{404}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			addr, dispatcher := listen(t)
			expected := len(test.statuses)
			if strings.HasPrefix(test.name, "half") {
				// The server waits for the rest of the request.
				expected = 0
			}
			is.Equal(exchange(t, addr, test.text, expected), test.statuses)
			is.Equal(dispatcher.received(), test.received)
		})
	}
}

// FuzzConnection checks that requests which reach an upstream match a route and
// are within the limits, whatever bytes a connection carries.
func FuzzConnection(f *testing.F) {
	f.Add(post + "Content-Length: 3\r\n\r\nhay")
	f.Add(post + "Transfer-Encoding: chunked\r\n\r\n3\r\nhay\r\n0\r\n\r\n")
	f.Add("GET /a/1 HTTP/1.0\r\nHost: h\r\n\r\nGET /a/2 HTTP/1.1\n\n")
	addr, dispatcher := listen(f)
	f.Fuzz(func(t *testing.T, text string) {
		exchange(t, addr, text, 0)
		dispatcher.mu.Lock()
		defer dispatcher.mu.Unlock()
		for _, r := range dispatcher.requests {
			if !strings.HasPrefix(strings.SplitN(r.Target, "?", 2)[0], "/a/") && !strings.Contains(r.Target, "/a/") || len(r.Body) > 64 {
				t.Errorf("%s %s with a body of %d bytes reached the dispatcher", r.Method, r.Target, len(r.Body))
			}
		}
		dispatcher.requests = nil
	})
}
