package orioleassign

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// newLargeLeader returns a machine that leads a service of the given number of
// upstreams, each with rangesPerUpstream ranges whose leases are granted.
func newLargeLeader(upstreams, rangesPerUpstream int) (m *Machine, now time.Time) {
	now = time.Unix(1_000_000, 0)
	cfg := simConfig
	cfg.Self = oriole.NewGatewayID("vm", now)
	m = New(cfg)
	state := oriole.NewClusterState()
	state.DirectoryLoaded = true
	state.Gateways[cfg.Self], state.Alive[cfg.Self] = oriole.Member{ID: cfg.Self, VM: "vm"}, true
	a := oriole.Assignment{Service: cfg.Service, Term: 1, Seq: 1, Fence: 1, Leader: cfg.Self}
	n := upstreams * rangesPerUpstream
	keys := int(oriole.MaxShardKey) + 1
	for i := range upstreams {
		u := oriole.Upstream{
			ID: oriole.ServerID(fmt.Sprintf("srv%04d", i)), Zone: "z", Service: cfg.Service, StartedAt: now, Slots: 2,
			Addr: netip.MustParseAddrPort("127.0.0.1:1"),
		}
		state.Upstreams[u.ID] = u
	}
	for i := range n {
		owner := state.Upstreams[oriole.ServerID(fmt.Sprintf("srv%04d", i%upstreams))]
		a.Ranges = append(a.Ranges, oriole.Range{
			First: oriole.ShardKey(keys * i / n), Last: oriole.ShardKey(keys*(i+1)/n - 1), Owner: owner.Incarnation(), Fence: 1,
		})
	}
	state.BuildIndex()
	m.SetClusterState(now, state)
	m.TakeEffects()
	m.ReadDone(now, now, a, oriole.Version{Era: 1, Revision: 1}, false, nil)
	for range 4 * rangesPerUpstream {
		for _, e := range m.TakeEffects() {
			if e.Grant != nil {
				m.CallDone(now, e.Grant.ID, Result{Conn: 1})
			}
			if e.Write != nil {
				m.WriteDone(now, now, e.Write.Assignment, oriole.Version{Era: 1, Revision: e.Write.Expected.Revision + 1}, nil)
			}
		}
	}
	return m, now
}

// BenchmarkPass measures a pass over all ranges with the results of the renewals of
// which 10 ms bring one for each upstream that renews every 1.8 s.
func BenchmarkPass(b *testing.B) {
	for _, perUpstream := range []int{1, 3, 8} {
		b.Run(fmt.Sprintf("upstreams=495/ranges=%d", 495*perUpstream), func(b *testing.B) {
			m, now := newLargeLeader(495, perUpstream)
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				m.confirmLeadership(now)
				m.Tick(now)
				for _, e := range m.TakeEffects() {
					if e.Grant != nil {
						m.CallDone(now, e.Grant.ID, Result{Conn: 1})
					}
					if e.Write != nil {
						m.WriteDone(now, now, e.Write.Assignment, oriole.Version{Era: 1, Revision: e.Write.Expected.Revision + 1}, nil)
					}
				}
			}
		})
	}
}

// TestResultsTakeOnePass guards against a leader that is busy with bookkeeping while
// the leases of hundreds of upstreams expire.
func TestResultsTakeOnePass(t *testing.T) {
	m, now := newLargeLeader(495, 3)
	var grants []CallID
	for len(grants) == 0 {
		now = now.Add(50 * time.Millisecond)
		m.confirmLeadership(now)
		m.Tick(now)
		for _, e := range m.TakeEffects() {
			if e.Grant != nil {
				grants = append(grants, e.Grant.ID)
			}
		}
	}
	before := m.Passes()
	for _, id := range grants {
		m.CallDone(now, id, Result{Conn: 1})
	}
	m.TakeEffects()
	if got := m.Passes() - before; got > 1 {
		t.Errorf("%d passes over all ranges for the results of %d renewals, want 1", got, len(grants))
	}
}

// TestIdlePassCopiesNothing guards against passes that collect the owners of all ranges
// although nothing is due.
func TestIdlePassCopiesNothing(t *testing.T) {
	m, now := newLargeLeader(495, 3)
	m.Tick(now)
	m.TakeEffects()
	allocs := testing.AllocsPerRun(50, func() { m.Tick(now) })
	if allocs > 3 {
		t.Errorf("%v allocations in a pass without any due action, want 3 at most", allocs)
	}
}

// TestReleasesArePublishedOnce guards against a leader that sends all gateways a patch for
// each of the hundreds of ranges that an evacuation moves.
func TestReleasesArePublishedOnce(t *testing.T) {
	m, now := newLargeLeader(100, 1)
	draining := oriole.NewClusterState()
	*draining = *m.state.Clone()
	drained := 0
	for id, u := range draining.EditUpstreams() {
		if drained < 20 {
			u.Draining = true
			draining.EditUpstreams()[id] = u
			drained++
		}
	}
	draining.BuildIndex()
	now = now.Add(50 * time.Millisecond)
	m.confirmLeadership(now)
	m.SetClusterState(now, draining)
	var releases []CallID
	for range 3 {
		for _, e := range m.TakeEffects() {
			switch {
			case e.Write != nil:
				m.WriteDone(now, now, e.Write.Assignment, m.version.Next(), nil)
			case e.Release != nil:
				releases = append(releases, e.Release.ID)
			}
		}
	}
	for _, id := range releases {
		m.CallDone(now, id, Result{Handover: "h"})
	}
	published := 0
	for _, e := range m.TakeEffects() {
		if e.Publish != nil {
			published++
		}
	}
	if len(releases) < drained || published != 1 {
		t.Errorf("%d releases, published %d times, want %d at least and once", len(releases), published, drained)
	}
}

// TestLostPriorOwnerGetsFewReleases guards against a leader that is busy with releases of
// each range at upstreams that refuse connections, while others wait for their grants.
func TestLostPriorOwnerGetsFewReleases(t *testing.T) {
	const rangesPerUpstream = 8
	m, now := newLargeLeader(20, rangesPerUpstream)
	state := m.state.Clone()
	lost := state.Upstreams["srv0000"]
	lost.Draining = true
	state.EditUpstreams()[lost.ID] = lost
	state.BuildIndex()
	m.SetClusterState(now, state)
	releases := 0
	const span = 2 * time.Second
	for end := now.Add(span); now.Before(end); now = now.Add(50 * time.Millisecond) {
		m.confirmLeadership(now)
		m.Tick(now)
		for _, e := range m.TakeEffects() {
			switch {
			case e.Write != nil:
				m.WriteDone(now, now, e.Write.Assignment, m.version.Next(), nil)
			case e.Grant != nil:
				m.CallDone(now, e.Grant.ID, Result{Conn: 1})
			case e.Release != nil && e.Release.To.ID != lost.ID:
				m.CallDone(now, e.Release.ID, Result{})
			case e.Release != nil:
				releases++
				m.CallDone(now, e.Release.ID, Result{Err: oriole.ErrConnRefused})
			}
		}
	}
	// One attempt for each range, and then two a second.
	if most := rangesPerUpstream + 2*int(span/time.Second); releases == 0 || releases > most {
		t.Errorf("%d releases of %d ranges in %v to an upstream that refuses them, want %d at most", releases, rangesPerUpstream, span, most)
	}
}
