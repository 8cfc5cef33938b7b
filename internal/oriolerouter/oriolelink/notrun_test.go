package oriolelink

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// A request may have run once its frame is handed to the connection, and not
// before; a frame whose caller was told so must not be written any more.
func TestOnlyUnwrittenRequestIsNotRun(t *testing.T) {
	_, member, _ := startLinks(t, "vm.1")
	for _, test := range []struct {
		name    string
		written bool
		// end ends the link or the caller's context.
		end    func(l *link, cancel context.CancelFunc)
		want   oriole.Outcome
		reason oriole.Reason
	}{
		{"link ends, written", true, func(l *link, _ context.CancelFunc) { l.failPending(false) }, oriole.OutcomeUnknown, oriole.ReasonConnection},
		{"link ends, not written", false, func(l *link, _ context.CancelFunc) { l.failPending(false) }, oriole.OutcomeNotRun, oriole.ReasonNotDispatcher},
		{"caller leaves, written", true, func(_ *link, cancel context.CancelFunc) { cancel() }, oriole.OutcomeUnknown, oriole.ReasonCancelled},
		{"caller leaves, not written", false, func(_ *link, cancel context.CancelFunc) { cancel() }, oriole.OutcomeNotRun, oriole.ReasonCancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conn, _, err := websocket.Dial(context.Background(), "ws://"+member.PeerAddr.String()+Path, nil)
			is.NoErr(err)
			defer func() { _ = conn.CloseNow() }()
			l := newLink("vm.1", conn, new(oriolesocket.Conn), nil, nil)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			responses := make(chan oriole.Response, 1)
			go func() {
				responses <- l.forward(ctx, oriole.Request{ID: "r", Body: make([]byte, 2*partSize)}, time.Now(), time.Now())
			}()
			var request *oriolemessage.Request
			for request == nil {
				out, err := l.out.Take(context.Background())
				is.NoErr(err)
				request = out.frame.Request
			}
			if test.written {
				is.True(l.markWritten(request.Number))
			}
			test.end(l, cancel)
			resp := <-responses
			is.Equal(resp.Outcome, test.want)
			is.Equal(resp.Reason, test.reason)
			is.True(!l.markWritten(request.Number))
		})
	}
}

// A request that runs at a peer must not be reported as not run when the
// connection to the peer breaks.
func TestRequestAtPeerIsUnknownWhenLinkBreaks(t *testing.T) {
	is := is.New(t)
	dispatcher, dispatcherMember, dispatcherReceiver := startLinks(t, "dispatcher.1")
	forwarder, forwarderMember, _ := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember, forwarderMember.ID: forwarderMember}
	forwarder.SetMembers(members, map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember})
	awaitReachable(forwarder, dispatcherMember.ID)
	responses := make(chan oriole.Response, 1)
	go func() {
		request := oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Deadline: time.Now().Add(time.Minute)}
		responses <- forwarder.Forward(context.Background(), dispatcherMember.ID, request)
	}()
	var reply func(oriole.Response)
	select {
	case reply = <-dispatcherReceiver.replies:
	case resp := <-responses:
		t.Fatal(resp.Reason)
	}
	for _, l := range dispatcher.onePerPeer() {
		_ = l.conn.CloseNow()
	}
	is.Equal((<-responses).Outcome, oriole.OutcomeUnknown)
	reply(oriole.NotRunResponse(oriole.ReasonShed)) // too late
}
