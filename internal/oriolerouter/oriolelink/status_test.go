package oriolelink

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// startRawPeer starts a peer that answers each request with the frame that respond returns.
func startRawPeer(t *testing.T, respond func(*oriolemessage.Request) any) oriole.Member {
	t.Helper()
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
			if frame.Request == nil {
				continue
			}
			data, err := cbor.Marshal(respond(frame.Request))
			if err != nil || conn.Write(r.Context(), websocket.MessageBinary, data) != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	return oriole.Member{ID: "raw.1", VM: "raw", Zone: "z", PeerAddr: netip.MustParseAddrPort(server.Listener.Addr().String()), Weight: 1}
}

// TestInvalidStatusOfPeerEndsRequestAtOnce guards against passing on a status that is none
// of a final response, and against believing that a request with a status has not run.
func TestInvalidStatusOfPeerEndsRequestAtOnce(t *testing.T) {
	for _, status := range []any{
		0, 1, 99, 100, 101, 199, 600, 999, 1000, -1, nil,
	} {
		for _, outcome := range []oriole.Outcome{oriole.OutcomeAnswered, oriole.OutcomeNotRun} {
			if outcome == oriole.OutcomeNotRun && (status == 0 || status == nil) {
				continue // it has no status
			}
			t.Run(fmt.Sprintf("%T %v %v", status, status, outcome), func(t *testing.T) {
				is := is.New(t)
				peer := startRawPeer(t, func(r *oriolemessage.Request) any {
					return map[string]any{"clock": 1, "reply": map[string]any{
						"status": status, "number": r.Number, "id": r.Id, "outcome": int(outcome), "reason": 0, "header": []any{},
						"body": []byte("hello"), "server": "u", "retry": 1000, "wait": 1000,
					}}
				})
				links, self, _ := startLinks(t, "forwarder.1")
				members := map[oriole.GatewayID]oriole.Member{peer.ID: peer, self.ID: self}
				links.SetMembers(members, map[oriole.GatewayID]oriole.Member{peer.ID: peer})
				awaitReachable(links, peer.ID)
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				resp := links.Forward(ctx, peer.ID, oriole.Request{
					ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Deadline: time.Now().Add(2 * time.Second),
				})
				is.Equal(resp, oriole.UnknownResponse(oriole.ReasonBadResponse))
			})
		}
	}
}
