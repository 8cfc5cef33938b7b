// Package orioleplacement decides which pool an upstream belongs to, and ranks
// the gateways as dispatchers of a pool and as leaders of a service. The
// dispatcher queues and sends all requests to its pool. Gateways with the same
// view of the cluster decide the same. While views differ, two gateways may send
// to one upstream, which is slower but safe; to one that bears few requests, only one
// of them does, as package oriolequorum decides.
package orioleplacement

import (
	"cmp"
	"slices"
	"sync"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
)

const (
	// minDispatchers is the number of dispatchers of a zone that has as many
	// gateways, so that others are linked with all gateways when one is lost.
	minDispatchers = 3
	// minDispatcherShare is the weight of a dispatcher as a share of the greatest
	// weight in its zone.
	minDispatcherShare = 0.5
	// minLinkShare is the bandwidth of a preferred dispatcher of large bodies as a share of
	// the greatest bandwidth in its zone.
	minLinkShare = 0.5
)

// Dispatchers returns the gateways that may be dispatchers: the largest of each
// zone. All other gateways keep links with these only, so that the number of
// links does not grow with the square of the number of gateways. If all VMs of a
// zone are of about the same size, all of its gateways are dispatchers.
func Dispatchers(members []oriole.Member) []oriole.Member {
	byZone := make(map[oriole.ZoneName][]oriole.Member)
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	dispatchers := make([]oriole.Member, 0, len(members))
	for _, zone := range byZone {
		SortBySize(zone)
		for i, m := range zone {
			if i < minDispatchers || m.Weight >= minDispatcherShare*zone[0].Weight {
				dispatchers = append(dispatchers, m)
			}
		}
	}
	return dispatchers
}

// sizeSubject is the subject by which gateways of the same weight are ranked. All
// gateways of a cluster must use the same value.
const sizeSubject = "heads"

// SortBySize sorts the gateways by weight, largest first, and those of the same
// weight in an order that does not depend on their names.
func SortBySize(members []oriole.Member) {
	ranks := make(map[oriole.GatewayID]uint64, len(members))
	for _, m := range members {
		ranks[m.ID] = oriolehash.Rank(sizeSubject, string(m.ID))
	}
	slices.SortFunc(members, func(a, b oriole.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(ranks[a.ID], ranks[b.ID]))
	})
}

// RankDispatchers returns the candidate dispatchers of the pool, best first: those
// of its zone, so that traffic to its upstreams stays in the zone, then the others.
// The pools of a zone are spread over its dispatchers in proportion to their
// weights, and the loss of a gateway moves only its own pools.
func RankDispatchers(pool oriole.PoolID, members []oriole.Member) []oriole.GatewayID {
	return rankMembers(pool.String(), members, func(a, b oriole.Member) int {
		return compareBool(b.Zone == pool.Zone, a.Zone == pool.Zone)
	})
}

// RankLargeBodyDispatchers returns the candidate dispatchers of a pool with large bodies,
// best first. All bodies pass through the link of the dispatcher, so that in each zone
// the gateways with narrow links come last; otherwise the order is that of
// [RankDispatchers].
func RankLargeBodyDispatchers(pool oriole.PoolID, members []oriole.Member) []oriole.GatewayID {
	widest := make(map[oriole.ZoneName]float64)
	for _, m := range members {
		widest[m.Zone] = max(widest[m.Zone], m.Link)
	}
	narrow := func(m oriole.Member) bool { return m.Link < minLinkShare*widest[m.Zone] }
	return rankMembers(pool.String(), members, func(a, b oriole.Member) int {
		return cmp.Or(compareBool(b.Zone == pool.Zone, a.Zone == pool.Zone), compareBool(narrow(a), narrow(b)))
	})
}

// rankMembers sorts the gateways by compare, and those that compare equal by
// their weighted rendezvous score for the subject, highest first.
func rankMembers(subject string, members []oriole.Member, compare func(a, b oriole.Member) int) []oriole.GatewayID {
	type scored struct {
		member oriole.Member
		score  float64
	}
	entries := make([]scored, 0, len(members))
	for _, m := range members {
		entries = append(entries, scored{m, oriolehash.Score(subject, string(m.ID), m.Weight)})
	}
	slices.SortFunc(entries, func(a, b scored) int {
		return cmp.Or(compare(a.member, b.member), cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	ids := make([]oriole.GatewayID, len(entries))
	for i, entry := range entries {
		ids[i] = entry.member.ID
	}
	return ids
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// RankingCache caches the rankings of pools until the list of gateways changes.
// Its zero value is empty and ready to use. It is safe for concurrent use.
type RankingCache struct {
	mu          sync.Mutex
	members     []oriole.Member
	dispatchers []oriole.Member
	rankings    map[rankedPool][]oriole.GatewayID
}

// rankedPool is a pool, and whether its bodies are large.
type rankedPool struct {
	pool        oriole.PoolID
	largeBodies bool
}

// Ranking returns the same as [RankDispatchers] of the [Dispatchers] among the
// members, or as [RankLargeBodyDispatchers] if the pool's bodies are large. The caller
// must not modify members afterwards, nor the result.
func (c *RankingCache) Ranking(pool oriole.PoolID, largeBodies bool, members []oriole.Member) []oriole.GatewayID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rankings == nil || !SameMembers(c.members, members) {
		c.rankings = make(map[rankedPool][]oriole.GatewayID)
		c.dispatchers = Dispatchers(members)
	}
	c.members = members
	key := rankedPool{pool, largeBodies}
	ranking, known := c.rankings[key]
	switch {
	case known:
		return ranking
	case largeBodies:
		ranking = RankLargeBodyDispatchers(pool, c.dispatchers)
	default:
		ranking = RankDispatchers(pool, c.dispatchers)
	}
	c.rankings[key] = ranking
	return ranking
}

// SameMembers reports whether the lists hold the same gateways in the same order. It first
// compares addresses, since callers usually pass the same slice again.
func SameMembers(a, b []oriole.Member) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}

// RankLeaders returns the candidate leaders of a service, best first: gateways of
// higher weight come first, since the leader communicates with all gateways and
// all upstreams of the service.
func RankLeaders(service oriole.ServiceName, members []oriole.Member) []oriole.GatewayID {
	return rankMembers(string(service), members, func(a, b oriole.Member) int { return cmp.Compare(b.Weight, a.Weight) })
}

// PoolOf returns the pool of the upstream: if the service is sharded, a pool of
// its own, else the pool of the service in the upstream's zone.
func PoolOf(u oriole.Upstream, sharded bool) oriole.PoolID {
	pool := oriole.PoolID{Service: u.Service, Zone: u.Zone}
	if sharded {
		pool.Server = u.ID
	}
	return pool
}

// Upstreams returns the usable upstreams of the pool, ordered by ID.
func Upstreams(state *oriole.ClusterState, pool oriole.PoolID) []oriole.Upstream {
	if pool.Server != "" {
		u, listed := state.Upstreams[pool.Server]
		if !listed || !state.Usable(u) || PoolOf(u, true) != pool {
			return nil
		}
		return []oriole.Upstream{u}
	}
	var upstreams []oriole.Upstream
	for _, u := range state.UsableUpstreams(pool.Service) {
		if PoolOf(u, false) == pool {
			upstreams = append(upstreams, u)
		}
	}
	return upstreams
}
