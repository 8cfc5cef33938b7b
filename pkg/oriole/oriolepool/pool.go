package oriolepool

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolelimit"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepause"
)

const (
	// maxQueueLen bounds the requests that are queued in a pool. At 100 ms a
	// request, two slots serve 30 requests in 1.5 s, the longest usual deadline;
	// the rest of the queue is for pools of several upstreams.
	maxQueueLen = 128
	// minDurationFraction is the fraction of the mean duration that must be left
	// before the deadline for a request to be sent. It is below 1 since about half
	// of the requests take less time than the mean.
	minDurationFraction = 0.6
	// minRetryAfter is the shortest RetryAfter of a refused request; a new
	// connection and the round trip take several milliseconds anyway.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest: a retry should come before the deadlines of
	// most callers.
	maxRetryAfter = time.Second
	// delegatedWait is the expected wait of a request that only another gateway may send:
	// by then, the gateways agree on which one.
	delegatedWait = 250 * time.Millisecond
	// resumeMargin is how much more time than otherwise must be left before the
	// deadline of a request that waits for the end of a pause. The caller of the pool
	// calls Tick at intervals, and the refusal must be back before the deadline.
	resumeMargin = 50 * time.Millisecond
)

// JobID identifies a job within a pool.
type JobID uint64

// Effect is an action that the caller must carry out for the pool. Exactly one
// field is set.
type Effect struct {
	Start *Start
	Reply *Reply
}

// Start tells the caller to send the request of a job to an upstream and to pass
// the response to [Pool.Finish].
type Start struct {
	Job     JobID
	To      oriole.Upstream
	Request oriole.Request
	// Probe is set if the upstream has asked for a pause and gets the request all the
	// same.
	Probe bool
	// RateLimited is set if the upstream is cold or suspect, and Tokens is then the number
	// of further requests that it may get now.
	RateLimited bool
	Tokens      float64
}

// Reply is the final response to a job, whether it was sent or refused.
type Reply struct {
	Job      JobID
	Response oriole.Response
}

type job struct {
	id        JobID
	request   oriole.Request
	arrivedAt time.Time
	startedAt time.Time
	server    *server
}

// Pool is the request queue of one pool and the state of its upstreams.
type Pool struct {
	service oriole.Service
	servers []*server
	queue   []*job
	running map[JobID]*job
	effects []Effect
	pauses  *oriolepause.Ledger
	limits  *oriolelimit.Ledger
	// elsewhere is set if other pools can run the requests.
	elsewhere bool
	// The pool is the only sender to its upstreams from soleSince on, or another gateway
	// is if delegated is set. Only the sole sender sends to cold upstreams. Any sends to those
	// that are only suspect: the others don't know of the suspicion.
	soleSince time.Time
	delegated bool
	// shares orders requests of different workspaces.
	shares shares
}

// New returns a pool without upstreams.
func New() *Pool {
	return &Pool{running: make(map[JobID]*job), pauses: oriolepause.New(), limits: oriolelimit.New(), shares: newShares()}
}

// SharePauses makes the pool keep to the pauses in the ledger, which is that of all
// pools of the VM.
func (p *Pool) SharePauses(pauses *oriolepause.Ledger) { p.pauses = pauses }

// ShareLimits makes the pool keep to the limits in the ledger, which is that of all pools
// of the VM.
func (p *Pool) ShareLimits(limits *oriolelimit.Ledger) { p.limits = limits }

// SetElsewhere sets whether other pools can run the requests. Those then don't wait for
// the end of a pause.
func (p *Pool) SetElsewhere(elsewhere bool) { p.elsewhere = elsewhere }

// SetSoleSender sets from when on the pool is the only sender to its upstreams, which may
// be in the future, or that another gateway is if first is not set. A new pool is the only
// sender at once.
func (p *Pool) SetSoleSender(first bool, since time.Time) {
	if p.delegated == !first && p.soleSince.Equal(since) {
		return
	}
	p.delegated, p.soleSince = !first, since
	for _, s := range p.servers {
		s.cold = bucket{refilledAt: since}
	}
}

// canGoElsewhere reports whether another pool can run the request. One with an
// idempotency key belongs to one pool.
func (p *Pool) canGoElsewhere(j *job) bool { return p.elsewhere && j.request.IdempotencyKey == "" }

// TakeEffects returns the effects since the last call, in order.
func (p *Pool) TakeEffects() []Effect {
	effects := p.effects
	p.effects = nil
	return effects
}

// Idle reports whether no request is queued or running.
func (p *Pool) Idle() bool { return len(p.queue) == 0 && len(p.running) == 0 }

// QueueLen returns the number of queued requests.
func (p *Pool) QueueLen() int { return len(p.queue) }

// minSamples is the number of requests that an upstream must have answered for
// its mean duration to be reported.
const minSamples = 8

// RequestDurations reports the long-term mean duration of the requests to each
// upstream that has answered enough of them. An upstream that has named a limit counts
// as slow enough to serve no more than that with all its slots.
func (p *Pool) RequestDurations(report func(oriole.ServerID, time.Duration)) {
	for _, s := range p.servers {
		duration := time.Duration(0)
		if s.samples >= minSamples {
			duration = s.longTermMean
		}
		duration = max(duration, time.Duration(s.upstream.Slots)*p.limits.Spacing(s.upstream.Incarnation()))
		if duration > 0 {
			report(s.upstream.ID, duration)
		}
	}
}

// Update sets the service and the upstreams that the pool may send to. A
// restarted upstream counts as a new one.
func (p *Pool) Update(now time.Time, service oriole.Service, upstreams []oriole.Upstream) {
	p.service = service
	old := p.servers
	p.servers = nil
	for _, u := range upstreams {
		i := slices.IndexFunc(old, func(s *server) bool { return s.upstream.Incarnation() == u.Incarnation() })
		if i < 0 {
			p.servers = append(p.servers, newServer(u, p.soleSince))
			continue
		}
		old[i].upstream = u
		p.servers = append(p.servers, old[i])
	}
	p.dispatch(now)
}

// Submit queues a request, or refuses it if it can't be served in time.
func (p *Pool) Submit(now time.Time, id JobID, r oriole.Request) {
	j := &job{id: id, request: r, arrivedAt: now}
	reason, wait := p.checkAdmission(now, j)
	if reason == oriole.ReasonQueueFull && p.displace(now, j) {
		reason, wait = p.checkAdmission(now, j)
	}
	if reason != oriole.ReasonNone {
		if s := p.probe(now, reason, j); s != nil {
			p.start(now, j, s, true)
			return
		}
		p.refuse(j, reason, wait)
		return
	}
	p.queue = append(p.queue, j)
	p.dispatch(now)
}

// checkAdmission returns the reason to refuse the job, or ReasonNone if it can be
// served in time, and the delay after which a refused request may be retried.
func (p *Pool) checkAdmission(now time.Time, j *job) (oriole.Reason, time.Duration) {
	if len(p.servers) == 0 {
		return oriole.ReasonNoOwner, minRetryAfter
	}
	if p.unreachable(now) {
		return oriole.ReasonUnreachable, reachInterval
	}
	if p.delegatedToOther(now) {
		return oriole.ReasonNotDispatcher, delegatedWait
	}
	full := len(p.queue) >= maxQueueLen
	wait := p.expectedWait(now, p.queuedBefore(j))
	paused := !p.pauseEnd(now).IsZero()
	needed := wait + p.minTimeLeft(j)
	if paused {
		needed += resumeMargin
	}
	late := now.Add(needed).After(j.request.Deadline)
	switch {
	case paused && (full || late):
		return oriole.ReasonPaused, wait
	case full:
		return oriole.ReasonQueueFull, p.expectedWait(now, len(p.queue))
	case late:
		return oriole.ReasonDeadline, wait / 2
	}
	return oriole.ReasonNone, 0
}

// Reach returns how many of the pool's upstreams the last attempt to connect did not
// reach, and how many upstreams it has.
func (p *Pool) Reach() (unreachable, upstreams int) {
	for _, s := range p.servers {
		if s.unreachable {
			unreachable++
		}
	}
	return unreachable, len(p.servers)
}

// unreachable reports whether no upstream can be reached, and none is to be tried now.
func (p *Pool) unreachable(now time.Time) bool {
	for _, s := range p.servers {
		if !s.unreachable || s.canStart(now, p.service) {
			return false
		}
	}
	return len(p.servers) > 0
}

// delegatedToOther reports whether only another gateway may send to the upstreams: all of
// them are cold, and this pool is not their only sender.
func (p *Pool) delegatedToOther(now time.Time) bool {
	return p.delegated && len(p.servers) > 0 && !slices.ContainsFunc(p.servers, func(s *server) bool { return !s.isCold(now) })
}

// maySend reports whether the pool may send to the upstream, apart from pauses and rates.
func (p *Pool) maySend(now time.Time, s *server) bool {
	return !s.isCold(now) || (!p.delegated && !now.Before(p.soleSince))
}

// pausedUntil returns until when the upstream gets no requests, because it has asked for a
// pause, or is cold and this pool is not its only sender. It returns the zero time
// if there is no such reason.
func (p *Pool) pausedUntil(now time.Time, s *server) time.Time {
	until := p.pauses.Until(now, s.upstream.Incarnation())
	if p.maySend(now, s) {
		return until
	}
	held := s.upstream.ColdUntil
	if !p.delegated && p.soleSince.Before(held) {
		held = p.soleSince
	}
	if held.After(until) {
		return held
	}
	return until
}

// pauseEnd returns when the first upstream takes requests again, if all of them are
// paused, or the zero time.
func (p *Pool) pauseEnd(now time.Time) (first time.Time) {
	for _, s := range p.servers {
		until := p.pausedUntil(now, s)
		if until.IsZero() {
			return until
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// probe returns the upstream to send a request to that would be refused because of a
// pause, or nil.
func (p *Pool) probe(now time.Time, reason oriole.Reason, j *job) *server {
	if reason != oriole.ReasonPaused || !j.request.Idempotent || p.canGoElsewhere(j) || now.Add(p.minTimeLeft(j)).After(j.request.Deadline) {
		return nil
	}
	for _, s := range p.servers {
		if p.canStart(now, s) && p.maySend(now, s) && p.pauses.Probe(now, s.upstream.Incarnation(), j.request.Priority) {
			return s
		}
	}
	return nil
}

// queuedBefore returns the number of queued requests that are expected to go before the
// job. It compares priorities and workspaces only, not soft deadlines as [Pool.compareJobs]
// does.
func (p *Pool) queuedBefore(j *job) int {
	if len(p.queue) == 0 {
		return 0
	}
	n := 0
	peers := make(map[oriole.WorkspaceName]int)
	for _, other := range p.queue {
		switch {
		case other.request.Priority < j.request.Priority:
			n++
		case other.request.Priority == j.request.Priority:
			peers[other.request.Workspace]++
		}
	}
	return n + p.shares.queuedBefore(peers, j.request.Workspace)
}

// expectedWait returns the expected queueing time of a request with the given
// number of requests queued before it.
func (p *Pool) expectedWait(now time.Time, queued int) time.Duration {
	start := now
	if end := p.pauseEnd(now); !end.IsZero() {
		start = end
	}
	freeSlots, totalRate := 0, 0.0
	for _, s := range p.servers {
		if p.pausedUntil(now, s).After(start) {
			continue
		}
		totalRate += p.serviceRate(now, s)
		if start.Before(s.pausedUntil) {
			continue
		}
		free := max(s.upstream.Slots-s.running, 0)
		if n, limited := p.limits.Available(now, s.upstream.Incarnation()); limited {
			free = min(free, max(n, 0))
		}
		freeSlots += free
	}
	excess := queued + 1 - freeSlots
	if excess <= 0 || totalRate <= 0 {
		return start.Sub(now)
	}
	return start.Sub(now) + time.Duration(float64(excess)/totalRate*float64(time.Second))
}

// minTimeLeft returns how much time must be left before the deadline of a request
// for it to be sent. It assumes that the fastest upstream will run it.
func (p *Pool) minTimeLeft(*job) time.Duration {
	return time.Duration(minDurationFraction * float64(p.shortestDuration()))
}

// shortestDuration returns the mean duration of requests to the fastest upstream.
func (p *Pool) shortestDuration() time.Duration {
	shortest := time.Duration(0)
	for i, s := range p.servers {
		if i == 0 || s.meanDuration < shortest {
			shortest = s.meanDuration
		}
	}
	return shortest
}

func (p *Pool) refuse(j *job, reason oriole.Reason, wait time.Duration) {
	response := oriole.NotRunResponse(reason)
	response.RetryAfter = retryAfter(wait, reason == oriole.ReasonPaused)
	response.ExpectedWait = wait
	p.effects = append(p.effects, Effect{Reply: &Reply{Job: j.id, Response: response}})
}

// retryAfter returns the time after which a request may be retried that would wait for
// so long. A pause is told in full.
func retryAfter(wait time.Duration, paused bool) time.Duration {
	if paused {
		return max(wait, minRetryAfter)
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Finish records the response to a started job, replies to the job with it, and
// starts queued requests in the slot that is now free.
func (p *Pool) Finish(now time.Time, id JobID, response oriole.Response) {
	j := p.running[id]
	if j == nil {
		return
	}
	delete(p.running, id)
	p.shares.finish(j.request.Workspace)
	j.server.finish(now, response, now.Sub(j.startedAt))
	if response.Refused && p.unreachable(now) {
		response.Reason = oriole.ReasonUnreachable
	}
	if p.unreachable(now) {
		p.refuseQueued(oriole.ReasonUnreachable, reachInterval)
	}
	if response.Outcome == oriole.OutcomeNotRun && response.RetryAfter == 0 {
		response.RetryAfter = retryAfter(p.expectedWait(now, len(p.queue)), !p.pauseEnd(now).IsZero())
	}
	response.ExpectedWait = p.expectedWait(now, len(p.queue))
	if p.unreachable(now) {
		response.ExpectedWait = reachInterval
	}
	p.effects = append(p.effects, Effect{Reply: &Reply{Job: id, Response: response}})
	p.dispatch(now)
}

// Cancel removes a queued job and reports whether there was one. A running job
// is not affected; its sender aborts it if that is safe.
func (p *Pool) Cancel(id JobID) bool {
	n := len(p.queue)
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.id == id })
	return len(p.queue) < n
}

// Evict refuses the queued requests that no longer belong to the pool with
// ReasonMoved, so that they can be sent to another.
func (p *Pool) Evict(moved func(oriole.Request) bool) {
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool {
		if !moved(j.request) {
			return false
		}
		p.refuse(j, oriole.ReasonMoved, 0)
		return true
	})
}

// GiveBack refuses the queued requests that need not be kept with ReasonNotDispatcher, so
// that their forwarders ask another dispatcher at once. keep gets the shortest expected
// duration of a request.
func (p *Pool) GiveBack(keep func(r oriole.Request, duration time.Duration) bool) {
	duration := p.shortestDuration()
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool {
		if keep(j.request, duration) {
			return false
		}
		p.effects = append(p.effects, Effect{Reply: &Reply{Job: j.id, Response: oriole.NotRunResponse(oriole.ReasonNotDispatcher)}})
		return true
	})
}

// refuseQueued refuses all queued requests, so that they can be sent to another gateway.
func (p *Pool) refuseQueued(reason oriole.Reason, wait time.Duration) {
	for _, j := range p.queue {
		p.refuse(j, reason, wait)
	}
	p.queue = nil
}

// Tick refuses queued requests that can no longer be served in time, and starts
// those for which an upstream is now past its pause or within its rate limit.
func (p *Pool) Tick(now time.Time) {
	p.expire(now)
	p.dispatch(now)
}

// expire refuses queued requests that can no longer be served in time.
func (p *Pool) expire(now time.Time) {
	end := p.pauseEnd(now)
	start := now
	if !end.IsZero() {
		start = end.Add(resumeMargin)
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool {
		toLeave := (!end.IsZero() && p.canGoElsewhere(j)) || p.delegatedToOther(now)
		if len(p.servers) > 0 && !toLeave && !start.Add(p.minTimeLeft(j)).After(j.request.Deadline) {
			return false
		}
		reason, wait := oriole.ReasonDeadline, p.expectedWait(now, len(p.queue))
		switch {
		case len(p.servers) == 0:
			reason = oriole.ReasonNoOwner
		case p.delegatedToOther(now):
			reason, wait = oriole.ReasonNotDispatcher, delegatedWait
		case !end.IsZero():
			reason = oriole.ReasonPaused
		}
		p.refuse(j, reason, wait)
		return true
	})
}

// dispatch starts queued requests while upstreams can take them.
func (p *Pool) dispatch(now time.Time) {
	p.expire(now)
	for len(p.queue) > 0 {
		s := p.pickServer(now)
		if s == nil {
			return
		}
		i := p.nextJob(now, s)
		j := p.queue[i]
		p.queue = slices.Delete(p.queue, i, i+1)
		p.start(now, j, s, false)
	}
}

// start starts the job on the upstream.
func (p *Pool) start(now time.Time, j *job, s *server, probe bool) {
	j.server, j.startedAt = s, now
	s.start(now)
	p.limits.Count(now, s.upstream.Incarnation())
	p.running[j.id] = j
	p.shares.start(j.request.Workspace)
	p.effects = append(p.effects, Effect{Start: &Start{
		Job: j.id, To: s.upstream, Request: j.request, Probe: probe, RateLimited: s.rateLimited(now), Tokens: s.bucket(now).tokens,
	}})
}

// pickServer returns the available upstream with the shortest expected duration,
// or nil. One that refused a connection a moment ago comes last: if it refuses the next
// one too, the request is sent again only if the retry budget allows it. One that broke
// a connection does not: the next request shows whether it has ended, and the detection
// of requests that crash upstreams needs that.
func (p *Pool) pickServer(now time.Time) *server {
	var best *server
	for _, s := range p.servers {
		if !p.canStart(now, s) || !p.pausedUntil(now, s).IsZero() {
			continue
		}
		if best == nil || s.compare(now, best) < 0 {
			best = s
		}
	}
	return best
}

// canStart reports whether the upstream may get a request now, apart from pauses that it
// has asked for.
func (p *Pool) canStart(now time.Time, s *server) bool {
	n, limited := p.limits.Available(now, s.upstream.Incarnation())
	return (!limited || n > 0) && s.canStart(now, p.service)
}

// serviceRate returns the number of requests per second that the upstream is expected to
// serve.
func (p *Pool) serviceRate(now time.Time, s *server) float64 {
	rate := s.serviceRate(now, p.service)
	if spacing := p.limits.Spacing(s.upstream.Incarnation()); spacing > 0 {
		rate = min(rate, 1/spacing.Seconds())
	}
	return rate
}

// expectedDuration returns the expected duration of a request that starts now.
// Each running request adds a quarter, since concurrent requests slow each other
// a little; so an idle upstream is preferred.
func (s *server) expectedDuration() time.Duration {
	return s.meanDuration + s.meanDuration*time.Duration(s.running)/4
}

// compare orders two available upstreams by which should get the next request: first
// those that have not refused a connection a moment ago, then by expected duration.
func (s *server) compare(now time.Time, other *server) int {
	refused, otherRefused := now.Before(s.refusedUntil), now.Before(other.refusedUntil)
	switch {
	case refused != otherRefused && refused:
		return 1
	case refused != otherRefused:
		return -1
	}
	return cmp.Compare(s.expectedDuration(), other.expectedDuration())
}

// nextJob returns the index of the request to start on the upstream.
func (p *Pool) nextJob(now time.Time, s *server) int {
	best := 0
	for i, j := range p.queue {
		if p.compareJobs(now, s.meanDuration, j, p.queue[best]) < 0 {
			best = i
		}
	}
	return best
}

// compareJobs orders two jobs by which should start first on an upstream: first
// those that are expected to meet their soft deadline, then by priority, then by the
// shares of their workspaces, then by arrival.
func (p *Pool) compareJobs(now time.Time, meanDuration time.Duration, a, b *job) int {
	lateA, lateB := now.Add(meanDuration).After(a.request.SoftDeadline), now.Add(meanDuration).After(b.request.SoftDeadline)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	case a.request.Priority != b.request.Priority:
		return a.request.Priority - b.request.Priority
	case a.request.Workspace != b.request.Workspace && p.shares.compare(a.request.Workspace, b.request.Workspace) != 0:
		return p.shares.compare(a.request.Workspace, b.request.Workspace)
	case a.arrivedAt.Before(b.arrivedAt):
		return -1
	case b.arrivedAt.Before(a.arrivedAt):
		return 1
	}
	return strings.Compare(a.request.ID, b.request.ID)
}
