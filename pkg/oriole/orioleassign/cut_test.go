package orioleassign

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// cuts draws cuts between gateways and servers that live on.
type cuts struct {
	rng *rand.Rand
	// kind and scope are those of all cuts.
	kind  cutKind
	scope cutScope
}

// cutScope is the share of the gateways that a cut affects.
type cutScope int

const (
	cutLeader cutScope = iota
	cutZone
	cutAll
)

func (k cutKind) String() string { return [...]string{"none", "hangs", "resets", "refuses"}[k] }

func (c cutScope) String() string { return [...]string{"leader", "zone", "all"}[c] }

// withCuts adds cuts of the kind that each last about as long as a connection is
// suspected, and arbitrary moves.
func withCuts(seed uint64, kind cutKind, scope cutScope) func(*sim) {
	return func(s *sim) {
		s.cuts = &cuts{rng: rand.New(rand.NewPCG(seed, 3)), kind: kind, scope: scope}
		s.late = &lateFaults{rng: rand.New(rand.NewPCG(seed, 2))}
	}
}

// cutGateways returns the gateways that a cut of the scope affects. A zone has two.
func (s *sim) cutGateways(scope cutScope) []*simGateway {
	if scope == cutAll {
		return s.gateways
	}
	leader := s.leader()
	if leader == nil {
		leader = s.gateways[0]
	}
	gateways := []*simGateway{leader}
	for _, g := range s.gateways {
		if scope == cutZone && g != leader && len(gateways) < 2 {
			gateways = append(gateways, g)
		}
	}
	return gateways
}

// cutServer cuts gateways off from the server for the given time. They suspect it.
func (s *sim) cutServer(srv *simServer, kind cutKind, gateways []*simGateway, span time.Duration) {
	for _, g := range gateways {
		s.log("link between %s and %s %s", g.name, srv.id, kind)
		pair := [2]string{g.name, string(srv.id)}
		s.cutLinks[pair] = kind
		s.schedule(span, func() { delete(s.cutLinks, pair) })
	}
	s.reportSuspectFrom(srv, gateways)
}

// injectCut cuts gateways off from some of the servers.
func (s *sim) injectCut() {
	if s.cuts == nil {
		return
	}
	rng := s.cuts.rng
	span := time.Duration(500+rng.IntN(3000)) * time.Millisecond
	gateways := s.cutGateways(s.cuts.scope)
	for _, i := range rng.Perm(len(s.servers))[:1+rng.IntN(2)] {
		s.cutServer(s.servers[i], s.cuts.kind, gateways, span)
	}
}

// cutSeeds is the number of seeds for each kind and scope of cuts, of which there are nine.
const cutSeeds = 5

// TestOneOwnerAcrossCuts guards against giving the keys of a live server to another one
// because its connections are reset or refused, as its own end would do.
func TestOneOwnerAcrossCuts(t *testing.T) {
	for _, kind := range []cutKind{cutHangs, cutResets, cutRefuses} {
		for _, scope := range []cutScope{cutLeader, cutZone, cutAll} {
			t.Run(fmt.Sprintf("%s/%s", kind, scope), func(t *testing.T) {
				forEachSeed(t, cutSeeds, func(t *testing.T, seed uint64) { runFaults(t, seed, withCuts(seed, kind, scope)) })
			})
		}
	}
}

// evidence is what a leader could take for the end of a server. shown reports whether the
// leader sees it now.
type evidence struct {
	name  string
	shown func(s *sim, srv *simServer) bool
	// unsafe holds the cuts under which it gives a live server's keys to another one.
	unsafe []string
	// crash is the longest time that keys have no owner after a crash.
	crash time.Duration
}

// refuses reports whether new connections of the gateway are refused, and ended whether
// its open ones have been closed too.
func (s *sim) refuses(g *simGateway, srv *simServer) (refused, ended bool) {
	cut := s.cutLinks[[2]string{g.name, string(srv.id)}]
	ended = cut == cutResets || (srv.down && cut != cutHangs)
	return ended || cut == cutRefuses, ended
}

func refusedAtLeader(s *sim, srv *simServer) bool {
	g := s.leader()
	if g == nil {
		return false
	}
	refused, _ := s.refuses(g, srv)
	return refused
}

func closedAt(s *sim, gateways []*simGateway, srv *simServer) bool {
	return !slices.ContainsFunc(gateways, func(g *simGateway) bool {
		_, ended := s.refuses(g, srv)
		return !ended
	})
}

func closedAtLeader(s *sim, srv *simServer) bool {
	g := s.leader()
	return g != nil && closedAt(s, []*simGateway{g}, srv)
}

func closedAtAll(s *sim, srv *simServer) bool { return closedAt(s, s.gateways, srv) }

func closedAtAllAndUnlisted(s *sim, srv *simServer) bool {
	return closedAtAll(s, srv) && !srv.registered
}

// playEvidence runs the simulation while the leader acts on the evidence. It returns for
// how long keys had no owner, and whether any had two.
func (s *sim) playEvidence(srv *simServer, shown func(*sim, *simServer) bool, span time.Duration) (unowned time.Duration, twoOwners bool) {
	const step = 50 * time.Millisecond
	seen := 0
	for range span / step {
		s.run(step)
		if s.unowned() > 0 {
			unowned += step
		}
		if !shown(s, srv) {
			seen = 0
			continue
		}
		// Two attempts to connect.
		if seen++; seen < 4 {
			continue
		}
		if g := s.leader(); g != nil {
			m := g.machine
			m.recordEnd(s.clock.Now(), srv.incarnation(), m.status(srv.incarnation()), oriole.ErrConnRefused)
			m.schedulePass(s.clock.Now())
			s.runEffects(g)
		}
	}
	return unowned, s.violation != ""
}

// TestEvidenceOfEnd shows for each fact that a leader could take for the end of a server
// which cuts of a live server produce it too, and so why only an expired lease ends the
// ownership of a server that is silent. docs/OWNERSHIP.md has the table.
func TestEvidenceOfEnd(t *testing.T) {
	resets := []string{"resets/leader", "resets/zone", "resets/all"}
	refuses := []string{"refuses/leader", "refuses/zone", "refuses/all"}
	const unlisted = "resets/all, and cut off from the store"
	leaseTime := simConfig.LeaseTTL + simConfig.LeaseTTL/50 + simConfig.MaxCallDelay
	for _, e := range []evidence{
		{"refused at the leader", refusedAtLeader, append(append(slices.Clone(resets), refuses...), unlisted), recoveryTarget},
		{"refused, and open connection closed", closedAtLeader, append(slices.Clone(resets), unlisted), recoveryTarget},
		{"the same at all gateways", closedAtAll, []string{"resets/all", unlisted}, recoveryTarget},
		{"the same, and no longer listed", closedAtAllAndUnlisted, []string{unlisted}, leaseTime},
		{"expired lease", func(*sim, *simServer) bool { return false }, nil, leaseTime},
	} {
		t.Run(e.name, func(t *testing.T) {
			for _, kind := range []cutKind{cutHangs, cutResets, cutRefuses} {
				for _, scope := range []cutScope{cutLeader, cutZone, cutAll} {
					e.play(t, fmt.Sprintf("%s/%s", kind, scope), func(s *sim, srv *simServer) {
						s.cutServer(srv, kind, s.cutGateways(scope), 8*time.Second)
					})
				}
			}
			e.play(t, unlisted, func(s *sim, srv *simServer) {
				s.cutServer(srv, cutResets, s.gateways, 8*time.Second)
				s.schedule(2600*time.Millisecond, func() { srv.registered = false; s.publishState() })
			})
			s := newSettledSim(t)
			srv := s.servers[0]
			s.reportSuspect(srv)
			s.killServer(srv)
			unowned, twoOwners := s.playEvidence(srv, e.shown, 8*time.Second)
			if twoOwners || unowned > e.crash {
				t.Errorf("crash: two owners: %v, keys without an owner for %v, bound %v", twoOwners, unowned, e.crash)
			}
			t.Logf("crash: keys without an owner for %v", unowned)
		})
	}
}

// play plays a fault after which the server lives on.
func (e evidence) play(t *testing.T, name string, fault func(*sim, *simServer)) {
	t.Helper()
	s := newSettledSim(t)
	srv := s.servers[0]
	fault(s, srv)
	unowned, twoOwners := s.playEvidence(srv, e.shown, 8*time.Second)
	if want := slices.Contains(e.unsafe, name); twoOwners != want {
		t.Errorf("%s: two owners: %v, want %v: %s", name, twoOwners, want, s.violation)
	}
	t.Logf("%s: two owners: %v, keys without an owner for %v", name, twoOwners, unowned)
}

// TestRefusedReleaseTakesMoveBack guards against leaving the keys of a move without an
// owner because the prior owner, which could still be granted them, refuses the new
// connection of a release.
func TestRefusedReleaseTakesMoveBack(t *testing.T) {
	s := newSettledSim(t)
	const hot, span, step = 50, 6 * time.Second, 100 * time.Millisecond
	for _, g := range s.gateways {
		s.cutFromServers(g, cutRefuses)
	}
	unowned := time.Duration(0)
	for range span / step {
		for i := range hot {
			s.leader().machine.AddLoad(BucketOf(20000)+i, 0.1)
		}
		unowned += s.unservedFor(step)
	}
	if s.violation != "" || unowned > recoveryTarget {
		s.fail(t, 7, fmt.Sprintf("keys without an owner that is assigned them for %v, bound %v. %s", unowned, recoveryTarget, s.violation))
	}
	clear(s.cutLinks)
	s.run(3 * time.Second)
	owners := make(map[oriole.ServerID]bool)
	for i := range hot {
		owners[s.leader().machine.Assignment().Find(oriole.ShardKey(20000+i*bucketKeys)).Owner.ID] = true
	}
	if len(owners) < 2 {
		t.Error("hot keys are not moved once releases arrive again")
	}
}

// unservedFor runs the simulation for the span and returns for how long any sampled key
// had no owner to which requests for it are sent.
func (s *sim) unservedFor(span time.Duration) time.Duration {
	const step = 20 * time.Millisecond
	total := time.Duration(0)
	for range span / step {
		s.run(step)
		if s.unserved() {
			total += step
		}
	}
	return total
}

// unserved reports whether the assigned owner of any sampled key doesn't hold it.
func (s *sim) unserved() bool {
	a := s.leader().machine.Assignment()
	for i := range sampleCount {
		r := a.Find(sampleKey(i))
		held := slices.ContainsFunc(s.servers, func(srv *simServer) bool {
			return srv.incarnation() == r.Owner && !srv.down && srv.leaseUntil[i].After(s.clock.Now())
		})
		if !held {
			return true
		}
	}
	return false
}

// TestShortLease shows what a lease costs that expires within recoveryTarget: when the
// leader is lost, keys lose their owners until it is replaced.
func TestShortLease(t *testing.T) {
	cfg := simConfig
	cfg.LeaseTTL, cfg.RenewInterval = 400*time.Millisecond, 150*time.Millisecond
	short := func(s *sim) { s.cfg = cfg }
	s := newSim(7, 3, 5, 0, short)
	s.run(8 * time.Second)
	s.killServer(s.servers[0])
	crash := s.unownedFor(8 * time.Second)
	s = newSim(7, 3, 5, 0, short)
	s.run(8 * time.Second)
	s.leader().down = true
	s.schedule(800*time.Millisecond, s.publishState)
	lost := s.unownedFor(8 * time.Second)
	t.Logf("keys without an owner: server killed %v, leader killed %v", crash, lost)
	if lost <= recoveryTarget {
		t.Errorf("a leader is replaced in %v: leases can be short enough for recoveryTarget", lost)
	}
}

// incarnation returns the server's present incarnation.
func (srv *simServer) incarnation() oriole.Incarnation {
	return oriole.Incarnation{ID: srv.id, StartedAt: srv.startedAt}
}
