package oriolelink

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

// slowTimeout bounds the wait for what passes through a relay.
const slowTimeout = 30 * time.Second

// linkOverRelay opens a link from the forwarder to the dispatcher over a relay.
func linkOverRelay(t *testing.T, forwarder *Links, dispatcher oriole.Member) *relay {
	t.Helper()
	return linkOver(t, startRelay(t, dispatcher.PeerAddr, smallSendBuffer), forwarder, dispatcher)
}

// linkOver is like linkOverRelay, with the relay.
func linkOver(t *testing.T, r *relay, forwarder *Links, dispatcher oriole.Member) *relay {
	t.Helper()
	dispatcher.PeerAddr = r.addr
	members := map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, dispatcher.ID)
	return r
}

// forwardSlowly forwards a request and returns the channel of its response.
func forwardSlowly(forwarder *Links, to oriole.GatewayID, idempotent bool, body []byte) <-chan oriole.Response {
	responses := make(chan oriole.Response, 1)
	go func() {
		responses <- forwarder.Forward(context.Background(), to, oriole.Request{
			ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Idempotent: idempotent, Body: body, Deadline: time.Now().Add(time.Minute),
		})
	}()
	return responses
}

// nextReply returns the function that answers the dispatcher's next request, or fails
// the test if the request has ended before.
func nextReply(t *testing.T, receiver frameReceiver, responses <-chan oriole.Response) func(oriole.Response) {
	t.Helper()
	select {
	case reply := <-receiver.replies:
		return reply
	case resp := <-responses:
		t.Fatalf("request ended early: %v, %v", resp.Outcome, resp.Reason)
	case <-time.After(slowTimeout):
		t.Fatal("no request arrived")
	}
	return nil
}

// isHeard reports whether the failure detector hears the peer and counts it as alive.
func isHeard(p *Links, id oriole.GatewayID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveness.HeardRecently(p.cfg.Timers.Now(), id) && p.liveness.Alive(id)
}

// checkHeard checks that the peer is heard until the receiver gets a frame.
func checkHeard(t *testing.T, p *Links, id oriole.GatewayID, receiver frameReceiver) {
	t.Helper()
	ticks := time.NewTicker(20 * time.Millisecond)
	defer ticks.Stop()
	timeout := time.After(slowTimeout)
	for started := time.Now(); ; {
		select {
		case <-ticks.C:
			if !isHeard(p, id) {
				t.Fatalf("%s not heard after %v", id, time.Since(started).Round(10*time.Millisecond))
			}
		case <-receiver.frames:
			return
		case <-timeout:
			t.Fatal("timed out")
		}
	}
}

// TestSlowResponseKeepsRequests guards against a link that ends because a response takes
// longer than writeTimeout, and against giving up the requests that wait behind it.
func TestSlowResponseKeepsRequests(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
	}{{"idempotent", true}, {"not idempotent", false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, dispatcher, receiver := startLinks(t, "dispatcher.1")
			forwarder, _, _ := startLinks(t, "forwarder.1")
			linkOverRelay(t, forwarder, dispatcher)
			slow := forwardSlowly(forwarder, dispatcher.ID, test.idempotent, nil)
			replySlow := nextReply(t, receiver, slow)
			waiting := forwardSlowly(forwarder, dispatcher.ID, test.idempotent, nil)
			replyWaiting := nextReply(t, receiver, waiting)
			body := testBody(partSize)
			replySlow(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: body})
			replyWaiting(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 204})
			resp := <-slow
			is.Equal(resp.Outcome, oriole.OutcomeAnswered)
			is.True(bytes.Equal(resp.Body, body))
			is.Equal((<-waiting).Status, 204)
		})
	}
}

// TestSlowRequestBodyKeepsRequests guards against a link that ends because a request's
// body takes longer than writeTimeout.
func TestSlowRequestBodyKeepsRequests(t *testing.T) {
	for _, test := range []struct {
		name       string
		idempotent bool
	}{{"idempotent", true}, {"not idempotent", false}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, dispatcher, receiver := startLinks(t, "dispatcher.1")
			forwarder, _, _ := startLinks(t, "forwarder.1")
			linkOverRelay(t, forwarder, dispatcher)
			waiting := forwardSlowly(forwarder, dispatcher.ID, test.idempotent, nil)
			replyWaiting := nextReply(t, receiver, waiting)
			slow := forwardSlowly(forwarder, dispatcher.ID, test.idempotent, testBody(partSize))
			replySlow := nextReply(t, receiver, slow)
			replyWaiting(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 204})
			replySlow(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
			is.Equal((<-waiting).Status, 204)
			is.Equal((<-slow).Status, 200)
		})
	}
}

// TestRequestUnderWayOwesNoSignOfLife guards against giving up a request because its peer
// is silent, although the peer has not received the request yet.
func TestRequestUnderWayOwesNoSignOfLife(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	receiver := frameReceiver{make(chan *oriolemessage.Frame, 16), make(chan func(oriole.Response), 16)}
	_, dispatcher := startLinksWith(t, "dispatcher.1", receiver, noTicks{}) // it sends no heartbeats
	forwarder, _, _ := startLinks(t, "forwarder.1")
	linkOverRelay(t, forwarder, dispatcher)
	forwarder.SetMembers(nil, map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher}) // monitors judge it
	responses := forwardSlowly(forwarder, dispatcher.ID, true, testBody(partSize))
	nextReply(t, receiver, responses)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
	is.Equal((<-responses).Status, 200)
}

// TestSilentPeerIsUnresponsive guards against waiting for a peer that has received a
// request and is silent, because its system acknowledges the heartbeats of this gateway.
func TestSilentPeerIsUnresponsive(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	receiver := frameReceiver{make(chan *oriolemessage.Frame, 16), make(chan func(oriole.Response), 16)}
	_, dispatcher := startLinksWith(t, "dispatcher.1", receiver, noTicks{}) // it sends no heartbeats
	forwarder, _, _ := startLinks(t, "forwarder.1")
	forwarder.SetMembers(nil, map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher}) // monitors judge it
	awaitReachable(forwarder, dispatcher.ID)
	responses := forwardSlowly(forwarder, dispatcher.ID, true, nil)
	nextReply(t, receiver, responses)
	started := time.Now()
	is.Equal((<-responses).Reason, oriole.ReasonConnection)
	t.Logf("given up after %v", time.Since(started).Round(10*time.Millisecond))
	is.True(time.Since(started) < 3*orioleliveness.SilenceTimeout)
}

// TestPeerWithSlowFrameIsHeard guards against taking a peer for lost while a large frame
// of it arrives slowly.
func TestPeerWithSlowFrameIsHeard(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	links, member, receiver := startLinks(t, "vm.1")
	member.PeerAddr = startRelay(t, member.PeerAddr, smallSendBuffer).addr
	conn := dialRaw(t, member, "peer.1")
	listPeer(links, "peer.1")
	slow, err := oriolemessage.Encode(&oriolemessage.Frame{Part: &oriolemessage.Part{Number: 1, Body: testBody(partSize)}})
	is.NoErr(err)
	last, err := oriolemessage.Encode(suspectFrame())
	is.NoErr(err)
	go func() {
		// After an error the last frame does not arrive.
		_ = conn.Write(context.Background(), websocket.MessageBinary, slow)
		_ = conn.Write(context.Background(), websocket.MessageBinary, last)
	}()
	checkHeard(t, links, "peer.1", receiver)
}

// suspectFrame returns a frame that a frameReceiver passes on.
func suspectFrame() *oriolemessage.Frame {
	return &oriolemessage.Frame{Suspect: oriolemessage.FromSuspect("s", oriole.Incarnation{ID: "i"})}
}

// listPeer lists the peer as the only other gateway, and waits until it is heard.
func listPeer(links *Links, id oriole.GatewayID) {
	links.SetMembers(map[oriole.GatewayID]oriole.Member{id: {ID: id, VM: string(id), Zone: "z", Weight: 1}}, nil)
	awaitHeard(links, id)
}

// awaitHeard waits until the peer is heard, for 5 s at most.
func awaitHeard(links *Links, id oriole.GatewayID) {
	for range 500 {
		if isHeard(links, id) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestHeartbeatBehindSlowFrameIsNotMissed guards against taking a peer for lost because
// its heartbeats are queued behind a large frame.
func TestHeartbeatBehindSlowFrameIsNotMissed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dispatcher, dispatcherMember, _ := startLinks(t, "dispatcher.1")
	forwarder, forwarderMember, receiver := startLinks(t, "forwarder.1")
	linkOverRelay(t, forwarder, dispatcherMember)
	listPeer(dispatcher, forwarderMember.ID)
	awaitHeard(forwarder, dispatcherMember.ID) // its next tick counts the peer as alive
	is.True(isHeard(forwarder, dispatcherMember.ID))
	is.True(dispatcher.Send(forwarderMember.ID, &oriolemessage.Frame{Part: &oriolemessage.Part{Number: 1, Body: testBody(partSize)}}))
	dispatcher.SendHeartbeat(forwarderMember.ID)
	is.True(dispatcher.Send(forwarderMember.ID, suspectFrame()))
	checkHeard(t, forwarder, dispatcherMember.ID, receiver)
}

// TestHeartbeatsDoNotFillRing guards against requests that are refused because the ring of
// a link is full of heartbeats that wait behind slow frames.
func TestHeartbeatsDoNotFillRing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dispatcher, dispatcherMember, _ := startLinks(t, "dispatcher.1")
	forwarder, forwarderMember, receiver := startLinks(t, "forwarder.1")
	linkOverRelay(t, forwarder, dispatcherMember)
	listPeer(dispatcher, forwarderMember.ID)
	is.True(dispatcher.Send(forwarderMember.ID, &oriolemessage.Frame{Part: &oriolemessage.Part{Number: 1, Body: testBody(partSize)}}))
	is.True(dispatcher.Send(forwarderMember.ID, suspectFrame()))
	links := dispatcher.onePerPeer()
	is.Equal(len(links), 1)
	queued := 0
	for len(receiver.frames) == 0 {
		queued = max(queued, links[0].out.Len())
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d frames queued", queued)
	is.True(queued <= 3) // the second frame, a heartbeat, and one that has changed
}

// TestFinishWaitsWhilePeerTakesBytes guards against an exit of the process while a
// response that was handed to the system is still on its way to a slow peer.
func TestFinishWaitsWhilePeerTakesBytes(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dispatcher, dispatcherMember, receiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	linkOver(t, startRelay(t, dispatcherMember.PeerAddr, 0), forwarder, dispatcherMember)
	responses := forwardSlowly(forwarder, dispatcherMember.ID, false, nil)
	nextReply(t, receiver, responses)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: testBody(partSize)})
	is.NoErr(dispatcher.Finish(context.Background()))
	select {
	case resp := <-responses:
		is.Equal(resp.Status, 200)
	case <-time.After(100 * time.Millisecond):
		t.Fatal("the response has not arrived")
	}
}

// TestFinishLeavesPeerThatTakesNothing guards against a stop that waits for a peer which
// does not read.
func TestFinishLeavesPeerThatTakesNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	dispatcher, dispatcherMember, receiver := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	r := linkOver(t, startRelay(t, dispatcherMember.PeerAddr, 0), forwarder, dispatcherMember)
	responses := forwardSlowly(forwarder, dispatcherMember.ID, false, nil)
	reply := nextReply(t, receiver, responses)
	r.stop()
	reply(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200, Body: testBody(partSize)})
	started := time.Now()
	is.NoErr(dispatcher.Finish(context.Background()))
	t.Logf("finished after %v", time.Since(started).Round(10*time.Millisecond))
	is.True(time.Since(started) < 3*writeTimeout)
}

// TestLinkToPeerThatTakesNothingEnds guards against a link that stays open although its
// peer does not read, or has stopped to read.
func TestLinkToPeerThatTakesNothingEnds(t *testing.T) {
	for _, test := range []struct {
		name  string
		after time.Duration
	}{{"never reads", 0}, {"stops", 500 * time.Millisecond}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, dispatcher, receiver := startLinks(t, "dispatcher.1")
			forwarder, _, _ := startLinks(t, "forwarder.1")
			r := linkOverRelay(t, forwarder, dispatcher)
			waiting := forwardSlowly(forwarder, dispatcher.ID, false, nil)
			nextReply(t, receiver, waiting)
			if test.after == 0 {
				r.stop()
			}
			forwardSlowly(forwarder, dispatcher.ID, false, testBody(partSize))
			if test.after > 0 {
				time.Sleep(test.after)
				r.stop()
			}
			stopped := time.Now()
			resp := <-waiting
			is.Equal(resp.Outcome, oriole.OutcomeUnknown)
			is.Equal(resp.Reason, oriole.ReasonConnection)
			took := time.Since(stopped)
			t.Logf("ended after %v", took.Round(10*time.Millisecond))
			is.True(took < 2*writeTimeout)
		})
	}
}
