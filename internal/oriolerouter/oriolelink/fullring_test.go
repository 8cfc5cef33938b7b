package oriolelink

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// replyToFullRing fills the ring of an accepted link that nothing writes yet, and
// replies to a request of the peer with the body.
func replyToFullRing(t *testing.T, links *Links, receiver frameReceiver, body []byte) (l *link) {
	t.Helper()
	is := is.New(t)
	l = newLink("forwarder.1", dialRaw(t, links.cfg.Self, "forwarder.1"), new(oriolesocket.Conn), nil, nil)
	request := oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Deadline: time.Now().Add(time.Minute)}
	links.handle(context.Background(), l, &oriolemessage.Frame{Request: oriolemessage.FromRequest(1, request, time.Now())}, 0)
	reply := <-receiver.replies
	for l.out.Offer(&outgoing{frame: &oriolemessage.Frame{Heartbeat: &oriolemessage.Heartbeat{}}}) {
	}
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: body})
	is.Equal(l.unanswered.Load(), int64(1)) // Finish waits for it
	return l
}

// TestResponseIsKeptWhenRingIsFull guards against dropping a response that is ready,
// so that its caller waits until the deadline and gets the outcome "unknown".
func TestResponseIsKeptWhenRingIsFull(t *testing.T) {
	is := is.New(t)
	links, _, receiver := startLinks(t, "dispatcher.1")
	body := bytes.Repeat([]byte("body"), maxBodySize/len("body"))
	l := replyToFullRing(t, links, receiver, body)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var got []byte
	for {
		out, err := l.out.Take(ctx)
		is.NoErr(err)
		if out.frame.Part != nil {
			got = append(got, out.frame.Part.Body...)
		}
		if out.frame.Response != nil {
			got = append(got, out.frame.Response.Body...)
			break
		}
	}
	is.True(bytes.Equal(got, body)) // all parts, in order
}

// TestResponseToFullRingEndsWithItsCaller guards against a stop that waits for a
// response which nobody waits for.
func TestResponseToFullRingEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	links, _, receiver := startLinks(t, "dispatcher.1")
	l := replyToFullRing(t, links, receiver, nil)
	links.handle(context.Background(), l, &oriolemessage.Frame{Cancel: &oriolemessage.Cancel{Number: 1}}, 0)
	for range 500 {
		if l.unanswered.Load() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(l.unanswered.Load(), int64(0))
	is.True(!l.hasRunning())
}
