package oriolequeue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepick"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fixture is a queue of a divided service with one slice a server.
type fixture struct {
	q       *Queue
	now     time.Time
	routing *oriole.Routing
	answers map[string]oriole.Answer
	running map[string]Start
}

func newFixture(servers int, divided bool) *fixture {
	picker, err := oriolepick.New("least", rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		panic(err)
	}
	f := &fixture{
		now:     start,
		answers: make(map[string]oriole.Answer),
		running: make(map[string]Start),
	}
	f.q = New(Config{Servers: servers, Divided: divided, Limits: DefaultLimits(), Picker: picker}, nil)
	f.routing = &oriole.Routing{
		Keeper:      true,
		Term:        2,
		Until:       make([]time.Time, servers),
		Incarnation: make([]uint64, servers),
		Out:         make([]bool, servers),
		Lost:        make([]bool, servers),
	}
	for i := range servers {
		f.routing.Until[i] = start.Add(time.Hour)
		f.routing.Owner = append(f.routing.Owner, i)
	}
	f.take(f.q.Route(f.now, f.routing))
	return f
}

func (f *fixture) take(e Effects) {
	for _, s := range e.Starts {
		f.running[s.Job.Request.ID] = s
	}
}

// request returns a request; its ID says what to do with it in tables.
func (f *fixture) request(id string, slice int) oriole.Request {
	return oriole.Request{ID: id, Key: id, Target: "/" + id, Slice: oriole.Slice(slice), Deadline: f.now.Add(time.Second)}
}

func (f *fixture) arrive(r oriole.Request) {
	f.take(f.q.Arrive(f.now, &Job{
		Request: r,
		Slice:   int(r.Slice),
		Reply: func(a oriole.Answer) {
			if _, twice := f.answers[r.ID]; twice {
				panic("request " + r.ID + " is answered twice")
			}
			f.answers[r.ID] = a
		},
	}))
}

// finish ends the run of a request after a time.
func (f *fixture) finish(id string, took time.Duration, a oriole.Answer) {
	s, found := f.running[id]
	if !found {
		panic("request " + id + " does not run")
	}
	delete(f.running, id)
	f.now = f.now.Add(took)
	f.take(f.q.Done(f.now, s.Server, s.Job, a))
}

var ok = oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: 200}

// warm raises the limit of every server.
func (f *fixture) warm(servers int) {
	for server := range servers {
		for i := range blindRuns + usualRuns {
			id := fmt.Sprintf("warm-%d-%d", server, i)
			f.arrive(f.request(id, server))
			f.finish(id, time.Millisecond, ok)
		}
	}
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(f *fixture, r *oriole.Request)
		want    oriole.Reason
	}{
		{"deadline passed", func(f *fixture, r *oriole.Request) { r.Deadline = f.now }, oriole.ReasonDeadline},
		{"not the keeper", func(f *fixture, _ *oriole.Request) { f.q.Route(f.now, &oriole.Routing{}) }, oriole.ReasonNotKeeper},
		{"closing", func(f *fixture, _ *oriole.Request) {
			closing := *f.routing
			closing.Closing = true
			f.q.Route(f.now, &closing)
		}, oriole.ReasonNotKeeper},
		{"line full", func(f *fixture, _ *oriole.Request) {
			for i := range DefaultLimits().Queued + 1 {
				f.arrive(f.request(fmt.Sprintf("fill-%d", i), 0))
			}
		}, oriole.ReasonQueueFull},
		{"deadline out of reach", func(f *fixture, r *oriole.Request) {
			f.warm(1)
			for i := range 20 {
				f.arrive(f.request(fmt.Sprintf("fill-%d", i), 0))
			}
			r.Deadline = f.now.Add(2 * time.Millisecond)
		}, oriole.ReasonDeadline},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2, true)
			r := f.request("r", 0)
			test.prepare(f, &r)
			f.arrive(r)
			is.Equal(f.answers["r"], oriole.Refuse(test.want))
		})
	}
}

func TestRetries(t *testing.T) {
	lost := oriole.Lost(oriole.ReasonConnection)
	tests := []struct {
		name       string
		answer     oriole.Answer
		idempotent bool
		again      bool
	}{
		{"fenced", oriole.Refuse(oriole.ReasonFenced), false, true},
		{"shed", oriole.Refuse(oriole.ReasonShed), false, true},
		{"not connected", oriole.Refuse(oriole.ReasonConnection), false, true},
		{"lost", lost, false, false},
		{"lost and idempotent", lost, true, true},
		{"bad answer", oriole.Lost(oriole.ReasonBadAnswer), false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, true)
			r := f.request("r", 0)
			r.Idempotent = test.idempotent
			f.arrive(r)
			f.finish("r", time.Millisecond, test.answer)
			f.now = f.now.Add(100 * time.Millisecond)
			f.take(f.q.Tick(f.now))
			_, runs := f.running["r"]
			is.Equal(runs, test.again)
			if !test.again {
				is.Equal(f.answers["r"], test.answer)
			}
		})
	}
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, true)
	retried := 0
	for i := range 100 {
		id := fmt.Sprintf("r-%d", i)
		f.arrive(f.request(id, 0))
		f.finish(id, time.Millisecond, oriole.Refuse(oriole.ReasonShed))
		f.now = f.now.Add(20 * time.Millisecond)
		f.take(f.q.Tick(f.now))
		if _, runs := f.running[id]; runs {
			retried++
			f.finish(id, time.Millisecond, ok)
		}
	}
	is.True(retried >= 20 && retried <= 30) // the stock, and a tenth of the requests
}

func TestColdLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, true)
	f.arrive(f.request("a", 0))
	f.arrive(f.request("b", 0))
	is.Equal(len(f.running), 1) // a cold server gets one request
	f.finish("a", 8*time.Millisecond, ok)
	f.finish("b", 8*time.Millisecond, ok)
	f.warm(1)
	f.arrive(f.request("c", 0))
	f.arrive(f.request("d", 0))
	f.arrive(f.request("e", 0))
	is.Equal(len(f.running), 2) // a warm one gets as many as its slots
	restarted := *f.routing
	restarted.Incarnation = []uint64{9}
	f.take(f.q.Route(f.now, &restarted))
	is.Equal(f.q.Limit(0), 1) // a new incarnation is cold
}

func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, true)
	for _, id := range []string{"first", "second", "third"} {
		r := f.request(id, 0)
		r.Token = "token"
		if id == "third" {
			f.finish("first", time.Millisecond, oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: 201})
		}
		f.arrive(r)
	}
	is.Equal(len(f.running), 0) // the repeats must not run
	is.Equal(f.answers["second"].Status, 201)
	is.Equal(f.answers["third"].Status, 201)
}

func TestKeysTakeTurns(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, true)
	f.arrive(f.request("running", 0))
	for i := range 10 {
		r := f.request(fmt.Sprintf("hot-%d", i), 0)
		r.Key = "hot"
		f.arrive(r)
	}
	f.arrive(f.request("other", 0))
	f.finish("running", time.Millisecond, ok)
	f.finish("hot-0", time.Millisecond, ok)
	_, runs := f.running["other"]
	is.True(runs) // the hot key must not hold the other up
}

func TestCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(3, false)
	crash := oriole.Lost(oriole.ReasonConnection)
	crashes := 0
	for i := range 6 {
		r := f.request(fmt.Sprintf("poison-%d", i), 0)
		r.Target = "/poison"
		r.Idempotent = true
		f.arrive(r)
		for {
			if _, runs := f.running[r.ID]; !runs {
				break
			}
			crashes++
			f.finish(r.ID, time.Millisecond, crash)
			f.now = f.now.Add(50 * time.Millisecond)
			f.take(f.q.Tick(f.now))
		}
	}
	is.Equal(crashes, 2) // all further repeats are refused
	is.Equal(f.answers["poison-5"], oriole.Refuse(oriole.ReasonCrash))
}

func TestMovedSliceIsRequeued(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, true)
	f.arrive(f.request("running", 0))
	f.arrive(f.request("waiting", 0))
	held := *f.routing
	held.Owner = []int{oriole.NoServer, 1}
	f.take(f.q.Route(f.now, &held))
	f.finish("running", time.Millisecond, ok)
	is.Equal(len(f.running), 0) // the slice is on the move
	moved := *f.routing
	moved.Owner = []int{1, 1}
	f.take(f.q.Route(f.now, &moved))
	is.Equal(f.running["waiting"].Server, 1)
}

// TestQueueKeepsItsWord drives a queue through random events: no server ever
// runs more than its limit or a slice that it does not own, and every request
// is answered exactly once.
func TestQueueKeepsItsWord(t *testing.T) {
	outcomes := []oriole.Answer{
		ok,
		oriole.Refuse(oriole.ReasonFenced),
		oriole.Refuse(oriole.ReasonShed),
		oriole.Refuse(oriole.ReasonConnection),
		oriole.Lost(oriole.ReasonConnection),
		oriole.Lost(oriole.ReasonDeadline),
	}
	rapid.Check(t, func(t *rapid.T) {
		divided := rapid.Bool().Draw(t, "divided")
		f := newFixture(3, divided)
		arrived := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				r := f.request(fmt.Sprintf("r-%d", arrived), rapid.IntRange(0, 2).Draw(t, "slice"))
				r.Idempotent = rapid.Bool().Draw(t, "idempotent")
				f.arrive(r)
				arrived++
			case 2:
				for id := range f.running {
					f.finish(id, 0, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
					break
				}
			case 3:
				next := *f.routing
				next.Owner = rapid.SliceOfN(rapid.IntRange(-1, 2), 3, 3).Draw(t, "owner")
				next.Keeper = rapid.IntRange(0, 9).Draw(t, "keeper") > 0
				f.routing = &next
				f.take(f.q.Route(f.now, f.routing))
			case 4:
				f.take(f.q.Tick(f.now))
			}
			for server := range 3 {
				if f.q.Running(server) > f.q.cfg.Limits.Slots {
					t.Fatalf("server %d runs %d requests", server, f.q.Running(server))
				}
			}
		}
		f.routing.Keeper = true
		for len(f.running) > 0 {
			for id := range f.running {
				f.finish(id, 0, ok)
				break
			}
		}
		f.now = f.now.Add(time.Minute)
		f.take(f.q.Tick(f.now))
		if len(f.answers) != arrived || f.q.Len() != 0 {
			t.Fatalf("%d of %d requests are answered, %d wait", len(f.answers), arrived, f.q.Len())
		}
	})
}

// BenchmarkDecide measures one request's way through the queue.
func BenchmarkDecide(b *testing.B) {
	f := newFixture(25, true)
	f.warm(1)
	job := &Job{Request: f.request("r", 0), Reply: func(oriole.Answer) {}}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		job.Request.Deadline = f.now.Add(time.Second)
		f.q.Arrive(f.now, job)
		f.q.Done(f.now, 0, job, ok)
		job.attempts = 0
	}
}

func TestSlowServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	s := newServer(DefaultLimits())
	const usual = 2 * time.Millisecond
	s.completed(start, 20*time.Millisecond, usual)
	is.Equal(s.expected(start, usual), 20*time.Millisecond)
	is.Equal(s.expected(start.Add(latencyHalfLife), usual), 11*time.Millisecond)
	is.True(s.expected(start.Add(20*latencyHalfLife), usual) < 3*time.Millisecond)
}

// TestLostOnceIsNeverNotRun: an idempotent request that was lost, and waits in
// vain for its next attempt, may have run.
func TestLostOnceIsNeverNotRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, true)
	r := f.request("r", 0)
	r.Idempotent = true
	f.arrive(r)
	held := *f.routing
	held.Owner = []int{oriole.NoServer}
	f.take(f.q.Route(f.now, &held))
	f.finish("r", time.Millisecond, oriole.Lost(oriole.ReasonConnection))
	is.Equal(f.q.Len(), 1) // it waits for an owner
	f.now = f.now.Add(2 * time.Second)
	f.take(f.q.Tick(f.now))
	is.Equal(f.answers["r"], oriole.Lost(oriole.ReasonDeadline))
}

// TestCutConnectionConvictsNobody: a server that goes on answering under the
// same incarnation did not crash, so the request is served again.
func TestCutConnectionConvictsNobody(t *testing.T) {
	for _, crashed := range []bool{false, true} {
		t.Run(fmt.Sprint("crashed=", crashed), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, true)
			for i := range 2 {
				r := f.request(fmt.Sprint("cut-", i), 0)
				r.Target = "/cut"
				f.arrive(r)
				f.finish(r.ID, time.Millisecond, oriole.Lost(oriole.ReasonConnection))
				f.now = f.now.Add(time.Second)
			}
			if crashed {
				next := *f.routing
				next.Incarnation = []uint64{1}
				f.take(f.q.Route(f.now, &next))
			}
			f.arrive(f.request("other", 0))
			f.finish("other", time.Millisecond, ok)
			r := f.request("again", 0)
			r.Target = "/cut"
			f.arrive(r)
			_, runs := f.running["again"]
			is.Equal(runs, !crashed)
		})
	}
}
