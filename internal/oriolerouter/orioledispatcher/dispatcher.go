// Package orioledispatcher is the supervisor subtree that runs requests on
// upstreams. A gateway is the dispatcher of some pools: one duty owns their
// queues, others send the requests.
package orioledispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleworkspace"
)

const (
	// ringSize bounds the events queued for the pool duty, and the requests
	// queued for a sender.
	ringSize = 1024
	// senders bounds the concurrent requests. The last live gateway of a site
	// dispatches for all of its pools: about 35 upstreams with two slots each.
	senders = 96
	// tickInterval is how often the queues are scanned for requests that can be
	// started or can no longer be served in time.
	tickInterval = 25 * time.Millisecond
	// durationReportInterval is how often mean request durations are reported
	// to leaders.
	durationReportInterval = 2 * time.Second
	// poolIdleTimeout is how long an unused pool is kept.
	poolIdleTimeout = 20 * time.Second
)

// StateSource provides the cluster state.
type StateSource interface {
	Snapshot() *oriole.ClusterState
	Subscribe() <-chan struct{}
}

// Config configures the subtree.
type Config struct {
	Self   oriole.GatewayID
	State  StateSource
	Sender oriole.Sender
	Timers oriole.Timers
	// BootClock includes suspensions. Nil means the clock of Timers.
	BootClock oriole.Clock
	Metrics   *orioletelemetry.Metrics
	Log       log.Interface
	// ReportDurations is called every durationReportInterval with the mean
	// request durations of a sharded service's upstreams.
	ReportDurations func(ctx context.Context, service oriole.ServiceName, durations map[oriole.ServerID]time.Duration)
	// ReportCrash reports to peers that a request crashed an upstream.
	ReportCrash func(fingerprint oriolecrash.Fingerprint, incarnation oriole.Incarnation)
	// ReportUnreachable reports that an upstream of a sharded service accepted no
	// connection.
	ReportUnreachable func(ctx context.Context, service oriole.ServiceName, incarnation oriole.Incarnation)
	// ReportIsolated reports that this gateway does not reach the upstreams of its
	// pools.
	ReportIsolated func(ctx context.Context)
	// ReportLeaving records that an upstream has stated that it leaves. It is called
	// before the response that said so is passed on.
	ReportLeaving func(ctx context.Context, incarnation oriole.Incarnation)
	// CloseIdleConns is called when the cluster state changes, to close idle
	// connections to incarnations for which keep returns false: the directory no
	// longer lists them.
	CloseIdleConns func(keep func(oriole.Incarnation) bool)
}

// Dispatcher dispatches requests to the upstreams of this gateway's pools. It
// implements suture.Service.
type Dispatcher struct {
	*suture.Supervisor
	cfg      Config
	events   *oriolering.Ring[event]
	sendJobs *oriolering.Ring[sendJob]
	// pauses holds the ends of the pauses that upstreams have asked for. The pool duty
	// publishes it for the send duties.
	pauses atomic.Pointer[map[oriole.Incarnation]time.Time]
	// inFlight counts the calls of Do without a reply.
	inFlight atomic.Int64
	// schedule is nil until the gateway is being stopped. Once finishing is set, no
	// request is accepted.
	schedule  atomic.Pointer[oriolestop.Schedule]
	finishing atomic.Bool
}

// event is an input to the pool duty. Exactly one field is set.
type event struct {
	submit *pendingRequest
	result *result
	cancel *pendingRequest
	crash  *crashReport
}

// crashReport is a peer's report that a request crashed an upstream.
type crashReport struct {
	fingerprint oriolecrash.Fingerprint
	incarnation oriole.Incarnation
}

// pendingRequest is a request without a reply.
type pendingRequest struct {
	ctx     context.Context
	request oriole.Request
	reply   func(oriole.Response)
	// The pool duty sets job when it has accepted the request, and pool when it
	// queues the request.
	job  oriolepool.JobID
	pool oriole.PoolID
	// fingerprint identifies the request's content; incarnation is the upstream
	// to which it was sent.
	fingerprint oriolecrash.Fingerprint
	incarnation oriole.Incarnation
	// key is set for a request that must run at most once for its idempotency key.
	key orioleidempotency.Key
}

// sendJob is a request for a send duty to send.
type sendJob struct {
	pending *pendingRequest
	pool    oriole.PoolID
	oriolepool.Start
}

// result is the response to a send job.
type result struct {
	pool     oriole.PoolID
	job      oriolepool.JobID
	to       oriole.Incarnation
	response oriole.Response
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Dispatcher {
	if cfg.BootClock == nil {
		cfg.BootClock = cfg.Timers
	}
	disp := &Dispatcher{
		Supervisor: suture.New("keep", spec),
		cfg:        cfg,
		events:     oriolering.New[event](ringSize),
		sendJobs:   oriolering.New[sendJob](ringSize),
	}
	disp.Add(newPoolDuty(disp))
	for range senders {
		disp.Add(&sendDuty{disp})
	}
	return disp
}

// Do runs the request on the pool that it names, and calls reply exactly once. If
// the pool duty fails and restarts meanwhile, the outcome is unknown. A request that
// could outlast the gateway is refused with ReasonNotDispatcher, so that another
// dispatcher is asked.
func (disp *Dispatcher) Do(ctx context.Context, r oriole.Request, reply func(oriole.Response)) {
	disp.inFlight.Add(1)
	req := &pendingRequest{ctx: ctx, request: r, reply: func(response oriole.Response) {
		disp.inFlight.Add(-1)
		reply(response)
	}}
	if disp.finishing.Load() || !disp.schedule.Load().Admits(r.Deadline) {
		req.reply(oriole.NotRunResponse(oriole.ReasonNotDispatcher))
		return
	}
	if !disp.events.Offer(event{submit: req}) {
		req.reply(oriole.NotRunResponse(oriole.ReasonQueueFull))
		return
	}
	context.AfterFunc(ctx, func() {
		// If the ring is full the cancellation is lost and the request runs
		// until its deadline.
		disp.events.Offer(event{cancel: req})
	})
}

// RecordCrash records a peer's report that a request crashed an upstream.
func (disp *Dispatcher) RecordCrash(fingerprint oriolecrash.Fingerprint, incarnation oriole.Incarnation) {
	// A report is dropped if the ring is full. That delays the refusal of the
	// request until one more crash, or another peer's report of this one.
	disp.events.Offer(event{crash: &crashReport{fingerprint, incarnation}})
}

// InFlight returns the number of requests passed to Do that have no reply yet.
func (disp *Dispatcher) InFlight() int64 { return disp.inFlight.Load() }

// Stop makes the dispatcher refuse requests that could outlast the gateway.
func (disp *Dispatcher) Stop(schedule *oriolestop.Schedule) { disp.schedule.Store(schedule) }

// Finish accepts no more requests, and waits until none is in flight.
func (disp *Dispatcher) Finish(ctx context.Context) error {
	disp.finishing.Store(true)
	ticks, stop := disp.cfg.Timers.Subscribe(tickInterval)
	defer stop()
	for disp.inFlight.Load() > 0 {
		select {
		case <-ticks:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests not finished", disp.inFlight.Load())
		}
	}
	return nil
}

// leaves reports whether the upstream has begun to leave since the request was
// taken from its queue.
func (disp *Dispatcher) leaves(u oriole.Upstream) bool {
	known, listed := disp.cfg.State.Snapshot().Upstreams[u.ID]
	return listed && known.Incarnation() == u.Incarnation() && known.Draining
}

// paused reports whether the upstream has asked for a pause since the request was
// taken from its queue.
func (disp *Dispatcher) paused(u oriole.Upstream) bool {
	pauses := disp.pauses.Load()
	return pauses != nil && disp.cfg.Timers.Now().Before((*pauses)[u.Incarnation()])
}

// revoked reports whether the request's API key has been revoked since the request was
// admitted, and counts it.
func (disp *Dispatcher) revoked(r *oriole.Request) bool {
	if !r.Keyed || !orioleworkspace.Revoked(disp.cfg.State.Snapshot().Config, r) {
		return false
	}
	disp.cfg.Metrics.Add("pool_revoked", 1)
	return true
}

// sendDuty sends one request at a time.
type sendDuty struct{ dispatcher *Dispatcher }

func (d *sendDuty) String() string { return "send" }

// Serve implements suture.Service.
func (d *sendDuty) Serve(ctx context.Context) error {
	disp := d.dispatcher
	for {
		s, err := disp.sendJobs.Take(ctx)
		if err != nil {
			return err
		}
		if disp.leaves(s.To) || (!s.Probe && disp.paused(s.To)) {
			if err := disp.events.Put(ctx, event{result: &result{s.pool, s.Job, s.To.Incarnation(), oriole.NotRunResponse(oriole.ReasonMoved)}}); err != nil {
				return err
			}
			continue
		}
		if disp.revoked(&s.Request) {
			if err := disp.events.Put(ctx, event{result: &result{s.pool, s.Job, s.To.Incarnation(), oriole.NotRunResponse(oriole.ReasonUnauthorized)}}); err != nil {
				return err
			}
			continue
		}
		sendCtx, cancel := context.WithCancel(ctx)
		stop := func() bool { return true }
		if s.Request.Idempotent {
			// A request that is not idempotent is not cancelled when its caller
			// leaves: the caller asked for its effect.
			stop = context.AfterFunc(s.pending.ctx, cancel)
		}
		response := disp.send(sendCtx, s.To, s.Request)
		stop()
		cancel()
		if err := disp.events.Put(ctx, event{result: &result{s.pool, s.Job, s.To.Incarnation(), response}}); err != nil {
			return err
		}
	}
}

// send sends the request. If the gateway is being stopped, the request ends before the
// gateway does. The forwarder of one that would have had more time may try again.
func (disp *Dispatcher) send(ctx context.Context, to oriole.Upstream, r oriole.Request) oriole.Response {
	deadline := r.Deadline
	r.Deadline = disp.schedule.Load().Bound(deadline)
	response := disp.cfg.Sender.Send(ctx, to, r)
	if r.Deadline.Equal(deadline) || response.Reason != oriole.ReasonDeadline {
		return response
	}
	response.Reason = oriole.ReasonCancelled
	if response.Outcome == oriole.OutcomeNotRun {
		response.Reason = oriole.ReasonNotDispatcher
	}
	return response
}
