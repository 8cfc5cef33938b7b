// Package orioleroute finds the route of a request and shares the requests of
// a route among services.
package orioleroute

import (
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Table finds routes by host and longest prefix. It is immutable but for the
// state of its shares, and safe for concurrent use.
type Table struct {
	hosts map[string][]*entry
}

type entry struct {
	route oriole.Route
	mu    sync.Mutex
	// owed is how far each share is behind its part of the requests, in
	// units of its weight.
	owed []int
}

// New returns the table of a configuration's routes.
func New(routes []oriole.Route) *Table {
	t := &Table{hosts: make(map[string][]*entry)}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], &entry{route: route, owed: make([]int, len(route.Shares))})
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *entry) int { return len(b.route.Prefix) - len(a.route.Prefix) })
	}
	return t
}

// Find returns the route with the longest prefix of path among those of the
// authority's host, and the service whose turn it is.
func (t *Table) Find(authority, path string) (route oriole.Route, service oriole.ServiceName, found bool) {
	for _, e := range t.hosts[hostOf(authority)] {
		if strings.HasPrefix(path, e.route.Prefix) {
			return e.route, e.take(), true
		}
	}
	return oriole.Route{}, "", false
}

// hostOf strips the port from an authority.
func hostOf(authority string) string {
	if name, _, err := net.SplitHostPort(authority); err == nil {
		authority = name
	}
	return strings.ToLower(authority)
}

// take returns the service of the next request. Each share is served in
// proportion to its weight over any few requests.
func (e *entry) take() oriole.ServiceName {
	shares := e.route.Shares
	if len(shares) == 1 {
		return shares[0].Service
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	best, total := -1, 0
	for i, share := range shares {
		e.owed[i] += share.Weight
		total += share.Weight
		if share.Weight > 0 && (best < 0 || e.owed[i] > e.owed[best]) {
			best = i
		}
	}
	if best < 0 {
		return shares[0].Service
	}
	e.owed[best] -= total
	return shares[best].Service
}
