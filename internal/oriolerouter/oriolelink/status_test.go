package oriolelink

import (
	"context"
	"fmt"
	"math"
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

// responseFrame returns an encodable response frame with a status of any type.
func responseFrame(r *oriolemessage.Request, outcome oriole.Outcome, status any) (frame, reply map[string]any) {
	reply = map[string]any{
		"status": status, "number": r.Number, "id": r.Id, "outcome": int(outcome), "reason": 0, "header": []any{},
		"body": []byte("hello"), "server": "u", "retry": 1000, "wait": 1000,
	}
	return map[string]any{"clock": 1, "reply": reply}, reply
}

// forwardToRawPeer forwards a request to a peer that answers with the frame that respond
// returns.
func forwardToRawPeer(t *testing.T, respond func(*oriolemessage.Request) any) oriole.Response {
	t.Helper()
	peer := startRawPeer(t, respond)
	links, self, _ := startLinks(t, "forwarder.1")
	links.SetMembers(map[oriole.GatewayID]oriole.Member{peer.ID: peer, self.ID: self}, map[oriole.GatewayID]oriole.Member{peer.ID: peer})
	awaitReachable(links, peer.ID)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return links.Forward(ctx, peer.ID, oriole.Request{
		ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Deadline: time.Now().Add(2 * time.Second),
	})
}

// requireBadResponse checks that nothing of the frame is in the response.
func requireBadResponse(is *is.I, resp oriole.Response) {
	is.Helper()
	is.Equal(len(resp.Header)+len(resp.Body), 0)
	resp.Header, resp.Body = nil, nil
	is.Equal(resp, oriole.UnknownResponse(oriole.ReasonBadResponse))
}

// TestInvalidStatusOfPeerEndsRequestAtOnce guards against passing on a status that is none
// of a final response, and against a request that waits until its deadline because the
// frame with its response can't be read.
func TestInvalidStatusOfPeerEndsRequestAtOnce(t *testing.T) {
	for _, status := range []any{
		0, 1, 99, 100, 101, 199, 600, 999, 1000, -1, nil,
		uint64(math.MaxUint64), math.MinInt64, "200", []byte("200"), 200.5, true,
		[]int{200},
		map[string]int{"a": 200},
	} {
		for _, outcome := range []oriole.Outcome{oriole.OutcomeAnswered, oriole.OutcomeNotRun} {
			if outcome == oriole.OutcomeNotRun && (status == 0 || status == nil) {
				continue // it has no status
			}
			t.Run(fmt.Sprintf("%T %v %v", status, status, outcome), func(t *testing.T) {
				is := is.New(t)
				resp := forwardToRawPeer(t, func(r *oriolemessage.Request) any {
					frame, _ := responseFrame(r, outcome, status)
					return frame
				})
				requireBadResponse(is, resp)
			})
		}
	}
}

// TestUnreadableResponseEndsRequestAtOnce guards against the same wait where another field
// of the frame can't be read.
func TestUnreadableResponseEndsRequestAtOnce(t *testing.T) {
	for name, spoil := range map[string]func(frame, reply map[string]any){
		"unknown field of the frame":    func(frame, _ map[string]any) { frame["later"] = 1 },
		"unknown field of the response": func(_, reply map[string]any) { reply["later"] = 1 },
		"invalid header":                func(_, reply map[string]any) { reply["header"] = 1 },
		"invalid outcome":               func(_, reply map[string]any) { reply["outcome"] = "answered" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp := forwardToRawPeer(t, func(r *oriolemessage.Request) any {
				frame, reply := responseFrame(r, oriole.OutcomeAnswered, 200)
				spoil(frame, reply)
				return frame
			})
			requireBadResponse(is, resp)
		})
	}
}
