package orioledispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

const (
	coldStep     = 25 * time.Millisecond
	coldGateways = 8
	// coldTestRate is the number of requests that the upstream tolerates in a second while
	// it is cold. It may get one and a half times that and five more.
	coldTestRate  = 5.0
	coldTestBound = 1.5*coldTestRate + 5
	coldRunTime   = 40 * time.Millisecond
	// coldReportDelay is the time until a gateway learns that another one does not see it.
	coldReportDelay = 100 * time.Millisecond
	// coldReportGrace is how long reports between a new gateway and another one don't count.
	coldReportGrace = 2200 * time.Millisecond
)

// manualClock is a clock that the test sets. It never ticks.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

func (*manualClock) Subscribe(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// coldGateway is one gateway with a view of its own.
type coldGateway struct {
	self  oriole.Member
	disp  *Dispatcher
	duty  *poolDuty
	state *oriole.ClusterState
	// unheardAt is when the gateway learns that others which it sees don't see it, or zero.
	unheardAt time.Time
	// stalled is set while the process does not run.
	stalled bool
	// startedAt is when the process started.
	startedAt time.Time
}

// Snapshot implements StateSource.
func (g *coldGateway) Snapshot() *oriole.ClusterState { return g.state }

// Subscribe implements StateSource.
func (g *coldGateway) Subscribe() <-chan struct{} { return nil }

// coldCluster runs the decisions of several gateways that callers ask for one cold upstream.
type coldCluster struct {
	t        *testing.T
	clock    *manualClock
	began    time.Time
	upstream oriole.Upstream
	pool     oriole.PoolID
	gateways []*coldGateway
	finishes []coldFinish
	sent     []time.Time
	senders  map[oriole.GatewayID]int
	requests int
	// anywhere is set if callers' gateways ask any dispatcher, as they do when they can't
	// reach the first one or it does not reach the upstream.
	anywhere bool
}

// coldFinish is the response to a request that was sent.
type coldFinish struct {
	at     time.Time
	to     *coldGateway
	result *result
}

func newColdCluster(t *testing.T, sharded bool) *coldCluster {
	t.Helper()
	began := time.Unix(1000, 0)
	c := &coldCluster{
		t: t, clock: &manualClock{began}, began: began, senders: make(map[oriole.GatewayID]int),
		upstream: oriole.Upstream{ID: "u", Service: "s", Zone: "z", Slots: 2, StartedAt: began, ColdUntil: began.Add(time.Minute)},
	}
	c.pool = orioleplacement.PoolOf(c.upstream, sharded)
	for i := range coldGateways {
		c.gateways = append(c.gateways, &coldGateway{self: oriole.Member{ID: oriole.NewGatewayID(fmt.Sprintf("vm-%d", i), began), VM: fmt.Sprintf("vm-%d", i), Zone: "z", Weight: 1}})
	}
	members := make([]oriole.Member, 0, coldGateways)
	for _, g := range c.gateways {
		members = append(members, g.self)
	}
	// The first gateway in the list is the dispatcher while all are alive, the second its
	// successor.
	byRank := make(map[oriole.GatewayID]int)
	for i, id := range orioleplacement.RankDispatchers(c.pool, members) {
		byRank[id] = i
	}
	ranked := make([]*coldGateway, coldGateways)
	for _, g := range c.gateways {
		ranked[byRank[g.self.ID]] = g
	}
	c.gateways = ranked
	for _, g := range c.gateways {
		c.restart(g, sharded)
	}
	return c
}

// restart gives the gateway the state of a process that has just started.
func (c *coldCluster) restart(g *coldGateway, sharded bool) {
	g.state = oriole.NewClusterState()
	g.state.DirectoryLoaded = true
	g.state.Config = &oriole.Config{Services: map[oriole.ServiceName]oriole.Service{"s": {Name: "s", Sharded: sharded, ColdRate: coldTestRate}}}
	g.state.Upstreams["u"] = c.upstream
	for _, other := range c.gateways {
		g.state.Gateways[other.self.ID] = other.self
	}
	g.state.Alive = map[oriole.GatewayID]bool{g.self.ID: true}
	g.disp = New(Config{
		Self: g.self.ID, State: g, Timers: c.clock, Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()},
		ReportDurations:   func(context.Context, oriole.ServiceName, map[oriole.ServerID]time.Duration) {},
		ReportCrash:       func(oriolecrash.Fingerprint, oriole.Incarnation) {},
		ReportUnreachable: func(context.Context, oriole.ServiceName, oriole.Incarnation) {},
		ReportIsolated:    func(context.Context) {},
		ReportLeaving:     func(context.Context, oriole.Incarnation) {},
		CloseIdleConns:    func(func(oriole.Incarnation) bool) {},
	}, suture.Spec{EventHook: func(suture.Event) {}})
	g.duty = newPoolDuty(g.disp)
	g.startedAt = c.clock.now
	g.duty.reset(c.clock.now)
	g.duty.updatePools(context.Background(), c.clock.now)
}

// see sets which gateways a gateway takes for alive, besides itself.
func (c *coldCluster) see(g *coldGateway, alive ...*coldGateway) {
	next := g.state.Clone()
	view := map[oriole.GatewayID]bool{g.self.ID: true}
	for _, other := range alive {
		view[other.self.ID] = true
	}
	next.SetAlive(view)
	g.state = next
	g.duty.updatePools(context.Background(), c.clock.now)
}

// dispatcherOf returns the gateway that another one, which has a request, asks.
func (c *coldCluster) dispatcherOf(g *coldGateway) *coldGateway {
	if c.anywhere {
		return g
	}
	first := orioleplacement.RankDispatchers(c.pool, g.state.LiveMembers())[0]
	for _, other := range c.gateways {
		if other.self.ID == first {
			return other
		}
	}
	c.t.Fatalf("no gateway %s", first)
	return nil
}

// run lets each gateway have requests for the upstream until the time since the begin of
// the test.
func (c *coldCluster) run(until time.Duration) {
	ctx := context.Background()
	for ; c.clock.now.Before(c.began.Add(until)); c.clock.now = c.clock.now.Add(coldStep) {
		now := c.clock.now
		for _, finish := range c.finishes {
			if !finish.at.After(now) {
				finish.to.duty.handle(ctx, now, event{result: finish.result})
			}
		}
		pending := c.finishes[:0]
		for _, finish := range c.finishes {
			if finish.at.After(now) {
				pending = append(pending, finish)
			}
		}
		c.finishes = pending
		c.report()
		for _, g := range c.gateways {
			if g.stalled {
				continue
			}
			c.requests++
			r := oriole.Request{ID: fmt.Sprint(c.requests), Service: "s", Pool: c.pool, Method: "POST", Deadline: now.Add(time.Second), SoftDeadline: now.Add(time.Second / 2)}
			if to := c.dispatcherOf(g); !to.stalled {
				to.duty.handle(ctx, now, event{submit: &pendingRequest{ctx: ctx, request: r, reply: func(oriole.Response) {}}})
			}
		}
		for _, g := range c.gateways {
			if !g.stalled {
				g.duty.tick(ctx, now)
				c.collect(g)
			}
		}
	}
}

// report tells each gateway whether others that it sees don't see it, as the heartbeats of
// those do a little later, by the rule of orioleliveness.Detector.Unheard.
func (c *coldCluster) report() {
	for _, g := range c.gateways {
		hearing, deaf := 0, 0
		for _, other := range c.gateways {
			known := c.clock.now.Sub(g.startedAt) > coldReportGrace && c.clock.now.Sub(other.startedAt) > coldReportGrace
			switch {
			case other == g || !g.state.Alive[other.self.ID] || !known:
			case other.state.Alive[g.self.ID]:
				hearing++
			default:
				deaf++
			}
		}
		unheard := deaf > 1 || (deaf == 1 && hearing == 0)
		switch {
		case !unheard:
			g.unheardAt = time.Time{}
		case g.unheardAt.IsZero():
			g.unheardAt = c.clock.now.Add(coldReportDelay)
		}
		if known := unheard && !c.clock.now.Before(g.unheardAt); known != g.state.Unheard {
			next := g.state.Clone()
			next.Unheard = known
			g.state = next
			g.duty.updatePools(context.Background(), c.clock.now)
		}
	}
}

// collect records what the gateway has sent.
func (c *coldCluster) collect(g *coldGateway) {
	for {
		select {
		case s := <-g.disp.sendJobs.Out():
			c.sent = append(c.sent, c.clock.now)
			c.senders[g.self.ID]++
			c.finishes = append(c.finishes, coldFinish{c.clock.now.Add(coldRunTime), g, &result{
				pool: s.pool, job: s.Job, to: s.To.Incarnation(), response: oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Server: s.To.ID},
			}})
		default:
			return
		}
	}
}

// checkBound fails the test if the upstream got more requests in any second than it may.
func (c *coldCluster) checkBound() {
	c.t.Helper()
	first, most := 0, 0
	for i, at := range c.sent {
		for at.Sub(c.sent[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	if float64(most) > coldTestBound {
		c.t.Errorf("the upstream got %d requests in one second from %d gateways, allowed %v", most, len(c.senders), coldTestBound)
	}
}

// checkServed fails the test unless the upstream got most of the requests that it
// tolerates in the last part of the test.
func (c *coldCluster) checkServed(last time.Duration) {
	c.t.Helper()
	n := 0
	for _, at := range c.sent {
		if c.clock.now.Sub(at) <= last {
			n++
		}
	}
	if least := 0.8 * coldTestRate * last.Seconds(); float64(n) < least {
		c.t.Errorf("the upstream got %d requests in the last %v, fewer than %v", n, last, least)
	}
}

// TestColdUpstreamIsNotFlooded guards against several gateways that each send a cold
// upstream as many requests as one of them may.
func TestColdUpstreamIsNotFlooded(t *testing.T) {
	for _, test := range []struct {
		name string
		play func(*coldCluster)
		// served is set if the upstream must be in use again at the end.
		served bool
	}{
		{"all gateways are new and alone in their views", func(c *coldCluster) {
			c.run(300 * time.Millisecond)
			c.seeAll()
			c.run(5 * time.Second)
		}, true},
		{"all see one another and requests go to any", func(c *coldCluster) {
			c.anywhere = true
			c.seeAll()
			c.run(5 * time.Second)
		}, true},
		{"all gateways are killed", func(c *coldCluster) {
			c.seeAll()
			c.run(4 * time.Second)
			for _, g := range c.gateways {
				c.restart(g, c.pool.Server != "")
			}
			c.run(4500 * time.Millisecond)
			c.seeAll()
			c.run(9 * time.Second)
		}, true},
		{"gateways are cut off from one another", func(c *coldCluster) {
			c.seeAll()
			c.run(4 * time.Second)
			for _, g := range c.gateways {
				c.see(g)
			}
			c.run(6 * time.Second)
			c.seeAll()
			c.run(9 * time.Second)
		}, true},
		{"gateways restart one after the other", func(c *coldCluster) {
			c.seeAll()
			for i, g := range c.gateways {
				c.run(4*time.Second + time.Duration(i)*400*time.Millisecond)
				c.restart(g, c.pool.Server != "")
				c.run(c.clock.now.Sub(c.began) + 200*time.Millisecond)
				c.see(g, c.gateways...)
			}
			c.run(11 * time.Second)
		}, true},
		{"dispatcher and its successors are replaced in turn", func(c *coldCluster) {
			c.seeAll()
			for i := 1; i < 5; i++ {
				c.run(4*time.Second + time.Duration(i)*200*time.Millisecond)
				for _, g := range c.gateways[i:] {
					c.see(g, c.gateways[i:]...)
				}
			}
			c.run(9 * time.Second)
		}, false},
		{"stalled dispatcher goes on with its old view", func(c *coldCluster) {
			c.seeAll()
			c.run(4 * time.Second)
			first, others := c.gateways[0], c.gateways[1:]
			first.stalled = true
			c.run(5100 * time.Millisecond)
			for _, g := range others {
				c.see(g, others...)
			}
			c.run(6 * time.Second)
			first.stalled = false
			c.run(6300 * time.Millisecond)
			c.seeAll()
			c.run(10 * time.Second)
		}, true},
	} {
		for _, sharded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/sharded=%v", test.name, sharded), func(t *testing.T) {
				c := newColdCluster(t, sharded)
				test.play(c)
				c.checkBound()
				if test.served {
					c.checkServed(2 * time.Second)
				}
			})
		}
	}
}

// seeAll lets all gateways see one another.
func (c *coldCluster) seeAll() {
	for _, g := range c.gateways {
		c.see(g, c.gateways...)
	}
}
