package orioleassign

import (
	"math/rand/v2"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// lateFaults draws the faults of what arrives late: calls that wait in the
// gateway's ring before they are sent, releases that a server executes without
// a response seconds later, and responses of the store.
type lateFaults struct {
	rng  *rand.Rand
	rate float64
}

// duration returns 0 or, at the fault rate, a duration of at most limit.
func (l *lateFaults) duration(limit time.Duration) time.Duration {
	if l == nil || l.rng.Float64() >= l.rate {
		return 0
	}
	return time.Duration(l.rng.Int64N(int64(limit)))
}

// lateResponse returns a reply function of a store that may respond late.
func (s *sim) lateResponse(reply func(time.Duration, func())) func(time.Duration, func()) {
	extra := s.late.duration(1500 * time.Millisecond)
	return func(d time.Duration, event func()) { reply(d+extra, event) }
}

// send makes a lease call once it has waited in the gateway's ring and the
// gateway is not paused, unless it must no longer be sent by then.
func (s *sim) send(g *simGateway, name string, call LeaseCall, reply func(time.Duration, func()), do func(*simGateway, LeaseCall, func(time.Duration, func()))) {
	run := g.runs
	sendNow := func() {
		if g.runs != run || g.down {
			return
		}
		s.log("%s %s %s %d-%d fence %d", g.name, name, call.To.ID, call.Lease.First, call.Lease.Last, call.Lease.Fence)
		if !s.clock.Now().Before(call.SendBefore) {
			reply(0, func() { g.machine.CallDone(s.clock.Now(), call.ID, Result{Err: oriole.ErrExpired}) })
			return
		}
		do(g, call, reply)
	}
	if wait := s.late.duration(3 * time.Second); wait > 0 {
		s.schedule(wait, func() {
			if g.paused {
				g.inbox = append(g.inbox, sendNow)
				return
			}
			sendNow()
		})
		return
	}
	sendNow()
}

// executeLate lets the server execute an unanswered release seconds later.
func (s *sim) executeLate(srv *simServer, r oriole.LeaseRequest) {
	if s.late == nil {
		return
	}
	startedAt := srv.startedAt
	rng := s.late.rng
	s.schedule(time.Duration(2000+rng.IntN(10000))*time.Millisecond, func() {
		if !srv.down && srv.startedAt.Equal(startedAt) {
			s.log("%s executes the late release of %d-%d fence %d", srv.id, r.First, r.Last, r.Fence)
			s.applyRelease(srv, r, time.Duration(rng.IntN(300))*time.Millisecond)
		}
	})
}

// moveAnything replaces the balancer's choice of moves by any legal one: it
// reassigns random parts of random ranges to random targets.
func (s *sim) moveAnything(b *balancer) {
	if s.late == nil || len(b.targets) < 2 || s.late.rng.IntN(2) == 0 {
		return
	}
	rng := s.late.rng
	for range 1 + rng.IntN(4) {
		i := rng.IntN(len(b.ranges))
		part := b.ranges[i]
		if rng.IntN(2) == 0 && len(b.ranges) < 40 {
			part.First += oriole.ShardKey(rng.IntN(part.Size()))
			part.Last = part.First + oriole.ShardKey(rng.IntN(part.Size()))
		}
		to := b.targets[rng.IntN(len(b.targets))]
		if to.incarnation != part.Owner {
			b.replacePart(i, part, b.reassign(part, to))
		}
	}
}

// withLateFaults adds late calls and responses and arbitrary moves.
func withLateFaults(seed uint64) func(*sim) {
	return func(s *sim) { s.late = &lateFaults{rng: rand.New(rand.NewPCG(seed, 2)), rate: 0.1} }
}

// injectLeaderFault makes gateways replace each other as the leader: it cuts a
// leader off from its peers but not from the store and the servers, or pauses
// it, or kills all gateways twice.
func (s *sim) injectLeaderFault() {
	if s.late == nil {
		return
	}
	rng := s.late.rng
	g := s.leader()
	if g == nil {
		return
	}
	span := time.Duration(100+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(4) {
	case 0, 1:
		s.log("%s is cut off from its peers", g.name)
		for _, other := range s.gateways {
			pair, back := [2]string{g.name, other.name}, [2]string{other.name, g.name}
			s.cutLinks[pair], s.cutLinks[back] = cutHangs, cutHangs
			s.schedule(span, func() { delete(s.cutLinks, pair); delete(s.cutLinks, back); s.publishState() })
		}
	case 2:
		g.paused = true
		s.schedule(span, func() { s.resume(g); s.publishState() })
	case 3:
		s.killAllGateways()
		s.schedule(time.Duration(1000+rng.IntN(1000))*time.Millisecond, s.killAllGateways)
	}
	s.schedule(time.Duration(rng.IntN(300))*time.Millisecond, s.publishState)
	if srv := s.servers[rng.IntN(len(s.servers))]; rng.IntN(3) == 0 {
		s.schedule(time.Duration(rng.IntN(1500))*time.Millisecond, func() {
			if !srv.down {
				s.log("%s restarts", srv.id)
				s.startServer(srv)
			}
		})
	}
}

func (s *sim) killAllGateways() {
	s.log("all gateways are killed")
	for _, g := range s.gateways {
		g.down = true
		s.schedule(time.Second, func() { s.startGateway(g) })
	}
}
