package orioledispatcher

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

const (
	// coldReportInterval is how often the requests to cold upstreams are logged. It is
	// short enough to tell in which second they were sent.
	coldReportInterval = 250 * time.Millisecond
	// coldLinesPerSecond and coldLinesBurst limit these lines: after the return of a zone
	// all of its upstreams are cold, and other lines share the log's limit.
	coldLinesPerSecond = 40
	coldLinesBurst     = 80
)

// coldReport counts the requests to rate-limited upstreams until they are logged.
type coldReport struct {
	// since is when the first request was counted that is not logged yet.
	since   time.Time
	sent    map[oriole.Incarnation]*coldRequests
	limiter *rate.Limiter
}

// coldRequests are requests to one upstream.
type coldRequests struct {
	pool     oriole.PoolID
	upstream oriole.Upstream
	number   int
	// tokens is how many more the upstream could get after the last one.
	tokens float64
}

func newColdReport() *coldReport {
	return &coldReport{sent: make(map[oriole.Incarnation]*coldRequests), limiter: rate.NewLimiter(coldLinesPerSecond, coldLinesBurst)}
}

// add counts a request that is sent now.
func (c *coldReport) add(now time.Time, pool oriole.PoolID, start *oriolepool.Start) {
	if !start.RateLimited {
		return
	}
	if len(c.sent) == 0 {
		c.since = now
	}
	requests := c.sent[start.To.Incarnation()]
	if requests == nil {
		requests = &coldRequests{pool: pool}
		c.sent[start.To.Incarnation()] = requests
	}
	requests.upstream, requests.tokens = start.To, start.Tokens
	requests.number++
}

// reportCold logs the requests to rate-limited upstreams, with the view of the cluster that
// made this gateway their dispatcher.
func (d *poolDuty) reportCold(now time.Time) {
	c := d.cold
	if len(c.sent) == 0 || now.Sub(c.since) < coldReportInterval {
		return
	}
	cfg := d.dispatcher.cfg
	state := cfg.State.Snapshot()
	for incarnation, requests := range c.sent {
		cfg.Metrics.Add("pool_cold_requests", int64(requests.number))
		if !c.limiter.Allow() {
			cfg.Metrics.Add("pool_cold_unlogged", int64(requests.number))
			continue
		}
		fields := log.Fields{
			"upstream": incarnation.ID, "born": incarnation.StartedAt.UnixMilli(), "pool": requests.pool.String(),
			"sent": requests.number, "span": now.Sub(c.since).String(), "tokens": requests.tokens, "cold": requests.upstream.ColdUntil.Sub(now).String(),
			"alive": len(state.LiveMembers()), "listed": len(state.Gateways),
		}
		if p := d.pools[requests.pool]; p != nil {
			fields["first"], fields["sole"] = p.tenure.First, now.Sub(p.tenure.Since).String()
		}
		cfg.Log.WithFields(fields).Info(oriolelog.MessageColdRequests)
	}
	clear(c.sent)
}

// observe takes in the time, and updates the pools if it may have changed which of them
// this gateway is the only sender of. It reads the clocks itself, the one that shows a pause
// first: the time of a tick may be from before the pause.
func (d *poolDuty) observe(ctx context.Context) {
	bootTime := d.dispatcher.cfg.BootClock.Now()
	now := d.dispatcher.cfg.Timers.Now()
	changed := d.quorum.Tick(now, bootTime)
	if stopping := d.dispatcher.schedule.Load() != nil; stopping != d.stopping {
		d.stopping, changed = stopping, true
	}
	if !changed {
		return
	}
	for id, p := range d.pools {
		d.updateTenure(now, id, p)
		d.giveBack(now, p)
		p.pool.Tick(now)
		d.execute(ctx, id, p)
	}
}

// updateTenure decides whether the pool is the only sender to its upstreams. A gateway that
// is being stopped is not: others take its pools over.
func (d *poolDuty) updateTenure(now time.Time, id oriole.PoolID, p *poolState) {
	next := d.quorum.Tenure(now, id, p.tenure)
	next.First = next.First && !d.stopping
	if next.First != p.tenure.First {
		d.dispatcher.cfg.Metrics.Add("pool_tenures", 1)
	}
	p.tenure = next
	p.pool.SetSoleSender(next.First, next.Since)
}
