package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestStarvedWriterDoesNotEndLink guards against a link that ends, and requests that are
// given up, because this process has not had the time to write a frame: the peer has
// taken all that was written.
func TestStarvedWriterDoesNotEndLink(t *testing.T) {
	is := is.NewRelaxed(t)
	_, dispatcher, _ := startLinks(t, "dispatcher.1")
	forwarder, _ := startLinksWith(t, "forwarder.1", frameReceiver{}, noTicks{})
	members := map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, dispatcher.ID)
	l := forwarder.onePerPeer()[0]
	allTaken := func() bool { return l.socket.Written() > 0 && l.socket.Acknowledged() == l.socket.Written() }
	is.True(await(func() bool { return l.out.Len() == 0 && l.writingSince.Load() == 0 && allTaken() }))
	request := &pendingRequest{id: "r", idempotent: true, response: make(chan oriole.Response, 1)}
	l.mu.Lock()
	l.pending[1] = request
	l.mu.Unlock()
	is.True(l.markWritten(1))
	now := time.Now()
	begun := now.Add(-4 * writeTimeout)
	l.writingSince.Store(begun.UnixNano())
	l.observe(begun)
	l.observe(now)
	is.NoErr(l.conn.Write(context.Background(), websocket.MessageBinary, make([]byte, partSize))) // the link is open
	later := now.Add(4 * writeTimeout)
	is.True(await(allTaken))
	l.observe(later)
	is.True(!l.unresponsive(later)) // the peer has not received the request
}

// await waits until the condition holds, or for 5 s.
func await(condition func() bool) bool {
	for range 500 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}
