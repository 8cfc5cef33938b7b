package oriolecapacity

import (
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
)

func TestLinearFit(t *testing.T) {
	is := is.New(t)
	f := measurement{sizes: []int{1, 2, 4, 8}, cost: func(n int) float64 { return 3 + 2*float64(n) }}.run()
	is.Equal(f.Intercept, 3.0)
	is.Equal(f.Slope, 2.0)
	is.Equal(f.RSquared, 1.0)
}

// TestSizeLimits checks that, at the target number of ranges, an assignment stays
// within the size limits of the store and of frames, and that a heartbeat is small.
func TestSizeLimits(t *testing.T) {
	is := is.New(t)
	const maxStoreValue = 1 << 20
	is.True(jsonBytes(oriolemessage.FromAssignment(assignment(8*1024))) < maxStoreValue)
	is.True(frameBytes(assignmentFrame(8*1024)) < oriolemessage.MaxFrameSize)
	is.True(frameBytes(heartbeatFrame(0)) < 100)
	is.True(newLeader(16).machine.Leading())
}

func BenchmarkCapacity(b *testing.B) {
	for _, m := range measurements() {
		b.Run(m.name+" per "+m.per, func(b *testing.B) {
			f := m.run()
			b.ReportMetric(f.Slope, m.unit+"/each")
			b.ReportMetric(f.Intercept, m.unit+"/base")
			b.ReportMetric(f.RSquared, "fit")
		})
	}
}
