package oriolebench_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolebench"
)

// meanValues returns the mean value ratio of each policy over several seeds.
func meanValues(workload oriolebench.Workload) map[string]float64 {
	const seeds = 5
	sums := make(map[string]float64)
	for seed := range uint64(seeds) {
		for _, policy := range oriolebench.Policies() {
			sums[policy.Name] += oriolebench.Run(workload, policy, seed).ValueRatio() / seeds
		}
	}
	return sums
}

// TestDefaultPolicyEarnsMostUnderOverload checks that with a burst beyond the
// capacity of the upstreams, the pool's queue order and refusals earn more value
// than simpler policies. The RetryAfter of refused requests makes no difference
// here: callers that ignore it and retry after 50 ms earn as much value.
func TestDefaultPolicyEarnsMostUnderOverload(t *testing.T) {
	is := is.New(t)
	workload := oriolebench.TypicalWorkload(8, 0.9, 1.7)
	means := meanValues(workload)
	t.Log(means)
	for name, value := range means {
		if name != "own" && name != "own, RetryAfter ignored" {
			is.True(means["own"] > value)
		}
	}
}

// TestPriorityIsRespectedAtAnyLoad checks that the kind with the higher priority
// is served at most 5 percentage points less than the other, however high the
// load.
func TestPriorityIsRespectedAtAnyLoad(t *testing.T) {
	for _, utilization := range []float64{0.6, 0.9, 1.3} {
		is := is.New(t)
		workload := oriolebench.TypicalWorkload(8, utilization, 1.7)
		r := oriolebench.Run(workload, oriolebench.Policies()[0], 1)
		served := func(k oriolebench.KindResult) float64 { return float64(k.OnTime+k.Late) / float64(k.Requests) }
		lookup, booking := r.Kinds[0], r.Kinds[1]
		t.Logf("utilization %.1f: lookups %.3f, bookings %.3f served", utilization, served(lookup), served(booking))
		is.True(served(booking) >= served(lookup)-0.05)
	}
}

func TestRunsAreReproducible(t *testing.T) {
	is := is.New(t)
	workload := oriolebench.TypicalWorkload(4, 0.9, 1.5)
	policy := oriolebench.Policies()[0]
	is.Equal(oriolebench.Run(workload, policy, 7), oriolebench.Run(workload, policy, 7))
}

// TestLightLoadIsServed checks that without overload every policy earns nearly
// all of the possible value.
func TestLightLoadIsServed(t *testing.T) {
	is := is.New(t)
	workload := oriolebench.TypicalWorkload(8, 0.4, 1)
	for _, policy := range oriolebench.Policies() {
		is.True(oriolebench.Run(workload, policy, 3).ValueRatio() > 0.9)
	}
}

func TestPlot(t *testing.T) {
	is := is.New(t)
	workload := oriolebench.TypicalWorkload(2, 0.9, 1.5)
	var results []oriolebench.Result
	for seed := range uint64(2) {
		for _, policy := range oriolebench.Policies() {
			results = append(results, oriolebench.Run(workload, policy, seed))
		}
	}
	var svg bytes.Buffer
	is.NoErr(oriolebench.Plot(&svg, results))
	texts := make(map[string]bool)
	for decoder := xml.NewDecoder(&svg); ; {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if text, ok := token.(xml.CharData); ok {
			texts[string(text)] = true
		}
	}
	for _, policy := range oriolebench.Policies() {
		is.True(texts[policy.Name]) // the legend shows every policy
	}
	is.True(oriolebench.Plot(io.Discard, nil) != nil)
}
