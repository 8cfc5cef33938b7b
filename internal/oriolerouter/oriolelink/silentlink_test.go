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

// openLinks returns the number of links with the peer that the gateway has opened.
func openLinks(p *Links, peer oriole.GatewayID) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.opened {
		if l.peer == peer {
			n++
		}
	}
	return n
}

// replacedLinks returns how many links the gateway has replaced.
func replacedLinks(p *Links) int64 { return p.cfg.Metrics.Value("links_replaced") }

// answer answers the requests that arrive.
func answer(receiver frameReceiver) {
	for reply := range receiver.replies {
		reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	}
}

// TestSilentLinkIsReplaced guards against gateways that do not hear each other for as long as
// the system keeps a connection which the network has forgotten, while new ones work.
func TestSilentLinkIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, dispatcher, receiver := startLinks(t, "dispatcher.1")
	go answer(receiver)
	forwarder, _, _ := startLinks(t, "forwarder.1")
	r := linkOver(t, startRelay(t, dispatcher.PeerAddr, 0), forwarder, dispatcher)
	is.Equal((<-forwardSlowly(forwarder, dispatcher.ID, true, nil)).Status, 200)

	r.silence(t, true)
	is.True(await(func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		return forwarder.Forward(ctx, dispatcher.ID, oriole.Request{ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "GET", Deadline: time.Now().Add(time.Minute)}).Status == 200
	}))
	is.Equal(replacedLinks(forwarder), int64(1))
	is.True(await(func() bool { return openLinks(forwarder, dispatcher.ID) == 1 })) // the silent one has ended
}

// TestSilentLinkKeepsRequests guards against giving up what a peer runs when its link is
// replaced: the network may only have been slow.
func TestSilentLinkKeepsRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, dispatcher, receiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	r := linkOver(t, startRelay(t, dispatcher.PeerAddr, 0), forwarder, dispatcher)
	waiting := forwardSlowly(forwarder, dispatcher.ID, false, nil)
	reply := nextReply(t, receiver, waiting)

	r.silence(t, true)
	is.True(await(func() bool { return replacedLinks(forwarder) == 1 }))
	is.True(await(func() bool { return forwarder.Reachable(dispatcher.ID) }))
	is.Equal(openLinks(forwarder, dispatcher.ID), 2)
	next := forwardSlowly(forwarder, dispatcher.ID, false, nil)
	nextReply(t, receiver, next)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 201})
	is.Equal((<-next).Status, 201)

	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	r.silence(t, false)
	is.Equal((<-waiting).Status, 200)
	is.True(await(func() bool { return openLinks(forwarder, dispatcher.ID) == 1 }))
}

// TestSilentLinkOutlivesPartition guards against a link that ends although no other can be
// opened: the peer may be suspended, or the network between the two interrupted.
func TestSilentLinkOutlivesPartition(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, dispatcher, receiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	r := linkOver(t, startRelay(t, dispatcher.PeerAddr, 0), forwarder, dispatcher)
	waiting := forwardSlowly(forwarder, dispatcher.ID, false, nil)
	reply := nextReply(t, receiver, waiting)

	is.NoErr(r.listener.Close())
	r.silence(t, true)
	is.True(await(func() bool { return forwarder.cfg.Metrics.Value("link_dials_failed") >= 3 }))
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	r.silence(t, false)
	is.Equal((<-waiting).Status, 200)
	is.True(await(func() bool { return forwarder.Reachable(dispatcher.ID) }))
	is.Equal(replacedLinks(forwarder), int64(0))
	is.Equal(openLinks(forwarder, dispatcher.ID), 1)
}

// TestNarrowLinkIsNotReplaced guards against taking a link for silent on which a frame takes
// longer than silentTimeout.
func TestNarrowLinkIsNotReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, dispatcher, receiver := startLinks(t, "dispatcher.1")
	go answer(receiver)
	forwarder, _, _ := startLinks(t, "forwarder.1")
	linkOverRelay(t, forwarder, dispatcher)
	for range 3 {
		is.Equal((<-forwardSlowly(forwarder, dispatcher.ID, false, testBody(partSize))).Status, 200)
	}
	is.Equal(replacedLinks(forwarder), int64(0))
}

// TestLinkToPeerWithoutProcessorIsNotReplaced guards against taking a link for silent whose
// peer does not get to read or to write.
func TestLinkToPeerWithoutProcessorIsNotReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	accepted := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := websocket.Accept(w, r, nil)
		if err != nil {
			return
		}
		accepted <- struct{}{}
		<-r.Context().Done()
		_ = conn.CloseNow()
	}))
	defer server.CloseClientConnections()
	peer := oriole.Member{ID: "busy.1", VM: "busy", Zone: "z", PeerAddr: netip.MustParseAddrPort(server.Listener.Addr().String()), Weight: 1}
	forwarder, _, _ := startLinks(t, "forwarder.1")
	members := map[oriole.GatewayID]oriole.Member{peer.ID: peer}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, peer.ID)
	<-accepted
	forwardSlowly(forwarder, peer.ID, false, nil)
	l := forwarder.onePerPeer()[0]
	written := l.socket.Written()
	// Heartbeats are written all the time, and none is read.
	is.True(await(func() bool { return time.Since(l.socket.ReadAt()) > 4*silentTimeout }))
	is.True(l.socket.Written() > written)
	is.Equal(replacedLinks(forwarder), int64(0))
	is.Equal(len(accepted), 0)
}

// TestUnusedSilentLinkOfPeerEnds guards against links that peers have opened and replaced, on
// which this gateway writes nothing, so that it would not learn of their end.
func TestUnusedSilentLinkOfPeerEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dispatcher, member, receiver := startLinks(t, "dispatcher.1")
	conn := dialRaw(t, member, "forwarder.1")
	writeRequest(t, conn)
	reply := <-receiver.replies
	accepted := func() []*link { return dispatcher.onePerPeer() }
	is.True(await(func() bool { return len(accepted()) == 1 }))
	l := accepted()[0]
	l.endIfUnused(time.Now().Add(unusedTimeout), false)
	is.True(!l.closed) // a request runs
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	is.True(await(func() bool { return l.unanswered.Load() == 0 && !l.hasRunning() }))
	l.endIfUnused(time.Now().Add(unusedTimeout/2), false)
	is.True(!l.closed) // the peer may be heard again
	l.endIfUnused(time.Now().Add(unusedTimeout), false)
	is.True(await(func() bool { return len(accepted()) == 0 }))
	is.Equal(l.forward(context.Background(), oriole.Request{ID: "r", Deadline: time.Now().Add(time.Second)}, time.Now(), time.Now()).Outcome, oriole.OutcomeNotRun)
}
