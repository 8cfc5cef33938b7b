package orioleassign

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// cutGatewaysFrom cuts the links between the two groups of gateways. All reach the store and
// the servers.
func (s *sim) cutGatewaysFrom(a, b []*simGateway) {
	for _, g := range a {
		for _, other := range b {
			if g != other {
				s.cutLinks[[2]string{g.name, other.name}] = cutHangs
				s.cutLinks[[2]string{other.name, g.name}] = cutHangs
			}
		}
	}
	s.schedule(1100*time.Millisecond, s.publishState) // the silence timeout of the failure detector
}

// highestTerm returns the highest term that a gateway knows.
func (s *sim) highestTerm() (term uint64) {
	for _, g := range s.gateways {
		term = max(term, g.machine.current.Term)
	}
	return term
}

// killLeaderAfter kills the leader after the span.
func (s *sim) killLeaderAfter(span time.Duration) {
	s.schedule(span, func() {
		if leader := s.leader(); leader != nil {
			s.log("%s is killed", leader.id)
			leader.down = true
		}
	})
}

// TestGatewaysThatDoNotHearOneAnother guards against gateways that take the leadership from
// one another again and again, while none leads for long enough to renew the leases.
func TestGatewaysThatDoNotHearOneAnother(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(s *sim)
	}{
		{"all are cut off from each other", func(s *sim) { s.cutGatewaysFrom(s.gateways, s.gateways) }},
		{"the leader is cut off from the others", func(s *sim) { s.cutGatewaysFrom([]*simGateway{s.leader()}, s.gateways) }},
		{"all are cut off from each other, and the links heal", func(s *sim) {
			s.cutGatewaysFrom(s.gateways, s.gateways)
			s.schedule(20*time.Second, func() { clear(s.cutLinks); s.publishState() })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSettledSim(t)
			term := s.highestTerm()
			test.fault(s)
			s.checkLeadership(t, term, 0)
		})
	}
}

// TestLostLeaderIsReplacedByGatewaysThatDoNotHearIt guards against keys that wait for a lost
// leader because silence on links is no proof of its end.
func TestLostLeaderIsReplacedByGatewaysThatDoNotHearIt(t *testing.T) {
	// The leader is killed at different times since its last renewal of the leases.
	for phase := time.Duration(0); phase < simConfig.RenewInterval; phase += 200 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			s := newSettledSim(t)
			term := s.highestTerm()
			s.cutGatewaysFrom(s.gateways, s.gateways)
			s.killLeaderAfter(20*time.Second + phase)
			s.checkLeadership(t, term, recoveryTarget)
		})
	}
}

// checkLeadership checks that keys are without an owner for the bound at most, and that few
// leaders follow that of the term.
func (s *sim) checkLeadership(t *testing.T, term uint64, bound time.Duration) {
	t.Helper()
	is := is.New(t)
	const span = 60 * time.Second
	unowned := s.unownedFor(span)
	if s.violation != "" {
		s.fail(t, 7, s.violation)
	}
	leaders := s.highestTerm() - term
	t.Logf("keys without an owner for %v of %v, %d new leaders", unowned, span, leaders)
	is.True(unowned <= bound)
	is.True(leaders <= uint64(len(s.gateways)))
}

// TestUnheardLeaderThatDrainsIsReplacedAtOnce guards against waiting for further writes of a
// leader that says it leaves.
func TestUnheardLeaderThatDrainsIsReplacedAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	leader, now := s.leader(), s.clock.Now()
	i := slices.IndexFunc(s.gateways, func(g *simGateway) bool { return g != leader })
	m := s.gateways[i].machine
	state := oriole.NewClusterState()
	state.DirectoryLoaded = true
	state.Gateways = map[oriole.GatewayID]oriole.Member{m.cfg.Self: {ID: m.cfg.Self}, leader.id: {ID: leader.id}}
	state.Alive[m.cfg.Self] = true
	m.SetClusterState(now, state)
	written := m.current.Clone()
	written.Seq++
	version := m.version.Next()
	m.ReadDone(now, now, written, version, false, nil)
	is.True(m.unheardLeaderActs(now))
	m.TakeEffects() // it reads the assignment again
	m.ReadDone(now, now, written, version, false, nil)

	draining := *state
	draining.Gateways = map[oriole.GatewayID]oriole.Member{m.cfg.Self: {ID: m.cfg.Self}, leader.id: {ID: leader.id, Draining: true}}
	m.SetClusterState(now, &draining)
	claims := slices.ContainsFunc(m.TakeEffects(), func(e Effect) bool { return e.Write != nil && e.Write.Assignment.Leader == m.cfg.Self })
	is.True(claims)
}

// TestLeaderIsNotJudgedBeforeItCanBeHeard guards against a gateway that takes over from a
// leader which lives as soon as it has read the directory, before it has connected to
// anyone: while the store comes back from a copy, all keys wait for seconds then.
func TestLeaderIsNotJudgedBeforeItCanBeHeard(t *testing.T) {
	is := is.New(t)
	s := newSettledSim(t)
	leader, now := s.leader(), s.clock.Now()
	cfg := simConfig
	cfg.Self = "started.1"
	m := New(cfg)
	step := func(span time.Duration, event func()) (claims bool) {
		for end := now.Add(span); now.Before(end) && !claims; now = now.Add(50 * time.Millisecond) {
			event()
			m.Tick(now)
			for _, e := range m.TakeEffects() {
				claims = claims || e.Write != nil
				if e.Read != nil {
					m.ReadDone(now, now, leader.machine.current.Clone(), leader.machine.version, e.Read.AllowStale, nil)
				}
			}
		}
		return claims
	}
	// The directory can't be read at first.
	is.True(!step(2*startupDelay, func() { m.SetClusterState(now, oriole.NewClusterState()) }))
	state := oriole.NewClusterState()
	state.DirectoryLoaded = true
	state.Gateways = map[oriole.GatewayID]oriole.Member{cfg.Self: {ID: cfg.Self}, leader.id: {ID: leader.id}}
	state.Alive[cfg.Self] = true
	list := func() { m.SetClusterState(now, state) }
	is.True(!step(hearingDelay-100*time.Millisecond, list))
	is.True(step(time.Second, list)) // a leader that is never heard is replaced
}
