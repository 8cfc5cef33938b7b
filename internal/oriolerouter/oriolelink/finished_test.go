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

// TestRequestThatCrossesTheEndOfItsDispatcherIsNotRun guards against a request that fails
// since its dispatcher, which has not taken it, closes the link at the end of its stop.
func TestRequestThatCrossesTheEndOfItsDispatcherIsNotRun(t *testing.T) {
	for _, test := range []struct {
		name, closeReason string
		want              oriole.Outcome
	}{
		{"all taken requests were answered", "finished", oriole.OutcomeNotRun},
		{"some were not", "", oriole.OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				conn, err := websocket.Accept(w, r, nil)
				if err != nil {
					return
				}
				for {
					frame, err := readRaw(r.Context(), conn)
					if err != nil {
						return
					}
					if frame.Request != nil {
						_ = conn.Close(websocket.StatusGoingAway, test.closeReason)
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
			is.Equal(resp.Outcome, test.want)
		})
	}
}
