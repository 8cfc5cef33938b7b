// Package orioleingress serves callers. It finds the route and the pool of each
// request, forwards the request to the pool's dispatcher, retries it where that
// is safe, and writes the response. A pool's dispatcher is the gateway that
// queues the pool's requests and sends them to upstreams.
package orioleingress

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleassign"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
)

const (
	// ownerWaitTimeout is how long a request waits for its key to get an owner.
	// It is meant for planned handovers, which take as long as the requests in
	// flight on the keys. Replacing a lost owner takes seconds, so then the
	// caller should retry.
	ownerWaitTimeout = 200 * time.Millisecond
	// noOwnerRetryAfter is the retry delay sent to callers when no upstream
	// owns the key.
	noOwnerRetryAfter = 300 * time.Millisecond
	// drainRetryAfter is the retry delay sent to callers whose requests a gateway
	// that is being stopped refuses. Other gateways can serve them at once.
	drainRetryAfter = 50 * time.Millisecond
	// lossTimeout is the time within which keys of a lost upstream get another owner.
	lossTimeout = time.Second
	// retryPause is the longest pause before the next attempt at a request that
	// was not run. A change of the cluster state ends it.
	retryPause = 10 * time.Millisecond
	// minTimeToRetry is the time to the deadline below which requests are not
	// retried.
	minTimeToRetry = 40 * time.Millisecond
)

// StateSource provides the gateway's current view of the cluster.
type StateSource interface {
	Snapshot() *oriole.ClusterState
	Watch() (*oriole.ClusterState, <-chan struct{})
}

// Dispatcher queues the requests of this gateway's own pools and sends them to
// upstreams.
type Dispatcher interface {
	Do(ctx context.Context, r oriole.Request, reply func(oriole.Response))
}

// Peers forwards requests to the dispatchers of other pools.
type Peers interface {
	Reachable(to oriole.GatewayID) bool
	Forward(ctx context.Context, to oriole.GatewayID, r oriole.Request) oriole.Response
}

// ForwarderConfig holds the dependencies of the [Forwarder].
type ForwarderConfig struct {
	Self       oriole.Member
	State      StateSource
	Dispatcher Dispatcher
	Peers      Peers
	Clock      oriole.Clock
	Metrics    *orioletelemetry.Metrics
	Log        log.Interface
	// ReportLoad reports the number of requests by key bucket to the leader of a
	// service.
	ReportLoad func(ctx context.Context, service oriole.ServiceName, counts map[int]int)
	// Confirmed reports whether the configuration is recent enough to tell which API keys
	// are valid. Nil means that it always is.
	Confirmed func() bool
	// Quota limits the request rates of workspaces. Nil means that there are no limits.
	Quota Quota
}

// Quota limits the request rates of workspaces over all gateways.
type Quota interface {
	// Take takes one token of the workspace, which lets one request pass. If there is
	// none, it returns the time after which there will be one.
	Take(ctx context.Context, workspace oriole.WorkspaceName) (ok bool, retryAfter time.Duration)
}

// Forwarder routes requests in the gateway that received them, independent of the
// front end: it selects the pool and the dispatcher, and retries.
type Forwarder struct {
	cfg      ForwarderConfig
	budget   *retryBudget
	balancer *poolBalancer
	rankings orioleplacement.RankingCache
	// leavingRankings are those of the gateways that are being stopped.
	leavingRankings orioleplacement.RankingCache
	reach           *reachRecord
	// rejectedLines limits the log lines of logRejected.
	rejectedLines *rate.Limiter
	// schedule is nil until the gateway is being stopped; then stopping is done.
	schedule  atomic.Pointer[oriolestop.Schedule]
	stopping  context.Context
	beginStop context.CancelFunc
	// ending is done when requests that are not answered yet are given up.
	ending context.Context
	giveUp context.CancelFunc

	mu         sync.Mutex
	loadCounts map[oriole.ServiceName]map[int]int
}

// NewForwarder returns a new [Forwarder].
func NewForwarder(cfg ForwarderConfig) *Forwarder {
	f := &Forwarder{
		cfg:        cfg,
		budget:     newRetryBudget(),
		balancer:   newPoolBalancer(cfg.Self.Zone),
		reach:      newReachRecord(),
		loadCounts: make(map[oriole.ServiceName]map[int]int),

		rejectedLines: rate.NewLimiter(rejectedLinesPerSecond, rejectedLinesBurst),
	}
	f.stopping, f.beginStop = context.WithCancel(context.Background())
	f.ending, f.giveUp = context.WithCancel(context.Background())
	return f
}

// Stop makes the forwarder refuse requests that could outlast the gateway.
func (f *Forwarder) Stop(schedule *oriolestop.Schedule) {
	f.schedule.Store(schedule)
	f.beginStop()
}

// GiveUp ends the requests that are not answered yet, so that their callers get an answer
// before the gateway ends.
func (f *Forwarder) GiveUp() { f.giveUp() }

// admits reports whether a request with the deadline may be passed on.
func (f *Forwarder) admits(deadline time.Time) bool { return f.schedule.Load().Admits(deadline) }

// Do runs the request and returns its final response. At most maxAttempts
// upstreams may run it.
func (f *Forwarder) Do(ctx context.Context, r oriole.Request, maxAttempts int) (final oriole.Response) {
	start := f.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(start))
	defer cancel()
	attempts := 0
	defer func() { f.logEnd(r, final, attempts, start) }()
	defer context.AfterFunc(f.ending, cancel)()
	f.countLoad(r)
	f.budget.deposit(r.Service)
	mayHaveRun := false
	var tried triedDispatchers
	for attempt := 1; ; attempt++ {
		attempts = attempt
		pool, dispatcher, reason := f.target(ctx, r, &tried, mayHaveRun || tried.givenBack > 0)
		if reason != oriole.ReasonNone {
			resp := oriole.NotRunResponse(reason)
			resp.RetryAfter = noOwnerRetryAfter
			if reason == oriole.ReasonDraining {
				resp.RetryAfter = drainRetryAfter
			}
			f.logAttempt(r, "", resp, attempt)
			return finalResponse(resp, mayHaveRun)
		}
		r.Pool = pool
		if end := f.schedule.Load().Bound(r.Deadline); end.Before(r.Deadline) {
			r.Deadline = end
			ctx, cancel = context.WithTimeout(ctx, end.Sub(f.cfg.Clock.Now()))
			defer cancel()
		}
		if oriolelog.Sampled(r.ID, oriolelog.SampleOneIn) {
			f.cfg.Log.WithFields(f.routingFields(r, dispatcher, attempt)).Info(oriolelog.MessageRouted)
		}
		r.MayRetry = f.retryOfLost(r, maxAttempts-(attempt-tried.givenBack))
		resp := f.run(ctx, dispatcher, r)
		f.logAttempt(r, dispatcher, resp, attempt)
		mayHaveRun = mayHaveRun || resp.Outcome == oriole.OutcomeUnknown
		givenBack := tried.countGivenBack(dispatcher, resp)
		if f.ending.Err() != nil && resp.Reason == oriole.ReasonCancelled {
			resp.Reason, resp.RetryAfter = oriole.ReasonDraining, drainRetryAfter
		}
		if !f.shouldRetry(ctx, r, resp, attempt, givenBack, tried.givenBack) {
			return finalResponse(resp, mayHaveRun)
		}
		f.cfg.Metrics.Add("entry_again_"+resp.Reason.String(), 1)
		tried.record(dispatcher, resp.Reason)
		if resp.Reason == oriole.ReasonUnreachable {
			f.reach.record(f.cfg.Clock.Now(), pool, dispatcher, tried.upstreams)
		}
		switch {
		case resp.Outcome != oriole.OutcomeNotRun:
		case resp.Reason == oriole.ReasonUnreachable && tried.unreachable >= maxUnreachable:
			f.waitForOtherUpstream(ctx, r, tried.state)
		case givenBack, resp.Reason == oriole.ReasonMoved, resp.Reason == oriole.ReasonPaused, resp.Reason == oriole.ReasonUnreachable:
			// The next attempt goes elsewhere.
		default:
			f.waitForUpdate(ctx, retryPause)
		}
	}
}

// maxUnreachable is the number of dispatchers that must fail to connect to an upstream for
// it to be taken for lost.
const maxUnreachable = 3

// maxGivenBack is the number of dispatchers that may give a request back, as they are being
// stopped, before this gateway dispatches it. A request that waits while all gateways are
// stopped in turn is given back by about the logarithm of their number.
const maxGivenBack = 8

// triedDispatchers are the dispatchers that did not send a request.
type triedDispatchers struct {
	// pool is the pool that the request was last routed to, by state.
	pool  oriole.PoolID
	state *oriole.ClusterState
	// refused holds the gateways that don't dispatch the request, although the
	// cluster state may still list them as dispatchers, or that did not reach an
	// upstream of the pool, and unreachable is the number of the latter.
	refused     []oriole.GatewayID
	unreachable int
	// givenBack is the number of those that have given the request back, as they are being
	// stopped, up to maxGivenBack. These attempts don't count towards the limits.
	givenBack int
	// upstreams is the hash of those that were not reached.
	upstreams uint64
}

// setPool sets the pool that the request is routed to. What others did not reach says
// nothing of another pool, nor of the same one with other upstreams.
func (t *triedDispatchers) setPool(state *oriole.ClusterState, pool oriole.PoolID) {
	if t.unreachable > 0 && (pool != t.pool || upstreamsOf(state, pool) != t.upstreams) {
		t.refused, t.unreachable = nil, 0
	}
	t.pool, t.state = pool, state
}

// countGivenBack counts the response if the dispatcher has given the request back: it does
// not dispatch the request and names no time to ask it again.
func (t *triedDispatchers) countGivenBack(dispatcher oriole.GatewayID, resp oriole.Response) bool {
	if resp.Outcome != oriole.OutcomeNotRun || resp.Reason != oriole.ReasonNotDispatcher || resp.RetryAfter > 0 ||
		t.givenBack >= maxGivenBack || slices.Contains(t.refused, dispatcher) {
		return false
	}
	t.givenBack++
	return true
}

func (t *triedDispatchers) record(dispatcher oriole.GatewayID, reason oriole.Reason) {
	switch reason {
	case oriole.ReasonUnreachable:
		t.unreachable++
		t.upstreams = upstreamsOf(t.state, t.pool)
		t.refused = append(t.refused, dispatcher)
	case oriole.ReasonNotDispatcher:
		t.refused = append(t.refused, dispatcher)
	}
}

// logAttempt logs an attempt that got no response, with the inputs of the
// routing decision.
func (f *Forwarder) logAttempt(r oriole.Request, dispatcher oriole.GatewayID, resp oriole.Response, attempt int) {
	if resp.Outcome == oriole.OutcomeAnswered {
		return
	}
	fields := f.routingFields(r, dispatcher, attempt)
	fields["upstream"], fields["retry"] = resp.Server, resp.RetryAfter.String()
	fields["outcome"], fields["reason"] = resp.Outcome.String(), resp.Reason.String()
	f.cfg.Log.WithFields(fields).Info(oriolelog.MessageAttemptFailed)
}

// routingFields returns the log fields with the inputs of a routing decision,
// and their versions and ages.
func (f *Forwarder) routingFields(r oriole.Request, dispatcher oriole.GatewayID, attempt int) log.Fields {
	state, now := f.cfg.State.Snapshot(), f.cfg.Clock.Now()
	fields := log.Fields{
		oriolelog.FieldRequestID: r.ID, "service": r.Service, "pool": r.Pool.String(), "keeper": dispatcher, "try": attempt,
		"left": r.Deadline.Sub(now).String(),
	}
	if state.Config != nil {
		fields["config"], fields["configage"] = state.Config.Version, now.Sub(state.ConfigAt).String()
	}
	if assignment := state.Assignments[r.Service]; assignment != nil && r.HasShardKey {
		fields["point"], fields["term"], fields["table"] = r.ShardKey, assignment.Term, assignment.Seq
		fields["tableage"] = now.Sub(state.AssignedAt[r.Service]).String()
	}
	return fields
}

const (
	// rejectedLinesPerSecond and rejectedLinesBurst limit the log lines about requests
	// that need another key, a lower rate or a newer configuration. Callers outside our
	// control can send any number of them, and other lines share the log's limit of 200
	// lines per second.
	rejectedLinesPerSecond = 20
	rejectedLinesBurst     = 60
)

// logsRejection reports whether a rejection for the reason is logged now.
func (f *Forwarder) logsRejection(reason oriole.Reason) bool {
	switch reason {
	case oriole.ReasonUnauthorized, oriole.ReasonOverLimit, oriole.ReasonStaleConfig:
		return f.rejectedLines.Allow()
	}
	return true
}

// logRejected logs a request that was rejected before it was forwarded.
func (f *Forwarder) logRejected(id, authority, path string, rejected rejection) {
	if !f.logsRejection(rejected.reason) {
		f.cfg.Metrics.Add("entry_rejections_unlogged", 1)
		return
	}
	fields := log.Fields{
		oriolelog.FieldRequestID: id, "status": rejected.status, "reason": rejected.reason.String(), "host": authority, "path": path,
		"outcome": oriole.OutcomeNotRun.String(),
	}
	if state := f.cfg.State.Snapshot(); state.Config != nil {
		fields["config"], fields["configage"] = state.Config.Version, f.cfg.Clock.Now().Sub(state.ConfigAt).String()
	}
	f.cfg.Log.WithFields(fields).Info(oriolelog.MessageRejected)
}

// logEnd logs the final result of a request: always if there is no response,
// otherwise for a sample of the requests.
func (f *Forwarder) logEnd(r oriole.Request, resp oriole.Response, attempts int, start time.Time) {
	now := f.cfg.Clock.Now()
	sampleOneIn := uint64(oriolelog.SampleOneIn)
	if now.After(r.SoftDeadline) {
		sampleOneIn = oriolelog.LateSampleOneIn
	}
	if resp.Outcome == oriole.OutcomeAnswered && !oriolelog.Sampled(r.ID, sampleOneIn) {
		return
	}
	f.cfg.Log.WithFields(log.Fields{
		oriolelog.FieldRequestID: r.ID, "service": r.Service, "outcome": resp.Outcome.String(), "reason": resp.Reason.String(),
		"status": resp.Status, "upstream": resp.Server, "tries": attempts, "took": now.Sub(start).String(),
		"late": now.After(r.SoftDeadline), "retry": resp.RetryAfter.String(),
	}).Info(oriolelog.MessageRequestEnded)
}

// finalResponse replaces the outcome "not run" by "unknown" if an earlier
// attempt at the request may have run.
func finalResponse(resp oriole.Response, mayHaveRun bool) oriole.Response {
	if resp.Outcome == oriole.OutcomeNotRun && mayHaveRun {
		unknown := oriole.UnknownResponse(resp.Reason)
		unknown.Server = resp.Server
		return unknown
	}
	return resp
}

// maxNotRunAttempts limits the attempts at a request that was not run. Retries
// draw on the budget, unless the previous attempt failed before the dispatcher
// tried an upstream.
const maxNotRunAttempts = 4

// shouldRetry reports whether to send the request again. givenBack tells whether the last
// attempt ended as the dispatcher gave the request back, and allGivenBack how many did.
func (f *Forwarder) shouldRetry(ctx context.Context, r oriole.Request, resp oriole.Response, attempt int, givenBack bool, allGivenBack int) bool {
	remaining := r.Deadline.Sub(f.cfg.Clock.Now())
	if ctx.Err() != nil || remaining < minTimeToRetry {
		return false
	}
	if resp.Outcome == oriole.OutcomeNotRun && resp.Reason == oriole.ReasonNotDispatcher {
		return givenBack || attempt < maxNotRunAttempts
	}
	attempt -= allGivenBack
	switch resp.Outcome {
	case oriole.OutcomeAnswered:
		return false
	case oriole.OutcomeUnknown:
		return resp.Reason != oriole.ReasonDeadline && r.MayRetry()
	}
	switch resp.Reason {
	case oriole.ReasonPaused:
		return attempt < maxNotRunAttempts && f.hasOtherPool(r)
	case oriole.ReasonFenced, oriole.ReasonShed, oriole.ReasonConnection:
		return attempt < maxNotRunAttempts && f.budget.withdraw(r.Service)
	case oriole.ReasonNoOwner, oriole.ReasonMoved, oriole.ReasonUnreachable:
		return attempt < maxNotRunAttempts
	}
	return false
}

// retryOfLost returns a function that reports whether an attempt at the request is followed
// by another if it is lost, of which attemptsLeft may follow. The retry draws on the budget
// once.
func (f *Forwarder) retryOfLost(r oriole.Request, attemptsLeft int) func() bool {
	var withdrawn atomic.Bool
	return func() bool {
		if !withdrawn.Load() {
			withdrawn.Store(r.Idempotent && attemptsLeft > 0 && f.timeLeft(r) >= minTimeToRetry && f.budget.withdraw(r.Service))
		}
		return withdrawn.Load()
	}
}

// timeLeft returns the time to the request's deadline, or to the end of this gateway's stop.
func (f *Forwarder) timeLeft(r oriole.Request) time.Duration {
	return f.schedule.Load().Bound(r.Deadline).Sub(f.cfg.Clock.Now())
}

// hasOtherPool reports whether another pool than the one that the request was sent to
// may run it.
func (f *Forwarder) hasOtherPool(r oriole.Request) bool {
	if r.Pool.Server != "" || r.IdempotencyKey != "" {
		return false
	}
	return slices.ContainsFunc(f.cfg.State.Snapshot().UsableUpstreams(r.Service), func(u oriole.Upstream) bool {
		return orioleplacement.PoolOf(u, false) != r.Pool
	})
}

// run sends the request to the dispatcher and waits for the response.
func (f *Forwarder) run(ctx context.Context, dispatcher oriole.GatewayID, r oriole.Request) oriole.Response {
	start := f.cfg.Clock.Now()
	f.balancer.begin(r.Pool)
	var resp oriole.Response
	if dispatcher == f.cfg.Self.ID {
		resp = f.runLocal(ctx, r)
	} else {
		resp = f.cfg.Peers.Forward(ctx, dispatcher, r)
	}
	f.balancer.end(r.Pool, resp, f.cfg.Clock.Now(), start)
	return resp
}

func (f *Forwarder) runLocal(ctx context.Context, r oriole.Request) oriole.Response {
	responses := make(chan oriole.Response, 1)
	f.cfg.Dispatcher.Do(ctx, r, func(resp oriole.Response) { responses <- resp })
	select {
	case resp := <-responses:
		return resp
	case <-ctx.Done():
		// The request may have reached the upstream.
		reason := oriole.ReasonCancelled
		if ctx.Err() == context.DeadlineExceeded {
			reason = oriole.ReasonDeadline
		}
		return oriole.UnknownResponse(reason)
	}
}

// target returns the pool of the request and the pool's dispatcher, or the reason
// why there is none or the request must not be passed on. Gateways that were tried are
// left out. It waits up to ownerWaitTimeout for an owner. If the stop bounds the attempt,
// it is not refused as draining: the request may have run, so that its outcome would be
// unknown, or was given back by a dispatcher, which could have answered it.
func (f *Forwarder) target(ctx context.Context, r oriole.Request, tried *triedDispatchers, bounded bool) (pool oriole.PoolID, dispatcher oriole.GatewayID, reason oriole.Reason) {
	waitCtx, cancel := context.WithTimeout(ctx, ownerWaitTimeout)
	defer cancel()
	for {
		if !f.admits(r.Deadline) && !(bounded && f.timeLeft(r) >= minTimeToRetry) {
			return pool, "", oriole.ReasonDraining
		}
		state, updated := f.cfg.State.Watch()
		pool, reason = f.poolFor(state, r)
		if reason == oriole.ReasonNone {
			tried.setPool(state, pool)
			return pool, f.dispatcherFor(state, pool, tried), reason
		}
		if reason != oriole.ReasonNoOwner || f.withoutLeader(state, r) {
			return pool, "", reason
		}
		select {
		case <-updated:
		case <-waitCtx.Done():
			return pool, "", reason
		}
	}
}

// poolFor returns the pool to send the request to, or the reason why there is
// none.
func (f *Forwarder) poolFor(state *oriole.ClusterState, r oriole.Request) (oriole.PoolID, oriole.Reason) {
	if state.Config == nil {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	service := state.Config.Services[r.Service]
	if !service.Sharded && r.IdempotencyKey != "" {
		return poolForIdempotencyKey(state, r)
	}
	if !service.Sharded {
		return f.balancer.pick(state, r.Service, f.cfg.Clock.Now())
	}
	a := state.Assignments[r.Service]
	if a == nil || !r.HasShardKey {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	keyRange := a.Find(r.ShardKey)
	if keyRange == nil || !keyRange.Grantable() {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	u, listed := state.Upstreams[keyRange.Owner.ID]
	if !listed || u.Incarnation() != keyRange.Owner || !state.Usable(u) {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	return orioleplacement.PoolOf(u, true), oriole.ReasonNone
}

// withoutLeader reports whether the owner of the request's key is there but takes no
// requests, and no leader is alive to move the key.
func (f *Forwarder) withoutLeader(state *oriole.ClusterState, r oriole.Request) bool {
	a := state.Assignments[r.Service]
	if a == nil || !r.HasShardKey || state.Alive[a.Leader] {
		return false
	}
	keyRange := a.Find(r.ShardKey)
	if keyRange == nil || !keyRange.Grantable() {
		return false
	}
	u, listed := state.Upstreams[keyRange.Owner.ID]
	return listed && u.Incarnation() == keyRange.Owner && !state.Usable(u)
}

// dispatcherFor returns the highest ranked dispatcher of the pool that is reachable
// and was not tried, or this gateway if there is none. If one did not reach an upstream,
// those of its zone may be cut off as well, so that others go first. Gateways that are being
// stopped come last, and only this one asks them that is being stopped too.
func (f *Forwarder) dispatcherFor(state *oriole.ClusterState, pool oriole.PoolID, tried *triedDispatchers) oriole.GatewayID {
	now := f.cfg.Clock.Now()
	if tried.givenBack == maxGivenBack && !slices.Contains(tried.refused, f.cfg.Self.ID) {
		return f.cfg.Self.ID
	}
	cutOff := tried.unreachable > 0
	sameZone, failing := oriole.GatewayID(""), oriole.GatewayID("")
	for _, id := range f.rankings.Ranking(pool, state.LargeBodies(pool.Service), state.LiveMembers()) {
		switch {
		case id == f.cfg.Self.ID && f.schedule.Load() != nil:
			// The cluster state may not show it yet.
		case slices.Contains(tried.refused, id) || (id != f.cfg.Self.ID && !f.cfg.Peers.Reachable(id)):
		case f.reach.fails(now, state, pool, id):
			cutOff = true
			failing = cmp.Or(failing, id)
		case !cutOff || state.Gateways[id].Zone != pool.Zone:
			return id
		default:
			sameZone = cmp.Or(sameZone, id)
		}
	}
	return cmp.Or(sameZone, failing, f.leavingDispatcher(now, state, pool, tried), f.cfg.Self.ID)
}

// leavingDispatcher returns the highest ranked dispatcher of the pool among the gateways that
// are being stopped, or nothing if this one is not. If all are being stopped, they agree on
// a sender: each for itself, they would send more than upstreams take.
func (f *Forwarder) leavingDispatcher(now time.Time, state *oriole.ClusterState, pool oriole.PoolID, tried *triedDispatchers) oriole.GatewayID {
	schedule := f.schedule.Load()
	var members []oriole.Member
	for _, leaving := range state.Leaving {
		if schedule.Asks(now, leaving.Since) {
			members = append(members, leaving.Member)
		}
	}
	slices.SortFunc(members, func(a, b oriole.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, id := range f.leavingRankings.Ranking(pool, state.LargeBodies(pool.Service), members) {
		if !slices.Contains(tried.refused, id) && !f.reach.fails(now, state, pool, id) && (id == f.cfg.Self.ID || f.cfg.Peers.Reachable(id)) {
			return id
		}
	}
	return ""
}

// waitForOtherUpstream waits until the request is routed to another pool, as it is soon
// after the loss of an upstream that owned the key, or until its pool has an upstream that
// it did not have in the state before, or until lossTimeout has passed.
func (f *Forwarder) waitForOtherUpstream(ctx context.Context, r oriole.Request, before *oriole.ClusterState) {
	ctx, cancel := context.WithTimeout(ctx, lossTimeout)
	defer cancel()
	for {
		state, updated := f.cfg.State.Watch()
		pool, reason := f.poolFor(state, r)
		if reason != oriole.ReasonNone || pool != r.Pool {
			return
		}
		if hasOtherUpstream(state, before, pool) {
			// The dispatcher may learn of it a few milliseconds later, and the attempt
			// that follows is the last.
			pause(ctx, retryPause)
			return
		}
		select {
		case <-updated:
		case <-ctx.Done():
			return
		}
	}
}

// hasOtherUpstream reports whether the pool has an upstream in the state that it did not
// have in the one before.
func hasOtherUpstream(state, before *oriole.ClusterState, pool oriole.PoolID) bool {
	known := orioleplacement.Upstreams(before, pool)
	return slices.ContainsFunc(orioleplacement.Upstreams(state, pool), func(u oriole.Upstream) bool {
		return !slices.ContainsFunc(known, func(k oriole.Upstream) bool { return k.Incarnation() == u.Incarnation() })
	})
}

// pause waits for the duration, or until ctx is done.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitForUpdate waits until the cluster state changes or the timeout expires.
func (f *Forwarder) waitForUpdate(ctx context.Context, timeout time.Duration) {
	_, updated := f.cfg.State.Watch()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countLoad counts the request towards the load of its key bucket.
func (f *Forwarder) countLoad(r oriole.Request) {
	if !r.HasShardKey {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := f.loadCounts[r.Service]
	if counts == nil {
		counts = make(map[int]int)
		f.loadCounts[r.Service] = counts
	}
	counts[orioleassign.BucketOf(r.ShardKey)]++
}

// TakeLoadCounts returns the number of requests by service and key bucket since
// the last call.
func (f *Forwarder) TakeLoadCounts() map[oriole.ServiceName]map[int]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	loadCounts := f.loadCounts
	f.loadCounts = make(map[oriole.ServiceName]map[int]int)
	return loadCounts
}
