package orioleassign

import (
	"math"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Ranges are split at multiples of bucketKeys. It is 1, so that each key can be
// moved separately: hot keys are often adjacent, and a few of them can exceed
// the capacity of an upstream.
const (
	bucketKeys = 1
	buckets    = (int(oriole.MaxShardKey) + 1) / bucketKeys
)

// BucketOf returns the index of the key's bucket in load reports.
func BucketOf(key oriole.ShardKey) int { return int(key) / bucketKeys }

const (
	// fastHalfLife is the half-life of the fast moving average, which detects a
	// hot key within a second or two. The slow average captures the usual load
	// of keys that get a request every few seconds.
	fastHalfLife = time.Second
	slowHalfLife = 6 * time.Second
	// minBucketCount is the decayed request count below which a bucket counts
	// as idle.
	minBucketCount = 0.01
	// baselineShare is the share of the load that is assumed to be spread
	// evenly over all keys, so that keys without recent requests count too when
	// ranges are balanced.
	baselineShare = 0.1
	// baselineRate is the minimum load assumed for all keys together, in
	// requests per second, so that ranges have a load before the first request.
	baselineRate = 1
)

// Load measures the recent load of each bucket of keys.
type Load struct {
	// fast and slow are nil until the first request is added.
	fast, slow []float64
	decayedAt  time.Time
}

// Add counts requests for a bucket. An index that is out of range is ignored.
func (l *Load) Add(bucket int, requests float64) {
	if bucket >= 0 && bucket < buckets && requests > 0 {
		if l.fast == nil {
			l.fast, l.slow = make([]float64, buckets), make([]float64, buckets)
		}
		l.fast[bucket] += requests
		l.slow[bucket] += requests
	}
}

// Decay decays the counts to the time now.
func (l *Load) Decay(now time.Time) {
	if l.decayedAt.IsZero() {
		l.decayedAt = now
	}
	elapsed := float64(now.Sub(l.decayedAt))
	fastFactor := math.Exp2(-elapsed / float64(fastHalfLife))
	slowFactor := math.Exp2(-elapsed / float64(slowHalfLife))
	l.decayedAt = now
	for i, slow := range l.slow {
		switch {
		case slow == 0:
		case slow < minBucketCount:
			l.fast[i], l.slow[i] = 0, 0
		default:
			l.fast[i] *= fastFactor
			l.slow[i] *= slowFactor
		}
	}
}

// rate returns the requests per second of a bucket: the slow average, or the
// fast one if it is higher by more than its statistical error.
func (l *Load) rate(i int) float64 {
	if l.slow[i] == 0 {
		return 0
	}
	fast := (l.fast[i] - math.Sqrt(l.fast[i])) * math.Ln2 / fastHalfLife.Seconds()
	slow := l.slow[i] * math.Ln2 / slowHalfLife.Seconds()
	return max(fast, slow)
}

// profile is the distribution of load over all keys at one time.
type profile struct {
	// cumulative holds for each bucket the total load of all buckets before it.
	cumulative [buckets + 1]float64
}

// profile returns the distribution of the load counted so far.
func (l *Load) profile() *profile {
	total := 0.0
	for i := range l.fast {
		total += l.rate(i)
	}
	baseline := max(total*baselineShare, baselineRate) / float64(buckets)
	p := new(profile)
	for i := range buckets {
		p.cumulative[i+1] = p.cumulative[i] + baseline
		if l.fast != nil {
			p.cumulative[i+1] += l.rate(i)
		}
	}
	return p
}

// between returns the load of the keys from first to last. Buckets that are
// covered in part count in proportion.
func (p *profile) between(first, last oriole.ShardKey) float64 {
	return p.below(int(last)+1) - p.below(int(first))
}

// below returns the load of all keys below key.
func (p *profile) below(key int) float64 {
	i, part := key/bucketKeys, float64(key%bucketKeys)/bucketKeys
	if i >= buckets {
		return p.cumulative[buckets]
	}
	return p.cumulative[i] + part*(p.cumulative[i+1]-p.cumulative[i])
}

// headWithLoad returns the last key of the shortest run of buckets from first
// on that carries the load, or last if none does.
func (p *profile) headWithLoad(first, last oriole.ShardKey, load float64) oriole.ShardKey {
	from := p.below(int(first))
	for i := BucketOf(first) + 1; i <= BucketOf(last); i++ {
		if p.cumulative[i]-from >= load {
			return oriole.ShardKey(i*bucketKeys - 1)
		}
	}
	return last
}

// tailWithLoad returns the first key of the shortest run of buckets up to last
// that carries the load, or first if none does.
func (p *profile) tailWithLoad(first, last oriole.ShardKey, load float64) oriole.ShardKey {
	to := p.below(int(last) + 1)
	for i := BucketOf(last); i > BucketOf(first); i-- {
		if to-p.cumulative[i] >= load {
			return oriole.ShardKey(i * bucketKeys)
		}
	}
	return first
}

// hottestBucket returns the part of the range that is in the bucket with the
// highest load.
func (p *profile) hottestBucket(r oriole.Range) oriole.Range {
	hottest, maxLoad := BucketOf(r.First), -1.0
	for i := BucketOf(r.First); i <= BucketOf(r.Last); i++ {
		if load := p.cumulative[i+1] - p.cumulative[i]; load > maxLoad {
			hottest, maxLoad = i, load
		}
	}
	r.First = max(r.First, oriole.ShardKey(hottest*bucketKeys))
	r.Last = min(r.Last, oriole.ShardKey((hottest+1)*bucketKeys-1))
	return r
}
