package oriole

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrConflict is returned by [Store.Write] when the object has another version
// than the one expected.
var ErrConflict = errors.New("object has another version")

// ErrNotFound is returned by [Store.Read] when the object does not exist.
var ErrNotFound = errors.New("object does not exist")

// Clock reads the time. Its readings carry a monotonic part in production.
type Clock interface {
	Now() time.Time
}

// Timers calls subscribers at intervals.
type Timers interface {
	Clock
	// Subscribe returns a channel that receives the time at every interval.
	// A tick that finds the previous one unread is dropped. The stop function
	// ends the subscription.
	Subscribe(interval time.Duration) (ticks <-chan time.Time, stop func())
}

// Object is a stored value and its version.
type Object struct {
	Name    string
	Version Version
	Value   []byte
}

// Store is the platform's object API.
type Store interface {
	// Read returns the object, or ErrNotFound.
	Read(ctx context.Context, name string) (Object, error)
	// Write replaces the object if it has the expected version; 0 creates it.
	// It fails with ErrConflict if the version differs. After any other error
	// the write may have taken effect.
	Write(ctx context.Context, name string, value []byte, expected Version) (Version, error)
	// Watch waits for objects with the prefix to change after the given store
	// revision, and returns them with the new revision. It returns no objects
	// when the wait ends without a change.
	Watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Object, Version, error)
	// Members returns the platform's lagging list of gateways.
	Members(ctx context.Context) ([]Member, error)
	// Announce adds or renews one entry of that list.
	Announce(ctx context.Context, m Member) error
}

// Granter gives servers their leases.
type Granter interface {
	// Grant sends g to the server and returns its answer. On error the server
	// may have accepted it.
	Grant(ctx context.Context, to Upstream, g Grant) (GrantReply, error)
}

// Runner runs requests on servers.
type Runner interface {
	// Run sends the request to the server under the term of its lease. The
	// answer's outcome is never OutcomeNotRun unless no byte was sent or the
	// server itself refused.
	Run(ctx context.Context, to Upstream, term Term, r Request) Answer
}

// Hasher maps keys to slices.
type Hasher interface {
	// Slice returns the slice of key among n slices, with n above 0.
	Slice(key string, n uint32) Slice
}

// Spreader decides which servers own the slices of a group.
type Spreader interface {
	// Spread returns the table that follows old when only the servers in
	// usable may own slices. It moves as few slices as balance permits and
	// leaves slices without an owner when no server is usable.
	Spread(old Table, usable []bool) Table
}

// Load is what a keeper knows of one server when it picks.
type Load struct {
	Usable bool
	// Outstanding counts requests queued and running.
	Outstanding int
	// Limit is the number of requests that may run at once.
	Limit int
	// Latency is a recent mean of run times.
	Latency time.Duration
}

// Picker chooses a server of an undivided service.
type Picker interface {
	// Pick returns an index into loads, or -1 when none is usable.
	Pick(loads []Load) int
}
