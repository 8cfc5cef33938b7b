package oriolesite_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
)

// TestDrainByResponse checks that an upstream which states only in its responses that
// it leaves gets no more requests from any gateway, and that its keys are served by
// others.
func TestDrainByResponse(t *testing.T) {
	for _, test := range []struct {
		name, upstream string
		storeDown      bool
	}{
		{"sharded", "board-0", false},
		{"not sharded", "tow-0", false},
		{"sharded, without the store", "board-0", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			stop := s.StartLoad(oriolesite.VMs...)
			u := s.Upstreams()[test.upstream]
			is.NoErr(s.Await("the upstream serves", func() bool { return u.StartedRequests() > 20 }))
			for _, vm := range oriolesite.VMs {
				s.SetStoreUnresponsive(vm, test.storeDown)
			}
			u.Leave()
			// The shortest time that the users' sites leave an upstream that drains.
			const drainTime = 500 * time.Millisecond
			left := u.StartedRequests()
			is.NoErr(s.Await("it answers once more", func() bool { return u.StartedRequests() > left }))
			time.Sleep(drainTime)
			before := u.StartedRequests()
			time.Sleep(2 * time.Second)
			is.Equal(u.StartedRequests(), before)
			for key := 0; key < 65536 && !test.storeDown; key += 4096 {
				is.Equal(s.Call(oriolesite.VMs[0], oriolesite.Request{Method: http.MethodGet, Path: "/look/x", ShardKey: key}).Status, http.StatusOK)
			}
			summary := stop()
			t.Logf("%+v", summary)
			is.Equal(len(summary.Violations), 0)
		})
	}
}
