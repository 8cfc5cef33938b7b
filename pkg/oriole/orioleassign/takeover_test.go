package orioleassign

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// takeover holds a leader that moves a range, and a gateway that becomes the
// leader of the next term before the first has learned of it.
type takeover struct {
	*is.I
	now      time.Time
	old, new *Machine
}

// newTakeover returns two gateways, of which old is the leader of a service
// whose keys all have owners.
func newTakeover(t *testing.T) *takeover {
	t.Helper()
	s := newSettledSim(t)
	x := &takeover{I: is.New(t), now: s.clock.Now()}
	x.old = s.leader().machine
	for _, g := range s.gateways {
		if g.machine != x.old {
			x.new = g.machine
		}
	}
	return x
}

// effects returns the effects of the machine after a step.
func (x *takeover) effects(m *Machine) (reads, writes int, grants, releases []*LeaseCall) {
	for _, e := range m.TakeEffects() {
		switch {
		case e.Read != nil:
			reads++
		case e.Write != nil:
			writes++
		case e.Grant != nil:
			grants = append(grants, e.Grant)
		case e.Release != nil:
			releases = append(releases, e.Release)
		}
	}
	return reads, writes, grants, releases
}

// move lets the old leader move the first range to the other upstream, and
// returns its release.
func (x *takeover) move() *LeaseCall {
	x.Helper()
	next := x.old.current.Clone()
	r := &next.Ranges[0]
	r.PriorOwners = []oriole.Incarnation{r.Owner}
	r.Owner = next.Ranges[1].Owner
	next.Fence++
	r.Fence = next.Fence
	x.old.lastSeq++
	next.Seq = x.old.lastSeq
	x.old.pendingWrite = &next
	started := x.now
	x.now = x.now.Add(10 * time.Millisecond)
	x.old.WriteDone(x.now, started, next, x.old.version.Next(), nil)
	_, _, _, releases := x.effects(x.old)
	x.Equal(len(releases), 1)
	return releases[0]
}

// replace makes the new gateway the leader of the next term.
func (x *takeover) replace() {
	x.Helper()
	next := x.old.current.Clone()
	next.PriorLeaders = []oriole.GatewayID{x.old.cfg.Self}
	next.Leader = x.new.cfg.Self
	next.Term++
	next.Seq = 1
	next.Fence++
	for i := range next.Ranges {
		next.Ranges[i].Fence = next.Fence
	}
	x.new.pendingWrite = &next
	x.new.WriteDone(x.now, x.now, next, x.old.version.Next(), nil)
}

// TestNewLeaderWaitsForMovesOfPriorLeader plays the shortest history of two
// owners that seed 69 found: a leader moves a range and is replaced without
// learning of it. If its successor releases the range first, the release of the
// replaced leader is answered while requests are still running.
func TestNewLeaderWaitsForMovesOfPriorLeader(t *testing.T) {
	for _, test := range []struct {
		name    string
		stopped bool
	}{{"prior leader unreachable", false}, {"prior leader reports that it stopped", true}} {
		t.Run(test.name, func(t *testing.T) {
			x := newTakeover(t)
			release := x.move()
			x.replace()
			_, _, grants, releases := x.effects(x.new)
			x.Equal(len(grants)+len(releases), 0) // the prior leader may still use the token of its move

			// The response that the prior leader waits for arrives while it may
			// still move the range.
			lastMove := x.old.confirmedAt.Add(simConfig.MoveLease - time.Millisecond)
			x.old.CallDone(lastMove, release.ID, Result{Handover: "h"})
			_, _, grants, _ = x.effects(x.old)
			x.Equal(len(grants), 1)
			x.True(!grants[0].SendBefore.After(x.old.confirmedAt.Add(simConfig.MoveLease)))

			if test.stopped {
				x.new.SetPeerMinRenewTerm(x.now, x.old.cfg.Self, x.new.current.Term)
				x.new.Tick(x.now)
			} else {
				x.new.Tick(grants[0].SendBefore.Add(simConfig.MaxCallDelay))
				_, _, early, earlyReleases := x.effects(x.new)
				x.Equal(len(early)+len(earlyReleases), 0) // the prior leader's grant may just arrive
				x.now = x.now.Add(x.new.takeoverDelay())
				x.new.Tick(x.now)
				x.new.ReadDone(x.now, x.now, x.new.current, x.new.version, false, nil)
			}
			_, _, grants, releases = x.effects(x.new)
			x.True(len(grants) > 0)
			x.True(len(releases) > 0)
		})
	}
}

// TestMovesNeedConfirmedLeadership checks that a leader which may have been
// replaced has its leadership confirmed before it grants a range to its new
// owner.
func TestMovesNeedConfirmedLeadership(t *testing.T) {
	x := newTakeover(t)
	release := x.move()
	now := x.old.confirmedAt.Add(simConfig.MoveLease)
	x.old.CallDone(now, release.ID, Result{Handover: "h"})
	reads, _, grants, _ := x.effects(x.old)
	for _, g := range grants {
		x.True(g.Lease.Fence != release.Lease.Fence) // only renewals
	}
	x.Equal(reads, 1)
	x.old.ReadDone(now.Add(4*time.Millisecond), now, x.old.current, x.old.version, false, nil)
	_, _, grants, _ = x.effects(x.old)
	x.Equal(len(grants), 1)
	x.Equal(grants[0].Lease.Fence, release.Lease.Fence)
}

// TestStopIsReportedOnceCallsHaveArrived checks that a gateway that is no longer
// the leader does not report that it stopped while a call of its term may still
// arrive at an upstream.
func TestStopIsReportedOnceCallsHaveArrived(t *testing.T) {
	x := newTakeover(t)
	release := x.move()
	x.replace()
	x.old.receive(x.now, x.new.current)
	x.True(!x.old.Leading())
	x.True(x.old.MinRenewTerm() < x.new.current.Term)
	x.old.Tick(release.SendBefore.Add(simConfig.MaxCallDelay))
	x.True(x.old.MinRenewTerm() < x.new.current.Term)

	answered := newTakeover(t)
	release = answered.move()
	answered.replace()
	answered.old.receive(answered.now, answered.new.current)
	answered.old.CallDone(answered.now, release.ID, Result{Handover: "h"})
	answered.Equal(answered.old.MinRenewTerm(), answered.new.current.Term)

	x.old.Tick(release.SendBefore.Add(simConfig.MaxCallDelay + time.Millisecond))
	x.Equal(x.old.MinRenewTerm(), x.new.current.Term)
}

// TestResignedLeaderDoesNotReturn checks that the response to a write that a
// leader sent before it resigned does not make it the leader again: its peers
// rely on its report that it stopped.
func TestResignedLeaderDoesNotReturn(t *testing.T) {
	x := newTakeover(t)
	next := x.old.current.Clone()
	next.Seq++
	x.old.startWrite(x.now, next)
	x.old.stepDown("store is reachable only by other gateways")
	x.old.resignedTerm = x.old.current.Term
	x.old.WriteDone(x.now.Add(time.Second), x.now, next, x.old.version.Next(), nil)
	x.True(!x.old.Leading())
	x.Equal(x.old.MinRenewTerm(), x.old.current.Term+1)
}

// TestReleaseAfterUnansweredRelease checks that the answer to a release does not
// count as the end of all requests while an earlier release of the same keys,
// also of a prior leader, may still be executed.
func TestReleaseAfterUnansweredRelease(t *testing.T) {
	x := newTakeover(t)
	release := x.move()
	x.old.CallDone(x.now, release.ID, Result{Err: errTimeout})
	pending := oriole.PendingRelease{Server: release.To.ID, First: release.Lease.First, Last: release.Lease.Last}
	x.Equal(x.old.pendingReleases(), []oriole.PendingRelease{pending})

	// The range returns to its owner, the leader is replaced, and the range is
	// moved again.
	r := &x.old.current.Ranges[0]
	r.Owner, r.PriorOwners = r.PriorOwners[0], nil
	x.old.current.PendingReleases = x.old.pendingReleases()
	x.replace()
	x.now = x.now.Add(x.new.takeoverDelay())
	x.new.Tick(x.now)
	x.effects(x.new)
	x.new.confirmLeadership(x.now)
	x.True(x.new.releaseMayBePending(release.To.ID, release.Lease.First, release.Lease.Last))

	later := x.now.Add(lateExecution)
	x.new.Tick(later)
	x.True(!x.new.releaseMayBePending(release.To.ID, release.Lease.First, release.Lease.Last))
}

// TestPriorOwnerThatRestartedTwiceIsReleasedOnce checks that two incarnations of
// an upstream among the prior owners of a range are merged when both have been
// replaced by the same one: the second of two concurrent releases is answered
// early.
func TestPriorOwnerThatRestartedTwiceIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	m := s.leader().machine
	l := &m.leases[0]
	restarted := m.leases[len(m.leases)-1].Owner
	is.True(l.Owner.ID != restarted.ID)
	for _, age := range []time.Duration{2, 1} {
		l.priorOwners = append(l.priorOwners, priorOwner{
			incarnation: oriole.Incarnation{ID: restarted.ID, StartedAt: restarted.StartedAt.Add(-age * time.Second)},
			lastSent:    s.clock.Now(),
			releaseSent: age == 1,
		})
	}
	is.True(m.replaceRestarted(s.clock.Now(), l))
	is.Equal(len(l.priorOwners), 1)
	is.Equal(l.priorOwners[0].incarnation, restarted)
	is.True(l.priorOwners[0].releaseSent)
}

// TestOneReleaseAtATime checks that a prior owner is sent one release of a range
// at a time, also if a read and then the response to the write show the same
// assignment: the response to the release that arrives second is no proof that
// no request is running.
func TestOneReleaseAtATime(t *testing.T) {
	x := newTakeover(t)
	release := x.move()
	stored := x.old.current.Clone()
	x.old.pendingWrite = &stored
	x.old.WriteDone(x.now, x.now, stored, x.old.version, nil)
	_, _, _, releases := x.effects(x.old)
	x.Equal(len(releases), 0)

	// The release is due again.
	x.old.Tick(x.now)
	_, _, _, releases = x.effects(x.old)
	x.Equal(len(releases), 0)

	x.old.CallDone(x.now, release.ID, Result{Err: errTimeout})
	x.now = x.now.Add(callRetryDelay)
	x.old.Tick(x.now)
	_, _, _, releases = x.effects(x.old)
	x.Equal(len(releases), 1)
	x.True(x.old.calls[releases[0].ID].repeated)
}

// TestEndOfUpstreamWithGrantInFlight checks that a prior owner whose end was
// found out while a grant was under way counts as holding the range until the
// lease has expired: the next incarnation may have received the grant.
func TestEndOfUpstreamWithGrantInFlight(t *testing.T) {
	for _, test := range []struct {
		name     string
		inFlight bool
	}{{"no grant", false}, {"grant in flight", true}} {
		t.Run(test.name, func(t *testing.T) {
			x := newTakeover(t)
			m := x.old
			l := m.leases[0]
			p := priorOwner{incarnation: l.Owner, lastSent: x.now}
			st := m.status(l.Owner)
			st.ended, st.endedAt = true, x.now
			if test.inFlight {
				later := x.now.Add(time.Millisecond)
				m.grantDone(later, call{kind: callGrant, incarnation: l.Owner, first: l.First, last: l.Last, fence: l.Fence}, Result{Err: errTimeout})
			}
			x.Equal(m.canDrop(x.now.Add(time.Second), &l, p), !test.inFlight)
			x.True(m.canDrop(m.leaseExpiry(x.now).Add(time.Second), &l, p))
		})
	}
}

// TestExpiredCallsSayNothingOfUpstream checks that calls which waited too long in
// this gateway, as those of a leader that has to grant hundreds of leases at once
// may, don't make their upstream count as down, and that a release which was not
// sent is not taken for a first one that was.
func TestExpiredCallsSayNothingOfUpstream(t *testing.T) {
	x := newTakeover(t)
	release := x.move()
	for range 2 * downThreshold {
		x.old.CallDone(x.now, release.ID, Result{Err: oriole.ErrExpired})
		x.True(!x.old.status(release.To.Incarnation()).down)
		x.now = x.now.Add(callRetryDelay)
		x.old.confirmLeadership(x.now)
		x.old.Tick(x.now)
		_, _, _, releases := x.effects(x.old)
		x.Equal(len(releases), 1)
		release = releases[0]
		x.True(!x.old.calls[release.ID].repeated)
	}
	x.old.CallDone(x.now, release.ID, Result{Handover: "h"})
	_, _, grants, _ := x.effects(x.old)
	x.Equal(len(grants), 1)
}

// TestExpiredRenewalKeepsFencingToken guards against a leader that is short of time and
// also has to replace the fencing token of each range whose renewal came too late.
func TestExpiredRenewalKeepsFencingToken(t *testing.T) {
	m, now := newLargeLeader(4, 1)
	fences := make(map[oriole.ShardKey]oriole.Fence)
	for _, r := range m.current.Ranges {
		fences[r.First] = r.Fence
	}
	expired := 0
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		m.confirmLeadership(now)
		m.Tick(now)
		for _, e := range m.TakeEffects() {
			switch {
			case e.Grant != nil && expired < 4:
				expired++
				m.CallDone(now, e.Grant.ID, Result{Err: oriole.ErrExpired})
			case e.Grant != nil:
				m.CallDone(now, e.Grant.ID, Result{Conn: 1})
			case e.Write != nil:
				m.WriteDone(now, now, e.Write.Assignment, m.version.Next(), nil)
			}
		}
	}
	is := is.New(t)
	is.Equal(expired, 4)
	for _, r := range m.current.Ranges {
		is.Equal(r.Fence, fences[r.First])
	}
}
