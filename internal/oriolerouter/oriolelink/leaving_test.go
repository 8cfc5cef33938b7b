package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestDrainPrecedesResponse guards against a forwarder that passes a response on before
// it knows that the upstream has stated there that it leaves.
func TestDrainPrecedesResponse(t *testing.T) {
	is := is.New(t)
	_, dispatcherMember, dispatcherReceiver := startLinks(t, "dispatcher.1")
	forwarder, forwarderMember, forwarderReceiver := startLinks(t, "forwarder.1")
	wanted := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember}
	forwarder.SetMembers(map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember, forwarderMember.ID: forwarderMember}, wanted)
	awaitReachable(forwarder, dispatcherMember.ID)
	left := oriole.Incarnation{ID: "u", StartedAt: time.UnixMilli(7)}
	for _, want := range []oriole.Response{
		{Outcome: oriole.OutcomeAnswered, Status: 200, Body: make([]byte, 3*partSize), Leaving: left},
		{Outcome: oriole.OutcomeUnknown, Reason: oriole.ReasonConnection, Leaving: left},
	} {
		go func() { (<-dispatcherReceiver.replies)(want) }()
		resp := forwarder.Forward(context.Background(), dispatcherMember.ID, oriole.Request{
			ID: "1", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Deadline: time.Now().Add(time.Minute),
		})
		is.Equal(resp.Outcome, want.Outcome)
		is.Equal(len(resp.Body), len(want.Body))
		is.Equal(len(forwarderReceiver.frames), 1)
		got, err := (<-forwarderReceiver.frames).Departure.ToDeparture()
		is.NoErr(err)
		is.Equal(got, left)
	}
}
