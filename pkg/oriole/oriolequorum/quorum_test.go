package oriolequorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequorum"
)

var (
	began = time.Unix(1000, 0)
	pool  = oriole.PoolID{Service: "s", Zone: "z"}
)

// view returns a state that lists n gateways, the first of which are alive, ordered by
// their rank as dispatchers of the pool.
func view(n int, alive ...int) (state *oriole.ClusterState, ranked []oriole.GatewayID) {
	state = oriole.NewClusterState()
	state.DirectoryLoaded = true
	var members []oriole.Member
	for i := range n {
		m := oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm-%d.1", i)), VM: fmt.Sprintf("vm-%d", i), Zone: "z", Weight: 1}
		members = append(members, m)
		state.Gateways[m.ID] = m
	}
	ranked = orioleplacement.RankDispatchers(pool, members)
	for _, i := range alive {
		state.Alive[ranked[i]] = true
	}
	return state, ranked
}

func ExampleMonitor() {
	state, ranked := view(3, 0, 1, 2)
	m := oriolequorum.New(ranked[0], began)
	m.Update(began, state)
	tenure := m.Tenure(began, pool, oriolequorum.Tenure{})
	fmt.Println(tenure.First, tenure.Holds(began), tenure.Holds(began.Add(oriolequorum.SettleTime)))
	// Output: true false true
}

// TestTenure guards against two gateways that take themselves for the only sender.
func TestTenure(t *testing.T) {
	settled := began.Add(oriolequorum.SettleTime)
	for _, test := range []struct {
		name  string
		state func() (*oriole.ClusterState, []oriole.GatewayID)
		self  int
		holds bool
	}{
		{"majority and first", func() (*oriole.ClusterState, []oriole.GatewayID) { return view(5, 0, 1, 2) }, 0, true},
		{"not first", func() (*oriole.ClusterState, []oriole.GatewayID) { return view(5, 0, 1, 2) }, 1, false},
		{"first of those alive", func() (*oriole.ClusterState, []oriole.GatewayID) { return view(5, 1, 2, 3) }, 1, true},
		{"minority", func() (*oriole.ClusterState, []oriole.GatewayID) { return view(5, 0, 1) }, 0, false},
		{"alone, others listed", func() (*oriole.ClusterState, []oriole.GatewayID) { return view(3, 1) }, 1, false},
		{"alone, no other listed", func() (*oriole.ClusterState, []oriole.GatewayID) { return view(1, 0) }, 0, true},
		{"directory not loaded", func() (*oriole.ClusterState, []oriole.GatewayID) {
			state, ranked := view(1, 0)
			state.DirectoryLoaded = false
			return state, ranked
		}, 0, false},
		{"unheard by another", func() (*oriole.ClusterState, []oriole.GatewayID) {
			state, ranked := view(3, 0, 1, 2)
			state.Unheard = true
			return state, ranked
		}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			state, ranked := test.state()
			m := oriolequorum.New(ranked[test.self], began)
			m.Update(began, state)
			is.True(!m.Tenure(began, pool, oriolequorum.Tenure{}).Holds(began))
			is.Equal(m.Tenure(settled, pool, oriolequorum.Tenure{}).Holds(settled), test.holds)
		})
	}
}

// TestHalvesDoNotBothHold guards against two senders when half of the gateways are cut off
// from the other half.
func TestHalvesDoNotBothHold(t *testing.T) {
	is := is.New(t)
	holding := 0
	for _, half := range [][]int{{0, 1}, {2, 3}} {
		state, ranked := view(4, half...)
		m := oriolequorum.New(ranked[half[0]], began)
		m.Update(began, state)
		settled := began.Add(oriolequorum.SettleTime)
		if m.Tenure(settled, pool, oriolequorum.Tenure{}).Holds(settled) {
			holding++
		}
	}
	is.Equal(holding, 1)
}

// TestPauseEndsTenure guards against a gateway that was suspended and goes on by its old
// view: others have taken over.
func TestPauseEndsTenure(t *testing.T) {
	is := is.New(t)
	state, ranked := view(3, 0, 1, 2)
	m := oriolequorum.New(ranked[0], began)
	m.Update(began, state)
	now, bootTime := began, began
	var tenure oriolequorum.Tenure
	step := func(wait, suspended time.Duration) {
		now, bootTime = now.Add(wait), bootTime.Add(wait+suspended)
		m.Tick(now, bootTime)
		tenure = m.Tenure(now, pool, tenure)
	}
	for range 20 {
		step(100*time.Millisecond, 0)
	}
	is.True(tenure.Holds(now))
	step(25*time.Millisecond, 2*time.Second)
	is.True(!tenure.Holds(now))
	for range 12 {
		step(100*time.Millisecond, 0)
	}
	is.True(tenure.Holds(now))
}

// TestSuccessorBeginsAtOnce guards against an upstream that waits although its sender has
// been silent for long: whoever has settled takes over at once, without what could have
// been sent before.
func TestSuccessorBeginsAtOnce(t *testing.T) {
	is := is.New(t)
	state, ranked := view(5, 0, 1, 2, 3, 4)
	m := oriolequorum.New(ranked[1], began)
	m.Update(began, state)
	before := m.Tenure(began, pool, oriolequorum.Tenure{})
	is.True(!before.First)
	now := began.Add(5 * time.Second)
	lost, _ := view(5, 1, 2, 3, 4)
	m.Update(now, lost)
	tenure := m.Tenure(now, pool, before)
	is.True(tenure.Holds(now))
	is.Equal(tenure.Since, now)
	later := now.Add(time.Minute)
	is.Equal(m.Tenure(later, pool, tenure).Since, now)
}
