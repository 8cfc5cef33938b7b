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
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
)

// self is the gateway of the dispatcher under test, and otherGateway another one.
var (
	self         = oriole.Member{ID: "vm.1", VM: "vm", Zone: "z", Weight: 1}
	otherGateway = oriole.Member{ID: "other.1", VM: "other", Zone: "z", Weight: 1}
)

// startWithQueue returns a dispatcher that runs two requests and has two queued: one that
// outlasts a stop that begins now, and one that doesn't.
func startWithQueue(t *testing.T, gateways ...oriole.Member) (disp *Dispatcher, long, short <-chan oriole.Response, sender gatedSender) {
	t.Helper()
	disp, sender = startDispatcher(t, gateways...)
	submit(disp, time.Minute)
	submit(disp, time.Minute)
	<-sender.started
	<-sender.started
	return disp, submit(disp, time.Minute), submit(disp, 4*time.Second), sender
}

// TestStopHoldsQueuedRequests guards against a dispatcher that keeps what outlasts it beside the pool's next dispatcher.
func TestStopHoldsQueuedRequests(t *testing.T) {
	is := is.New(t)
	disp, long, short, sender := startWithQueue(t, self, otherGateway)
	disp.Stop(oriolestop.New(time.Now(), 6*time.Second))
	select {
	case resp := <-long:
		is.Equal(resp.Outcome, oriole.OutcomeNotRun)
		is.Equal(resp.Reason, oriole.ReasonNotDispatcher) // its forwarder asks another dispatcher
	case <-time.After(time.Second):
		t.Fatal("the request was kept for 1 s")
	}
	is.Equal(len(short), 0)
	sender.release <- struct{}{}
	sender.release <- struct{}{}
	sender.release <- struct{}{}
	is.Equal((<-short).Outcome, oriole.OutcomeAnswered) // it ends within the stop
}

// TestStopRefusesWithoutOtherDispatcher guards against giving requests back that no other gateway can dispatch.
func TestStopRefusesWithoutOtherDispatcher(t *testing.T) {
	is := is.New(t)
	drains := otherGateway
	drains.Draining = true
	disp, long, _, sender := startWithQueue(t, self, drains)
	disp.Stop(oriolestop.New(time.Now(), 6*time.Second))
	time.Sleep(4 * tickInterval)
	is.Equal(len(long), 0)
	for range 4 {
		sender.release <- struct{}{}
	}
	is.Equal((<-long).Outcome, oriole.OutcomeAnswered)
}

// TestStopCutsOffLateRequests guards against sending what the end of the process cuts off, as its deadline is later.
func TestStopCutsOffLateRequests(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, upstream("u", "t"))
	now := stoppedClock{}.Now()
	schedule := oriolestop.New(now.Add(-3*time.Second), 6*time.Second)
	h.schedule.Store(schedule)
	sender := make(fakeSender, 1)
	h.cfg.Sender = sender
	for _, test := range []struct {
		name              string
		timeout           time.Duration
		response, want    oriole.Response
		untilEndOfTheStop bool
	}{
		{"deadline before the end", time.Second, oriole.UnknownResponse(oriole.ReasonDeadline), oriole.UnknownResponse(oriole.ReasonDeadline), false},
		{"deadline after the end, may have run", time.Minute, oriole.UnknownResponse(oriole.ReasonDeadline), oriole.UnknownResponse(oriole.ReasonCancelled), true},
		{"deadline after the end, not run", time.Minute, oriole.NotRunResponse(oriole.ReasonDeadline), oriole.NotRunResponse(oriole.ReasonNotDispatcher), true},
		{"deadline after the end, lost", time.Minute, oriole.UnknownResponse(oriole.ReasonConnection), oriole.UnknownResponse(oriole.ReasonConnection), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := oriole.Request{Service: "t", Deadline: now.Add(test.timeout)}
			is.True(h.sendJobs.Offer(sendJob{pending: &pendingRequest{ctx: context.Background()}, Start: oriolepool.Start{Job: 1, To: upstream("u", "t"), Request: r}}))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = (&sendDuty{h.Dispatcher}).Serve(ctx) }()
			sent := <-sender
			if test.untilEndOfTheStop {
				is.Equal(sent.request.Deadline, schedule.AnswerUntil)
			} else {
				is.Equal(sent.request.Deadline, r.Deadline)
			}
			sent.response <- test.response
			e := <-h.events.Out()
			is.Equal(e.result.response, test.want) // a forwarder with time left tries again
		})
	}
	is.Equal(len(sender), 0)
}

// TestStopStartsWhatCannotEnd guards against starting a request so late in a stop that its upstream needs longer than is left.
func TestStopStartsWhatCannotEnd(t *testing.T) {
	is := is.New(t)
	const duration = 400 * time.Millisecond
	clock := &manualClock{time.Unix(1000, 0)}
	state := oriole.NewClusterState()
	state.Config = &oriole.Config{Services: map[oriole.ServiceName]oriole.Service{"s": {Name: "s"}}}
	state.Upstreams["i"] = oriole.Upstream{ID: "i", Service: "s", Zone: "z", Slots: 1}
	state.Gateways[self.ID], state.Alive[self.ID] = self, true
	disp := New(Config{
		Self: self.ID, State: fixedState{state}, Timers: clock, Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()},
	}, suture.Spec{EventHook: func(suture.Event) {}})
	duty, ctx := newPoolDuty(disp), context.Background()
	duty.reset(clock.now)
	submit := func() <-chan oriole.Response {
		responses := make(chan oriole.Response, 1)
		r := oriole.Request{ID: "r", Service: "s", Pool: pool, Deadline: clock.now.Add(time.Minute), SoftDeadline: clock.now.Add(time.Minute)}
		duty.handle(ctx, clock.now, event{submit: &pendingRequest{ctx: ctx, request: r, reply: func(resp oriole.Response) { responses <- resp }}})
		return responses
	}
	end := func() {
		s := <-disp.sendJobs.Out()
		clock.now = clock.now.Add(duration)
		duty.handle(ctx, clock.now, event{result: &result{s.pool, s.Job, s.To.Incarnation(), oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Server: "i"}}})
	}
	for range 40 { // the pool learns how long its requests take
		submit()
		end()
	}
	submit()
	queued := submit()
	schedule := oriolestop.New(clock.now, 6*time.Second)
	disp.Stop(schedule)
	clock.now = schedule.AnswerUntil.Add(-duration - duration/2)
	duty.tick(ctx, clock.now)
	is.Equal(len(queued), 0) // a slot may become free in time
	end()
	duty.tick(ctx, clock.now)
	is.Equal(len(disp.sendJobs.Out()), 0)
	is.Equal((<-queued).Outcome, oriole.OutcomeNotRun)
}
