package oriolerouter

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/platform"
)

// TestReportsToStoppedLeaderEnd guards against duties that can't be stopped because
// they report to a leader duty that has ended and whose ring is full.
func TestReportsToStoppedLeaderEnd(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	directory, closeDirectory := platform.New(loopback, func(string, string, error) {})
	defer closeDirectory()
	r, closeRouter, err := New(Settings{
		VM: "vm", Zone: "z", CallerAddr: loopback, ReadinessAddr: loopback, PeerAddr: loopback, AdminAddr: loopback,
	}, Platform{Directory: directory, Dialect: platform.Dialect{}}, &log.Logger{Handler: discard.New()})
	is.NoErr(err)
	defer closeRouter()
	// Of the gateway, only the state is served.
	stateCtx, stopState := context.WithCancel(context.Background())
	stateEnded := r.tracker.ServeBackground(stateCtx)
	defer func() {
		stopState()
		<-stateEnded
	}()
	r.tracker.UpdateAssignment(stateCtx, oriole.Assignment{Service: "s", Term: 1, Leader: r.self.ID})
	for r.tracker.Snapshot().Assignments["s"] == nil {
		time.Sleep(time.Millisecond)
	}
	full, cancelFull := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancelFull()
	for full.Err() == nil {
		r.leader.Resign(full)
	}
	dutyCtx, stopDuty := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.reportLoad(dutyCtx, "s", map[int]int{1: 1}, nil)
		r.reportUnreachable(dutyCtx, "s", oriole.Incarnation{ID: "u"})
	}()
	stopDuty()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the report does not end with its duty")
	}
}
