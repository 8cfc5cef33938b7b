package oriolequeue

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepick"
)

// Sizes of the simulation: bargemaster's servers at 60% use.
const (
	simServers  = 8
	simWork     = 2 * time.Millisecond
	simUse      = 0.6
	simRequests = 60_000
	simSlow     = 10
)

// simEvent is an arrival, or the end of a run.
type simEvent struct {
	at    time.Time
	start *Start
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }

func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate sends requests through a queue with the picker, and returns the
// sorted times of the answered ones. The function slow tells whether a server
// is slowed at a time.
func simulate(picker string, use float64, slow func(server int, since time.Duration) bool) []time.Duration {
	f := newFixture(simServers, false)
	rng := rand.New(rand.NewPCG(42, 1))
	f.q.cfg.Picker, _ = oriolepick.New(picker, rng)
	f.warm(simServers)
	f.now = start.Add(time.Minute)
	var events simEvents
	var times []time.Duration
	gap := float64(simWork) / (simServers * 2 * use)
	begin := f.now
	next := func(at time.Time) {
		heap.Push(&events, simEvent{at: at.Add(time.Duration(rng.ExpFloat64() * gap))})
	}
	take := func(now time.Time, e Effects) {
		for _, s := range e.Starts {
			work := float64(simWork) * (0.75 + 0.5*rng.Float64())
			if slow(s.Server, now.Sub(begin)) {
				work *= simSlow
			}
			heap.Push(&events, simEvent{at: now.Add(time.Duration(work)), start: &s})
		}
	}
	next(begin)
	for sent := 0; len(events) > 0; {
		e := heap.Pop(&events).(simEvent)
		f.now = e.at
		if e.start != nil {
			take(e.at, f.q.Done(e.at, e.start.Server, e.start.Job, ok))
			continue
		}
		r := oriole.Request{ID: fmt.Sprint(sent), Key: fmt.Sprint(sent), Target: fmt.Sprint(sent), Deadline: e.at.Add(2 * time.Second)}
		arrived := e.at
		job := &Job{Request: r, Reply: func(a oriole.Answer) {
			if a.Outcome == oriole.OutcomeAnswered {
				times = append(times, f.now.Sub(arrived))
			}
		}}
		take(e.at, f.q.Arrive(e.at, job))
		if sent++; sent < simRequests {
			next(e.at)
		}
	}
	slices.Sort(times)
	return times
}

// BenchmarkOverload reports the answered share of what the servers could do, at
// loads below and above that.
func BenchmarkOverload(b *testing.B) {
	for _, use := range []float64{0.9, 1, 1.5, 3} {
		b.Run(fmt.Sprint(use), func(b *testing.B) {
			times := simulate("expected", use, func(int, time.Duration) bool { return false })
			offered := float64(simRequests)
			b.ReportMetric(100*float64(len(times))/offered*use, "goodput-%")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
		})
	}
}

// BenchmarkPickers compares the ways to choose a server in one run: without a
// slow server, with one that is slow for good, and with one that is slow for
// 200 ms in each second.
func BenchmarkPickers(b *testing.B) {
	scenes := []struct {
		name string
		slow func(int, time.Duration) bool
	}{
		{"none slow", func(int, time.Duration) bool { return false }},
		{"one slow", func(server int, _ time.Duration) bool { return server == 0 }},
		{"moments", func(server int, since time.Duration) bool {
			return server == 0 && since%time.Second < 200*time.Millisecond
		}},
	}
	for _, scene := range scenes {
		for _, picker := range []string{"random", "round-robin", "least", "power-of-two", "expected"} {
			b.Run(scene.name+"/"+picker, func(b *testing.B) {
				times := simulate(picker, simUse, scene.slow)
				at := func(share float64) float64 {
					return float64(times[int(share*float64(len(times)-1))].Microseconds()) / 1000
				}
				b.ReportMetric(at(0.5), "p50-ms")
				b.ReportMetric(at(0.99), "p99-ms")
				b.ReportMetric(at(0.999), "p999-ms")
				b.ReportMetric(100*float64(len(times))/simRequests, "answered-%")
			})
		}
	}
}
