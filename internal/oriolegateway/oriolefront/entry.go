// Package oriolefront is the subtree that callers meet: an HTTP front end, and
// the entry behind it that forwards each request to the keeper of its group.
// Another front end can use the entry as it is.
package oriolefront

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// retryPause is the time between two tries to find a keeper that takes a
// request, unless news of one comes first.
const retryPause = 10 * time.Millisecond

// maxAttempts bounds how often an idempotent request whose outcome is unknown
// is sent.
const maxAttempts = 3

// Views tells who is in charge of a group.
type Views interface {
	// View returns the newest view, and a channel that is closed when any
	// view changes.
	View(group oriole.GroupID) (oriole.View, <-chan struct{})
}

// Asker forwards requests to other gateways.
type Asker interface {
	Ask(ctx context.Context, to oriole.GatewayID, r oriole.Request) oriole.Answer
}

// Worker runs requests of groups that this gateway is in charge of.
type Worker interface {
	Submit(ctx context.Context, r oriole.Request, reply func(oriole.Answer))
}

// EntryConfig describes an entry.
type EntryConfig struct {
	Self     oriole.GatewayID
	Settings func() *orioleconfig.Settings
	Clock    oriole.Clock
	Hasher   oriole.Hasher
	Views    Views
	Peers    Asker
	Work     Worker
	Metrics  *oriolesight.Metrics
	Seed     uint64
}

// Entry takes requests from a front end and returns their answers.
type Entry struct {
	cfg  EntryConfig
	open atomic.Int64
	mu   sync.Mutex
	rng  *rand.Rand
	// outstanding counts the requests that this gateway has with each group of
	// an undivided service.
	outstanding map[oriole.GroupID]int
}

// NewEntry returns an entry.
func NewEntry(cfg EntryConfig) *Entry {
	return &Entry{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(cfg.Seed, 3)),
		outstanding: make(map[oriole.GroupID]int),
	}
}

// Open returns the number of requests that are in progress.
func (e *Entry) Open() int64 { return e.open.Load() }

// Route sets the group and slice of a request by its service and key. It
// reports false if there is no such service.
func (e *Entry) Route(r *oriole.Request) bool {
	service, found := e.cfg.Settings().Services[r.Service]
	if !found {
		return false
	}
	if service.Divided {
		slice := e.cfg.Hasher.Slice(r.Key, uint32(service.Slices))
		r.Group, r.Slice = service.Locate(r.Service, slice)
		return true
	}
	r.Group = e.pickGroup(r.Service, service)
	return true
}

// pickGroup returns the one of two groups, taken by chance, with which this
// gateway has fewer requests.
func (e *Entry) pickGroup(name oriole.ServiceName, service orioleconfig.Service) oriole.GroupID {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := service.Group(name, e.rng.IntN(service.Groups))
	b := service.Group(name, e.rng.IntN(service.Groups))
	if e.outstanding[b] < e.outstanding[a] {
		return b
	}
	return a
}

// Do returns the answer to a routed request, by its deadline at the latest.
// It tries again while the request has certainly not run, or is idempotent.
func (e *Entry) Do(ctx context.Context, r oriole.Request) oriole.Answer {
	open := e.open.Add(1)
	defer e.open.Add(-1)
	if open > int64(e.cfg.Settings().Limits.Open) {
		return oriole.Refuse(oriole.ReasonQueueFull)
	}
	e.count(r.Group, 1)
	defer e.count(r.Group, -1)
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	unknown := 0
	for {
		view, changed := e.cfg.Views.View(r.Group)
		answer := e.try(ctx, view, r)
		if answer.Outcome == oriole.OutcomeUnknown {
			unknown++
		}
		if !e.again(r, answer, unknown) {
			return overall(answer, unknown)
		}
		e.cfg.Metrics.Add("entry_retries", 1)
		if !e.pause(ctx, changed) {
			return overall(late(answer), unknown)
		}
	}
}

// overall returns the answer to a request of which some tries had an unknown
// outcome: if any may have run, the request must not be called "not run"
// because the last one has not.
func overall(answer oriole.Answer, unknown int) oriole.Answer {
	if unknown > 0 && answer.Outcome == oriole.OutcomeNotRun {
		answer.Outcome = oriole.OutcomeUnknown
	}
	return answer
}

// late returns the answer to a request whose time ran out between two tries.
func late(answer oriole.Answer) oriole.Answer {
	if answer.Outcome == oriole.OutcomeNotRun {
		return oriole.Refuse(oriole.ReasonDeadline)
	}
	return answer
}

func (e *Entry) count(group oriole.GroupID, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outstanding[group] += delta
}

// try sends the request to the keeper, which may be this gateway.
func (e *Entry) try(ctx context.Context, view oriole.View, r oriole.Request) oriole.Answer {
	switch view.Keeper {
	case "":
		return oriole.Refuse(oriole.ReasonNotKeeper)
	case e.cfg.Self:
		return e.submit(ctx, r)
	default:
		return e.cfg.Peers.Ask(ctx, view.Keeper, r)
	}
}

// submit gives the request to this gateway's own queue.
func (e *Entry) submit(ctx context.Context, r oriole.Request) oriole.Answer {
	answers := make(chan oriole.Answer, 1)
	e.cfg.Work.Submit(ctx, r, func(a oriole.Answer) { answers <- a })
	select {
	case answer := <-answers:
		return answer
	case <-ctx.Done():
		return oriole.Lost(oriole.ReasonDeadline)
	}
}

// again reports whether another try may be made: the keeper has changed, or an
// idempotent request was lost with its keeper.
func (e *Entry) again(r oriole.Request, answer oriole.Answer, unknown int) bool {
	switch answer.Outcome {
	case oriole.OutcomeNotRun:
		return answer.Reason == oriole.ReasonNotKeeper
	case oriole.OutcomeUnknown:
		return r.Idempotent && answer.Reason == oriole.ReasonConnection && answer.Server == "" && unknown < maxAttempts
	}
	return false
}

// pause waits for a change of views or a short time, and reports whether there
// is time left.
func (e *Entry) pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// NewID returns the identifier of a request: the gateway's name and a number
// that it does not use twice.
func (e *Entry) NewID(n uint64) string {
	return string(e.cfg.Self) + "-" + formatID(n)
}

func formatID(n uint64) string { return strconv.FormatUint(n, 32) }
