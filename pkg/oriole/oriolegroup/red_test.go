//go:build red

package oriolegroup

import (
	"testing"
	"time"
)

// TestRedKeeperAndServerLossWithoutStore is listed in KNOWN-RED.txt.
func TestRedKeeperAndServerLossWithoutStore(t *testing.T) {
	w := newWorld(0, 4, 3, testSlices)
	w.timing.Alone = time.Hour
	for _, g := range w.gateways {
		w.newMachine(g, false)
	}
	w.membersChanged()
	w.runUntil(4 * time.Second)
	w.inject("store-down", 0)
	w.runUntil(w.now + time.Second)
	w.inject("keeper-crash", 0)
	w.inject("server-crash", 1)
	if took := w.timeUnserved(3 * time.Second); took > time.Second {
		t.Fatalf("unserved for %v, bound %v", took, time.Second)
	}
}
