// Package oriolebench simulates a workload against the scheduler of a pool with
// a simulated clock, to compare scheduling policies before they are tried on
// machines.
package oriolebench

import (
	"math/rand/v2"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolesim"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

// Kind describes one kind of request.
type Kind struct {
	Name string
	// Share is its fraction of all requests.
	Share     float64
	Work      time.Duration
	Objective time.Duration
	Deadline  time.Duration
	Priority  int
	// The value of a response within the latency target, and of a later one.
	Worth float64
	Late  float64
}

// Load describes the requests to one pool, and the speed of its upstreams.
type Load struct {
	Span time.Duration
	// Speeds holds a factor for each upstream by which requests take longer on
	// it.
	Speeds []float64
	// Use is the load as a fraction of the capacity of the upstreams.
	Use float64
	// Burst is the factor by which the load grows in the middle third of the run.
	Burst float64
	Kinds []Kind
}

// slots is the number of requests that an upstream runs at once.
const slots = 2

// Usual returns the workload of a typical service of the users: lookups and
// bookings as their requirements give them, on upstreams of unequal speed.
func Usual(upstreams int, utilization, burst float64) Load {
	workload := Load{
		Span: 30 * time.Second, Use: utilization, Burst: burst,
		Kinds: []Kind{
			{"lookup", 0.75, 90 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 2, 1, 0.3},
			{"booking", 0.25, 120 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 1, 2, 0.6},
		},
	}
	for i := range upstreams {
		workload.Speeds = append(workload.Speeds, []float64{0.6, 1, 1, 1.6}[i%4])
	}
	return workload
}

// rate returns the number of requests per second at the given time since the
// start.
func (l Load) rate(at time.Duration) float64 {
	work := 0.0
	for _, k := range l.Kinds {
		work += k.Share * k.Work.Seconds()
	}
	capacity := 0.0
	for _, slowdown := range l.Speeds {
		capacity += slots / (work * slowdown)
	}
	rate := capacity * l.Use
	if at > l.Span/3 && at < l.Span*2/3 {
		rate *= l.Burst
	}
	return rate
}

// Result is the outcome of one run of a workload with a policy.
type Result struct {
	Arm   string
	Kinds []KindResult
	// Seconds holds the values of the requests that arrived in each second.
	Seconds []Second
}

// Second sums up the requests that arrived in one second: the value that their
// responses earned, and the value that was possible.
type Second struct {
	Earned float64
	Owed   float64
}

// KindResult counts the requests of one kind by their outcome.
type KindResult struct {
	Name                                string
	Asked, InAim, Late, Refused, Failed int
}

// Worth returns the earned value as a fraction of the possible value, over all
// kinds.
func (r Result) Worth() float64 {
	earned, possible := 0.0, 0.0
	for _, second := range r.Seconds {
		earned += second.Earned
		possible += second.Owed
	}
	return earned / max(possible, 1)
}

// Twice returns the number of requests that were refused on the first attempt
// and again on the retry. Every request that counts as refused was: a caller
// that is refused once retries.
func (r Result) Twice() int {
	n := 0
	for _, k := range r.Kinds {
		n += k.Refused
	}
	return n
}

// clientRequest is one request of a caller, across its attempts.
type clientRequest struct {
	kind      int
	arrivedAt time.Time
	deadline  time.Time
	attempts  int
	finished  bool
	job       oriolepool.JobID
}

// simulation is one run of a workload with a policy.
type simulation struct {
	workload Load
	policy   Arm
	rng      *rand.Rand
	clock    *oriolesim.Clock
	pool     *oriolepool.Pool
	lastID   oriolepool.JobID
	requests map[oriolepool.JobID]*clientRequest
	result   Result
}

// startTime is the simulated time at which a run starts.
var startTime = time.Unix(1_000_000, 0)

// Play simulates the workload with the policy. With the same seed, every policy gets
// the same requests at the same times.
func Play(workload Load, policy Arm, seed uint64) Result {
	p := &simulation{
		workload: workload, policy: policy, rng: rand.New(rand.NewPCG(seed, 5)), clock: oriolesim.NewClock(startTime), pool: oriolepool.New(),
		requests: make(map[oriolepool.JobID]*clientRequest), result: Result{Arm: policy.Name},
	}
	p.result.Seconds = make([]Second, int(workload.Span/time.Second)+1)
	for _, k := range workload.Kinds {
		p.result.Kinds = append(p.result.Kinds, KindResult{Name: k.Name})
	}
	var upstreams []oriole.Upstream
	for i := range workload.Speeds {
		upstreams = append(upstreams, oriole.Upstream{ID: oriole.ServerID(rune('a' + i)), Service: "s", Zone: "z", Slots: slots})
	}
	p.pool.Update(p.clock.Now(), oriole.Service{Name: "s"}, upstreams)
	p.scheduleArrivals()
	p.clock.At(startTime, p.tick)
	for p.clock.Step(startTime.Add(workload.Span + maxDeadline)) {
		continue
	}
	return p.result
}

// scheduleArrivals schedules the requests, with random arrival times and kinds.
func (p *simulation) scheduleArrivals() {
	for at := time.Duration(0); ; {
		at += time.Duration(p.rng.ExpFloat64() / p.workload.rate(at) * float64(time.Second))
		if at >= p.workload.Span {
			return
		}
		req := &clientRequest{kind: p.randomKind(), arrivedAt: startTime.Add(at)}
		req.deadline = req.arrivedAt.Add(p.workload.Kinds[req.kind].Deadline)
		p.clock.At(req.arrivedAt, func() {
			p.result.Kinds[req.kind].Asked++
			p.secondOf(req).Owed += p.workload.Kinds[req.kind].Worth
			p.submit(req)
		})
		p.clock.At(req.deadline, func() { p.expire(req) })
	}
}

// secondOf returns the entry of the second in which the request arrived.
func (p *simulation) secondOf(req *clientRequest) *Second {
	return &p.result.Seconds[int(req.arrivedAt.Sub(startTime)/time.Second)]
}

func (p *simulation) randomKind() int {
	x := p.rng.Float64()
	for i, k := range p.workload.Kinds {
		if x -= k.Share; x < 0 {
			return i
		}
	}
	return len(p.workload.Kinds) - 1
}

// maxDeadline is longer than every deadline. A run continues for that long after
// the last arrival, until callers have given up and upstreams have aborted
// whatever is left.
const maxDeadline = 2 * time.Second

// tickInterval is the interval at which a dispatcher calls Tick on its pools.
const tickInterval = 25 * time.Millisecond

func (p *simulation) tick() {
	p.pool.Tick(p.clock.Now())
	p.runEffects()
	if p.clock.Now().Before(startTime.Add(p.workload.Span + maxDeadline)) {
		p.clock.After(tickInterval, p.tick)
	}
}

func (p *simulation) submit(req *clientRequest) {
	k := p.workload.Kinds[req.kind]
	req.attempts++
	p.lastID++
	req.job = p.lastID
	p.requests[req.job] = req
	r := oriole.Request{Service: "s", Priority: k.Priority, Deadline: req.deadline, Objective: req.arrivedAt.Add(k.Objective)}
	p.policy.modify(&r)
	p.pool.Arrive(p.clock.Now(), req.job, r)
	p.runEffects()
}

// expire fails a request whose deadline has passed.
func (p *simulation) expire(req *clientRequest) {
	if req.finished {
		return
	}
	req.finished = true
	p.result.Kinds[req.kind].Failed++
	p.pool.Cancel(req.job)
}

func (p *simulation) runEffects() {
	for effects := p.pool.Take(); len(effects) > 0; effects = p.pool.Take() {
		for _, e := range effects {
			switch {
			case e.Start != nil:
				p.run(*e.Start)
			case e.Answer != nil:
				p.complete(e.Answer.Job, e.Answer.Answer)
			}
		}
	}
}

// run simulates a request on an upstream, with a random duration that is
// exponentially distributed around the mean of its kind.
func (p *simulation) run(s oriolepool.Start) {
	req := p.requests[s.Job]
	slowdown := p.workload.Speeds[int([]rune(string(s.To.ID))[0]-'a')]
	duration := time.Duration(p.rng.ExpFloat64() * slowdown * float64(p.workload.Kinds[req.kind].Work))
	response := oriole.Answer{Outcome: oriole.OutcomeAnswered}
	if p.clock.Now().Add(duration).After(req.deadline) {
		// The upstream aborts the request at its deadline.
		duration, response = max(req.deadline.Sub(p.clock.Now()), 0), oriole.Lost(oriole.ReasonDeadline)
	}
	p.clock.After(duration, func() {
		p.pool.Done(p.clock.Now(), s.Job, response)
		p.runEffects()
	})
}

// maxAttempts is how often a caller sends a request.
const maxAttempts = 2

func (p *simulation) complete(job oriolepool.JobID, a oriole.Answer) {
	req := p.requests[job]
	delete(p.requests, job)
	if req.finished {
		return
	}
	k, result := p.workload.Kinds[req.kind], &p.result.Kinds[req.kind]
	switch {
	case a.Outcome == oriole.OutcomeAnswered && p.clock.Now().Sub(req.arrivedAt) <= k.Objective:
		result.InAim++
		p.secondOf(req).Earned += k.Worth
	case a.Outcome == oriole.OutcomeAnswered:
		result.Late++
		p.secondOf(req).Earned += k.Late
	case a.Outcome == oriole.OutcomeNotRun && req.attempts < maxAttempts:
		// Callers wait for the retry delay, but at most a third of the time left
		// before their deadline.
		wait := min(p.policy.retryDelay(a.RetryAfter), req.deadline.Sub(p.clock.Now())/3)
		p.clock.After(wait, func() {
			if !req.finished {
				p.submit(req)
			}
		})
		return
	case a.Outcome == oriole.OutcomeNotRun:
		result.Refused++
	default:
		result.Failed++
	}
	req.finished = true
}
