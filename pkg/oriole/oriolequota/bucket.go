package oriolequota

import (
	"math"
	"time"
)

// bucket is a token bucket. If its burst is under one token, as a gateway's share of a
// small limit is, a token that is due every 1/rate is lost unless it is used within
// burst/rate: the buckets of many gateways could otherwise keep one token each, more than
// the whole burst.
type bucket struct {
	limit Limit
	phase float64
	level float64
	at    time.Time
}

// newBucket returns a bucket that starts to fill at the given time. It has no token. If its burst is
// under one, phase, between 0 and 1, is how much of its first token has passed, so that
// the tokens of gateways that start together are due at different times.
func newBucket(at time.Time, limit Limit, phase float64) bucket {
	b := bucket{limit: limit, phase: phase, at: at}
	if limit.Burst < 1 {
		b.level = phase
	}
	return b
}

// refill adds the tokens of the time since the last call.
func (b *bucket) refill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	b.level += now.Sub(b.at).Seconds() * b.limit.Rate
	b.at = now
	b.cut()
}

// cut drops what the bucket does not hold.
func (b *bucket) cut() {
	switch {
	case b.limit.Burst >= 1:
		b.level = min(b.level, b.limit.Burst)
	case b.level > 1+b.limit.Burst:
		b.level -= math.Ceil(b.level - 1 - b.limit.Burst)
	}
}

// setLimit changes the limit. A bucket that holds more than the new burst is cut. There is no
// token in one whose burst falls or rises past one.
func (b *bucket) setLimit(now time.Time, limit Limit) {
	b.refill(now)
	switch {
	case limit.Burst < 1:
		b.level = min(b.level, b.phase)
	case b.limit.Burst < 1:
		b.level = min(b.level, 0)
	}
	b.limit = limit
	b.cut()
}

// maxTokens bounds the tokens that are granted at once: a very large limit would exceed the
// range of integers.
const maxTokens = 1e6

// whole returns the number of whole tokens in a level, and allows for rounding.
func whole(level float64) int { return int(math.Floor(min(max(level, -1), maxTokens) + 1e-6)) }

// take takes one token if there is one.
func (b *bucket) take() bool {
	if whole(b.level) < 1 {
		return false
	}
	b.level--
	return true
}

// wait returns the time until there are n tokens.
func (b *bucket) wait(n float64) time.Duration {
	if b.level >= n {
		return 0
	}
	if b.limit.Rate <= 0 {
		return maxWait
	}
	return duration((n - b.level) / b.limit.Rate)
}
