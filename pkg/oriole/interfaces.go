package oriole

import (
	"time"

	"github.com/pkg/errors"
)

// ErrConflict is returned by conditional updates when the object does not have
// the expected version.
var ErrConflict = errors.New("object does not have the expected version")

// ErrNotFound is returned by reads when the object does not exist.
var ErrNotFound = errors.New("object does not exist")

// Clock reads the time. In production its readings include the monotonic clock.
type Clock interface {
	Now() time.Time
}

// Timers is a clock that sends ticks to subscribers at fixed intervals.
type Timers interface {
	Clock
	// Subscribe returns a channel that receives the time at every interval.
	// A tick is dropped if the previous one has not been read. The stop function
	// ends the subscription.
	Subscribe(interval time.Duration) (ticks <-chan time.Time, stop func())
}
