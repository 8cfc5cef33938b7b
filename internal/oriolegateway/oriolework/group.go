package oriolework

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepick"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequeue"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

// Sizes of the rings of one group.
const (
	arrivalRing = 4096
	doneRing    = 1024
)

// pendingBlames bounds what a group remembers of crashing requests before its
// duties start.
const pendingBlames = 64

// queueTick is the interval at which a queue looks for requests that are late.
const queueTick = 5 * time.Millisecond

// arrival is what enters a group's ring: a request, or one to blame.
type arrival struct {
	ctx   context.Context
	job   *oriolequeue.Job
	blame oriolequeue.Blame
}

// started is a request on its way to a server.
type started struct {
	ctx  context.Context
	cut  context.CancelFunc
	term oriole.Term
	job  *oriolequeue.Job
}

// finished is the result of a request that was sent.
type finished struct {
	server int
	job    *oriolequeue.Job
	answer oriole.Answer
}

// group is one group of servers. Its duties are made when this gateway is
// first in charge of it: a gateway keeps few of all groups.
type group struct {
	spec    orioleconfig.Group
	seed    uint64
	routing atomic.Pointer[oriole.Routing]
	running atomic.Pointer[duties]
	blames  []oriolequeue.Blame
}

func newGroup(spec orioleconfig.Group, seed uint64) *group {
	g := &group{spec: spec, seed: seed}
	g.routing.Store(&oriole.Routing{})
	return g
}

// duties joins the duties of one group.
type duties struct {
	*group
	cfg     Config
	slots   int
	queue   *oriolequeue.Queue
	status  atomic.Pointer[[]Status]
	busy    []atomic.Int32
	in      *oriolering.Ring[arrival]
	done    *oriolering.Ring[finished]
	senders []*oriolering.Ring[started]
	kick    chan struct{}
}

func newDuties(cfg Config, g *group) (d *duties, err error) {
	service := cfg.Settings.Services[g.spec.Service]
	picker, err := oriolepick.New(service.Pick, rand.New(rand.NewPCG(cfg.Seed, g.seed)))
	if err != nil {
		return nil, err
	}
	d = &duties{
		group: g,
		cfg:   cfg,
		slots: service.Slots,
		busy:  make([]atomic.Int32, max(g.spec.Slices, 1)),
		in:    oriolering.New[arrival](arrivalRing),
		done:  oriolering.New[finished](doneRing),
		kick:  make(chan struct{}, 1),
	}
	status := make([]Status, len(g.spec.Servers))
	d.status.Store(&status)
	for range g.spec.Servers {
		d.senders = append(d.senders, oriolering.New[started](d.slots))
	}
	d.queue = oriolequeue.New(oriolequeue.Config{
		Servers: len(g.spec.Servers),
		Divided: g.spec.Slices > 0,
		Limits:  cfg.Settings.QueueLimits(g.spec.Service),
		Picker:  picker,
	}, func(slice, delta int) { d.busy[slice].Add(int32(delta)) })
	return d, nil
}

// tree returns the supervisor of the group's duties.
func (g *duties) tree(spec suture.Spec) *suture.Supervisor {
	tree := suture.New("group "+string(g.spec.ID), spec)
	tree.Add(&queueDuty{
		group:    g,
		contexts: make(map[*oriolequeue.Job]context.Context),
		cuts:     make(map[*oriolequeue.Job]context.CancelFunc),
	})
	runner := g.cfg.Runner(g.spec.Service)
	for i := range g.spec.Servers {
		for range g.slots {
			tree.Add(&senderDuty{group: g, server: i, runner: runner})
		}
	}
	return tree
}

func (g *duties) wake() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// mayStart reports whether the routing in force still lets the request run on
// the server.
func (g *duties) mayStart(server int, term oriole.Term, job *oriolequeue.Job) bool {
	routing := g.routing.Load()
	if routing.Term != term || !routing.Serves(server, g.cfg.Timers.Now()) {
		return false
	}
	return g.spec.Slices == 0 || routing.Owner[job.Slice] == server
}

// queueDuty owns the group's queue.
type queueDuty struct {
	group    *duties
	contexts map[*oriolequeue.Job]context.Context
	// cuts ends the runs in progress early.
	cuts    map[*oriolequeue.Job]context.CancelFunc
	current *oriole.Routing
}

func (d *queueDuty) String() string { return "queue " + string(d.group.spec.ID) }

// Serve implements suture.Service.
func (d *queueDuty) Serve(ctx context.Context) error {
	g := d.group
	ticks, stop := g.cfg.Timers.Subscribe(queueTick)
	defer stop()
	for {
		select {
		case a := <-g.in.Out():
			g.cfg.Gate.Wait(ctx)
			d.arrived(ctx, a)
		case f := <-g.done.Out():
			g.cfg.Gate.Wait(ctx)
			d.finished(ctx, f)
		case <-g.kick:
			d.reroute(ctx)
		case <-ticks:
			g.cfg.Gate.Wait(ctx)
			d.reroute(ctx)
			d.carryOut(ctx, g.queue.Tick(g.cfg.Timers.Now()))
			d.report()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *queueDuty) arrived(ctx context.Context, a arrival) {
	d.reroute(ctx)
	now := d.group.cfg.Timers.Now()
	if a.job == nil {
		d.group.queue.Blame(now, a.blame)
		return
	}
	reply := a.job.Reply
	job := a.job
	job.Reply = func(answer oriole.Answer) {
		delete(d.contexts, job)
		reply(answer)
	}
	d.contexts[job] = a.ctx
	d.carryOut(ctx, d.group.queue.Arrive(now, job))
}

func (d *queueDuty) finished(ctx context.Context, f finished) {
	d.reroute(ctx)
	delete(d.cuts, f.job)
	d.carryOut(ctx, d.group.queue.Done(d.group.cfg.Timers.Now(), f.server, f.job, f.answer))
}

// reroute takes in the newest routing.
func (d *queueDuty) reroute(ctx context.Context) {
	routing := d.group.routing.Load()
	if routing == d.current {
		return
	}
	d.current = routing
	d.carryOut(ctx, d.group.queue.Route(d.group.cfg.Timers.Now(), routing))
}

func (d *queueDuty) carryOut(ctx context.Context, effects oriolequeue.Effects) {
	g := d.group
	for _, job := range effects.Abandons {
		if cut := d.cuts[job]; cut != nil {
			cut()
		}
	}
	for _, server := range effects.Suspects {
		g.cfg.Suspect(g.spec.ID, server)
	}
	for _, blame := range effects.Blamed {
		g.cfg.Blame(g.spec.ID, blame)
	}
	var refused []finished
	for _, start := range effects.Starts {
		// The slice counts as busy by now, so a move that begins after this
		// check waits for the request to end.
		ok := g.mayStart(start.Server, start.Term, start.Job)
		if ok {
			ok = d.send(start)
		}
		if !ok {
			refused = append(refused, finished{start.Server, start.Job, oriole.Refuse(oriole.ReasonFenced)})
		}
	}
	for _, f := range refused {
		if err := g.done.Put(ctx, f); err != nil {
			return
		}
	}
}

// send hands a request to a sender. There is room, since no more requests run
// than there are senders.
func (d *queueDuty) send(start oriolequeue.Start) bool {
	ctx, cut := context.WithDeadline(d.contexts[start.Job], start.Job.Request.Deadline)
	d.cuts[start.Job] = cut
	if d.group.senders[start.Server].Offer(started{ctx: ctx, cut: cut, term: start.Term, job: start.Job}) {
		return true
	}
	cut()
	return false
}

// report publishes the state of the servers' queues.
func (d *queueDuty) report() {
	g := d.group
	status := make([]Status, len(g.spec.Servers))
	for i := range status {
		status[i] = Status{Running: g.queue.Running(i), Limit: g.queue.Limit(i), Queued: g.queue.Queued(i)}
	}
	g.status.Store(&status)
}

// senderDuty is one slot of one server.
type senderDuty struct {
	group  *duties
	server int
	runner oriole.Runner
}

func (d *senderDuty) String() string {
	return "send to " + string(d.group.spec.Servers[d.server].ID)
}

// Serve implements suture.Service.
func (d *senderDuty) Serve(ctx context.Context) error {
	g := d.group
	for {
		next, err := g.senders[d.server].Take(ctx)
		if err != nil {
			return err
		}
		g.cfg.Gate.Wait(ctx)
		answer := d.send(next)
		g.cfg.Gate.Wait(ctx)
		if err := g.done.Put(ctx, finished{d.server, next.job, answer}); err != nil {
			return err
		}
	}
}

// send runs the request if the lease still covers it: the process may have
// been paused since the queue decided.
func (d *senderDuty) send(next started) oriole.Answer {
	g := d.group
	defer next.cut()
	if !g.mayStart(d.server, next.term, next.job) {
		return oriole.Refuse(oriole.ReasonFenced)
	}
	return d.runner.Run(next.ctx, g.spec.Servers[d.server], next.term, next.job.Request)
}
