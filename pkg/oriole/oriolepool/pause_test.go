package oriolepool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepause"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

// newPausingHarness returns a pool and the ledger of its VM.
func newPausingHarness(upstreams ...oriole.Upstream) (*harness, *oriolepause.Ledger) {
	h, pauses := newHarness(upstreams...), oriolepause.New()
	h.SharePauses(pauses)
	return h, pauses
}

func (h *harness) tick(ms int) {
	h.Tick(atMs(ms))
	h.collect()
}

// TestBudgetOthersServe guards against sending requests to an upstream that has asked
// for a pause while another one can run them, and against never using it again.
func TestBudgetOthersServe(t *testing.T) {
	is := is.New(t)
	h, pauses := newPausingHarness(server("a"), server("b"))
	pauses.Begin(atMs(0), server("a").Incarnation(), 2*time.Second)
	for id := range oriolepool.JobID(6) {
		h.arrive(int(id), id, 0, 5*time.Second)
	}
	is.Equal(len(h.started), 2)
	is.Equal(len(h.responses), 0)
	for _, id := range h.started {
		is.Equal(id, oriole.ServerID("b"))
	}
	h.tick(1999)
	is.Equal(len(h.started), 2)
	h.tick(2000)
	is.Equal(len(h.started), 4)
}

// TestBudgetWaitsOrIsRefusedAtOnce guards against letting a request wait that can't be
// answered after the pause, against refusing one that can, and against a Retry-After
// within the pause.
func TestBudgetWaitsOrIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h, pauses := newPausingHarness(server("a"))
	for id := range oriolepool.JobID(2) {
		h.arrive(0, id, 0, 5*time.Second)
	}
	h.arrive(0, 2, 0, 1500*time.Millisecond)
	h.arrive(0, 3, 0, 5*time.Second)
	is.Equal(len(h.started), 2)

	pauses.Begin(atMs(10), server("a").Incarnation(), 3*time.Second)
	h.tick(10)
	is.Equal(h.responses[2].Outcome, oriole.OutcomeNotRun)
	is.Equal(h.responses[2].Reason, oriole.ReasonPaused)
	is.True(h.responses[2].RetryAfter >= 3*time.Second)
	h.arrive(1010, 4, 0, time.Second)
	is.Equal(h.responses[4].Reason, oriole.ReasonPaused)
	is.True(h.responses[4].RetryAfter >= 2*time.Second)
	h.arrive(1010, 5, 0, 5*time.Second)
	is.Equal(h.QueueLen(), 2)
	for id := range oriolepool.JobID(2) {
		h.done(1020, id)
	}
	h.tick(3009)
	is.Equal(len(h.started), 2)
	h.tick(3010)
	is.Equal(len(h.started), 4)
	is.Equal(len(h.responses), 4) // two answered, two refused
}

// TestBudgetRefusalComesInTime guards against a request that waits for a pause which ends
// so shortly before its deadline that its caller learns nothing.
func TestBudgetRefusalComesInTime(t *testing.T) {
	is := is.New(t)
	h, pauses := newPausingHarness(server("a"))
	h.arrive(0, 0, 0, time.Second)
	h.done(1, 0) // fast
	for id := oriolepool.JobID(1); id <= 5; id++ {
		h.arrive(2, id, 0, 1100*time.Millisecond)
	}
	pauses.Begin(atMs(2), server("a").Incarnation(), 1010*time.Millisecond)
	for id := oriolepool.JobID(1); id <= 2; id++ {
		h.done(3, id)
	}
	is.Equal(h.responses[3].Reason, oriole.ReasonPaused)
	is.Equal(h.responses[5].Reason, oriole.ReasonPaused)
	h.arrive(3, 6, 0, 1080*time.Millisecond)
	is.Equal(h.responses[6].Reason, oriole.ReasonPaused)
	is.Equal(h.QueueLen(), 0)
}

// TestBudgetResponseTellsPause guards against telling a caller that was turned away to
// return during the pause.
func TestBudgetResponseTellsPause(t *testing.T) {
	is := is.New(t)
	h, pauses := newPausingHarness(server("a"))
	h.arrive(0, 1, 0, 2*time.Second)
	pauses.Begin(atMs(10), server("a").Incarnation(), 4*time.Second)
	h.Finish(atMs(10), 1, oriole.NotRunResponse(oriole.ReasonShed))
	h.collect()
	is.Equal(h.responses[1].RetryAfter, 4*time.Second)
}

// TestBudgetProbesAreSafeToRepeat guards against more than two requests during a pause,
// and against one among them that must not run twice.
func TestBudgetProbesAreSafeToRepeat(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		h, pauses := newPausingHarness(server("a"))
		pauses.Begin(atMs(0), server("a").Incarnation(), 3*time.Second)
		const requests = 200
		for id := range oriolepool.JobID(requests) {
			now := atMs(10 * int(id))
			h.Submit(now, id, oriole.Request{Idempotent: idempotent, Deadline: now.Add(500 * time.Millisecond), SoftDeadline: now})
			h.collect()
		}
		want := 0
		if idempotent {
			want = 1 // the second is due at the end of these two seconds
		}
		is.Equal(len(h.started), want)
		is.Equal(len(h.responses), requests-want)
		for id := oriolepool.JobID(requests); id < requests+20; id++ {
			now := atMs(10 * int(id))
			h.Submit(now, id, oriole.Request{Idempotent: idempotent, Deadline: now.Add(500 * time.Millisecond), SoftDeadline: now})
			h.collect()
		}
		is.Equal(len(h.started), 2*want)
	}
}

// TestBudgetGoesElsewhere guards against a request that waits for the end of a pause
// while the pool of another zone can run it.
func TestBudgetGoesElsewhere(t *testing.T) {
	is := is.New(t)
	h, pauses := newPausingHarness(server("a"))
	pauses.Begin(atMs(0), server("a").Incarnation(), 2*time.Second)
	h.arrive(0, 1, 0, 5*time.Second)
	is.Equal(h.QueueLen(), 1)
	h.SetElsewhere(true)
	h.tick(10)
	is.Equal(h.responses[1].Reason, oriole.ReasonPaused)
	h.Submit(atMs(1500), 2, oriole.Request{Idempotent: true, Deadline: atMs(2400)})
	h.collect()
	is.Equal(h.responses[2].Reason, oriole.ReasonPaused) // no probe either
	// A request with an idempotency key belongs to this pool.
	h.Submit(atMs(1500), 3, oriole.Request{IdempotencyKey: "k", Deadline: atMs(5000)})
	h.collect()
	is.Equal(h.QueueLen(), 1)
	is.Equal(len(h.started), 0)
}
