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
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolerevocation"
)

// sentFrame is a frame that a gateway has sent.
type sentFrame struct {
	to    oriole.GatewayID
	frame *oriolemessage.Frame
}

// confirmedGateway is a tracker with a revocation bound and one peer that is preferred as
// the watcher. Its duties run one step at a time.
type confirmedGateway struct {
	*Tracker
	clock   *manualClock
	state   *stateDuty
	confirm *confirmDuty
	sent    []sentFrame
	peer    oriole.GatewayID
}

func newConfirmedGateway(t *testing.T) *confirmedGateway {
	t.Helper()
	g := &confirmedGateway{clock: &manualClock{now: time.Unix(1000, 0)}, peer: "peer.1"}
	g.Tracker = New(Config{
		Self: oriole.Member{ID: "vm.1", VM: "vm", Weight: 1}, Directory: noDirectory{}, Timers: g.clock, Log: &log.Logger{Handler: discard.New()},
		ApplyOverlay:    func(cfg *oriole.Config) *oriole.Config { return cfg },
		BroadcastUpdate: func(*oriolemessage.Feed) {},
		RevocationBound: 5 * time.Second,
		SendFrame: func(to oriole.GatewayID, frame *oriolemessage.Frame) bool {
			g.sent = append(g.sent, sentFrame{to, frame})
			return true
		},
	}, suture.Spec{})
	g.state, g.confirm = newStateDuty(g.Tracker), &confirmDuty{g.Tracker, g.confirmation}
	g.apply(peerUpdate{oriole.Member{ID: g.peer, VM: "peer", Weight: 2}}, livenessUpdate{alive: map[oriole.GatewayID]bool{"vm.1": true, g.peer: true}})
	if ranked := orioleplacement.RankLeaders(watcherSubject, g.Snapshot().LiveMembers()); ranked[0] != g.peer {
		t.Fatalf("%s is the watcher", ranked[0])
	}
	return g
}

// apply has the state duty apply the updates and those that are queued.
func (g *confirmedGateway) apply(updates ...update) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, u := range updates {
		g.enqueue(ctx, u)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = g.state.Serve(ctx)
	}()
	for g.updates.Len() > 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-served
}

func keyedConfig(version oriole.ConfigVersion) []oriole.Change[*oriole.Config] {
	return []oriole.Change[*oriole.Config]{{Name: "main", Value: &oriole.Config{Version: version, Keyed: true}}}
}

// query returns the number of the query that the gateway sends at its next step, or 0.
func (g *confirmedGateway) query() uint64 {
	g.sent = nil
	g.confirm.step(false)
	for _, s := range g.sent {
		if s.frame.ConfirmationRequest != nil && s.to == g.peer {
			return s.frame.ConfirmationRequest.Number
		}
	}
	return 0
}

// TestCallConfirmsOncePublished guards against a confirmation that precedes the changes of
// its call, and against a new state for each call that returns none.
func TestCallConfirmsOncePublished(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	startedAt := g.clock.now
	g.clock.now = g.clock.now.Add(time.Second)
	g.apply(newConfigUpdate(true, keyedConfig(7)))
	is.True(!g.Confirmed())
	g.apply(callUpdate{startedAt})
	is.True(g.Confirmed())
	is.Equal(g.Snapshot().Config.Version, oriole.ConfigVersion(7))
	g.confirm.step(false)
	age, confirmed := g.ConfirmationAge()
	is.True(confirmed)
	is.Equal(age, time.Second)

	seq := g.Snapshot().Seq
	g.apply(callUpdate{g.clock.now})
	is.Equal(g.Snapshot().Seq, seq)
	age, _ = g.ConfirmationAge()
	is.Equal(age, time.Duration(0))
}

// TestCallWhoseChangesAreLostConfirmsNothing guards against a confirmation of the earlier
// configuration by a call whose changes the state duty lost in a failure.
func TestCallWhoseChangesAreLostConfirmsNothing(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	g.apply(newConfigUpdate(true, keyedConfig(7)))
	lost := oriole.NewClusterState()
	newConfigUpdate(false, keyedConfig(8)).apply(lost, g.state.bookkeeping)
	g.apply(callUpdate{g.clock.now})
	is.True(!g.Confirmed())
}

// TestUndecodableConfigurationConfirmsNothing guards against a gateway that takes the last
// good configuration for the newest while the directory holds one that can't be decoded or
// none, until a good one replaces it; in a watch or a list of its own or in a relayed update.
func TestUndecodableConfigurationConfirmsNothing(t *testing.T) {
	undecodable := []oriole.Change[*oriole.Config]{{Name: "main", Removed: true}}
	for _, test := range []struct {
		name string
		bad  update
	}{
		{"watch", newConfigUpdate(false, undecodable)},
		{"list", newConfigUpdate(true, undecodable)},
		{"empty list", newConfigUpdate(true, nil)},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			g := newConfirmedGateway(t)
			g.apply(newConfigUpdate(true, keyedConfig(7)), test.bad, callUpdate{g.clock.now})
			is.True(!g.Confirmed())
			g.apply(callUpdate{g.clock.now}) // the next watch returns no change
			is.True(!g.Confirmed())
			g.apply(newConfigUpdate(false, keyedConfig(8)), callUpdate{g.clock.now})
			is.True(g.Confirmed())
		})
	}
}

// TestOlderConfigurationOfRestoredDirectoryConfirmsNothing guards against a confirmation
// while the directory came back from an older copy: a change that is made there next may
// have a version which gateways ignore.
func TestOlderConfigurationOfRestoredDirectoryConfirmsNothing(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	g.apply(newConfigUpdate(true, keyedConfig(7)), newConfigUpdate(true, keyedConfig(6)), callUpdate{g.clock.now})
	is.True(!g.Confirmed())
	g.apply(newConfigUpdate(false, keyedConfig(7)), callUpdate{g.clock.now})
	is.True(g.Confirmed())
}

// TestPeerAfterRestoreConfirmsNothing guards against the same by the reply of a peer that has
// started since, and so uses the older configuration.
func TestPeerAfterRestoreConfirmsNothing(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	g.apply(newConfigUpdate(true, keyedConfig(7)))
	is.True(g.query() > 0)
	g.apply(newConfigUpdate(true, keyedConfig(6)))
	g.clock.now = g.clock.now.Add(time.Second)
	number := g.query()
	is.True(number > 0)
	g.HandleConfirmation(g.peer, oriolerevocation.Reply{Number: number, Version: 6, Confirmed: true})
	is.True(!g.Confirmed())
}

// TestRelayedConfigurationConfirmsNothing guards against a gateway that takes a relayed
// configuration for the newest, and checks that the watcher's reply confirms it.
func TestRelayedConfigurationConfirmsNothing(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	d := &followDuty[*oriole.Config]{
		tracker: g.Tracker, kind: oriolemessage.KindConfigs, newUpdate: newConfigUpdate,
		encode: (*oriolemessage.Entry).SetConfig, decode: oriolemessage.Entry.ToConfig, refresh: g.confirmation.refresh,
	}
	d.applyRelayed(context.Background(), &oriolemessage.Feed{
		Kind: oriolemessage.KindConfigs, Reset: true, Version: 3,
		Entries: oriolemessage.FromChanges(keyedConfig(7), (*oriolemessage.Entry).SetConfig),
	})
	g.apply()
	is.Equal(g.Snapshot().Config.Version, oriole.ConfigVersion(7))
	is.True(!g.Confirmed())

	number := g.query()
	is.True(number > 0)
	g.clock.now = g.clock.now.Add(time.Second)
	g.HandleConfirmation(g.peer, oriolerevocation.Reply{Number: number, Version: 7, Age: time.Second, Confirmed: true})
	age, confirmed := g.ConfirmationAge()
	is.True(confirmed)
	is.Equal(age, 2*time.Second)
}

// TestFramesOnlyWhileConfirmationIsNeeded guards against frames that peers of earlier builds
// reject, while the configuration has no workspaces.
func TestFramesOnlyWhileConfirmationIsNeeded(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	g.apply(newConfigUpdate(true, configChange(7)), callUpdate{g.clock.now})
	is.Equal(g.query(), uint64(0))
	g.HandleConfirmationRequest(g.peer, &oriolemessage.ConfirmationRequest{Number: 3})
	is.Equal(len(g.sent), 0)
	_, needed := g.ConfirmationAge()
	is.True(!needed)

	g.clock.now = g.clock.now.Add(time.Second)
	g.apply(newConfigUpdate(false, keyedConfig(8)), callUpdate{g.clock.now})
	is.True(g.query() > 0)
	g.sent = nil
	g.HandleConfirmationRequest(g.peer, &oriolemessage.ConfirmationRequest{Number: 3})
	is.Equal(*g.sent[0].frame.Confirmation, oriolemessage.Confirmation{Number: 3, Version: 8, Age: 0})
}

// TestNoBound guards against a gateway without a revocation bound that rejects requests,
// replies to queries or records calls.
func TestNoBound(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	is.True(tracker.Confirmed())
	tracker.HandleConfirmationRequest("peer.1", &oriolemessage.ConfirmationRequest{Number: 3})
	tracker.HandleConfirmation("peer.1", oriolerevocation.Reply{Number: 3})
	d, _ := followConfigs(&restoredFeed{version: oriole.Version{Era: 1, Revision: 140}})
	d.watch(context.Background())
	is.Equal(d.tracker.updates.Len(), 0)
}

// silentFeed is a directory that does not respond.
type silentFeed struct{ calls int }

func (f *silentFeed) List(ctx context.Context) ([]oriole.Change[*oriole.Config], oriole.Version, error) {
	return nil, oriole.Version{}, f.hang(ctx)
}

func (f *silentFeed) Watch(ctx context.Context, after oriole.Version, _ time.Duration) ([]oriole.Change[*oriole.Config], oriole.Version, error) {
	return nil, after, f.hang(ctx)
}

func (f *silentFeed) hang(ctx context.Context) error {
	f.calls++
	<-ctx.Done()
	return ctx.Err()
}

// TestRelayedUpdatesGoBeforeCalls guards against a gateway that is kept from the watcher's
// updates by calls to a silent directory: it would neither apply a change nor be confirmed.
func TestRelayedUpdatesGoBeforeCalls(t *testing.T) {
	is := is.New(t)
	g := newConfirmedGateway(t)
	g.apply(newConfigUpdate(true, keyedConfig(7)))
	g.confirm.step(false)
	feed := &silentFeed{}
	d := &followDuty[*oriole.Config]{
		tracker: g.Tracker, kind: oriolemessage.KindConfigs, watchTimeout: defaultWatchTimeout, feed: feed, newUpdate: newConfigUpdate,
		relayed: g.relayed[oriolemessage.KindConfigs], encode: (*oriolemessage.Entry).SetConfig, decode: oriolemessage.Entry.ToConfig,
		refresh: g.confirmation.refresh, listed: true, version: oriole.Version{Era: 1, Revision: 140},
	}
	const updates = 20
	for i := range uint64(updates) {
		g.HandleDirectoryUpdate(relayedConfig(false, 1, 140+i, 141+i, oriole.ConfigVersion(8+i)))
	}
	g.confirmation.refresh <- struct{}{}
	d.follow(context.Background())
	is.Equal(feed.calls, 0)
	is.Equal(d.version.Revision, uint64(140+updates))

	// Updates that can't be applied are not tried one by one before a list.
	for i := range uint64(updates) {
		g.HandleDirectoryUpdate(relayedConfig(false, 1, 200+i, 201+i, oriole.ConfigVersion(40+i)))
	}
	g.HandleDirectoryUpdate(relayedConfig(true, 1, 220, 221, 60))
	d.follow(context.Background())
	is.Equal(feed.calls, 0)
	is.Equal(d.version.Revision, uint64(221))
	d.follow(context.Background())
	is.Equal(feed.calls, 1)
	d.follow(canceled()) // no pause and no further call are due
	is.Equal(feed.calls, 1)
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
