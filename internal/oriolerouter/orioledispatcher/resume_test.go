package orioledispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// pausedSender returns a cluster whose dispatcher has sent to the cold upstream, has
// requests queued, and was then paused for so long that another gateway has taken over.
func pausedSender(t *testing.T) (c *coldCluster, paused *coldGateway, lastTick time.Time) {
	t.Helper()
	c = newColdCluster(t, false)
	c.seeAll()
	c.run(4 * time.Second)
	paused = c.gateways[0]
	ctx, now := context.Background(), c.clock.now
	for i := range 4 {
		r := oriole.Request{ID: fmt.Sprint("queued-", i), Service: "s", Pool: c.pool, Method: "POST", Deadline: now.Add(time.Minute), SoftDeadline: now.Add(time.Minute)}
		paused.duty.handle(ctx, now, event{submit: &pendingRequest{ctx: ctx, request: r, reply: func(oriole.Response) {}}})
	}
	c.collect(paused)
	c.clock.now = now.Add(2 * time.Second)
	return c, paused, now
}

// TestStateUpdateAfterPauseSendsNothing guards against a gateway that resumes with an update
// of the cluster state and sends queued requests by the right that it had before its pause.
func TestStateUpdateAfterPauseSendsNothing(t *testing.T) {
	is := is.New(t)
	c, paused, _ := pausedSender(t)
	before := c.senders[paused.self.ID]
	paused.duty.updatePools(context.Background(), c.clock.now)
	c.collect(paused)
	is.Equal(c.senders[paused.self.ID], before)
}

// TestTickFromBeforePauseSendsNothing guards against a gateway that resumes with a tick that
// was sent before its pause and counts its settle time from then on.
func TestTickFromBeforePauseSendsNothing(t *testing.T) {
	is := is.New(t)
	c, paused, lastTick := pausedSender(t)
	before := c.senders[paused.self.ID]
	paused.duty.tick(context.Background(), lastTick)
	paused.duty.tick(context.Background(), c.clock.now)
	c.collect(paused)
	is.Equal(c.senders[paused.self.ID], before)
}
