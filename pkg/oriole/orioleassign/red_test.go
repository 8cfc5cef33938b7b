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
				s.cutLinks[[2]string{g.name, "srv0"}] = cutHangs
			}
			// No gateway can reach the server, so that its lease is of no use.
			s.servers[0].leaseUntil = [sampleCount]time.Time{}
		}},
		{"server killed, connections refused", func(s *sim) {
			s.reportSuspect(s.servers[0])
			s.killServer(s.servers[0])
		}},
		{"store restored, and a server killed", func(s *sim) {
			s.restoreAfterChange()
			s.schedule(time.Second, func() {
				s.reportSuspect(s.servers[0])
				s.killServer(s.servers[0])
			})
		}},
		{"store away, leader and a server lost together", func(s *sim) {
			s.store.down = true
			s.leader().down = true
			s.reportSuspect(s.servers[0])
			s.killServer(s.servers[0])
			s.schedule(10*time.Second, func() { s.store.down = false; s.publishState() })
		}},
		{"store restored, leader lost and back", func(s *sim) {
			s.restoreAfterChange()
			g := s.leader()
			g.down = true
			s.schedule(800*time.Millisecond, s.publishState)
			s.schedule(2*time.Second, func() { s.startGateway(g) })
		}},
		{"store restored, leader lost", func(s *sim) {
			s.restoreAfterChange()
			s.leader().down = true
			s.schedule(800*time.Millisecond, s.publishState)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSettledSim(t)
			test.fault(s)
			if got := s.unownedFor(40 * time.Second); got > recoveryTarget {
				t.Errorf("keys without an owner for %v, bound %v", got, recoveryTarget)
			}
		})
	}
}
