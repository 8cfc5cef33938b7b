package orioleassign

import (
	"testing"
	"time"
)

// TestLostOwnerIsWaitedForOnce guards against keys of a lost server that wait for its
// lease anew whenever the leader is replaced.
func TestLostOwnerIsWaitedForOnce(t *testing.T) {
	const (
		absence = 500 * time.Millisecond
		// takeover is the longest time that a takeover may add: until the next leader is
		// elected, and since the last leader stored how long the lease may still run.
		takeover = absence + 2*time.Second
		lease    = 5600 * time.Millisecond
	)
	for _, test := range []struct {
		name  string
		kills []time.Duration
		all   bool
	}{
		{"leader killed", []time.Duration{3 * time.Second}, false},
		{"leader and its successor killed", []time.Duration{2500 * time.Millisecond, 5500 * time.Millisecond}, false},
		{"all gateways killed", []time.Duration{3 * time.Second}, true},
		{"all gateways killed twice", []time.Duration{2500 * time.Millisecond, 5500 * time.Millisecond}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSettledSim(t)
			s.reportSuspect(s.servers[0])
			s.killServer(s.servers[0])
			for _, at := range test.kills {
				s.schedule(at, func() {
					killed := s.gateways
					if !test.all {
						killed = []*simGateway{s.leader()}
					}
					for _, g := range killed {
						if g != nil {
							g.down = true
							s.schedule(absence, func() { s.startGateway(g) })
						}
					}
					s.publishState()
				})
			}
			bound := lease + time.Duration(len(test.kills))*takeover
			if got := s.unownedFor(30 * time.Second); got > bound || s.violation != "" {
				s.fail(t, 7, "keys without an owner for "+got.String()+", bound "+bound.String()+s.violation)
			}
		})
	}
}
