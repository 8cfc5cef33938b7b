// Package oriolework is the subtree that runs requests: for each group that
// this gateway is in charge of, one duty decides on its queue, and one duty for
// each slot of each server sends.
package oriolework

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepick"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequeue"
)

// Config describes the subtree.
type Config struct {
	Settings *orioleconfig.Settings
	Timers   oriole.Timers
	Runner   func(oriole.ServiceName) oriole.Runner
	Metrics  *oriolesight.Metrics
	Gate     oriole.Gate
	// Suspect is told of a server that could not be reached, and Blame of a
	// request that crashed one.
	Suspect func(group oriole.GroupID, server int)
	Blame   func(group oriole.GroupID, blame oriolequeue.Blame)
	Seed    uint64
}

// Work is the subtree. It implements suture.Service.
type Work struct {
	*suture.Supervisor
	cfg    Config
	spec   suture.Spec
	groups map[oriole.GroupID]*group
	mu     sync.Mutex
}

// New returns the subtree. The duties of a group start when this gateway is
// first in charge of it.
func New(cfg Config, spec suture.Spec) (work *Work, err error) {
	defer func() { err = errors.Wrap(err, "preparing the queues") }()
	w := &Work{
		Supervisor: suture.New("work", spec),
		cfg:        cfg,
		spec:       spec,
		groups:     make(map[oriole.GroupID]*group),
	}
	for i, g := range cfg.Settings.Groups() {
		service := cfg.Settings.Services[g.Service]
		picker, err := oriolepick.New(service.Pick, rand.New(rand.NewPCG(cfg.Seed, uint64(i))))
		if err != nil {
			return nil, err
		}
		w.groups[g.ID] = newGroup(cfg, g, picker)
	}
	return w, nil
}

// Route sets the routing of a group and wakes its queue.
func (w *Work) Route(id oriole.GroupID, routing *oriole.Routing) {
	g := w.groups[id]
	if g == nil {
		return
	}
	g.routing.Store(routing)
	if routing.Keeper {
		w.start(g)
	}
	g.wake()
}

// start adds the duties of a group to the tree, once.
func (w *Work) start(g *group) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if g.started {
		return
	}
	g.started = true
	w.Add(g.tree(w.spec))
}

// Submit gives a request to the queue of its group. The reply function is
// called once, and must not block.
func (w *Work) Submit(ctx context.Context, r oriole.Request, reply func(oriole.Answer)) {
	g := w.groups[r.Group]
	if g == nil || !g.routing.Load().Keeper {
		reply(oriole.Refuse(oriole.ReasonNotKeeper))
		return
	}
	job := &oriolequeue.Job{
		Request: r,
		Slice:   int(r.Slice),
		Reply:   reply,
		Gone:    func() bool { return ctx.Err() != nil },
	}
	if !g.in.Offer(arrival{ctx: ctx, job: job}) {
		w.cfg.Metrics.Add("queue_ring_full", 1)
		reply(oriole.Refuse(oriole.ReasonQueueFull))
	}
}

// Blame tells the queues of all groups of a service of a request that crashed a
// server of the given group. A group that this gateway does not keep learns of
// it as well, since it may be handed over here. The queue that found it out
// knows already.
func (w *Work) Blame(at oriole.GroupID, blame oriolequeue.Blame) {
	origin := w.groups[at]
	if origin == nil {
		return
	}
	for _, g := range w.groups {
		if g.spec.Service == origin.spec.Service && (g != origin || !w.Keeps(at)) {
			g.in.Offer(arrival{blame: blame})
		}
	}
}

// Keeps reports whether this gateway is in charge of the group.
func (w *Work) Keeps(id oriole.GroupID) bool {
	g := w.groups[id]
	return g != nil && g.routing.Load().Keeper
}

// Busy reports whether a request runs on the slice of the group.
func (w *Work) Busy(id oriole.GroupID, slice int) bool {
	g := w.groups[id]
	return g != nil && slice < len(g.busy) && g.busy[slice].Load() > 0
}

// Status is the state of one server's queue.
type Status struct {
	Running int `json:"running"`
	Limit   int `json:"limit"`
	Queued  int `json:"queued"`
}

// Status returns the state of the group's servers, as of the last tick.
func (w *Work) Status(id oriole.GroupID) []Status {
	g := w.groups[id]
	if g == nil {
		return nil
	}
	return *g.status.Load()
}
