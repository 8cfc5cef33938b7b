// Package orioleidempotency deduplicates requests by their idempotency keys: a
// duplicate gets the response to the first request and does not run again. It is a
// pure state machine, driven by the dispatcher of a pool.
package orioleidempotency

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// maxEntries bounds the cached responses. Running requests don't count: the
	// dispatcher already bounds their number.
	maxEntries = 4096
	// maxBytes bounds the total size of the cached response bodies. It is a
	// twentieth of the memory of the smallest VM.
	maxBytes = 8 << 20
	// ttl is how long a response is cached. It is many times longer than the
	// deadlines within which callers retry.
	ttl = 10 * time.Minute
)

// JobID identifies an accepted request.
type JobID uint64

// Key is equal for requests that are duplicates of each other. It holds more than
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

// inFlight is a running request, and the duplicates that wait for its response.
type inFlight struct {
	job    JobID
	joined []JobID
}

type result struct {
	response oriole.Response
	at       time.Time
}

// New returns an empty cache.
func New() *Cache {
	c := &Cache{running: make(map[Key]*inFlight)}
	completed, err := simplelru.NewLRU(maxEntries, func(_ Key, entry result) { c.bytes -= len(entry.response.Body) })
	if err != nil {
		// Unreachable: the constructor only rejects sizes below 1.
		panic(err)
	}
	c.completed = completed
	return c
}

// Begin registers a request before it runs. If it duplicates a completed one,
// Begin returns the cached response. If it duplicates a running one, joined is
// true, and [Cache.End] of that one will return the job. Otherwise the caller must
// run it.
func (c *Cache) Begin(now time.Time, key Key, job JobID) (response *oriole.Response, joined bool) {
	if running := c.running[key]; running != nil {
		running.joined = append(running.joined, job)
		return nil, true
	}
	if entry, known := c.completed.Get(key); known {
		if now.Sub(entry.at) <= ttl {
			return &entry.response, false
		}
		c.completed.Remove(key)
	}
	c.running[key] = &inFlight{job: job}
	return nil, false
}

// End records the response to a request that the caller ran after Begin, and
// returns the duplicates that joined it. If the request has not run, the response
// is not cached, so that the caller may retry.
func (c *Cache) End(now time.Time, key Key, job JobID, response oriole.Response) (joined []JobID) {
	running := c.running[key]
	if running == nil || running.job != job {
		return nil
	}
	delete(c.running, key)
	if response.Outcome == oriole.OutcomeNotRun {
		return running.joined
	}
	c.completed.Add(key, result{response, now})
	c.bytes += len(response.Body)
	for c.bytes > maxBytes {
		c.completed.RemoveOldest()
	}
	return running.joined
}
