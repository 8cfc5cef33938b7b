package orioleingress

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

const (
	// crossZonePenalty is the extra wait that is accepted to keep a request in
	// its zone. It is slightly more than the round trip to another zone, and
	// about equal to the cost of the traffic between zones.
	crossZonePenalty = 15 * time.Millisecond
	// waitDecay is the time constant with which a reported wait loses weight.
	// A few requests complete within it.
	waitDecay = 300 * time.Millisecond
)

// poolBalancer selects pools of services that are not sharded, by the expected
// wait that the pools' dispatchers report with each response.
type poolBalancer struct {
	zone oriole.ZoneName
	mu   sync.Mutex
	// pools holds the load of each pool that requests were sent to.
	pools map[oriole.PoolID]*poolLoad
}

type poolLoad struct {
	inFlight     int
	expectedWait time.Duration
	reportedAt   time.Time
	meanDuration time.Duration
}

func newPoolBalancer(zone oriole.ZoneName) *poolBalancer {
	return &poolBalancer{zone: zone, pools: make(map[oriole.PoolID]*poolLoad)}
}

// pick returns the pool with the lowest cost for a request.
func (b *poolBalancer) pick(state *oriole.ClusterState, service oriole.ServiceName, now time.Time) (oriole.PoolID, oriole.Reason) {
	slots := make(map[oriole.PoolID]int)
	var pools []oriole.PoolID
	for _, u := range state.UsableUpstreams(service) {
		pool := orioleplacement.PoolOf(u, false)
		if slots[pool] == 0 {
			pools = append(pools, pool)
		}
		slots[pool] += u.Slots
	}
	if len(pools) == 0 {
		return oriole.PoolID{}, oriole.ReasonNoOwner
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	best := slices.MinFunc(pools, func(p, q oriole.PoolID) int {
		return int(b.cost(p, slots[p], now) - b.cost(q, slots[q], now))
	})
	return best, oriole.ReasonNone
}

// poolForIdempotencyKey returns the pool for a request with an idempotency key to
// a service that is not sharded. It depends on the key, so that one dispatcher
// receives all requests with that key and can detect duplicates.
func poolForIdempotencyKey(state *oriole.ClusterState, r oriole.Request) (best oriole.PoolID, reason oriole.Reason) {
	bestRank, found := uint64(0), false
	for _, u := range state.UsableUpstreams(r.Service) {
		pool := orioleplacement.PoolOf(u, false)
		if rank := oriolehash.Rank(r.IdempotencyKey, pool.String()); !found || rank < bestRank {
			best, bestRank, found = pool, rank, true
		}
	}
	if !found {
		return best, oriole.ReasonNoOwner
	}
	return best, oriole.ReasonNone
}

// cost returns the expected wait at the pool, plus the penalty for another zone.
// The expected wait is the last reported one, reduced with its age, plus the time
// for the requests in flight that exceed the pool's slots.
func (b *poolBalancer) cost(pool oriole.PoolID, slots int, now time.Time) time.Duration {
	cost := time.Duration(0)
	if pool.Zone != b.zone {
		cost = crossZonePenalty
	}
	load := b.pools[pool]
	if load == nil {
		return cost
	}
	decay := math.Exp(-float64(now.Sub(load.reportedAt)) / float64(waitDecay))
	cost += time.Duration(float64(load.expectedWait) * decay)
	if excess := load.inFlight + 1 - slots; excess > 0 {
		cost += load.meanDuration * time.Duration(excess) / time.Duration(slots)
	}
	return cost
}

// begin counts a request that is sent to the pool. Pools of sharded services
// are not balanced and not counted.
func (b *poolBalancer) begin(pool oriole.PoolID) {
	if pool.Server != "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	load := b.pools[pool]
	if load == nil {
		load = &poolLoad{}
		b.pools[pool] = load
	}
	load.inFlight++
}

// end updates the pool's load from the response to a request that begin counted.
func (b *poolBalancer) end(pool oriole.PoolID, resp oriole.Response, now, start time.Time) {
	if pool.Server != "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	load := b.pools[pool]
	load.inFlight--
	load.expectedWait, load.reportedAt = resp.ExpectedWait, now
	if resp.Outcome == oriole.OutcomeAnswered {
		load.meanDuration += (now.Sub(start) - load.meanDuration) / 8
	}
	if resp.Outcome == oriole.OutcomeNotRun {
		// The pool accepts no requests now, so prefer others until it may be
		// retried.
		load.expectedWait = max(load.expectedWait, resp.RetryAfter)
	}
}
