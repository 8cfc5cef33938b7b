package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

// forwardToSilentPeer forwards an idempotent request to a peer that sends nothing, and returns
// the function that answers it, and the response.
func forwardToSilentPeer(t *testing.T, mayRetry func() bool) (reply func(oriole.Response), responses <-chan oriole.Response) {
	t.Helper()
	receiver := frameReceiver{make(chan *oriolemessage.Frame, 16), make(chan func(oriole.Response), 16)}
	_, dispatcher := startLinksWith(t, "dispatcher.1", receiver, noTicks{}) // it sends no heartbeats
	forwarder, _, _ := startLinks(t, "forwarder.1")
	forwarder.SetMembers(nil, map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher})
	awaitReachable(forwarder, dispatcher.ID)
	answers := make(chan oriole.Response, 1)
	go func() {
		answers <- forwarder.Forward(context.Background(), dispatcher.ID, oriole.Request{
			ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Idempotent: true, Deadline: time.Now().Add(time.Minute), MayRetry: mayRetry,
		})
	}()
	return nextReply(t, receiver, answers), answers
}

// TestSilentPeerKeepsRequestsThatAreNotTriedAgain guards against giving up a request that runs
// at a slow peer although nobody else is asked for the response.
func TestSilentPeerKeepsRequestsThatAreNotTriedAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	reply, responses := forwardToSilentPeer(t, func() bool { return false })
	time.Sleep(2 * orioleliveness.SilenceTimeout)
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	is.Equal((<-responses).Status, 200)
}

// TestSilentPeerIsGivenUp guards against waiting for a peer that is lost.
func TestSilentPeerIsGivenUp(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		mayRetry func() bool
		atMost   time.Duration
	}{
		{"tried again", func() bool { return true }, 2 * orioleliveness.SilenceTimeout},
		{"not tried again", func() bool { return false }, 2 * lostTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, responses := forwardToSilentPeer(t, test.mayRetry)
			started := time.Now()
			is.Equal((<-responses).Reason, oriole.ReasonConnection)
			is.True(time.Since(started) < test.atMost)
		})
	}
}
