package oriolequorum_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequorum"
)

const (
	clusterTick      = 200 * time.Millisecond
	clusterHeartbeat = 400 * time.Millisecond
	// maxOverlap is the longest time for which two gateways may hold the right: they learn
	// of the cut within a heartbeat and a tick of one another.
	maxOverlap = clusterHeartbeat + clusterTick
)

// settledCluster runs the failure detectors and monitors of gateways.
type settledCluster struct {
	now      time.Time
	pool     oriole.PoolID
	members  map[oriole.GatewayID]oriole.Member
	nodes    map[oriole.GatewayID]*orioleliveness.Detector
	monitors map[oriole.GatewayID]*oriolequorum.Monitor
	tenures  map[oriole.GatewayID]oriolequorum.Tenure
	blocked  func(from, to oriole.GatewayID) bool
	down     map[oriole.GatewayID]bool
}

func newSettledCluster(n, zones int) *settledCluster {
	c := &settledCluster{
		now: began, pool: oriole.PoolID{Service: "s", Zone: "z0"},
		members: make(map[oriole.GatewayID]oriole.Member), nodes: make(map[oriole.GatewayID]*orioleliveness.Detector),
		monitors: make(map[oriole.GatewayID]*oriolequorum.Monitor), tenures: make(map[oriole.GatewayID]oriolequorum.Tenure),
		blocked: func(oriole.GatewayID, oriole.GatewayID) bool { return false }, down: make(map[oriole.GatewayID]bool),
	}
	for i := range n {
		id := oriole.GatewayID(fmt.Sprintf("vm-%d.a", i))
		c.members[id] = oriole.Member{ID: id, VM: id.VM(), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%zones)), Weight: 1}
	}
	for id, m := range c.members {
		c.nodes[id] = orioleliveness.New(c.now, m)
		c.nodes[id].SetMembers(c.members)
		for other := range c.members {
			c.nodes[id].RecordFrame(c.now, other)
		}
		c.monitors[id] = oriolequorum.New(id, c.now)
	}
	return c
}

// run advances the time; each observes the cluster after each step.
func (c *settledCluster) run(duration time.Duration, each func()) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(clusterTick) {
		for id, node := range c.nodes {
			if c.down[id] {
				continue
			}
			state := oriole.NewClusterState()
			state.DirectoryLoaded, state.Gateways = true, c.members
			alive := make(map[oriole.GatewayID]bool)
			for other := range node.Tick(c.now) {
				alive[other] = true
			}
			state.SetAlive(alive)
			state.Unheard = node.Unheard(c.now)
			c.monitors[id].Tick(c.now, c.now)
			c.monitors[id].Update(c.now, state)
			c.tenures[id] = c.monitors[id].Tenure(c.now, c.pool, c.tenures[id])
		}
		if c.now.Sub(began)%clusterHeartbeat == 0 {
			c.heartbeat()
		}
		if each != nil {
			each()
		}
	}
}

func (c *settledCluster) heartbeat() {
	for from, node := range c.nodes {
		if c.down[from] {
			continue
		}
		monitor, unreachable := node.Report(c.now)
		for to, other := range c.nodes {
			if to == from || c.down[to] || !node.ShouldHeartbeat(to) || c.blocked(from, to) {
				continue
			}
			other.RecordFrame(c.now, from)
			other.RecordReport(from, monitor, unreachable)
		}
	}
}

// holders returns the gateways that may send.
func (c *settledCluster) holders() (ids []oriole.GatewayID) {
	for id, tenure := range c.tenures {
		if !c.down[id] && tenure.Holds(c.now) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (c *settledCluster) first() oriole.GatewayID {
	var members []oriole.Member
	for _, m := range c.members {
		members = append(members, m)
	}
	return orioleplacement.RankDispatchers(c.pool, members)[0]
}

// longestOverlap returns the longest time for which several gateways held the right.
func (c *settledCluster) longestOverlap(duration time.Duration) (longest time.Duration) {
	var since time.Time
	c.run(duration, func() {
		switch {
		case len(c.holders()) < 2:
			since = time.Time{}
		case since.IsZero():
			since = c.now
			fallthrough
		default:
			longest = max(longest, c.now.Sub(since)+clusterTick)
		}
	})
	return longest
}

// TestIsolatedGatewayLosesTenure guards against a gateway that is cut off from all others
// and goes on sending beside its successor, by the gateways that it took for alive before.
func TestIsolatedGatewayLosesTenure(t *testing.T) {
	for _, n := range []int{3, 11, 16, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c := newSettledCluster(n, 4)
			c.run(6*time.Second, nil)
			isolated := c.first()
			is.Equal(c.holders(), []oriole.GatewayID{isolated})
			c.blocked = func(from, to oriole.GatewayID) bool { return from == isolated || to == isolated }
			is.True(c.longestOverlap(8*time.Second) <= maxOverlap)
			is.Equal(len(c.holders()), 1)
		})
	}
}

// TestIsolatedZoneLosesTenure guards against the same for the gateways of a zone, with or
// without one of the monitors.
func TestIsolatedZoneLosesTenure(t *testing.T) {
	for _, zones := range []int{2, 3, 5} {
		for zone := range zones {
			t.Run(fmt.Sprintf("%d of %d", zone, zones), func(t *testing.T) {
				is := is.New(t)
				c := newSettledCluster(40, zones)
				c.pool.Zone = oriole.ZoneName(fmt.Sprintf("z%d", zone))
				c.run(6*time.Second, nil)
				c.blocked = func(from, to oriole.GatewayID) bool {
					return (c.members[from].Zone == c.pool.Zone) != (c.members[to].Zone == c.pool.Zone)
				}
				is.True(c.longestOverlap(8*time.Second) <= maxOverlap)
				is.Equal(len(c.holders()), 1)
			})
		}
	}
}

// TestLostMonitorsAreReplaced guards against cold upstreams that get no requests for long
// after all monitors were lost at once.
func TestLostMonitorsAreReplaced(t *testing.T) {
	is := is.New(t)
	c := newSettledCluster(40, 4)
	c.run(6*time.Second, nil)
	for id, node := range c.nodes {
		if monitor, _ := node.Report(c.now); monitor {
			c.down[id] = true
		}
	}
	is.Equal(len(c.down), 3)
	unused := time.Duration(0)
	c.run(8*time.Second, func() {
		if len(c.holders()) == 0 {
			unused += clusterTick
		}
	})
	is.True(unused <= 2*time.Second)
	is.Equal(len(c.holders()), 1)
}

// TestOneDeafGatewayEndsNoTenure guards against cold upstreams that get no requests for as
// long as a single gateway does not hear their sender: it learns from the others that the
// sender is alive, so that nobody else takes over.
func TestOneDeafGatewayEndsNoTenure(t *testing.T) {
	for _, n := range []int{3, 4, 5, 11, 16, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			for i := range min(n, 11) {
				c := newSettledCluster(n, 4)
				c.run(6*time.Second, nil)
				sender, deaf := c.first(), oriole.GatewayID(fmt.Sprintf("vm-%d.a", i))
				if deaf == sender {
					continue
				}
				c.blocked = func(from, to oriole.GatewayID) bool { return from == sender && to == deaf }
				c.run(4*time.Second, func() { is.Equal(c.holders(), []oriole.GatewayID{sender}) })
			}
		})
	}
}
