package oriolesite

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRoutingByConfigurationsInForce checks which handling of a request counts as a
// violation around a change that sends bookings to the other service and adds a route.
func TestRoutingByConfigurationsInForce(t *testing.T) {
	const (
		older = UnshardedService + "-0 ran POST"
		newer = ShardedService + "-0 ran POST"
	)
	confirmed := time.Now()
	tests := []struct {
		name string
		// sent is when the request is sent, after the change was confirmed; used is
		// when the gateway first used the new configuration, or 0.
		sent, used time.Duration
		path       string
		res        Response
		violation  bool
	}{
		{"older, in time", configTimeout, 0, "/book/1", Response{Status: http.StatusOK, Body: older}, false},
		{"older, late", configTimeout + 1, 0, "/book/1", Response{Status: http.StatusOK, Body: older}, true},
		{"newer, early", -time.Second, 0, "/book/1", Response{Status: http.StatusOK, Body: newer}, false},
		{"newer, late", time.Minute, 0, "/book/1", Response{Status: http.StatusOK, Body: newer}, false},
		{"same in both", time.Minute, 0, "/look/1", Response{Status: http.StatusOK, Body: newer}, false},
		{"no route, in time", configTimeout, 0, "/pay/1", Response{Status: http.StatusNotFound}, false},
		{"no route, late", configTimeout + 1, 0, "/pay/1", Response{Status: http.StatusNotFound}, true},
		{"never allowed", 0, 0, "/sign/1", Response{Status: http.StatusOK, Body: older}, true},
		{"known to all", 0, 0, "/look/1", Response{Status: http.StatusNotFound}, true},
		{"back to the older", time.Second, time.Second - rollbackSlack - 1, "/book/1", Response{Status: http.StatusOK, Body: older}, true},
		{"sent before the newer was used", time.Second, time.Second - rollbackSlack, "/book/1", Response{Status: http.StatusOK, Body: older}, false},
		{"refused", time.Minute, 0, "/book/1", Response{Status: http.StatusServiceUnavailable}, false},
		{"no response", time.Minute, 0, "/book/1", Response{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			first, second := Configuration(1, ShardedService, UnshardedService), Configuration(2, ShardedService, ShardedService)
			second.Routes = append(second.Routes, newRoute("pay", UnshardedService, true))
			gateway := new(Gateway)
			s := &Site{published: []publishedConfig{{first, confirmed.Add(-time.Hour)}, {second, confirmed}}, seen: make(map[*Gateway][]seenConfig)}
			if test.used > 0 {
				s.seen[gateway] = []seenConfig{{1, confirmed.Add(test.used)}}
			}
			violation := s.checkRouting(gateway, test.path, confirmed.Add(test.sent), test.res)
			t.Log(violation)
			is.Equal(violation != "", test.violation)
		})
	}
}

// TestUseOfConfigurationIsRecorded checks that a gateway that has used a configuration
// may not go back to an older one, though the newer one was never confirmed.
func TestUseOfConfigurationIsRecorded(t *testing.T) {
	is := is.New(t)
	gateway, other := new(Gateway), new(Gateway)
	s := &Site{
		published: []publishedConfig{{cfg: Configuration(1, ShardedService, UnshardedService)}, {cfg: Configuration(7, ShardedService, ShardedService)}},
		seen:      make(map[*Gateway][]seenConfig),
	}
	older, newer := Response{Status: http.StatusOK, Body: UnshardedService + "-0 ran"}, Response{Status: http.StatusOK, Body: ShardedService + "-0 ran"}
	later := time.Now().Add(time.Minute)
	is.Equal(s.checkRouting(gateway, "/book/1", later, older), "")
	is.Equal(s.checkRouting(gateway, "/book/1", later, newer), "")
	is.True(s.checkRouting(gateway, "/book/1", later, older) != "")
	is.Equal(s.checkRouting(other, "/book/1", later, older), "")
}
