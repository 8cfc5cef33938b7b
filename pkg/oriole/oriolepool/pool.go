package oriolepool

import (
	"slices"
	"strings"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// lineSize bounds the requests that wait in a pool. At 100 ms a request
	// two slots serve 30 within the longest deadlines; the rest is for pools
	// of several upstreams.
	lineSize = 128
	// needPart is the part of the expected run time that must be left before
	// the deadline for a request to be sent: run times vary, and half of them
	// are shorter than the mean.
	needPart = 0.6
	// leastRetry is the shortest time that a refused caller is told to stay
	// away; a new connection and its way take several milliseconds.
	leastRetry = 50 * time.Millisecond
	// mostRetry keeps the advice within the deadlines of callers.
	mostRetry = time.Second
)

// JobID tells the jobs of a pool apart.
type JobID uint64

// Effect is what the pool wants done. Exactly one field is set.
type Effect struct {
	Start  *Start
	Answer *Answer
}

// Start asks to send a job's request to an upstream; the result goes to
// [Pool.Done].
type Start struct {
	Job     JobID
	To      oriole.Upstream
	Request oriole.Request
}

// Answer refuses a job that was never sent, or settles one that was.
type Answer struct {
	Job    JobID
	Answer oriole.Answer
}

type job struct {
	id      JobID
	request oriole.Request
	arrived time.Time
	started time.Time
	server  *server
}

// Pool is the line of one pool and what is known of its upstreams.
type Pool struct {
	service oriole.Service
	servers []*server
	line    []*job
	running map[JobID]*job
	out     []Effect
}

// New returns a pool without upstreams.
func New() *Pool { return &Pool{running: make(map[JobID]*job)} }

// Take returns what the pool wants done since the last call, in order.
func (p *Pool) Take() []Effect {
	out := p.out
	p.out = nil
	return out
}

// Idle reports whether nothing waits or runs.
func (p *Pool) Idle() bool { return len(p.line) == 0 && len(p.running) == 0 }

// Waiting returns the number of requests in line.
func (p *Pool) Waiting() int { return len(p.line) }

// knownRuns is how many run times a mean is told from.
const knownRuns = 8

// Spans tells how long requests run at each upstream, once it is known.
func (p *Pool) Spans(tell func(oriole.ServerID, time.Duration)) {
	for _, s := range p.servers {
		if s.runs >= knownRuns {
			tell(s.upstream.ID, s.speed)
		}
	}
}

// Update takes the upstreams that the pool may send to now. One that started
// anew is another upstream.
func (p *Pool) Update(now time.Time, service oriole.Service, upstreams []oriole.Upstream) {
	p.service = service
	old := p.servers
	p.servers = nil
	for _, u := range upstreams {
		i := slices.IndexFunc(old, func(s *server) bool { return s.upstream.Life() == u.Life() })
		if i < 0 {
			p.servers = append(p.servers, newServer(u, now))
			continue
		}
		old[i].upstream = u
		p.servers = append(p.servers, old[i])
	}
	p.dispatch(now)
}

// Arrive takes a request.
func (p *Pool) Arrive(now time.Time, id JobID, r oriole.Request) {
	j := &job{id: id, request: r, arrived: now}
	if reason, retry := p.refusal(now, j); reason != oriole.ReasonNone {
		p.refuse(j, reason, retry)
		return
	}
	p.line = append(p.line, j)
	p.dispatch(now)
}

// refusal tells why a request can't be served in time, or ReasonNone, and when
// it may come back.
func (p *Pool) refusal(now time.Time, j *job) (oriole.Reason, time.Duration) {
	if len(p.servers) == 0 {
		return oriole.ReasonNoOwner, leastRetry
	}
	if len(p.line) >= lineSize {
		return oriole.ReasonQueueFull, p.forecast(now, len(p.line))
	}
	wait := p.forecast(now, p.ahead(j))
	if now.Add(wait + p.need(j)).After(j.request.Deadline) {
		return oriole.ReasonDeadline, wait / 2
	}
	return oriole.ReasonNone, 0
}

// ahead returns how many waiting requests go before the job.
func (p *Pool) ahead(j *job) int {
	n := 0
	for _, other := range p.line {
		if other.request.Priority <= j.request.Priority {
			n++
		}
	}
	return n
}

// forecast returns how long a request waits that has so many before it.
func (p *Pool) forecast(now time.Time, ahead int) time.Duration {
	free, rate := 0, 0.0
	for _, s := range p.servers {
		rate += s.rate(now, p.service)
		if now.Before(s.pausedUntil) {
			continue
		}
		free += max(s.upstream.Slots-s.running, 0)
	}
	before := ahead + 1 - free
	if before <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(float64(before) / rate * float64(time.Second))
}

// need returns the run time to keep for a request before its deadline.
func (p *Pool) need(*job) time.Duration {
	span := time.Duration(0)
	for i, s := range p.servers {
		if i == 0 || s.span < span {
			span = s.span
		}
	}
	return time.Duration(needPart * float64(span))
}

func (p *Pool) refuse(j *job, reason oriole.Reason, retry time.Duration) {
	a := oriole.Refuse(reason)
	a.RetryAfter = min(max(retry, leastRetry), mostRetry)
	a.Wait = retry
	p.out = append(p.out, Effect{Answer: &Answer{Job: j.id, Answer: a}})
}

// Done takes the answer to a started job.
func (p *Pool) Done(now time.Time, id JobID, a oriole.Answer) {
	j := p.running[id]
	if j == nil {
		return
	}
	delete(p.running, id)
	j.server.ended(now, a, now.Sub(j.started))
	if a.Outcome == oriole.OutcomeNotRun && a.RetryAfter == 0 {
		a.RetryAfter = min(max(p.forecast(now, len(p.line)), leastRetry), mostRetry)
	}
	a.Wait = p.forecast(now, len(p.line))
	p.out = append(p.out, Effect{Answer: &Answer{Job: id, Answer: a}})
	p.dispatch(now)
}

// Cancel drops a job that waits, and reports whether it did. One that runs goes
// on; its sender ends it if that does no harm.
func (p *Pool) Cancel(id JobID) bool {
	n := len(p.line)
	p.line = slices.DeleteFunc(p.line, func(j *job) bool { return j.id == id })
	return len(p.line) < n
}

// Evict takes the waiting requests out of the line that no longer belong to the
// pool; they may be sent to another.
func (p *Pool) Evict(moved func(oriole.Request) bool) {
	p.line = slices.DeleteFunc(p.line, func(j *job) bool {
		if !moved(j.request) {
			return false
		}
		p.refuse(j, oriole.ReasonMoved, 0)
		return true
	})
}

// Tick refuses what can't be served in time any more and starts what waited
// for the time to pass.
func (p *Pool) Tick(now time.Time) {
	p.expire(now)
	p.dispatch(now)
}

func (p *Pool) expire(now time.Time) {
	p.line = slices.DeleteFunc(p.line, func(j *job) bool {
		if len(p.servers) > 0 && !now.Add(p.need(j)).After(j.request.Deadline) {
			return false
		}
		reason := oriole.ReasonDeadline
		if len(p.servers) == 0 {
			reason = oriole.ReasonNoOwner
		}
		p.refuse(j, reason, p.forecast(now, len(p.line)))
		return true
	})
}

// dispatch starts waiting requests while there are free slots.
func (p *Pool) dispatch(now time.Time) {
	p.expire(now)
	for len(p.line) > 0 {
		s := p.pick(now)
		if s == nil {
			return
		}
		i := p.next(now, s)
		j := p.line[i]
		p.line = slices.Delete(p.line, i, i+1)
		j.server, j.started = s, now
		s.start(now)
		p.running[j.id] = j
		p.out = append(p.out, Effect{Start: &Start{Job: j.id, To: s.upstream, Request: j.request}})
	}
}

// pick returns the free upstream that is expected to answer first, or nil.
func (p *Pool) pick(now time.Time) *server {
	var best *server
	for _, s := range p.servers {
		if !s.free(now, p.service) {
			continue
		}
		if best == nil || s.expected() < best.expected() {
			best = s
		}
	}
	return best
}

// expected returns the run time of a request that starts now: a second request
// on an upstream slows both a little, so that an idle one is preferred.
func (s *server) expected() time.Duration {
	return s.span + s.span*time.Duration(s.running)/4
}

// next returns the index of the request to start: those that can still meet
// their objective go first, then by priority, then in the order of arrival.
func (p *Pool) next(now time.Time, s *server) int {
	best := 0
	for i, j := range p.line {
		if before(now, s.span, j, p.line[best]) < 0 {
			best = i
		}
	}
	return best
}

func before(now time.Time, span time.Duration, a, b *job) int {
	lateA, lateB := now.Add(span).After(a.request.Objective), now.Add(span).After(b.request.Objective)
	switch {
	case lateA != lateB && lateA:
		return 1
	case lateA != lateB:
		return -1
	case a.request.Priority != b.request.Priority:
		return a.request.Priority - b.request.Priority
	case a.arrived.Before(b.arrived):
		return -1
	case b.arrived.Before(a.arrived):
		return 1
	}
	return strings.Compare(a.request.ID, b.request.ID)
}
