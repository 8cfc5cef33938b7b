package orioledispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// newCrashDuty returns a duty without pools, and the cluster state that it sees.
func newCrashDuty() (*poolDuty, *oriole.ClusterState) {
	state := oriole.NewClusterState()
	disp := New(Config{
		State: fixedState{state}, Timers: orioletimer.New(), Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()},
		ReportCrash: func(oriolecrash.Fingerprint, oriole.Incarnation) {}, CloseIdleConns: func(func(oriole.Incarnation) bool) {},
	}, suture.Spec{})
	duty := newPoolDuty(disp)
	duty.pools, duty.crashes, duty.idempotency = make(map[oriole.PoolID]*poolState), oriolecrash.New(), orioleidempotency.New()
	return duty, state
}

// newCrashRequest returns a request that may be blamed for a crash.
func newCrashRequest() *pendingRequest {
	req := &pendingRequest{ctx: context.Background(), request: oriole.Request{Method: "GET", Host: "h", Target: "/"}}
	req.fingerprint = oriolecrash.FingerprintOf(req.request)
	return req
}

// TestDepartureIsNoCrash guards against refusing a request because upstreams that had
// broken a connection left in good order, or were missing from a restored list.
func TestDepartureIsNoCrash(t *testing.T) {
	lost := oriole.UnknownResponse(oriole.ReasonConnection)
	for _, test := range []struct {
		name string
		// before is the upstream when the connection breaks. The states in after
		// follow; nil means that it is not listed.
		before oriole.Upstream
		after  []*oriole.Upstream
		// dialRefused is set if the upstream refuses the next connection, silent if it
		// does not answer it.
		dialRefused bool
		crash       bool
		silent      bool
	}{
		{"drains and leaves", oriole.Upstream{StartedAt: time.UnixMilli(2), Draining: true}, []*oriole.Upstream{nil}, false, false, false},
		{"drains afterwards and leaves", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{{StartedAt: time.UnixMilli(2), Draining: true}, nil}, false, false, false},
		{"drains and is replaced", oriole.Upstream{StartedAt: time.UnixMilli(2), Draining: true}, []*oriole.Upstream{{StartedAt: time.UnixMilli(3)}}, false, false, false},
		{"drains afterwards and is replaced", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{{StartedAt: time.UnixMilli(2), Draining: true}, {StartedAt: time.UnixMilli(3)}}, false, false, false},
		{"drains and refuses a connection", oriole.Upstream{StartedAt: time.UnixMilli(2), Draining: true}, nil, true, false, false},
		{"leaves", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{nil}, false, false, false},
		{"is missing for a while", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{nil, {StartedAt: time.UnixMilli(2)}}, false, false, false},
		{"is listed as before a restore", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{{StartedAt: time.UnixMilli(1)}}, false, false, false},
		{"is replaced", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{{StartedAt: time.UnixMilli(3)}}, false, true, false},
		{"is missing and replaced", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{nil, {StartedAt: time.UnixMilli(3)}}, false, true, false},
		{"is replaced by one that drains", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{{StartedAt: time.UnixMilli(3), Draining: true}}, false, true, false},
		{"refuses a connection", oriole.Upstream{StartedAt: time.UnixMilli(2)}, nil, true, true, false},
		{"is missing and refuses a connection", oriole.Upstream{StartedAt: time.UnixMilli(2)}, []*oriole.Upstream{nil}, true, true, false},
		{"can't be reached", oriole.Upstream{StartedAt: time.UnixMilli(2)}, nil, false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, state := newCrashDuty()
			now, req := time.Unix(1000, 0), newCrashRequest()
			ctx := req.ctx
			for _, id := range []oriole.ServerID{"a", "b", "c"} {
				u := test.before
				u.ID = id
				state.Upstreams[id] = u
				req.incarnation = u.Incarnation()
				d.trackCrashes(ctx, now, req, lost)
				for _, next := range test.after {
					now = now.Add(time.Second)
					delete(state.Upstreams, id)
					if next != nil {
						u := *next
						u.ID = id
						state.Upstreams[id] = u
					}
					d.updatePools(ctx, now)
				}
				if test.dialRefused {
					d.trackCrashes(ctx, now, req, oriole.NotRunResponse(oriole.ReasonConnection))
				}
				if test.silent {
					d.trackCrashes(ctx, now, req, oriole.NotRunResponse(oriole.ReasonUnreachable))
				}
			}
			is.Equal(d.crashes.Refuses(now, req.fingerprint), test.crash)
		})
	}
}

// TestCrashIsWithdrawn guards against refusing a request because upstreams that live on
// had their connections reset and new ones refused while they ran it.
func TestCrashIsWithdrawn(t *testing.T) {
	for _, test := range []struct {
		name string
		// wait is the time since the last connection was refused, failedAgo that since
		// a call to the directory has failed.
		wait, failedAgo time.Duration
		listed          bool
		answers         bool
		refuses         bool
	}{
		{"at once", 0, time.Hour, true, false, true},
		{"answers", 0, time.Hour, true, true, false},
		{"still listed", 5 * time.Second, time.Hour, true, false, false},
		{"still listed by a directory that is just back", 5 * time.Second, time.Second, true, false, true},
		{"no longer listed", 5 * time.Second, time.Hour, false, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			d, state := newCrashDuty()
			now, req := time.Unix(1000, 0), newCrashRequest()
			ctx := req.ctx
			for _, id := range []oriole.ServerID{"a", "b", "c"} {
				u := oriole.Upstream{ID: id, StartedAt: time.UnixMilli(2)}
				if test.listed {
					state.Upstreams[id] = u
				}
				req.incarnation = u.Incarnation()
				d.trackCrashes(ctx, now, req, oriole.UnknownResponse(oriole.ReasonConnection))
				d.trackCrashes(ctx, now, req, oriole.NotRunResponse(oriole.ReasonConnection))
			}
			is.True(d.crashes.Refuses(now, req.fingerprint))
			if test.answers {
				d.trackCrashes(ctx, now, req, oriole.Response{Outcome: oriole.OutcomeAnswered, Server: "c"})
			}
			now = now.Add(test.wait)
			state.DirectoryFailedAt = now.Add(-test.failedAgo)
			d.tick(ctx, now)
			is.Equal(d.crashes.Refuses(now, req.fingerprint), test.refuses)
		})
	}
}
