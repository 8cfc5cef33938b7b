package oriolepool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

func coldServer(id string) oriole.Upstream {
	u := server(id)
	u.ColdUntil = atMs(10_000)
	return u
}

// TestSoleSenderBeginsWithoutBurst guards against a burst of requests to a cold upstream
// that another gateway has just sent to.
func TestSoleSenderBeginsWithoutBurst(t *testing.T) {
	is := is.New(t)
	h := newHarness(coldServer("a"))
	h.SetSoleSender(true, atMs(400))
	for id := range oriolepool.JobID(3) {
		h.arrive(0, id, 0, 3*time.Second)
	}
	h.Tick(atMs(590))
	h.collect()
	is.Equal(len(h.startOrder), 0)
	h.Tick(atMs(600))
	h.collect()
	is.Equal(len(h.startOrder), 1)
	is.Equal(len(h.responses), 0)
}

// TestSoleSenderTellsWhenItBegins guards against holding requests that can't be sent
// before their deadlines.
func TestSoleSenderTellsWhenItBegins(t *testing.T) {
	is := is.New(t)
	h := newHarness(coldServer("a"))
	h.SetSoleSender(true, atMs(900))
	h.arrive(0, 0, 0, 800*time.Millisecond)
	is.Equal(h.responses[0].Outcome, oriole.OutcomeNotRun)
	is.Equal(h.responses[0].Reason, oriole.ReasonPaused)
	is.Equal(h.responses[0].RetryAfter, 900*time.Millisecond)
}

// TestOtherSenderIsNamed guards against sending to a cold upstream beside another gateway,
// and against keeping the requests that this one can run.
func TestOtherSenderIsNamed(t *testing.T) {
	is := is.New(t)
	h := newHarness(coldServer("a"))
	for id := range oriolepool.JobID(5) {
		h.arrive(0, id, 0, 3*time.Second)
	}
	is.Equal(len(h.startOrder), 2)
	h.SetSoleSender(false, atMs(0))
	h.Tick(atMs(10))
	h.collect()
	h.arrive(20, 5, 0, 3*time.Second)
	is.Equal(len(h.startOrder), 2)
	is.Equal(len(h.responses), 4)
	for _, response := range h.responses {
		is.Equal(response.Outcome, oriole.OutcomeNotRun)
		is.Equal(response.Reason, oriole.ReasonNotDispatcher)
		is.True(response.RetryAfter > 0)
	}
}

// TestWarmUpstreamNeedsNoSoleSender guards against refusing requests that an upstream can
// serve which is not cold.
func TestWarmUpstreamNeedsNoSoleSender(t *testing.T) {
	is := is.New(t)
	h := newHarness(coldServer("a"), server("b"))
	h.SetSoleSender(false, atMs(0))
	for id := range oriolepool.JobID(3) {
		h.arrive(0, id, 0, 3*time.Second)
	}
	is.Equal(h.started, map[oriolepool.JobID]oriole.ServerID{0: "b", 1: "b"})
	is.Equal(h.QueueLen(), 1)
}

// TestSuspectUpstreamNeedsNoSoleSender guards against a gateway that sends nothing to an
// upstream which broke a connection, and so never learns whether it has ended.
func TestSuspectUpstreamNeedsNoSoleSender(t *testing.T) {
	for name, first := range map[string]bool{"another gateway is the sole sender": false, "the right has not begun": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(server("a"))
			h.SetSoleSender(first, atMs(60_000))
			h.arrive(0, 0, 0, time.Second)
			h.Finish(atMs(10), 0, oriole.UnknownResponse(oriole.ReasonConnection))
			h.collect()
			for id := oriolepool.JobID(1); id <= 10; id++ {
				h.arrive(20, id, 0, 3*time.Second)
			}
			is.Equal(h.startOrder, []oriolepool.JobID{0, 1, 2})
			h.done(30, 1)
			h.done(30, 2)
			is.Equal(len(h.startOrder), 3)
			h.Tick(atMs(520))
			h.collect()
			is.Equal(len(h.startOrder), 5)
		})
	}
}
