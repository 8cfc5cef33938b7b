package oriole_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestClusterStateIsCopiedOnWrite checks that changes of a clone do not show in
// the published state, and that lookups of the clone follow them.
func TestClusterStateIsCopiedOnWrite(t *testing.T) {
	is := is.New(t)
	state := oriole.NewClusterState()
	state.EditUpstreams()["i-1"] = oriole.Upstream{ID: "i-1", Service: "s", Zone: "z"}
	state.EditGateways()["vm1.1"] = oriole.Member{ID: "vm1.1"}
	state.SetAlive(map[oriole.GatewayID]bool{"vm1.1": true})
	state.SetAssignment(&oriole.Assignment{Service: "s", Seq: 1}, time.Unix(1, 0))
	state.BuildIndex()

	next := state.Clone()
	next.SetAssignment(&oriole.Assignment{Service: "s", Seq: 2}, time.Unix(2, 0))
	next.BuildIndex()
	is.Equal(state.Assignments["s"].Seq, uint64(1))
	is.Equal(next.Assignments["s"].Seq, uint64(2))
	is.True(&next.LiveMembers()[0] == &state.LiveMembers()[0]) // not computed again

	next = next.Clone()
	next.EditUpstreams()["i-2"] = oriole.Upstream{ID: "i-2", Service: "s", Zone: "z"}
	next.EditGateways()["vm2.1"] = oriole.Member{ID: "vm2.1"}
	is.Equal(len(next.UsableUpstreams("s")), 2) // before it is published
	next.BuildIndex()
	is.Equal(len(next.UsableUpstreams("s")), 2)
	is.Equal(len(next.LiveMembers()), 1)
	next = next.Clone()
	next.SetAlive(map[oriole.GatewayID]bool{"vm1.1": true, "vm2.1": true})
	next.EditEvacuated()["z"] = true
	next.EditDeparted()[oriole.Incarnation{ID: "i-0"}] = oriole.Upstream{ID: "i-0"}
	next.EditLeaving()["vm0.1"] = oriole.LeavingGateway{}
	next.BuildIndex()
	is.Equal(len(next.LiveMembers()), 2)
	is.Equal(len(next.UsableUpstreams("s")), 0)

	is.Equal(len(state.UsableUpstreams("s")), 1)
	is.Equal(len(state.LiveMembers()), 1)
	is.Equal(len(state.Departed), 0)
	is.Equal(len(state.Leaving), 0)
}
