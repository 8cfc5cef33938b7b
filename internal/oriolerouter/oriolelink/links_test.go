package oriolelink

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/coder/websocket"
	"github.com/matryer/is"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// frameReceiver implements Receiver and passes on the frames of its peers, and
// the reply functions of their requests.
type frameReceiver struct {
	frames  chan *oriolemessage.Frame
	replies chan func(oriole.Response)
}

func (frameReceiver) HandlePeer(context.Context, oriole.Member)                 {}
func (frameReceiver) HandleLiveness(context.Context, map[oriole.GatewayID]bool) {}
func (frameReceiver) Heartbeat() *oriolemessage.Heartbeat                       { return &oriolemessage.Heartbeat{} }

func (r frameReceiver) HandleRequest(_ context.Context, _ oriole.Request, reply func(oriole.Response)) {
	r.replies <- reply
}

func (r frameReceiver) HandleFrame(_ context.Context, _ oriole.GatewayID, frame *oriolemessage.Frame) {
	if frame.Suspect != nil || frame.Departure != nil {
		r.frames <- frame
	}
}

// startLinks starts the links of a gateway that peers can dial.
func startLinks(t *testing.T, id oriole.GatewayID) (*Links, oriole.Member, frameReceiver) {
	t.Helper()
	receiver := frameReceiver{make(chan *oriolemessage.Frame, 16), make(chan func(oriole.Response), 16)}
	timers := orioletimer.New()
	cfg := Config{
		Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()}, Clock: &orioletelemetry.LogicalClock{},
		Timers: timers, Receiver: receiver,
	}
	server := httptest.NewUnstartedServer(nil)
	cfg.Self = oriole.Member{ID: id, VM: string(id), Zone: "z", PeerAddr: netip.MustParseAddrPort(server.Listener.Addr().String()), Weight: 1}
	links := New(cfg, suture.Spec{EventHook: func(suture.Event) {}})
	server.Config.Handler = links
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := links.ServeBackground(ctx)
	go func() { _ = timers.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return links, cfg.Self, receiver
}

// TestFramesUseAcceptedLinks checks that a gateway reaches peers that it keeps no
// link with over the links that they keep with it, once each, and that the two
// directions of a pair count as one link for a broadcast.
func TestFramesUseAcceptedLinks(t *testing.T) {
	is := is.New(t)
	dispatcher, dispatcherMember, _ := startLinks(t, "dispatcher.1")
	other, otherMember, otherReceiver := startLinks(t, "dispatcher.2")
	forwarder, forwarderMember, forwarderReceiver := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{
		dispatcherMember.ID: dispatcherMember, otherMember.ID: otherMember, forwarderMember.ID: forwarderMember,
	}
	wanted := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember, otherMember.ID: otherMember}
	for _, l := range []*Links{dispatcher, other, forwarder} {
		l.SetMembers(members, wanted)
	}
	for range 500 {
		if len(dispatcher.onePerPeer()) == 2 && len(forwarder.onePerPeer()) == 2 && dispatcher.linkCount() == 3 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(len(forwarder.onePerPeer()), 2)
	is.Equal(dispatcher.linkCount(), 3) // both ways with the other dispatcher, one with the forwarder

	dispatcher.Broadcast(&oriolemessage.Frame{Suspect: oriolemessage.FromSuspect("broadcast", oriole.Incarnation{ID: "i"})})
	is.True(dispatcher.Send(forwarderMember.ID, &oriolemessage.Frame{Suspect: oriolemessage.FromSuspect("sent", oriole.Incarnation{ID: "i"})}))
	is.Equal((<-forwarderReceiver.frames).Suspect.Service, "broadcast")
	is.Equal((<-forwarderReceiver.frames).Suspect.Service, "sent")
	is.Equal((<-otherReceiver.frames).Suspect.Service, "broadcast")
	is.Equal(len(forwarderReceiver.frames)+len(otherReceiver.frames), 0)
	is.True(!dispatcher.Reachable(forwarderMember.ID)) // requests go to dispatchers only
	is.True(forwarder.Reachable(dispatcherMember.ID))
}

// TestWithdrawnDispatcherKeepsIdempotentRequests guards against giving up the requests
// that run at a gateway which drains, once the directory no longer lists it.
func TestWithdrawnDispatcherKeepsIdempotentRequests(t *testing.T) {
	is := is.New(t)
	_, dispatcherMember, dispatcherReceiver := startLinks(t, "dispatcher.1")
	forwarder, forwarderMember, _ := startLinks(t, "forwarder.1")
	wanted := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember}
	forwarder.SetMembers(map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember, forwarderMember.ID: forwarderMember}, wanted)
	for range 500 {
		if forwarder.Reachable(dispatcherMember.ID) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	responses := make(chan oriole.Response, 1)
	go func() {
		request := oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Idempotent: true, Deadline: time.Now().Add(time.Minute)}
		responses <- forwarder.Forward(context.Background(), dispatcherMember.ID, request)
	}()
	var reply func(oriole.Response)
	select {
	case reply = <-dispatcherReceiver.replies:
	case resp := <-responses:
		t.Fatal(resp.Reason)
	}

	forwarder.SetMembers(map[oriole.GatewayID]oriole.Member{forwarderMember.ID: forwarderMember}, nil)
	forwarder.tick(time.Now())
	forwarder.failUnresponsive(time.Now())
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	is.Equal((<-responses).Outcome, oriole.OutcomeAnswered)
}

func (p *Links) linkCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links) + len(p.accepted)
}

// TestSilentLinkIsClosed checks that a connection on which no first frame arrives
// is closed.
func TestSilentLinkIsClosed(t *testing.T) {
	is := is.New(t)
	_, member, _ := startLinks(t, "vm.1")
	conn, _, err := websocket.Dial(context.Background(), "ws://"+member.PeerAddr.String()+Path, nil)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*helloTimeout)
	defer cancel()
	_, _, err = conn.Read(ctx)
	is.True(err != nil)
	is.NoErr(ctx.Err())
}
