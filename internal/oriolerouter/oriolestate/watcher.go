package oriolestate

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// watcherSubject is the rendezvous hashing subject by which gateways elect the
// watcher: the gateway that watches the directory on behalf of all.
const watcherSubject = "directory"

// watcherLossTimeout is the time without a relayed update, and without a response of
// the directory, after which a watcher counts as cut off from the directory. It is
// longer than a watch and its relay.
const watcherLossTimeout = 1500 * time.Millisecond

// watcherRole is a gateway's part in watching the directory.
type watcherRole int

const (
	// relies means that the gateway applies what the watcher relays.
	relies watcherRole = iota
	// elected means that the gateway is the watcher.
	elected
	// standsIn means that the gateway watches and relays because the watcher does
	// not reach the directory: others may not reach it either.
	standsIn
)

// RecordRelay records that a peer has relayed an update of the directory.
func (t *Tracker) RecordRelay() { t.lastRelay.Store(t.cfg.Timers.Now().UnixNano()) }

// RecordPeerResponse records that the directory responded to a peer at the given
// time.
func (t *Tracker) RecordPeerResponse(id oriole.GatewayID, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerResponses[id] = at
}

// watcherRole returns this gateway's part.
func (t *Tracker) watcherRole() watcherRole {
	ranked := rankWatchers(t.Snapshot())
	now := t.cfg.Timers.Now()
	relayed := now.Sub(time.Unix(0, t.lastRelay.Load())) <= watcherLossTimeout
	reached := t.DirectoryAge() <= watcherLossTimeout
	switch {
	case len(ranked) == 0:
		return elected
	case ranked[0] == t.cfg.Self.ID && (reached || !relayed):
		return elected
	case relayed || !reached:
		return relies
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ranked {
		if id == t.cfg.Self.ID {
			return standsIn
		}
		if at, known := t.peerResponses[id]; known && now.Sub(at) <= watcherLossTimeout {
			return relies
		}
	}
	return relies
}
