package oriolerouter

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/platform"
)

// TestWantedLinks checks that a gateway keeps links with the dispatchers, also
// with those that are lost, and with the leaders; in a small cluster with all.
func TestWantedLinks(t *testing.T) {
	is := is.New(t)
	state := oriole.NewClusterState()
	alive := make(map[oriole.GatewayID]bool)
	for i := range 30 {
		m := oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("vm%d.1", i)), Zone: oriole.ZoneName(fmt.Sprintf("z%d", i%2)), Weight: 0.16}
		if i < 8 {
			m.Weight = 0.8
		}
		state.EditGateways()[m.ID] = m
		alive[m.ID] = true
	}
	state.SetAlive(alive)
	is.Equal(len(wantedLinks(state)), 8)

	delete(alive, "vm0.1")
	state.SetAssignment(&oriole.Assignment{Service: "s", Leader: "vm20.1"}, state.ConfigAt)
	wanted := wantedLinks(state)
	is.Equal(len(wanted), 9)
	is.Equal(wanted["vm0.1"].Weight, 0.8)
	is.Equal(wanted["vm20.1"].Weight, 0.16)

	for i := 12; i < 30; i++ {
		delete(state.EditGateways(), oriole.GatewayID(fmt.Sprintf("vm%d.1", i)))
	}
	is.Equal(len(wantedLinks(state)), 12)
}

// TestPeersLearnOfDrainFirst guards against a gateway that refuses requests while a full
// ring of its leader keeps it from telling its peers that it drains.
func TestPeersLearnOfDrainFirst(t *testing.T) {
	is := is.New(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	directory, closeDirectory := platform.New(loopback, func(string, string, error) {})
	defer closeDirectory()
	r, cleanup, err := New(Settings{
		VM: "vm", Zone: "z", GracePeriod: 6 * time.Second,
		CallerAddr: loopback, ReadinessAddr: loopback, PeerAddr: loopback, AdminAddr: loopback,
	}, Platform{Directory: directory}, &log.Logger{Handler: discard.New()})
	is.NoErr(err)
	defer cleanup()
	server := httptest.NewServer(r.links)
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	peer, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http"), nil)
	is.NoErr(err)
	defer func() { _ = peer.CloseNow() }()
	hello, err := oriolemessage.Encode(&oriolemessage.Frame{Hello: oriolemessage.FromMember(oriole.Member{
		ID: "peer.1", VM: "peer", Zone: "z", PeerAddr: netip.MustParseAddrPort("127.0.0.1:1"), Weight: 1,
	})})
	is.NoErr(err)
	is.NoErr(peer.Write(ctx, websocket.MessageBinary, hello))
	// next reads a heartbeat.
	next := func() *oriolemessage.Heartbeat {
		_, data, err := peer.Read(ctx)
		is.NoErr(err)
		frame, err := oriolemessage.Decode[oriolemessage.Frame](data)
		is.NoErr(err)
		return frame.Heartbeat
	}
	is.True(!next().Draining)
	// No duty runs, so that nothing takes from the ring.
	fillCtx, cancelFill := context.WithTimeout(ctx, time.Second)
	defer cancelFill()
	for fillCtx.Err() == nil {
		r.leader.PeerReachedStore(fillCtx, 0)
	}
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		_ = r.Drain(ctx)
	}()
	is.True(next().Draining)
	cancel()
	<-drained
}
