package oriolequeue

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Counts are totals since the start.
type Counts struct {
	Arrived  uint64
	Answered uint64
	NotRun   uint64
	Unknown  uint64
	Retried  uint64
	Refused  [16]uint64
}

// Queue holds the requests of one group. It is not safe for concurrent use.
type Queue struct {
	cfg     Config
	routing *oriole.Routing
	servers []*server
	waiting []*Job
	tokens  *tokens
	blame   *blame
	budget  budget
	counts  Counts
	queued  int
	usual   time.Duration
	out     Effects
	loads   []oriole.Load
	onBusy  func(slice, delta int)
}

// New returns an empty queue. The busy function is told of every request that
// starts and ends, before it starts and after it ended.
func New(cfg Config, busy func(slice, delta int)) *Queue {
	if busy == nil {
		busy = func(int, int) {}
	}
	q := &Queue{
		cfg:     cfg,
		routing: &oriole.Routing{},
		tokens:  newTokens(cfg.Limits.Tokens, cfg.Limits.Memory),
		blame:   newBlame(),
		loads:   make([]oriole.Load, cfg.Servers),
		onBusy:  busy,
	}
	for range cfg.Servers {
		q.servers = append(q.servers, newServer(cfg.Limits))
	}
	return q
}

// Counts returns the totals.
func (q *Queue) Counts() Counts { return q.counts }

// Len returns the number of requests that wait, for a server or for an owner.
func (q *Queue) Len() int { return q.queued + len(q.waiting) }

// Running returns the number of requests that run on the server.
func (q *Queue) Running(server int) int { return q.servers[server].running }

// Limit returns the number of requests that may run on the server at once.
func (q *Queue) Limit(server int) int { return q.servers[server].limit.now() }

// Route sets the routing in force.
func (q *Queue) Route(now time.Time, routing *oriole.Routing) Effects {
	q.reset()
	old := q.routing
	q.routing = routing
	if routing.Keeper {
		for i, s := range q.servers {
			if old.Keeper && old.Incarnation[i] != routing.Incarnation[i] {
				s.limit.drop()
				// It did crash: what is accused stays so.
				s.accused = nil
			}
		}
	}
	q.abandonLost()
	q.requeueMoved()
	q.advance(now)
	return q.out
}

// abandonLost cuts the idempotent requests short that run on lost servers.
func (q *Queue) abandonLost() {
	if !q.routing.Keeper {
		return
	}
	for i, s := range q.servers {
		if !q.routing.Lost[i] {
			continue
		}
		for job := range s.jobs {
			if job.Request.Idempotent && !job.abandoned {
				job.abandoned = true
				q.out.Abandons = append(q.out.Abandons, job)
			}
		}
	}
}

// Arrive takes in a request. It is answered at once if it can't be served.
func (q *Queue) Arrive(now time.Time, job *Job) Effects {
	q.reset()
	q.counts.Arrived++
	q.budget.earn()
	job.print = fingerprint(job.Request)
	if reason := q.refuse(now, job); reason != oriole.ReasonNone {
		q.reply(now, job, oriole.Refuse(reason))
		return q.out
	}
	if q.repeated(now, job) {
		return q.out
	}
	q.place(now, job)
	q.advance(now)
	return q.out
}

// refuse returns why a request must not enter the queue.
func (q *Queue) refuse(now time.Time, job *Job) oriole.Reason {
	switch {
	case !q.routing.Keeper || q.routing.Closing:
		return oriole.ReasonNotKeeper
	case !now.Before(job.Request.Deadline):
		return oriole.ReasonDeadline
	case q.blame.blocked(now, job.print):
		return oriole.ReasonCrash
	}
	return oriole.ReasonNone
}

// place puts the job in the line of its server, or among those that wait.
func (q *Queue) place(now time.Time, job *Job) {
	target := q.target(now, job)
	if target == oriole.NoServer {
		if len(q.waiting) >= q.cfg.Limits.Waiting {
			q.reply(now, job, oriole.Refuse(oriole.ReasonQueueFull))
			return
		}
		q.waiting = append(q.waiting, job)
		return
	}
	s := q.servers[target]
	switch {
	case s.line.len() >= q.cfg.Limits.Queued:
		q.reply(now, job, oriole.Refuse(oriole.ReasonQueueFull))
	case now.Add(s.wait()).After(job.Request.Deadline):
		q.reply(now, job, oriole.Refuse(oriole.ReasonDeadline))
	case q.mayPass(now, target, job):
		q.start(now, target, job, false)
	default:
		s.line.push(job)
		q.queued++
	}
}

// mayPass reports whether the job can start without standing in line.
func (q *Queue) mayPass(now time.Time, server int, job *Job) bool {
	s := q.servers[server]
	free := s.line.len() == 0 && s.running < s.limit.now() && !s.solo
	return free && q.routing.Serves(server, now) && !now.Before(s.pauseUntil) && !q.blame.suspected(now, job.print)
}

// target returns the server that must run the job: the owner of its slice, or
// the picker's choice.
func (q *Queue) target(now time.Time, job *Job) int {
	if q.cfg.Divided {
		if job.Slice < 0 || job.Slice >= len(q.routing.Owner) {
			return oriole.NoServer
		}
		return q.routing.Owner[job.Slice]
	}
	for i, s := range q.servers {
		q.loads[i] = oriole.Load{
			Usable:      q.routing.Serves(i, now) && !q.routing.Out[i] && !now.Before(s.pauseUntil),
			Outstanding: s.running + s.line.len(),
			Limit:       s.limit.now(),
			Latency:     s.expected(now, q.usual),
		}
	}
	return q.cfg.Picker.Pick(q.loads)
}

// Done takes in the result of a request that was started.
func (q *Queue) Done(now time.Time, server int, job *Job, answer oriole.Answer) Effects {
	q.reset()
	s := q.servers[server]
	s.running--
	delete(s.jobs, job)
	s.solo = false
	q.onBusy(job.Slice, -1)
	if job.abandoned {
		job.abandoned = false
		answer = oriole.Lost(oriole.ReasonConnection)
	} else {
		q.learn(now, server, job, answer)
	}
	job.mayHaveRun = job.mayHaveRun || answer.Outcome == oriole.OutcomeUnknown
	switch {
	case answer.Outcome == oriole.OutcomeAnswered:
		q.reply(now, job, answer)
	case q.mayRetry(now, job, answer):
		q.counts.Retried++
		q.place(now, job)
	default:
		q.reply(now, job, answer)
	}
	q.advance(now)
	return q.out
}

// learn draws conclusions on the server from one result.
func (q *Queue) learn(now time.Time, server int, job *Job, answer oriole.Answer) {
	s := q.servers[server]
	switch {
	case answer.Outcome == oriole.OutcomeAnswered:
		s.completed(now, now.Sub(job.started), q.usual)
		q.learnUsual(s)
		q.blame.cleared(job.print)
		for _, print := range s.acquit(job.started) {
			q.blame.cleared(print)
		}
	case answer.Reason == oriole.ReasonDrain:
		// The keeper moves its slices away; requests wait for that.
		s.pauseUntil = now.Add(connectPause)
	case answer.Reason == oriole.ReasonShed:
		s.limit.drop()
		s.pauseUntil = now.Add(shedPause)
	case answer.Reason == oriole.ReasonConnection && answer.Outcome == oriole.OutcomeUnknown:
		s.limit.drop()
		q.out.Suspects = append(q.out.Suspects, server)
		q.blame.crashed(now, job.print, job.solo)
		s.accuse(now, job.print)
		q.out.Blamed = append(q.out.Blamed, Blame{Print: job.print, Alone: job.solo})
	case answer.Reason == oriole.ReasonConnection:
		s.limit.drop()
		s.pauseUntil = now.Add(connectPause)
		q.out.Suspects = append(q.out.Suspects, server)
	}
}

// usualRise is the share by which the usual run time may rise with each run,
// so that it follows servers that have become slower for good.
const usualRise = 0.0005

// usualRuns is how many runs a server must have been warm before its mean
// counts as usual: until then the mean remembers the cold runs.
const usualRuns = 24

// learnUsual keeps the usual run time: the lowest mean that a warm server has
// shown. Cold and slowed servers are seen against it.
func (q *Queue) learnUsual(s *server) {
	if !s.limit.warmFor(usualRuns) {
		return
	}
	if q.usual == 0 || s.latency < q.usual {
		q.usual = s.latency
		return
	}
	q.usual += time.Duration(usualRise * float64(s.latency-q.usual))
}

// mayRetry reports whether the job may be sent again: it has not run, or it is
// idempotent, and there is budget and time.
func (q *Queue) mayRetry(now time.Time, job *Job, answer oriole.Answer) bool {
	if job.attempts >= q.cfg.Limits.Attempts || !now.Before(job.Request.Deadline) || gone(job) {
		return false
	}
	if !q.routing.Keeper || q.blame.blocked(now, job.print) {
		return false
	}
	if answer.Outcome == oriole.OutcomeNotRun {
		// A lease that is about to be renewed or moved costs the servers
		// nothing, so it does not use the budget.
		return answer.Reason == oriole.ReasonFenced || answer.Reason == oriole.ReasonDrain || q.budget.spend()
	}
	return job.Request.Idempotent && q.budget.spend()
}

func gone(job *Job) bool { return job.Gone != nil && job.Gone() }

// Tick refuses what can't meet its deadline any more and moves the rest on.
func (q *Queue) Tick(now time.Time) Effects {
	q.reset()
	q.expire(now)
	q.advance(now)
	return q.out
}

// Blame takes in what another gateway found of a request.
func (q *Queue) Blame(now time.Time, b Blame) { q.blame.crashed(now, b.Print, b.Alone) }

func (q *Queue) reset() {
	q.out.Starts = q.out.Starts[:0]
	q.out.Abandons = q.out.Abandons[:0]
	q.out.Suspects = q.out.Suspects[:0]
	q.out.Blamed = q.out.Blamed[:0]
}

// advance places the jobs that wait for an owner and starts what may run.
func (q *Queue) advance(now time.Time) {
	if len(q.waiting) > 0 {
		waiting := q.waiting
		q.waiting = nil
		for _, job := range waiting {
			q.place(now, job)
		}
	}
	for i := range q.servers {
		q.startNext(now, i)
	}
}

// startNext starts requests on the server until its limit.
func (q *Queue) startNext(now time.Time, server int) {
	s := q.servers[server]
	for s.running < s.limit.now() && !s.solo && s.line.len() > 0 {
		if !q.routing.Serves(server, now) || now.Before(s.pauseUntil) {
			return
		}
		job := s.line.peek()
		if q.blame.blocked(now, job.print) {
			s.line.pop()
			q.queued--
			q.reply(now, job, oriole.Refuse(oriole.ReasonCrash))
			continue
		}
		solo := q.blame.suspected(now, job.print)
		if solo && s.running > 0 {
			return
		}
		s.line.pop()
		q.queued--
		if gone(job) || now.Add(s.latency).After(job.Request.Deadline) {
			q.reply(now, job, oriole.Refuse(lateReason(job)))
			continue
		}
		q.start(now, server, job, solo)
	}
}

func (q *Queue) start(now time.Time, server int, job *Job, solo bool) {
	s := q.servers[server]
	s.running++
	s.jobs[job] = struct{}{}
	s.solo = solo
	job.attempts++
	job.started = now
	job.solo = solo
	q.onBusy(job.Slice, 1)
	q.out.Starts = append(q.out.Starts, Start{Server: server, Term: q.routing.Term, Job: job})
}

// reply gives the job its answer and remembers it for repeats.
func (q *Queue) reply(now time.Time, job *Job, answer oriole.Answer) {
	if job.mayHaveRun && answer.Outcome == oriole.OutcomeNotRun {
		// The last attempt has not run, but an earlier one may have.
		answer.Outcome = oriole.OutcomeUnknown
	}
	switch answer.Outcome {
	case oriole.OutcomeAnswered:
		q.counts.Answered++
	case oriole.OutcomeNotRun:
		q.counts.NotRun++
		q.counts.Refused[answer.Reason]++
	default:
		q.counts.Unknown++
	}
	for _, other := range q.tokens.finish(now, job, answer) {
		other.Reply(answer)
	}
	job.Reply(answer)
}

// Queued returns the number of requests that wait for the server.
func (q *Queue) Queued(server int) int { return q.servers[server].line.len() }
