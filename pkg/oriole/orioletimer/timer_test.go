package orioletimer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

var _ oriole.Timers = (*orioletimer.Service)(nil)

func TestSubscriptionTicksUntilStopped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timers := orioletimer.New()
	go func() { _ = timers.Serve(ctx) }()

	active, stopActive := timers.Subscribe(time.Millisecond)
	defer stopActive()
	stopped, stop := timers.Subscribe(time.Millisecond)
	<-stopped
	stop()
	stop() // stopping twice is allowed
	select {
	case <-stopped: // a tick sent before stop
	default:
	}
	for range 3 {
		<-active
	}
	is.Equal(len(stopped), 0) // no tick after stop
}
