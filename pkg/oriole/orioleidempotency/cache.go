// Package orioleidempotency deduplicates requests by their idempotency keys: a
// repeated request gets the response to the first one and does not run again. It
// is a pure state machine, driven by the dispatcher of a pool.
package orioleidempotency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// maxEntries bounds the cached responses. Running requests are tracked in
	// addition; the dispatcher already bounds their number.
	maxEntries = 4096
	// maxBytes bounds the total size of the cached response bodies: a twentieth
	// of the memory of the smallest VM.
	maxBytes = 8 << 20
	// ttl is how long a response is cached: many times the deadlines within which
	// callers retry.
	ttl = 10 * time.Minute
)

// JobID identifies an accepted request.
type JobID uint64

// Key identifies requests that are repetitions of each other. It holds more than
// the idempotency key, since callers may use one idempotency key for different
// operations.
type Key struct {
	Service        oriole.ServiceName
	Host           string
	Method         string
	Target         string
	IdempotencyKey string
}

// KeyOf returns the key of the request.
func KeyOf(r *oriole.Request) Key {
	return Key{r.Service, r.Host, r.Method, r.Target, r.IdempotencyKey}
}

// Cache holds the responses to completed requests and tracks running ones.
type Cache struct {
	running   map[Key]*inFlight
	completed *simplelru.LRU[Key, result]
	bytes     int
}

// inFlight is a running request, and the jobs that repeat it.
type inFlight struct {
	first  JobID
	joined []JobID
}

type result struct {
	response oriole.Response
	at       time.Time
}

// New returns an empty cache.
func New() *Cache {
	r := &Cache{running: make(map[Key]*inFlight)}
	completed, err := simplelru.NewLRU(maxEntries, func(_ Key, entry result) { r.bytes -= len(entry.response.Body) })
	if err != nil {
		// Unreachable: the constructor only rejects sizes below 1.
		panic(err)
	}
	r.completed = completed
	return r
}

// Begin registers a request before it runs. If it repeats a completed one, Begin
// returns the cached response. If it repeats a running one, joined is true, and
// [Cache.End] will return the job. Otherwise the caller must run it.
func (r *Cache) Begin(now time.Time, key Key, job JobID) (response *oriole.Response, joined bool) {
	if running := r.running[key]; running != nil {
		running.joined = append(running.joined, job)
		return nil, true
	}
	if entry, known := r.completed.Get(key); known {
		if now.Sub(entry.at) <= ttl {
			return &entry.response, false
		}
		r.completed.Remove(key)
	}
	r.running[key] = &inFlight{first: job}
	return nil, false
}

// End records the response to a request that the caller ran after Begin, and
// returns the jobs that joined it. A request that has not run is not cached, so
// that its caller may retry it.
func (r *Cache) End(now time.Time, key Key, job JobID, response oriole.Response) (joined []JobID) {
	running := r.running[key]
	if running == nil || running.first != job {
		return nil
	}
	delete(r.running, key)
	if response.Outcome == oriole.OutcomeNotRun {
		return running.joined
	}
	r.completed.Add(key, result{response, now})
	r.bytes += len(response.Body)
	for r.bytes > maxBytes {
		r.completed.RemoveOldest()
	}
	return running.joined
}
