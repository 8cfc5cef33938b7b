package orioleassign

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// copyInterval is the interval at which the simulated store is copied, and
	// copiesKept the number of copies that it may be restored from.
	copyInterval = 500 * time.Millisecond
	copiesKept   = 16
)

// restores draws the restores of the store from copies that are seconds old.
type restores struct {
	rng    *rand.Rand
	copies []simStore
}

// withRestores adds restores of the store.
func withRestores(seed uint64) func(*sim) {
	return func(s *sim) {
		s.restores = &restores{rng: rand.New(rand.NewPCG(seed, 3))}
		s.store.era = 1
		s.schedule(0, s.copyStore)
	}
}

func (st *simStore) copy() simStore {
	c := *st
	c.objects = maps.Clone(st.objects)
	return c
}

// copyStore copies the store at each interval.
func (s *sim) copyStore() {
	if s.restores == nil {
		return
	}
	if !s.store.away {
		s.restores.copies = append(s.restores.copies, s.store.copy())
		s.restores.copies = s.restores.copies[max(0, len(s.restores.copies)-copiesKept):]
	}
	s.schedule(copyInterval, s.copyStore)
}

// injectRestore takes the store away for a moment, at times, and brings it back
// from a copy. Gateways may be killed around it.
func (s *sim) injectRestore() {
	if s.restores == nil || s.restores.rng.IntN(6) != 0 || s.store.away {
		return
	}
	rng := s.restores.rng
	if rng.IntN(3) == 0 {
		s.loseLeader()
		return
	}
	if rng.IntN(4) == 0 {
		if g := s.leader(); g != nil {
			s.log("%s is killed", g.id)
			g.down = true
			s.schedule(time.Duration(500+rng.IntN(9000))*time.Millisecond, func() { s.startGateway(g) })
			s.schedule(800*time.Millisecond, s.publishState)
		}
	}
	age := 1 + rng.IntN(copiesKept-1)
	s.restore(age, time.Duration(50+rng.IntN(2500))*time.Millisecond)
}

// loseLeader cuts the leader off from the store and the other gateways, so that
// another takes over, and restores the store from a copy that doesn't have the
// other's record. The other may be killed before the first is in touch again.
func (s *sim) loseLeader() {
	g := s.leader()
	if g == nil {
		return
	}
	rng := s.restores.rng
	span := time.Duration(1500+rng.IntN(4500)) * time.Millisecond
	s.log("%s is cut off from the store and the other gateways", g.id)
	s.store.unreachableFrom[g.name] = true
	for _, other := range s.gateways {
		pair, back := [2]string{g.name, other.name}, [2]string{other.name, g.name}
		s.cutLinks[pair], s.cutLinks[back] = cutHangs, cutHangs
		s.schedule(span+time.Duration(rng.IntN(3000))*time.Millisecond, func() { delete(s.cutLinks, pair); delete(s.cutLinks, back); s.publishState() })
	}
	s.schedule(span+time.Duration(rng.IntN(1000))*time.Millisecond, func() { delete(s.store.unreachableFrom, g.name) })
	s.schedule(500*time.Millisecond, s.publishState)
	srv := s.servers[rng.IntN(len(s.servers))]
	switch rng.IntN(4) {
	case 0:
		s.schedule(time.Duration(rng.IntN(1500))*time.Millisecond, func() {
			if !srv.down {
				s.killServer(srv)
				s.schedule(time.Duration(2000+rng.IntN(5000))*time.Millisecond, func() { s.startServer(srv) })
			}
		})
	case 1:
		srv.draining = true
		s.schedule(span+time.Second, func() { srv.draining = false; s.publishState() })
	}
	age := min(copiesKept, int(span/copyInterval)+1+rng.IntN(3))
	s.schedule(span-time.Duration(rng.IntN(500))*time.Millisecond, func() {
		if s.restores != nil && !s.store.away {
			s.restore(age, time.Duration(50+rng.IntN(500))*time.Millisecond)
		}
	})
	if rng.IntN(2) == 0 {
		s.schedule(span, func() {
			for _, other := range s.gateways {
				if other != g && !other.down && other.machine.Leading() {
					s.log("%s is killed", other.id)
					other.down = true
					s.schedule(time.Duration(500+rng.IntN(9000))*time.Millisecond, func() { s.startGateway(other) })
				}
			}
		})
	}
}

// restore takes the store away for the span and brings it back from a copy of the
// given age, in copy intervals.
func (s *sim) restore(age int, span time.Duration) {
	s.restoreFrom(s.restores.copies[max(0, len(s.restores.copies)-age)], span)
}

// restoreFrom takes the store away for the span and brings it back from the copy.
func (s *sim) restoreFrom(older simStore, span time.Duration) {
	s.store.away = true
	s.log("the store is away")
	s.schedule(span, func() {
		s.store.away = false
		s.store.objects, s.store.revision = maps.Clone(older.objects), older.revision
		s.store.era++
		s.log("the store is back from a copy, era %d revision %d", s.store.era, s.store.revision)
	})
}

// restoreSeeds is the number of seeds that the tests of restores run with.
const restoreSeeds = 40

// TestOneOwnerAcrossRestores is TestOneOwnerUnderFaults with restores of the store.
func TestOneOwnerAcrossRestores(t *testing.T) {
	forEachSeed(t, restoreSeeds, func(t *testing.T, seed uint64) { runFaults(t, seed, withRestores(seed)) })
}

// TestOneOwnerAcrossRestoresWithAnyMoves is TestOneOwnerWithAnyMoves with restores
// of the store.
func TestOneOwnerAcrossRestoresWithAnyMoves(t *testing.T) {
	forEachSeed(t, restoreSeeds, func(t *testing.T, seed uint64) { runFaults(t, seed, withLateFaults(seed), withRestores(seed)) })
}

// restored holds two gateways, of which old was the leader when the store was
// restored from a copy that has an older assignment.
type restored struct {
	*takeover
	older oriole.Assignment
	// unsettled is the version of the older assignment in the new era.
	unsettled oriole.Version
}

func newRestored(t *testing.T) *restored {
	t.Helper()
	x := &restored{takeover: newTakeover(t)}
	x.older = x.old.current.Clone()
	x.older.Seq--
	x.older.Fence--
	for i := range x.older.Ranges {
		r := &x.older.Ranges[i]
		r.Fence = min(r.Fence, x.older.Fence)
		r.Owner = x.older.Ranges[0].Owner
	}
	x.unsettled = oriole.Version{Era: x.old.version.Era + 1}
	return x
}

// read lets the machine read the assignment.
func (x *restored) read(m *Machine, a oriole.Assignment, version oriole.Version) {
	m.nextRead = x.now.Add(pollInterval)
	m.ReadDone(x.now, x.now, a, version, false, nil)
	m.Tick(x.now)
}

// write returns the write that the machine requests.
func (x *restored) write(m *Machine) *Write {
	x.Helper()
	var write *Write
	for _, e := range m.TakeEffects() {
		if e.Write != nil {
			write = e.Write
		}
	}
	x.True(write != nil)
	return write
}

// peers lets all other gateways report the lowest term in which they may renew
// leases.
func (x *restored) peers(m *Machine, term uint64) {
	for g := range m.state.Gateways {
		if g != m.cfg.Self {
			m.SetPeerMinRenewTerm(x.now, g, term)
		}
	}
	m.Tick(x.now)
}

// wait advances the time in steps in which the machine is not stalled.
func (x *restored) wait(m *Machine, span time.Duration) {
	for end := x.now.Add(span); x.now.Before(end); {
		x.now = earlier(end, x.now.Add(startupDelay/2))
		m.Tick(x.now)
	}
}

// settle lets the old leader settle the era, with or without the statements of the
// others that none has replaced it.
func (x *restored) settle(statements bool) oriole.Assignment {
	x.Helper()
	x.read(x.old, x.older, x.unsettled)
	x.wait(x.old, statementDelay)
	if statements {
		x.peers(x.old, x.old.current.Term)
	} else {
		x.wait(x.old, statementTimeout)
	}
	w := x.write(x.old)
	x.Equal(w.Expected, x.unsettled)
	x.old.WriteDone(x.now, x.now, w.Assignment, oriole.Version{Era: x.unsettled.Era, Revision: 7}, nil)
	x.old.TakeEffects()
	return w.Assignment
}

// TestOlderAssignmentDoesNotConfirmLeader checks that a leader does not take its own
// older assignment, read from a restored store, for a confirmation, and does not go
// back to its ranges and fencing tokens, which would be given out twice.
func TestOlderAssignmentDoesNotConfirmLeader(t *testing.T) {
	x := newRestored(t)
	before, confirmed := x.old.current.Clone(), x.old.confirmedAt
	x.now = x.now.Add(time.Second)
	x.read(x.old, x.older, x.unsettled)
	x.True(x.old.Leading())
	x.Equal(x.old.confirmedAt, confirmed)
	x.Equal(x.old.current, before)

	// It renews leases, and moves nothing.
	x.old.confirmLeadership(x.now)
	x.True(!x.old.mayMove(x.now))
	x.old.TakeEffects()
	x.old.leases[0].nextGrant = x.now
	x.old.Tick(x.now)
	_, writes, grants, releases := x.effects(x.old)
	x.Equal(writes+len(releases), 0)
	x.Equal(len(grants), 1)
	x.Equal(grants[0].Lease.Fence, before.Ranges[0].Fence)
}

// TestLeaderSettlesRestoredStore checks that a leader writes its own ranges, owners
// and fencing tokens again, with a term and a next fencing token above all that may
// have been lost, and moves ranges once that is written.
func TestLeaderSettlesRestoredStore(t *testing.T) {
	x := newRestored(t)
	before := x.old.current.Clone()
	settled := x.settle(true)
	x.Equal(settled.Ranges, before.Ranges)
	x.True(settled.Term >= eraStart(x.unsettled.Era))
	x.True(settled.Fence >= oriole.Fence(eraStart(x.unsettled.Era)))
	x.Equal(len(settled.PriorLeaders), 0)
	x.True(x.old.Leading())
	x.Equal(x.old.current.Term, settled.Term)
	x.True(x.old.mayMove(x.now))
}

// TestLeaderReplacedBeforeRestoreMovesNothing checks that a leader which can't know
// whether another had replaced it, whose record is lost, moves nothing until the
// leases of the other have expired, and that its successor doesn't either.
func TestLeaderReplacedBeforeRestoreMovesNothing(t *testing.T) {
	x := newRestored(t)
	learned := x.now
	settled := x.settle(false)
	x.Equal(settled.PriorLeaders, []oriole.GatewayID{oriole.UnknownLeader})
	until := x.old.leaseExpiry(learned.Add(simConfig.LeaderLease))
	for x.now.Before(until) {
		x.old.confirmLeadership(x.now)
		x.True(!x.old.mayMove(x.now))
		x.wait(x.old, startupDelay/2)
	}
	x.old.confirmLeadership(x.now)
	x.True(x.old.mayMove(x.now))
	x.old.TakeEffects()
	x.old.Tick(x.now)
	x.Equal(x.old.remainingPriorLeaders(x.now), nil)

	y := newRestored(t)
	settled = y.settle(false)
	y.read(y.new, settled, oriole.Version{Era: y.unsettled.Era, Revision: 7})
	y.new.resignedTerm = settled.Term
	y.wait(y.new, 3*candidateDelay)
	w := y.write(y.new)
	y.Equal(w.Assignment.Term, settled.Term+1)
	y.new.WriteDone(y.now, y.now, w.Assignment, oriole.Version{Era: y.unsettled.Era, Revision: 8}, nil)
	y.wait(y.new, 2*y.new.takeoverDelay())
	y.new.confirmLeadership(y.now)
	y.True(!y.new.mayMove(y.now))
	_, _, grants, releases := y.effects(y.new)
	y.Equal(len(grants)+len(releases), 0)
}

// TestLeaderStepsDownWhenAnotherSettled checks that a leader steps down when another
// gateway has written the first assignment of the store's era, and when its own
// write took effect without a response does not.
func TestLeaderStepsDownWhenAnotherSettled(t *testing.T) {
	for _, test := range []struct {
		name string
		own  bool
	}{{"another gateway", false}, {"own write", true}} {
		t.Run(test.name, func(t *testing.T) {
			x := newRestored(t)
			x.read(x.old, x.older, x.unsettled)
			x.wait(x.old, statementTimeout)
			a := x.write(x.old).Assignment
			if !test.own {
				a.Leader = x.new.cfg.Self
			}
			x.old.WriteDone(x.now, x.now, x.old.pendingWrite.Clone(), oriole.Version{}, errTimeout)
			x.read(x.old, a, oriole.Version{Era: x.unsettled.Era, Revision: 7})
			x.Equal(x.old.Leading(), test.own)
			x.Equal(x.old.current.Leader, a.Leader)
		})
	}
}

// TestExpiredLeaderDoesNotSettle checks that a leader whose leader lease expired
// before it found that the store was restored does not resume its leases: another
// may have waited for its end.
func TestExpiredLeaderDoesNotSettle(t *testing.T) {
	x := newRestored(t)
	x.now = x.old.confirmedAt.Add(simConfig.LeaderLease)
	x.read(x.old, x.older, x.unsettled)
	x.True(!x.old.Leading())
	x.Equal(x.old.MinRenewTerm(), x.old.current.Term+1)
}

// TestRefusedRenewalAfterRestoreStopsMoves checks that a leader which has settled
// an era moves nothing any more once an owner refuses a token granted before.
func TestRefusedRenewalAfterRestoreStopsMoves(t *testing.T) {
	x := newRestored(t)
	x.settle(true)
	x.old.leases[0].nextGrant = x.now
	x.old.Tick(x.now)
	_, _, grants, _ := x.effects(x.old)
	x.Equal(len(grants), 1)
	x.True(x.old.mayMove(x.now))
	x.old.CallDone(x.now, grants[0].ID, Result{Err: oriole.ErrFenced})
	x.True(!x.old.mayMove(x.now))
	w := x.write(x.old) // the next leader must know
	x.Equal(w.Assignment.PriorLeaders, []oriole.GatewayID{oriole.UnknownLeader})
}

// TestClaimAfterRestoreWaitsForLostLeaders checks that a gateway which takes over
// after the store was restored starts from the newest assignment that it knows, and
// calls no upstream while the leases of lost leaders may run.
func TestClaimAfterRestoreWaitsForLostLeaders(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports bool
		runs    time.Duration
		stopped bool
	}{
		{"leaders out of reach", false, simConfig.LeaderLease, false},
		{"all report that they stopped", true, simConfig.LeaderLease, true},
		{"all report, to a gateway that may not know all", true, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := newRestored(t)
			known := x.old.current.Clone()
			x.new.receive(x.now, known)
			x.new.startedAt = x.now.Add(-test.runs)
			x.new.resignedTerm = known.Term
			x.read(x.new, x.older, x.unsettled)
			learned := x.now
			x.wait(x.new, 2*candidateDelay)
			w := x.write(x.new)
			x.Equal(w.Expected, x.unsettled)
			x.True(w.Assignment.Term >= eraStart(x.unsettled.Era))
			for i, r := range w.Assignment.Ranges {
				x.Equal(r.Owner, known.Ranges[i].Owner)
				x.True(r.Fence >= oriole.Fence(eraStart(x.unsettled.Era)))
			}
			x.new.WriteDone(x.now, x.now, w.Assignment, oriole.Version{Era: x.unsettled.Era, Revision: 7}, nil)
			x.True(x.new.Leading())

			until := x.new.leaseExpiry(learned.Add(simConfig.LeaderLease))
			if test.reports {
				x.peers(x.new, w.Assignment.Term)
			}
			if test.stopped {
				until = x.new.leaseExpiry(x.now)
			}
			for x.now.Before(until) {
				x.new.confirmLeadership(x.now)
				_, _, grants, releases := x.effects(x.new)
				x.Equal(len(grants), 0)
				for _, r := range releases {
					// Only those of a sweep, which no upstream answers here.
					x.True(r.Lease.First == 0 && r.Lease.Last == oriole.MaxShardKey && !x.now.Before(x.new.sweepStart()))
				}
				x.wait(x.new, earlier(x.now.Add(startupDelay/2), until).Sub(x.now))
			}
			x.new.confirmLeadership(x.now)
			x.new.Tick(x.now)
			_, _, grants, _ := x.effects(x.new)
			x.True(len(grants) > 0)
		})
	}
}

// TestLostClaimDoesNotLead checks that a gateway does not become the leader by a
// write that succeeded in an era which has ended.
func TestLostClaimDoesNotLead(t *testing.T) {
	x := newRestored(t)
	claim := x.old.current.Clone()
	claim.Term++
	claim.Leader = x.new.cfg.Self
	x.new.pendingWrite = &claim
	x.read(x.new, x.older, x.unsettled)
	x.new.WriteDone(x.now, x.now, claim, oriole.Version{Revision: 9}, nil)
	x.True(!x.new.Leading())
}

// TestFirstAssignmentAfterRestoreWaits checks that a gateway which finds no
// assignment in a store that was restored waits for the leases of those that were
// lost, and that it does not in a store that never was.
func TestFirstAssignmentAfterRestoreWaits(t *testing.T) {
	for era := range uint64(3) {
		s := newSim(7, 3, 5, 0)
		s.store.era = era
		s.run(simConfig.LeaseTTL)
		if served := s.unowned() == 0; served != (era <= firstEra) {
			t.Errorf("era %d: all keys have owners after a lease: %v", era, served)
		}
		s.run(25 * time.Second)
		if n := s.unowned(); n > 0 || s.violation != "" {
			s.fail(t, 7, "keys without an owner: "+s.violation)
		}
	}
}

// restoreAfterChange changes the assignment and restores the store from a copy that
// doesn't have the change. The store is away for a second.
func (s *sim) restoreAfterChange() {
	s.run(simConfig.LeaderLease)
	older := s.store.copy()
	s.servers[1].draining = true
	s.publishState()
	s.run(2 * time.Second)
	s.restoreFrom(older, time.Second)
}

// TestReleaseAfterReleaseOfLostLeader checks that the answer to a release does not
// count as the end of all requests while an upstream may still execute the release of
// a leader whose record was lost.
func TestReleaseAfterReleaseOfLostLeader(t *testing.T) {
	x := newRestored(t)
	x.old.startedAt = x.now.Add(-simConfig.LeaderLease)
	x.settle(false)
	x.peers(x.old, x.old.current.Term)
	learned := x.old.eraSince
	for x.old.awaitsUnknownLeaders(x.now) {
		x.old.confirmLeadership(x.now)
		x.wait(x.old, startupDelay/2)
	}
	x.True(x.now.Before(learned.Add(lateExecution)))
	x.old.confirmLeadership(x.now)
	x.old.TakeEffects()
	release := x.move()
	x.True(x.old.calls[release.ID].repeated)
}

// TestPausedLeaderDoesNotRelyOnStatements checks that a leader which was suspended
// before it found that the store was restored does not settle the era as if none had
// replaced it: one that did may be gone, unseen.
func TestPausedLeaderDoesNotRelyOnStatements(t *testing.T) {
	x := newRestored(t)
	x.now = x.now.Add(10 * time.Second)
	x.read(x.old, x.older, x.unsettled)
	x.wait(x.old, statementDelay)
	x.peers(x.old, x.old.current.Term)
	x.wait(x.old, statementTimeout)
	x.Equal(x.write(x.old).Assignment.PriorLeaders, []oriole.GatewayID{oriole.UnknownLeader})
}

// TestOwnersStayWhileUnknownLeadersAreAwaited checks that a range keeps an owner
// whose lease can be renewed, although it drains: its next owner would have to wait.
func TestOwnersStayWhileUnknownLeadersAreAwaited(t *testing.T) {
	x := newRestored(t)
	settled := x.settle(false)
	owner := settled.Ranges[0].Owner
	state := *x.old.state
	state.Upstreams = maps.Clone(state.Upstreams)
	u := state.Upstreams[owner.ID]
	u.Draining = true
	state.Upstreams[owner.ID] = u
	x.old.SetClusterState(x.now, &state)
	x.now = x.now.Add(planInterval)
	x.old.leases[0].nextGrant = x.now
	x.old.Tick(x.now)
	_, writes, grants, _ := x.effects(x.old)
	x.Equal(writes, 0)
	x.True(slices.ContainsFunc(grants, func(g *LeaseCall) bool { return g.To.ID == owner.ID }))
}

// TestRestartedLeaderDoesNotResumeOlderTerm checks that a gateway which has lost its
// state does not resume the term of its own older assignment.
func TestRestartedLeaderDoesNotResumeOlderTerm(t *testing.T) {
	x := newRestored(t)
	m := New(x.old.cfg)
	x.read(m, x.older, x.unsettled)
	x.True(!m.Leading())
	m = New(x.old.cfg)
	x.read(m, x.older, oriole.Version{Era: x.unsettled.Era, Revision: 7})
	x.True(m.Leading())
}

// TestSettlingLeaderAsksItsPeers guards against waiting for reports that peers don't send
// because other frames show that they are alive.
func TestSettlingLeaderAsksItsPeers(t *testing.T) {
	x := newTakeover(t)
	asks := func() (n, writes int) {
		for _, e := range x.old.TakeEffects() {
			if e.AskPeers {
				n++
			}
			if e.Write != nil {
				writes++
			}
		}
		return n, writes
	}
	asks()
	x.old.ReadDone(x.now, x.now, x.old.current.Clone(), oriole.Version{Era: x.old.version.Era + 1}, false, nil)
	n, writes := asks()
	x.Equal(n, 1)
	x.Equal(writes, 0)
	x.old.Tick(x.now.Add(askInterval - time.Millisecond))
	n, _ = asks()
	x.Equal(n, 0)
	x.now = x.now.Add(statementDelay)
	x.old.Tick(x.now)
	n, _ = asks()
	x.Equal(n, 1)
	for g := range x.old.state.Gateways {
		x.old.SetPeerMinRenewTerm(x.now, g, x.old.current.Term)
	}
	x.old.Tick(x.now)
	n, writes = asks()
	x.Equal(n, 0)
	x.Equal(writes, 1)
}

// TestOwnWriteIsNoRestore guards against taking a write whose response was lost, and which
// the gateway's other duties have read, for a restore of the store.
func TestOwnWriteIsNoRestore(t *testing.T) {
	x := newTakeover(t)
	x.old.version.Era, x.old.storeEra = 1, 1
	written := x.old.current.Clone()
	written.Seq++
	written.Fence++
	written.Ranges[0].Fence = written.Fence
	x.old.lastSeq, x.old.pendingWrite = written.Seq, &written
	x.old.WriteDone(x.now, x.now, written, oriole.Version{}, errTimeout)
	read := x.old.version.Next()

	state := x.old.state.Clone()
	state.SetAssignment(&written, x.now)
	x.old.SetClusterState(x.now, state)
	x.old.ReadDone(x.now, x.now, written, read, false, nil)
	x.True(!x.old.settling)
	x.Equal(x.old.version, read)
	x.Equal(x.old.leases[0].Fence, written.Fence)
}

// TestSweepWaitsForEachUpstream guards against giving keys out again after a restore while
// an upstream that no gateway reaches may hold them for a leader that nobody knows.
func TestSweepWaitsForEachUpstream(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	s.restoreAfterChange()
	for _, g := range s.gateways {
		g.down = true
		s.schedule(time.Second, func() { s.startGateway(g) })
		s.cutLinks[[2]string{g.name, "srv0"}] = cutHangs
	}
	s.run(12 * time.Second)
	is.True(s.leader().machine.awaitsUnknownLeaders(s.clock.Now()))
	is.True(s.unowned() > 0)
	for _, g := range s.gateways {
		delete(s.cutLinks, [2]string{g.name, "srv0"})
	}
	s.run(8 * time.Second)
	is.True(!s.leader().machine.awaitsUnknownLeaders(s.clock.Now()))
	is.Equal(s.unowned(), 0)
	is.Equal(s.violation, "")
}

// sweepSeeds is the number of seeds of the sweep beside a leader that nobody knows.
const sweepSeeds = 20

// TestSweepEndsLeasesOfUnknownLeader guards against two owners after a restore that has
// lost the record of a leader which still renews leases, cut off from the store and all
// other gateways.
func TestSweepEndsLeasesOfUnknownLeader(t *testing.T) {
	forEachSeed(t, sweepSeeds, func(t *testing.T, seed uint64) {
		s := newSim(seed, 3, 5, 0, withLateFaults(seed))
		s.late.rate = 0
		s.store.era = 1
		s.run(10 * time.Second)
		older := s.store.copy()
		first := s.leader()
		first.down = true
		s.schedule(800*time.Millisecond, s.publishState)
		s.run(8 * time.Second)
		unknown := s.leader()
		if unknown == nil || unknown == first {
			s.fail(t, seed, "no other leader")
		}
		s.store.unreachableFrom[unknown.name] = true
		for _, other := range s.gateways {
			if other == unknown {
				continue
			}
			s.cutLinks[[2]string{unknown.name, other.name}] = cutHangs
			s.cutLinks[[2]string{other.name, unknown.name}] = cutHangs
			// It forgets the assignment that is lost.
			other.down = true
			s.schedule(time.Second, func() { s.startGateway(other) })
		}
		s.restoreFrom(older, 300*time.Millisecond)
		s.run(8 * time.Second)
		if !unknown.machine.Leading() {
			s.fail(t, seed, "the unknown leader renews no lease any more")
		}
		s.run(10 * time.Second)
		s.late = nil // no more moves
		s.run(15 * time.Second)
		if s.violation != "" || s.unowned() > 0 {
			s.fail(t, seed, fmt.Sprintf("%d sampled keys have no owner. %s", s.unowned(), s.violation))
		}
	})
}
