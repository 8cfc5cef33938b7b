package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

// TestQueuedBodiesAreBounded guards against bodies that are queued on a link without a
// bound in bytes: a request beyond it has not run, the outcome of a response beyond it is
// unknown, and whatever the link held is given back once it is written or the link ends.
func TestQueuedBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	links, _, receiver := startLinks(t, "dispatcher.1")
	pool := oriolememory.NewPool(4<<20, 1<<20)
	l := newLink("forwarder.1", dialRaw(t, links.cfg.Self, "forwarder.1"), new(oriolesocket.Conn), nil, pool)
	perOwner := int64(4<<20) / 3
	// Nothing writes the link: requests wait until their callers leave.
	ctx, cancel := context.WithCancel(context.Background())
	responses := make(chan oriole.Response, 2)
	body := make([]byte, 1<<20)
	go func() {
		responses <- l.forward(ctx, oriole.Request{ID: "a", Body: body}, time.Now(), time.Now())
	}()
	for pool.Usage().Used == 0 {
		time.Sleep(time.Millisecond)
	}
	refused := l.forward(ctx, oriole.Request{ID: "b", Body: body}, time.Now(), time.Now())
	is.Equal(refused.Outcome, oriole.OutcomeNotRun)
	is.Equal(refused.Reason, oriole.ReasonQueueFull)
	cancel()
	is.Equal((<-responses).Outcome, oriole.OutcomeNotRun)
	is.Equal(pool.Usage().Used, int64(1<<20)) // the frames are still queued
	request := oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Deadline: time.Now().Add(time.Minute)}
	links.handle(context.Background(), l, &oriolemessage.Frame{Request: oriolemessage.FromRequest(1, request, time.Now())}, 0)
	(<-receiver.replies)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: body})
	is.True(pool.Usage().Used <= perOwner)
	written := make(map[string]bool)
	for l.out.Len() > 0 {
		out, err := l.out.Take(context.Background())
		is.NoErr(err)
		written[out.frame.Kind()] = true
		if out.frame.Response != nil {
			resp, err := out.frame.Response.ToResponse()
			is.NoErr(err)
			is.Equal(resp.Outcome, oriole.OutcomeUnknown)
			is.Equal(len(resp.Body), 0)
		}
		is.NoErr(l.write(context.Background(), links, out))
	}
	is.True(written[(&oriolemessage.Frame{Response: &oriolemessage.Response{}}).Kind()])
	is.Equal(pool.Usage().Used, int64(0))
	is.True(l.queued.take(100))
	l.queued.close()
	is.Equal(pool.Usage().Used, int64(0))
	is.True(!l.queued.take(1))
}
