package oriolequeue

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Limits bounds the queue. All counts are requests.
type Limits struct {
	// Slots is what a warm server runs at once; Cold what a cold one bears.
	Slots int
	Cold  int
	// Queued bounds the requests that wait for one server, and Waiting those
	// that wait for their slice to get an owner.
	Queued  int
	Waiting int
	// Attempts bounds the times that one request is sent to a server.
	Attempts int
	// Tokens bounds the remembered idempotency keys, and Memory their age.
	Tokens int
	Memory time.Duration
}

// DefaultLimits returns the limits that settings start from.
func DefaultLimits() Limits {
	return Limits{
		Slots:    2,
		Cold:     1,
		Queued:   128,
		Waiting:  512,
		Attempts: 6,
		Tokens:   4096,
		Memory:   10 * time.Minute,
	}
}

// Config describes the group to its queue.
type Config struct {
	Servers int
	Divided bool
	Limits  Limits
	Picker  oriole.Picker
}

// Job is one request in the queue.
type Job struct {
	Request oriole.Request
	// Slice is the index of the request's slice within the group.
	Slice int
	// Reply receives the one answer. It must not block.
	Reply func(oriole.Answer)
	// Gone reports whether the caller has left.
	Gone func() bool

	print    Fingerprint
	attempts int
	started  time.Time
	solo     bool
	// mayHaveRun says that an earlier attempt ended with an unknown outcome.
	mayHaveRun bool
	// abandoned says that the run was cut short by the queue itself.
	abandoned bool
}

// Start asks for a request to be sent to a server.
type Start struct {
	Server int
	Term   oriole.Term
	Job    *Job
}

// Effects are the outputs of one step, in order.
type Effects struct {
	Starts []Start
	// Abandons are the requests whose servers are lost and that can run again:
	// their runs are to be cut short. Each still ends with Done.
	Abandons []*Job
	// Suspects are the servers that could not be reached.
	Suspects []int
	// Blamed are the requests that crashed a server.
	Blamed []Blame
}

// Blame is a request that was in flight when its server failed.
type Blame struct {
	Print Fingerprint
	// Alone says that it ran as a suspect, with no other.
	Alone bool
}
