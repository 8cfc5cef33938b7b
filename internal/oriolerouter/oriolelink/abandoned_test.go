package oriolelink

import (
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
