package oriolegroup

import (
	"slices"
	"testing"
	"time"
)

// recoveryRuns is the number of losses that each figure of recovery rests on.
const recoveryRuns = 30

// BenchmarkRecovery reports for how long slices stay unserved after a loss,
// and how many owners change, under the simulated clock.
func BenchmarkRecovery(b *testing.B) {
	for _, faults := range [][]string{
		{"server-crash"},
		{"keeper-crash"},
		{"keeper-crash", "server-crash"},
		{"store-down", "server-crash"},
		{"store-down", "keeper-crash"},
	} {
		name := faults[0]
		if len(faults) > 1 {
			name += "+" + faults[1]
		}
		b.Run(name, func(b *testing.B) {
			var times []time.Duration
			writes := 0
			for seed := range uint64(recoveryRuns) {
				w := newWorld(seed+100, 4, 5, 48)
				w.timing.Alone = time.Hour
				for _, g := range w.gateways {
					w.newMachine(g, false)
				}
				w.membersChanged()
				w.runUntil(4 * time.Second)
				before := w.store.version
				for i, kind := range faults {
					if i > 0 && faults[0] == "store-down" {
						w.runUntil(w.now + time.Second)
					}
					w.inject(kind, 1)
				}
				times = append(times, w.timeUnserved(2*time.Second))
				writes += int(w.store.version - before)
			}
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "median-ms")
			b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
			b.ReportMetric(float64(writes)/recoveryRuns, "writes/loss")
		})
	}
}
