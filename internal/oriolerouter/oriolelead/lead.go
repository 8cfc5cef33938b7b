// Package oriolelead is the supervisor subtree that elects leaders for sharded
// services and carries out their assignments: one duty owns the state machines,
// others call the store and the upstreams.
package oriolelead

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolesight"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleassign"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// eventRingSize bounds the events queued for the deciding duty.
	eventRingSize = 1024
	// jobRingSize bounds the queued calls: at most one per upstream of a
	// service and kind of lease call.
	jobRingSize = 1024
	// leaseCallers bounds the concurrent lease calls. A release takes until
	// running requests have ended, and a call to an unresponsive upstream takes
	// until its timeout.
	leaseCallers = 48
	// storeCallers bounds the concurrent calls to the store.
	storeCallers = 2
	// tickInterval bounds how late a lease call that is due is sent.
	tickInterval = 50 * time.Millisecond
)

// Hub provides the cluster state and accepts assignments read from the store or
// published by this gateway.
type Hub interface {
	Snapshot() *oriole.World
	Subscribe() <-chan struct{}
	UpdateAssignment(ctx context.Context, a oriole.Assignment)
}

// Config configures the subtree.
type Config struct {
	Self    oriole.GatewayID
	Hub     Hub
	Store   oriole.AssignmentStore
	Leaser  oriole.Leaser
	Timers  oriole.Timers
	Metrics *oriolesight.Metrics
	Log     log.Interface
	// Times holds the lease times; Self and Service are filled in for each
	// service.
	Times orioleassign.Config
	// Tell sends peers an assignment that this gateway leads. previous is the
	// assignment that they know already, or nil.
	Tell func(previous *oriole.Assignment, a oriole.Assignment)
}

// Lead takes part in leader election, and leads the services for which this
// gateway is elected. It implements suture.Service.
type Lead struct {
	*suture.Supervisor
	cfg       Config
	events    *oriolering.Ring[event]
	leaseJobs *oriolering.Ring[leaseJob]
	storeJobs *oriolering.Ring[storeJob]

	mu            sync.Mutex
	minRenewTerms map[oriole.ServiceName]uint64
}

// event is an input to the deciding duty. step runs on the state machine of the
// service, or on all state machines if service is empty.
type event struct {
	service oriole.ServiceName
	step    func(now time.Time, m *orioleassign.Machine)
}

type leaseJob struct {
	service oriole.ServiceName
	effect  orioleassign.Effect
}

type storeJob struct {
	service oriole.ServiceName
	effect  orioleassign.Effect
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Lead {
	l := &Lead{
		Supervisor:    suture.New("lead", spec),
		cfg:           cfg,
		events:        oriolering.New[event](eventRingSize),
		leaseJobs:     oriolering.New[leaseJob](jobRingSize),
		storeJobs:     oriolering.New[storeJob](jobRingSize),
		minRenewTerms: make(map[oriole.ServiceName]uint64),
	}
	l.Add(&decideDuty{leader: l})
	for range leaseCallers {
		l.Add(&leaseDuty{l})
	}
	for range storeCallers {
		l.Add(&storeDuty{l})
	}
	return l
}

// Heard takes a peer's promise that it renews no lease of the service in a term
// below the given one.
func (l *Lead) Heard(ctx context.Context, peer oriole.GatewayID, service oriole.ServiceName, term uint64) {
	l.enqueue(ctx, event{service, func(now time.Time, m *orioleassign.Machine) { m.Heard(now, peer, term) }})
}

// Fed records that a peer reaches the store, as a directory update that it
// relayed or its heartbeat shows.
func (l *Lead) Fed(ctx context.Context) {
	l.enqueue(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.Fed(now) }})
}

// Loaded takes request counts by bucket of the service's keys, and mean request
// durations by upstream.
func (l *Lead) Loaded(ctx context.Context, service oriole.ServiceName, counts map[int]int, durations map[oriole.ServerID]time.Duration) {
	l.enqueue(ctx, event{service, func(_ time.Time, m *orioleassign.Machine) {
		for bucket, n := range counts {
			m.AddLoad(bucket, float64(n))
		}
		for id, duration := range durations {
			m.AddSpan(id, duration)
		}
	}})
}

// Suspected takes a dispatcher's report that an upstream accepted no
// connection.
func (l *Lead) Suspected(ctx context.Context, service oriole.ServiceName, incarnation oriole.Life) {
	l.enqueue(ctx, event{service, func(now time.Time, m *orioleassign.Machine) { m.Suspect(now, incarnation) }})
}

// Leave gives up leadership and takes no further part in elections.
func (l *Lead) Leave(ctx context.Context) {
	l.enqueue(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.Leave(now) }})
}

// Rights returns for each sharded service the term below which this gateway
// renews no lease.
func (l *Lead) Rights() map[oriole.ServiceName]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	minRenewTerms := make(map[oriole.ServiceName]uint64, len(l.minRenewTerms))
	for service, term := range l.minRenewTerms {
		minRenewTerms[service] = term
	}
	return minRenewTerms
}

func (l *Lead) enqueue(ctx context.Context, e event) {
	// Put fails only when the gateway shuts down.
	_ = l.events.Put(ctx, e)
}

// decideDuty owns the state machines.
type decideDuty struct {
	leader   *Lead
	machines map[oriole.ServiceName]*orioleassign.Machine
	// published holds the assignments last sent to peers.
	published map[oriole.ServiceName]*oriole.Assignment
}

func (d *decideDuty) String() string { return "decide" }

// Serve implements suture.Service. After a restart the duty has lost track of
// the lease calls that it sent, so it takes part like a gateway that has just
// started. The stored assignment still names it as the leader, and leaders of
// later terms wait for its promise to renew no lease.
func (d *decideDuty) Serve(ctx context.Context) error {
	l := d.leader
	d.machines = make(map[oriole.ServiceName]*orioleassign.Machine)
	d.published = make(map[oriole.ServiceName]*oriole.Assignment)
	changed := l.cfg.Hub.Subscribe()
	ticks, stop := l.cfg.Timers.Subscribe(tickInterval)
	defer stop()
	for {
		select {
		case e := <-l.events.Out():
			d.step(ctx, e)
		case <-changed:
			state := l.cfg.Hub.Snapshot()
			d.addMachines(state)
			d.step(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.World(now, state) }})
		case <-ticks:
			d.step(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.Tick(now) }})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addMachines creates a state machine for each sharded service of the
// configuration.
func (d *decideDuty) addMachines(state *oriole.World) {
	if state.Config == nil {
		return
	}
	for name, service := range state.Config.Services {
		if _, found := d.machines[name]; found || !service.Divided {
			continue
		}
		cfg := d.leader.cfg.Times
		cfg.Self, cfg.Service = d.leader.cfg.Self, name
		d.machines[name] = orioleassign.New(cfg)
	}
}

func (d *decideDuty) step(ctx context.Context, e event) {
	for service, m := range d.machines {
		if e.service != "" && e.service != service {
			continue
		}
		e.step(d.leader.cfg.Timers.Now(), m)
		d.execute(ctx, service, m)
	}
}

// execute carries out the effects that the state machine returns. Put does not
// block, because the rings hold more jobs than state machines have calls in
// progress.
func (d *decideDuty) execute(ctx context.Context, service oriole.ServiceName, m *orioleassign.Machine) {
	l := d.leader
	for _, effect := range m.Take() {
		switch {
		case effect.Read != nil, effect.Write != nil:
			_ = l.storeJobs.Put(ctx, storeJob{service, effect})
		case effect.Grant != nil, effect.Release != nil, effect.Probe != nil:
			_ = l.leaseJobs.Put(ctx, leaseJob{service, effect})
		case effect.Tell != nil:
			previous := d.published[service]
			if previous == nil {
				// The assignment that all gateways know, from the previous
				// leader or from the store.
				previous = l.cfg.Hub.Snapshot().Assignments[service]
			}
			l.cfg.Hub.UpdateAssignment(ctx, *effect.Tell)
			l.cfg.Tell(previous, *effect.Tell)
			d.published[service] = effect.Tell
		case effect.Note != nil:
			l.log(service, effect.Note)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minRenewTerms[service] = m.RightsEnd()
}

func (l *Lead) log(service oriole.ServiceName, n *orioleassign.Note) {
	l.cfg.Metrics.Add("lead_"+n.What, 1)
	l.cfg.Log.WithFields(log.Fields{
		"service": service, "upstream": n.Server, "first": n.First, "last": n.Last,
		"fence": n.Fence, "detail": n.Detail,
	}).Info(n.What)
}

// storeDuty makes one call to the store at a time.
type storeDuty struct{ leader *Lead }

func (d *storeDuty) String() string { return "call the store" }

// Serve implements suture.Service.
func (d *storeDuty) Serve(ctx context.Context) error {
	l := d.leader
	for {
		job, err := l.storeJobs.Take(ctx)
		if err != nil {
			return err
		}
		started := l.cfg.Timers.Now()
		if read := job.effect.Read; read != nil {
			a, version, err := l.cfg.Store.ReadAssignment(ctx, job.service, read.Lag)
			if err == nil {
				l.cfg.Hub.UpdateAssignment(ctx, a)
			}
			l.enqueue(ctx, event{job.service, func(now time.Time, m *orioleassign.Machine) {
				m.ReadDone(now, started, a, version, read.Lag, err)
			}})
			continue
		}
		write := job.effect.Write
		version, err := l.cfg.Store.WriteAssignment(ctx, write.Assignment, write.Expected)
		if err != nil {
			l.cfg.Metrics.Add("lead_writes_failed", 1)
		}
		l.enqueue(ctx, event{job.service, func(now time.Time, m *orioleassign.Machine) {
			m.WriteDone(now, started, write.Assignment, version, err)
		}})
	}
}

// leaseDuty makes one lease call to an upstream at a time.
type leaseDuty struct{ leader *Lead }

func (d *leaseDuty) String() string { return "order" }

// Serve implements suture.Service.
func (d *leaseDuty) Serve(ctx context.Context) error {
	l := d.leader
	for {
		job, err := l.leaseJobs.Take(ctx)
		if err != nil {
			return err
		}
		call, result := l.send(ctx, job.effect)
		l.enqueue(ctx, event{job.service, func(now time.Time, m *orioleassign.Machine) {
			m.OrderDone(now, call.Call, result)
		}})
	}
}

func (l *Lead) send(ctx context.Context, effect orioleassign.Effect) (call *orioleassign.Order, r orioleassign.Result) {
	request := func(c *orioleassign.Order) oriole.LeaseOrder {
		request := c.Lease
		// The gateway may have been paused since the call was decided, and its
		// right to send it may have expired.
		request.Ready = func() bool { return l.cfg.Timers.Now().Before(c.Before) }
		return request
	}
	switch {
	case effect.Grant != nil:
		call = effect.Grant
		r.Conn, r.Err = l.cfg.Leaser.Grant(ctx, call.To, request(call))
		l.cfg.Metrics.Add("lead_grants", 1)
	case effect.Release != nil:
		call = effect.Release
		r.Handover, r.Err = l.cfg.Leaser.Release(ctx, call.To, request(call))
		l.cfg.Metrics.Add("lead_releases", 1)
	default:
		call = effect.Probe
		r.Err = l.cfg.Leaser.Probe(ctx, call.To)
	}
	if r.Err != nil {
		l.cfg.Metrics.Add("lead_orders_failed", 1)
		l.cfg.Log.WithError(r.Err).WithFields(log.Fields{
			"upstream": call.To.ID, "first": call.Lease.First, "last": call.Lease.Last, "fence": call.Lease.Fence,
		}).Debug("lease call failed")
	}
	return call, r
}
