package orioledispatcher

import (
	"testing"
	"time"
)

// TestRestartedDutyDoesNotFloodColdUpstream guards against a burst of requests to a cold
// upstream after each restart of a pool duty that fails again and again.
func TestRestartedDutyDoesNotFloodColdUpstream(t *testing.T) {
	c := newColdCluster(t, false)
	c.seeAll()
	c.run(4 * time.Second)
	for i := range 5 {
		c.run(4*time.Second + time.Duration(i)*100*time.Millisecond)
		c.gateways[0].duty.reset(c.clock.now)
	}
	c.run(7 * time.Second)
	c.checkBound()
	c.checkServed(2 * time.Second)
}
