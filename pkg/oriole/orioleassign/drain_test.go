package orioleassign

import (
	"testing"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestClosedPortOfLeavingUpstreamIsNoEnd guards against giving keys on while requests for
// them run at an upstream that has closed its port to leave, or whose new connections are
// refused by something else.
func TestClosedPortOfLeavingUpstreamIsNoEnd(t *testing.T) {
	for _, test := range []struct {
		name     string
		draining bool
		// failedAgo is the time since a call to the directory has failed.
		failedAgo time.Duration
	}{
		{"drains", true, time.Hour},
		{"directory just back", false, time.Second},
		{"directory up to date", false, time.Hour},
	} {
		x := newTakeover(t)
		release := x.move()
		state := x.old.state.Clone()
		state.DirectoryFailedAt = x.now.Add(-test.failedAgo)
		prior := release.To
		prior.Draining = test.draining
		state.EditUpstreams()[prior.ID] = prior
		x.old.SetClusterState(x.now, state)
		granted := false
		leaseEnd := x.old.leaseExpiry(x.old.leases[0].priorOwners[0].lastSent)
		for !x.now.After(leaseEnd) {
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
		if granted {
			t.Errorf("%s: given on while the lease runs", test.name)
		}
	}
}
