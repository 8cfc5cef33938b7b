// Package oriolework is the subtree that runs requests: for each group that
// this gateway is in charge of, one duty decides on its queue, and one duty for
// each slot of each server sends.
package oriolework

import (
	"context"
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
		if _, err := oriolepick.New(cfg.Settings.Services[g.Service].Pick, nil); err != nil {
			return nil, err
		}
		w.groups[g.ID] = newGroup(g, uint64(i))
	}
	return w, nil
}

// Route sets the routing of a group and wakes its queue.
func (w *Work) Route(id oriole.GroupID, routing *oriole.Routing) {
	g := w.groups[id]
	if g == nil {
		return
	}
	d := g.running.Load()
	if routing.Keeper && d == nil {
		d = w.start(g)
	}
	g.routing.Store(routing)
	if d != nil {
		d.wake()
	}
}

// start adds the duties of a group to the tree. Only the duty that decides on
// ownership calls it, through Route.
func (w *Work) start(g *group) *duties {
	d, err := newDuties(w.cfg, g)
	if err != nil {
		// New has checked the only setting that can be wrong.
		panic(err)
	}
	w.mu.Lock()
	g.running.Store(d)
	for _, blame := range g.blames {
		d.in.Offer(arrival{blame: blame})
	}
	g.blames = nil
	w.mu.Unlock()
	w.Add(d.tree(w.spec))
	return d
}

// Submit gives a request to the queue of its group. The reply function is
// called once, and must not block.
func (w *Work) Submit(ctx context.Context, r oriole.Request, reply func(oriole.Answer)) {
	d := w.duties(r.Group)
	if d == nil || !d.routing.Load().Keeper {
		reply(oriole.Refuse(oriole.ReasonNotKeeper))
		return
	}
	job := &oriolequeue.Job{
		Request: r,
		Slice:   int(r.Slice),
		Reply:   reply,
		Gone:    func() bool { return ctx.Err() != nil },
	}
	if !d.in.Offer(arrival{ctx: ctx, job: job}) {
		w.cfg.Metrics.Add("queue_ring_full", 1)
		reply(oriole.Refuse(oriole.ReasonQueueFull))
	}
}

// duties returns the duties of the group, or nil if they have not started.
func (w *Work) duties(id oriole.GroupID) *duties {
	if g := w.groups[id]; g != nil {
		return g.running.Load()
	}
	return nil
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
			w.tell(g, blame)
		}
	}
}

// tell gives a blame to the group's queue, or keeps it until there is one.
func (w *Work) tell(g *group, blame oriolequeue.Blame) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := g.running.Load(); d != nil {
		d.in.Offer(arrival{blame: blame})
		return
	}
	if len(g.blames) == pendingBlames {
		g.blames = g.blames[1:]
	}
	g.blames = append(g.blames, blame)
}

// Keeps reports whether this gateway is in charge of the group.
func (w *Work) Keeps(id oriole.GroupID) bool {
	g := w.groups[id]
	return g != nil && g.routing.Load().Keeper
}

// Busy reports whether a request runs on the slice of the group.
func (w *Work) Busy(id oriole.GroupID, slice int) bool {
	d := w.duties(id)
	return d != nil && slice < len(d.busy) && d.busy[slice].Load() > 0
}

// Status is the state of one server's queue.
type Status struct {
	Running int `json:"running"`
	Limit   int `json:"limit"`
	Queued  int `json:"queued"`
}

// Status returns the state of the group's servers, as of the last tick.
func (w *Work) Status(id oriole.GroupID) []Status {
	d := w.duties(id)
	if d == nil {
		return nil
	}
	return *d.status.Load()
}
