package oriolepool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

// TestReachIsTriedOneByOne guards against requests that wait for an upstream which this
// gateway can't reach, although another one could send them, and against never using it
// again.
func TestReachIsTriedOneByOne(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"))
	for id := range oriolepool.JobID(5) {
		h.arrive(0, id, 0, 5*time.Second)
	}
	is.Equal(len(h.started), 2)
	fail := func(ms int, id oriolepool.JobID) {
		h.Finish(atMs(ms), id, oriole.NotRunResponse(oriole.ReasonUnreachable))
		h.collect()
	}
	fail(400, 0)
	fail(410, 1)
	is.Equal(len(h.responses), 5)
	for _, response := range h.responses {
		is.Equal(response.Outcome, oriole.OutcomeNotRun)
		is.Equal(response.Reason, oriole.ReasonUnreachable)
	}
	h.arrive(600, 5, 0, 5*time.Second)
	is.Equal(h.responses[5].Reason, oriole.ReasonUnreachable)
	h.arrive(1000, 6, 0, 5*time.Second)
	h.arrive(1000, 7, 0, 5*time.Second)
	is.Equal(h.started[6], oriole.ServerID("a"))
	is.Equal(h.responses[7].Reason, oriole.ReasonUnreachable)
	h.done(1100, 6)
	h.arrive(1200, 8, 0, 5*time.Second)
	h.arrive(1200, 9, 0, 5*time.Second)
	is.Equal(len(h.startOrder), 5)
}

// TestReachOthersServe guards against refusing a request because one of several upstreams
// can't be reached.
func TestReachOthersServe(t *testing.T) {
	is := is.New(t)
	h := newHarness(server("a"), server("b"))
	h.arrive(0, 0, 0, 5*time.Second)
	h.Finish(atMs(400), 0, oriole.NotRunResponse(oriole.ReasonUnreachable))
	h.collect()
	lost := h.started[0]
	for id := oriolepool.JobID(1); id < 5; id++ {
		h.arrive(500, id, 0, 5*time.Second)
	}
	is.Equal(len(h.startOrder), 3)
	is.True(h.started[1] != lost && h.started[2] != lost)
	is.Equal(h.QueueLen(), 2)
}

// TestReachRefused guards against keeping requests at a dispatcher whose connections are
// reset and refused, although another one may reach the upstream; and against taking an
// upstream for unreachable that refuses new connections while open ones live on.
func TestReachRefused(t *testing.T) {
	refused := oriole.NotRunResponse(oriole.ReasonConnection)
	refused.Refused = true
	t.Run("no request is running", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(server("a"))
		for id := range oriolepool.JobID(3) {
			h.arrive(0, id, 0, 5*time.Second)
		}
		h.Finish(atMs(10), 0, refused)
		h.Finish(atMs(11), 1, refused)
		h.collect()
		is.Equal(h.responses[1].Reason, oriole.ReasonUnreachable)
		is.Equal(h.responses[2].Reason, oriole.ReasonUnreachable) // queued
		unreachable, _ := h.Reach()
		is.Equal(unreachable, 1)
		h.arrive(600, 3, 0, 5*time.Second)
		is.Equal(h.started[3], oriole.ServerID("a")) // tried again
	})
	t.Run("another request is running", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(server("a"))
		h.arrive(0, 0, 0, 5*time.Second)
		h.arrive(0, 1, 0, 5*time.Second)
		h.arrive(0, 2, 0, 5*time.Second)
		h.Finish(atMs(10), 1, refused)
		h.collect()
		is.Equal(h.responses[1].Reason, oriole.ReasonConnection)
		is.Equal(len(h.responses), 1)
		unreachable, _ := h.Reach()
		is.Equal(unreachable, 0)
	})
	t.Run("another upstream is reached", func(t *testing.T) {
		is := is.New(t)
		h := newHarness(server("a"), server("b"))
		h.arrive(0, 0, 0, 5*time.Second)
		h.Finish(atMs(10), 0, refused)
		h.collect()
		// Another dispatcher would share the limits of the pool's upstreams.
		is.Equal(h.responses[0].Reason, oriole.ReasonConnection)
		unreachable, _ := h.Reach()
		is.Equal(unreachable, 1)
	})
}
