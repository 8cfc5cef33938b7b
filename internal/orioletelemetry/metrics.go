package orioletelemetry

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds, and their precision in
// significant digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 2
)

// Metrics holds the metrics of one gateway in an expvar map. The map is not
// published globally, so that several gateways can run in one process.
type Metrics struct {
	vars *expvar.Map
	mu   sync.Mutex
	// latencies holds the histogram of all requests and one for each reason, by
	// name.
	latencies map[string]*latencyHistogram
}

// latencyHistogram is a histogram of latencies and their sum, in microseconds.
type latencyHistogram struct {
	histogram *hdrhistogram.Histogram
	sum       int64
}

// allRequests is the name of the histogram of all requests.
const allRequests = "latency_us"

// NewMetrics returns metrics without recorded values.
func NewMetrics() *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init(), latencies: make(map[string]*latencyHistogram)}
	m.histogram(allRequests)
	return m
}

// Add adds n to the named counter.
func (m *Metrics) Add(name string, n int64) { m.vars.Add(name, n) }

// Gauge registers a metric whose value is computed when it is read: a number, or
// a map from names to numbers.
func (m *Metrics) Gauge(name string, value func() any) { m.vars.Set(name, expvar.Func(value)) }

// ObserveLatency records the duration of a caller's request that ended with the
// reason. The set of reasons must be small, since each has its own histogram.
func (m *Metrics) ObserveLatency(reason string, duration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range []string{allRequests, "latency_" + reason + "_us"} {
		h := m.histogram(name)
		// Values above the range are recorded at its maximum.
		_ = h.histogram.RecordValue(min(duration.Microseconds(), maxMicros))
		h.sum += duration.Microseconds()
	}
}

// histogram returns the named histogram, and creates and registers it first if
// needed. The caller must hold mu, unless m is not shared yet.
func (m *Metrics) histogram(name string) *latencyHistogram {
	h := m.latencies[name]
	if h == nil {
		h = &latencyHistogram{histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
		m.latencies[name] = h
		m.vars.Set(name, expvar.Func(func() any { return m.percentiles(h) }))
	}
	return h
}

// String returns all metrics as JSON.
func (m *Metrics) String() string { return m.vars.String() }

// Value returns the value of the named counter, or 0 if there is none.
func (m *Metrics) Value(name string) int64 {
	if v, ok := m.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

func (m *Metrics) percentiles(h *latencyHistogram) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return struct {
		Count int64 `json:"count"`
		Sum   int64 `json:"sum"`
		P50   int64 `json:"p50"`
		P99   int64 `json:"p99"`
		P999  int64 `json:"p999"`
	}{
		h.histogram.TotalCount(),
		h.sum,
		h.histogram.ValueAtQuantile(50),
		h.histogram.ValueAtQuantile(99),
		h.histogram.ValueAtQuantile(99.9),
	}
}
