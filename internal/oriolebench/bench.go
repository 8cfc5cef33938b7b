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
	Share         float64
	MeanDuration  time.Duration
	LatencyTarget time.Duration
	Deadline      time.Duration
	Priority      int
	// The value of a response within the latency target, and of a later one.
	Value     float64
	LateValue float64
}

// Workload describes the requests to one pool, and the speed of its upstreams.
type Workload struct {
	Duration time.Duration
	// Slowdowns holds a factor for each upstream by which requests take longer on
	// it.
	Slowdowns []float64
	// Utilization is the load as a fraction of the capacity of the upstreams.
	Utilization float64
	// BurstFactor is the factor by which the load grows in the middle third of the run.
	BurstFactor float64
	Kinds       []Kind
}

// slots is the number of requests that an upstream runs at once.
const slots = 2

// TypicalWorkload returns the workload of a typical service of the users: lookups and
// bookings as their requirements give them, on upstreams of unequal speed.
func TypicalWorkload(upstreams int, utilization, burst float64) Workload {
	workload := Workload{
		Duration: 30 * time.Second, Utilization: utilization, BurstFactor: burst,
		Kinds: []Kind{
			{"lookup", 0.75, 90 * time.Millisecond, 300 * time.Millisecond, 1200 * time.Millisecond, 2, 1, 0.3},
			{"booking", 0.25, 120 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 1, 2, 0.6},
		},
	}
	for i := range upstreams {
		workload.Slowdowns = append(workload.Slowdowns, []float64{0.6, 1, 1, 1.6}[i%4])
	}
	return workload
}

// rate returns the number of requests per second at the given time since the
// start.
func (l Workload) rate(at time.Duration) float64 {
	work := 0.0
	for _, k := range l.Kinds {
		work += k.Share * k.MeanDuration.Seconds()
	}
	capacity := 0.0
	for _, slowdown := range l.Slowdowns {
		capacity += slots / (work * slowdown)
	}
	rate := capacity * l.Utilization
	if at > l.Duration/3 && at < l.Duration*2/3 {
		rate *= l.BurstFactor
	}
	return rate
}

// Result is the outcome of one run of a workload with a policy.
type Result struct {
	Policy string
	Kinds  []KindResult
	// Seconds holds the values of the requests that arrived in each second.
	Seconds []Second
}

// Second sums up the requests that arrived in one second: the value that their
// responses earned, and the value that was possible.
type Second struct {
	Earned   float64
	Possible float64
}

// KindResult counts the requests of one kind by their outcome.
type KindResult struct {
	Name                                    string
	Requests, OnTime, Late, Refused, Failed int
}

// ValueRatio returns the earned value as a fraction of the possible value, over all
// kinds.
func (r Result) ValueRatio() float64 {
	earned, possible := 0.0, 0.0
	for _, second := range r.Seconds {
		earned += second.Earned
		possible += second.Possible
	}
	return earned / max(possible, 1)
}

// RefusedTwice returns the number of requests that were refused on the first attempt
// and again on the retry. Every request that counts as refused was: a caller
// that is refused once retries.
func (r Result) RefusedTwice() int {
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
	workload Workload
	policy   Policy
	rng      *rand.Rand
	clock    *oriolesim.Clock
	pool     *oriolepool.Pool
	lastID   oriolepool.JobID
	requests map[oriolepool.JobID]*clientRequest
	result   Result
}

// startTime is the simulated time at which a run starts.
var startTime = time.Unix(1_000_000, 0)

// Run simulates the workload with the policy. With the same seed, every policy gets
// the same requests at the same times.
func Run(workload Workload, policy Policy, seed uint64) Result {
	p := &simulation{
		workload: workload, policy: policy, rng: rand.New(rand.NewPCG(seed, 5)), clock: oriolesim.NewClock(startTime), pool: oriolepool.New(),
		requests: make(map[oriolepool.JobID]*clientRequest), result: Result{Policy: policy.Name},
	}
	p.result.Seconds = make([]Second, int(workload.Duration/time.Second)+1)
	for _, k := range workload.Kinds {
		p.result.Kinds = append(p.result.Kinds, KindResult{Name: k.Name})
	}
	var upstreams []oriole.Upstream
	for i := range workload.Slowdowns {
		upstreams = append(upstreams, oriole.Upstream{ID: oriole.ServerID(rune('a' + i)), Service: "s", Zone: "z", Slots: slots})
	}
	p.pool.Update(p.clock.Now(), oriole.Service{Name: "s"}, upstreams)
	p.scheduleArrivals()
	p.clock.At(startTime, p.tick)
	for p.clock.Step(startTime.Add(workload.Duration + maxDeadline)) {
		continue
	}
	return p.result
}

// scheduleArrivals schedules the requests, with random arrival times and kinds.
func (p *simulation) scheduleArrivals() {
	for at := time.Duration(0); ; {
		at += time.Duration(p.rng.ExpFloat64() / p.workload.rate(at) * float64(time.Second))
		if at >= p.workload.Duration {
			return
		}
		req := &clientRequest{kind: p.randomKind(), arrivedAt: startTime.Add(at)}
		req.deadline = req.arrivedAt.Add(p.workload.Kinds[req.kind].Deadline)
		p.clock.At(req.arrivedAt, func() {
			p.result.Kinds[req.kind].Requests++
			p.secondOf(req).Possible += p.workload.Kinds[req.kind].Value
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
	if p.clock.Now().Before(startTime.Add(p.workload.Duration + maxDeadline)) {
		p.clock.After(tickInterval, p.tick)
	}
}

func (p *simulation) submit(req *clientRequest) {
	k := p.workload.Kinds[req.kind]
	req.attempts++
	p.lastID++
	req.job = p.lastID
	p.requests[req.job] = req
	r := oriole.Request{Service: "s", Priority: k.Priority, Deadline: req.deadline, SoftDeadline: req.arrivedAt.Add(k.LatencyTarget)}
	p.policy.modify(&r)
	p.pool.Submit(p.clock.Now(), req.job, r)
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
	for effects := p.pool.TakeEffects(); len(effects) > 0; effects = p.pool.TakeEffects() {
		for _, e := range effects {
			switch {
			case e.Start != nil:
				p.run(*e.Start)
			case e.Reply != nil:
				p.complete(e.Reply.Job, e.Reply.Response)
			}
		}
	}
}

// run simulates a request on an upstream, with a random duration that is
// exponentially distributed around the mean of its kind.
func (p *simulation) run(s oriolepool.Start) {
	req := p.requests[s.Job]
	slowdown := p.workload.Slowdowns[int([]rune(string(s.To.ID))[0]-'a')]
	duration := time.Duration(p.rng.ExpFloat64() * slowdown * float64(p.workload.Kinds[req.kind].MeanDuration))
	response := oriole.Response{Outcome: oriole.OutcomeAnswered}
	if p.clock.Now().Add(duration).After(req.deadline) {
		// The upstream aborts the request at its deadline.
		duration, response = max(req.deadline.Sub(p.clock.Now()), 0), oriole.UnknownResponse(oriole.ReasonDeadline)
	}
	p.clock.After(duration, func() {
		p.pool.Finish(p.clock.Now(), s.Job, response)
		p.runEffects()
	})
}

// maxAttempts is how often a caller sends a request.
const maxAttempts = 2

func (p *simulation) complete(job oriolepool.JobID, a oriole.Response) {
	req := p.requests[job]
	delete(p.requests, job)
	if req.finished {
		return
	}
	k, result := p.workload.Kinds[req.kind], &p.result.Kinds[req.kind]
	switch {
	case a.Outcome == oriole.OutcomeAnswered && p.clock.Now().Sub(req.arrivedAt) <= k.LatencyTarget:
		result.OnTime++
		p.secondOf(req).Earned += k.Value
	case a.Outcome == oriole.OutcomeAnswered:
		result.Late++
		p.secondOf(req).Earned += k.LateValue
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
