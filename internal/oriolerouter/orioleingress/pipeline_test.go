package orioleingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/platform"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// pipelineTimeout ends a test that hangs.
const pipelineTimeout = 30 * time.Second

// pipelineServer is a server of a test.
type pipelineServer struct {
	*Server
	addr    string
	metrics *orioletelemetry.Metrics
	stopped chan error
}

// servePipeline serves the handler, with or without pipelining.
func servePipeline(t testing.TB, handler http.Handler, enabled bool, idleTimeout func() time.Duration) *pipelineServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return servePipelineOn(t, listener, handler, enabled, idleTimeout)
}

// servePipelineOn is servePipeline with a listener.
func servePipelineOn(t testing.TB, listener net.Listener, handler http.Handler, enabled bool, idleTimeout func() time.Duration) *pipelineServer {
	t.Helper()
	s := &pipelineServer{NewServer("test", listener, handler, idleTimeout), listener.Addr().String(), orioletelemetry.NewMetrics(), make(chan error, 1)}
	if enabled {
		s.EnablePipelining(s.metrics)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() { s.stopped <- s.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-s.stopped
		if enabled {
			eventually(t, "bytes of closed connections are released", func() bool { return s.listener.pipelining.held.Load() == 0 })
		}
	})
	return s
}

// eventually waits until the condition holds.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(pipelineTimeout); !condition(); {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// pipelineClient is a caller that sends requests without waiting for responses.
type pipelineClient struct {
	net.Conn
	in *bufio.Reader
}

func dialPipeline(t testing.TB, addr string) *pipelineClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(pipelineTimeout)); err != nil {
		t.Fatal(err)
	}
	return &pipelineClient{conn, bufio.NewReader(conn)}
}

func (c *pipelineClient) send(t testing.TB, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// receive reads one response to a request that isn't HEAD.
func (c *pipelineClient) receive() (resp *http.Response, body string, err error) {
	resp, err = http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// expect reads one response and checks its body.
func (c *pipelineClient) expect(t testing.TB, want string) {
	t.Helper()
	_, body, err := c.receive()
	if err != nil {
		t.Fatalf("%v instead of the response %.40q", err, want)
	}
	if body != want {
		t.Fatalf("response %.40q of %d bytes instead of %.40q of %d", body, len(body), want, len(want))
	}
}

// ended reports whether the connection ends without another byte.
func (c *pipelineClient) ended() bool {
	n, err := io.Copy(io.Discard, c.in)
	timeout, ok := err.(net.Error)
	return n == 0 && !(ok && timeout.Timeout())
}

func getText(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// gates blocks handlers until the test lets them go on, by path.
type gates struct {
	mu      sync.Mutex
	gates   map[string]chan struct{}
	started []string
	ended   int
}

func newGates() *gates { return &gates{gates: make(map[string]chan struct{})} }

func (g *gates) gate(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gates[path] == nil {
		g.gates[path] = make(chan struct{})
	}
	return g.gates[path]
}

func (g *gates) startedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.started)
}

func (g *gates) hasStarted(path string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Contains(g.started, path)
}

// ServeHTTP answers with the path once its gate is open, or ends if the caller leaves.
func (g *gates) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	g.started = append(g.started, r.URL.Path)
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.ended++
		g.mu.Unlock()
	}()
	select {
	case <-g.gate(r.URL.Path):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if strings.HasPrefix(r.URL.Path, "/close") {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, r.URL.Path)
}

// TestRequestSentAheadRunsWhileTheFirstRuns guards against requests that wait for the
// response to the one before, and guards the order of responses.
func TestRequestSentAheadRunsWhileTheFirstRuns(t *testing.T) {
	for _, test := range []struct {
		name   string
		pieces []string
	}{
		{"at once", []string{getText("/1") + getText("/2") + getText("/3")}},
		{"one by one", []string{getText("/1"), getText("/2"), getText("/3")}},
		{"cut within heads", []string{getText("/1") + "GE", "T /2 HTTP/1.1\r\nHost: h\r\n\r", "\n" + getText("/3")}},
		{"bytes", strings.Split(getText("/1")+getText("/2")+getText("/3"), "")},
	} {
		t.Run(test.name, func(t *testing.T) {
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			client := dialPipeline(t, server.addr)
			for _, piece := range test.pieces {
				client.send(t, piece)
			}
			eventually(t, "all requests run", func() bool { return handler.startedCount() == 3 })
			close(handler.gate("/3"))
			close(handler.gate("/2"))
			close(handler.gate("/1"))
			for _, path := range []string{"/1", "/2", "/3"} {
				client.expect(t, path)
			}
			client.send(t, getText("/1"))
			client.expect(t, "/1")
		})
	}
}

// TestNumberSentAhead guards against more requests of a connection running than the bound,
// and against losing those beyond it.
func TestNumberSentAhead(t *testing.T) {
	for _, test := range []struct {
		sent, running int
		paused        int64
	}{{1 + 16, 17, 0}, {1 + 40, 17, 1}} {
		t.Run(strconv.Itoa(test.sent), func(t *testing.T) {
			is := is.New(t)
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			client := dialPipeline(t, server.addr)
			text := ""
			for i := range test.sent {
				text += getText("/" + strconv.Itoa(i))
			}
			client.send(t, text)
			eventually(t, "requests run", func() bool { return handler.startedCount() == test.running })
			eventually(t, "a pause", func() bool { return server.metrics.Value(metricPausedNumber) == test.paused })
			is.Equal(server.metrics.Value(metricAhead), int64(maxAhead))
			is.Equal(handler.startedCount(), test.running)
			for i := range test.sent {
				close(handler.gate("/" + strconv.Itoa(i)))
			}
			for i := range test.sent {
				client.expect(t, "/"+strconv.Itoa(i))
			}
		})
	}
}

// TestNothingBehindAClosingResponse guards against answering a request behind a response
// that closes the connection, and against one behind it that goes on running.
func TestNothingBehindAClosingResponse(t *testing.T) {
	for _, closing := range []int{0, 1, 3} {
		t.Run(strconv.Itoa(closing), func(t *testing.T) {
			is := is.New(t)
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			client := dialPipeline(t, server.addr)
			const requests = 6
			paths, text := []string{}, ""
			for i := range requests {
				path := "/" + strconv.Itoa(i)
				if i == closing {
					path = "/close"
				}
				paths, text = append(paths, path), text+getText(path)
			}
			client.send(t, text)
			eventually(t, "all requests run", func() bool { return handler.startedCount() == requests })
			// The last one is ready before, and the one before it never.
			close(handler.gate(paths[requests-1]))
			eventually(t, "the last one is ready", func() bool {
				handler.mu.Lock()
				defer handler.mu.Unlock()
				return handler.ended == 1
			})
			for _, path := range paths[:closing+1] {
				close(handler.gate(path))
			}
			for _, path := range paths[:closing+1] {
				client.expect(t, path)
			}
			is.True(client.ended())
			eventually(t, "all requests have ended", func() bool {
				handler.mu.Lock()
				defer handler.mu.Unlock()
				return handler.ended == requests
			})
		})
	}
}

// TestClosingResponseIsNotReset guards against losing a closing response because requests
// behind it were not read.
func TestClosingResponseIsNotReset(t *testing.T) {
	for _, test := range []struct {
		name, first string
		size        int64
		running     int
	}{
		{"first", "", maxAheadBytes, 2},
		{"second", getText("/0"), maxAheadBytes, 2},
		{"first, no room ahead", "", 0, 1},
		{"second, no room ahead", getText("/0"), 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			server.listener.pipelining.size = test.size
			server.listener.pipelining.linger = pipelineTimeout
			client := dialPipeline(t, server.addr)
			client.send(t, test.first+getText("/close")+strings.Repeat(getText("/more"), 1000))
			eventually(t, "requests run", func() bool { return handler.startedCount() >= test.running })
			close(handler.gate("/0"))
			close(handler.gate("/close"))
			if test.first != "" {
				client.expect(t, "/0")
			}
			client.expect(t, "/close")
			rest, err := io.ReadAll(client.in)
			is.NoErr(err)
			is.Equal(len(rest), 0)
			_ = client.Close()
		})
	}
}

// TestCallerThatLeaves guards against requests that run on for a caller who is gone.
func TestCallerThatLeaves(t *testing.T) {
	for _, test := range []struct{ sent, answered, running int }{{5, 0, 5}, {5, 1, 5}, {41, 0, 17}, {41, 1, 17}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			client := dialPipeline(t, server.addr)
			for i := range test.sent {
				client.send(t, getText("/"+strconv.Itoa(i)))
			}
			eventually(t, "requests run", func() bool { return handler.startedCount() == test.running })
			for i := range test.answered {
				close(handler.gate("/" + strconv.Itoa(i)))
				client.expect(t, "/"+strconv.Itoa(i))
			}
			_ = client.Close()
			eventually(t, "the connection is closed", func() bool { return server.listener.connCount() == 0 })
			eventually(t, "all requests have ended", func() bool {
				handler.mu.Lock()
				defer handler.mu.Unlock()
				return handler.ended == len(handler.started)
			})
		})
	}
}

// TestCallerThatNeverReads guards against holding responses without bound.
func TestCallerThatNeverReads(t *testing.T) {
	is := is.New(t)
	const requests, size = 4000, 30 << 10
	body := strings.Repeat("x", size)
	var mu sync.Mutex
	started := 0
	server := servePipeline(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		started++
		mu.Unlock()
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = io.WriteString(w, body)
	}), true, nil)
	client := dialPipeline(t, server.addr)
	go func() { _, _ = io.WriteString(client, strings.Repeat(getText("/"), requests)) }()
	eventually(t, "the connection is paused", func() bool {
		return server.metrics.Value(metricPausedNumber)+server.metrics.Value(metricPausedBytes) > 0
	})
	received := 0
	for range requests {
		is.True(server.listener.pipelining.held.Load() <= (maxAhead+1)*(aheadReserve+maxAheadHead)+maxAheadHead)
		mu.Lock()
		ahead := started - received
		mu.Unlock()
		// Besides, the buffers of the sockets hold responses.
		is.True(ahead < requests)
		client.expect(t, body)
		received++
	}
}

// TestSharedBound guards against holding more for all connections together than the bound,
// and against requests that are lost beyond it.
func TestSharedBound(t *testing.T) {
	head := int64(len(getText("/1")))
	for _, size := range []int64{0, minAheadBuffer, minAheadBuffer + 2*(aheadReserve+head)} {
		t.Run(strconv.FormatInt(size, 10), func(t *testing.T) {
			is := is.New(t)
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			server.listener.pipelining.size = size
			client := dialPipeline(t, server.addr)
			const requests = 8
			for i := range requests {
				client.send(t, getText("/"+strconv.Itoa(i)))
			}
			eventually(t, "a pause", func() bool { return server.metrics.Value(metricPausedBytes) > 0 })
			is.True(server.listener.pipelining.held.Load() <= size)
			is.Equal(server.metrics.Value(metricAhead), max(size-minAheadBuffer, 0)/(aheadReserve+head))
			for i := range requests {
				close(handler.gate("/" + strconv.Itoa(i)))
				client.expect(t, "/"+strconv.Itoa(i))
			}
		})
	}
}

// TestLargeResponsesWaitForTheirTurn guards against losing or keeping responses that exceed
// the bounds.
func TestLargeResponsesWaitForTheirTurn(t *testing.T) {
	const size = maxConnAheadBytes + 1
	gate := make(chan struct{})
	server := servePipeline(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-gate
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write([]byte(strings.Repeat(r.URL.Path[1:], size)))
	}), true, nil)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/0")+getText("/1")+getText("/2"))
	eventually(t, "both wait", func() bool { return server.listener.pipelining.held.Load() >= 2*size })
	close(gate)
	for i := range 3 {
		client.expect(t, strings.Repeat(strconv.Itoa(i), size))
	}
	client.send(t, getText("/3"))
	client.expect(t, strings.Repeat("3", size))
}

// TestSerialConnectionIsServedAsBefore guards against costs for connections on which
// nothing is sent ahead.
func TestSerialConnectionIsServedAsBefore(t *testing.T) {
	is := is.New(t)
	handler := newGates()
	close(handler.gate("/1"))
	server := servePipeline(t, handler, true, nil)
	client := dialPipeline(t, server.addr)
	for range 20 {
		client.send(t, getText("/1"))
		client.expect(t, "/1")
		client.send(t, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nhay")
		client.expect(t, "/1")
	}
	is.Equal(server.listener.pipelining.held.Load(), int64(0))
	is.Equal(server.metrics.Value(metricAhead), int64(0))
	client.send(t, getText("/1")+getText("/2"))
	client.expect(t, "/1")
	eventually(t, "the boundary is known after bodies", func() bool { return handler.hasStarted("/2") })
}

// TestHeaderTimeoutOfRequestSentAhead guards against a head without end that keeps a
// connection open: net/http must get it, and limit the time for the rest.
func TestHeaderTimeoutOfRequestSentAhead(t *testing.T) {
	is := is.New(t)
	handler := newGates()
	server := servePipeline(t, handler, true, nil)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/1")+getText("/2")+"GET /3 HTTP/1.1\r\n")
	eventually(t, "two requests run", func() bool { return handler.startedCount() == 2 })
	close(handler.gate("/1"))
	close(handler.gate("/2"))
	client.expect(t, "/1")
	client.expect(t, "/2")
	conn := server.soleConn(t)
	eventually(t, "the header timeout runs", func() bool {
		conn.deadlineMu.Lock()
		defer conn.deadlineMu.Unlock()
		return conn.deadline.After(time.Now())
	})
	is.Equal(server.listener.pipelining.held.Load(), int64(0))
	is.NoErr(conn.SetReadDeadline(time.Unix(1, 0))) // the timeout
	is.True(client.ended())
}

// soleConn returns the only connection.
func (s *pipelineServer) soleConn(t testing.TB) *pipelinedConn {
	t.Helper()
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for c := range s.listener.conns {
		return c.ahead
	}
	t.Fatal("no connection")
	return nil
}

// TestIdleTimeoutWithRequestsAhead guards against closing a connection as idle while
// requests that were sent ahead run, and against not closing it afterwards.
func TestIdleTimeoutWithRequestsAhead(t *testing.T) {
	is := is.New(t)
	const idle = minIdleBeforeClose + 10*time.Millisecond
	handler := newGates()
	var timeout atomic.Int64
	server := servePipeline(t, handler, true, func() time.Duration { return time.Duration(timeout.Load()) })
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/1")+getText("/2"))
	eventually(t, "two requests run", func() bool { return handler.startedCount() == 2 })
	timeout.Store(int64(idle))
	close(handler.gate("/1"))
	client.expect(t, "/1")
	time.Sleep(2 * idle)
	server.listener.closeIdle()
	close(handler.gate("/2"))
	client.expect(t, "/2")
	is.True(client.ended())
}

// TestStopUnderLoad guards against a planned stop that loses requests which were read, other
// than those behind a closing response.
func TestStopUnderLoad(t *testing.T) {
	const clients, requests = 8, 12
	for round := range 5 {
		t.Run(strconv.Itoa(round), func(t *testing.T) {
			is := is.New(t)
			handler := newGates()
			server := servePipeline(t, handler, true, nil)
			conns := make([]*pipelineClient, clients)
			for i := range conns {
				conns[i] = dialPipeline(t, server.addr)
				text := ""
				for j := range requests {
					text += getText(fmt.Sprintf("/%d/%d", i, j))
				}
				conns[i].send(t, text)
			}
			// A connection that the kernel has but the server has not is reset.
			eventually(t, "connections are accepted", func() bool { return server.listener.connCount() == clients })
			eventually(t, "requests run", func() bool { return handler.startedCount() >= clients*round })
			server.DisableKeepAlives()
			finished := make(chan error, 1)
			timers := manualTimers{make(chan time.Time)}
			go func() { finished <- server.Shutdown(context.Background(), timers) }()
			timers.ticks <- time.Now()
			for i := range clients {
				for j := range requests {
					close(handler.gate(fmt.Sprintf("/%d/%d", i, j)))
				}
			}
			for i, client := range conns {
				for j := 0; ; j++ {
					resp, body, err := client.receive()
					is.NoErr(err)
					is.Equal(body, fmt.Sprintf("/%d/%d", i, j))
					if resp.Close {
						is.True(client.ended())
						break
					}
					if j == requests-1 {
						break // closed as idle
					}
				}
			}
			for ended := false; !ended; {
				select {
				case timers.ticks <- time.Now():
				case err := <-finished:
					is.NoErr(err)
					ended = true
				}
			}
		})
	}
}

// TestServerCloseWithRequestsAhead guards against a server that can't be closed while
// callers don't read.
func TestServerCloseWithRequestsAhead(t *testing.T) {
	body := []byte(strings.Repeat("x", 8<<20))
	server := servePipeline(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(body)
	}), true, nil)
	client := dialPipeline(t, server.addr)
	client.send(t, strings.Repeat(getText("/"), 20))
	eventually(t, "requests are sent ahead", func() bool { return server.metrics.Value(metricAhead) > 0 })
	// The clean-up closes the server.
}

// orderedDispatcher answers requests when their gates are open, and records the order of
// starts and ends.
type orderedDispatcher struct {
	*gates
	events []string
}

func (d *orderedDispatcher) record(event string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.events = append(d.events, event)
}

func (d *orderedDispatcher) recorded() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.events)
}

func (d *orderedDispatcher) Do(ctx context.Context, r oriole.Request, reply func(oriole.Response)) {
	d.record("start " + r.Target)
	go func() {
		select {
		case <-d.gate(r.Target):
			d.record("end " + r.Target)
			resp := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK, Body: []byte(r.Target)}
			if strings.HasSuffix(r.Target, "bad") {
				resp = oriole.NotRunResponse(oriole.ReasonDraining)
			}
			reply(resp)
		case <-ctx.Done():
			d.record("cancel " + r.Target)
		}
	}()
}

// gatewayForPipelining serves a handler with a route of each kind.
func gatewayForPipelining(t *testing.T) (server *pipelineServer, dispatcher *orderedDispatcher) {
	t.Helper()
	dispatcher = &orderedDispatcher{gates: newGates()}
	forwarder := newForwarder(dispatcher)
	cfg := forwarder.cfg.State.Snapshot().Config
	cfg.Limits, cfg.Version = oriole.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 64}, 1
	shares := []oriole.Share{{Service: "s", Weight: 1}}
	cfg.Routes = []oriole.Route{
		{Name: "again", Host: "h", Prefix: "/again/", Timeout: time.Minute, Idempotent: true, Shares: shares},
		{Name: "once", Host: "h", Prefix: "/once/", Timeout: time.Minute, Shares: shares},
		{Name: "large", Host: "h", Prefix: "/large/", Timeout: time.Minute, Idempotent: true, LargeBodies: true, Shares: shares},
	}
	handler := NewHandler(forwarder, platform.Dialect{})
	return servePipeline(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/bad") {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	}), true, nil), dispatcher
}

// TestSecondRequestReachesAnUpstream guards against a request that may be repeated reaching
// no upstream until the one before it is answered.
func TestSecondRequestReachesAnUpstream(t *testing.T) {
	server, dispatcher := gatewayForPipelining(t)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/again/1")+getText("/again/2"))
	eventually(t, "the second reaches an upstream", func() bool { return slices.Contains(dispatcher.recorded(), "start /again/2") })
	for _, path := range []string{"/again/2", "/again/1"} {
		close(dispatcher.gate(path))
	}
	client.expect(t, "/again/1")
	client.expect(t, "/again/2")
}

// TestRouteDecidesWhatRunsAhead guards against a request that may not be repeated, or whose
// response is large, reaching an upstream before all requests before it are answered.
func TestRouteDecidesWhatRunsAhead(t *testing.T) {
	for _, kind := range []string{"once", "large"} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			server, dispatcher := gatewayForPipelining(t)
			client := dialPipeline(t, server.addr)
			paths := []string{"/again/1", "/" + kind + "/2", "/again/3", "/" + kind + "/4"}
			for _, path := range paths {
				client.send(t, getText(path))
			}
			eventually(t, "all requests were sent ahead", func() bool { return server.metrics.Value(metricAhead) == 3 })
			eventually(t, "the third runs", func() bool { return slices.Contains(dispatcher.recorded(), "start /again/3") })
			for _, path := range []string{"/again/3", "/again/1", "/" + kind + "/4", "/" + kind + "/2"} {
				close(dispatcher.gate(path))
			}
			for _, path := range paths {
				client.expect(t, path)
			}
			events := dispatcher.recorded()
			for _, later := range []string{paths[1], paths[3]} {
				start := slices.Index(events, "start "+later)
				for _, earlier := range paths[:slices.Index(paths, later)] {
					is.True(slices.Index(events, "end "+earlier) < start)
				}
			}
		})
	}
}

// TestDeadlineCountsWhileWaitingForTurn guards against a request that waits for its turn and
// then gives the upstream more time than its caller has left.
func TestDeadlineCountsWhileWaitingForTurn(t *testing.T) {
	is := is.New(t)
	forwarder := newForwarder(&recordingDispatcher{})
	cfg := forwarder.cfg.State.Snapshot().Config
	cfg.Version, cfg.Limits = 1, oriole.Limits{MaxHeaderBytes: 1024, MaxBodyBytes: 64}
	cfg.Routes = []oriole.Route{{Name: "once", Host: "h", Prefix: "/a/", Timeout: time.Minute, Shares: []oriole.Share{{Service: "s", Weight: 1}}}}
	a := &aheadRequest{turn: make(chan struct{})}
	r := httptest.NewRequest(http.MethodGet, "/a/x", nil)
	r.Host = "h"
	r.Header = standin.CallerHeader("id-1", 7, time.Second)
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, a))
	time.AfterFunc(10*time.Millisecond, func() { close(a.turn) })
	read := forwarder.cfg.Clock.Now().Add(-300 * time.Millisecond)
	request, _, rejected, err := NewHandler(forwarder, platform.Dialect{}).parse(httptest.NewRecorder(), r, read)
	is.NoErr(err)
	is.True(rejected == nil)
	is.Equal(request.Deadline, read.Add(time.Second-responseMargin))
}

// TestOnceBehindAClosingResponse guards against a request that may not be repeated reaching
// an upstream behind a response that closes the connection.
func TestOnceBehindAClosingResponse(t *testing.T) {
	is := is.New(t)
	server, dispatcher := gatewayForPipelining(t)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/again/1")+getText("/again/bad")+getText("/once/3")+getText("/again/4"))
	eventually(t, "the last one runs", func() bool { return slices.Contains(dispatcher.recorded(), "start /again/4") })
	close(dispatcher.gate("/again/1"))
	close(dispatcher.gate("/again/bad"))
	client.expect(t, "/again/1")
	resp, _, err := client.receive()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(client.ended())
	eventually(t, "the last one is cancelled", func() bool { return slices.Contains(dispatcher.recorded(), "cancel /again/4") })
	eventually(t, "the connection is closed", func() bool { return server.active.Load() == 0 })
	is.True(!slices.Contains(dispatcher.recorded(), "start /once/3"))
}

// echo answers with what it received.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if strings.Contains(r.RequestURI, "close") {
		w.Header().Set("Connection", "close")
	}
	size := 0
	if _, digits, found := strings.Cut(r.RequestURI, "size="); found {
		size, _ = strconv.Atoi(digits)
	}
	w.Header().Set("Date", "none")
	_, _ = fmt.Fprintf(w, "%s %s %q %s", r.Method, r.RequestURI, body, strings.Repeat("x", min(max(size, 0), 32<<10)))
}

// drainingListener accepts connections that are closed without a reset: a caller that
// still sends would lose the last response, also without pipelining.
type drainingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l drainingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return drainingConn{conn.(*net.TCPConn)}, nil
}

type drainingConn struct{ *net.TCPConn }

// Close implements net.Conn. It waits for the caller to close its side.
func (c drainingConn) Close() error {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(pipelineTimeout))
	_, _ = io.Copy(io.Discard, c.TCPConn)
	return c.TCPConn.Close()
}

// serveEcho serves echo on a drainingListener.
func serveEcho(t testing.TB, enabled bool) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return servePipelineOn(t, drainingListener{listener}, http.HandlerFunc(echo), enabled, nil).addr
}

// answers sends the pieces, closes the sending side, and returns all that the server sends.
func answers(t testing.TB, addr string, pieces ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(pipelineTimeout)); err != nil {
		t.Fatal(err)
	}
	go func() {
		for _, piece := range pieces {
			if _, err := io.WriteString(conn, piece); err != nil {
				return // the server has closed the connection
			}
		}
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	data, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestSameAsSerial guards against responses that are lost, doubled, mixed up or out of
// order, for any mix of requests and any pieces in which they arrive.
func TestSameAsSerial(t *testing.T) {
	serial, pipelined := serveEcho(t, false), serveEcho(t, true)
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		for i := range rapid.IntRange(1, 40).Draw(t, "requests") {
			path := fmt.Sprintf("/%d?size=%d", i, rapid.IntRange(5<<10, 30<<10).Draw(t, "size"))
			switch rapid.IntRange(0, 12).Draw(t, "kind") {
			case 0:
				fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nGET /", path)
			case 1:
				fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhay\r\n0\r\n\r\n", path)
			case 2:
				fmt.Fprintf(&text, "HEAD %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
			case 3:
				fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", path)
			default:
				text.WriteString(getText(path))
			}
		}
		if rapid.Bool().Draw(t, "closes") {
			text.WriteString(getText("/close") + getText("/after"))
		}
		rest, pieces := text.String(), []string(nil)
		for len(rest) > 0 {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		tb := propertyTB{t: t}
		if got, want := answers(tb, pipelined, pieces...), answers(tb, serial, pieces...); got != want {
			t.Fatalf("%d bytes instead of %d", len(got), len(want))
		}
	})
}

// propertyTB lets a property use helpers of tests.
type propertyTB struct {
	testing.TB
	t *rapid.T
}

func (propertyTB) Helper() {}

func (p propertyTB) Fatal(args ...any) { p.t.Fatal(args...) }

// FuzzSameAsSerial checks that a stream of bytes is answered in the same way as when its
// requests are served one after the other, whatever it holds and however it is cut.
func FuzzSameAsSerial(f *testing.F) {
	for _, text := range []string{
		getText("/1") + getText("/2") + getText("/3"),
		getText("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nhay" + getText("/3") + getText("/4"),
		getText("/1") + "POST /2 HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX: 1\r\n Content-Length: 3\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\nHost: h\n\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nhay" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.0\r\nHost: h\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\n\r\n" + getText("/3"),
		getText("/1") + getText("/2") + getText("/close") + getText("/4") + getText("/5"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nExpect: x\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 /3 HTTP/1.1\r\nHost: h\r\n\r\n" + getText("/3"),
		getText("/1") + "HEAD /2 HTTP/1.1\r\nHost: h\r\n\r\n" + getText("/3"),
		getText("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n" + getText("/3"),
		"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + getText("/2") + getText("/3"),
		"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n0\r\nX: 1\r\n\r\n" + getText("/2") + getText("/3"),
	} {
		f.Add(text, uint16(0))
		f.Add(text, uint16(1))
		f.Add(text, uint16(50))
	}
	serial, pipelined := serveEcho(f, false), serveEcho(f, true)
	f.Fuzz(func(t *testing.T, text string, cut uint16) {
		pieces := []string{text}
		switch {
		case cut == 1:
			pieces = strings.Split(text, "")
		case int(cut) < len(text):
			pieces = []string{text[:cut], text[cut:]}
		}
		if got, want := answers(t, pipelined, pieces...), answers(t, serial, pieces...); got != want {
			t.Errorf("%q instead of %q", got, want)
		}
	})
}
