package oriolepool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

var epoch = time.Unix(1000, 0)

func atMs(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func server(id string) oriole.Upstream {
	return oriole.Upstream{ID: oriole.ServerID(id), Service: "s", Zone: "z", Slots: 2, StartedAt: epoch}
}

// harness drives a pool and records its effects.
type harness struct {
	*oriolepool.Pool
	started    map[oriolepool.JobID]oriole.ServerID
	startOrder []oriolepool.JobID
	responses  map[oriolepool.JobID]oriole.Response
}

func newHarness(upstreams ...oriole.Upstream) *harness {
	h := &harness{
		Pool: oriolepool.New(), started: make(map[oriolepool.JobID]oriole.ServerID),
		responses: make(map[oriolepool.JobID]oriole.Response),
	}
	h.Update(epoch, oriole.Service{Name: "s", ColdRate: 5}, upstreams)
	return h
}

func (h *harness) collect() {
	for _, e := range h.TakeEffects() {
		if e.Start != nil {
			h.started[e.Start.Job] = e.Start.To.ID
			h.startOrder = append(h.startOrder, e.Start.Job)
		}
		if e.Reply != nil {
			h.responses[e.Reply.Job] = e.Reply.Response
		}
	}
}

func (h *harness) arrive(ms int, id oriolepool.JobID, priority int, deadline time.Duration) {
	now := atMs(ms)
	h.Submit(now, id, oriole.Request{Priority: priority, Deadline: now.Add(deadline), SoftDeadline: now.Add(deadline / 2)})
	h.collect()
}

func (h *harness) done(ms int, id oriolepool.JobID) {
	h.Finish(atMs(ms), id, oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	h.collect()
}

func TestNeverExceedsSlots(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"), server("b"))
	for id := range oriolepool.JobID(6) {
		h.arrive(0, id, 0, time.Second)
	}
	is.Equal(len(h.started), 4)
	h.done(100, 0)
	is.Equal(len(h.started), 5)
	is.Equal(h.QueueLen(), 1)
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(2) {
		h.arrive(0, id, 2, time.Second)
	}
	h.arrive(1, 10, 2, 2*time.Second)
	h.arrive(2, 11, 0, 2*time.Second)
	h.done(100, 0)
	h.done(110, 1)
	is.Equal(h.startOrder, []oriolepool.JobID{0, 1, 11, 10})
}

func TestRefusesOnArrivalWhatCannotMeetDeadline(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(30) {
		h.arrive(0, id, 0, 600*time.Millisecond)
	}
	refused := 0
	for _, response := range h.responses {
		is.Equal(response.Outcome, oriole.OutcomeNotRun)
		is.True(response.RetryAfter > 0)
		refused++
	}
	// Two slots at 100 ms serve about a dozen in 600 ms.
	is.True(refused >= 15 && refused <= 22)
	is.Equal(refused+len(h.started)+h.QueueLen(), 30)
}

func TestRefusesQueuedRequestBeforeDeadline(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(3) {
		h.arrive(0, id, 0, 500*time.Millisecond)
	}
	h.Tick(atMs(460))
	h.collect()
	is.Equal(h.responses[2].Outcome, oriole.OutcomeNotRun)
	is.Equal(h.responses[2].Reason, oriole.ReasonDeadline)
}

func TestColdUpstreamIsRateLimited(t *testing.T) {
	is := is.New(t)
	cold := server("a")
	cold.ColdUntil = atMs(5000)
	h := newHarness(cold)
	nextID := oriolepool.JobID(0)
	for ms := 0; ms < 3000; ms += 20 {
		h.arrive(ms, nextID, 0, 10*time.Second)
		for id := range h.started {
			h.done(ms+10, id)
			delete(h.started, id)
		}
		h.Tick(atMs(ms + 15))
		h.collect()
		nextID++
	}
	// 5 per second, and a burst of 3.
	is.True(len(h.startOrder) <= 3+3*5)
	is.True(len(h.startOrder) >= 3*5)
}

func TestAvoidsUpstreamAfterConnectionFailure(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"), server("b"))
	h.arrive(0, 0, 0, time.Second)
	first := h.started[0]
	h.Finish(atMs(5), 0, oriole.NotRunResponse(oriole.ReasonConnection))
	h.collect()
	for id := oriolepool.JobID(1); id < 3; id++ {
		h.arrive(6, id, 0, time.Second)
		is.True(h.started[id] != first)
	}
}

// TestRefusingUpstreamComesLast guards against refusing a request because it is sent to an
// upstream that has probably ended, although another one of the pool is idle.
func TestRefusingUpstreamComesLast(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"), server("b"))
	h.arrive(0, 0, 0, 5*time.Second)
	refusing := h.started[0]
	h.Finish(atMs(5), 0, oriole.NotRunResponse(oriole.ReasonConnection))
	h.collect()
	// The pause after the refusal is over.
	h.arrive(300, 1, 0, 5*time.Second)
	h.arrive(300, 2, 0, 5*time.Second)
	is.True(h.started[1] != refusing && h.started[2] != refusing)
	h.arrive(300, 3, 0, 5*time.Second)
	is.Equal(h.started[3], refusing) // the other upstream's slots are full
	for id := oriolepool.JobID(1); id < 4; id++ {
		h.done(400, id)
	}
	h.arrive(1600, 4, 0, 5*time.Second)
	is.Equal(h.started[4], refusing) // as before the refusal
}

func TestEvictRefusesAsMoved(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(5) {
		h.arrive(0, id, 0, 2*time.Second)
	}
	h.Evict(func(oriole.Request) bool { return true })
	h.collect()
	is.Equal(h.QueueLen(), 0)
	is.Equal(len(h.responses), 3)
	is.Equal(h.responses[4].Reason, oriole.ReasonMoved)
}

// TestGiveBackIsNoPause guards against forwarders that wait before they ask another dispatcher.
func TestGiveBackIsNoPause(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(4) {
		h.arrive(0, id, int(id), 2*time.Second)
	}
	h.GiveBack(func(r oriole.Request, duration time.Duration) bool { return r.Priority == 2 && duration > 0 })
	h.collect()
	is.Equal(h.QueueLen(), 1)
	is.Equal(h.responses, map[oriolepool.JobID]oriole.Response{3: oriole.NotRunResponse(oriole.ReasonNotDispatcher)})
}

func TestNoUpstream(t *testing.T) {
	is := is.New(t)
	h := newHarness()
	h.arrive(0, 0, 0, time.Second)
	is.Equal(h.responses[0].Reason, oriole.ReasonNoOwner)
}

func TestCancel(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(3) {
		h.arrive(0, id, 0, time.Second)
	}
	is.True(!h.Cancel(0)) // running
	is.True(h.Cancel(2))  // queued
	is.Equal(h.QueueLen(), 0)
}
