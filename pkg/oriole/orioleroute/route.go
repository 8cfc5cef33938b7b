// Package orioleroute matches requests to routes, and distributes the requests
// of a route over its services by weight.
package orioleroute

import (
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Table finds routes by host and longest path prefix. It is immutable except for
// the state of its weighted round robin, and safe for concurrent use.
type Table struct {
	// hosts maps each host, in lower case, to its routes, the longest prefix first.
	hosts map[string][]*entry
}

// entry is a route with the state of its weighted round robin.
type entry struct {
	route oriole.Route
	mu    sync.Mutex
	// currentWeights holds the current weight of each share in the smooth weighted
	// round robin: how far the share is behind its part of the requests, multiplied
	// by the total weight.
	currentWeights []int
}

// New returns a table of the routes.
func New(routes []oriole.Route) *Table {
	t := &Table{hosts: make(map[string][]*entry)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], &entry{route: route, currentWeights: make([]int, len(route.Shares))})
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *entry) int { return len(b.route.Prefix) - len(a.route.Prefix) })
	}
	return t
}

// Find returns the route of the authority's host with the longest prefix that
// matches the path, and picks the service of this request.
func (t *Table) Find(authority, path string) (route oriole.Route, service oriole.ServiceName, found bool) {
	for _, e := range t.hosts[hostname(authority)] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return e.route, e.nextService(), true
		}
	}
	return oriole.Route{}, "", false
}

// hostname returns the host of an authority in lower case, without the port and the dot
// that ends a fully qualified name.
func hostname(authority string) string {
	if host, _, err := net.SplitHostPort(authority); err == nil {
		authority = host
	}
	return strings.TrimSuffix(strings.ToLower(authority), ".")
}

// nextService returns the service of the next request by smooth weighted round
// robin, so that the services follow the weights even over a few requests. If all
// weights are 0, it returns the first service.
func (e *entry) nextService() oriole.ServiceName {
	shares := e.route.Shares
	if len(shares) == 1 {
		return shares[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	next, total := -1, 0
	for i, share := range shares {
		e.currentWeights[i] += share.Weight
		total += share.Weight
		if share.Weight > 0 && (next < 0 || e.currentWeights[i] > e.currentWeights[next]) {
			next = i
		}
	}
	if next < 0 {
		return shares[0].Service
	}
	e.currentWeights[next] -= total
	return shares[next].Service
}
