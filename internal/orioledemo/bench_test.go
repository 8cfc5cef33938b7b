package orioledemo

import (
	"context"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/orioleswitch/orioleswitch/internal/orioleserver"
)

// benchLayout has one warm upstream that answers at once, so that only the
// path costs time.
func benchLayout(gateways int) layout {
	return layout{
		stall:    serviceLayout{upstreams: 1, groups: 1, slots: 64},
		barge:    serviceLayout{upstreams: 1, groups: 1, slots: 64},
		gateways: gateways,
	}
}

// startBench returns a system whose upstreams are warm.
func startBench(b *testing.B, gateways int) *system {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	s, cleanup, err := newSystem(ctx, benchLayout(gateways), 1, logger)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(cleanup)
	go s.balance(ctx)
	if err := s.waitReady(ctx, readyTimeout); err != nil {
		b.Fatal(err)
	}
	for range 3000 {
		if err := get(http.DefaultClient, s.gatewayURL(true)); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// gatewayURL returns the address of a request at the keeper of its group, or
// at another gateway.
func (s *system) gatewayURL(keeper bool) string {
	at := s.gateways[0]
	for _, m := range s.gateways {
		if m.gateway.Keeps("bargemaster.0") == keeper {
			at = m
		}
	}
	return "http://" + at.gateway.Self().Callers.String() + "/bargemaster/tow-1"
}

// directURL needs no lease, unlike the services themselves.
func (s *system) directURL() string {
	return "http://" + s.upstreams[1].Addr().String() + orioleserver.HealthPath
}

func get(client *http.Client, url string) error {
	resp, err := client.Get(url)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// BenchmarkPath measures the latency of the whole path against the same client
// calling the stand-in directly, turn about in one run.
func BenchmarkPath(b *testing.B) {
	for _, keeper := range []bool{true, false} {
		b.Run("at-keeper="+strconv.FormatBool(keeper), func(b *testing.B) {
			s := startBench(b, 2)
			urls := []string{s.directURL(), s.gatewayURL(keeper)}
			var times [2]*hdrhistogram.Histogram
			for i := range times {
				times[i] = hdrhistogram.New(1, 10_000_000, 3)
			}
			b.ResetTimer()
			for range b.N {
				for i, url := range urls {
					start := time.Now()
					if err := get(http.DefaultClient, url); err != nil {
						b.Fatal(err)
					}
					_ = times[i].RecordValue(time.Since(start).Microseconds())
				}
			}
			b.ReportMetric(float64(times[0].ValueAtQuantile(50)), "direct-p50-us")
			b.ReportMetric(float64(times[1].ValueAtQuantile(50)), "path-p50-us")
			b.ReportMetric(float64(times[0].ValueAtQuantile(99)), "direct-p99-us")
			b.ReportMetric(float64(times[1].ValueAtQuantile(99)), "path-p99-us")
		})
	}
}

// BenchmarkCore measures the processor time that one gateway adds to a request
// under load, and the requests a second that a core carries at that cost.
func BenchmarkCore(b *testing.B) {
	for _, keeper := range []bool{true, false} {
		b.Run("at-keeper="+strconv.FormatBool(keeper), func(b *testing.B) {
			s := startBench(b, 2)
			direct := processorTime(b, s.directURL())
			through := processorTime(b, s.gatewayURL(keeper))
			cost := through - direct
			b.ReportMetric(float64(cost.Nanoseconds())/1000, "gateways-cpu-us/request")
			b.ReportMetric(float64(time.Second)/float64(cost), "requests/s/core")
		})
	}
}

// processorTime returns the processor time of this process for each request,
// with clients on all cores.
func processorTime(b *testing.B, url string) time.Duration {
	const requests = 30_000
	clients := 2 * runtime.GOMAXPROCS(0)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: clients}}
	defer client.CloseIdleConnections()
	before := usage(b)
	var wait sync.WaitGroup
	for range clients {
		wait.Go(func() {
			for range requests / clients {
				if err := get(client, url); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wait.Wait()
	return (usage(b) - before) / requests
}

func usage(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
