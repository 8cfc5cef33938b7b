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
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestRequestThatCrossesTheEndOfItsDispatcherIsNotRun guards against a request that fails
// since its dispatcher, which has not taken it, closes the link at the end of its stop.
func TestRequestThatCrossesTheEndOfItsDispatcherIsNotRun(t *testing.T) {
	for _, test := range []struct {
		name, closeReason string
		want              oriole.Outcome
	}{
		{"all taken requests were answered", closeFinished, oriole.OutcomeNotRun},
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

// TestLinkTellsWhetherAllRequestsWereAnswered guards against a dispatcher that tells a peer
// that it has answered all that it has taken while a request is still under way.
func TestLinkTellsWhetherAllRequestsWereAnswered(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool
		want     string
	}{
		{"answered", true, closeFinished},
		{"under way", false, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			links, member, receiver := startLinks(t, "dispatcher.1")
			conn := dialRaw(t, member, "forwarder.1")
			writeRequest(t, conn)
			reply := <-receiver.replies
			if test.answered {
				reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			finished := make(chan error, 1)
			go func() { finished <- links.Finish(ctx) }()
			var err error
			for err == nil {
				_, err = readRaw(context.Background(), conn)
			}
			var closed websocket.CloseError
			is.True(errors.As(err, &closed))
			is.Equal(closed.Reason, test.want)
			<-finished
		})
	}
}

// TestRequestAfterTheLastResponseIsNotTaken guards against a request that is passed on after
// its peer was told that all were answered.
func TestRequestAfterTheLastResponseIsNotTaken(t *testing.T) {
	is := is.New(t)
	links, _, receiver := startLinks(t, "dispatcher.1")
	l := newLink("forwarder.1", dialRaw(t, links.cfg.Self, "forwarder.1"), new(oriolesocket.Conn), nil, nil)
	is.True(l.finish())
	request := oriolemessage.FromRequest(1, oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Deadline: time.Now().Add(time.Minute)}, time.Now())
	links.handleRequest(context.Background(), l, request, 0)
	is.Equal(len(receiver.replies), 0)
	out, err := l.out.Take(context.Background())
	is.NoErr(err)
	is.True(out.frame.Response != nil)
}
