// Package oriolerouter is the root of a gateway's supervisor tree. It expects a
// platform on which upstreams register themselves and check the fencing tokens of
// their keys. Each subtree is a package below it.
package oriolerouter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/orioledispatcher"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/orioleingress"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/orioleleader"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelink"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolequotas"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolestate"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleassign"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolecrash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// Lease times of sharded services.
const (
	// leaseTTL is the time to live of a lease, and so how long a key is
	// unavailable after its owner becomes unreachable. It is longer than a leader
	// election.
	leaseTTL = 5 * time.Second
	// renewInterval leaves time for a second attempt before a lease expires.
	renewInterval = 1800 * time.Millisecond
	// leaderLease is how long a leader may act without reaching the store. It is
	// longer than the store's outages. The cost is that, when a leader is lost
	// soon after it reached the store, the keys of upstreams lost at the same
	// time stay unavailable for this long.
	leaderLease = 20 * time.Second
	// moveLease is how long after the store confirmed its leadership a leader may
	// move ranges. It is longer than a slow call to the store. Until it is over, a
	// new leader renews no lease if its predecessor is unreachable, so that a
	// renewal interval, the time to find the loss and this fit into leaseTTL.
	moveLease = 750 * time.Millisecond
	// maxClockDrift is how much slower than the gateway's clock an upstream's may
	// run, as a fraction. The platform specifies it.
	maxClockDrift = 0.02
	// maxCallDelay limits the time from a leader's last check to the arrival of
	// a lease call at the upstream: the call's timeout and the network delay.
	maxCallDelay = 500 * time.Millisecond
)

// Platform holds the platform's implementations that the gateway uses.
type Platform struct {
	Directory oriole.Directory
	Dialect   oriole.Dialect
	Leaser    oriole.Leaser
	Sender    oriole.Sender
	// CloseIdleConns closes idle connections to upstream incarnations for which
	// keep returns false.
	CloseIdleConns func(keep func(oriole.Incarnation) bool)
	// PeerMemory bounds the bodies that come from other gateways, and LinkMemory those
	// that are queued for them; nil sets no bound.
	PeerMemory *oriolememory.Pool
	LinkMemory *oriolememory.Pool
	// BodyMemory bounds what PeerMemory and the connections of callers hold together.
	BodyMemory *oriolememory.Shared
}

// Router is a gateway. It implements suture.Service.
type Router struct {
	*suture.Supervisor
	settings Settings
	self     oriole.Member
	platform Platform
	log      log.Interface
	metrics  *orioletelemetry.Metrics
	timers   *orioletimer.Service

	tracker      *oriolestate.Tracker
	links        *oriolelink.Links
	dispatcher   *orioledispatcher.Dispatcher
	leader       *orioleleader.Leader
	quotas       *oriolequotas.Quotas
	forwarder    *orioleingress.Forwarder
	callerServer *orioleingress.Server
	draining     atomic.Bool
	// drainStarted is closed when the gateway starts to drain.
	drainStarted chan struct{}
	clock        *orioletelemetry.LogicalClock
	// announced is closed once the directory lists this gateway.
	announced chan struct{}
	// announceRequested receives a value when the directory has lost this gateway's
	// entry.
	announceRequested chan struct{}
	// drainRequested receives a value when an operator requests a drain.
	drainRequested chan struct{}
}

// Option configures a gateway.
type Option func(*Router)

// WithClock sets the logical clock, so that it can be shared with other
// components such as the log.
func WithClock(clock *orioletelemetry.LogicalClock) Option {
	return func(r *Router) { r.clock = clock }
}

// New returns a gateway that listens on the addresses in its settings, and a
// function that closes the listeners.
func New(settings Settings, platform Platform, logger log.Interface, options ...Option) (r *Router, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "create gateway") }()
	var listeners []net.Listener
	cleanup = func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	for _, addr := range []netip.AddrPort{settings.CallerAddr, settings.ReadinessAddr, settings.PeerAddr, settings.AdminAddr} {
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			cleanup()
			return nil, nil, err
		}
		listeners = append(listeners, listener)
	}
	r = &Router{
		settings: settings,
		platform: platform,
		log:      logger,
		metrics:  orioletelemetry.NewMetrics(),
		timers:   orioletimer.New(),
		self: oriole.Member{
			ID: oriole.NewGatewayID(settings.VM, time.Now()), VM: settings.VM, Zone: settings.Zone,
			CallerAddr: settings.CallerAddr, PeerAddr: settings.PeerAddr, Weight: weightOrDefault(settings.Weight), Link: settings.Link,
		},
		clock:             &orioletelemetry.LogicalClock{},
		drainRequested:    make(chan struct{}, 1),
		drainStarted:      make(chan struct{}),
		announced:         make(chan struct{}),
		announceRequested: make(chan struct{}, 1),
	}
	if settings.AdvertisedAddr.IsValid() {
		r.self.PeerAddr = settings.AdvertisedAddr
	}
	for _, option := range options {
		option(r)
	}
	r.buildTree(listeners)
	return r, cleanup, nil
}

// Gauge adds a gauge to the gateway's metrics.
func (r *Router) Gauge(name string, value func() any) { r.metrics.Gauge(name, value) }

// buildTree creates the subtrees and adds them to the supervisor.
func (r *Router) buildTree(listeners []net.Listener) {
	spec := suture.Spec{EventHook: r.logDutyEvent, Timeout: oriolestop.DutyTimeout}
	r.Supervisor = suture.New("gateway", spec)
	bootClock := orioletimer.NewBootClock(r.timers)
	r.tracker = oriolestate.New(oriolestate.Config{
		Self: r.self, Directory: r.platform.Directory, Timers: r.timers, Log: r.log, BroadcastUpdate: r.broadcastUpdate, RequestAssignment: r.requestAssignment,
		ApplyOverlay: r.applyOverlay, Announced: r.announced, RequestAnnounce: r.requestAnnounce,
		BroadcastLeaving: r.broadcastLeaving, TellLeaving: r.tellLeaving,
		RevocationBound: r.settings.RevocationBound, BootClock: bootClock, Metrics: r.metrics,
		SendFrame: func(to oriole.GatewayID, frame *oriolemessage.Frame) bool { return r.links.Send(to, frame) },
	}, spec)
	r.links = oriolelink.New(oriolelink.Config{
		Self: r.self, Metrics: r.metrics, Timers: r.timers, BootClock: bootClock, Log: r.log, Clock: r.clock, Secret: r.settings.Secret,
		Memory: r.platform.PeerMemory, QueueMemory: r.platform.LinkMemory,
	}, spec)
	r.links.SetReceiver(receiver{r})
	r.dispatcher = orioledispatcher.New(orioledispatcher.Config{
		Self: r.self.ID, State: r.tracker, Sender: r.platform.Sender, Timers: r.timers, BootClock: bootClock, Metrics: r.metrics, Log: r.log, CloseIdleConns: r.platform.CloseIdleConns,
		ReportCrash: r.reportCrash, ReportUnreachable: r.reportUnreachable, ReportLeaving: r.markLeaving,
		ReportIsolated: func(ctx context.Context) { r.leader.ReportIsolated(ctx) },
		ReportDurations: func(ctx context.Context, service oriole.ServiceName, durations map[oriole.ServerID]time.Duration) {
			r.reportLoad(ctx, service, nil, durations)
		},
	}, spec)
	r.leader = orioleleader.New(orioleleader.Config{
		Self: r.self.ID, State: r.tracker, Store: r.platform.Directory, Leaser: r.platform.Leaser,
		Timers: bootClock, Metrics: r.metrics, Log: r.log, Publish: r.publishAssignment, AskPeers: r.askPeers,
		LeaseTimes: orioleassign.Config{
			LeaseTTL: leaseTTL, RenewInterval: renewInterval, LeaderLease: leaderLease, MoveLease: moveLease, MaxClockDrift: maxClockDrift, MaxCallDelay: maxCallDelay,
		},
	}, spec)
	r.quotas = oriolequotas.New(oriolequotas.Config{
		Self: r.self.ID, State: r.tracker, Clock: bootClock, Metrics: r.metrics, Log: r.log, Send: r.links.Send, Reject: r.links.RejectFrame,
	}, spec)
	r.forwarder = orioleingress.NewForwarder(orioleingress.ForwarderConfig{
		Self: r.self, State: r.tracker, Dispatcher: r.dispatcher, Peers: r.links, Clock: r.timers, Metrics: r.metrics, Log: r.log, Quota: r.quotas,
		ReportLoad: func(ctx context.Context, service oriole.ServiceName, counts map[int]int) {
			r.reportLoad(ctx, service, counts, nil)
		},
		Confirmed: r.tracker.Confirmed,
	})
	r.metrics.Gauge("confirmation_age_ms", r.confirmationAge)
	handler := orioleingress.NewHandler(r.forwarder, r.platform.Dialect)
	r.callerServer = orioleingress.NewServer("serve callers", listeners[0], handler, r.idleTimeout)
	r.callerServer.EnablePipelining(r.metrics)
	ready := orioleingress.NewServer("serve readiness", listeners[1], http.HandlerFunc(r.serveReady), r.idleTimeout)
	mux := http.NewServeMux()
	mux.Handle(oriolelink.Path, r.links)
	peers := orioleingress.NewServer("serve peers", listeners[2], mux, r.idleTimeout)
	metrics := orioleingress.NewServer("serve metrics", listeners[3], r.adminHandler(), r.idleTimeout)
	r.guardServers(r.callerServer, ready, peers, metrics)
	for _, duty := range []suture.Service{
		timerDuty{r.timers},
		r.tracker, r.links, r.dispatcher, r.leader, r.quotas, &announceDuty{router: r}, &membersDuty{r},
		&orioleingress.LoadReportDuty{Forwarder: r.forwarder, Timers: r.timers}, r.callerServer, ready, peers, metrics,
	} {
		r.Add(duty)
	}
}

// logDutyEvent logs and counts an event of the supervisor, such as a failed
// duty.
func (r *Router) logDutyEvent(e suture.Event) {
	r.metrics.Add("duty_events", 1)
	r.log.WithField("event", e.String()).Warn("duty")
}

// AccountsKept returns the number of workspaces whose rate limit this gateway keeps.
func (r *Router) AccountsKept() int { return r.quotas.Accounts() }

// idleTimeout returns how long a client's connection may stay idle.
func (r *Router) idleTimeout() time.Duration {
	if cfg := r.tracker.Snapshot().Config; cfg != nil {
		return cfg.Limits.IdleTimeout
	}
	return time.Duration(orioleconfig.Default().Limits.IdleTimeout)
}

// confirmationAge returns the age of the confirmation of the configuration in
// milliseconds, or -1 if there is none or none is needed.
func (r *Router) confirmationAge() any {
	age, confirmed := r.tracker.ConfirmationAge()
	if !confirmed {
		return -1
	}
	return age.Milliseconds()
}

// Ready reports whether the gateway can serve callers.
func (r *Router) Ready() bool {
	if r.draining.Load() {
		return false
	}
	state := r.tracker.Snapshot()
	return state.Config != nil && state.DirectoryLoaded
}

func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applyOverlay returns the published configuration with the overlay of this
// gateway's site applied.
func (r *Router) applyOverlay(cfg *oriole.Config) *oriole.Config {
	if r.settings.Overlay == nil {
		return cfg
	}
	local, err := r.settings.Overlay.Apply(cfg)
	if err != nil {
		// The configuration without the overlay serves callers better than an
		// older version.
		r.log.WithError(err).Error("cannot apply overlay to configuration")
		return cfg
	}
	return local
}

// broadcastUpdate relays a directory update to all peers.
func (r *Router) broadcastUpdate(f *oriolemessage.Feed) {
	r.links.Broadcast(&oriolemessage.Frame{Feed: f})
}

// requestAnnounce has this gateway registered again.
func (r *Router) requestAnnounce() {
	select {
	case r.announceRequested <- struct{}{}:
	default:
	}
}

// reportCrash broadcasts the fingerprint of a request that crashed an upstream.
func (r *Router) reportCrash(fingerprint oriolecrash.Fingerprint, incarnation oriole.Incarnation) {
	r.links.Broadcast(&oriolemessage.Frame{CrashRecord: oriolemessage.FromCrashRecord(uint64(fingerprint), incarnation)})
}

// reportUnreachable reports an upstream that did not accept a connection to the
// leader of its service.
func (r *Router) reportUnreachable(ctx context.Context, service oriole.ServiceName, incarnation oriole.Incarnation) {
	a := r.tracker.Snapshot().Assignments[service]
	switch {
	case a == nil:
	case a.Leader == r.self.ID:
		r.leader.ReportUnreachable(ctx, r.self.ID, service, incarnation)
	default:
		r.links.Send(a.Leader, &oriolemessage.Frame{Suspect: oriolemessage.FromSuspect(service, incarnation)})
	}
}

// markLeaving records that an upstream has stated to this gateway that it leaves.
func (r *Router) markLeaving(ctx context.Context, incarnation oriole.Incarnation) {
	r.tracker.MarkLeaving(ctx, incarnation, "")
}

// broadcastLeaving tells all peers that an upstream leaves, and tellLeaving one
// gateway.
func (r *Router) broadcastLeaving(incarnation oriole.Incarnation) {
	r.links.Broadcast(&oriolemessage.Frame{Departure: oriolemessage.FromDeparture(incarnation)})
}

func (r *Router) tellLeaving(to oriole.GatewayID, incarnation oriole.Incarnation) {
	r.links.Send(to, &oriolemessage.Frame{Departure: oriolemessage.FromDeparture(incarnation)})
}

// requestAssignment asks the leader of a service for the full assignment.
func (r *Router) requestAssignment(service oriole.ServiceName, leader oriole.GatewayID) {
	r.links.Send(leader, &oriolemessage.Frame{AssignmentRequest: &oriolemessage.AssignmentRequest{Service: string(service)}})
}

// askPeers asks all peers for their heartbeats on behalf of a service's leader.
func (r *Router) askPeers(service oriole.ServiceName) {
	r.links.Broadcast(&oriolemessage.Frame{HeartbeatRequest: &oriolemessage.HeartbeatRequest{Service: string(service)}})
}

// publishAssignment broadcasts an assignment of which this gateway is the
// leader. If previous is of the same term or the one before, peers have it, and
// only the changes since then are sent: a full broadcast of a large assignment
// would saturate a slow link for seconds.
func (r *Router) publishAssignment(previous *oriole.Assignment, a oriole.Assignment) {
	if previous != nil && (previous.Term == a.Term || previous.Term+1 == a.Term) {
		r.links.Broadcast(&oriolemessage.Frame{Patch: oriolemessage.FromPatch(previous.Diff(&a))})
		return
	}
	r.links.Broadcast(&oriolemessage.Frame{Assignment: oriolemessage.FromAssignment(a)})
}

// reportLoad reports the load of a service's keys and the mean request duration
// of its upstreams to the leader of the service.
func (r *Router) reportLoad(ctx context.Context, service oriole.ServiceName, counts map[int]int, durations map[oriole.ServerID]time.Duration) {
	a := r.tracker.Snapshot().Assignments[service]
	if a == nil {
		return
	}
	if a.Leader == r.self.ID {
		r.leader.AddLoad(ctx, service, counts, durations)
		return
	}
	r.links.Send(a.Leader, &oriolemessage.Frame{Load: oriolemessage.FromLoad(service, counts, durations)})
}

// Drain hands the gateway's work over to its peers and completes the requests in
// flight. It returns when that is done, or shortly before the grace period expires; the
// error is then of the first step that was not completed.
func (r *Router) Drain(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "drain gateway") }()
	schedule := oriolestop.New(r.timers.Now(), r.settings.GracePeriod)
	closeCtx, cancelClose := context.WithDeadline(ctx, schedule.CloseUntil)
	defer cancelClose()
	ctx, cancel := context.WithDeadline(ctx, schedule.CutAt)
	defer cancel()
	r.log.Info(oriolelog.MessageDraining)
	r.callerServer.DisableKeepAlives()
	r.forwarder.Stop(schedule)
	giveUp := time.AfterFunc(schedule.GiveUpAt.Sub(r.timers.Now()), r.forwarder.GiveUp)
	defer giveUp.Stop()
	r.dispatcher.Stop(schedule)
	if !r.draining.Swap(true) {
		close(r.drainStarted)
	}
	// Peers should learn of the drain before the calls that may block.
	r.links.BroadcastHeartbeat()
	r.leader.Resign(ctx)
	r.tracker.UpdateGateway(ctx, r.currentMember())
	propagated := time.NewTimer(schedule.ListenUntil.Sub(r.timers.Now()))
	defer propagated.Stop()
	select {
	case <-propagated.C:
	case <-ctx.Done():
	}
	err = r.callerServer.Shutdown(ctx, r.timers)
	// Complete the requests that peers have forwarded, also if callers remain.
	if finishErr := r.dispatcher.Finish(ctx); err == nil {
		err = finishErr
	}
	if finishErr := r.links.Finish(closeCtx); err == nil {
		err = finishErr
	}
	return err
}

// currentMember returns this gateway's entry, with whether it is draining now.
func (r *Router) currentMember() oriole.Member {
	m := r.self
	m.Draining = r.draining.Load()
	return m
}
