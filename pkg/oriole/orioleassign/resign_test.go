package orioleassign

import (
	"testing"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// failReads lets the leader's reads of the store fail for the given time.
func (x *takeover) failReads(duration time.Duration, onRead func(now time.Time)) {
	const interval = 100 * time.Millisecond
	for started := x.now; x.now.Before(started.Add(duration)); x.now = x.now.Add(interval) {
		if onRead != nil {
			onRead(x.now)
		}
		x.old.startRead(x.now, false)
		x.old.ReadDone(x.now.Add(interval/2), x.now, oriole.Assignment{}, oriole.Version{}, false, oriole.ErrBusy)
	}
}

// TestLeaderStaysWhenNobodyReachesStore guards against leaving all keys without a
// leader in an outage of the store, because peers reached it just before.
func TestLeaderStaysWhenNobodyReachesStore(t *testing.T) {
	x := newTakeover(t)
	x.old.PeerReachedStore(x.now, x.now)
	x.now = x.now.Add(10 * time.Millisecond)
	x.failReads(2*time.Second, nil)
	x.True(x.old.Leading())
	// A report that arrives late doesn't show that the store is back.
	x.old.PeerReachedStore(x.now, x.now.Add(-2*time.Second))
	x.failReads(time.Second, nil)
	x.True(x.old.Leading())
}

// TestLeaderThatAloneMissesStoreResigns checks that peers which reach the store
// replace a leader that doesn't.
func TestLeaderThatAloneMissesStoreResigns(t *testing.T) {
	x := newTakeover(t)
	x.failReads(time.Second, func(now time.Time) { x.old.PeerReachedStore(now, now) })
	x.True(!x.old.Leading())
	x.Equal(x.old.MinRenewTerm(), x.old.current.Term+1)
}

// callTimeout is how long a call takes whose response is lost.
const callTimeout = 800 * time.Millisecond

// loseResponse lets a read that was started at the given time fail, and a peer
// reach the store.
func (x *takeover) loseResponse(started time.Time) {
	x.old.startRead(x.now, false)
	for x.now.Before(started.Add(callTimeout)) {
		x.now = x.now.Add(callTimeout / 4)
		x.old.Tick(x.now)
	}
	x.old.PeerReachedStore(x.now, x.now)
	x.old.ReadDone(x.now, started, oriole.Assignment{}, oriole.Version{}, false, errTimeout)
}

// TestLeaderStaysAfterOneLostResponse guards against replacing a leader whose store
// is fine, because the response to one read was lost.
func TestLeaderStaysAfterOneLostResponse(t *testing.T) {
	x := newTakeover(t)
	x.old.confirmLeadership(x.now)
	x.old.Tick(x.now)
	x.loseResponse(x.now)
	x.True(x.old.Leading())
	x.old.TakeEffects()
	x.old.Tick(x.now)
	reads, _, _, _ := x.effects(x.old)
	x.Equal(reads, 1) // again at once
	x.old.ReadDone(x.now, x.now, x.old.current, x.old.version, false, nil)
	x.loseResponse(x.now)
	x.True(x.old.Leading()) // not two in a row
	x.loseResponse(x.now)
	x.True(!x.old.Leading())
}

// TestLeaderStaysAfterLostResponsesOfConcurrentCalls guards against replacing a
// leader whose store is fine, because it was paused with a read and a write in
// flight.
func TestLeaderStaysAfterLostResponsesOfConcurrentCalls(t *testing.T) {
	x := newTakeover(t)
	x.old.confirmLeadership(x.now)
	x.old.Tick(x.now)
	started := x.now
	x.old.startWrite(x.now, x.old.current.Clone())
	x.loseResponse(started)
	x.old.WriteDone(x.now, started, x.old.current, oriole.Version{}, errTimeout)
	x.True(x.old.Leading())
	x.True(x.old.reading) // what the write did
	x.old.ReadDone(x.now, started, oriole.Assignment{}, oriole.Version{}, false, errTimeout)
	x.True(x.old.Leading())
	x.loseResponse(x.now)
	x.True(!x.old.Leading())
}

// TestDelayedReportIsNoEvidence guards against resigning in an outage of the store
// because a report from before it was on its way for long.
func TestDelayedReportIsNoEvidence(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, maxEvidenceDelay} {
		x := newTakeover(t)
		arrival := x.now.Add(delay)
		x.failReads(2*time.Second, func(now time.Time) {
			if now.Equal(arrival) {
				x.old.PeerReachedStore(now, now)
			}
		})
		x.True(x.old.Leading())
	}
}

// TestReportsThatWaitedDuringStallAreNoEvidence guards against resigning in an
// outage of the store after a pause of the leader.
func TestReportsThatWaitedDuringStallAreNoEvidence(t *testing.T) {
	x := newTakeover(t)
	x.old.Tick(x.now)
	x.failReads(100*time.Millisecond, nil)
	x.now = x.now.Add(2 * time.Second)
	x.old.Tick(x.now)
	x.old.PeerReachedStore(x.now, x.now)
	x.failReads(time.Second, nil)
	x.True(x.old.Leading())
}

// TestResponseInFutureIsNoEvidence guards against resigning in an outage of the
// store because the clock of a peer was set back.
func TestResponseInFutureIsNoEvidence(t *testing.T) {
	x := newTakeover(t)
	x.old.PeerReachedStore(x.now, x.now.Add(2*time.Second))
	x.now = x.now.Add(10 * time.Millisecond)
	x.failReads(2500*time.Millisecond, nil)
	x.True(x.old.Leading())
}
