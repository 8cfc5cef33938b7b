package oriolesite_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// requestCounts returns how many requests run at all upstreams, and how many were
// canceled there.
func requestCounts(s *oriolesite.Site) (running, canceled int) {
	for _, u := range s.Upstreams() {
		r, c := u.RequestCounts()
		running, canceled = running+r, canceled+c
	}
	return running, canceled
}

// startedRequests returns how many requests all upstreams have started.
func startedRequests(s *oriolesite.Site) (n int) {
	for _, u := range s.Upstreams() {
		n += u.StartedRequests()
	}
	return n
}

// cancelTimeout is how long after its caller has disconnected a request may still
// start or, if it is idempotent, run at an upstream. The users require it.
const cancelTimeout = 500 * time.Millisecond

// TestCallerDisconnects checks that when callers disconnect, their idempotent
// requests are canceled within cancelTimeout, their other requests run to the end,
// and none starts after cancelTimeout. A queued request may start before that: the
// cancellations arrive one by one, and the first frees a slot.
func TestCallerDisconnects(t *testing.T) {
	for _, test := range []struct {
		name, method, path string
		canceled           int
	}{
		{"idempotent", http.MethodGet, "/look/1", 1},
		{"not idempotent", http.MethodPost, "/sign/1", 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s, cleanup, err := oriolesite.New(oriolesite.Config{
				ShardedUpstreams: 1, UnshardedUpstreams: 1, VMs: oriolesite.VMs, Options: []standin.Option{standin.WithRequestDuration(700 * time.Millisecond)},
			})
			is.NoErr(err)
			defer cleanup()
			is.NoErr(s.Await("no request runs", func() bool { running, _ := requestCounts(s); return running == 0 }))
			ctx, disconnect := context.WithCancel(context.Background())
			defer disconnect()
			for _, vm := range oriolesite.VMs {
				go s.CallContext(ctx, vm, oriolesite.Request{Method: test.method, Path: test.path, ShardKey: 7})
			}
			// The upstream has two slots, so one of the three requests is queued.
			is.NoErr(s.Await("two requests run", func() bool { running, _ := requestCounts(s); return running == 2 }))
			disconnect()
			disconnected := time.Now()
			is.NoErr(s.Await("no request runs", func() bool { running, _ := requestCounts(s); return running == 0 }))
			took := time.Since(disconnected)
			time.Sleep(time.Until(disconnected.Add(cancelTimeout)))
			before := startedRequests(s)
			_, canceled := requestCounts(s)
			is.True(canceled >= 2*test.canceled && canceled <= 3*test.canceled)
			is.True(test.canceled == 0 || took < cancelTimeout)
			time.Sleep(cancelTimeout)
			is.Equal(startedRequests(s), before) // no request started after cancelTimeout
		})
	}
}

// TestBodyOfSeveralFrames checks that a request body that takes several frames
// between gateways arrives complete.
func TestBodyOfSeveralFrames(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	for _, vm := range oriolesite.VMs {
		for _, shardKey := range []int{7, 20000, 40000, 60000} {
			const size = 900 << 10
			res := s.Call(vm, oriolesite.Request{Method: http.MethodPost, Path: "/sign/long", ShardKey: shardKey, Body: strings.Repeat("x", size)})
			is.Equal(res.Status, http.StatusOK)
			is.True(strings.HasSuffix(res.Body, "with 921600 bytes"))
		}
	}
}
