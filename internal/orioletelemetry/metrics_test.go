package orioletelemetry_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
)

func TestLatencyHistograms(t *testing.T) {
	is := is.New(t)
	m := orioletelemetry.NewMetrics()
	m.Add("entry_answered_none", 2)
	m.ObserveLatency("none", 10*time.Millisecond)
	m.ObserveLatency("none", 30*time.Millisecond)
	m.ObserveLatency("deadline", time.Hour) // above the histogram's range
	var read struct {
		Answered int64 `json:"entry_answered_none"`
		All      struct {
			Count int64 `json:"count"`
		} `json:"latency_us"`
		None struct {
			Count int64 `json:"count"`
			Sum   int64 `json:"sum"`
			P99   int64 `json:"p99"`
		} `json:"latency_none_us"`
	}
	is.NoErr(json.Unmarshal([]byte(m.String()), &read))
	is.Equal(read.Answered, int64(2))
	is.Equal(read.All.Count, int64(3))
	is.Equal(read.None.Count, int64(2))
	is.Equal(read.None.Sum, int64(40_000))
	is.True(read.None.P99 >= 29_000 && read.None.P99 <= 31_000)
}

func TestClockOrdersCauseBeforeEffect(t *testing.T) {
	is := is.New(t)
	var a, b orioletelemetry.LogicalClock
	for range 5 {
		a.Tick()
	}
	sent := a.Tick()
	b.Observe(sent)
	is.True(b.Tick() > sent)
	b.Observe(1) // an older reading has no effect
	is.True(b.Tick() > sent+1)
}
