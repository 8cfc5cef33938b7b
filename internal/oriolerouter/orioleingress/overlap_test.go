package orioleingress

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolesim"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
)

// TestStopFailsLongRequestsWithTimeLeft guards against a stop that fails a lost request at once as its deadline is later.
func TestStopFailsLongRequestsWithTimeLeft(t *testing.T) {
	answered := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200}
	unknown := oriole.UnknownResponse(oriole.ReasonConnection)
	refused := oriole.NotRunResponse(oriole.ReasonNotDispatcher)
	const grace = 6 * time.Second
	for _, test := range []struct {
		name string
		// since is how long ago the stop began.
		since      time.Duration
		idempotent bool
		responses  []oriole.Response
		attempts   int
		outcome    oriole.Outcome
	}{
		{"lost", 0, true, []oriole.Response{unknown, answered}, 2, oriole.OutcomeAnswered},
		{"lost, then not run", 0, true, []oriole.Response{unknown, refused, answered}, 3, oriole.OutcomeAnswered},
		{"given back by a dispatcher that is being stopped", 0, false, []oriole.Response{refused, answered}, 2, oriole.OutcomeAnswered},
		{"lost, not idempotent", 0, false, []oriole.Response{unknown, answered}, 1, oriole.OutcomeUnknown},
		{"given back at the end of the stop", grace, false, []oriole.Response{refused, answered}, 1, oriole.OutcomeNotRun},
		{"lost at the end of the stop", grace, true, []oriole.Response{unknown, answered}, 1, oriole.OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dispatcher := &stoppingDispatcher{}
			dispatcher.responses = test.responses
			forwarder := newForwarder(dispatcher)
			schedule := oriolestop.New(time.Now().Add(-test.since), grace)
			dispatcher.stop = func() { forwarder.Stop(schedule) }
			for range 20 { // fill the retry budget
				forwarder.budget.deposit("s")
			}
			resp := forwarder.Do(context.Background(), oriole.Request{Service: "s", Idempotent: test.idempotent, Deadline: time.Now().Add(grace + 2*time.Second)}, 3)
			is.Equal(resp.Outcome, test.outcome)
			is.Equal(dispatcher.attempts, test.attempts)
			for _, deadline := range dispatcher.deadlines[1:] {
				is.True(!deadline.After(schedule.AnswerUntil)) // the retry ends before the gateway does
			}
		})
	}
}

// TestDrainingGatewaysDispatchEachForItself guards against several senders to one pool when all gateways are being stopped.
func TestDrainingGatewaysDispatchEachForItself(t *testing.T) {
	const gateways = 9
	for _, large := range []bool{false, true} {
		t.Run(fmt.Sprint("large bodies ", large), func(t *testing.T) {
			is := is.New(t)
			state := oriole.NewClusterState()
			for i := range gateways {
				id := oriole.GatewayID(fmt.Sprintf("vm%d.1", i))
				state.Gateways[id] = oriole.Member{ID: id, VM: string(id), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%3)), Weight: 1, Draining: true}
				state.Alive[id] = true
				state.Leaving[id] = oriole.LeavingGateway{Member: state.Gateways[id], Since: time.Unix(1000, 0)}
			}
			if large {
				state.SetConfig(&oriole.Config{Routes: []oriole.Route{{LargeBodies: true, Shares: []oriole.Share{{Service: "s", Weight: 1}}}}}, time.Unix(1, 0))
			}
			pool := oriole.PoolID{Service: "s", Zone: "z1"}
			senders := make(map[oriole.GatewayID]bool)
			for _, self := range state.Gateways {
				f := NewForwarder(ForwarderConfig{Self: self, Peers: reachablePeers{}, Clock: oriolesim.NewClock(time.Unix(1000, 0))})
				f.Stop(oriolestop.New(time.Unix(1000, 0), 6*time.Second))
				senders[f.dispatcherFor(state, pool, &triedDispatchers{})] = true
			}
			is.Equal(len(senders), 1)

			// A gateway that isn't being stopped is asked first.
			runs := state.Gateways["vm0.1"]
			runs.Draining = false
			state.EditGateways()[runs.ID] = runs
			for _, self := range state.Gateways {
				f := NewForwarder(ForwarderConfig{Self: self, Peers: reachablePeers{}, Clock: oriolesim.NewClock(time.Unix(1000, 0))})
				is.Equal(f.dispatcherFor(state, pool, &triedDispatchers{}), runs.ID)
			}
		})
	}
}

// movingPeers are peers that give each request back, as they are being stopped.
type movingPeers struct{ asked []oriole.GatewayID }

func (*movingPeers) Reachable(oriole.GatewayID) bool { return true }

func (p *movingPeers) Forward(_ context.Context, to oriole.GatewayID, _ oriole.Request) oriole.Response {
	p.asked = append(p.asked, to)
	return oriole.NotRunResponse(oriole.ReasonNotDispatcher)
}

// TestStopsOfDispatchersRefuseRequests guards against refusing a request that dispatchers have given back, one after another, as each was stopped.
func TestStopsOfDispatchersRefuseRequests(t *testing.T) {
	is := is.New(t)
	dispatcher := &scriptedDispatcher{responses: []oriole.Response{{Outcome: oriole.OutcomeAnswered, Status: 200}}}
	f := newForwarder(dispatcher)
	peers := &movingPeers{}
	f.cfg.Peers = peers
	state := f.cfg.State.Snapshot()
	for i := range 40 {
		m := oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm%d.1", i)), VM: fmt.Sprintf("vm%d", i), Zone: "z", Weight: 1}
		state.Gateways[m.ID], state.Alive[m.ID] = m, true
	}
	resp := f.Do(context.Background(), oriole.Request{Service: "s", Deadline: time.Now().Add(time.Minute)}, 2)
	is.Equal(resp.Outcome, oriole.OutcomeAnswered)
	ranking := orioleplacement.RankDispatchers(oriole.PoolID{Service: "s", Zone: "z"}, state.LiveMembers())
	is.True(len(peers.asked) < len(ranking)/2) // it does not ask all of them
	is.True(slices.Equal(peers.asked, ranking[:len(peers.asked)]))
}

// TestEndingDispatcherIsAsked guards against requests for gateways that end soon, and against leaving ones that are asked by a gateway that runs.
func TestEndingDispatcherIsAsked(t *testing.T) {
	is := is.New(t)
	const grace = 6 * time.Second
	began := time.Unix(1000, 0)
	state := oriole.NewClusterState()
	self := oriole.Member{ID: "vm0.1", VM: "vm0", Zone: "z", Weight: 1}
	leaves := oriole.Member{ID: "vm1.1", VM: "vm1", Zone: "z", Weight: 1, Draining: true}
	state.Leaving[leaves.ID] = oriole.LeavingGateway{Member: leaves, Since: began}
	for _, test := range []struct {
		name    string
		stopped bool
		now     time.Time
		refused []oriole.GatewayID
		want    oriole.GatewayID
	}{
		{"this one runs", false, began, nil, self.ID},
		{"both are being stopped", true, began.Add(time.Second), nil, leaves.ID},
		{"it has refused", true, began.Add(time.Second), []oriole.GatewayID{leaves.ID}, self.ID},
		{"it may end", true, began.Add(2500 * time.Millisecond), nil, self.ID},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := NewForwarder(ForwarderConfig{Self: self, Peers: reachablePeers{}, Clock: oriolesim.NewClock(test.now)})
			if test.stopped {
				f.Stop(oriolestop.New(test.now, grace))
			}
			is.Equal(f.dispatcherFor(state, oriole.PoolID{Service: "s", Zone: "z"}, &triedDispatchers{refused: test.refused}), test.want)
		})
	}
	is.Equal(len(state.LiveMembers()), 0)
}
