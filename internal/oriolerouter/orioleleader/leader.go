// Package orioleleader is the supervisor subtree that elects leaders for sharded
// services and carries out their assignments: one duty owns the state machines,
// others call the store and the upstreams.
package orioleleader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleassign"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// eventRingSize bounds the events queued for the decide duty.
	eventRingSize = 1024
	// jobRingSize bounds the queued calls of each kind. Calls beyond it count as not
	// sent, and are requested again.
	jobRingSize = 1024
	// leaseCallers bounds the concurrent grants and probes. There are many because a
	// call to an unresponsive upstream takes until its timeout.
	leaseCallers = 48
	// releaseCallers bounds the concurrent releases, each of which takes until the
	// running requests have ended. They have duties of their own, so that renewals
	// don't wait for them.
	releaseCallers = 128
	// maxStepBatch bounds the events that are handled before the effects are carried
	// out.
	maxStepBatch = 256
	// storeCallers bounds the concurrent calls to the store.
	storeCallers = 2
	// tickInterval bounds the delay until a lease call that is due is sent.
	tickInterval = 50 * time.Millisecond
	// waitReportInterval is how often ranges are logged whose keys nobody serves.
	waitReportInterval = 500 * time.Millisecond
)

// StateSource provides the cluster state and accepts assignments that were read
// from the store or published by this gateway.
type StateSource interface {
	Snapshot() *oriole.ClusterState
	Subscribe() <-chan struct{}
	UpdateAssignment(ctx context.Context, assignment oriole.Assignment)
}

// Config configures the subtree.
type Config struct {
	Self    oriole.GatewayID
	State   StateSource
	Store   oriole.AssignmentStore
	Leaser  oriole.Leaser
	Timers  oriole.Timers
	Metrics *orioletelemetry.Metrics
	Log     log.Interface
	// LeaseTimes holds the lease times; Self and Service are filled in for each
	// service.
	LeaseTimes orioleassign.Config
	// AskPeers asks all peers for their heartbeats. It must not block.
	AskPeers func(service oriole.ServiceName)
	// Publish sends peers the assignment of a service that this gateway leads.
	// previous is the assignment that they have, or nil if unknown.
	Publish func(previous *oriole.Assignment, assignment oriole.Assignment)
}

// Leader takes part in leader election, and leads the services for which this
// gateway is elected. It implements suture.Service.
type Leader struct {
	*suture.Supervisor
	cfg         Config
	events      *oriolering.Ring[event]
	leaseJobs   *oriolering.Ring[leaseJob]
	releaseJobs *oriolering.Ring[leaseJob]
	storeJobs   *oriolering.Ring[storeJob]
	// decideRun counts the starts of the decide duty. Lease calls that an earlier
	// run requested are not sent.
	decideRun atomic.Uint64

	mu sync.Mutex
	// minRenewTerms is the result of MinRenewTerms. The decide duty updates it.
	minRenewTerms map[oriole.ServiceName]uint64
}

// event is an input to the decide duty. step runs on the state machine of the
// service, or on all state machines if service is empty.
type event struct {
	service oriole.ServiceName
	step    func(now time.Time, m *orioleassign.Machine)
}

type leaseJob struct {
	service   oriole.ServiceName
	effect    orioleassign.Effect
	decideRun uint64
}

type storeJob struct {
	service oriole.ServiceName
	effect  orioleassign.Effect
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Leader {
	l := &Leader{
		Supervisor:    suture.New("lead", spec),
		cfg:           cfg,
		events:        oriolering.New[event](eventRingSize),
		leaseJobs:     oriolering.New[leaseJob](jobRingSize),
		releaseJobs:   oriolering.New[leaseJob](jobRingSize),
		storeJobs:     oriolering.New[storeJob](jobRingSize),
		minRenewTerms: make(map[oriole.ServiceName]uint64),
	}
	l.Add(&decideDuty{leader: l})
	for range leaseCallers {
		l.Add(&leaseDuty{l, l.leaseJobs})
	}
	for range releaseCallers {
		l.Add(&leaseDuty{l, l.releaseJobs})
	}
	for range storeCallers {
		l.Add(&storeDuty{l})
	}
	return l
}

// SetPeerMinRenewTerm records a peer's report of the lowest term in which it may
// renew leases of the service.
func (l *Leader) SetPeerMinRenewTerm(ctx context.Context, peer oriole.GatewayID, service oriole.ServiceName, term uint64) {
	l.enqueue(ctx, event{service, func(now time.Time, m *orioleassign.Machine) { m.SetPeerMinRenewTerm(now, peer, term) }})
}

// PeerReachedStore records that a peer reaches the store, as shown by its
// heartbeat or by a directory update that it relayed. age is the time since the
// store responded to the peer.
func (l *Leader) PeerReachedStore(ctx context.Context, age time.Duration) {
	// The event may wait in the ring.
	at := l.cfg.Timers.Now().Add(-age)
	l.enqueue(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.PeerReachedStore(now, at) }})
}

// AddLoad adds request counts by bucket of the service's keys to the load, and
// sets the mean request durations by upstream.
func (l *Leader) AddLoad(ctx context.Context, service oriole.ServiceName, counts map[int]int, durations map[oriole.ServerID]time.Duration) {
	l.enqueue(ctx, event{service, func(_ time.Time, m *orioleassign.Machine) {
		for bucket, n := range counts {
			m.AddLoad(bucket, float64(n))
		}
		for id, duration := range durations {
			m.SetRequestDuration(id, duration)
		}
	}})
}

// ReportUnreachable passes on the report of a gateway's dispatcher that an upstream
// accepted no connection.
func (l *Leader) ReportUnreachable(ctx context.Context, from oriole.GatewayID, service oriole.ServiceName, incarnation oriole.Incarnation) {
	l.enqueue(ctx, event{service, func(now time.Time, m *orioleassign.Machine) { m.ReportUnreachable(now, from, incarnation) }})
}

// ReportIsolated passes on the report that this gateway does not reach the upstreams to
// which it sends requests: others should lead.
func (l *Leader) ReportIsolated(ctx context.Context) {
	l.enqueue(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.ReportIsolated(now) }})
}

// Resign gives up leadership and takes no further part in elections.
func (l *Leader) Resign(ctx context.Context) {
	l.enqueue(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.Resign(now) }})
}

// MinRenewTerms returns for each sharded service the lowest term in which this
// gateway may still renew leases.
func (l *Leader) MinRenewTerms() map[oriole.ServiceName]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	minRenewTerms := make(map[oriole.ServiceName]uint64, len(l.minRenewTerms))
	for service, term := range l.minRenewTerms {
		minRenewTerms[service] = term
	}
	return minRenewTerms
}

func (l *Leader) enqueue(ctx context.Context, e event) {
	// Put fails only when the gateway shuts down.
	_ = l.events.Put(ctx, e)
}

// decideDuty owns the state machines.
type decideDuty struct {
	leader   *Leader
	machines map[oriole.ServiceName]*orioleassign.Machine
	// published holds the assignments last sent to peers.
	published map[oriole.ServiceName]*oriole.Assignment
	// passes holds the number of passes of each state machine that are counted.
	passes map[oriole.ServiceName]int64
	// nextReport is when ranges that wait are next logged.
	nextReport time.Time
}

func (d *decideDuty) String() string { return "decide" }

// Serve implements suture.Service. After a restart the duty has lost track of
// the lease calls that it sent, so it starts with new state machines, like a
// gateway that has just started. A stored assignment may still name this gateway
// as the leader; leaders of later terms wait until it reports that it may renew
// leases only in their term or later.
func (d *decideDuty) Serve(ctx context.Context) error {
	l := d.leader
	l.decideRun.Add(1)
	d.machines = make(map[oriole.ServiceName]*orioleassign.Machine)
	d.published = make(map[oriole.ServiceName]*oriole.Assignment)
	d.passes = make(map[oriole.ServiceName]int64)
	changed := l.cfg.State.Subscribe()
	ticks, stop := l.cfg.Timers.Subscribe(tickInterval)
	defer stop()
	for {
		select {
		case e := <-l.events.Out():
			d.step(ctx, e)
		case <-changed:
			state := l.cfg.State.Snapshot()
			d.addMachines(state)
			d.step(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.SetClusterState(now, state) }})
		case <-ticks:
			d.step(ctx, event{"", func(now time.Time, m *orioleassign.Machine) { m.Tick(now) }})
			d.reportWaits(l.cfg.Timers.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addMachines creates a state machine for each sharded service of the
// configuration.
func (d *decideDuty) addMachines(state *oriole.ClusterState) {
	if state.Config == nil {
		return
	}
	for name, service := range state.Config.Services {
		if _, found := d.machines[name]; found || !service.Sharded {
			continue
		}
		cfg := d.leader.cfg.LeaseTimes
		cfg.Self, cfg.Service = d.leader.cfg.Self, name
		d.machines[name] = orioleassign.New(cfg)
	}
}

// step runs the event and those that are queued behind it on the state machines, and
// then carries out the effects of all of them: state machines act once for all steps.
func (d *decideDuty) step(ctx context.Context, e event) {
	l := d.leader
	started := l.cfg.Timers.Now()
	steps := int64(1)
	d.apply(e)
	for more := true; more && steps < maxStepBatch; {
		select {
		case next := <-l.events.Out():
			d.apply(next)
			steps++
		default:
			more = false
		}
	}
	for service, m := range d.machines {
		passes := d.passes[service]
		d.execute(ctx, service, m)
		d.passes[service] = m.Passes()
		l.cfg.Metrics.Add("lead_passes", m.Passes()-passes)
	}
	l.cfg.Metrics.Add("lead_steps", steps)
	l.cfg.Metrics.Add("lead_busy_us", l.cfg.Timers.Now().Sub(started).Microseconds())
}

// apply runs the event on the state machines that it is for.
func (d *decideDuty) apply(e event) {
	for service, m := range d.machines {
		if e.service == "" || e.service == service {
			e.step(d.leader.cfg.Timers.Now(), m)
		}
	}
}

// reportWaits logs what the ranges wait for whose keys nobody serves.
func (d *decideDuty) reportWaits(now time.Time) {
	if now.Before(d.nextReport) {
		return
	}
	d.nextReport = now.Add(waitReportInterval)
	for service, m := range d.machines {
		w := m.Waits(now)
		if w.Ranges == 0 {
			continue
		}
		fields := log.Fields{
			"service": service, "term": m.Assignment().Term, "ranges": w.Ranges, "keys": w.Keys, "owners": w.PriorOwners, "ungranted": w.Ungranted,
			"leaders": w.PriorLeaders, "unknown": w.UnknownLeaders,
		}
		if !w.Until.IsZero() {
			fields["until"] = w.Until.Sub(now).String()
		}
		d.leader.cfg.Log.WithFields(fields).Info(oriolelog.MessageKeysWait)
	}
}

// execute carries out the effects that the state machine returns. It never waits for a
// duty that makes calls, as that may wait to pass on a result. A state machine has one
// call to the store of each kind in progress.
func (d *decideDuty) execute(ctx context.Context, service oriole.ServiceName, m *orioleassign.Machine) {
	l := d.leader
	for _, effect := range m.TakeEffects() {
		switch {
		case effect.Read != nil, effect.Write != nil:
			_ = l.storeJobs.Put(ctx, storeJob{service, effect})
		case effect.Release != nil:
			d.request(l.releaseJobs, leaseJob{service, effect, l.decideRun.Load()}, effect.Release, m)
		case effect.Grant != nil:
			d.request(l.leaseJobs, leaseJob{service, effect, l.decideRun.Load()}, effect.Grant, m)
		case effect.Probe != nil:
			d.request(l.leaseJobs, leaseJob{service, effect, l.decideRun.Load()}, effect.Probe, m)
		case effect.Publish != nil:
			previous := d.published[service]
			if previous == nil {
				// All gateways have this assignment, from the previous leader
				// or from the store.
				previous = l.cfg.State.Snapshot().Assignments[service]
			}
			l.cfg.State.UpdateAssignment(ctx, *effect.Publish)
			l.cfg.Publish(previous, *effect.Publish)
			d.published[service] = effect.Publish
		case effect.AskPeers:
			l.cfg.AskPeers(service)
		case effect.Log != nil:
			l.log(service, effect.Log)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minRenewTerms[service] = m.MinRenewTerm()
}

// request queues a lease call. If the ring is full, the call counts as not sent.
func (d *decideDuty) request(jobs *oriolering.Ring[leaseJob], job leaseJob, call *orioleassign.LeaseCall, m *orioleassign.Machine) {
	if !jobs.Offer(job) {
		d.leader.cfg.Metrics.Add("lead_ring_full", 1)
		m.CallDone(d.leader.cfg.Timers.Now(), call.ID, orioleassign.Result{Err: oriole.ErrExpired})
	}
}

func (l *Leader) log(service oriole.ServiceName, e *orioleassign.LogEvent) {
	l.cfg.Metrics.Add("lead_"+e.Event, 1)
	l.cfg.Log.WithFields(log.Fields{
		"service": service, "upstream": e.Server, "first": e.First, "last": e.Last,
		"fence": e.Fence, "detail": e.Detail,
	}).Info(e.Event)
}

// storeDuty makes one call to the store at a time.
type storeDuty struct{ leader *Leader }

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
			a, version, err := l.cfg.Store.ReadAssignment(ctx, job.service, read.AllowStale)
			if err == nil {
				l.cfg.State.UpdateAssignment(ctx, a)
			}
			l.enqueue(ctx, event{job.service, func(now time.Time, m *orioleassign.Machine) {
				m.ReadDone(now, started, a, version, read.AllowStale, err)
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
type leaseDuty struct {
	leader *Leader
	jobs   *oriolering.Ring[leaseJob]
}

func (d *leaseDuty) String() string { return "order" }

// Serve implements suture.Service.
func (d *leaseDuty) Serve(ctx context.Context) error {
	l := d.leader
	for {
		job, err := d.jobs.Take(ctx)
		if err != nil {
			return err
		}
		call, result := l.send(ctx, job)
		l.enqueue(ctx, event{job.service, func(now time.Time, m *orioleassign.Machine) {
			m.CallDone(now, call.ID, result)
		}})
	}
}

// send makes the lease call that the job contains, and returns it with its
// result.
func (l *Leader) send(ctx context.Context, job leaseJob) (call *orioleassign.LeaseCall, result orioleassign.Result) {
	request := func(c *orioleassign.LeaseCall) oriole.LeaseRequest {
		request := c.Lease
		// The gateway may have been paused since the state machine requested the
		// call, past the end of the leader's lease.
		request.StillValid = func() bool {
			return l.cfg.Timers.Now().Before(c.SendBefore) && l.decideRun.Load() == job.decideRun
		}
		return request
	}
	effect := job.effect
	switch {
	case effect.Grant != nil:
		call = effect.Grant
		result.Conn, result.Err = l.cfg.Leaser.Grant(ctx, call.To, request(call))
		l.cfg.Metrics.Add("lead_grants", 1)
	case effect.Release != nil:
		call = effect.Release
		result.Handover, result.Err = l.cfg.Leaser.Release(ctx, call.To, request(call))
		l.cfg.Metrics.Add("lead_releases", 1)
	default:
		call = effect.Probe
		result.Err = l.cfg.Leaser.Probe(ctx, call.To)
	}
	if errors.Is(result.Err, oriole.ErrExpired) {
		l.cfg.Metrics.Add("lead_orders_expired", 1)
	}
	if result.Err != nil {
		l.cfg.Metrics.Add("lead_orders_failed", 1)
		l.cfg.Log.WithError(result.Err).WithFields(log.Fields{
			"upstream": call.To.ID, "first": call.Lease.First, "last": call.Lease.Last, "fence": call.Lease.Fence,
		}).Debug("lease call failed")
	}
	return call, result
}
