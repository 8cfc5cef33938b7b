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

// TestUnknownLeadersAreAwaitedOnce guards against keys that wait anew for leaders whose
// records were lost whenever the gateways are killed, while a silent server holds up the
// sweep.
func TestUnknownLeadersAreAwaitedOnce(t *testing.T) {
	const absence = 500 * time.Millisecond
	s := newSettledSim(t)
	s.restoreAfterChange()
	for _, g := range s.gateways {
		s.cutLinks[[2]string{g.name, "srv0"}] = cutHangs
	}
	kills := []time.Duration{0, 8 * time.Second, 16 * time.Second}
	for _, at := range kills {
		s.schedule(at, func() {
			for _, g := range s.gateways {
				g.down = true
				s.schedule(absence, func() { s.startGateway(g) })
			}
			s.publishState()
		})
	}
	// The leader leases and leases of unknown leaders, and for each kill the time without a
	// leader and since the last one stored how long it waits.
	bound := simConfig.LeaderLease + 5600*time.Millisecond + time.Duration(len(kills))*(absence+2*time.Second)
	if got := s.unownedFor(60 * time.Second); got > bound || s.violation != "" {
		s.fail(t, 7, "keys without an owner for "+got.String()+", bound "+bound.String()+s.violation)
	}
}
