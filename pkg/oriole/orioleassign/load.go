package orioleassign

import (
	"math"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Ranges are cut at multiples of bucketPoints, so that a table stays small
// while a few hot keys that lie together can still be told apart.
const (
	bucketPoints = 16
	buckets      = (int(oriole.LastPoint) + 1) / bucketPoints
)

// BucketOf returns the index that load reports use for the point.
func BucketOf(p oriole.Point) int { return int(p) / bucketPoints }

// idleShare is the part of the load that is taken to lie evenly on all keys,
// so that keys without recent requests still count for something.
const idleShare = 0.1

// loadHalfLife is how fast old load is forgotten. It is short against the time
// that a hot key stays hot, and long against the gaps between its requests.
const loadHalfLife = 1500 * time.Millisecond

// Load is the recent load of each part of the key ring.
type Load struct {
	recent [buckets]float64
	total  float64
	at     time.Time
}

// Add counts requests of a bucket; an index that can't be right is ignored.
func (l *Load) Add(bucket int, requests float64) {
	if bucket >= 0 && bucket < buckets && requests > 0 {
		l.recent[bucket] += requests
		l.total += requests
	}
}

// Age forgets old load.
func (l *Load) Age(now time.Time) {
	if l.at.IsZero() {
		l.at = now
	}
	keep := math.Exp2(-float64(now.Sub(l.at)) / float64(loadHalfLife))
	l.at = now
	l.total = 0
	for i := range l.recent {
		l.recent[i] *= keep
		l.total += l.recent[i]
	}
}

// bucket returns the load of a bucket, idle keys included.
func (l *Load) bucket(i int) float64 {
	return l.recent[i] + (l.total*idleShare+1)/float64(buckets)
}

// of returns the load of a run of points; the buckets at its ends count in
// part.
func (l *Load) of(first, last oriole.Point) float64 {
	sum := 0.0
	for i := BucketOf(first); i <= BucketOf(last); i++ {
		from := max(int(first), i*bucketPoints)
		to := min(int(last), (i+1)*bucketPoints-1)
		sum += l.bucket(i) * float64(to-from+1) / bucketPoints
	}
	return sum
}
