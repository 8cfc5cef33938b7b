package oriolerouter

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestWantedLinks checks that a gateway keeps links with the dispatchers, also
// with those that are lost, and with the leaders; in a small cluster with all.
func TestWantedLinks(t *testing.T) {
	is := is.New(t)
	state := oriole.NewClusterState()
	alive := make(map[oriole.GatewayID]bool)
	for i := range 30 {
		m := oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm%d.1", i)), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%2)), Weight: 0.16}
		if i < 8 {
			m.Weight = 0.8
		}
		state.EditGateways()[m.ID] = m
		alive[m.ID] = true
	}
	state.SetAlive(alive)
	is.Equal(len(wantedLinks(state)), 8)

	delete(alive, "vm0.1")
	state.SetAssignment(&oriole.Assignment{Service: "s", Leader: "vm20.1"}, state.ConfigAt)
	wanted := wantedLinks(state)
	is.Equal(len(wanted), 9)
	is.Equal(wanted["vm0.1"].Weight, 0.8)
	is.Equal(wanted["vm20.1"].Weight, 0.16)

	for i := 12; i < 30; i++ {
		delete(state.EditGateways(), oriole.GatewayID(fmt.Sprintf("vm%d.1", i)))
	}
	is.Equal(len(wantedLinks(state)), 12)
}
