package oriolestate

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

// watchers is a cluster as each of its gateways sees it, in the order in which they
// are elected as the watcher.
type watchers struct {
	clock    *manualClock
	trackers []*Tracker
}

func newWatchers(n int) *watchers {
	w := &watchers{clock: &manualClock{now: time.Unix(1000, 0)}}
	state := oriole.NewClusterState()
	for i := range n {
		m := oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm-%d.1", i)), VM: fmt.Sprintf("vm-%d", i), Zone: "z", Weight: 1}
		state.Gateways[m.ID], state.Alive[m.ID] = m, true
	}
	for _, id := range orioleplacement.RankLeaders(watcherSubject, state.LiveMembers()) {
		t := newTracker(w.clock)
		t.cfg.Self = state.Gateways[id]
		t.current.Store(&snapshot{state: state, replaced: make(chan struct{})})
		w.trackers = append(w.trackers, t)
	}
	return w
}

// reach records that the directory has responded to a gateway, which tells its peers.
func (w *watchers) reach(i int) {
	w.trackers[i].recordResponse()
	for _, t := range w.trackers {
		t.RecordPeerResponse(w.trackers[i].cfg.Self.ID, w.clock.now)
	}
}

// relay records that a gateway has relayed an update to the others.
func (w *watchers) relay(from int) {
	for i, t := range w.trackers {
		if i != from {
			t.RecordRelay()
		}
	}
}

func (w *watchers) roles() (roles []watcherRole) {
	for _, t := range w.trackers {
		roles = append(roles, t.watcherRole())
	}
	return roles
}

// TestGatewayStandsInForWatcherThatIsCutOff guards against leaving gateways without
// the directory's changes when they and the watcher can't reach it, but others can.
func TestGatewayStandsInForWatcherThatIsCutOff(t *testing.T) {
	is := is.New(t)
	w := newWatchers(4)
	w.reach(0)
	w.relay(0)
	is.Equal(w.roles(), []watcherRole{elected, relies, relies, relies})

	// Gateways 0 and 1 are cut off; 2 and 3 call the directory themselves.
	w.clock.now = w.clock.now.Add(watcherLossTimeout + time.Millisecond)
	w.reach(2)
	w.reach(3)
	is.Equal(w.roles(), []watcherRole{elected, relies, standsIn, relies})

	// Once gateway 2 relays, the others rely on it, also when gateway 0 is back.
	w.relay(2)
	is.Equal(w.roles(), []watcherRole{relies, relies, standsIn, relies})
	w.clock.now = w.clock.now.Add(time.Second)
	w.reach(2)
	w.relay(2)
	is.Equal(w.roles(), []watcherRole{relies, relies, standsIn, relies})

	// When it is lost, the elected watcher continues.
	w.clock.now = w.clock.now.Add(watcherLossTimeout + time.Millisecond)
	w.reach(0)
	is.Equal(w.roles()[0], elected)
	is.Equal(w.roles()[3], relies)
}

// TestStandInRelaysListFirst guards against relaying changes that gateways without
// access can't apply, because they have missed those before.
func TestStandInRelaysListFirst(t *testing.T) {
	is := is.New(t)
	w := newWatchers(2)
	w.clock.now = w.clock.now.Add(watcherLossTimeout + time.Millisecond)
	w.reach(1)
	tracker := w.trackers[1]
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var relayed []*oriolemessage.Feed
	tracker.cfg.BroadcastUpdate = func(f *oriolemessage.Feed) {
		relayed = append(relayed, f)
		if len(relayed) == 2 {
			cancel()
		}
	}
	feed := &restoredFeed{version: oriole.Version{Era: 1, Revision: 9}, entries: configChange(3)}
	d := &followDuty[*oriole.Config]{
		tracker: tracker, kind: oriolemessage.KindConfigs, feed: feed, newUpdate: newConfigUpdate,
		encode: (*oriolemessage.Entry).SetConfig, decode: oriolemessage.Entry.ToConfig,
		version: oriole.Version{Era: 1, Revision: 9}, listed: true,
	}
	d.follow(ctx)
	d.follow(ctx)
	is.Equal(feed.lists, 1)
	is.True(relayed[0].Reset)
	is.True(!relayed[1].Reset)
}
