package orioleliveness_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

// startPair returns the failure detector of a gateway that hears a peer until now.
func startPair() (d *orioleliveness.Detector, peer oriole.GatewayID, now time.Time) {
	now = time.Unix(1000, 0)
	self, other := oriole.Member{ID: "a.1", VM: "a"}, oriole.Member{ID: "b.1", VM: "b"}
	d = orioleliveness.New(now, self)
	d.SetMembers(map[oriole.GatewayID]oriole.Member{self.ID: self, other.ID: other})
	for range 10 {
		now = now.Add(tick)
		d.RecordFrame(now, other.ID)
		d.Tick(now)
	}
	return d, other.ID, now
}

// TestOwnStallIsNoFailureOfPeers guards against giving up all peers after a pause of
// this gateway, before the frames that wait in its sockets are read.
func TestOwnStallIsNoFailureOfPeers(t *testing.T) {
	is := is.New(t)
	d, peer, now := startPair()
	for range 2 { // a second pause soon after the first
		now = now.Add(5 * time.Second)
		is.True(d.Stalled(now)) // also before the tick
		d.Tick(now)
		is.True(d.Stalled(now))
		now = now.Add(tick)
		d.Tick(now)
		is.True(!d.Failed(peer))
		_, unreachable := d.Report(now)
		is.Equal(len(unreachable), 0)
	}
	d.RecordFrame(now, peer)
	for range 3 {
		now = now.Add(tick)
		d.Tick(now)
		is.True(!d.Failed(peer))
	}
	is.True(!d.Stalled(now))
}

// TestPeerThatFailedDuringOwnStall checks that a stall delays the detection of a
// failure by one heartbeat interval only.
func TestPeerThatFailedDuringOwnStall(t *testing.T) {
	is := is.New(t)
	d, peer, now := startPair()
	now = now.Add(5 * time.Second)
	d.Tick(now)
	resumed := now
	for !d.Failed(peer) {
		now = now.Add(tick)
		d.Tick(now)
	}
	is.Equal(now.Sub(resumed), heartbeat)
	_, unreachable := d.Report(now)
	is.Equal(unreachable, []oriole.GatewayID{peer})
}

// TestFailureIsDetectedWithLateTicks guards against a gateway that is always late
// and detects no failures.
func TestFailureIsDetectedWithLateTicks(t *testing.T) {
	is := is.New(t)
	d, peer, now := startPair()
	for range 3 {
		now = now.Add(time.Second)
		d.Tick(now)
	}
	is.True(d.Failed(peer))
}

// TestOrderOfRecordsDoesNotMatter guards against taking a peer for lost because one of its
// links, on which nothing has arrived for longer, is recorded after another.
func TestOrderOfRecordsDoesNotMatter(t *testing.T) {
	is := is.New(t)
	d, peer, now := startPair()
	d.RecordFrame(now, peer)
	d.RecordFrame(now.Add(-2*orioleliveness.SilenceTimeout), peer)
	is.True(d.HeardRecently(now, peer))
}
