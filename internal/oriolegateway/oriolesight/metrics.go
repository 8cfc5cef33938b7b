package oriolesight

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds, and their precision in
// significant digits.
const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	precision     = 2
)

// Metrics holds the counters of one gateway as an expvar map. It is not
// published globally, so that several gateways may run in one process.
type Metrics struct {
	vars    *expvar.Map
	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

// NewMetrics returns counters that start at 0.
func NewMetrics() *Metrics {
	m := &Metrics{
		vars:    new(expvar.Map).Init(),
		latency: hdrhistogram.New(lowestMicros, highestMicros, precision),
	}
	m.vars.Set("latency_us", expvar.Func(m.percentiles))
	return m
}

// Add adds n to the named counter.
func (m *Metrics) Add(name string, n int64) { m.vars.Add(name, n) }

// Gauge publishes a value that is computed when it is read.
func (m *Metrics) Gauge(name string, value func() int64) {
	m.vars.Set(name, expvar.Func(func() any { return value() }))
}

// Latency records how long a caller's request took.
func (m *Metrics) Latency(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// A value beyond the bounds is counted at the bound.
	_ = m.latency.RecordValue(min(took.Microseconds(), highestMicros))
}

// String returns all counters in JSON.
func (m *Metrics) String() string { return m.vars.String() }

// Value returns a counter, or 0 if it was never added to.
func (m *Metrics) Value(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

func (m *Metrics) percentiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		P50  int64 `json:"p50"`
		P99  int64 `json:"p99"`
		P999 int64 `json:"p999"`
	}{
		m.latency.ValueAtQuantile(50),
		m.latency.ValueAtQuantile(99),
		m.latency.ValueAtQuantile(99.9),
	}
}
