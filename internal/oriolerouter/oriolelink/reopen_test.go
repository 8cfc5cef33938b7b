package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestFinishedGatewayTakesNoLink guards against requests that are lost on a link that a peer
// opens again, while the gateway still waits for other peers before its process exits.
func TestFinishedGatewayTakesNoLink(t *testing.T) {
	is := is.New(t)
	links, member, receiver := startLinks(t, "dispatcher.1")
	slow := dialRaw(t, member, "slow.1") // it does not read, so that Finish waits for it
	writeRequest(t, slow)
	(<-receiver.replies)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	finished := make(chan error, 1)
	go func() { finished <- links.Finish(ctx) }()
	time.Sleep(200 * time.Millisecond) // the links are being closed
	is.Equal(len(finished), 0)

	conn, _, err := websocket.Dial(ctx, "ws://"+member.PeerAddr.String()+Path, nil)
	if err == nil {
		_ = conn.CloseNow()
	}
	is.True(err != nil)
	_ = slow.CloseNow()
	is.NoErr(<-finished)
}
