package orioleingress

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolesim"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// fakeStateSource always returns the same cluster state.
type fakeStateSource struct{ state *oriole.ClusterState }

func (s fakeStateSource) Snapshot() *oriole.ClusterState { return s.state }

func (s fakeStateSource) Watch() (*oriole.ClusterState, <-chan struct{}) {
	return s.state, make(chan struct{})
}

// unrelatedChanges is the number of states that a changingStateSource replaces.
const unrelatedChanges = 2

// changingStateSource returns the same cluster state again and again, and has replaced
// it already when it is first watched.
type changingStateSource struct {
	state   *oriole.ClusterState
	watches int
}

func (s *changingStateSource) Snapshot() *oriole.ClusterState { return s.state }

func (s *changingStateSource) Watch() (*oriole.ClusterState, <-chan struct{}) {
	s.watches++
	replaced := make(chan struct{})
	if s.watches <= 1+unrelatedChanges {
		close(replaced)
	}
	return s.state, replaced
}

// scriptedDispatcher returns its responses in order, and then repeats the last.
type scriptedDispatcher struct {
	responses []oriole.Response
	attempts  int
}

func (d *scriptedDispatcher) Do(_ context.Context, _ oriole.Request, reply func(oriole.Response)) {
	resp := d.responses[min(d.attempts, len(d.responses)-1)]
	d.attempts++
	reply(resp)
}

type noPeers struct{}

func (noPeers) Reachable(oriole.GatewayID) bool { return false }

func (noPeers) Forward(context.Context, oriole.GatewayID, oriole.Request) oriole.Response {
	return oriole.NotRunResponse(oriole.ReasonNotDispatcher)
}

func newForwarder(dispatcher Dispatcher) *Forwarder {
	state := oriole.NewClusterState()
	state.Config = &oriole.Config{Services: map[oriole.ServiceName]oriole.Service{"s": {Name: "s"}}}
	state.Upstreams["i"] = oriole.Upstream{ID: "i", Service: "s", Zone: "z", Slots: 2}
	return NewForwarder(ForwarderConfig{
		Self: oriole.Member{ID: "vm.1", Zone: "z"}, State: fakeStateSource{state}, Dispatcher: dispatcher, Peers: noPeers{},
		Clock: orioletimer.New(), Metrics: orioletelemetry.NewMetrics(),
		Log: &log.Logger{Handler: discard.New()},
	})
}

// A request that may have run must be retried only if it is idempotent, and must
// never be reported as not run: its caller would send it again.
func TestRequestThatMayHaveRunIsRetriedOnlyIfIdempotent(t *testing.T) {
	answered := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
	unknown := oriole.UnknownResponse(oriole.ReasonConnection)
	shed := oriole.NotRunResponse(oriole.ReasonShed)
	expired := oriole.NotRunResponse(oriole.ReasonDeadline)
	for _, test := range []struct {
		name       string
		idempotent bool
		responses  []oriole.Response
		attempts   int
		want       oriole.Outcome
	}{
		{"answered", false, []oriole.Response{answered}, 1, oriole.OutcomeAnswered},
		{"unknown, not idempotent", false, []oriole.Response{unknown, answered}, 1, oriole.OutcomeUnknown},
		{"unknown, idempotent", true, []oriole.Response{unknown, answered}, 2, oriole.OutcomeAnswered},
		{"unknown twice, two attempts", true, []oriole.Response{unknown, unknown, answered}, 2, oriole.OutcomeUnknown},
		{"shed, then answered", false, []oriole.Response{shed, answered}, 2, oriole.OutcomeAnswered},
		{"shed, then unknown", false, []oriole.Response{shed, unknown}, 2, oriole.OutcomeUnknown},
		{"unknown, then refused", true, []oriole.Response{unknown, expired}, 2, oriole.OutcomeUnknown},
		{"refused because of the deadline", true, []oriole.Response{expired, answered}, 1, oriole.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dispatcher := &scriptedDispatcher{responses: test.responses}
			forwarder := newForwarder(dispatcher)
			for range 20 { // fill the retry budget
				forwarder.budget.deposit("s")
			}
			resp := forwarder.Do(context.Background(), oriole.Request{
				Service: "s", Idempotent: test.idempotent, Deadline: time.Now().Add(time.Minute),
			}, 2)
			is.Equal(resp.Outcome, test.want)
			is.Equal(dispatcher.attempts, test.attempts)
		})
	}
}

// When every request is shed, retries must stay within the platform's limit of a
// fifth of the requests.
func TestRetriesAreLimitedWhenAllRequestsAreShed(t *testing.T) {
	is := is.New(t)
	dispatcher := &scriptedDispatcher{responses: []oriole.Response{oriole.NotRunResponse(oriole.ReasonShed)}}
	forwarder := newForwarder(dispatcher)
	const requests = 200
	for range requests {
		forwarder.Do(context.Background(), oriole.Request{Service: "s", Deadline: time.Now().Add(time.Minute)}, 2)
	}
	is.True(dispatcher.attempts-requests <= requests/5)
}

func TestUnknownServiceIsRefused(t *testing.T) {
	is := is.New(t)
	forwarder := newForwarder(&scriptedDispatcher{})
	resp := forwarder.Do(context.Background(), oriole.Request{Service: "none", Deadline: time.Now().Add(time.Minute)}, 2)
	is.Equal(resp.Outcome, oriole.OutcomeNotRun)
	is.Equal(resp.Reason, oriole.ReasonNoOwner)
	is.True(resp.RetryAfter > 0)
}

// TestDrainWithoutLeaderIsRefusedAtOnce guards against sending a request to an upstream
// that leaves because the assignment still names it, and against letting its caller
// wait for a move that no leader can make.
func TestDrainWithoutLeaderIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	dispatcher := &scriptedDispatcher{responses: []oriole.Response{{Outcome: oriole.OutcomeAnswered, Status: 200}}}
	forwarder := newForwarder(dispatcher)
	state := oriole.NewClusterState()
	state.Config = &oriole.Config{Services: map[oriole.ServiceName]oriole.Service{"s": {Name: "s", Sharded: true}}}
	u := oriole.Upstream{ID: "u", Service: "s", Zone: "z", Slots: 2, StartedAt: time.UnixMilli(1), Draining: true}
	state.Upstreams["u"] = u
	state.Assignments["s"] = &oriole.Assignment{Service: "s", Leader: "vm.2", Ranges: []oriole.Range{{Last: oriole.MaxShardKey, Owner: u.Incarnation()}}}
	source := &changingStateSource{state: state}
	forwarder.cfg.State = source
	r := oriole.Request{Service: "s", HasShardKey: true, Deadline: time.Now().Add(time.Minute)}
	is.True(forwarder.withoutLeader(state, r))
	resp := forwarder.Do(context.Background(), r, 2)
	is.Equal(resp.Outcome, oriole.OutcomeNotRun)
	is.Equal(resp.Reason, oriole.ReasonNoOwner)
	is.True(resp.RetryAfter > 0)
	is.Equal(dispatcher.attempts, 0)
	is.Equal(source.watches, 1)

	state.Alive["vm.2"] = true
	is.True(!forwarder.withoutLeader(state, r)) // the leader moves the key
	resp = forwarder.Do(context.Background(), r, 2)
	is.Equal(resp.Outcome, oriole.OutcomeNotRun)
	is.Equal(dispatcher.attempts, 0)
	is.Equal(source.watches, 2+unrelatedChanges)
}

// TestBudgetPausedPoolIsLeft guards against asking a paused pool again, and against
// refusing a request that the pool of another zone can run.
func TestBudgetPausedPoolIsLeft(t *testing.T) {
	paused := oriole.NotRunResponse(oriole.ReasonPaused)
	paused.RetryAfter = 4 * time.Second
	answered := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
	for _, test := range []struct {
		name, key string
		otherZone bool
		attempts  int
		want      oriole.Outcome
	}{
		{"one pool", "", false, 1, oriole.OutcomeNotRun},
		{"two pools", "", true, 2, oriole.OutcomeAnswered},
		{"two pools, idempotency key", "k", true, 1, oriole.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dispatcher := &scriptedDispatcher{responses: []oriole.Response{paused, answered}}
			forwarder := newForwarder(dispatcher)
			if test.otherZone {
				forwarder.cfg.State.Snapshot().Upstreams["j"] = oriole.Upstream{ID: "j", Service: "s", Zone: "y", Slots: 2}
			}
			resp := forwarder.Do(context.Background(), oriole.Request{Service: "s", IdempotencyKey: test.key, Deadline: time.Now().Add(time.Minute)}, 2)
			is.Equal(resp.Outcome, test.want)
			is.Equal(dispatcher.attempts, test.attempts)
			is.True(resp.Outcome == oriole.OutcomeAnswered || resp.RetryAfter == paused.RetryAfter)
		})
	}
}

// TestReachIsAskedOfAnotherZone guards against callers that are refused because the
// dispatcher of their request, or all of its zone, can't reach the upstream.
func TestReachIsAskedOfAnotherZone(t *testing.T) {
	is := is.New(t)
	state := oriole.NewClusterState()
	zones := map[oriole.GatewayID]oriole.ZoneName{"vm1.1": "z", "vm2.1": "z", "vm3.1": "y", "vm4.1": "y"}
	for id, zone := range zones {
		state.Gateways[id], state.Alive[id] = oriole.Member{ID: id, VM: string(id), Zone: zone, Weight: 1}, true
	}
	now := time.Unix(1000, 0)
	f := NewForwarder(ForwarderConfig{Self: state.Gateways["vm4.1"], Peers: reachablePeers{}, Clock: oriolesim.NewClock(now)})
	pool := oriole.PoolID{Service: "s", Zone: "z", Server: "u"}
	var tried triedDispatchers
	tried.setPool(state, pool)
	first := f.dispatcherFor(state, pool, &tried)
	is.Equal(zones[first], oriole.ZoneName("z"))
	tried.record(first, oriole.ReasonUnreachable)
	second := f.dispatcherFor(state, pool, &tried)
	is.Equal(zones[second], oriole.ZoneName("y"))
	tried.record(second, oriole.ReasonUnreachable)
	third := f.dispatcherFor(state, pool, &tried)
	is.Equal(zones[third], oriole.ZoneName("y"))
	tried.record(third, oriole.ReasonUnreachable)
	is.Equal(zones[f.dispatcherFor(state, pool, &tried)], oriole.ZoneName("z"))
	tried.setPool(state, oriole.PoolID{Service: "s", Zone: "z", Server: "v"})
	is.Equal(len(tried.refused), 0)

	// The next requests go to the other zone at once, for a while.
	f.reach.record(now, pool, first, upstreamsOf(state, pool))
	is.Equal(f.dispatcherFor(state, pool, &triedDispatchers{}), second)
	f.reach.record(now.Add(-reachMemory), pool, first, upstreamsOf(state, pool))
	is.Equal(f.dispatcherFor(state, pool, &triedDispatchers{}), first)
	for id := range zones {
		f.reach.record(now, pool, id, upstreamsOf(state, pool))
	}
	is.Equal(f.dispatcherFor(state, pool, &triedDispatchers{}), first)
}

// TestReachIsThatOfUpstreams guards against several dispatchers that each send as much as
// an upstream in cold start takes: after the loss of a pool's upstreams, forwarders asked
// other dispatchers for a second, also for those that came in their place.
func TestReachIsThatOfUpstreams(t *testing.T) {
	is := is.New(t)
	state := oriole.NewClusterState()
	pool := oriole.PoolID{Service: "s", Zone: "z"}
	list := func(id oriole.ServerID, startedAt int64) {
		state.Upstreams[id] = oriole.Upstream{ID: id, Service: "s", Zone: "z", StartedAt: time.UnixMilli(startedAt)}
	}
	for _, id := range []oriole.GatewayID{"vm1.1", "vm2.1"} {
		state.Gateways[id] = oriole.Member{ID: id, Zone: "z", Weight: 1}
		state.Alive[id] = true
	}
	list("a", 1)
	now := time.Unix(1000, 0)
	f := NewForwarder(ForwarderConfig{Self: state.Gateways["vm1.1"], Peers: reachablePeers{}, Clock: oriolesim.NewClock(now)})
	for _, change := range []func(){
		func() { list("a", 2) },
		func() { list("b", 3) },
		func() { delete(state.Upstreams, "a") },
	} {
		var tried triedDispatchers
		tried.setPool(state, pool)
		first := f.dispatcherFor(state, pool, &tried)
		tried.record(first, oriole.ReasonUnreachable)
		f.reach.record(now, pool, first, tried.upstreams)
		is.True(f.dispatcherFor(state, pool, &tried) != first)
		is.True(f.dispatcherFor(state, pool, &triedDispatchers{}) != first)
		change()
		tried.setPool(state, pool)
		is.Equal(f.dispatcherFor(state, pool, &tried), first)
		is.Equal(f.dispatcherFor(state, pool, &triedDispatchers{}), first)
	}
}

// reachablePeers are peers that all can be reached.
type reachablePeers struct{ Peers }

func (reachablePeers) Reachable(oriole.GatewayID) bool { return true }

// TestReachAttemptsCostNoRetry guards against a budget for retries that requests which
// reached no upstream use up.
func TestReachAttemptsCostNoRetry(t *testing.T) {
	is := is.New(t)
	unreachable := oriole.NotRunResponse(oriole.ReasonUnreachable)
	answered := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
	for range 100 {
		dispatcher := &scriptedDispatcher{responses: []oriole.Response{unreachable, answered}}
		forwarder := newForwarder(dispatcher)
		resp := forwarder.Do(context.Background(), oriole.Request{Service: "s", Deadline: time.Now().Add(time.Minute)}, 1)
		is.Equal(resp.Outcome, oriole.OutcomeAnswered)
		is.Equal(dispatcher.attempts, 2)
	}
}

// replacedStateSource returns its first cluster state until the dispatcher has been
// asked maxUnreachable times and the state has been watched once more, and then the next.
type replacedStateSource struct {
	first, next *oriole.ClusterState
	dispatcher  *scriptedDispatcher
	replaced    bool
}

func (s *replacedStateSource) Snapshot() *oriole.ClusterState {
	if s.replaced {
		return s.next
	}
	return s.first
}

func (s *replacedStateSource) Watch() (*oriole.ClusterState, <-chan struct{}) {
	changed := make(chan struct{})
	state := s.Snapshot()
	if !s.replaced && s.dispatcher.attempts >= maxUnreachable {
		s.replaced = true
		close(changed)
	}
	return state, changed
}

// TestReachWaitEndsWithOtherUpstream guards against a request that waits for lossTimeout,
// since the upstreams of its pool were lost, although another has been listed in the pool;
// and against one that spends its last attempt when no other has.
func TestReachWaitEndsWithOtherUpstream(t *testing.T) {
	for _, test := range []struct {
		name string
		// changed is the upstream that is added or replaced.
		changed oriole.Upstream
		waits   bool
	}{
		{"another upstream", oriole.Upstream{ID: "j", Service: "s", Zone: "z", Slots: 2}, false},
		{"a successor", oriole.Upstream{ID: "i", Service: "s", Zone: "z", Slots: 2, StartedAt: time.UnixMilli(2)}, false},
		{"an upstream of another service", oriole.Upstream{ID: "j", Service: "t", Zone: "z", Slots: 2}, true},
		{"one upstream less", oriole.Upstream{ID: "k", Service: "s", Zone: "z", Slots: 2, Draining: true}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			unreachable := oriole.NotRunResponse(oriole.ReasonUnreachable)
			answered := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
			dispatcher := &scriptedDispatcher{responses: []oriole.Response{unreachable, unreachable, unreachable, answered}}
			forwarder := newForwarder(dispatcher)
			first, next := forwarder.cfg.State.Snapshot(), oriole.NewClusterState()
			first.Upstreams["k"] = oriole.Upstream{ID: "k", Service: "s", Zone: "z", Slots: 2}
			next.Config = first.Config
			maps.Copy(next.Upstreams, first.Upstreams)
			next.Upstreams[test.changed.ID] = test.changed
			forwarder.cfg.State = &replacedStateSource{first: first, next: next, dispatcher: dispatcher}
			sent := time.Now()
			resp := forwarder.Do(context.Background(), oriole.Request{Service: "s", Deadline: sent.Add(time.Minute)}, 1)
			is.Equal(resp.Outcome, oriole.OutcomeAnswered)
			is.Equal(dispatcher.attempts, maxUnreachable+1)
			is.Equal(time.Since(sent) >= lossTimeout, test.waits)
		})
	}
}

// Requests must stay in their zone unless the wait there exceeds the penalty for
// another zone, and must stay there again once the reported wait has decayed.
func TestPoolInSameZoneIsPreferred(t *testing.T) {
	is := is.New(t)
	state := oriole.NewClusterState()
	state.Upstreams["near"] = oriole.Upstream{ID: "near", Service: "s", Zone: "z", Slots: 2}
	state.Upstreams["far"] = oriole.Upstream{ID: "far", Service: "s", Zone: "y", Slots: 2}
	balancer := newPoolBalancer("z")
	now := time.Unix(100, 0)
	local, reason := balancer.pick(state, "s", now)
	is.Equal(reason, oriole.ReasonNone)
	is.Equal(local.Zone, oriole.ZoneName("z"))
	balancer.begin(local)
	balancer.end(local, oriole.Response{Outcome: oriole.OutcomeAnswered, ExpectedWait: 100 * time.Millisecond}, now, now)
	remote, _ := balancer.pick(state, "s", now)
	is.Equal(remote.Zone, oriole.ZoneName("y"))
	after, _ := balancer.pick(state, "s", now.Add(3*time.Second))
	is.Equal(after.Zone, oriole.ZoneName("z")) // the reported wait has decayed
}

// During shutdown a server must answer the requests in flight, and those that
// still arrive on open connections. The responses to the latter close their
// connections.
func TestServerShutdownCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	entered, release := make(chan struct{}, 2), make(chan struct{})
	server := NewServer("test", listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "done")
	}), func() time.Duration { return time.Minute })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(ctx) }()
	timers := orioletimer.New()
	go func() { _ = timers.Serve(ctx) }()
	type result struct {
		close bool
		body  string
		err   error
	}
	results := make(chan result, 2)
	get := func() {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			results <- result{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		results <- result{resp.Close, string(body), err}
	}
	go get()
	<-entered
	server.DisableKeepAlives()
	go get()
	<-entered
	finished := make(chan error, 1)
	go func() { finished <- server.Shutdown(context.Background(), timers) }()
	close(release)
	closed := 0
	for range 2 {
		r := <-results
		is.NoErr(r.err)
		is.Equal(r.body, "done")
		if r.close {
			closed++
		}
	}
	is.Equal(closed, 1) // the request that arrived after keep-alives were disabled
	is.NoErr(<-finished)
	cancel()
	<-stopped
}

// losingDispatcher has an unknown outcome for each request, and loses the upstream.
type losingDispatcher struct{ state *oriole.ClusterState }

func (d losingDispatcher) Do(_ context.Context, _ oriole.Request, reply func(oriole.Response)) {
	delete(d.state.Upstreams, "i")
	reply(oriole.UnknownResponse(oriole.ReasonConnection))
}

// A request that may have run must not be reported as not run when no upstream is
// left for its next attempt.
func TestRequestThatMayHaveRunIsUnknownWithoutUpstream(t *testing.T) {
	is := is.New(t)
	forwarder := newForwarder(nil)
	forwarder.cfg.Dispatcher = losingDispatcher{forwarder.cfg.State.Snapshot()}
	for range 20 { // fill the retry budget
		forwarder.budget.deposit("s")
	}
	resp := forwarder.Do(context.Background(), oriole.Request{Service: "s", Idempotent: true, Deadline: time.Now().Add(time.Minute)}, 2)
	is.Equal(resp.Outcome, oriole.OutcomeUnknown)
	is.Equal(resp.Reason, oriole.ReasonNoOwner)
}

// silentDispatcher never replies.
type silentDispatcher struct{ attempts chan struct{} }

func (d silentDispatcher) Do(context.Context, oriole.Request, func(oriole.Response)) {
	d.attempts <- struct{}{}
}

// A request without a reply must be unknown and not sent again.
func TestRequestWithoutReplyIsUnknown(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		is := is.New(t)
		dispatcher := silentDispatcher{make(chan struct{}, 16)}
		forwarder := newForwarder(dispatcher)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := oriole.Request{Service: "s", Idempotent: true, Deadline: time.Now().Add(100 * time.Millisecond)}
		if cancelled {
			r.Deadline = time.Now().Add(time.Minute)
			cancel()
		}
		is.Equal(forwarder.Do(ctx, r, 2).Outcome, oriole.OutcomeUnknown)
		is.Equal(len(dispatcher.attempts), 1)
	}
}

// refusingPeers refuse all requests, as dispatchers that are being stopped.
type refusingPeers struct{ asked map[oriole.GatewayID]int }

func (refusingPeers) Reachable(oriole.GatewayID) bool { return true }

func (p refusingPeers) Forward(_ context.Context, to oriole.GatewayID, _ oriole.Request) oriole.Response {
	p.asked[to]++
	return oriole.NotRunResponse(oriole.ReasonNotDispatcher)
}

// TestDispatcherThatRefusesIsNotAskedAgain guards against refusing a request while the
// next-ranked dispatchers are idle: the peers are being stopped, and the cluster state
// doesn't show it yet.
func TestDispatcherThatRefusesIsNotAskedAgain(t *testing.T) {
	for _, test := range []struct {
		name  string
		peers []oriole.GatewayID
		// self is the response of this gateway's own dispatcher, and attempts how
		// often it is asked.
		self     oriole.Response
		want     oriole.Outcome
		attempts int
	}{
		{"one peer", []oriole.GatewayID{"b.1"}, oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}, oriole.OutcomeAnswered, 1},
		{"three peers", []oriole.GatewayID{"b.1", "c.1", "d.1"}, oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}, oriole.OutcomeAnswered, 1},
		{"all refuse", []oriole.GatewayID{"b.1"}, oriole.NotRunResponse(oriole.ReasonNotDispatcher), oriole.OutcomeNotRun, maxNotRunAttempts - 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dispatcher := &scriptedDispatcher{responses: []oriole.Response{test.self}}
			forwarder := newForwarder(dispatcher)
			peers := refusingPeers{make(map[oriole.GatewayID]int)}
			forwarder.cfg.Peers = peers
			state := forwarder.cfg.State.Snapshot()
			for _, id := range test.peers {
				state.Gateways[id], state.Alive[id] = oriole.Member{ID: id, VM: string(id), Zone: "z", Weight: 1}, true
			}
			for range 2 { // a refusal counts within one request only
				resp := forwarder.Do(context.Background(), oriole.Request{Service: "s", Deadline: time.Now().Add(time.Minute)}, 2)
				is.Equal(resp.Outcome, test.want)
			}
			for _, id := range test.peers {
				is.Equal(peers.asked[id], 2)
			}
			is.Equal(dispatcher.attempts, 2*test.attempts)
		})
	}
}
