package oriolesite

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// configTimeout is how long after its confirmation a configuration may come into
	// force at a gateway: the users' bound of 2 s, and 0.5 s for the load on the test
	// machine.
	configTimeout = 2500 * time.Millisecond
	// rollbackSlack is how long after a request that was handled by a configuration
	// others may still be handled by an older one.
	rollbackSlack = 250 * time.Millisecond
)

// publishedConfig is a configuration that was written to the store.
type publishedConfig struct {
	cfg *oriole.Config
	// confirmedAt is when the store confirmed the write; it is zero before.
	confirmedAt time.Time
}

// routeOf returns the service that the configuration sends a path to, or an empty
// string if it has no route for it.
func (p publishedConfig) routeOf(path string) string {
	for _, r := range p.cfg.Routes {
		if strings.HasPrefix(path, r.Prefix) {
			return string(r.Shares[0].Service)
		}
	}
	return ""
}

// seenConfig is the index in Site.published of a configuration that a gateway has
// used, and the time of the response that showed it.
type seenConfig struct {
	index int
	at    time.Time
}

// checkRouting returns a description of the violation if the gateway handled a request
// as only a configuration allows that was no longer in force: one that is older than
// another confirmed configTimeout before the request was sent, or than another which
// the gateway used rollbackSlack before.
func (s *Site) checkRouting(g *Gateway, path string, sent time.Time, res Response) (violation string) {
	service := ""
	switch res.Status {
	case http.StatusOK:
		service, _, _ = strings.Cut(res.Body, "-")
	case http.StatusNotFound:
	default:
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest, reason := 0, ""
	for i, p := range s.published {
		if !p.confirmedAt.IsZero() && sent.Sub(p.confirmedAt) > configTimeout {
			oldest, reason = i, fmt.Sprintf("confirmed %v before", sent.Sub(p.confirmedAt).Round(time.Millisecond))
		}
	}
	last := 0
	for _, seen := range s.seen[g] {
		if seen.index > oldest && sent.Sub(seen.at) > rollbackSlack {
			oldest, reason = seen.index, fmt.Sprintf("used there %v before", sent.Sub(seen.at).Round(time.Millisecond))
		}
		last = max(last, seen.index)
	}
	for i := oldest; i < len(s.published); i++ {
		if s.published[i].routeOf(path) != service {
			continue
		}
		if i > last {
			s.seen[g] = append(s.seen[g], seenConfig{i, time.Now()})
		}
		return ""
	}
	return fmt.Sprintf("request %s for %s was handled by service %q, status %d; configuration %d, %s, sends it to %q",
		res.ID, path, service, res.Status, s.published[oldest].cfg.Version, reason, s.published[oldest].routeOf(path))
}

// addedRoute returns the name of one of the routes that were added, chosen by the
// request's number, or an empty string if there is none.
func (s *Site) addedRoute(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	routes := s.published[len(s.published)-1].cfg.Routes
	if len(routes) <= initialRoutes {
		return ""
	}
	added := routes[initialRoutes:]
	return added[n/requestKinds%len(added)].Name
}
