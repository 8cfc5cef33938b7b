// Package orioleplacement decides which gateway is the dispatcher of a pool of
// upstreams, which queues and sends all requests to the pool, which gateway
// leads a service, and which pool an upstream belongs to. Gateways with the same
// view of the cluster decide the same. While views differ, two gateways may send
// to one upstream, which is slower but safe.
package orioleplacement

import (
	"cmp"
	"slices"
	"sync"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
)

// RankDispatchers returns the candidate dispatchers of the pool, best first: the gateways
// of its zone, so that traffic to its upstreams stays in the zone, then the
// others. Pools are spread over gateways in proportion to their weights, and the
// loss of a gateway moves only its own pools.
func RankDispatchers(pool oriole.PoolID, members []oriole.Member) []oriole.GatewayID {
	return rankMembers(pool.String(), members, func(a, b oriole.Member) int {
		return compareBool(b.Zone == pool.Zone, a.Zone == pool.Zone)
	})
}

// rankMembers sorts the gateways by order, and those that compare equal by
// their weighted rendezvous score for the subject.
func rankMembers(subject string, members []oriole.Member, order func(a, b oriole.Member) int) []oriole.GatewayID {
	type scored struct {
		member oriole.Member
		score  float64
	}
	entries := make([]scored, 0, len(members))
	for _, m := range members {
		entries = append(entries, scored{m, oriolehash.Score(subject, string(m.ID), m.Weight)})
	}
	slices.SortFunc(entries, func(a, b scored) int {
		return cmp.Or(order(a.member, b.member), cmp.Compare(b.score, a.score), cmp.Compare(a.member.ID, b.member.ID))
	})
	ids := make([]oriole.GatewayID, len(entries))
	for i, r := range entries {
		ids[i] = r.member.ID
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

// RankingCache holds the rankings of pools until the list of gateways changes. It is
// safe for concurrent use.
type RankingCache struct {
	mu       sync.Mutex
	members  []oriole.Member
	rankings map[oriole.PoolID][]oriole.GatewayID
}

// Dispatchers returns the same as [RankDispatchers]. The caller must modify neither members nor
// the result.
func (r *RankingCache) Dispatchers(pool oriole.PoolID, members []oriole.Member) []oriole.GatewayID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rankings == nil || !sameMembers(r.members, members) {
		r.rankings = make(map[oriole.PoolID][]oriole.GatewayID)
	}
	r.members = members
	ranking, known := r.rankings[pool]
	if !known {
		ranking = RankDispatchers(pool, members)
		r.rankings[pool] = ranking
	}
	return ranking
}

// sameMembers reports whether the lists hold the same gateways. It first
// compares addresses, since callers usually pass the same slice again.
func sameMembers(a, b []oriole.Member) bool {
	if len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0]) {
		return true
	}
	return slices.Equal(a, b)
}

// RankLeaders returns the candidate leaders of a service's assignment, best first:
// the gateways with the highest weight, since a leader talks to all gateways
// and all upstreams.
func RankLeaders(service oriole.ServiceName, members []oriole.Member) []oriole.GatewayID {
	return rankMembers(string(service), members, func(a, b oriole.Member) int { return cmp.Compare(b.Weight, a.Weight) })
}

// PoolOf returns the pool of the upstream: its own if the service is sharded,
// else that of the service in its zone.
func PoolOf(u oriole.Upstream, sharded bool) oriole.PoolID {
	pool := oriole.PoolID{Service: u.Service, Zone: u.Zone}
	if sharded {
		pool.Server = u.ID
	}
	return pool
}
