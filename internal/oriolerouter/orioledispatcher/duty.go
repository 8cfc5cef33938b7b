package orioledispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioledeparture"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolelimit"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepause"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequorum"
)

// poolDuty owns the pools that this gateway is the dispatcher of.
type poolDuty struct {
	dispatcher *Dispatcher
	pools      map[oriole.PoolID]*poolState
	// unanswered holds the requests taken from the ring that have no reply yet.
	unanswered map[*pendingRequest]bool
	nextJob    oriolepool.JobID
	crashes    *oriolecrash.Detector
	// idempotency holds the responses by idempotency key. duplicates holds the
	// requests that wait for the response to an earlier one with the same key.
	idempotency *orioleidempotency.Cache
	duplicates  map[orioleidempotency.JobID]*pendingRequest
	// departures holds the upstreams that have stated in a response that they leave.
	// The cluster state shows them a little later. A restart keeps it.
	departures *orioledeparture.Record
	// pauses holds the pauses that upstreams have asked for. A restart keeps it.
	pauses *oriolepause.Ledger
	// limits holds the rates at which upstreams take requests. A restart keeps it.
	// reportDue is set if one has changed since the durations were last reported.
	limits    *oriolelimit.Ledger
	reportDue bool
	// cold counts the requests to cold upstreams that are to be logged.
	cold *coldReport
	// quorum tells which pools this gateway is the only sender of. A restart of the duty
	// keeps it.
	quorum *oriolequorum.Monitor
	// stopping is set once the gateway is being stopped.
	stopping bool
}

// poolState is a pool and its requests.
type poolState struct {
	pool     *oriolepool.Pool
	tenure   oriolequorum.Tenure
	jobs     map[oriolepool.JobID]*pendingRequest
	lastUsed time.Time
}

func newPoolDuty(disp *Dispatcher) *poolDuty {
	return &poolDuty{
		dispatcher: disp, quorum: oriolequorum.New(disp.cfg.Self, disp.cfg.Timers.Now()), departures: orioledeparture.New(), pauses: oriolepause.New(), limits: oriolelimit.New(), cold: newColdReport(),
	}
}

func (d *poolDuty) String() string { return "keep pools" }

// Serve implements suture.Service.
func (d *poolDuty) Serve(ctx context.Context) error {
	disp := d.dispatcher
	d.reset(disp.cfg.Timers.Now())
	changed := disp.cfg.State.Subscribe()
	ticks, stop := disp.cfg.Timers.Subscribe(tickInterval)
	defer stop()
	reports, stopReports := disp.cfg.Timers.Subscribe(durationReportInterval)
	defer stopReports()
	for {
		select {
		case <-reports:
			d.reportDurations(ctx)
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

// reset begins a run of the duty. A restart loses the pending requests, and the records of
// crashes and idempotency keys. nextJob is kept, so that results of requests sent before
// match no new job.
func (d *poolDuty) reset(now time.Time) {
	d.failUnanswered()
	d.pools = make(map[oriole.PoolID]*poolState)
	d.crashes = oriolecrash.New()
	d.idempotency = orioleidempotency.New()
	d.duplicates = make(map[orioleidempotency.JobID]*pendingRequest)
	d.quorum.ForgetPools(now)
}

func (d *poolDuty) handle(ctx context.Context, now time.Time, e event) {
	d.observe(ctx)
	switch {
	case e.submit != nil:
		d.submit(ctx, now, e.submit)
	case e.cancel != nil:
		if p := d.pools[e.cancel.pool]; p != nil && p.jobs[e.cancel.job] == e.cancel {
			if p.pool.Cancel(e.cancel.job) {
				delete(p.jobs, e.cancel.job)
				d.respond(now, e.cancel, oriole.NotRunResponse(oriole.ReasonCancelled))
			}
		}
	case e.crash != nil:
		d.crashes.RecordCrash(now, e.crash.fingerprint, e.crash.incarnation)
	case e.result != nil:
		d.noteHeader(ctx, now, e.result.response)
		d.notePause(ctx, now, e.result.to, e.result.response.Pause)
		d.noteLimit(now, e.result.to, e.result.response.Limit)
		if p := d.pools[e.result.pool]; p != nil {
			d.trackCrashes(ctx, now, p.jobs[e.result.job], e.result.response)
			d.giveBack(now, p)
			p.pool.Finish(now, e.result.job, e.result.response)
			if e.result.response.Reason == oriole.ReasonUnreachable || e.result.response.Refused {
				d.reportIsolated(ctx)
			}
			d.execute(ctx, e.result.pool, p)
		}
	}
}

// reply replies to the request.
func (d *poolDuty) reply(req *pendingRequest, response oriole.Response) {
	delete(d.unanswered, req)
	req.reply(response)
}

// failUnanswered replies to the requests that a previous run of the duty has lost. Any
// of them may have been sent.
func (d *poolDuty) failUnanswered() {
	for req := range d.unanswered {
		d.dispatcher.cfg.Metrics.Add("pool_lost", 1)
		d.reply(req, oriole.UnknownResponse(oriole.ReasonCancelled))
	}
	d.unanswered = make(map[*pendingRequest]bool)
}

func (d *poolDuty) submit(ctx context.Context, now time.Time, req *pendingRequest) {
	d.unanswered[req] = true
	if req.ctx.Err() != nil {
		d.reply(req, oriole.NotRunResponse(oriole.ReasonCancelled))
		return
	}
	if d.dispatcher.revoked(&req.request) {
		// Neither may it have the response to another with its idempotency key.
		d.reply(req, oriole.NotRunResponse(oriole.ReasonUnauthorized))
		return
	}
	req.fingerprint = oriolecrash.FingerprintOf(req.request)
	if d.crashes.Refuses(now, req.fingerprint) {
		d.dispatcher.cfg.Metrics.Add("pool_crash_refused", 1)
		d.reply(req, oriole.NotRunResponse(oriole.ReasonCrash))
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
		p.pool.SharePauses(d.pauses)
		p.pool.ShareLimits(d.limits)
		d.pools[id] = p
		d.updatePool(now, id, p)
	}
	p.lastUsed = now
	req.pool = id
	p.jobs[req.job] = req
	d.logStep(req, oriolelog.MessageQueued, log.Fields{"waiting": p.pool.QueueLen()})
	p.pool.Submit(now, req.job, req.request)
	d.execute(ctx, id, p)
}

// updatePools applies a change of the cluster state to the pools, the crash
// detector and the idle connections.
func (d *poolDuty) updatePools(ctx context.Context, now time.Time) {
	d.observe(ctx)
	d.quorum.Update(now, d.dispatcher.cfg.State.Snapshot())
	for id, p := range d.pools {
		d.updatePool(now, id, p)
		d.evictMoved(id, p)
		d.execute(ctx, id, p)
	}
	state := d.dispatcher.cfg.State.Snapshot()
	for _, incarnation := range d.crashes.Suspects() {
		u, listed := state.Upstreams[incarnation.ID]
		switch {
		case !listed:
			// It may have left in good order, or only be missing from a list that
			// was restored.
		case u.StartedAt.After(incarnation.StartedAt):
			d.recordCrashes(now, incarnation)
		case u.Incarnation() == incarnation && u.Draining:
			// Its end is planned.
			d.crashes.ClearSuspect(incarnation)
		}
	}
	d.dispatcher.cfg.CloseIdleConns(func(incarnation oriole.Incarnation) bool {
		u, listed := state.Upstreams[incarnation.ID]
		return listed && u.Incarnation() == incarnation
	})
}

// evictMoved removes queued requests whose keys now belong to another owner, so
// that they can be routed to it.
func (d *poolDuty) evictMoved(id oriole.PoolID, p *poolState) {
	assignment := d.dispatcher.cfg.State.Snapshot().Assignments[id.Service]
	if id.Server == "" || assignment == nil {
		return
	}
	p.pool.Evict(func(r oriole.Request) bool {
		owned := assignment.Find(r.ShardKey)
		return owned == nil || owned.Owner.ID != id.Server || !owned.Grantable()
	})
}

// updatePool sets the pool's service and usable upstreams.
func (d *poolDuty) updatePool(now time.Time, id oriole.PoolID, p *poolState) {
	state := d.dispatcher.cfg.State.Snapshot()
	var service oriole.Service
	if state.Config != nil {
		service = state.Config.Services[id.Service]
	}
	p.pool.SetElsewhere(id.Server == "" && slices.ContainsFunc(state.UsableUpstreams(id.Service), func(u oriole.Upstream) bool {
		return orioleplacement.PoolOf(u, false) != id
	}))
	upstreams := slices.DeleteFunc(orioleplacement.Upstreams(state, id), func(u oriole.Upstream) bool { return d.departures.Leaves(u.Incarnation()) })
	d.updateTenure(now, id, p)
	p.pool.Update(now, service, upstreams)
}

// noteHeader acts on what an upstream's response header says of the upstream.
func (d *poolDuty) noteHeader(ctx context.Context, now time.Time, response oriole.Response) {
	metrics := d.dispatcher.cfg.Metrics
	if response.IgnoredFields > 0 {
		metrics.Add("pool_fields_ignored", int64(response.IgnoredFields))
	}
	if response.Leaving == (oriole.Incarnation{}) {
		return
	}
	metrics.Add("pool_leaving", 1)
	if !d.departures.Add(response.Leaving) {
		return
	}
	d.dispatcher.cfg.ReportLeaving(ctx, response.Leaving)
	for id, p := range d.pools {
		d.updatePool(now, id, p)
		d.execute(ctx, id, p)
	}
}

// notePause leaves an upstream alone that has asked for a pause.
func (d *poolDuty) notePause(ctx context.Context, now time.Time, incarnation oriole.Incarnation, pause time.Duration) {
	if pause <= 0 {
		return
	}
	disp := d.dispatcher
	disp.cfg.Metrics.Add("pool_pauses", 1)
	if pause > oriolepause.MaxPause {
		disp.cfg.Metrics.Add("pool_pauses_bounded", 1)
	}
	began := d.pauses.Begin(now, incarnation, pause)
	running := d.pauses.Running(now)
	disp.pauses.Store(&running)
	if !began {
		return
	}
	disp.cfg.Log.WithFields(log.Fields{
		"upstream": incarnation.ID, "born": incarnation.StartedAt.UnixMilli(), "asked": pause.String(), "pause": running[incarnation].Sub(now).String(),
	}).Info(oriolelog.MessageUpstreamPaused)
	for id, p := range d.pools {
		p.pool.Tick(now)
		d.execute(ctx, id, p)
	}
}

// noteLimit keeps to the rate at which an upstream takes requests.
func (d *poolDuty) noteLimit(now time.Time, incarnation oriole.Incarnation, named *oriole.RateLimit) {
	if named == nil || !d.limits.Record(now, incarnation, *named) {
		return
	}
	d.reportDue = true
	d.dispatcher.cfg.Metrics.Add("pool_limits", 1)
	d.dispatcher.cfg.Log.WithFields(log.Fields{
		"upstream": incarnation.ID, "born": incarnation.StartedAt.UnixMilli(), "spacing": named.Spacing.String(),
	}).Info(oriolelog.MessageUpstreamLimited)
}

func (d *poolDuty) tick(ctx context.Context, now time.Time) {
	if d.reportDue {
		d.reportDurations(ctx)
	}
	d.observe(ctx)
	d.withdrawCrashes(now)
	d.reportCold(now)
	for id, p := range d.pools {
		switch {
		case p.pool.QueueLen() > 0:
			d.giveBack(now, p)
			p.pool.Tick(now)
			d.execute(ctx, id, p)
		case p.pool.Idle() && now.Sub(p.lastUsed) > poolIdleTimeout:
			delete(d.pools, id)
		}
	}
}

// giveBack returns queued requests to their forwarders that this gateway, which is being
// stopped, should not send any more.
func (d *poolDuty) giveBack(now time.Time, p *poolState) {
	schedule := d.dispatcher.schedule.Load()
	switch {
	case schedule == nil:
	case !schedule.Starts(now):
		// They have not run, so other dispatchers may run them.
		p.pool.Evict(func(oriole.Request) bool { return true })
	default:
		others := slices.ContainsFunc(d.dispatcher.cfg.State.Snapshot().LiveMembers(), func(m oriole.Member) bool { return m.ID != d.dispatcher.cfg.Self })
		p.pool.GiveBack(func(r oriole.Request, duration time.Duration) bool {
			return schedule.Keeps(now, r.Deadline, duration, others)
		})
	}
}

// reportDurations reports the mean request durations at the upstreams of
// sharded services.
func (d *poolDuty) reportDurations(ctx context.Context) {
	d.reportDue = false
	byService := make(map[oriole.ServiceName]map[oriole.ServerID]time.Duration)
	for id, p := range d.pools {
		if id.Server == "" {
			continue
		}
		p.pool.RequestDurations(func(server oriole.ServerID, duration time.Duration) {
			if byService[id.Service] == nil {
				byService[id.Service] = make(map[oriole.ServerID]time.Duration)
			}
			byService[id.Service][server] = duration
		})
	}
	for service, durations := range byService {
		d.dispatcher.cfg.ReportDurations(ctx, service, durations)
	}
}

// execute carries out the effects that the pool returns.
func (d *poolDuty) execute(ctx context.Context, id oriole.PoolID, p *poolState) {
	for _, effect := range p.pool.TakeEffects() {
		switch {
		case effect.Start != nil:
			s := sendJob{pending: p.jobs[effect.Start.Job], pool: id, Start: *effect.Start}
			if s.pending.ctx.Err() != nil {
				// The caller left while the request was queued.
				p.pool.Finish(d.dispatcher.cfg.Timers.Now(), effect.Start.Job, oriole.NotRunResponse(oriole.ReasonCancelled))
				d.execute(ctx, id, p)
				continue
			}
			s.pending.incarnation = effect.Start.To.Incarnation()
			d.logStep(s.pending, oriolelog.MessageSent, log.Fields{
				"upstream": effect.Start.To.ID, "born": effect.Start.To.StartedAt.UnixMilli(), "addr": effect.Start.To.Addr.String(),
			})
			if !d.dispatcher.sendJobs.Offer(s) {
				p.pool.Finish(d.dispatcher.cfg.Timers.Now(), effect.Start.Job, oriole.NotRunResponse(oriole.ReasonQueueFull))
				d.execute(ctx, id, p)
				continue
			}
			d.cold.add(d.dispatcher.cfg.Timers.Now(), id, effect.Start)
		case effect.Reply != nil:
			req := p.jobs[effect.Reply.Job]
			delete(p.jobs, effect.Reply.Job)
			d.logFailure(req, p, effect.Reply.Response)
			d.dispatcher.cfg.Metrics.Add("pool_"+effect.Reply.Response.Outcome.String()+"_"+effect.Reply.Response.Reason.String(), 1)
			d.respond(d.dispatcher.cfg.Timers.Now(), req, effect.Reply.Response)
		}
	}
}
