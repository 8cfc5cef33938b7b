package oriolelink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestReplacedLinkToPeerThatTakesNothingEnds guards against a link that stays open although
// its peer takes nothing, because another link was opened when the peer was listed again.
func TestReplacedLinkToPeerThatTakesNothingEnds(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, dispatcher, _ := startLinks(t, "dispatcher.1")
	forwarder, _, _ := startLinks(t, "forwarder.1")
	r := startRelay(t, dispatcher.PeerAddr, smallSendBuffer)
	dispatcher.PeerAddr = r.addr
	members := map[oriole.GatewayID]oriole.Member{dispatcher.ID: dispatcher}
	forwarder.SetMembers(members, members)
	awaitReachable(forwarder, dispatcher.ID)
	replaced := forwarder.onePerPeer()[0]
	forwarder.SetMembers(nil, nil)
	forwarder.SetMembers(members, members)
	is.True(await(func() bool { return forwarder.onePerPeer()[0] != replaced }))
	r.stop()
	is.True(replaced.out.Offer(&outgoing{frame: &oriolemessage.Frame{Part: &oriolemessage.Part{Number: 1, Body: testBody(partSize)}}}))
	begun := time.Now()
	is.True(await(func() bool {
		replaced.mu.Lock()
		defer replaced.mu.Unlock()
		return replaced.closed
	}))
	t.Logf("ended after %v", time.Since(begun).Round(10*time.Millisecond))
}
