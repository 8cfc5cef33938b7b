// Package oriolesoak runs gateways as separate processes against fakes of the
// platform, injects random faults by seed, and checks invariants on what callers
// and upstreams see. It does not depend on the internals of the gateways.
package oriolesoak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Config describes a soak.
type Config struct {
	// Seed seeds the choice of faults, their times and their targets.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Gateways, Upstreams and Callers are the numbers of each.
	Gateways  int
	Upstreams int
	Callers   int
	// Workspaces is set if the configurations have workspaces, so that callers need a key.
	Workspaces bool
	// Command is the gateway program and its first arguments; the run subcommand
	// with its flags is appended.
	Command []string
	// Dir is the directory for settings and logs.
	Dir string
}

// Report is the result of a soak.
type Report struct {
	Seed     uint64 `json:"seed"`
	Requests int64  `json:"requests"`
	Served   int64  `json:"served"`
	// Refused counts the responses with status 503, which means that the request was
	// not executed, and Failed counts all other failures.
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// PeakMB is the highest resident memory of any gateway, in MB.
	PeakMB int `json:"peakmb"`
	// Violations lists the invariant violations, and Events the injected faults,
	// with the seconds since the start. The violations that the checker found have
	// no time.
	Violations []string `json:"broken"`
	Events     []string `json:"events"`
}

const (
	// recoveryTimeout bounds the time until every gateway serves for the first time,
	// and again after the last fault. It is the platform's bound for recovery from a
	// total outage.
	recoveryTimeout = 15 * time.Second
	// maxFaultGap bounds the time between the starts of two faults. Faults overlap
	// often, as most last for seconds.
	maxFaultGap = 3 * time.Second
	// sampleInterval is how often the memory of the gateways is sampled, and a copy of
	// the store is kept.
	sampleInterval = time.Second
)

// Run runs one soak.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	defer func() { err = errors.Wrapf(err, "soak with seed %d", cfg.Seed) }()
	if len(cfg.Command) == 0 || cfg.Gateways < 1 || cfg.Upstreams < 3 || cfg.Callers < 1 || cfg.Duration <= 0 {
		return report, errors.New("a command, a duration and at least one gateway, three upstreams and one caller are required")
	}
	if err := os.MkdirAll(cfg.Dir, 0o755); err != nil {
		return report, err
	}
	dir, err := filepath.Abs(cfg.Dir)
	if err != nil {
		return report, err
	}
	h, cleanup, err := newHarness(cfg, runDir{cfg.Command, dir})
	if err != nil {
		return report, err
	}
	defer cleanup()
	if err := h.awaitStartup(); err != nil {
		return report, err
	}
	h.keepBackup()
	l := &loadGenerator{harness: h, balancer: &balancer{harness: h, failedChecks: make(map[string]int)}}
	stop := h.startBackground(cfg, l)
	err = h.injectFaults(ctx, cfg)
	h.checkRecovery()
	if err == nil {
		err = h.checkChanges()
	}
	stop()
	// A request that was reported as not executed must not run later either, and may
	// be held up until its deadline.
	time.Sleep(callerDeadline)
	l.checkNotExecuted()
	return h.report(cfg, l), err
}

// startBackground starts the callers, the load balancer and the regular samples;
// stop stops them and waits for their end.
func (h *harness) startBackground(cfg Config, l *loadGenerator) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	start := func(run func()) {
		running.Add(1)
		go func() {
			defer running.Done()
			run()
		}()
	}
	start(func() { l.balancer.run(done) })
	for i := range cfg.Callers {
		start(func() { l.runCaller(cfg.Seed<<16+uint64(i), done) })
	}
	start(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
			for _, v := range h.vms {
				v.samplePeakMemory()
			}
			h.keepBackup()
		}
	})
	return func() {
		close(done)
		running.Wait()
	}
}

// injectFaults starts random faults for the configured time, and waits until all
// have ended. A fault that is still active is not started a second time. Faults of
// different names overlap, except that only one at a time stops and restarts the
// gateway of a VM.
func (h *harness) injectFaults(ctx context.Context, cfg Config) error {
	rng, restores := rand.New(rand.NewPCG(cfg.Seed, 3)), rand.New(rand.NewPCG(cfg.Seed, 4))
	var running sync.WaitGroup
	failures := make(chan error, len(faults))
	active := make(map[string]bool)
	var mu sync.Mutex
	for end := time.Now().Add(cfg.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f := faults[rng.IntN(len(faults))]
		// Drawn from numbers of its own, so that the seeds of earlier failures still draw
		// the same other faults.
		if restores.IntN(len(faults)) == 0 {
			f = storeRestored
		}
		gap := time.Duration(rng.Int64N(int64(maxFaultGap)))
		mu.Lock()
		alreadyActive := active[f.name]
		active[f.name] = true
		mu.Unlock()
		if !alreadyActive {
			running.Add(1)
			go func() {
				defer running.Done()
				recordEnd := func() {}
				if !f.planned {
					recordEnd = h.beginUnplannedFault()
				}
				if err := f.run(h); err != nil {
					select {
					case failures <- errors.Wrap(err, f.name):
					default:
						// The first error is the one returned, so later ones are dropped.
					}
				}
				recordEnd()
				mu.Lock()
				active[f.name] = false
				mu.Unlock()
			}()
		}
		select {
		case <-time.After(gap):
		case <-ctx.Done():
		}
	}
	running.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return ctx.Err()
	}
}

// awaitStartup waits until every gateway serves every service for the first time.
func (h *harness) awaitStartup() error {
	unserved := h.awaitAllServed(recoveryTimeout)
	if unserved == "" {
		return nil
	}
	return errors.Errorf("not served within %v after startup: %s", recoveryTimeout, unserved)
}

// checkRecovery checks that every gateway serves again once all faults are over.
func (h *harness) checkRecovery() {
	if unserved := h.awaitAllServed(recoveryTimeout); unserved != "" {
		h.addViolation("not served within %v after the last fault: %s", recoveryTimeout, unserved)
	}
}

// checkChanges changes the configuration and drains an upstream once the effects of
// all faults are over, and checks that the gateways follow both.
func (h *harness) checkChanges() error {
	time.Sleep(settleTime)
	drained := make(chan error, 1)
	go func() { drained <- drainUpstream(h) }()
	return cmp.Or(changeConfig(h), <-drained)
}

// awaitAllServed waits until every gateway serves every service. On timeout it
// returns the VM and path of a request that was not served.
func (h *harness) awaitAllServed(timeout time.Duration) (unserved string) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(callerPause) {
		unserved = h.findUnserved(client)
		if unserved == "" {
			return ""
		}
	}
	return unserved
}

// sampleKeys is the number of shard keys that are requested from each gateway.
const sampleKeys = 8

// findUnserved sends sample requests to every gateway, and returns the VM and path
// of the first that is not served, or an empty string.
func (h *harness) findUnserved(client *http.Client) string {
	for _, v := range h.vms {
		for i := range sampleKeys {
			method, path := http.MethodGet, "/look/x"
			if i == 0 {
				method, path = http.MethodPost, "/book/x"
			}
			id := "sample-" + v.name + "-" + time.Now().Format(time.RFC3339Nano)
			status, _, _, err := doRequest(client, v, id, method, path, i*shardKeyCount/sampleKeys)
			if err != nil || status != http.StatusOK {
				return v.name + path
			}
		}
	}
	return ""
}

func (h *harness) report(cfg Config, l *loadGenerator) Report {
	r := Report{Seed: cfg.Seed, Served: l.served.Load(), Refused: l.refused.Load(), Failed: l.failed.Load(), Violations: []string{}}
	r.Requests = r.Served + r.Refused + r.Failed
	for _, v := range h.vms {
		v.mu.Lock()
		r.PeakMB = max(r.PeakMB, v.peakMB)
		v.mu.Unlock()
	}
	if r.PeakMB > memoryLimitMB {
		h.addViolation("a gateway used %d MB of memory, limit %d MB", r.PeakMB, memoryLimitMB)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	r.Violations = append(append(r.Violations, h.violations...), h.checker.Violations()...)
	r.Events = h.events
	return r
}
