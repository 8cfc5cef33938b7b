package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestAbandonedBodyIsNotKept guards against requests that are refused for up to maxPartialAge,
// because bodies that callers gave up on while they were being sent fill the peer's buffer.
func TestAbandonedBodyIsNotKept(t *testing.T) {
	is := is.New(t)
	dispatcher, dispatcherMember, receiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, dispatcherMember.ID)
	l := forwarder.onePerPeer()[0]
	r := oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Body: testBody(2 * partSize), Deadline: time.Now().Add(time.Minute)}
	frames, tail := splitBody(1, r.Body)
	r.Body = tail
	// The request is not pending: its caller has left before the last part was written.
	frames = append(frames, &oriolemessage.Frame{Request: oriolemessage.FromRequest(1, r, time.Now())}, suspectFrame())
	is.Equal(len(l.offerAll(frames)), 0)
	<-receiver.frames
	accepted := dispatcher.onePerPeer()[0]
	accepted.mu.Lock()
	defer accepted.mu.Unlock()
	is.Equal(accepted.bufferedBytes, 0)
	is.Equal(len(accepted.partials), 0)
}

// TestResponseToAbandonedRequestIsNotKept guards against responses that are lost for up to
// maxPartialAge, because parts of others, whose callers have left, fill the link's buffer.
func TestResponseToAbandonedRequestIsNotKept(t *testing.T) {
	is := is.New(t)
	_, dispatcherMember, receiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, dispatcherMember.ID)
	l := forwarder.onePerPeer()[0]
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan oriole.Response, 1)
	go func() {
		ended <- forwarder.Forward(ctx, dispatcherMember.ID, oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Deadline: time.Now().Add(time.Minute)})
	}()
	<-receiver.replies
	number := l.lastNumber.Load()
	part := &oriolemessage.Part{Number: number, Body: testBody(partSize)}
	l.addPart(part, time.Now())
	is.Equal(l.bufferedBytes, partSize)
	cancel()
	<-ended
	l.addPart(part, time.Now()) // it was on its way
	l.mu.Lock()
	defer l.mu.Unlock()
	is.Equal(l.bufferedBytes, 0)
	is.Equal(len(l.partials), 0)
}
