package oriolestate

import (
	"maps"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// restoredHold is how long entries of a directory that came back from an older
	// copy are not taken at their word, nor is their absence. Within it their
	// writers have written them again, and those of upstreams that are gone have
	// expired: that takes three heartbeats, of about a second each.
	restoredHold = 4 * time.Second
	// rewriteTime is how long upstreams that a restored directory lacks are kept:
	// theirs are written again within about two seconds of its return, which was
	// noticed a moment later.
	rewriteTime = 1800 * time.Millisecond
	// leftRetention is how long an upstream that has left, or a gateway that drained,
	// is remembered, in case the directory comes back from a copy that lists it.
	leftRetention = time.Minute
)

// leftUpstream is the last incarnation of an upstream that the directory listed
// before it was removed or replaced.
type leftUpstream struct {
	startedAt time.Time
	draining  bool
	at        time.Time
}

// restoredUpdate reports that the next list of a kind is that of a directory which
// has come back from an older copy.
type restoredUpdate struct{ kind string }

func (u restoredUpdate) apply(_ *oriole.ClusterState, b *bookkeeping) {
	b.restoredAt[u.kind] = b.now
}

// recentlyRestored reports whether a list of the kind may be out of date because
// the directory came back from an older copy.
func (b *bookkeeping) recentlyRestored(kind string) bool {
	at, restored := b.restoredAt[kind]
	return restored && b.now.Sub(at) < restoredHold
}

// hasLeft reports whether the upstream's incarnation, or a later one, was removed
// from the directory or replaced in it.
func (b *bookkeeping) hasLeft(u oriole.Upstream) bool {
	left, known := b.left[u.ID]
	return known && !u.StartedAt.After(left.startedAt)
}

// recordLeft remembers an incarnation that was removed or replaced.
func (b *bookkeeping) recordLeft(u oriole.Upstream) {
	if left, known := b.left[u.ID]; known && left.startedAt.After(u.StartedAt) {
		return
	}
	b.left[u.ID] = leftUpstream{u.StartedAt, u.Draining, b.now}
}

// recordDrained remembers the draining gateways that a new list drops.
func (b *bookkeeping) recordDrained(known, listed map[oriole.GatewayID]oriole.Member) {
	for id, m := range known {
		if _, found := listed[id]; !found && m.Draining {
			b.drained[id] = b.now
		}
	}
}

// sweepRestored takes what the directory still lists, and drops what it still lacks,
// once restoredHold has passed.
func (b *bookkeeping) sweepRestored(state *oriole.ClusterState) {
	maps.DeleteFunc(b.left, func(_ oriole.ServerID, left leftUpstream) bool { return b.now.Sub(left.at) > leftRetention })
	maps.DeleteFunc(b.drained, func(_ oriole.GatewayID, at time.Time) bool { return b.now.Sub(at) > leftRetention })
	if len(b.held) > 0 && !b.recentlyRestored(oriolemessage.KindUpstreams) {
		for _, u := range b.held {
			b.setUpstream(state, u)
		}
		clear(b.held)
	}
	if len(b.unlistedZones) > 0 && !b.recentlyRestored(oriolemessage.KindZones) {
		for zone := range b.unlistedZones {
			b.endEvacuation(state, zone)
		}
		clear(b.unlistedZones)
	}
	if len(b.unlistedGateways) > 0 && !b.recentlyRestored(oriolemessage.KindGateways) {
		for id := range b.unlistedGateways {
			if !state.Alive[id] {
				delete(state.EditGateways(), id)
			}
		}
		clear(b.unlistedGateways)
	}
}
