package orioleassign

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// seeds returns the number of seeds that a test runs with: the default, or the
// value of ORIOLE_SEEDS.
func seeds(t *testing.T, defaultSeeds uint64) uint64 {
	if text := os.Getenv("ORIOLE_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("ORIOLE_SEEDS: %v", err)
		}
		return n
	}
	return defaultSeeds
}

// fail fails the test with the end of the simulation's trace.
func (s *sim) fail(t *testing.T, seed uint64, message string) {
	t.Helper()
	trace := s.trace
	if len(trace) > 60 {
		trace = trace[len(trace)-60:]
	}
	t.Fatalf("seed %d: %s\n%s", seed, message, strings.Join(trace, "\n"))
}

// injectFault injects a random fault and undoes it some time later.
func (s *sim) injectFault() {
	srv := s.servers[s.rng.IntN(len(s.servers))]
	g := s.gateways[s.rng.IntN(len(s.gateways))]
	span := time.Duration(500+s.rng.IntN(9000)) * time.Millisecond
	switch s.rng.IntN(12) {
	case 11:
		s.log("%s is suspected", srv.id)
		s.reportSuspect(srv)
	case 0:
		if !srv.down {
			s.killServer(srv)
			s.schedule(span, func() { s.startServer(srv) })
		}
	case 1:
		// It restarts before the directory shows that it has ended.
		if !srv.down {
			s.log("%s restarts", srv.id)
			s.startServer(srv)
		}
	case 2:
		srv.draining = true
		s.schedule(span, func() { srv.draining = false; s.publishState() })
	case 3:
		if !g.down {
			s.log("%s is killed", g.id)
			g.down = true
			s.schedule(span, func() { s.startGateway(g) })
		}
	case 4:
		g.paused = true
		s.log("%s is paused", g.id)
		s.schedule(span, func() { s.resume(g); s.publishState() })
	case 5:
		s.store.down = true
		s.log("the store is down")
		s.schedule(span, func() { s.store.down = false })
	case 6:
		s.store.unreachableFrom[g.name] = true
		s.schedule(span, func() { delete(s.store.unreachableFrom, g.name) })
	case 7, 8:
		pair := [2]string{g.name, string(srv.id)}
		s.cutLinks[pair] = cutHangs
		s.log("link between %s and %s is cut", g.name, srv.id)
		s.schedule(span, func() { delete(s.cutLinks, pair) })
	case 9:
		other := s.gateways[s.rng.IntN(len(s.gateways))]
		pair, back := [2]string{g.name, other.name}, [2]string{other.name, g.name}
		s.cutLinks[pair], s.cutLinks[back] = cutHangs, cutHangs
		s.schedule(span, func() { delete(s.cutLinks, pair); delete(s.cutLinks, back); s.publishState() })
	case 10:
		s.killAllGateways()
	}
	s.schedule(time.Duration(300+s.rng.IntN(900))*time.Millisecond, s.publishState)
}

// runFaults runs the simulation under random faults, and fails the test if any
// key has two owners or a fencing token that does not grow, or if a key has no
// owner once the faults have ended.
func runFaults(t *testing.T, seed uint64, options ...func(*sim)) {
	t.Helper()
	s := newSim(seed, 3, 5, 0.08, options...)
	s.run(4 * time.Second)
	for range 25 {
		for range s.rng.IntN(40) {
			g := s.gateways[s.rng.IntN(len(s.gateways))]
			g.machine.AddLoad(s.rng.IntN(buckets), 5)
		}
		s.injectFault()
		s.injectLeaderFault()
		s.injectRestore()
		s.injectCut()
		s.run(time.Duration(s.rng.IntN(3000)) * time.Millisecond)
	}
	s.run(12 * time.Second)
	s.faultRate, s.late, s.restores, s.cuts = 0, nil, nil, nil
	s.run(40 * time.Second)
	if s.violation != "" {
		s.fail(t, seed, s.violation)
	}
	if n := s.unowned(); n > 0 {
		s.fail(t, seed, fmt.Sprintf("%d of %d sampled keys have no owner at the end", n, sampleCount))
	}
}

// ownerSeeds is the number of seeds that the tests of ownership run with.
const ownerSeeds = 120

// forEachSeed runs the test with each seed, several at once.
func forEachSeed(t *testing.T, defaultSeeds uint64, run func(*testing.T, uint64)) {
	t.Helper()
	for seed := range seeds(t, defaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}

// TestOneOwnerUnderFaults checks that under random faults no key has two owners.
// In seeds 69 and, with another choice of moves, 45, a leader that had just been
// replaced took the response to its release as proof that no request was
// running, although its successor had released the range before.
func TestOneOwnerUnderFaults(t *testing.T) {
	forEachSeed(t, ownerSeeds, func(t *testing.T, seed uint64) { runFaults(t, seed) })
}

// TestOneOwnerWithAnyMoves checks the same for arbitrary moves of ranges, with
// calls and responses of the store that are late.
func TestOneOwnerWithAnyMoves(t *testing.T) {
	forEachSeed(t, ownerSeeds, func(t *testing.T, seed uint64) { runFaults(t, seed, withLateFaults(seed)) })
}

// TestOneOwnerRegressionSeeds runs the seeds that have failed. 69, and 45 with
// another choice of moves: see TestOneOwnerUnderFaults. 1794: a prior owner was
// sent two releases at once. 72: a prior owner that had restarted twice was, too.
// 952: a grant under way reached the next incarnation of an upstream.
func TestOneOwnerRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{45, 69, 1794} {
		runFaults(t, seed)
	}
	for _, seed := range []uint64{69, 72, 952} {
		runFaults(t, seed, withLateFaults(seed))
	}
}

// newSettledSim returns a simulation in which all keys have owners.
func newSettledSim(t *testing.T) *sim {
	t.Helper()
	s := newSim(7, 3, 5, 0)
	s.run(8 * time.Second)
	if n := s.unowned(); n > 0 {
		s.fail(t, 7, fmt.Sprintf("%d sampled keys have no owner", n))
	}
	return s
}

func (s *sim) leader() *simGateway {
	for _, g := range s.gateways {
		if !g.down && g.machine.Leading() {
			return g
		}
	}
	return nil
}

// unownedFor runs the simulation for the span and returns for how long any
// sampled key had no owner.
func (s *sim) unownedFor(span time.Duration) time.Duration {
	const step = 20 * time.Millisecond
	total := time.Duration(0)
	for range span / step {
		s.run(step)
		if s.unowned() > 0 {
			total += step
		}
	}
	return total
}

// recoveryTarget is the time within which a key must be served again after a
// failure, from the target in docs/DEVELOPERS.md.
const recoveryTarget = time.Second

// reportSuspect simulates dispatchers on all gateways that fail to connect to the server
// 100 ms from now, and report this to the leader.
func (s *sim) reportSuspect(srv *simServer) { s.reportSuspectFrom(srv, s.gateways) }

// reportSuspectFrom does the same for dispatchers on the gateways.
func (s *sim) reportSuspectFrom(srv *simServer, gateways []*simGateway) {
	incarnation := srv.incarnation()
	s.schedule(100*time.Millisecond, func() {
		for _, g := range s.gateways {
			if g.down {
				continue
			}
			for _, from := range gateways {
				g.machine.ReportUnreachable(s.clock.Now(), from.id, incarnation)
			}
			s.runEffects(g)
		}
	})
}

// cutFromServers cuts the gateway off from all servers.
func (s *sim) cutFromServers(g *simGateway, kind cutKind) {
	for _, srv := range s.servers {
		s.cutLinks[[2]string{g.name, string(srv.id)}] = kind
	}
}

// cutFromLeaderAndNext cuts the leader off from all servers, and then its successor.
func (s *sim) cutFromLeaderAndNext(kind cutKind) {
	first := s.leader()
	s.cutFromServers(first, kind)
	s.schedule(2*time.Second, func() {
		if next := s.leader(); next != nil && next != first {
			s.cutFromServers(next, kind)
		}
	})
}

// TestRecovery checks for how long keys are without an owner after each kind of
// failure. The bounds are at most recoveryTarget, with two exceptions: the
// lease of a server that is silent or refuses connections has to expire first,
// and a leader that can't reach the store has to be replaced before another
// owner can be assigned. TestRedRecovery holds the former to recoveryTarget.
func TestRecovery(t *testing.T) {
	lease := simConfig.LeaseTTL + simConfig.LeaseTTL/50 + simConfig.MaxCallDelay
	// A tick, and a grant with its response.
	const reaction = 100 * time.Millisecond
	for _, test := range []struct {
		name  string
		fault func(s *sim)
		bound time.Duration
	}{
		{"leader killed", func(s *sim) { s.leader().down = true; s.schedule(800*time.Millisecond, s.publishState) }, 0},
		{"leader paused", func(s *sim) { s.leader().paused = true; s.schedule(800*time.Millisecond, s.publishState) }, 0},
		{"server drains", func(s *sim) { s.servers[0].draining = true; s.publishState() }, 500 * time.Millisecond},
		{"server killed, lease expires", func(s *sim) {
			s.reportSuspect(s.servers[0])
			s.killServer(s.servers[0])
		}, lease + reaction},
		{"server unresponsive", func(s *sim) {
			for _, g := range s.gateways {
				s.cutLinks[[2]string{g.name, "srv0"}] = cutHangs
			}
		}, lease},
		{"server restarted under its ID", func(s *sim) { s.startServer(s.servers[0]) }, recoveryTarget},
		{"store down for 10 s", func(s *sim) {
			s.store.down = true
			s.schedule(10*time.Second, func() { s.store.down = false })
		}, 0},
		{"leader alone can't reach the store, and a server drains", func(s *sim) {
			s.store.unreachableFrom[s.leader().name] = true
			s.servers[0].draining = true
			s.publishState()
		}, 2 * time.Second},
		{"leader alone can't reach the servers", func(s *sim) { s.cutFromServers(s.leader(), cutHangs) }, 0},
		{"leader's connections to the servers are reset", func(s *sim) { s.cutFromServers(s.leader(), cutResets) }, 0},
		{"leader's new connections to the servers are refused", func(s *sim) { s.cutFromServers(s.leader(), cutRefuses) }, 0},
		{"leader and its successor can't reach the servers", func(s *sim) { s.cutFromLeaderAndNext(cutHangs) }, recoveryTarget},
		{"leader's connections to the servers are reset, and its successor's", func(s *sim) { s.cutFromLeaderAndNext(cutResets) }, recoveryTarget},
		{"connections of the leader's zone to the servers are reset", func(s *sim) {
			for _, g := range s.gateways {
				g.zone = "other"
			}
			zone := s.cutGateways(cutZone)
			for _, g := range zone {
				g.zone = "own"
			}
			s.publishState()
			for _, srv := range s.servers {
				s.cutServer(srv, cutResets, zone, time.Hour)
				s.schedule(time.Second, func() { s.reportSuspectFrom(srv, zone) })
			}
		}, recoveryTarget},
		{"half of the servers killed", func(s *sim) {
			for _, srv := range s.servers[:3] {
				s.reportSuspect(srv)
				s.killServer(srv)
			}
		}, lease + reaction},
		{"store restored", (*sim).restoreAfterChange, 0},
		{"store restored, and a server killed, lease expires", func(s *sim) {
			s.restoreAfterChange()
			s.schedule(time.Second, func() {
				s.reportSuspect(s.servers[0])
				s.killServer(s.servers[0])
			})
		}, lease + reaction},
		{"store restored, and all gateways killed and back after 1 s", func(s *sim) {
			s.restoreAfterChange()
			for _, g := range s.gateways {
				g.down = true
				s.schedule(time.Second, func() { s.startGateway(g) })
			}
		}, 10 * time.Second},
		{"all gateways killed and back after 1 s", func(s *sim) {
			for _, g := range s.gateways {
				g.down = true
				s.schedule(time.Second, func() { s.startGateway(g) })
			}
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSettledSim(t)
			test.fault(s)
			got := s.unownedFor(25 * time.Second)
			if s.violation != "" || s.unowned() > 0 {
				s.fail(t, 7, "not recovered: "+s.violation)
			}
			if got > test.bound {
				s.fail(t, 7, fmt.Sprintf("keys without an owner for %v, bound %v", got, test.bound))
			}
			t.Logf("keys without an owner for %v, bound %v", got, test.bound)
		})
	}
}

// TestHotKeysSpread checks that adjacent hot keys are spread over several
// servers within seconds.
func TestHotKeysSpread(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	const hot, ratePerKey = 50, 1.0
	for range 20 {
		for i := range hot {
			s.leader().machine.AddLoad(BucketOf(20000)+i, ratePerKey*0.1)
		}
		s.run(100 * time.Millisecond)
	}
	owners := make(map[oriole.ServerID]int)
	assignment := s.leader().machine.Assignment()
	for i := range hot {
		owners[assignment.Find(oriole.ShardKey(20000+i*bucketKeys)).Owner.ID]++
	}
	is.Equal(s.violation, "")
	is.True(len(owners) >= 4) // spread over servers
	for id, n := range owners {
		if n > hot/2 {
			t.Errorf("%s still owns %d of %d hot keys", id, n, hot)
		}
	}
}

// TestHotKeyMovesToFastestServer checks that a single key whose load exceeds
// the capacity of any server moves to the server with the highest capacity, and
// that most other keys move away from that server.
func TestHotKeyMovesToFastestServer(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	const hot = oriole.ShardKey(20000)
	m := s.leader().machine
	for i, srv := range s.servers {
		m.SetRequestDuration(srv.id, time.Duration(150-i*22)*time.Millisecond)
	}
	for range 40 {
		m.AddLoad(BucketOf(hot), 4)
		for i := range 5 {
			m.AddLoad(i*buckets/5+100, 0.5)
		}
		s.run(100 * time.Millisecond)
	}
	is.Equal(s.violation, "")
	owned := m.Assignment().Find(hot)
	is.Equal(owned.Owner.ID, s.servers[4].id) // highest capacity
	is.True(owned.Size() <= 2*bucketKeys)     // with few other keys
}

func TestLoadProfile(t *testing.T) {
	is := is.New(t)
	var l Load
	now := time.Unix(100, 0)
	l.Decay(now)
	l.Add(BucketOf(40), 100)
	l.Add(-1, 5)
	l.Add(buckets, 5)
	p := l.profile()
	whole := p.between(0, oriole.MaxShardKey)
	is.True(p.between(40, 40) > whole/2)                 // the hot bucket
	is.True(p.between(41, oriole.MaxShardKey) < whole/2) // the rest
	is.Equal(p.hottestBucket(oriole.Range{First: 0, Last: 1000}), oriole.Range{First: 40, Last: 40})
	is.Equal(p.headWithLoad(0, 1000, whole/2), oriole.ShardKey(40))
	is.Equal(p.tailWithLoad(0, 1000, whole/2), oriole.ShardKey(40))
	l.Decay(now.Add(time.Minute))
	is.True(l.profile().between(40, 40) < 1) // decayed
}

// TestReleaseAtReplacedUpstream checks that an incarnation counts as ended once
// a release finds another upstream at its address, so that its ranges can go to
// their next owners at once. A release that timed out proves nothing.
func TestReleaseAtReplacedUpstream(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	m := s.leader().machine
	incarnation := m.leases[0].Owner
	m.calls[1000] = call{kind: callRelease, incarnation: incarnation, first: 0, last: 10, fence: 1}
	m.status(incarnation).releasing++
	m.CallDone(s.clock.Now(), 1000, Result{Err: oriole.ErrReplaced})
	is.True(m.incarnationEnded(incarnation))
	other := m.leases[len(m.leases)-1].Owner
	m.calls[1001] = call{kind: callRelease, incarnation: other, first: 0, last: 10, fence: 1}
	m.status(other).releasing++
	m.CallDone(s.clock.Now(), 1001, Result{Err: errTimeout})
	is.True(!m.incarnationEnded(other)) // a release may wait for running requests
	is.True(!m.status(other).down)
}
