package orioleliveness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

// unheard returns the number of gateways that know that another one does not hear them.
func (c *cluster) unheard() (n int) {
	for id, node := range c.nodes {
		if !c.down[id] && node.Unheard(c.now) {
			n++
		}
	}
	return n
}

// TestUnheardGatewayLearnsOfIt guards against a gateway that goes on with duties which the
// others, who don't hear it, have taken over.
func TestUnheardGatewayLearnsOfIt(t *testing.T) {
	for _, n := range []int{3, 11, 40} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			c := newCluster(n)
			c.run(5 * time.Second)
			is.Equal(c.unheard(), 0)
			const mute = oriole.GatewayID("vm-1.a")
			c.blocked = func(from, _ oriole.GatewayID) bool { return from == mute }
			c.run(orioleliveness.SilenceTimeout + 2*heartbeat)
			is.True(c.nodes[mute].Unheard(c.now))
			is.Equal(c.unheard(), 1)
			c.blocked = func(oriole.GatewayID, oriole.GatewayID) bool { return false }
			c.run(2 * heartbeat)
			is.Equal(c.unheard(), 0)
		})
	}
}

// TestNewGatewayUnhearsNobody guards against giving up duties whenever a gateway starts:
// it has not heard all others yet.
func TestNewGatewayUnhearsNobody(t *testing.T) {
	is := is.New(t)
	c := newCluster(11)
	c.run(5 * time.Second)
	old := oriole.GatewayID("vm-1.a")
	next := oriole.Member{ID: "vm-1.b", VM: "vm-1", Zone: "z1"}
	delete(c.nodes, old)
	delete(c.members, old)
	c.members[next.ID] = next
	c.nodes[next.ID] = orioleliveness.New(c.now, next)
	for _, node := range c.nodes {
		node.SetMembers(c.members)
	}
	// The others open their links to it later.
	opened := c.now.Add(time.Second)
	c.blocked = func(_, to oriole.GatewayID) bool { return to == next.ID && c.now.Before(opened) }
	for range 20 {
		c.run(tick)
		for id, node := range c.nodes {
			is.True(id == next.ID || !node.Unheard(c.now))
		}
	}
}
