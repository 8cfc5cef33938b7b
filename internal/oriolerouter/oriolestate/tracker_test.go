package oriolestate

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// manualClock only advances when a test sets it.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (c *manualClock) Subscribe(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// noDirectory returns nil feeds: the tests apply updates directly.
type noDirectory struct{ oriole.Directory }

func (noDirectory) Configs() oriole.Feed[*oriole.Config]         { return nil }
func (noDirectory) Upstreams() oriole.Feed[oriole.Upstream]      { return nil }
func (noDirectory) EvacuatedZones() oriole.Feed[oriole.ZoneName] { return nil }
func (noDirectory) Gateways() oriole.Feed[oriole.Member]         { return nil }

func newTracker(clock *manualClock) *Tracker {
	return New(Config{
		Self: oriole.Member{ID: "vm.1", VM: "vm"}, Directory: noDirectory{}, Timers: clock,
		Log:               &log.Logger{Handler: discard.New()},
		BroadcastUpdate:   func(*oriolemessage.Feed) {},
		RequestAnnounce:   func() {},
		BroadcastLeaving:  func(oriole.Incarnation) {},
		TellLeaving:       func(oriole.GatewayID, oriole.Incarnation) {},
		RequestAssignment: func(oriole.ServiceName, oriole.GatewayID) {},
		ApplyOverlay:      func(cfg *oriole.Config) *oriole.Config { return cfg },
	}, suture.Spec{})
}

// TestDirectoryReachable checks that a response counts as proof of reachability
// for one second.
func TestDirectoryReachable(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	tracker := newTracker(clock)
	is.True(!tracker.DirectoryReachable())
	d := &followDuty[oriole.ZoneName]{tracker: tracker, kind: "zones"}
	is.True(!d.backOff(context.Background(), nil))
	is.True(tracker.DirectoryReachable())
	clock.now = clock.now.Add(time.Second)
	is.True(tracker.DirectoryReachable())
	clock.now = clock.now.Add(time.Millisecond)
	is.True(!tracker.DirectoryReachable())
}

// TestDirectoryUnreachableAfterClockIsSetBack guards against heartbeats that show
// the directory as reached until the wall clock has caught up.
func TestDirectoryUnreachableAfterClockIsSetBack(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	clock := &manualClock{now: start}
	tracker := newTracker(clock)
	d := &followDuty[oriole.ZoneName]{tracker: tracker, kind: "zones"}
	is.True(!d.backOff(context.Background(), nil))
	is.Equal(*tracker.lastResponse.Load(), start) // with its monotonic reading
	clock.now = start.Round(0).Add(-time.Minute)
	is.Equal(tracker.DirectoryAge(), time.Duration(0))
}

// apply applies updates to a copy of the state.
func apply(tracker *Tracker, state *oriole.ClusterState, updates ...update) *oriole.ClusterState {
	b := newBookkeeping(tracker.cfg)
	b.now = tracker.cfg.Timers.Now()
	state = state.Clone()
	for _, u := range updates {
		u.apply(state, b)
	}
	return state
}

// TestOlderConfigurationIsIgnored guards against a configuration rollback:
// neither an older version, in whatever order it arrives, nor a removal
// replaces the newest one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	version := func(v oriole.ConfigVersion) oriole.Change[*oriole.Config] {
		return oriole.Change[*oriole.Config]{Name: "main", Value: &oriole.Config{Version: v}}
	}
	state := apply(tracker, oriole.NewClusterState(), configUpdate{version(7)}, configUpdate{version(6)},
		configUpdate{{Name: "main", Removed: true}})
	is.Equal(state.Config.Version, oriole.ConfigVersion(7))
	is.Equal(state.ConfigAt, time.Unix(1000, 0))
	is.Equal(apply(tracker, state, configUpdate{version(9), version(8)}).Config.Version, oriole.ConfigVersion(9))
}

// TestStaleUpstreamEntryIsIgnored guards against a directory entry of an
// earlier incarnation, written late, replacing that of a newer one.
func TestStaleUpstreamEntryIsIgnored(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	u := func(startedAt int64) oriole.Change[oriole.Upstream] {
		return oriole.Change[oriole.Upstream]{Name: "u", Value: oriole.Upstream{ID: "u", Service: "s", StartedAt: time.UnixMilli(startedAt)}}
	}
	state := apply(tracker, oriole.NewClusterState(), newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{u(2), u(1)}))
	is.Equal(state.Upstreams["u"].StartedAt.UnixMilli(), int64(2))
	state = apply(tracker, state, newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{u(3)}))
	is.Equal(state.Upstreams["u"].StartedAt.UnixMilli(), int64(3))
	_, departed := state.Departed[oriole.Incarnation{ID: "u", StartedAt: time.UnixMilli(2)}]
	is.True(departed) // kept so that its leases can be released
}

// TestMismatchedPatchRequestsAssignment checks that a patch with another base
// requests the full assignment and leaves the known one unchanged.
func TestMismatchedPatchRequestsAssignment(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	var requestedFrom oriole.GatewayID
	tracker.cfg.RequestAssignment = func(_ oriole.ServiceName, from oriole.GatewayID) { requestedFrom = from }
	a := oriole.Assignment{Service: "s", Term: 2, Seq: 4, Ranges: []oriole.Range{{Last: oriole.MaxShardKey}}}
	state := apply(tracker, oriole.NewClusterState(), assignmentUpdate{a})
	state = apply(tracker, state, patchUpdate{"vm.2", oriole.AssignmentPatch{Service: "s", Term: 2, BaseTerm: 2, BaseSeq: 5, Seq: 6}})
	is.Equal(requestedFrom, oriole.GatewayID("vm.2"))
	is.Equal(state.Assignments["s"].Seq, uint64(4))
	state = apply(tracker, state, patchUpdate{"vm.2", oriole.AssignmentPatch{
		Service: "s", Term: 3, BaseTerm: 2, BaseSeq: 4, Seq: 1, Fence: 9, Leader: "vm.2",
	}})
	is.Equal(state.Assignments["s"].Term, uint64(3))
	is.Equal(state.Assignments["s"].Leader, oriole.GatewayID("vm.2"))
}

// TestRestartedStateDutyRemembers checks that a restart of the state duty neither
// makes the gateway unready nor keeps an upstream that has left in use.
func TestRestartedStateDutyRemembers(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	tracker := newTracker(clock)
	duty := newStateDuty(tracker)
	run := func(updates ...update) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- duty.Serve(ctx) }()
		for _, u := range updates {
			_, replaced := tracker.Watch()
			tracker.enqueue(ctx, u)
			<-replaced
		}
		cancel()
		<-done
	}
	listed := oriole.Change[oriole.Upstream]{Name: "u", Value: oriole.Upstream{ID: "u", Service: "s", StartedAt: time.UnixMilli(1)}}
	run(newUpstreamUpdate(true, []oriole.Change[oriole.Upstream]{listed}), newEvacuationUpdate(true, nil), newGatewayUpdate(true, nil))
	is.True(tracker.Snapshot().DirectoryLoaded)

	// The upstream leaves while calls to the directory fail, so that it is not
	// removed yet.
	run(failureUpdate{}, newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{{Name: "u", Removed: true}}))
	is.True(tracker.Snapshot().DirectoryLoaded)
	is.Equal(len(tracker.Snapshot().Upstreams), 1)
	clock.now = clock.now.Add(removalDelay)
	run(sweepUpdate{})
	is.True(tracker.Snapshot().DirectoryLoaded)
	is.Equal(len(tracker.Snapshot().Upstreams), 0)
}

// TestUpstreamsOfReturningZoneCountAsCold checks that upstreams get no more than
// a cold one may until their entries can show whether they have become cold
// while their zone was evacuated.
func TestUpstreamsOfReturningZoneCountAsCold(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	tracker := newTracker(clock)
	listed := func(name string, zone oriole.ZoneName, cold time.Duration) oriole.Change[oriole.Upstream] {
		return oriole.Change[oriole.Upstream]{Name: name, Value: oriole.Upstream{
			ID: oriole.ServerID(name), Service: "s", Zone: zone, StartedAt: time.UnixMilli(1), ColdRemaining: cold,
		}}
	}
	zone := func(evacuated bool) update {
		return newEvacuationUpdate(false, []oriole.Change[oriole.ZoneName]{{Name: "z1", Value: "z1", Removed: !evacuated}})
	}
	state := apply(tracker, oriole.NewClusterState(), newUpstreamUpdate(true, []oriole.Change[oriole.Upstream]{
		listed("a", "z1", 0), listed("b", "z1", time.Minute), listed("c", "z2", 0),
	}), zone(true), zone(false))
	is.Equal(state.Upstreams["a"].ColdUntil, clock.now.Add(returnColdness))
	is.Equal(state.Upstreams["b"].ColdUntil, clock.now.Add(time.Minute))
	is.True(state.Upstreams["c"].ColdUntil.IsZero())

	// An entry written before it became cold does not end that.
	state = apply(tracker, state, zone(true), zone(false), newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{listed("a", "z1", 0)}))
	is.Equal(state.Upstreams["a"].ColdUntil, clock.now.Add(returnColdness))
	state = apply(tracker, state, zone(true), zone(false), newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{listed("a", "z1", 4*time.Second)}))
	is.Equal(state.Upstreams["a"].ColdUntil, clock.now.Add(4*time.Second))

	// A zone that was not evacuated does not return.
	state = apply(tracker, state, newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{listed("c", "z2", 0)}),
		newEvacuationUpdate(false, []oriole.Change[oriole.ZoneName]{{Name: "z2", Removed: true}}))
	is.True(state.Upstreams["c"].ColdUntil.IsZero())
}

// restoredFeed is the configurations of a directory that was restored: a watch
// from a version of another era must list again.
type restoredFeed struct {
	version oriole.Version
	entries []oriole.Change[*oriole.Config]
	lists   int
	watches int
}

func (f *restoredFeed) List(context.Context) ([]oriole.Change[*oriole.Config], oriole.Version, error) {
	f.lists++
	return f.entries, f.version, nil
}

func (f *restoredFeed) Watch(_ context.Context, after oriole.Version, _ time.Duration) ([]oriole.Change[*oriole.Config], oriole.Version, error) {
	f.watches++
	if after.Era != f.version.Era {
		return nil, after, oriole.ErrHistoryGone
	}
	return nil, f.version, nil
}

// followConfigs returns a duty that has followed the configurations up to a version
// of the first era, and a function that returns the version in force.
func followConfigs(feed oriole.Feed[*oriole.Config]) (d *followDuty[*oriole.Config], inForce func() oriole.ConfigVersion) {
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	d = &followDuty[*oriole.Config]{
		tracker: tracker, kind: oriolemessage.KindConfigs, feed: feed, newUpdate: newConfigUpdate,
		encode: (*oriolemessage.Entry).SetConfig, decode: oriolemessage.Entry.ToConfig, backoff: initialBackoff,
		version: oriole.Version{Era: 1, Revision: 140}, listed: true,
	}
	state := oriole.NewClusterState()
	return d, func() oriole.ConfigVersion {
		for {
			select {
			case u := <-tracker.updates.Out():
				state = apply(tracker, state, u)
			default:
				return state.Config.Version
			}
		}
	}
}

func configChange(version oriole.ConfigVersion) []oriole.Change[*oriole.Config] {
	return []oriole.Change[*oriole.Config]{{Name: "main", Value: &oriole.Config{Version: version}}}
}

func relayedConfig(reset bool, era, prev, version uint64, cfg oriole.ConfigVersion) *oriolemessage.Feed {
	return &oriolemessage.Feed{
		Kind: oriolemessage.KindConfigs, Reset: reset, Era: era, PrevVersion: prev, Version: version,
		Entries: oriolemessage.FromChanges(configChange(cfg), (*oriolemessage.Entry).SetConfig),
	}
}

// TestConfigurationOfRestoredDirectoryTakesEffect guards against dropping the
// watcher's updates because the directory's revisions went back.
func TestConfigurationOfRestoredDirectoryTakesEffect(t *testing.T) {
	is := is.New(t)
	d, inForce := followConfigs(&restoredFeed{})
	ctx := context.Background()
	d.applyRelayed(ctx, relayedConfig(true, 2, 140, 131, 12))
	is.Equal(inForce(), oriole.ConfigVersion(12))
	d.applyRelayed(ctx, relayedConfig(false, 2, 131, 133, 14))
	is.Equal(inForce(), oriole.ConfigVersion(14))
	// An update that the watcher relayed before the restore is older.
	d.applyRelayed(ctx, relayedConfig(false, 1, 140, 145, 13))
	is.Equal(d.version, oriole.Version{Era: 2, Revision: 133})
}

// TestMissedRestoreListsAgain guards against missing the changes of a directory that
// was restored while its revisions have passed the known one again.
func TestMissedRestoreListsAgain(t *testing.T) {
	is := is.New(t)
	feed := &restoredFeed{version: oriole.Version{Era: 2, Revision: 150}, entries: configChange(14)}
	d, inForce := followConfigs(feed)
	ctx := context.Background()
	d.applyRelayed(ctx, relayedConfig(false, 2, 149, 150, 13))
	is.True(!d.listed)
	is.Equal(feed.watches, 0) // a watch from the old revision could wait for its whole timeout
	d.list(ctx)
	is.Equal(feed.lists, 1)
	is.Equal(inForce(), oriole.ConfigVersion(14))
	is.Equal(d.version, feed.version)
}

// restoredTracker applies updates to one state, at a clock that the test advances.
type restoredTracker struct {
	clock     *manualClock
	b         *bookkeeping
	state     *oriole.ClusterState
	announced int
}

func newRestoredTracker() *restoredTracker {
	r := &restoredTracker{clock: &manualClock{now: time.Unix(1000, 0)}, state: oriole.NewClusterState()}
	tracker := newTracker(r.clock)
	tracker.cfg.RequestAnnounce = func() { r.announced++ }
	r.b = newBookkeeping(tracker.cfg)
	return r
}

func (r *restoredTracker) apply(updates ...update) {
	r.b.now = r.clock.now
	r.state = r.state.Clone()
	for _, u := range updates {
		u.apply(r.state, r.b)
	}
}

// after advances the clock and sweeps.
func (r *restoredTracker) after(d time.Duration) {
	r.clock.now = r.clock.now.Add(d)
	r.apply(sweepUpdate{})
}

func upstreamEntry(name string, draining bool) oriole.Change[oriole.Upstream] {
	return oriole.Change[oriole.Upstream]{Name: name, Value: oriole.Upstream{
		ID: oriole.ServerID(name), Service: "s", Zone: "z1", StartedAt: time.UnixMilli(1), Draining: draining,
	}}
}

func upstreamList(entries ...oriole.Change[oriole.Upstream]) update {
	return newUpstreamUpdate(true, entries)
}

// TestUpstreamThatLeftStaysOutAfterRestore guards against sending requests to an
// upstream because a restored directory lists it as it was before it left.
func TestUpstreamThatLeftStaysOutAfterRestore(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	r.apply(upstreamList(upstreamEntry("gone", false), upstreamEntry("drains", true), upstreamEntry("stays", false), upstreamEntry("back", false)))
	r.after(removalDelay)
	removed := func(name string) oriole.Change[oriole.Upstream] {
		return oriole.Change[oriole.Upstream]{Name: name, Removed: true}
	}
	r.apply(newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{removed("gone"), removed("back")}))
	is.Equal(len(r.state.Upstreams), 2)

	r.after(10 * time.Second)
	r.apply(restoredUpdate{oriolemessage.KindUpstreams}, upstreamList(
		upstreamEntry("gone", false), upstreamEntry("drains", false), upstreamEntry("stays", false), upstreamEntry("back", false)))
	is.True(r.state.Upstreams["drains"].Draining)
	is.True(!r.state.Upstreams["stays"].Draining)
	is.Equal(len(r.state.Upstreams), 2)
	// One that writes its entry again is there.
	r.apply(newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{upstreamEntry("back", false)}))
	is.Equal(len(r.state.Upstreams), 3)
	r.apply(newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{removed("gone")}))
	r.after(restoredHold)
	is.Equal(len(r.state.Upstreams), 3)
}

// TestUpstreamListedAfterHoldIsUsed checks that an upstream which is still listed
// after the others have expired is used again.
func TestUpstreamListedAfterHoldIsUsed(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	r.apply(upstreamList(upstreamEntry("u", false)))
	r.after(removalDelay)
	r.apply(upstreamList())
	is.Equal(len(r.state.Upstreams), 0)
	r.apply(restoredUpdate{oriolemessage.KindUpstreams}, upstreamList(upstreamEntry("u", false)))
	is.Equal(len(r.state.Upstreams), 0)
	r.after(restoredHold)
	is.Equal(len(r.state.Upstreams), 1)
}

// TestUpstreamMissingFromRestoredDirectoryIsKept guards against dropping an upstream
// that joined after the copy was taken, before it writes its entry again.
func TestUpstreamMissingFromRestoredDirectoryIsKept(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	r.apply(upstreamList(upstreamEntry("u", false)))
	r.after(10 * time.Second)
	r.apply(restoredUpdate{oriolemessage.KindUpstreams}, upstreamList())
	is.Equal(len(r.state.Upstreams), 1)
	r.after(removalDelay)
	is.Equal(len(r.state.Upstreams), 0)
}

// TestEvacuationOutlivesRestore guards against sending requests to an evacuated zone
// before the operator's entry is written again.
func TestEvacuationOutlivesRestore(t *testing.T) {
	is := is.New(t)
	zone := oriole.Change[oriole.ZoneName]{Name: "z1", Value: "z1"}
	r := newRestoredTracker()
	r.apply(upstreamList(upstreamEntry("u", false)), newEvacuationUpdate(true, nil), newEvacuationUpdate(false, []oriole.Change[oriole.ZoneName]{zone}))
	r.after(10 * time.Second)
	r.apply(restoredUpdate{oriolemessage.KindZones}, newEvacuationUpdate(true, nil))
	is.True(r.state.Evacuated["z1"])
	r.apply(newEvacuationUpdate(false, []oriole.Change[oriole.ZoneName]{zone}))
	r.after(restoredHold)
	is.True(r.state.Evacuated["z1"])

	// An evacuation that isn't written again has ended.
	r.apply(restoredUpdate{oriolemessage.KindZones}, newEvacuationUpdate(true, nil))
	r.after(restoredHold)
	is.True(!r.state.Evacuated["z1"])
	is.Equal(r.state.Upstreams["u"].ColdUntil, r.clock.now.Add(returnColdness))
}

// TestGatewaysOutliveRestore guards against forgetting live gateways, this one among
// them, because a restored directory lacks their entries.
func TestGatewaysOutliveRestore(t *testing.T) {
	is := is.New(t)
	member := func(vm string, run int64) oriole.Member {
		return oriole.Member{ID: oriole.NewGatewayID(vm, time.Unix(run, 0)), VM: vm, Zone: "z1"}
	}
	change := func(m oriole.Member) oriole.Change[oriole.Member] {
		return oriole.Change[oriole.Member]{Name: m.VM, Value: m}
	}
	old, next, draining := member("a", 1), member("a", 2), member("b", 1)
	dead := member("c", 1)
	r := newRestoredTracker()
	r.apply(newGatewayUpdate(true, []oriole.Change[oriole.Member]{change(next), change(draining), change(dead), change(r.b.cfg.Self)}))
	draining.Draining = true
	r.apply(peerUpdate{draining}, livenessUpdate{alive: map[oriole.GatewayID]bool{next.ID: true, draining.ID: true}})
	is.Equal(r.announced, 0)

	r.apply(restoredUpdate{oriolemessage.KindGateways}, newGatewayUpdate(true, []oriole.Change[oriole.Member]{change(old), change(member("b", 1))}))
	is.Equal(r.announced, 1)
	_, found := r.state.Gateways[old.ID]
	is.True(!found)
	is.Equal(r.state.Gateways[next.ID], next)
	is.True(r.state.Gateways[draining.ID].Draining)
	r.after(restoredHold)
	is.Equal(len(r.state.Gateways), 3) // this one included

	r.apply(restoredUpdate{oriolemessage.KindGateways}, newGatewayUpdate(true, []oriole.Change[oriole.Member]{change(next), change(r.b.cfg.Self)}))
	is.Equal(r.announced, 1)
}

// TestDrainingGatewayStaysDraining guards against using a gateway that drains as a
// dispatcher or leader again, because of its directory entry or of a late frame.
func TestDrainingGatewayStaysDraining(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	peer, self := oriole.Member{ID: "peer.1", VM: "peer"}, tracker.cfg.Self
	entry := []oriole.Change[oriole.Member]{{Name: "peer", Value: peer}}
	state := apply(tracker, oriole.NewClusterState(), newGatewayUpdate(true, entry))
	drainingPeer, drainingSelf := peer, self
	drainingPeer.Draining, drainingSelf.Draining = true, true
	state = apply(tracker, state, peerUpdate{drainingPeer}, peerUpdate{drainingSelf})
	for _, u := range []update{newGatewayUpdate(false, entry), newGatewayUpdate(true, entry), peerUpdate{peer}, peerUpdate{self}} {
		state = apply(tracker, state, u)
		is.True(state.Gateways[peer.ID].Draining)
		is.True(state.Gateways[self.ID].Draining)
	}
	next := oriole.Member{ID: "peer.2", VM: "peer"}
	state = apply(tracker, state, newGatewayUpdate(false, []oriole.Change[oriole.Member]{{Name: "peer", Value: next}}))
	is.True(!state.Gateways[next.ID].Draining)
	_, listed := state.Gateways[peer.ID]
	is.True(!listed)
}

// TestHeldUpstreamOfEarlierListStaysOut guards against using an upstream that left because
// the first of two lists after a restore had it.
func TestHeldUpstreamOfEarlierListStaysOut(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	r.apply(upstreamList(upstreamEntry("u", false)))
	r.after(removalDelay)
	r.apply(upstreamList())
	r.apply(restoredUpdate{oriolemessage.KindUpstreams}, upstreamList(upstreamEntry("u", false)), upstreamList())
	r.after(restoredHold)
	is.Equal(len(r.state.Upstreams), 0)
}

// TestWithdrawnGatewayStaysDraining guards against using a gateway that is being stopped
// because a restored directory lists it again.
func TestWithdrawnGatewayStaysDraining(t *testing.T) {
	is := is.New(t)
	peer := oriole.Member{ID: "peer.1", VM: "peer"}
	entry := []oriole.Change[oriole.Member]{{Name: "peer", Value: peer}}
	for _, withdrawn := range []update{newGatewayUpdate(false, []oriole.Change[oriole.Member]{{Name: "peer", Removed: true}}), newGatewayUpdate(true, nil)} {
		r := newRestoredTracker()
		r.apply(newGatewayUpdate(true, entry))
		draining := peer
		draining.Draining = true
		r.apply(peerUpdate{draining}, withdrawn)
		is.Equal(len(r.state.Gateways), 1)
		r.apply(restoredUpdate{oriolemessage.KindGateways}, newGatewayUpdate(true, entry))
		is.True(r.state.Gateways[peer.ID].Draining)
	}
}

// TestLostEntryIsRegisteredAgain guards against a gateway that stays unlisted because its
// entry was lost before its first list, and one that stays listed although it drains.
func TestLostEntryIsRegisteredAgain(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	r.apply(newGatewayUpdate(true, nil))
	is.Equal(r.announced, 1)

	self := r.b.cfg.Self
	self.Draining = true
	r.apply(peerUpdate{self}, newGatewayUpdate(true, nil))
	is.Equal(r.announced, 1)
	r.apply(restoredUpdate{oriolemessage.KindGateways}, newGatewayUpdate(true, []oriole.Change[oriole.Member]{{Name: self.VM, Value: r.b.cfg.Self}}))
	is.Equal(r.announced, 2)
}
