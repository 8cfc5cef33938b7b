// Package oriolecaller serves callers. It finds the route and the pool of each
// request, forwards the request to the gateway that executes the pool's
// requests, retries it where that is safe, and writes the response.
package oriolecaller

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/oriolesight"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleassign"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolekeeper"
)

const (
	// ownerWaitTimeout is how long a request waits for its key to get an owner.
	// A planned handover takes as long as the requests in flight on the keys.
	// Replacing a lost owner takes seconds, so the caller should rather retry.
	ownerWaitTimeout = 200 * time.Millisecond
	// noOwnerRetryAfter is the retry delay sent to callers when no upstream
	// owns the key.
	noOwnerRetryAfter = 300 * time.Millisecond
	// retryPause is the longest pause before the next attempt at a request that
	// was not run.
	retryPause = 10 * time.Millisecond
	// minTimeToRetry is the time to the deadline below which requests are not
	// retried.
	minTimeToRetry = 40 * time.Millisecond
)

// Hub provides the gateway's current view of the cluster.
type Hub interface {
	World() *oriole.World
	Next() (*oriole.World, <-chan struct{})
}

// Keeper executes requests for the pools that this gateway is responsible for.
type Keeper interface {
	Do(ctx context.Context, r oriole.Request, reply func(oriole.Answer))
}

// Peers forwards requests to the gateways that execute other pools.
type Peers interface {
	Reaches(to oriole.GatewayID) bool
	Ask(ctx context.Context, to oriole.GatewayID, r oriole.Request) oriole.Answer
}

// EntryConfig holds the dependencies of the [Entry].
type EntryConfig struct {
	Self    oriole.Member
	Hub     Hub
	Keeper  Keeper
	Peers   Peers
	Clock   oriole.Clock
	Metrics *oriolesight.Metrics
	Log     log.Interface
	// Loads reports the number of requests by key bucket to the leader of a
	// service.
	Loads func(service oriole.ServiceName, counts map[int]int)
}

// Entry routes requests in the gateway that received them, independent of the
// front end: it selects the pool and the executor, and retries.
type Entry struct {
	cfg      EntryConfig
	budget   *retryBudget
	balancer *poolBalancer
	rankings oriolekeeper.Ranks

	mu         sync.Mutex
	loadCounts map[oriole.ServiceName]map[int]int
}

// NewEntry returns a new [Entry].
func NewEntry(cfg EntryConfig) *Entry {
	return &Entry{
		cfg:        cfg,
		budget:     newRetryBudget(),
		balancer:   newPoolBalancer(cfg.Self.Zone),
		loadCounts: make(map[oriole.ServiceName]map[int]int),
	}
}

// Do runs the request and returns its final response. At most maxAttempts
// upstreams may run it.
func (d *Entry) Do(ctx context.Context, r oriole.Request, maxAttempts int) (final oriole.Answer) {
	start := d.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(start))
	defer cancel()
	attempts := 0
	defer func() { d.logEnd(r, final, attempts, start) }()
	d.countLoad(r)
	d.budget.deposit(r.Service)
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		attempts = attempt
		pool, executor, reason := d.target(ctx, r)
		if reason != oriole.ReasonNone {
			resp := oriole.Refuse(reason)
			resp.RetryAfter = noOwnerRetryAfter
			d.logAttempt(r, "", resp, attempt)
			return finalResponse(resp, mayHaveRun)
		}
		r.Pool = pool
		if oriolelog.Sampled(r.ID, oriolelog.StoryShare) {
			d.cfg.Log.WithFields(d.routingFields(r, executor, attempt)).Info(oriolelog.MessageRoute)
		}
		resp := d.run(ctx, executor, r)
		d.logAttempt(r, executor, resp, attempt)
		mayHaveRun = mayHaveRun || resp.Outcome == oriole.OutcomeUnknown
		if !d.shouldRetry(ctx, r, resp, attempt, maxAttempts) {
			return finalResponse(resp, mayHaveRun)
		}
		d.cfg.Metrics.Add("entry_again_"+resp.Reason.String(), 1)
		if resp.Outcome == oriole.OutcomeNotRun && resp.Reason != oriole.ReasonMoved {
			d.waitForUpdate(ctx, retryPause)
		}
	}
}

// logAttempt logs an attempt that got no response, with the inputs of the
// routing decision.
func (d *Entry) logAttempt(r oriole.Request, executor oriole.GatewayID, resp oriole.Answer, attempt int) {
	if resp.Outcome == oriole.OutcomeAnswered {
		return
	}
	fields := d.routingFields(r, executor, attempt)
	fields["upstream"], fields["retry"] = resp.Server, resp.RetryAfter.String()
	fields["outcome"], fields["reason"] = resp.Outcome.String(), resp.Reason.String()
	d.cfg.Log.WithFields(fields).Info(oriolelog.MessageTry)
}

// routingFields returns the log fields with the inputs of a routing decision,
// and their versions and ages.
func (d *Entry) routingFields(r oriole.Request, executor oriole.GatewayID, attempt int) log.Fields {
	state, now := d.cfg.Hub.World(), d.cfg.Clock.Now()
	fields := log.Fields{
		oriolelog.FieldID: r.ID, "service": r.Service, "pool": r.Pool.String(), "keeper": executor, "try": attempt,
		"left": r.Deadline.Sub(now).String(),
	}
	if state.Config != nil {
		fields["config"], fields["configage"] = state.Config.Version, now.Sub(state.ConfigAt).String()
	}
	if assignment := state.Assignments[r.Service]; assignment != nil && r.Divided {
		fields["point"], fields["term"], fields["table"] = r.Point, assignment.Term, assignment.Seq
		fields["tableage"] = now.Sub(state.AssignedAt[r.Service]).String()
	}
	return fields
}

// logRejected logs a request that was rejected before it was dispatched.
func (d *Entry) logRejected(id, authority, path string, rejected rejection) {
	fields := log.Fields{
		oriolelog.FieldID: id, "status": rejected.status, "reason": rejected.reason.String(), "host": authority, "path": path,
		"outcome": oriole.OutcomeNotRun.String(),
	}
	if state := d.cfg.Hub.World(); state.Config != nil {
		fields["config"], fields["configage"] = state.Config.Version, d.cfg.Clock.Now().Sub(state.ConfigAt).String()
	}
	d.cfg.Log.WithFields(fields).Info(oriolelog.MessageRefuse)
}

// logEnd logs the final result of a request: always if there is no response,
// otherwise for a sample of the requests.
func (d *Entry) logEnd(r oriole.Request, resp oriole.Answer, attempts int, start time.Time) {
	now := d.cfg.Clock.Now()
	sampleOneIn := uint64(oriolelog.StoryShare)
	if now.After(r.Objective) {
		sampleOneIn = oriolelog.LateShare
	}
	if resp.Outcome == oriole.OutcomeAnswered && !oriolelog.Sampled(r.ID, sampleOneIn) {
		return
	}
	d.cfg.Log.WithFields(log.Fields{
		oriolelog.FieldID: r.ID, "service": r.Service, "outcome": resp.Outcome.String(), "reason": resp.Reason.String(),
		"status": resp.Status, "upstream": resp.Server, "tries": attempts, "took": now.Sub(start).String(),
		"late": now.After(r.Objective), "retry": resp.RetryAfter.String(),
	}).Info(oriolelog.MessageEnd)
}

// finalResponse replaces the outcome "not run" by "unknown" if an earlier
// attempt at the request may have run.
func finalResponse(resp oriole.Answer, mayHaveRun bool) oriole.Answer {
	if resp.Outcome == oriole.OutcomeNotRun && mayHaveRun {
		unknown := oriole.Lost(resp.Reason)
		unknown.Server = resp.Server
		return unknown
	}
	return resp
}

// maxNotRunAttempts limits the attempts at a request that was not run. Their
// retries draw on the budget, except where the previous attempt was not sent to
// an upstream.
const maxNotRunAttempts = 4

// shouldRetry reports whether to send the request again.
func (d *Entry) shouldRetry(ctx context.Context, r oriole.Request, resp oriole.Answer, attempt, maxAttempts int) bool {
	remaining := r.Deadline.Sub(d.cfg.Clock.Now())
	if ctx.Err() != nil || remaining < minTimeToRetry {
		return false
	}
	switch resp.Outcome {
	case oriole.OutcomeAnswered:
		return false
	case oriole.OutcomeUnknown:
		return r.Idempotent && attempt < maxAttempts && resp.Reason != oriole.ReasonDeadline && d.budget.withdraw(r.Service)
	}
	switch resp.Reason {
	case oriole.ReasonFenced, oriole.ReasonShed, oriole.ReasonConnection:
		return attempt < maxNotRunAttempts && d.budget.withdraw(r.Service)
	case oriole.ReasonNotKeeper, oriole.ReasonNoOwner, oriole.ReasonMoved:
		return attempt < maxNotRunAttempts
	}
	return false
}

// run sends the request to the executor and waits for the response.
func (d *Entry) run(ctx context.Context, executor oriole.GatewayID, r oriole.Request) oriole.Answer {
	start := d.cfg.Clock.Now()
	d.balancer.begin(r.Pool)
	var resp oriole.Answer
	if executor == d.cfg.Self.ID {
		resp = d.runLocal(ctx, r)
	} else {
		resp = d.cfg.Peers.Ask(ctx, executor, r)
	}
	d.balancer.end(r.Pool, resp, d.cfg.Clock.Now(), start)
	return resp
}

func (d *Entry) runLocal(ctx context.Context, r oriole.Request) oriole.Answer {
	responses := make(chan oriole.Answer, 1)
	d.cfg.Keeper.Do(ctx, r, func(resp oriole.Answer) { responses <- resp })
	select {
	case resp := <-responses:
		return resp
	case <-ctx.Done():
		// The request may have reached the upstream.
		reason := oriole.ReasonCancelled
		if ctx.Err() == context.DeadlineExceeded {
			reason = oriole.ReasonDeadline
		}
		return oriole.Lost(reason)
	}
}

// target returns the pool of the request and the pool's executor, or the reason
// why there is none. It waits a short time for the key to get an owner.
func (d *Entry) target(ctx context.Context, r oriole.Request) (pool oriole.PoolID, executor oriole.GatewayID, reason oriole.Reason) {
	waitCtx, cancel := context.WithTimeout(ctx, ownerWaitTimeout)
	defer cancel()
	for {
		state, updated := d.cfg.Hub.Next()
		pool, reason = d.poolFor(state, r)
		if reason == oriole.ReasonNone {
			return pool, d.executorFor(state, pool), reason
		}
		if reason != oriole.ReasonNoOwner {
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
func (d *Entry) poolFor(state *oriole.World, r oriole.Request) (oriole.PoolID, oriole.Reason) {
	if state.Config == nil {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	service := state.Config.Services[r.Service]
	if !service.Divided && r.Token != "" {
		return poolForIdempotencyKey(state, r)
	}
	if !service.Divided {
		return d.balancer.pick(state, r.Service, d.cfg.Clock.Now())
	}
	a := state.Assignments[r.Service]
	if a == nil || !r.Divided {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	keyRange := a.Find(r.Point)
	if keyRange == nil || !keyRange.Ready() {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	u, listed := state.Upstreams[keyRange.Owner.ID]
	if !listed || u.Life() != keyRange.Owner || !state.Usable(u) {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	return oriolekeeper.PoolOf(u, true), oriole.ReasonNone
}

// executorFor returns the highest ranked executor of the pool that is
// reachable, or this gateway if none is.
func (d *Entry) executorFor(state *oriole.World, pool oriole.PoolID) oriole.GatewayID {
	for _, id := range d.rankings.Of(pool, state.Members()) {
		if id == d.cfg.Self.ID || d.cfg.Peers.Reaches(id) {
			return id
		}
	}
	return d.cfg.Self.ID
}

// waitForUpdate waits until the cluster state changes or the timeout expires.
func (d *Entry) waitForUpdate(ctx context.Context, timeout time.Duration) {
	_, updated := d.cfg.Hub.Next()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-updated:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// countLoad counts the request towards the load of its key bucket.
func (d *Entry) countLoad(r oriole.Request) {
	if !r.Divided {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := d.loadCounts[r.Service]
	if counts == nil {
		counts = make(map[int]int)
		d.loadCounts[r.Service] = counts
	}
	counts[orioleassign.BucketOf(r.Point)]++
}

// TakeLoads returns the number of requests by service and key bucket since the
// last call.
func (d *Entry) TakeLoads() map[oriole.ServiceName]map[int]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	loadCounts := d.loadCounts
	d.loadCounts = make(map[oriole.ServiceName]map[int]int)
	return loadCounts
}
