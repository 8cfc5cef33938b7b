package oriolerouter

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// timerDuty runs the timer service.
type timerDuty struct{ timers *orioletimer.Service }

func (d timerDuty) String() string { return "timers" }

// Serve implements suture.Service.
func (d timerDuty) Serve(ctx context.Context) error { return d.timers.Serve(ctx) }

// announceDuty registers the gateway in the directory, again when the directory has
// lost the entry, and removes the entry when the gateway drains. One duty does all,
// so that a slow registration can't follow the removal.
type announceDuty struct {
	router *Router
	once   sync.Once
}

func (d *announceDuty) String() string { return "announce" }

// announceRetryInterval is the time between attempts to register, or to remove the
// entry.
const announceRetryInterval = 300 * time.Millisecond

// Serve implements suture.Service.
func (d *announceDuty) Serve(ctx context.Context) error {
	for {
		d.announce(ctx)
		select {
		case <-d.router.announceRequested:
		case <-d.router.drainStarted:
			return d.stayWithdrawn(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// announce registers the gateway unless it drains.
func (d *announceDuty) announce(ctx context.Context) {
	r := d.router
	if r.draining.Load() || !d.retry(ctx, r.drainStarted, "cannot announce gateway in the directory", r.platform.Directory.Announce) {
		return
	}
	r.log.Info("announced")
	d.once.Do(func() { close(r.announced) })
}

// stayWithdrawn removes the gateway's entry, again when the directory lists it once
// more.
func (d *announceDuty) stayWithdrawn(ctx context.Context) error {
	for {
		d.withdraw(ctx)
		select {
		case <-d.router.announceRequested:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// withdraw removes the gateway's entry. Until it succeeds, peers know of the drain
// through the links, and the next gateway on this VM replaces the entry.
func (d *announceDuty) withdraw(ctx context.Context) {
	d.retry(ctx, nil, "cannot remove gateway from the directory", d.router.platform.Directory.Withdraw)
}

// retry makes the call for this gateway until it succeeds, or until ctx or stop is
// done. It reports whether it has succeeded.
func (d *announceDuty) retry(ctx context.Context, stop <-chan struct{}, failure string, call func(context.Context, oriole.Member) error) bool {
	for {
		err := call(ctx, d.router.self)
		if err == nil {
			return true
		}
		d.router.log.WithError(err).Warn(failure)
		timer := time.NewTimer(announceRetryInterval)
		select {
		case <-timer.C:
			continue
		case <-stop:
		case <-ctx.Done():
		}
		timer.Stop()
		return false
	}
}

// membersDuty updates the links when gateways are added to or removed from the
// directory.
type membersDuty struct{ router *Router }

func (d *membersDuty) String() string { return "follow members" }

// Serve implements suture.Service.
func (d *membersDuty) Serve(ctx context.Context) error {
	changed := d.router.tracker.Subscribe()
	var last *oriole.ClusterState
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		state := d.router.tracker.Snapshot()
		if last == nil || !sameMembership(last, state) {
			d.router.links.SetMembers(state.Gateways, wantedLinks(state))
		}
		last = state
	}
}

// sameMembership reports whether the states have the same gateways and leaders.
func sameMembership(a, b *oriole.ClusterState) bool {
	for service, assignment := range b.Assignments {
		if old := a.Assignments[service]; old == nil || old.Leader != assignment.Leader {
			return false
		}
	}
	return sameGatewayIDs(a.Gateways, b.Gateways) && maps.Equal(a.Alive, b.Alive)
}

// wantedLinks returns the gateways that every other one keeps a link with: those
// that dispatch now, those that do so once all gateways are alive, and the
// leaders. The watcher and the monitors are among them, since they are the
// largest. In a small cluster it returns all gateways.
func wantedLinks(state *oriole.ClusterState) map[oriole.GatewayID]oriole.Member {
	if orioleliveness.FullMesh(len(state.Gateways)) {
		return state.Gateways
	}
	wanted := make(map[oriole.GatewayID]oriole.Member)
	for _, members := range [][]oriole.Member{state.LiveMembers(), slices.Collect(maps.Values(state.Gateways))} {
		for _, m := range orioleplacement.Dispatchers(members) {
			wanted[m.ID] = m
		}
	}
	for _, a := range state.Assignments {
		if m, listed := state.Gateways[a.Leader]; listed {
			wanted[m.ID] = m
		}
	}
	return wanted
}

// sameGatewayIDs compares only the IDs: a gateway's entry changes only in whether
// it is draining, which does not affect the links.
func sameGatewayIDs(a, b map[oriole.GatewayID]oriole.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for id := range a {
		if _, found := b[id]; !found {
			return false
		}
	}
	return true
}
