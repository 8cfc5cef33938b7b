package oriolestate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

func incarnationOf(name string, startedAt int64) oriole.Incarnation {
	return oriole.Incarnation{ID: oriole.ServerID(name), StartedAt: time.UnixMilli(startedAt)}
}

// TestDrainOutlivesOlderWord guards against using an upstream that has stated that it
// leaves because the store, a restored copy of it or a peer lists it as ready.
func TestDrainOutlivesOlderWord(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	told := 0
	r.b.cfg.BroadcastLeaving = func(oriole.Incarnation) { told++ }
	r.apply(upstreamList(upstreamEntry("u", false), upstreamEntry("v", false)))
	r.apply(leavingUpdate{incarnation: incarnationOf("u", 1)}, leavingUpdate{incarnation: incarnationOf("u", 1)})
	is.True(!r.state.Usable(r.state.Upstreams["u"]))
	is.True(r.state.Usable(r.state.Upstreams["v"]))
	is.Equal(told, 1)
	r.apply(upstreamList(upstreamEntry("u", false), upstreamEntry("v", false)))
	is.True(!r.state.Usable(r.state.Upstreams["u"]))

	// Its entry expires and comes back, also long after.
	r.after(removalDelay)
	r.apply(upstreamList(upstreamEntry("v", false)))
	is.Equal(len(r.state.Upstreams), 1)
	r.after(2 * leftRetention)
	r.apply(restoredUpdate{oriolemessage.KindUpstreams}, upstreamList(upstreamEntry("u", false), upstreamEntry("v", false)))
	r.after(restoredHold)
	is.True(!r.state.Usable(r.state.Upstreams["u"]))

	// A new start is another upstream.
	next := upstreamEntry("u", false)
	next.Value.StartedAt = time.UnixMilli(2)
	r.apply(newUpstreamUpdate(false, []oriole.Change[oriole.Upstream]{next}))
	is.True(r.state.Usable(r.state.Upstreams["u"]))
	r.apply(leavingUpdate{incarnation: incarnationOf("u", 1), peer: "vm.2"}) // late
	is.True(r.state.Usable(r.state.Upstreams["u"]))
}

// TestDrainOfUnlistedUpstream guards against using an upstream that the directory lists
// only after its statement.
func TestDrainOfUnlistedUpstream(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	told := 0
	r.b.cfg.BroadcastLeaving = func(oriole.Incarnation) { told++ }
	r.apply(leavingUpdate{incarnation: incarnationOf("u", 1), peer: "vm.2"})
	is.Equal(told, 0) // the peer has told all
	r.apply(upstreamList(upstreamEntry("u", false)))
	is.True(!r.state.Usable(r.state.Upstreams["u"]))
}

// TestDrainOutlivesRestartOfStateDuty guards against forgetting with the state duty that
// an upstream leaves.
func TestDrainOutlivesRestartOfStateDuty(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(&manualClock{now: time.Unix(1000, 0)})
	duty := newStateDuty(tracker)
	run := func(u update) {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- duty.Serve(ctx) }()
		_, replaced := tracker.Watch()
		tracker.enqueue(ctx, u)
		<-replaced
		cancel()
		<-done
	}
	run(upstreamList(upstreamEntry("u", false)))
	run(leavingUpdate{incarnation: incarnationOf("u", 1)})
	run(upstreamList(upstreamEntry("u", false)))
	is.True(!tracker.Snapshot().Usable(tracker.Snapshot().Upstreams["u"]))
}

// TestDrainIsToldToNewLeader guards against keys that stay with an upstream which all
// other gateways refuse to use, because their leader has missed that it leaves.
func TestDrainIsToldToNewLeader(t *testing.T) {
	is := is.New(t)
	r := newRestoredTracker()
	var told []oriole.GatewayID
	r.b.cfg.TellLeaving = func(to oriole.GatewayID, _ oriole.Incarnation) { told = append(told, to) }
	assignment := func(term uint64, leader oriole.GatewayID, owner oriole.Incarnation) update {
		return assignmentUpdate{oriole.Assignment{Service: "s", Term: term, Seq: 1, Leader: leader, Ranges: []oriole.Range{
			{Last: 9, Owner: owner}, {First: 10, Last: oriole.MaxShardKey, Owner: owner},
		}}}
	}
	r.apply(upstreamList(upstreamEntry("u", false)), assignment(1, "vm.2", incarnationOf("u", 1)))
	is.True(!r.b.sweepNeeded(r.clock.now.Add(reminderInterval)))
	r.apply(leavingUpdate{incarnation: incarnationOf("u", 1)})
	r.after(reminderInterval)
	is.Equal(told, []oriole.GatewayID{"vm.2"})
	is.True(!r.b.sweepNeeded(r.clock.now))
	r.apply(assignment(2, "vm.3", incarnationOf("u", 1)))
	r.after(reminderInterval)
	is.Equal(told, []oriole.GatewayID{"vm.2", "vm.3"})
	r.apply(assignment(3, "vm.3", incarnationOf("v", 1)))
	r.after(reminderInterval)
	r.apply(assignment(4, "vm", incarnationOf("u", 1)), assignment(5, r.b.cfg.Self.ID, incarnationOf("u", 1)))
	r.after(reminderInterval)
	is.Equal(len(told), 2)
	r.after(removalDelay)
	r.apply(upstreamList())
	is.True(!r.b.reminderDue(r.clock.now.Add(reminderInterval))) // it is gone
}
