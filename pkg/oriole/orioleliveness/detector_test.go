package orioleliveness_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

const (
	tick      = 200 * time.Millisecond
	heartbeat = 400 * time.Millisecond
)

// cluster connects failure detectors by heartbeats that arrive immediately.
type cluster struct {
	now     time.Time
	members map[oriole.GatewayID]oriole.Member
	nodes   map[oriole.GatewayID]*orioleliveness.Detector
	down    map[oriole.GatewayID]bool
	blocked func(from, to oriole.GatewayID) bool
	sent    int
}

func newCluster(n int) *cluster {
	c := &cluster{
		now: time.Unix(1000, 0), members: make(map[oriole.GatewayID]oriole.Member),
		nodes: make(map[oriole.GatewayID]*orioleliveness.Detector), down: make(map[oriole.GatewayID]bool),
		blocked: func(oriole.GatewayID, oriole.GatewayID) bool { return false },
	}
	for i := range n {
		id := oriole.GatewayID(fmt.Sprintf("vm-%d.a", i))
		c.members[id] = oriole.Member{ID: id, VM: id.VM(), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%4))}
	}
	for id, m := range c.members {
		c.nodes[id] = orioleliveness.New(c.now, m)
		c.nodes[id].SetMembers(c.members)
		for other := range c.members {
			// A new link starts with a heartbeat.
			c.nodes[id].RecordFrame(c.now, other)
		}
	}
	return c
}

func (c *cluster) run(duration time.Duration) {
	for end := c.now.Add(duration); c.now.Before(end); c.now = c.now.Add(tick) {
		for id, node := range c.nodes {
			if !c.down[id] {
				node.Tick(c.now)
			}
		}
		if c.now.UnixMilli()%heartbeat.Milliseconds() == 0 {
			c.heartbeat()
		}
	}
}

func (c *cluster) heartbeat() {
	for from, node := range c.nodes {
		if c.down[from] {
			continue
		}
		monitor, unreachable := node.Report(c.now)
		for to, other := range c.nodes {
			if to == from || c.down[to] || !node.ShouldHeartbeat(to) || c.blocked(from, to) {
				continue
			}
			c.sent++
			other.RecordFrame(c.now, from)
			other.RecordReport(from, monitor, unreachable)
		}
	}
}

// misjudgement describes the first live gateway found that considers a failed one
// alive or a live one failed. It returns "" if there is none.
func (c *cluster) misjudgement() string {
	for id, node := range c.nodes {
		if c.down[id] {
			continue
		}
		for other := range c.members {
			if other != id && node.Alive(other) == c.down[other] {
				return fmt.Sprintf("%s considers %s alive: %v", id, other, node.Alive(other))
			}
		}
	}
	return ""
}

func TestDetectsFailure(t *testing.T) {
	for _, n := range []int{2, 11, 12, 40, 86} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(n)
			for range 50 {
				c.run(tick)
				is.Equal(c.misjudgement(), "") // from the start
			}
			failed := oriole.GatewayID("vm-1.a")
			c.down[failed] = true
			c.run(2 * orioleliveness.SilenceTimeout)
			is.Equal(c.misjudgement(), "")
		})
	}
}

// TestHeartbeatsGrowLinearly checks that the number of heartbeats grows with
// the number of gateways, not with its square.
func TestHeartbeatsGrowLinearly(t *testing.T) {
	is := is.New(t)
	c := newCluster(86)
	c.run(10 * time.Second)
	c.sent = 0
	c.run(10 * time.Second)
	perGateway := float64(c.sent) / 86 / (10 / heartbeat.Seconds())
	t.Logf("%.1f heartbeats per gateway and interval", perGateway)
	is.True(perGateway < 7)
}

// TestMonitorsAreReplaced checks that no other gateway is considered dead while
// new monitors take over from monitors that were all lost at once.
func TestMonitorsAreReplaced(t *testing.T) {
	is := is.New(t)
	c := newCluster(40)
	c.run(8 * time.Second)
	for id, node := range c.nodes {
		if monitor, _ := node.Report(c.now); monitor {
			c.down[id] = true
		}
	}
	is.Equal(len(c.down), 3)
	for range 60 {
		c.run(tick)
		for id, node := range c.nodes {
			for other := range c.members {
				if !c.down[id] && !c.down[other] && other != id {
					is.True(node.Alive(other))
				}
			}
		}
	}
	is.Equal(c.misjudgement(), "")
}

// TestZoneFailure checks that the failure of a zone, which may hold a monitor, is
// detected, that the other zones stay alive, and that its recovery is detected.
func TestZoneFailure(t *testing.T) {
	is := is.New(t)
	c := newCluster(40)
	c.run(8 * time.Second)
	for id, m := range c.members {
		c.down[id] = m.Zone == "z1"
	}
	c.run(4 * time.Second)
	is.Equal(c.misjudgement(), "")
	for id := range c.members {
		c.down[id] = false
	}
	c.run(4 * time.Second)
	is.Equal(c.misjudgement(), "")
}

// TestPartition checks that each side of a partition considers only the other
// side dead, and that both recover when it heals.
func TestPartition(t *testing.T) {
	is := is.New(t)
	c := newCluster(40)
	c.run(8 * time.Second)
	side := func(id oriole.GatewayID) bool { return c.members[id].Zone < "z2" }
	c.blocked = func(from, to oriole.GatewayID) bool { return side(from) != side(to) }
	c.run(10 * time.Second)
	for id, node := range c.nodes {
		for other := range maps.Keys(c.members) {
			if other != id {
				is.Equal(node.Alive(other), side(id) == side(other))
			}
		}
	}
	c.blocked = func(oriole.GatewayID, oriole.GatewayID) bool { return false }
	// A reopened link starts with a heartbeat each way.
	for id, node := range c.nodes {
		for other := range c.members {
			if other != id {
				node.RecordFrame(c.now, other)
			}
		}
	}
	c.run(8 * time.Second)
	is.Equal(c.misjudgement(), "")
}

// TestResizeAcrossMeshLimit checks that no live gateway is considered dead while
// the cluster grows beyond a full mesh and shrinks again.
func TestResizeAcrossMeshLimit(t *testing.T) {
	is := is.New(t)
	c := newCluster(14)
	all := maps.Clone(c.members)
	resize := func(n int) {
		c.members = make(map[oriole.GatewayID]oriole.Member)
		for i := range n {
			id := oriole.GatewayID(fmt.Sprintf("vm-%d.a", i))
			c.members[id] = all[id]
		}
		for id := range all {
			_, listed := c.members[id]
			c.down[id] = !listed
		}
		for _, node := range c.nodes {
			node.SetMembers(c.members)
		}
	}
	for _, n := range []int{11, 14, 12, 13, 11, 14} {
		resize(n)
		for id := range c.members {
			for other := range c.members {
				// A new link starts with a heartbeat.
				if other != id {
					c.nodes[id].RecordFrame(c.now, other)
				}
			}
		}
		for range 40 {
			c.run(tick)
			is.Equal(c.misjudgement(), "")
		}
	}
}

// TestUnlistedGatewayHasNotFailed guards against taking a gateway that withdrew its
// entry before it stops for one that has failed.
func TestUnlistedGatewayHasNotFailed(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	node := c.nodes["vm-0.a"]
	c.run(2 * time.Second)
	is.True(!node.Failed("vm-1.a"))
	members := maps.Clone(c.members)
	delete(members, "vm-1.a")
	node.SetMembers(members)
	c.run(2 * time.Second)
	is.True(!node.Alive("vm-1.a"))
	is.True(!node.Failed("vm-1.a"))

	// A later gateway on its VM shows that it has ended.
	members["vm-1.b"] = oriole.Member{ID: "vm-1.b", VM: "vm-1", Zone: "z1"}
	node.SetMembers(members)
	is.True(node.Failed("vm-1.a"))

	c.down["vm-2.a"] = true
	c.run(3 * time.Second)
	is.True(node.Failed("vm-2.a"))
}

// TestRelistedGatewayHasNotFailed guards against taking a gateway for one that has failed
// because the directory did not list it for a moment.
func TestRelistedGatewayHasNotFailed(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	node := c.nodes["vm-0.a"]
	c.run(2 * time.Second)
	without := maps.Clone(c.members)
	delete(without, "vm-1.a")
	node.SetMembers(without)
	node.Tick(c.now)
	node.SetMembers(c.members)
	node.Tick(c.now)
	is.True(!node.Failed("vm-1.a"))
}
