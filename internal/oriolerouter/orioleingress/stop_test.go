package orioleingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
)

// stoppingDispatcher is a scriptedDispatcher whose gateway is told to stop while
// the first request runs. It records the deadlines of the requests.
type stoppingDispatcher struct {
	scriptedDispatcher
	stop      func()
	deadlines []time.Time
}

func (d *stoppingDispatcher) Do(ctx context.Context, r oriole.Request, reply func(oriole.Response)) {
	d.deadlines = append(d.deadlines, r.Deadline)
	d.stop()
	d.scriptedDispatcher.Do(ctx, r, reply)
}

// TestRequestThatOutlastsTheGatewayIsRefused guards against passing on a request,
// or trying it again, when the process may end before the request does.
func TestRequestThatOutlastsTheGatewayIsRefused(t *testing.T) {
	answered := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
	unknown := oriole.UnknownResponse(oriole.ReasonConnection)
	moved := oriole.NotRunResponse(oriole.ReasonMoved)
	const grace = 6 * time.Second
	for _, test := range []struct {
		name string
		// stopped is whether the gateway is told to stop before the request arrives,
		// instead of while it runs.
		stopped   bool
		timeout   time.Duration
		responses []oriole.Response
		attempts  int
		outcome   oriole.Outcome
		reason    oriole.Reason
	}{
		{"short", true, time.Second, []oriole.Response{answered}, 1, oriole.OutcomeAnswered, oriole.ReasonNone},
		{"long", true, time.Minute, []oriole.Response{answered}, 0, oriole.OutcomeNotRun, oriole.ReasonDraining},
		{"long, passed on before the stop", false, time.Minute, []oriole.Response{answered}, 1, oriole.OutcomeAnswered, oriole.ReasonNone},
		{"short, second attempt", false, time.Second, []oriole.Response{moved, answered}, 2, oriole.OutcomeAnswered, oriole.ReasonNone},
		{"long, second attempt", false, time.Minute, []oriole.Response{moved, answered}, 1, oriole.OutcomeNotRun, oriole.ReasonDraining},
		{"long, may have run", false, time.Minute, []oriole.Response{unknown, answered}, 2, oriole.OutcomeAnswered, oriole.ReasonNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dispatcher := &stoppingDispatcher{scriptedDispatcher: scriptedDispatcher{responses: test.responses}}
			forwarder := newForwarder(dispatcher)
			schedule := oriolestop.New(time.Now(), grace)
			dispatcher.stop = func() { forwarder.Stop(schedule) }
			if test.stopped {
				dispatcher.stop()
			}
			for range 20 { // fill the retry budget
				forwarder.budget.deposit("s")
			}
			resp := forwarder.Do(context.Background(), oriole.Request{
				Service: "s", Idempotent: true, Deadline: time.Now().Add(test.timeout),
			}, 2)
			is.Equal(resp.Outcome, test.outcome)
			is.Equal(resp.Reason, test.reason)
			is.Equal(dispatcher.attempts, test.attempts)
			is.True(resp.Outcome != oriole.OutcomeNotRun || resp.RetryAfter > 0)
			for i, deadline := range dispatcher.deadlines {
				is.True(!deadline.After(schedule.AnswerUntil) || (i == 0 && !test.stopped))
			}
		})
	}
}

// TestSlowBodyIsRefusedWhenTheGatewayStops guards against waiting for the body of a
// request that can't be passed on any more.
func TestSlowBodyIsRefusedWhenTheGatewayStops(t *testing.T) {
	const timeout = time.Minute
	for _, test := range []struct {
		name string
		// sent is the part of the request that is sent before the stop.
		sent, rest string
	}{
		{"body before the stop", post + "Content-Length: 4\r\n\r\nxx", ""},
		{"header before the stop", post + "Content-Length: 4\r\n", "\r\nxx"},
		{"nothing before the stop", "", post + "Content-Length: 4\r\n\r\nxx"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			addr, dispatcher, forwarder := listenWithTimeout(t, timeout)
			conn, err := net.Dial("tcp", addr)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(8 * time.Second)))
			_, err = io.WriteString(conn, test.sent)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond) // usually, the server reads the body now
			forwarder.Stop(oriolestop.New(time.Now(), 6*time.Second))
			_, err = io.WriteString(conn, test.rest)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.Equal(resp.Header.Get(headerReason), oriole.ReasonDraining.String())
			is.Equal(resp.Header.Get(headerOutcome), oriole.OutcomeNotRun.String())
			is.True(resp.Header.Get("Retry-After") != "")
			is.True(resp.Close)
			is.Equal(dispatcher.received(), nil)
		})
	}
}

// manualTimers sends a tick only when a test does.
type manualTimers struct{ ticks chan time.Time }

func (manualTimers) Now() time.Time { return time.Now() }

func (m manualTimers) Subscribe(time.Duration) (<-chan time.Time, func()) {
	return m.ticks, func() {}
}

// connStates returns how many connections are idle with no byte of a request read,
// and how many others there are.
func (l *trackedListener) connStates() (idle, arriving int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.mu.Lock()
		if c.idleSince.IsZero() || c.received {
			arriving++
		} else {
			idle++
		}
		c.mu.Unlock()
	}
	return idle, arriving
}

// TestShutdownWaitsForConnections guards against ending while a connection is open
// on which a request may arrive.
func TestShutdownWaitsForConnections(t *testing.T) {
	const request = "GET /a/1 HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, test := range []struct {
		name string
		// before and late are sent before and while the server shuts down. The
		// connection is idle if they are empty.
		before, late string
		used         bool
		pipelining   bool
	}{
		{"connection just accepted", "", "", false, false},
		{"first bytes read", request[:10], request[10:], false, false},
		{"connection just used", "", "", true, false},
		{"connection used, first bytes read", request[:10], request[10:], true, false},
		{"connection just accepted, pipelining", "", "", false, true},
		{"first bytes read, pipelining", request[:10], request[10:], false, true},
		{"connection just used, pipelining", "", "", true, true},
		{"connection used, first bytes read, pipelining", request[:10], request[10:], true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			server := NewServer("test", listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "done")
			}), nil)
			if test.pipelining {
				server.EnablePipelining(orioletelemetry.NewMetrics())
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- server.Serve(ctx) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			is.NoErr(conn.SetDeadline(time.Now().Add(8 * time.Second)))
			in := bufio.NewReader(conn)
			exchange := func(text string) {
				_, err := io.WriteString(conn, text)
				is.NoErr(err)
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(body), "done")
			}
			if test.used {
				exchange(request)
			}
			for idle := 0; idle == 0; idle, _ = server.listener.connStates() {
				time.Sleep(time.Millisecond)
			}
			if test.before != "" {
				_, err = io.WriteString(conn, test.before)
				is.NoErr(err)
				for arriving := 0; arriving == 0; _, arriving = server.listener.connStates() {
					time.Sleep(time.Millisecond)
				}
			}
			server.DisableKeepAlives()
			timers := manualTimers{make(chan time.Time)}
			finished := make(chan error, 1)
			go func() { finished <- server.Shutdown(context.Background(), timers) }()
			if test.late != "" {
				// A tick is taken once Shutdown has looked at the connections.
				select {
				case timers.ticks <- time.Now():
				case err := <-finished:
					t.Fatalf("shut down while a request was on its way: %v", err)
				}
				exchange(test.late)
			}
			for ended := false; !ended; {
				select {
				case timers.ticks <- time.Now():
				case err := <-finished:
					is.NoErr(err)
					ended = true
				}
			}
			is.Equal(server.listener.connCount(), 0)
			cancel()
			<-stopped
		})
	}
}

// racingConn is a connection on which bytes arrive just before it is to be closed:
// Read has them when it is released.
type racingConn struct {
	net.Conn
	reading, release chan struct{}
	closed           bool
	readDeadline     time.Time
}

func (c *racingConn) Read(data []byte) (int, error) {
	close(c.reading)
	<-c.release
	return copy(data, "GET"), nil
}

func (c *racingConn) Close() error {
	c.closed = true
	return nil
}

func (c *racingConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return nil
}

// TestRequestReadFromIdleConnectionIsKept guards against closing an idle connection
// after the bytes of a request were read from it.
func TestRequestReadFromIdleConnectionIsKept(t *testing.T) {
	is := is.New(t)
	raw := &racingConn{reading: make(chan struct{}), release: make(chan struct{})}
	conn := &trackedConn{Conn: raw}
	conn.setIdle(time.Now().Add(-time.Minute), 0)
	read := make(chan error, 1)
	data := make([]byte, 8)
	go func() {
		n, err := conn.Read(data)
		data = data[:n]
		read <- err
	}()
	<-raw.reading
	conn.closeIdle()
	close(raw.release)
	is.NoErr(<-read)
	is.Equal(string(data), "GET")
	is.True(!raw.closed)
	is.True(raw.readDeadline.After(time.Now())) // the rest can be read
	conn.closeIdle()
	is.True(raw.readDeadline.After(time.Now()))
}

// deadlineRecorder records the read deadline that a handler sets.
type deadlineRecorder struct {
	http.ResponseWriter
	deadline time.Time
}

func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// TestStopLeavesLaterRequestsAlone guards against a stop that ends the reads of a
// connection whose body was read or rejected before.
func TestStopLeavesLaterRequestsAlone(t *testing.T) {
	for _, test := range []struct {
		name   string
		finish func(*bodyDeadline)
	}{
		{"body read", func(d *bodyDeadline) { d.end(time.Time{}) }},
		{"body rejected", (*bodyDeadline).release},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			recorder := &deadlineRecorder{}
			read := &bodyDeadline{control: http.NewResponseController(recorder)}
			read.expire()
			is.True(recorder.deadline.Before(time.Now()) && !recorder.deadline.IsZero())
			recorder.deadline = time.Time{}
			test.finish(read)
			read.expire()
			is.True(recorder.deadline.IsZero())
		})
	}
}
