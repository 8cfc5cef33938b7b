package oriolelink

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestUnreadableFrameBeforeEndOfDispatcher guards against a request that is sent again
// although it has run: the frame that was its response could not be read.
func TestUnreadableFrameBeforeEndOfDispatcher(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		defer func() { _ = conn.CloseNow() }()
		for {
			frame, err := readRaw(r.Context(), conn)
			if err != nil {
				return
			}
			if frame.Request != nil {
				_ = conn.Write(r.Context(), websocket.MessageBinary, []byte("not CBOR"))
				_ = conn.Close(websocket.StatusGoingAway, closeFinished)
				return
			}
		}
	}))
	defer server.Close()
	dispatcher := oriole.Member{ID: "dispatcher.1", VM: "dispatcher", Zone: "z", PeerAddr: netip.MustParseAddrPort(server.Listener.Addr().String()), Weight: 1}
	forwarder, _, _ := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, dispatcher.ID)
	resp := forwarder.Forward(context.Background(), dispatcher.ID, oriole.Request{
		ID: "1", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Deadline: time.Now().Add(time.Minute),
	})
	is.Equal(resp.Outcome, oriole.OutcomeUnknown)
}
