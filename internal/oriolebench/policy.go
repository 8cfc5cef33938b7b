package oriolebench

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Policy is a scheduling policy to compare with others.
type Policy struct {
	Name string
	// modify changes a request before the pool gets it, so that the pool
	// schedules it by this policy.
	modify func(*oriole.Request)
	// retryDelay returns how long a refused caller waits before it retries, given
	// the RetryAfter of the response.
	retryDelay func(retryAfter time.Duration) time.Duration
}

// defaultRetryDelay is the delay of callers that ignore RetryAfter.
const defaultRetryDelay = 50 * time.Millisecond

// deadlineExtension is longer than every expected wait, so that the pool refuses
// requests only when its queue is full.
const deadlineExtension = time.Hour

// Policies returns all policies. The first is the one that gateways use.
func Policies() []Policy {
	useRetryAfter := func(retryAfter time.Duration) time.Duration { return retryAfter }
	unchanged := func(*oriole.Request) {}
	return []Policy{
		{"own", unchanged, useRetryAfter},
		{"own, RetryAfter ignored", unchanged, func(time.Duration) time.Duration { return defaultRetryDelay }},
		{"priority only", func(r *oriole.Request) { r.SoftDeadline = r.Deadline }, useRetryAfter},
		{"first come, first served", func(r *oriole.Request) { r.SoftDeadline, r.Priority = r.Deadline, 0 }, useRetryAfter},
		{"first come, no deadline check", func(r *oriole.Request) {
			r.Priority, r.Deadline = 0, r.Deadline.Add(deadlineExtension)
			r.SoftDeadline = r.Deadline
		}, useRetryAfter},
	}
}
