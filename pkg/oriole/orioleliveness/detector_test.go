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

// net connects failure detectors by heartbeats that arrive immediately.
type net struct {
	now     time.Time
	members map[oriole.GatewayID]oriole.Member
	nodes   map[oriole.GatewayID]*orioleliveness.Detector
	down    map[oriole.GatewayID]bool
	blocked func(from, to oriole.GatewayID) bool
	sent    int
}

func newNet(n int) *net {
	w := &net{
		now: time.Unix(1000, 0), members: make(map[oriole.GatewayID]oriole.Member),
		nodes: make(map[oriole.GatewayID]*orioleliveness.Detector), down: make(map[oriole.GatewayID]bool),
		blocked: func(oriole.GatewayID, oriole.GatewayID) bool { return false },
	}
	for i := range n {
		id := oriole.GatewayID(fmt.Sprintf("vm-%d.a", i))
		w.members[id] = oriole.Member{ID: id, VM: id.VM(), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%4))}
	}
	for id, m := range w.members {
		w.nodes[id] = orioleliveness.New(w.now, m)
		w.nodes[id].SetMembers(w.members)
		for other := range w.members {
			// A new link starts with a heartbeat.
			w.nodes[id].RecordFrame(w.now, other)
		}
	}
	return w
}

func (w *net) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(tick) {
		for id, node := range w.nodes {
			if !w.down[id] {
				node.Tick(w.now)
			}
		}
		if w.now.UnixMilli()%heartbeat.Milliseconds() == 0 {
			w.heartbeat()
		}
	}
}

func (w *net) heartbeat() {
	for from, node := range w.nodes {
		if w.down[from] {
			continue
		}
		monitor, unreachable := node.Report(w.now)
		for to, other := range w.nodes {
			if to == from || w.down[to] || !node.ShouldHeartbeat(to) || w.blocked(from, to) {
				continue
			}
			w.sent++
			other.RecordFrame(w.now, from)
			other.RecordReport(from, monitor, unreachable)
		}
	}
}

// wrongVerdict returns the first gateway that considers a failed one alive, or
// the reverse.
func (w *net) wrongVerdict() string {
	for id, node := range w.nodes {
		if w.down[id] {
			continue
		}
		for other := range w.members {
			if other != id && node.Alive(other) == w.down[other] {
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
			w := newNet(n)
			for range 50 {
				w.run(tick)
				is.Equal(w.wrongVerdict(), "") // from the start
			}
			failed := oriole.GatewayID("vm-1.a")
			w.down[failed] = true
			w.run(2 * orioleliveness.SilenceTimeout)
			is.Equal(w.wrongVerdict(), "")
		})
	}
}

// TestHeartbeatsGrowLinearly checks that the number of heartbeats grows with
// the number of gateways, not with its square.
func TestHeartbeatsGrowLinearly(t *testing.T) {
	is := is.New(t)
	w := newNet(86)
	w.run(10 * time.Second)
	w.sent = 0
	w.run(10 * time.Second)
	perGateway := float64(w.sent) / 86 / (10 / heartbeat.Seconds())
	t.Logf("%.1f heartbeats per gateway and interval", perGateway)
	is.True(perGateway < 7)
}

// TestMonitorsAreReplaced checks that the loss of all monitors at once makes no
// other gateway look dead while new monitors take over.
func TestMonitorsAreReplaced(t *testing.T) {
	is := is.New(t)
	w := newNet(40)
	w.run(8 * time.Second)
	for id, node := range w.nodes {
		if monitor, _ := node.Report(w.now); monitor {
			w.down[id] = true
		}
	}
	is.Equal(len(w.down), 3)
	for range 60 {
		w.run(tick)
		for id, node := range w.nodes {
			for other := range w.members {
				if !w.down[id] && !w.down[other] && other != id {
					is.True(node.Alive(other))
				}
			}
		}
	}
	is.Equal(w.wrongVerdict(), "")
}

// TestZoneFailure checks that the gateways of the other zones stay alive when a
// zone fails that may hold a monitor, and that the zone is detected again.
func TestZoneFailure(t *testing.T) {
	is := is.New(t)
	w := newNet(40)
	w.run(8 * time.Second)
	for id, m := range w.members {
		w.down[id] = m.Zone == "z1"
	}
	w.run(4 * time.Second)
	is.Equal(w.wrongVerdict(), "")
	for id := range w.members {
		w.down[id] = false
	}
	w.run(4 * time.Second)
	is.Equal(w.wrongVerdict(), "")
}

// TestPartition checks that each side of a partition considers only the other
// side dead, and that both recover when it heals.
func TestPartition(t *testing.T) {
	is := is.New(t)
	w := newNet(40)
	w.run(8 * time.Second)
	side := func(id oriole.GatewayID) bool { return w.members[id].Zone < "z2" }
	w.blocked = func(from, to oriole.GatewayID) bool { return side(from) != side(to) }
	w.run(10 * time.Second)
	for id, node := range w.nodes {
		for other := range maps.Keys(w.members) {
			if other != id {
				is.Equal(node.Alive(other), side(id) == side(other))
			}
		}
	}
	w.blocked = func(oriole.GatewayID, oriole.GatewayID) bool { return false }
	// A reopened link starts with a heartbeat each way.
	for id, node := range w.nodes {
		for other := range w.members {
			if other != id {
				node.RecordFrame(w.now, other)
			}
		}
	}
	w.run(8 * time.Second)
	is.Equal(w.wrongVerdict(), "")
}

// TestResizeAcrossMeshLimit checks that no live gateway looks dead while the
// cluster grows beyond a full mesh and shrinks again.
func TestResizeAcrossMeshLimit(t *testing.T) {
	is := is.New(t)
	w := newNet(14)
	all := maps.Clone(w.members)
	list := func(n int) {
		w.members = make(map[oriole.GatewayID]oriole.Member)
		for i := range n {
			id := oriole.GatewayID(fmt.Sprintf("vm-%d.a", i))
			w.members[id] = all[id]
		}
		for id := range all {
			_, listed := w.members[id]
			w.down[id] = !listed
		}
		for _, node := range w.nodes {
			node.SetMembers(w.members)
		}
	}
	for _, n := range []int{11, 14, 12, 13, 11, 14} {
		list(n)
		for id := range w.members {
			for other := range w.members {
				// A new link starts with a heartbeat.
				if other != id {
					w.nodes[id].RecordFrame(w.now, other)
				}
			}
		}
		for range 40 {
			w.run(tick)
			is.Equal(w.wrongVerdict(), "")
		}
	}
}
