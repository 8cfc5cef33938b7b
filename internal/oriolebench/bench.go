// Package oriolebench simulates a workload on the scheduler of a pool, with a
// simulated clock, to compare scheduling policies before they run on real
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
	// Slowdowns holds, for each upstream, the factor by which requests take longer
	// on it.
	Slowdowns []float64
	// Utilization is the load as a fraction of the capacity of the upstreams.
	Utilization float64
	// BurstFactor is the factor by which the load grows in the middle third of the
	// run.
	BurstFactor float64
	Kinds       []Kind
}

// slots is the number of requests that an upstream runs at once.
const slots = 2

// TypicalWorkload returns the workload of a typical service: lookups and bookings
// as its users specified them in their requirements, on upstreams of unequal
// speed.
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

// rate returns the number of requests that arrive per second, at the given time
// since the start.
func (w Workload) rate(at time.Duration) float64 {
	meanDuration := 0.0
	for _, k := range w.Kinds {
		meanDuration += k.Share * k.MeanDuration.Seconds()
	}
	capacity := 0.0
	for _, slowdown := range w.Slowdowns {
		capacity += slots / (meanDuration * slowdown)
	}
	rate := capacity * w.Utilization
	if at > w.Duration/3 && at < w.Duration*2/3 {
		rate *= w.BurstFactor
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

// ValueRatio returns the earned value as a fraction of the possible value, over
// all kinds.
func (r Result) ValueRatio() float64 {
	earned, possible := 0.0, 0.0
	for _, second := range r.Seconds {
		earned += second.Earned
		possible += second.Possible
	}
	return earned / max(possible, 1)
}

// RefusedTwice returns the number of requests that were refused on the first
// attempt and again on the retry. Since a refused caller retries once, it is the
// number of requests that count as refused.
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

// Run simulates the workload with the policy. With the same seed, every policy
// gets the same requests at the same times. Their durations are drawn as they
// start, and so may differ between policies.
func Run(workload Workload, policy Policy, seed uint64) Result {
	s := &simulation{
		workload: workload, policy: policy, rng: rand.New(rand.NewPCG(seed, 5)), clock: oriolesim.NewClock(startTime), pool: oriolepool.New(),
		requests: make(map[oriolepool.JobID]*clientRequest), result: Result{Policy: policy.Name},
	}
	s.result.Seconds = make([]Second, int(workload.Duration/time.Second)+1)
	for _, k := range workload.Kinds {
		s.result.Kinds = append(s.result.Kinds, KindResult{Name: k.Name})
	}
	var upstreams []oriole.Upstream
	for i := range workload.Slowdowns {
		upstreams = append(upstreams, oriole.Upstream{ID: oriole.ServerID(rune('a' + i)), Service: "s", Zone: "z", Slots: slots})
	}
	s.pool.Update(s.clock.Now(), oriole.Service{Name: "s"}, upstreams)
	s.scheduleArrivals()
	s.clock.At(startTime, s.tick)
	for s.clock.Step(startTime.Add(workload.Duration + drainDuration)) {
		continue
	}
	return s.result
}

// scheduleArrivals schedules the requests, with random arrival times and kinds.
func (s *simulation) scheduleArrivals() {
	for at := time.Duration(0); ; {
		at += time.Duration(s.rng.ExpFloat64() / s.workload.rate(at) * float64(time.Second))
		if at >= s.workload.Duration {
			return
		}
		req := &clientRequest{kind: s.randomKind(), arrivedAt: startTime.Add(at)}
		req.deadline = req.arrivedAt.Add(s.workload.Kinds[req.kind].Deadline)
		s.clock.At(req.arrivedAt, func() {
			s.result.Kinds[req.kind].Requests++
			s.secondOf(req).Possible += s.workload.Kinds[req.kind].Value
			s.submit(req)
		})
		s.clock.At(req.deadline, func() { s.expire(req) })
	}
}

// secondOf returns the entry of the second in which the request arrived.
func (s *simulation) secondOf(req *clientRequest) *Second {
	return &s.result.Seconds[int(req.arrivedAt.Sub(startTime)/time.Second)]
}

func (s *simulation) randomKind() int {
	remaining := s.rng.Float64()
	for i, k := range s.workload.Kinds {
		if remaining -= k.Share; remaining < 0 {
			return i
		}
	}
	return len(s.workload.Kinds) - 1
}

// drainDuration is how long a run continues after the last arrival. It is longer
// than every deadline, so that by its end callers have given up and upstreams have
// aborted whatever is left.
const drainDuration = 2 * time.Second

// tickInterval is the interval at which a dispatcher calls Tick on its pools.
const tickInterval = 25 * time.Millisecond

func (s *simulation) tick() {
	s.pool.Tick(s.clock.Now())
	s.runEffects()
	if s.clock.Now().Before(startTime.Add(s.workload.Duration + drainDuration)) {
		s.clock.After(tickInterval, s.tick)
	}
}

func (s *simulation) submit(req *clientRequest) {
	k := s.workload.Kinds[req.kind]
	req.attempts++
	s.lastID++
	req.job = s.lastID
	s.requests[req.job] = req
	r := oriole.Request{Service: "s", Priority: k.Priority, Deadline: req.deadline, SoftDeadline: req.arrivedAt.Add(k.LatencyTarget)}
	s.policy.modify(&r)
	s.pool.Submit(s.clock.Now(), req.job, r)
	s.runEffects()
}

// expire counts a request as failed that has no final result at its deadline.
func (s *simulation) expire(req *clientRequest) {
	if req.finished {
		return
	}
	req.finished = true
	s.result.Kinds[req.kind].Failed++
	s.pool.Cancel(req.job)
}

func (s *simulation) runEffects() {
	for effects := s.pool.TakeEffects(); len(effects) > 0; effects = s.pool.TakeEffects() {
		for _, e := range effects {
			switch {
			case e.Start != nil:
				s.run(*e.Start)
			case e.Reply != nil:
				s.complete(e.Reply.Job, e.Reply.Response)
			}
		}
	}
}

// run simulates a request on an upstream, with a random duration that is
// exponentially distributed around the mean of its kind.
func (s *simulation) run(start oriolepool.Start) {
	req := s.requests[start.Job]
	slowdown := s.workload.Slowdowns[int([]rune(string(start.To.ID))[0]-'a')]
	duration := time.Duration(s.rng.ExpFloat64() * slowdown * float64(s.workload.Kinds[req.kind].MeanDuration))
	response := oriole.Response{Outcome: oriole.OutcomeAnswered}
	if s.clock.Now().Add(duration).After(req.deadline) {
		// The upstream aborts the request at its deadline.
		duration, response = max(req.deadline.Sub(s.clock.Now()), 0), oriole.UnknownResponse(oriole.ReasonDeadline)
	}
	s.clock.After(duration, func() {
		s.pool.Finish(s.clock.Now(), start.Job, response)
		s.runEffects()
	})
}

// maxAttempts is the maximum number of times that a caller sends a request.
const maxAttempts = 2

func (s *simulation) complete(job oriolepool.JobID, response oriole.Response) {
	req := s.requests[job]
	delete(s.requests, job)
	if req.finished {
		return
	}
	k, result := s.workload.Kinds[req.kind], &s.result.Kinds[req.kind]
	switch {
	case response.Outcome == oriole.OutcomeAnswered && s.clock.Now().Sub(req.arrivedAt) <= k.LatencyTarget:
		result.OnTime++
		s.secondOf(req).Earned += k.Value
	case response.Outcome == oriole.OutcomeAnswered:
		result.Late++
		s.secondOf(req).Earned += k.LateValue
	case response.Outcome == oriole.OutcomeNotRun && req.attempts < maxAttempts:
		// Callers wait for the retry delay, but for at most a third of the time
		// left before their deadline.
		wait := min(s.policy.retryDelay(response.RetryAfter), req.deadline.Sub(s.clock.Now())/3)
		s.clock.After(wait, func() {
			if !req.finished {
				s.submit(req)
			}
		})
		return
	case response.Outcome == oriole.OutcomeNotRun:
		result.Refused++
	default:
		result.Failed++
	}
	req.finished = true
}
