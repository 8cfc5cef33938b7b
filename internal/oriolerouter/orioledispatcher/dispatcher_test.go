package orioledispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// fixedState always returns the same cluster state.
type fixedState struct{ state *oriole.ClusterState }

func (s fixedState) Snapshot() *oriole.ClusterState { return s.state }
func (fixedState) Subscribe() <-chan struct{}       { return nil }

// gatedSender answers a request once it is released.
type gatedSender struct{ started, release chan struct{} }

func (s gatedSender) Send(context.Context, oriole.Upstream, oriole.Request) oriole.Response {
	s.started <- struct{}{}
	<-s.release
	return oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
}

var pool = oriole.PoolID{Service: "s", Zone: "z"}

// startDispatcher starts a dispatcher of a pool that has one upstream with two slots. The
// gateways are alive; this one is vm.1.
func startDispatcher(t *testing.T, gateways ...oriole.Member) (disp *Dispatcher, sender gatedSender) {
	t.Helper()
	state := oriole.NewClusterState()
	state.Config = &oriole.Config{Services: map[oriole.ServiceName]oriole.Service{"s": {Name: "s"}}}
	state.Upstreams["i"] = oriole.Upstream{ID: "i", Service: "s", Zone: "z", Slots: 2}
	for _, m := range gateways {
		state.Gateways[m.ID], state.Alive[m.ID] = m, true
	}
	sender = gatedSender{make(chan struct{}, 8), make(chan struct{}, 8)}
	timers := orioletimer.New()
	spec := suture.Spec{EventHook: func(suture.Event) {}}
	disp = New(Config{
		Self: "vm.1", State: fixedState{state}, Sender: sender, Timers: timers, Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()},
		ReportDurations:   func(context.Context, oriole.ServiceName, map[oriole.ServerID]time.Duration) {},
		ReportCrash:       func(oriolecrash.Fingerprint, oriole.Incarnation) {},
		ReportUnreachable: func(context.Context, oriole.ServiceName, oriole.Incarnation) {},
		CloseIdleConns:    func(func(oriole.Incarnation) bool) {},
	}, spec)
	ctx, cancel := context.WithCancel(context.Background())
	done := disp.ServeBackground(ctx)
	go func() { _ = timers.Serve(ctx) }()
	t.Cleanup(func() {
		close(sender.release)
		cancel()
		<-done
	})
	return disp, sender
}

// submit passes a request to the dispatcher and returns the channel of its response.
func submit(disp *Dispatcher, timeout time.Duration) <-chan oriole.Response {
	responses := make(chan oriole.Response, 1)
	now := time.Now()
	r := oriole.Request{ID: "r", Service: "s", Pool: pool, Method: "POST", Deadline: now.Add(timeout), SoftDeadline: now.Add(timeout)}
	disp.Do(context.Background(), r, func(resp oriole.Response) { responses <- resp })
	return responses
}

// refusal returns the response to a request that must not be sent.
func refusal(t *testing.T, responses <-chan oriole.Response, sender gatedSender) (resp oriole.Response) {
	t.Helper()
	select {
	case resp = <-responses:
	case <-sender.started:
		t.Fatal("the request was sent to an upstream")
	}
	return resp
}

// TestFinishingDispatcherAcceptsNoRequests guards against taking requests of peers
// between the end of the last request and the end of the process.
func TestFinishingDispatcherAcceptsNoRequests(t *testing.T) {
	is := is.New(t)
	disp, sender := startDispatcher(t)
	running := submit(disp, time.Minute)
	<-sender.started
	finished := make(chan error, 1)
	go func() { finished <- disp.Finish(context.Background()) }()
	for !disp.finishing.Load() {
		time.Sleep(time.Millisecond)
	}
	refused := refusal(t, submit(disp, time.Minute), sender)
	is.Equal(refused.Outcome, oriole.OutcomeNotRun)
	is.Equal(refused.Reason, oriole.ReasonNotDispatcher) // its forwarder asks another dispatcher
	sender.release <- struct{}{}
	is.Equal((<-running).Outcome, oriole.OutcomeAnswered)
	is.NoErr(<-finished)
}

// TestDispatcherRefusesRequestsThatOutlastIt guards against starting requests of
// peers that the end of the process would cut off.
func TestDispatcherRefusesRequestsThatOutlastIt(t *testing.T) {
	is := is.New(t)
	disp, sender := startDispatcher(t)
	disp.Stop(oriolestop.New(time.Now(), 6*time.Second))
	refused := refusal(t, submit(disp, time.Minute), sender)
	is.Equal(refused.Outcome, oriole.OutcomeNotRun)
	is.Equal(refused.Reason, oriole.ReasonNotDispatcher)
	sender.release <- struct{}{}
	is.Equal((<-submit(disp, 2*time.Second)).Outcome, oriole.OutcomeAnswered)
}

// TestQueuedRequestsAreRefusedBeforeTheEnd guards against cutting off requests that
// still wait when the process ends.
func TestQueuedRequestsAreRefusedBeforeTheEnd(t *testing.T) {
	is := is.New(t)
	disp, sender := startDispatcher(t)
	running := []<-chan oriole.Response{submit(disp, time.Minute), submit(disp, time.Minute)}
	<-sender.started
	<-sender.started
	queued := submit(disp, time.Minute)
	const grace = 6 * time.Second
	disp.Stop(oriolestop.New(time.Now().Add(-grace), grace))
	refused := refusal(t, queued, sender)
	is.Equal(refused.Outcome, oriole.OutcomeNotRun)
	is.Equal(refused.Reason, oriole.ReasonMoved)
	for range running {
		sender.release <- struct{}{}
	}
	for _, responses := range running {
		is.Equal((<-responses).Outcome, oriole.OutcomeAnswered)
	}
}
