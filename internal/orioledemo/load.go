package orioledemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolefront"
	"github.com/orioleswitch/orioleswitch/internal/oriolestandin"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Shape of the load.
const (
	stallKeys = 200
	zipfSkew  = 1.1
	// watchedKeys are looked up at even intervals, so that the time in which
	// a key is not served is seen.
	watchedKeys   = 24
	watchInterval = 50 * time.Millisecond
	// maxOpen bounds the requests in progress.
	maxOpen = 2048
)

// callerTimeout is how long a caller waits; it is above every deadline.
const callerTimeout = 5 * time.Second

// load sends requests as callers do and records what they are told.
type load struct {
	system *system
	client *http.Client
	rate   int
	rng    *rand.Rand
	zipf   *rand.Zipf
	open   sync.WaitGroup
	slots  chan struct{}
	number atomic.Uint64
	factor atomic.Int64
	shift  atomic.Uint64
	turn   atomic.Uint64

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	requests int
	answered int
	notRun   int
	unknown  int
}

// request is one request of a caller.
type request struct {
	method     string
	path       string
	key        string
	operation  string
	body       string
	idempotent bool
	crash      bool
}

func newLoad(s *system, rate int) *load {
	rng := rand.New(rand.NewPCG(s.seed, 4))
	l := &load{
		system: s,
		client: &http.Client{
			Timeout:   callerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen, MaxIdleConns: 0},
		},
		rate:    rate,
		rng:     rng,
		zipf:    rand.NewZipf(rng, zipfSkew, 1, stallKeys-1),
		slots:   make(chan struct{}, maxOpen),
		latency: hdrhistogram.New(1, callerTimeout.Microseconds(), 3),
	}
	l.factor.Store(1)
	return l
}

// setRate multiplies the usual rate.
func (l *load) setRate(factor int64) { l.factor.Store(factor) }

// shiftKeys makes other keys the hot ones.
func (l *load) shiftKeys() { l.shift.Add(stallKeys) }

// run sends requests until ctx is done, and returns when all are answered.
func (l *load) run(ctx context.Context) {
	for i := range watchedKeys {
		l.open.Add(1)
		go l.watch(ctx, fmt.Sprintf("stall-%d", i*7))
	}
	const tick = 5 * time.Millisecond
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	due := 0.0
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.open.Wait()
			l.client.CloseIdleConnections()
			return
		}
		due += float64(l.rate) * float64(l.factor.Load()) * tick.Seconds()
		for ; due >= 1; due-- {
			l.start(l.draw())
		}
	}
}

// start sends a request in the background unless too many are open.
func (l *load) start(r request) {
	select {
	case l.slots <- struct{}{}:
	default:
		return
	}
	l.open.Add(1)
	go func() {
		defer func() { <-l.slots; l.open.Done() }()
		l.send(r)
	}()
}

// watch looks one key up again and again.
func (l *load) watch(ctx context.Context, key string) {
	defer l.open.Done()
	l.system.judge.Watched(key, time.Now())
	defer func() { l.system.judge.Unwatched(key, time.Now()) }()
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.start(l.lookup(key))
		case <-ctx.Done():
			return
		}
	}
}

func (l *load) operation() string { return fmt.Sprintf("op-%d", l.number.Add(1)) }

func (l *load) lookup(key string) request {
	return request{method: http.MethodGet, path: "/stall-board/" + key + "/lookup", key: key, operation: l.operation(), idempotent: true}
}

// draw picks the next request: lookups and feed bookings by stall, tow
// assignments and farrier call-outs.
func (l *load) draw() request {
	key := fmt.Sprintf("stall-%d", l.zipf.Uint64()+l.shift.Load())
	switch n := l.rng.IntN(100); {
	case n < 60:
		return l.lookup(key)
	case n < 75:
		return request{method: http.MethodPost, path: "/stall-board/" + key + "/feed", operation: l.operation(), body: "hay and oats for " + key}
	case n < 92:
		return request{method: http.MethodGet, path: fmt.Sprintf("/bargemaster/tow-%d", l.rng.IntN(stallKeys)), operation: l.operation(), idempotent: true}
	default:
		return request{method: http.MethodPost, path: fmt.Sprintf("/bargemaster/farrier-%d", l.rng.IntN(stallKeys)), operation: l.operation(), body: "one farrier"}
	}
}

// send carries out one request and records its end.
func (l *load) send(r request) {
	start := time.Now()
	outcome, right := l.exchange(r)
	end := time.Now()
	l.system.judge.Told(r.operation, outcome, r.idempotent, right)
	if r.key != "" && outcome == oriole.OutcomeAnswered {
		l.system.judge.Served(r.key, end)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests++
	switch outcome {
	case oriole.OutcomeAnswered:
		l.answered++
		_ = l.latency.RecordValue(end.Sub(start).Microseconds())
	case oriole.OutcomeNotRun:
		l.notRun++
	default:
		l.unknown++
	}
}

// balancerTries is how often the balancer offers a request to another gateway
// when it could not connect to one.
const balancerTries = 4

// exchange sends the request by way of the balancer.
func (l *load) exchange(r request) (outcome oriole.Outcome, right bool) {
	for range balancerTries {
		ready := l.system.ready()
		if len(ready) == 0 {
			time.Sleep(watchInterval)
			continue
		}
		// Taking the gateways in turn keeps the load's chance to one goroutine.
		m := ready[l.turn.Add(1)%uint64(len(ready))]
		var connected bool
		outcome, right, connected = l.exchangeWith(m, r)
		if connected {
			return outcome, right
		}
	}
	return oriole.OutcomeNotRun, false
}

// exchangeWith sends the request to one gateway.
func (l *load) exchangeWith(m *member, r request) (outcome oriole.Outcome, right, connected bool) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected = true },
	})
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+m.gateway.Self().Callers.String()+r.path, io.NopCloser(strings.NewReader(r.body)))
	if err != nil {
		return oriole.OutcomeNotRun, false, false
	}
	req.ContentLength = int64(len(r.body))
	req.Header.Set(oriolestandin.HeaderOperation, r.operation)
	if r.crash {
		req.Header.Set(oriolestandin.HeaderCrash, "1")
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return oriole.OutcomeUnknown, false, connected
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return oriole.OutcomeUnknown, false, true
	}
	switch resp.Header.Get(oriolefront.HeaderOutcome) {
	case oriole.OutcomeAnswered.String():
		return oriole.OutcomeAnswered, isAnswerTo(r, resp.StatusCode, body), true
	case oriole.OutcomeNotRun.String():
		return oriole.OutcomeNotRun, false, true
	}
	return oriole.OutcomeUnknown, false, true
}

// isAnswerTo reports whether the body is the whole answer to the request.
func isAnswerTo(r request, status int, body []byte) bool {
	var answer struct {
		Operation string `json:"operation"`
		Path      string `json:"path"`
		Size      int    `json:"size"`
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	err := decoder.Decode(&answer)
	return err == nil && status == http.StatusOK && answer.Operation == r.operation && answer.Path == r.path && answer.Size == len(r.body)
}

// percentile returns a percentile of the answered requests' times.
func (l *load) percentile(p float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.latency.ValueAtQuantile(p)) * time.Microsecond
}

// totals returns the counts so far.
func (l *load) totals() (requests, answered, notRun, unknown int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests, l.answered, l.notRun, l.unknown
}
