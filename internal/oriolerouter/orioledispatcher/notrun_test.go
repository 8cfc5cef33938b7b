package orioledispatcher

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// settleTime is how long a test gives an effect that must not occur.
const settleTime = 20 * time.Millisecond

// failingState returns a cluster with one upstream that has one slot. It panics once
// in Snapshot after fail was called.
type failingState struct {
	state    *oriole.ClusterState
	changed  chan struct{}
	panicked chan struct{}

	mu      sync.Mutex
	failing bool
}

func (s *failingState) Snapshot() *oriole.ClusterState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failing {
		s.failing = false
		close(s.panicked)
		panic("no snapshot")
	}
	return s.state
}

func (s *failingState) Subscribe() <-chan struct{} { return s.changed }

// fail makes the pool duty fail once, and returns when it has.
func (s *failingState) fail() {
	s.mu.Lock()
	s.failing = true
	s.mu.Unlock()
	s.changed <- struct{}{}
	<-s.panicked
}

// sentRequest is a request that a fakeSender sends until it gets a response.
type sentRequest struct {
	ctx      context.Context
	request  oriole.Request
	response chan oriole.Response
}

type fakeSender chan sentRequest

// Send implements [oriole.Sender].
func (s fakeSender) Send(ctx context.Context, _ oriole.Upstream, r oriole.Request) oriole.Response {
	sent := sentRequest{ctx, r, make(chan oriole.Response, 1)}
	s <- sent
	select {
	case response := <-sent.response:
		return response
	case <-ctx.Done():
		return oriole.UnknownResponse(oriole.ReasonCancelled)
	}
}

// startFailingDispatcher starts a dispatcher whose pool duty can be made to fail.
func startFailingDispatcher(t *testing.T) (*Dispatcher, *failingState, fakeSender) {
	t.Helper()
	state := &failingState{state: oriole.NewClusterState(), changed: make(chan struct{}), panicked: make(chan struct{})}
	state.state.Config = &oriole.Config{Services: map[oriole.ServiceName]oriole.Service{"s": {Name: "s"}}}
	state.state.Upstreams["i"] = oriole.Upstream{ID: "i", Service: "s", Zone: "z", Slots: 1, StartedAt: time.Unix(1, 0)}
	sender, timers := make(fakeSender, 16), orioletimer.New()
	disp := New(Config{
		State: state, Sender: sender, Timers: timers, Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()},
		ReportDurations:   func(context.Context, oriole.ServiceName, map[oriole.ServerID]time.Duration) {},
		ReportCrash:       func(oriolecrash.Fingerprint, oriole.Incarnation) {},
		ReportUnreachable: func(context.Context, oriole.ServiceName, oriole.Incarnation) {},
		CloseIdleConns:    func(func(oriole.Incarnation) bool) {},
	}, suture.Spec{EventHook: func(suture.Event) {}})
	ctx, cancel := context.WithCancel(context.Background())
	done := disp.ServeBackground(ctx)
	go func() { _ = timers.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return disp, state, sender
}

func request(id string, idempotent bool) oriole.Request {
	return oriole.Request{
		ID: id, Service: "s", Pool: oriole.PoolID{Service: "s", Zone: "z"}, Method: "POST", Idempotent: idempotent,
		Deadline: time.Now().Add(time.Minute), SoftDeadline: time.Now().Add(time.Minute),
	}
}

// do submits the request and returns a channel for its response.
func do(ctx context.Context, disp *Dispatcher, r oriole.Request) <-chan oriole.Response {
	responses := make(chan oriole.Response, 2)
	disp.Do(ctx, r, func(response oriole.Response) { responses <- response })
	return responses
}

// A request whose caller leaves while it runs must not be reported as not run, and
// one that waits must not be sent any more.
func TestOnlyQueuedRequestIsNotRunWhenCallerLeaves(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		is := is.New(t)
		disp, _, sender := startFailingDispatcher(t)
		ctx, cancel := context.WithCancel(context.Background())
		running := do(ctx, disp, request("running", idempotent))
		sent := <-sender
		queued := do(ctx, disp, request("queued", idempotent))
		cancel()
		is.Equal((<-queued).Outcome, oriole.OutcomeNotRun)
		want := oriole.OutcomeUnknown
		if !idempotent {
			want = oriole.OutcomeAnswered
			select {
			case <-sent.ctx.Done():
				t.Error("a request that is not idempotent was cancelled")
			case <-time.After(settleTime):
			}
			sent.response <- oriole.Response{Outcome: want, Status: 200}
		}
		is.Equal((<-running).Outcome, want)

		last := do(context.Background(), disp, request("last", idempotent))
		sent = <-sender
		is.Equal(sent.request.ID, "last")
		sent.response <- oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
		is.Equal((<-last).Outcome, oriole.OutcomeAnswered)
	}
}

// A pool duty that restarts must report the requests that it has lost as unknown, once
// each, and must not take their responses for those to later requests.
func TestRestartedPoolDutyReportsNothingAsNotRun(t *testing.T) {
	is := is.New(t)
	disp, state, sender := startFailingDispatcher(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	running := do(ctx, disp, request("running", false))
	sentBefore := <-sender
	queued := do(ctx, disp, request("queued", false))
	for len(disp.events.Out()) > 0 {
		time.Sleep(time.Millisecond)
	}
	state.fail()

	after := do(context.Background(), disp, request("after", false))
	sentAfter := <-sender
	is.Equal(sentAfter.request.ID, "after")
	sentBefore.response <- oriole.NotRunResponse(oriole.ReasonShed)
	cancel()
	time.Sleep(settleTime)
	sentAfter.response <- oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 201}
	is.Equal((<-after).Status, 201)
	for _, lost := range []<-chan oriole.Response{running, queued} {
		is.Equal(len(lost), 1)
		is.Equal((<-lost).Outcome, oriole.OutcomeUnknown)
	}
	is.Equal(len(sender), 0) // the queued request is lost
}

// TestStopAfterRestartOfPoolDuty guards against a stop that waits until its end for
// requests that a restarted pool duty has lost: one that ran, its duplicate, and the
// one whose submission failed.
func TestStopAfterRestartOfPoolDuty(t *testing.T) {
	is := is.New(t)
	disp, state, sender := startFailingDispatcher(t)
	first := request("first", false)
	first.IdempotencyKey = "key"
	duplicate := first
	duplicate.ID = "duplicate"
	lost := []<-chan oriole.Response{do(context.Background(), disp, first)}
	sent := <-sender
	lost = append(lost, do(context.Background(), disp, duplicate))
	for len(disp.events.Out()) > 0 {
		time.Sleep(time.Millisecond)
	}
	state.mu.Lock()
	state.failing = true
	state.mu.Unlock()
	other := request("other", false)
	other.Pool.Zone = "y" // a new pool, for which the duty reads the state
	lost = append(lost, do(context.Background(), disp, other))
	<-state.panicked

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(disp.Finish(ctx))
	for _, responses := range lost {
		is.Equal((<-responses).Outcome, oriole.OutcomeUnknown)
	}
	sent.response <- oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200} // too late
}
