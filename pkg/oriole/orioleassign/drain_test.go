package orioleassign

import (
	"testing"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestClosedPortOfDrainingUpstreamIsNoEnd guards against giving keys on while requests for
// them run at an upstream that has closed its port to leave.
func TestClosedPortOfDrainingUpstreamIsNoEnd(t *testing.T) {
	for _, draining := range []bool{true, false} {
		x := newTakeover(t)
		release := x.move()
		state := x.old.state.Clone()
		prior := release.To
		prior.Draining = draining
		state.EditUpstreams()[prior.ID] = prior
		x.old.SetClusterState(x.now, state)
		granted := false
		for range 2 * downThreshold {
			x.old.CallDone(x.now, release.ID, Result{Err: oriole.ErrConnRefused})
			x.now = x.now.Add(callRetryDelay)
			x.old.confirmLeadership(x.now)
			x.old.Tick(x.now)
			_, _, grants, releases := x.effects(x.old)
			for _, g := range grants {
				granted = granted || (g.Lease.First == release.Lease.First && g.To.ID != prior.ID)
			}
			for _, r := range releases {
				if r.Lease.First == release.Lease.First {
					release = r
				}
			}
		}
		x.Equal(granted, !draining)
	}
}
