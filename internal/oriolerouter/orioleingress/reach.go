package orioleingress

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

const (
	// reachMemory is how long a dispatcher that did not reach a pool's upstreams is asked
	// only if no other is left.
	reachMemory = time.Second
	// maxReachEntries bounds the remembered pairs of pools and dispatchers; expired ones
	// are dropped from there on.
	maxReachEntries = 1024
)

// reachRecord remembers which dispatchers did not reach the upstreams of which pools. It
// is safe for concurrent use.
type reachRecord struct {
	mu     sync.Mutex
	failed map[reachPair]reachFailure
}

type reachPair struct {
	pool       oriole.PoolID
	dispatcher oriole.GatewayID
}

// reachFailure is a failure to reach the upstreams that a pool had then.
type reachFailure struct {
	at        time.Time
	upstreams uint64
}

// upstreamsOf returns a hash of the incarnations that a pool has. What was found out about
// one set of them says nothing of another: a dispatcher that takes the place of the first
// does not know what the first has sent to an upstream that has just been listed.
func upstreamsOf(state *oriole.ClusterState, pool oriole.PoolID) (sum uint64) {
	for _, u := range orioleplacement.Upstreams(state, pool) {
		sum += xxhash.Sum64String(string(u.ID) + strconv.FormatInt(u.StartedAt.UnixNano(), 10))
	}
	return sum
}

func newReachRecord() *reachRecord { return &reachRecord{failed: make(map[reachPair]reachFailure)} }

// record records that the dispatcher did not reach the upstreams of the pool.
func (r *reachRecord) record(now time.Time, pool oriole.PoolID, dispatcher oriole.GatewayID, upstreams uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.failed) >= maxReachEntries {
		for pair, failure := range r.failed {
			if now.Sub(failure.at) >= reachMemory {
				delete(r.failed, pair)
			}
		}
	}
	r.failed[reachPair{pool, dispatcher}] = reachFailure{now, upstreams}
}

// fails reports whether the dispatcher recently did not reach the upstreams that the pool
// has in the state.
func (r *reachRecord) fails(now time.Time, state *oriole.ClusterState, pool oriole.PoolID, dispatcher oriole.GatewayID) bool {
	r.mu.Lock()
	failure, known := r.failed[reachPair{pool, dispatcher}]
	r.mu.Unlock()
	return known && now.Sub(failure.at) < reachMemory && failure.upstreams == upstreamsOf(state, pool)
}
