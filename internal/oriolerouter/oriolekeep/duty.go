package oriolekeep

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleblame"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolekeeper"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolerepeat"
)

// poolDuty owns the pools.
type poolDuty struct {
	dispatcher *Keeper
	pools      map[oriole.PoolID]*poolState
	nextJob    oriolepool.JobID
	crashes    *orioleblame.Register
	// idempotency holds idempotency keys with their responses, and duplicates
	// the requests that wait for the response to an earlier one with the same
	// key.
	idempotency *oriolerepeat.Register
	duplicates  map[oriolerepeat.Job]*pendingRequest
}

// poolState is a pool and its requests.
type poolState struct {
	pool     *oriolepool.Pool
	jobs     map[oriolepool.JobID]*pendingRequest
	lastUsed time.Time
}

func (d *poolDuty) String() string { return "keep pools" }

// Serve implements suture.Service.
func (d *poolDuty) Serve(ctx context.Context) error {
	disp := d.dispatcher
	// A restart loses the pending requests; their callers time out.
	d.pools = make(map[oriole.PoolID]*poolState)
	d.crashes = orioleblame.New()
	d.idempotency = oriolerepeat.New()
	d.duplicates = make(map[oriolerepeat.Job]*pendingRequest)
	changed := disp.cfg.Worlds.Subscribe()
	ticks, stop := disp.cfg.Timers.Subscribe(tickInterval)
	defer stop()
	reports, stopReports := disp.cfg.Timers.Subscribe(durationReportInterval)
	defer stopReports()
	for {
		select {
		case <-reports:
			d.reportDurations()
		case e := <-disp.events.Out():
			d.handle(ctx, disp.cfg.Timers.Now(), e)
		case <-changed:
			d.updatePools(ctx, disp.cfg.Timers.Now())
		case now := <-ticks:
			d.tick(ctx, now)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *poolDuty) handle(ctx context.Context, now time.Time, e event) {
	switch {
	case e.submit != nil:
		d.submit(ctx, now, e.submit)
	case e.cancel != nil:
		if p := d.pools[e.cancel.pool]; p != nil && p.jobs[e.cancel.job] == e.cancel {
			if p.pool.Cancel(e.cancel.job) {
				delete(p.jobs, e.cancel.job)
				d.respond(now, e.cancel, oriole.Refuse(oriole.ReasonCancelled))
			}
		}
	case e.crash != nil:
		d.crashes.Blame(now, e.crash.fingerprint, e.crash.incarnation)
	case e.result != nil:
		if p := d.pools[e.result.pool]; p != nil {
			d.trackCrashes(now, p.jobs[e.result.job], e.result.response)
			p.pool.Done(now, e.result.job, e.result.response)
			d.execute(ctx, e.result.pool, p)
		}
	}
}

func (d *poolDuty) submit(ctx context.Context, now time.Time, req *pendingRequest) {
	if req.ctx.Err() != nil {
		req.reply(oriole.Refuse(oriole.ReasonCancelled))
		return
	}
	req.fingerprint = orioleblame.PrintOf(req.request)
	if d.crashes.Refuses(now, req.fingerprint) {
		d.dispatcher.cfg.Metrics.Add("pool_crash_refused", 1)
		req.reply(oriole.Refuse(oriole.ReasonCrash))
		return
	}
	d.nextJob++
	req.job = d.nextJob
	if d.deduplicate(now, req) {
		return
	}
	id := req.request.Pool
	p := d.pools[id]
	if p == nil {
		p = &poolState{pool: oriolepool.New(), jobs: make(map[oriolepool.JobID]*pendingRequest)}
		d.pools[id] = p
		d.updatePool(now, id, p)
	}
	p.lastUsed = now
	req.pool = id
	p.jobs[req.job] = req
	d.logStep(req, oriolelog.MessageQueue, log.Fields{"waiting": p.pool.Waiting()})
	p.pool.Arrive(now, req.job, req.request)
	d.execute(ctx, id, p)
}

// updatePools applies a change of the cluster state to the pools.
func (d *poolDuty) updatePools(ctx context.Context, now time.Time) {
	for id, p := range d.pools {
		d.updatePool(now, id, p)
		d.evictMoved(id, p)
		d.execute(ctx, id, p)
	}
	state := d.dispatcher.cfg.Worlds.Snapshot()
	for _, incarnation := range d.crashes.Suspects() {
		if u, listed := state.Upstreams[incarnation.ID]; !listed || u.Life() != incarnation {
			d.recordCrashes(now, incarnation)
		}
	}
	d.dispatcher.cfg.Forget(func(incarnation oriole.Life) bool {
		u, listed := state.Upstreams[incarnation.ID]
		return listed && u.Life() == incarnation
	})
}

// evictMoved removes queued requests whose keys now belong to another owner, so
// that they can be routed to it.
func (d *poolDuty) evictMoved(id oriole.PoolID, p *poolState) {
	assignment := d.dispatcher.cfg.Worlds.Snapshot().Assignments[id.Service]
	if id.Server == "" || assignment == nil {
		return
	}
	p.pool.Evict(func(r oriole.Request) bool {
		owned := assignment.Find(r.Point)
		return owned == nil || owned.Owner.ID != id.Server || !owned.Ready()
	})
}

func (d *poolDuty) updatePool(now time.Time, id oriole.PoolID, p *poolState) {
	state := d.dispatcher.cfg.Worlds.Snapshot()
	var service oriole.Service
	if state.Config != nil {
		service = state.Config.Services[id.Service]
	}
	var members []oriole.Upstream
	for _, u := range state.UsableOf(id.Service) {
		if oriolekeeper.PoolOf(u, id.Server != "") == id {
			members = append(members, u)
		}
	}
	p.pool.Update(now, service, members)
}

func (d *poolDuty) tick(ctx context.Context, now time.Time) {
	for id, p := range d.pools {
		switch {
		case p.pool.Waiting() > 0:
			p.pool.Tick(now)
			d.execute(ctx, id, p)
		case p.pool.Idle() && now.Sub(p.lastUsed) > poolIdleTimeout:
			delete(d.pools, id)
		}
	}
}

// reportDurations reports the mean request durations at the upstreams of
// sharded services.
func (d *poolDuty) reportDurations() {
	byService := make(map[oriole.ServiceName]map[oriole.ServerID]time.Duration)
	for id, p := range d.pools {
		if id.Server == "" {
			continue
		}
		p.pool.Spans(func(server oriole.ServerID, duration time.Duration) {
			if byService[id.Service] == nil {
				byService[id.Service] = make(map[oriole.ServerID]time.Duration)
			}
			byService[id.Service][server] = duration
		})
	}
	for service, durations := range byService {
		d.dispatcher.cfg.Spans(service, durations)
	}
}

// execute carries out the effects that the pool returns.
func (d *poolDuty) execute(ctx context.Context, id oriole.PoolID, p *poolState) {
	for _, effect := range p.pool.Take() {
		switch {
		case effect.Start != nil:
			s := sendJob{pending: p.jobs[effect.Start.Job], pool: id, Start: *effect.Start}
			if s.pending.ctx.Err() != nil {
				// The caller has left while the request was queued.
				p.pool.Done(d.dispatcher.cfg.Timers.Now(), effect.Start.Job, oriole.Refuse(oriole.ReasonCancelled))
				d.execute(ctx, id, p)
				continue
			}
			s.pending.incarnation = effect.Start.To.Life()
			d.logStep(s.pending, oriolelog.MessageSend, log.Fields{
				"upstream": effect.Start.To.ID, "born": effect.Start.To.Born.UnixMilli(), "addr": effect.Start.To.Addr.String(),
			})
			if !d.dispatcher.sendJobs.Offer(s) {
				p.pool.Done(d.dispatcher.cfg.Timers.Now(), effect.Start.Job, oriole.Refuse(oriole.ReasonQueueFull))
				d.execute(ctx, id, p)
			}
		case effect.Answer != nil:
			req := p.jobs[effect.Answer.Job]
			delete(p.jobs, effect.Answer.Job)
			d.logFailure(req, p, effect.Answer.Answer)
			d.dispatcher.cfg.Metrics.Add("pool_"+effect.Answer.Answer.Outcome.String()+"_"+effect.Answer.Answer.Reason.String(), 1)
			d.respond(d.dispatcher.cfg.Timers.Now(), req, effect.Answer.Answer)
		}
	}
}
