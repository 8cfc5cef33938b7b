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

func TestSubscribersTickUntilStopped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	timers := orioletimer.New()
	go func() { _ = timers.Serve(ctx) }()

	kept, stopKept := timers.Subscribe(time.Millisecond)
	defer stopKept()
	ended, stopEnded := timers.Subscribe(time.Millisecond)
	<-ended
	stopEnded()
	stopEnded() // a second call must do no harm
	select {
	case <-ended: // a tick that was already sent
	default:
	}
	for range 3 {
		<-kept
	}
	is.Equal(len(ended), 0) // no tick after stop
}
