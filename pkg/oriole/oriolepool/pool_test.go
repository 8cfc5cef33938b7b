package oriolepool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

var epoch = time.Unix(1000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func server(id string) oriole.Upstream {
	return oriole.Upstream{ID: oriole.ServerID(id), Service: "s", Zone: "z", Slots: 2, Born: epoch}
}

// line drives a pool and notes what it does.
type line struct {
	*oriolepool.Pool
	started map[oriolepool.JobID]oriole.ServerID
	order   []oriolepool.JobID
	answers map[oriolepool.JobID]oriole.Answer
}

func newLine(upstreams ...oriole.Upstream) *line {
	l := &line{
		Pool: oriolepool.New(), started: make(map[oriolepool.JobID]oriole.ServerID),
		answers: make(map[oriolepool.JobID]oriole.Answer),
	}
	l.Update(epoch, oriole.Service{Name: "s", ColdRate: 5}, upstreams)
	return l
}

func (l *line) drain() {
	for _, e := range l.Take() {
		if e.Start != nil {
			l.started[e.Start.Job] = e.Start.To.ID
			l.order = append(l.order, e.Start.Job)
		}
		if e.Answer != nil {
			l.answers[e.Answer.Job] = e.Answer.Answer
		}
	}
}

func (l *line) arrive(ms int, id oriolepool.JobID, priority int, deadline time.Duration) {
	now := at(ms)
	l.Arrive(now, id, oriole.Request{Priority: priority, Deadline: now.Add(deadline), Objective: now.Add(deadline / 2)})
	l.drain()
}

func (l *line) done(ms int, id oriolepool.JobID) {
	l.Done(at(ms), id, oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: 200})
	l.drain()
}

func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"), server("b"))
	for id := range oriolepool.JobID(6) {
		l.arrive(0, id, 0, time.Second)
	}
	is.Equal(len(l.started), 4)
	l.done(100, 0)
	is.Equal(len(l.started), 5)
	is.Equal(l.Waiting(), 1)
}

func TestUrgentGoesFirst(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"))
	for id := range oriolepool.JobID(2) {
		l.arrive(0, id, 2, time.Second)
	}
	l.arrive(1, 10, 2, 2*time.Second)
	l.arrive(2, 11, 0, 2*time.Second)
	l.done(100, 0)
	l.done(110, 1)
	is.Equal(l.order, []oriolepool.JobID{0, 1, 11, 10})
}

func TestRefusesAtOnceWhatCantBeServed(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"))
	for id := range oriolepool.JobID(30) {
		l.arrive(0, id, 0, 600*time.Millisecond)
	}
	refused := 0
	for _, a := range l.answers {
		is.Equal(a.Outcome, oriole.OutcomeNotRun)
		is.True(a.RetryAfter > 0)
		refused++
	}
	// Two slots at 100 ms serve about a dozen in 600 ms.
	is.True(refused >= 15 && refused <= 22)
	is.Equal(refused+len(l.started)+l.Waiting(), 30)
}

func TestWhatWaitedTooLongIsRefusedBeforeItsDeadline(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"))
	for id := range oriolepool.JobID(3) {
		l.arrive(0, id, 0, 500*time.Millisecond)
	}
	l.Tick(at(460))
	l.drain()
	is.Equal(l.answers[2].Outcome, oriole.OutcomeNotRun)
	is.Equal(l.answers[2].Reason, oriole.ReasonDeadline)
}

func TestColdUpstreamGetsItsRate(t *testing.T) {
	is := is.New(t)
	cold := server("a")
	cold.ColdUntil = at(5000)
	l := newLine(cold)
	next := oriolepool.JobID(0)
	for ms := 0; ms < 3000; ms += 20 {
		l.arrive(ms, next, 0, 10*time.Second)
		for id := range l.started {
			l.done(ms+10, id)
			delete(l.started, id)
		}
		l.Tick(at(ms + 15))
		l.drain()
		next++
	}
	// 5 a second, and a burst of 3.
	is.True(len(l.order) <= 3+3*5)
	is.True(len(l.order) >= 3*5)
}

func TestFailedUpstreamIsSpared(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"), server("b"))
	l.arrive(0, 0, 0, time.Second)
	first := l.started[0]
	l.Done(at(5), 0, oriole.Refuse(oriole.ReasonConnection))
	l.drain()
	for id := oriolepool.JobID(1); id < 3; id++ {
		l.arrive(6, id, 0, time.Second)
		is.True(l.started[id] != first)
	}
}

func TestMovedRequestsAreGivenBack(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"))
	for id := range oriolepool.JobID(5) {
		l.arrive(0, id, 0, 2*time.Second)
	}
	l.Evict(func(oriole.Request) bool { return true })
	l.drain()
	is.Equal(l.Waiting(), 0)
	is.Equal(len(l.answers), 3)
	is.Equal(l.answers[4].Reason, oriole.ReasonMoved)
}

func TestNoUpstream(t *testing.T) {
	is := is.New(t)
	l := newLine()
	l.arrive(0, 0, 0, time.Second)
	is.Equal(l.answers[0].Reason, oriole.ReasonNoOwner)
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	l := newLine(server("a"))
	for id := range oriolepool.JobID(3) {
		l.arrive(0, id, 0, time.Second)
	}
	is.True(!l.Cancel(0)) // it runs
	is.True(l.Cancel(2))  // it waits
	is.Equal(l.Waiting(), 0)
}
