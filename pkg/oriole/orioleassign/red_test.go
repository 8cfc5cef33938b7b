//go:build red

package orioleassign

import (
	"testing"
	"time"
)

// TestRedRecovery checks that keys are served again within recoveryTarget after
// failures after which they are not yet. KNOWN-RED.txt lists these failures.
func TestRedRecovery(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(s *sim)
	}{
		{"server silent", func(s *sim) {
			for _, g := range s.gateways {
				s.cutLinks[[2]string{g.name, "srv0"}] = true
			}
			// No gateway can reach the server, so that its lease is of no use.
			s.servers[0].leaseUntil = [sampleCount]time.Time{}
		}},
		{"store away, leader and a server lost together", func(s *sim) {
			s.store.down = true
			s.leader().down = true
			s.reportSuspect(s.servers[0])
			s.killServer(s.servers[0])
			s.schedule(10*time.Second, func() { s.store.down = false; s.publishState() })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSettledSim(t)
			test.fault(s)
			if got := s.unownedFor(25 * time.Second); got > recoveryTarget {
				t.Errorf("keys without an owner for %v, bound %v", got, recoveryTarget)
			}
		})
	}
}
