// Package orioleidempotency deduplicates requests by their idempotency keys: a
// duplicate gets the response to the first request and does not run again. It is a
// pure state machine, driven by the dispatcher of a pool.
package orioleidempotency

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

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

// ErrReused is returned for a request whose key belongs to a request with another body.
var ErrReused = errors.New("idempotency key is used for another request")

// Digest is a cryptographic hash: callers can't choose values with the same one.
type Digest [sha256.Size]byte

// Key identifies an action of a caller. It holds more than the idempotency key, since
// callers may use one idempotency key for different operations, and different callers
// the same one.
type Key struct {
	Service        oriole.ServiceName
	Host           string
	Method         string
	Target         string
	IdempotencyKey string
	// Credentials is the digest of the fields that name the caller to the upstream.
	Credentials Digest
}

// credentialFields are the header fields that name a caller.
var credentialFields = [...]string{"Authorization", "Cookie"}

// KeyOf returns the key of the request, and the digest of its body.
func KeyOf(r *oriole.Request) (key Key, body Digest) {
	credentials := sha256.New()
	for _, name := range credentialFields {
		for _, value := range r.Header.Values(name) {
			// A length before each part keeps two lists of parts from having the
			// same digest.
			_, _ = fmt.Fprintf(credentials, "%s %d %s", name, len(value), value)
		}
	}
	if r.Workspace != "" {
		_, _ = fmt.Fprintf(credentials, "workspace %d %s", len(r.Workspace), r.Workspace)
	}
	key = Key{Service: r.Service, Host: r.Host, Method: r.Method, Target: r.Target, IdempotencyKey: r.IdempotencyKey}
	credentials.Sum(key.Credentials[:0])
	return key, sha256.Sum256(r.Body)
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
	body   Digest
	joined []JobID
}

type result struct {
	response oriole.Response
	body     Digest
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
// true, and [Cache.End] of that one will return the job. If the one with its key has
// another body, the error is [ErrReused]. Otherwise the caller must run it.
func (c *Cache) Begin(now time.Time, key Key, body Digest, job JobID) (response *oriole.Response, joined bool, err error) {
	if running := c.running[key]; running != nil {
		if running.body != body {
			return nil, false, ErrReused
		}
		running.joined = append(running.joined, job)
		return nil, true, nil
	}
	if entry, known := c.completed.Get(key); known {
		switch {
		case now.Sub(entry.at) > ttl:
			c.completed.Remove(key)
		case entry.body != body:
			return nil, false, ErrReused
		default:
			return &entry.response, false, nil
		}
	}
	c.running[key] = &inFlight{job: job, body: body}
	return nil, false, nil
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
	c.completed.Add(key, result{response, running.body, now})
	c.bytes += len(response.Body)
	for c.bytes > maxBytes {
		c.completed.RemoveOldest()
	}
	return running.joined
}
