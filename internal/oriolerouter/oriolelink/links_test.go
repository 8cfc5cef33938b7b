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
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// frameReceiver implements Receiver and passes on the frames of its peers, and
// the reply functions of their requests.
type frameReceiver struct {
	frames  chan *oriolemessage.Frame
	replies chan func(oriole.Response)
}

func (frameReceiver) HandlePeer(context.Context, oriole.Member)                       {}
func (frameReceiver) HandleLiveness(context.Context, map[oriole.GatewayID]bool, bool) {}
func (frameReceiver) Heartbeat() *oriolemessage.Heartbeat                             { return &oriolemessage.Heartbeat{} }

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
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = timers.Serve(ctx) }()
	links, self := startLinksWith(t, id, receiver, timers)
	return links, self, receiver
}

// startLinksWith is like startLinks, with the receiver and the timers.
func startLinksWith(t *testing.T, id oriole.GatewayID, receiver Receiver, timers oriole.Timers) (*Links, oriole.Member) {
	t.Helper()
	cfg := Config{
		Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()}, Clock: &orioletelemetry.LogicalClock{},
		BootClock: timers,
		Timers:    timers, Receiver: receiver,
	}
	server := httptest.NewUnstartedServer(nil)
	cfg.Self = oriole.Member{ID: id, VM: string(id), Zone: "z", PeerAddr: netip.MustParseAddrPort(server.Listener.Addr().String()), Weight: 1}
	links := New(cfg, suture.Spec{EventHook: func(suture.Event) {}})
	server.Config.Handler = links
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := links.ServeBackground(ctx)
	t.Cleanup(func() {
		cancel()
		<-done
		server.CloseClientConnections()
		server.Close()
	})
	return links, cfg.Self
}

// drainingReceiver is the receiver of a gateway that drains. It passes on the
// members that open links.
type drainingReceiver struct {
	frameReceiver
	members chan oriole.Member
}

func (drainingReceiver) Heartbeat() *oriolemessage.Heartbeat {
	return &oriolemessage.Heartbeat{Draining: true}
}

func (r drainingReceiver) HandlePeer(_ context.Context, m oriole.Member) { r.members <- m }

// noTicks are timers that never tick, so that no periodic heartbeat is sent.
type noTicks struct{}

func (noTicks) Now() time.Time                                     { return time.Now() }
func (noTicks) Subscribe(time.Duration) (<-chan time.Time, func()) { return nil, func() {} }

// TestNewLinkTellsOfDrain guards against a gateway that has just connected to one
// which drains, and sends it requests until the next periodic heartbeat.
func TestNewLinkTellsOfDrain(t *testing.T) {
	is := is.New(t)
	receiver := drainingReceiver{members: make(chan oriole.Member, 1)}
	_, member := startLinksWith(t, "draining.1", receiver, noTicks{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	frame, err := readRaw(ctx, dialRaw(t, member, "other.1"))
	is.NoErr(err)
	is.True(frame.Heartbeat != nil && frame.Heartbeat.Draining) // on a link that it accepts
	<-receiver.members

	peer := drainingReceiver{members: make(chan oriole.Member, 1)}
	_, peerMember := startLinksWith(t, "peer.1", peer, noTicks{})
	draining, _ := startLinksWith(t, "draining.2", receiver, noTicks{})
	draining.SetMembers(nil, map[oriole.GatewayID]oriole.Member{peerMember.ID: peerMember})
	is.True((<-peer.members).Draining) // on a link that it opens
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

// awaitReachable waits until requests can be forwarded to the peer, or for 5 s.
func awaitReachable(links *Links, peer oriole.GatewayID) {
	for range 500 {
		if links.Reachable(peer) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// forwardIdempotent starts an idempotent request to a dispatcher, and returns the
// function that answers it, and the response.
func forwardIdempotent(t *testing.T, forwarder *Links, dispatcher oriole.Member, receiver frameReceiver) (func(oriole.Response), <-chan oriole.Response) {
	t.Helper()
	awaitReachable(forwarder, dispatcher.ID)
	responses := make(chan oriole.Response, 1)
	go func() {
		request := oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Idempotent: true, Deadline: time.Now().Add(time.Minute)}
		responses <- forwarder.Forward(context.Background(), dispatcher.ID, request)
	}()
	select {
	case reply := <-receiver.replies:
		return reply, responses
	case resp := <-responses:
		t.Fatal(resp.Reason)
		return nil, nil
	}
}

// TestWithdrawnDispatcherKeepsIdempotentRequests guards against giving up the requests
// that run at a gateway which drains, once the directory no longer lists it.
func TestWithdrawnDispatcherKeepsIdempotentRequests(t *testing.T) {
	is := is.New(t)
	_, dispatcherMember, dispatcherReceiver := startLinks(t, "dispatcher.1")
	forwarder, forwarderMember, _ := startLinks(t, "forwarder.1")
	wanted := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember}
	forwarder.SetMembers(map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember, forwarderMember.ID: forwarderMember}, wanted)
	reply, responses := forwardIdempotent(t, forwarder, dispatcherMember, dispatcherReceiver)

	forwarder.SetMembers(map[oriole.GatewayID]oriole.Member{forwarderMember.ID: forwarderMember}, nil)
	forwarder.tick(time.Now())
	forwarder.failUnresponsive(time.Now())
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	is.Equal((<-responses).Outcome, oriole.OutcomeAnswered)
}

// TestPausedForwarderKeepsIdempotentRequests guards against giving up requests after
// a pause of this gateway, although the responses wait in its sockets.
func TestPausedForwarderKeepsIdempotentRequests(t *testing.T) {
	is := is.New(t)
	_, dispatcherMember, dispatcherReceiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{dispatcherMember.ID: dispatcherMember}
	forwarder.SetMembers(members, members)
	reply, responses := forwardIdempotent(t, forwarder, dispatcherMember, dispatcherReceiver)

	forwarder.tick(time.Now())
	resumed := time.Now().Add(5 * time.Second)
	forwarder.tick(resumed)
	forwarder.failUnresponsive(resumed)
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

// dialRaw opens a link as a gateway would, and returns its connection.
func dialRaw(t *testing.T, to oriole.Member, self oriole.GatewayID) *websocket.Conn {
	t.Helper()
	conn, _, err := websocket.Dial(context.Background(), "ws://"+to.PeerAddr.String()+Path, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.CloseNow() })
	conn.SetReadLimit(oriolemessage.MaxFrameSize)
	writeRaw(t, conn, &oriolemessage.Frame{Hello: oriolemessage.FromMember(oriole.Member{
		ID: self, VM: string(self), Zone: "z", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"), Weight: 1,
	})})
	return conn
}

func writeRaw(t *testing.T, conn *websocket.Conn, frame *oriolemessage.Frame) {
	t.Helper()
	data, err := oriolemessage.Encode(frame)
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Write(context.Background(), websocket.MessageBinary, data); err != nil {
		t.Fatal(err)
	}
}

// readRaw reads one frame.
func readRaw(ctx context.Context, conn *websocket.Conn) (frame oriolemessage.Frame, err error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return frame, err
	}
	return oriolemessage.Decode[oriolemessage.Frame](data)
}

// TestFinishWaitsForQueuedResponses guards against an exit of the process while the
// response to a request that has run is still queued on a link.
func TestFinishWaitsForQueuedResponses(t *testing.T) {
	is := is.New(t)
	links, member, receiver := startLinks(t, "dispatcher.1")
	conn := dialRaw(t, member, "forwarder.1")
	writeRequest(t, conn)
	reply := <-receiver.replies
	is.Equal(links.unanswered(), int64(1))
	// The response exceeds the buffers of the connection, which nobody reads yet.
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: make([]byte, maxBodySize)})
	is.Equal(links.unanswered(), int64(1))
	finished := make(chan error, 1)
	go func() { finished <- links.Finish(context.Background()) }()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	size := 0
	for answered := false; !answered; {
		frame, err := readRaw(ctx, conn)
		is.NoErr(err)
		if frame.Part != nil {
			size += len(frame.Part.Body)
		}
		if frame.Response != nil {
			size += len(frame.Response.Body)
			answered = true
		}
	}
	is.Equal(size, maxBodySize)
	var err error
	for err == nil { // heartbeats may follow
		_, err = readRaw(ctx, conn)
	}
	is.Equal(websocket.CloseStatus(err), websocket.StatusGoingAway) // not a connection that broke off
	is.NoErr(<-finished)
}

// TestFinishWaitsForResponsesOnTheirWay guards against an exit of the process while a
// response is on its way to a peer that takes longer to read it than closeTimeout, as one
// behind a slow network does: the peer's next frame would reset the connection.
func TestFinishWaitsForResponsesOnTheirWay(t *testing.T) {
	is := is.New(t)
	links, member, receiver := startLinks(t, "dispatcher.1")
	conn := dialRaw(t, member, "forwarder.1")
	writeRequest(t, conn)
	reply := <-receiver.replies
	// The response fits into the buffers of the connection.
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: make([]byte, 32<<10)})
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	finished := make(chan error, 1)
	go func() { finished <- links.Finish(ctx) }()
	select {
	case <-finished:
		t.Fatal("the process may exit while a response is on its way")
	case <-time.After(2 * closeTimeout):
	}
	answered := false
	var err error
	for err == nil {
		var frame oriolemessage.Frame
		frame, err = readRaw(ctx, conn)
		answered = answered || frame.Response != nil
	}
	is.True(answered)
	is.Equal(websocket.CloseStatus(err), websocket.StatusGoingAway)
	is.NoErr(<-finished)
}

// TestFinishGivesUpOnSilentPeers guards against a stop that waits until its end for peers
// that have failed.
func TestFinishGivesUpOnSilentPeers(t *testing.T) {
	is := is.New(t)
	links, member, receiver := startLinks(t, "dispatcher.1")
	conn := dialRaw(t, member, "forwarder.1")
	writeRequest(t, conn)
	(<-receiver.replies)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	time.Sleep(orioleliveness.SilenceTimeout + 100*time.Millisecond) // the peer sends nothing
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	is.NoErr(links.Finish(ctx))
	is.True(time.Since(begin) < 10*closeTimeout)
}

// writeRequest forwards a request over the connection.
func writeRequest(t *testing.T, conn *websocket.Conn) {
	t.Helper()
	writeRaw(t, conn, &oriolemessage.Frame{Request: oriolemessage.FromRequest(1, oriole.Request{
		ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Deadline: time.Now().Add(time.Minute),
	}, time.Now())})
}

// TestFinishIgnoresEndedLinks checks that a gateway which stops does not wait for
// the requests of a peer that is gone.
func TestFinishIgnoresEndedLinks(t *testing.T) {
	is := is.New(t)
	links, member, receiver := startLinks(t, "dispatcher.1")
	conn := dialRaw(t, member, "forwarder.1")
	writeRequest(t, conn)
	<-receiver.replies
	is.NoErr(conn.CloseNow())
	is.NoErr(links.Finish(context.Background()))
}

// TestFinishClosesLinksWhenRequestsRemain guards against a stop that breaks off all
// links because the response to one request does not come.
func TestFinishClosesLinksWhenRequestsRemain(t *testing.T) {
	is := is.New(t)
	links, member, receiver := startLinks(t, "dispatcher.1")
	conn := dialRaw(t, member, "forwarder.1")
	writeRequest(t, conn)
	<-receiver.replies
	finishCtx, cancel := context.WithTimeout(context.Background(), 2*oriolestop.CloseTimeout)
	defer cancel()
	is.True(links.Finish(finishCtx) != nil) // it reports the request
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var err error
	for err == nil {
		_, err = readRaw(ctx, conn)
	}
	is.Equal(websocket.CloseStatus(err), websocket.StatusGoingAway)
}
