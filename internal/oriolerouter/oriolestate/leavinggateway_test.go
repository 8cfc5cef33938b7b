package oriolestate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestWithdrawnGatewayIsForgotten guards against forgetting a gateway that still answers as it has left the directory, and against remembering one that has ended.
func TestWithdrawnGatewayIsForgotten(t *testing.T) {
	peer := oriole.Member{ID: oriole.NewGatewayID("peer", time.Unix(1, 0)), VM: "peer", Zone: "z"}
	next := oriole.Member{ID: oriole.NewGatewayID("peer", time.Unix(2, 0)), VM: "peer", Zone: "z"}
	draining := peer
	draining.Draining = true
	entry := func(m oriole.Member) []oriole.Change[oriole.Member] {
		return []oriole.Change[oriole.Member]{{Name: m.VM, Value: m}}
	}
	removed := []oriole.Change[oriole.Member]{{Name: peer.VM, Removed: true}}
	for _, test := range []struct {
		name    string
		updates []update
		want    bool
	}{
		{"runs", []update{}, false},
		{"drains", []update{peerUpdate{draining}}, true},
		{"drains, then withdrawn", []update{peerUpdate{draining}, newGatewayUpdate(false, removed)}, true},
		{"withdrawn first", []update{newGatewayUpdate(false, removed), peerUpdate{draining}}, true},
		{"not in a new list", []update{newGatewayUpdate(true, nil)}, true},
		{"entry lost and written again", []update{newGatewayUpdate(false, removed), newGatewayUpdate(false, entry(peer))}, false},
		{"entry listed again although it drains", []update{peerUpdate{draining}, newGatewayUpdate(false, removed), newGatewayUpdate(false, entry(peer))}, true},
		{"replaced in the directory", []update{newGatewayUpdate(false, removed), newGatewayUpdate(false, entry(next))}, false},
		{"replaced at once", []update{newGatewayUpdate(false, entry(next))}, false},
		{"replaced by one that has opened a link", []update{peerUpdate{draining}, newGatewayUpdate(false, removed), peerUpdate{next}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			r := newRestoredTracker()
			r.apply(newGatewayUpdate(true, entry(peer)))
			since := r.clock.now
			r.apply(test.updates...)
			leaving, found := r.state.Leaving[peer.ID]
			is.Equal(found, test.want)
			if !test.want {
				return
			}
			is.Equal(leaving, oriole.LeavingGateway{Member: draining, Since: since})
			for _, m := range r.state.LiveMembers() {
				is.True(m.ID != peer.ID) // it takes part in nothing else
			}
			r.after(leftRetention)
			r.apply(newGatewayUpdate(false, nil))
			_, found = r.state.Leaving[peer.ID]
			is.True(found)
			r.after(1)
			r.apply(newGatewayUpdate(false, nil))
			_, found = r.state.Leaving[peer.ID]
			is.True(!found)
		})
	}
}
