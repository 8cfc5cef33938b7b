package orioledemo

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
)

// readyTimeout is how long the gateways may take to start.
const readyTimeout = 15 * time.Second

// DefaultRate is the load in requests a second, watched keys not included.
const DefaultRate = 500

// Config describes a run.
type Config struct {
	Duration time.Duration
	Seed     uint64
	Faults   []string
	Rate     int
	// Gateways is their number, 0 for the demo's own.
	Gateways int
	// Progress receives a line each second; nil for none.
	Progress io.Writer
	// Timeline receives the events of all gateways at the end; nil for none.
	Timeline io.Writer
}

// Summary is the result of a run, judged by the stand-ins' records.
type Summary struct {
	Requests            int     `json:"requests"`
	Answered            int     `json:"answered"`
	RefusedNotRun       int     `json:"refused_not_run"`
	Unknown             int     `json:"unknown"`
	DoubleOwned         int     `json:"double_owned"`
	RunTwice            int     `json:"run_twice"`
	FalseNotRun         int     `json:"false_not_run"`
	WrongAnswers        int     `json:"wrong_answers"`
	LostAcknowledged    int     `json:"lost_acknowledged"`
	P50Ms               float64 `json:"p50_ms"`
	P99Ms               float64 `json:"p99_ms"`
	MaxKeyUnavailableMs float64 `json:"max_key_unavailable_ms"`
	ColdFalls           int     `json:"cold_falls"`
	Crashes             int     `json:"crashes"`
	SlicesMoved         int64   `json:"slices_moved"`
	StoreReads          uint64  `json:"store_reads"`
	StoreWrites         uint64  `json:"store_writes"`
	Imbalance           float64 `json:"imbalance"`
	// ControlBytes is what a gateway sends its peers in a second besides
	// requests and answers; MemoryMB is that of the whole process.
	ControlBytes float64 `json:"control_bytes_s"`
	MemoryMB     float64 `json:"memory_mb"`
}

// Broken reports whether one of the promises was broken.
func (s Summary) Broken() bool {
	return s.DoubleOwned+s.RunTwice+s.FalseNotRun+s.WrongAnswers+s.LostAcknowledged > 0
}

// CheckFaults returns an error that lists the faults there are if one of the
// names is not among them.
func CheckFaults(names []string) error {
	for _, name := range names {
		if _, found := faults[name]; !found {
			return errors.Errorf("no fault is called %q; there are: %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	return nil
}

// FaultNames returns the names of all faults, sorted.
func FaultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Run runs the demo and returns its summary.
func Run(ctx context.Context, cfg Config) (summary Summary, err error) {
	defer func() { err = errors.Wrap(err, "running the demo") }()
	if err := CheckFaults(cfg.Faults); err != nil {
		return summary, err
	}
	if cfg.Rate == 0 {
		cfg.Rate = DefaultRate
	}
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	sizes := derwent
	if cfg.Gateways > 0 {
		sizes.gateways = cfg.Gateways
	}
	system, cleanup, err := newSystem(ctx, sizes, cfg.Seed, logger)
	if err != nil {
		return summary, err
	}
	defer cleanup()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go system.balance(runCtx)
	if err := system.waitReady(runCtx, readyTimeout); err != nil {
		return summary, err
	}
	return system.runLoad(runCtx, cfg), nil
}

// runLoad sends load for the duration while the faults happen.
func (s *system) runLoad(ctx context.Context, cfg Config) Summary {
	l := newLoad(s, cfg.Rate)
	loadCtx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	ended := make(chan struct{})
	before := s.control()
	for _, name := range cfg.Faults {
		go faults[name].happen(loadCtx, s, l, cfg.Duration)
	}
	go func() {
		defer close(ended)
		l.run(loadCtx)
	}()
	s.progress(cfg.Progress, l, ended)
	s.printTimeline(cfg.Timeline)
	summary := s.summarize(l)
	summary.ControlBytes = math.Round(float64(s.control()-before) / cfg.Duration.Seconds() / float64(len(s.live())))
	return summary
}

// control returns the bytes of control traffic so far.
func (s *system) control() int64 {
	var sum int64
	for _, m := range s.all() {
		sum += m.gateway.Metrics().Value("control_bytes_out")
	}
	return sum
}

// memory returns the memory of the process in megabytes: heap and stacks.
func memory() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	const megabyte = 1 << 20
	return math.Round(float64(stats.HeapInuse+stats.StackInuse)/megabyte*10) / 10
}

// printTimeline prints the events of all gateways, causes before effects.
func (s *system) printTimeline(w io.Writer) {
	if w == nil {
		return
	}
	var events []oriolesight.Event
	for _, m := range s.all() {
		events = append(events, m.gateway.Timeline().Events(0)...)
	}
	oriolesight.Sort(events)
	for _, e := range events {
		fmt.Fprintln(w, e)
	}
}

// progress prints a line each second until the load has ended.
func (s *system) progress(w io.Writer, l *load, ended <-chan struct{}) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for second := 1; ; second++ {
		select {
		case <-ticker.C:
		case <-ended:
			return
		}
		if w == nil {
			continue
		}
		requests, answered, notRun, unknown := l.totals()
		fmt.Fprintf(w, "%3d s: %d requests, %d answered, %d refused as not run, %d unknown; p99 %v; %d gateways\n",
			second, requests, answered, notRun, unknown, l.percentile(99).Round(100*time.Microsecond), len(s.live()))
	}
}

func (s *system) summarize(l *load) Summary {
	verdict := s.judge.Verdict()
	requests, answered, notRun, unknown := l.totals()
	reads, writes := s.platform.Calls()
	var moved int64
	for _, m := range s.all() {
		moved += m.gateway.Metrics().Value("slices_moved")
	}
	return Summary{
		Requests:            requests,
		Answered:            answered,
		RefusedNotRun:       notRun,
		Unknown:             unknown,
		DoubleOwned:         verdict.DoubleOwned,
		RunTwice:            verdict.RunTwice,
		FalseNotRun:         verdict.FalseNotRun,
		WrongAnswers:        verdict.WrongAnswers,
		LostAcknowledged:    verdict.LostAcknowledged,
		P50Ms:               millis(l.percentile(50)),
		P99Ms:               millis(l.percentile(99)),
		MaxKeyUnavailableMs: millis(verdict.KeyUnavailable),
		ColdFalls:           verdict.Falls,
		Crashes:             verdict.Crashes,
		SlicesMoved:         moved,
		StoreReads:          reads,
		StoreWrites:         writes,
		Imbalance:           s.imbalance(),
		MemoryMB:            memory(),
	}
}

// imbalance returns the highest work of a divided upstream over the mean.
func (s *system) imbalance() float64 {
	work := s.judge.Work()
	highest, sum, n := 0, 0, 0
	for _, u := range s.upstreams {
		if u.Divided() {
			highest = max(highest, work[u.ID()])
			sum += work[u.ID()]
			n++
		}
	}
	if sum == 0 {
		return 0
	}
	return math.Round(100*float64(highest*n)/float64(sum)) / 100
}

func millis(d time.Duration) float64 { return math.Round(float64(d.Microseconds())/10) / 100 }

// Print writes the summary for people.
func (s Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d requests: %d answered, %d refused as not run, %d unknown\n", s.Requests, s.Answered, s.RefusedNotRun, s.Unknown)
	fmt.Fprintf(w, "latency p50 %.2f ms, p99 %.2f ms; longest time that a key was not served %.0f ms\n", s.P50Ms, s.P99Ms, s.MaxKeyUnavailableMs)
	fmt.Fprintf(w, "double owned %d, run twice %d, falsely not run %d, wrong answers %d, lost after acknowledgement %d\n", s.DoubleOwned, s.RunTwice, s.FalseNotRun, s.WrongAnswers, s.LostAcknowledged)
	fmt.Fprintf(w, "slices moved %d, upstreams fallen cold %d, crashed %d, store calls %d reads and %d writes\n", s.SlicesMoved, s.ColdFalls, s.Crashes, s.StoreReads, s.StoreWrites)
	verdict := "every promise was kept"
	if s.Broken() {
		verdict = "a promise was BROKEN"
	}
	fmt.Fprintln(w, verdict)
}
