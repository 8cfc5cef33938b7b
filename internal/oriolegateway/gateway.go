// Package oriolegateway is the root of a gateway's supervisor tree. Each of
// its subtrees has a folder below this one.
package oriolegateway

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolecontrol"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolefront"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolepeer"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolework"
	"github.com/orioleswitch/orioleswitch/internal/orioleplatform"
	"github.com/orioleswitch/orioleswitch/internal/orioleserver"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequeue"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// Gateway is one gateway process.
type Gateway struct {
	opts     options
	self     oriole.Member
	settings atomic.Pointer[orioleconfig.Settings]
	tree     *suture.Supervisor
	control  *oriolecontrol.Control
	peers    *oriolepeer.Peers
	work     *oriolework.Work
	entry    *oriolefront.Entry
	callers  *oriolefront.Server
	relays   *oriolering.Ring[relayed]
	timeline *oriolesight.Timeline
	metrics  *oriolesight.Metrics
	stopping atomic.Bool
	cleanups []func()
}

// Option changes how a gateway is made.
type Option func(*options)

type options struct {
	gate   oriole.Gate
	pass   func(oriole.GatewayID) bool
	logger log.Interface
	store  oriole.Store
	// overlay is nil if there is none.
	overlay []byte
	seed    uint64
}

// WithGate makes all duties wait at the gate, so that tests can pause the
// gateway.
func WithGate(gate oriole.Gate) Option { return func(o *options) { o.gate = gate } }

// WithPass lets frames through only to and from the peers for which pass
// reports true, so that tests can cut gateways off.
func WithPass(pass func(oriole.GatewayID) bool) Option { return func(o *options) { o.pass = pass } }

// WithLogger sets where changes of state are logged.
func WithLogger(logger log.Interface) Option { return func(o *options) { o.logger = logger } }

// WithStore sets the store in place of a client of the platform's address.
func WithStore(store oriole.Store) Option { return func(o *options) { o.store = store } }

// WithOverlay sets the contents of the site's overlay, with which base settings
// that come from the store are merged.
func WithOverlay(overlay []byte) Option { return func(o *options) { o.overlay = overlay } }

// WithSeed sets the seed of the gateway's chance.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// New returns a gateway that listens on the addresses of the VM, and a
// function that releases what it holds after Serve has returned. The ID must
// differ from that of every earlier process.
func New(id oriole.GatewayID, settings *orioleconfig.Settings, vm orioleconfig.VM, opts ...Option) (g *Gateway, cleanup func(), err error) {
	defer func() { err = errors.Wrapf(err, "starting gateway %s", id) }()
	g = &Gateway{opts: options{
		gate:   oriole.OpenGate{},
		pass:   func(oriole.GatewayID) bool { return true },
		logger: log.Log,
		seed:   uint64(time.Now().UnixNano()),
	}}
	for _, opt := range opts {
		opt(&g.opts)
	}
	cleanup = func() {
		for _, clean := range g.cleanups {
			clean()
		}
	}
	if err := g.build(id, settings, vm); err != nil {
		cleanup()
		return nil, nil, err
	}
	return g, cleanup, nil
}

func (g *Gateway) build(id oriole.GatewayID, settings *orioleconfig.Settings, vm orioleconfig.VM) error {
	g.settings.Store(settings)
	listeners, err := g.listen(vm)
	if err != nil {
		return err
	}
	g.self = oriole.Member{ID: id, Zone: settings.Zone, Callers: addrOf(listeners[0]), Peers: addrOf(listeners[1])}
	timers := orioletimer.New()
	g.metrics = oriolesight.NewMetrics()
	g.timeline = oriolesight.NewTimeline(id, timers, g.opts.logger)
	spec := suture.Spec{EventHook: g.failed}
	if err := g.buildWork(timers, spec); err != nil {
		return err
	}
	g.buildPeers(timers, spec)
	g.buildControl(timers, spec)
	g.buildFront(timers, listeners)
	g.relays = oriolering.New[relayed](relayRing)
	g.tree = suture.New("gateway "+string(id), spec)
	for range relayDuties {
		g.tree.Add(&relayDuty{g})
	}
	for _, service := range []suture.Service{timers, g.work, g.peers, g.control, g.callers} {
		g.tree.Add(service)
	}
	g.tree.Add(oriolefront.NewServer("peers", listeners[1], g.peers))
	g.tree.Add(oriolefront.NewServer("operators", listeners[2], g.operators()))
	return nil
}

// listen opens the listeners for callers, peers and operators.
func (g *Gateway) listen(vm orioleconfig.VM) (listeners []net.Listener, err error) {
	for _, addr := range []string{vm.Callers.String(), vm.Peers.String(), vm.Operators.String()} {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		g.cleanups = append(g.cleanups, func() { _ = l.Close() })
		listeners = append(listeners, l)
	}
	return listeners, nil
}

func (g *Gateway) buildWork(timers *orioletimer.Service, spec suture.Spec) (err error) {
	g.work, err = oriolework.New(oriolework.Config{
		Settings: g.settings.Load(),
		Timers:   timers,
		Runner:   func(service oriole.ServiceName) oriole.Runner { return g.serverClient(service) },
		Metrics:  g.metrics,
		Gate:     g.opts.gate,
		Suspect:  func(group oriole.GroupID, server int) { g.control.Suspect(group, server) },
		Blame:    g.blame,
		Seed:     g.opts.seed,
	}, spec)
	return err
}

// serverClient returns a client of the service's servers. Each keeps its own
// connections, so that requests and leases do not wait for each other.
func (g *Gateway) serverClient(service oriole.ServiceName) *orioleserver.Client {
	s := g.settings.Load().Services[service]
	client, cleanup := orioleserver.New(s.Fenced, s.Slots)
	g.cleanups = append(g.cleanups, cleanup)
	return client
}

func (g *Gateway) blame(group oriole.GroupID, blame oriolequeue.Blame) {
	kind := "request-suspected"
	if blame.Alone {
		kind = "request-blocked"
	}
	g.timeline.Add(oriolesight.Event{Kind: kind, Group: group})
	g.peers.Broadcast(&oriolewire.Frame{Blame: &oriolewire.Blame{Group: string(group), Print: uint64(blame.Print), Alone: blame.Alone}})
	g.work.Blame(group, blame)
}

func (g *Gateway) buildPeers(timers *orioletimer.Service, spec suture.Spec) {
	lease := g.settings.Load().Lease
	silence := time.Duration(lease.Silence) + 2*time.Duration(lease.Beat)
	g.peers = oriolepeer.New(oriolepeer.Config{
		Self:     g.self,
		Secret:   g.settings.Load().Secret,
		Timers:   timers,
		Silence:  func(n int) time.Duration { return oriolecontrol.LinkSilence(silence, n) },
		Metrics:  g.metrics,
		Receiver: receiver{g},
		Gate:     g.opts.gate,
		Pass:     g.opts.pass,
	}, spec)
}

func (g *Gateway) buildControl(timers *orioletimer.Service, spec suture.Spec) {
	store := g.opts.store
	if store == nil {
		client, cleanup := orioleplatform.New(g.settings.Load().Platform)
		g.cleanups = append(g.cleanups, cleanup)
		store = client
	}
	g.control = oriolecontrol.New(oriolecontrol.Config{
		Self:     g.self,
		Settings: g.settings.Load,
		Apply:    g.apply,
		Timers:   timers,
		Store:    store,
		Granter:  func(service oriole.ServiceName) oriole.Granter { return g.serverClient(service) },
		Network:  g.peers,
		Route:    g.work.Route,
		Busy:     g.work.Busy,
		Timeline: g.timeline,
		Metrics:  g.metrics,
		Gate:     g.opts.gate,
	}, spec)
}

func (g *Gateway) buildFront(timers *orioletimer.Service, listeners []net.Listener) {
	g.entry = oriolefront.NewEntry(oriolefront.EntryConfig{
		Self:     g.self.ID,
		Settings: g.settings.Load,
		Clock:    timers,
		Hasher:   oriolehash.XX{},
		Views:    g.control,
		Peers:    g.peers,
		Work:     g.work,
		Metrics:  g.metrics,
		Seed:     g.opts.seed,
	})
	g.metrics.Gauge("requests_open", g.entry.Open)
	g.metrics.Gauge("peers", func() int64 { return int64(g.peers.Len()) })
	handler := oriolefront.NewHandler(g.entry, g.opts.gate, g.Ready)
	g.callers = oriolefront.NewServer("callers", listeners[0], handler)
}

// failed records a duty that a supervisor starts anew.
func (g *Gateway) failed(event suture.Event) {
	if event.Type() == suture.EventTypeStopTimeout || event.Type() == suture.EventTypeResume {
		return
	}
	g.metrics.Add("duties_failed", 1)
	g.opts.logger.WithField("event", event.String()).Warn("duty failed")
}

// Self returns how the gateway is known to others.
func (g *Gateway) Self() oriole.Member { return g.self }

// Metrics returns the gateway's counters.
func (g *Gateway) Metrics() *oriolesight.Metrics { return g.metrics }

// Timeline returns the gateway's events.
func (g *Gateway) Timeline() *oriolesight.Timeline { return g.timeline }

// Keeps reports whether this gateway is in charge of the group.
func (g *Gateway) Keeps(group oriole.GroupID) bool { return g.work.Keeps(group) }

// Deputy returns the deputy of the group, as far as this gateway knows.
func (g *Gateway) Deputy(group oriole.GroupID) oriole.GatewayID {
	view, _ := g.control.View(group)
	return view.Deputy
}

// apply brings a stored base, merged with this site's overlay, into force.
func (g *Gateway) apply(object oriole.Object) bool {
	current := g.settings.Load()
	next, err := orioleconfig.Overlay(object.Value, "overlay", g.opts.overlay)
	if err == nil {
		err = orioleconfig.CheckChange(current, &next)
	}
	if err != nil {
		g.opts.logger.WithError(err).WithField("version", object.Version).Error("settings refused")
		return false
	}
	if next.Zone == "" {
		next.Zone, next.VMs = current.Zone, current.VMs
	}
	g.settings.Store(&next)
	return true
}

// Ready reports whether the balancer should send callers here: the gateway is
// not stopping and knows a keeper of every group.
func (g *Gateway) Ready() bool {
	settings := g.settings.Load()
	_, known := g.control.Settings()
	if g.stopping.Load() || !known || slices.Contains(settings.Out, settings.Zone) {
		return false
	}
	for _, group := range settings.Groups() {
		if view, _ := g.control.View(group.ID); view.Keeper == "" {
			return false
		}
	}
	return true
}

// Serve runs the gateway until ctx is done. It implements suture.Service.
func (g *Gateway) Serve(ctx context.Context) error { return g.tree.Serve(ctx) }

// Times of a graceful shutdown.
const (
	// balancerTime lets the balancer see that the gateway is not ready.
	balancerTime = 300 * time.Millisecond
	leaveTimeout = 10 * time.Second
	// lingerTime lets the last answers to peers leave, and peers learn of the
	// new keepers.
	lingerTime = 200 * time.Millisecond
	leavePoll  = 10 * time.Millisecond
)

// Leave hands over all duties and finishes the requests in progress. Serve
// goes on until its context is done; nothing depends on it then.
func (g *Gateway) Leave(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "leaving as %s", g.self.ID) }()
	g.stopping.Store(true)
	g.control.Leave()
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := sleep(ctx, balancerTime); err != nil {
		return err
	}
	for !g.control.Free() || g.entry.Open() > 0 {
		if err := sleep(ctx, leavePoll); err != nil {
			return err
		}
	}
	if err := sleep(ctx, lingerTime); err != nil {
		return err
	}
	return g.callers.Shutdown(ctx)
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receiver takes what peers send and sorts it to the subtrees.
type receiver struct{ g *Gateway }

// Received implements oriolepeer.Receiver.
func (r receiver) Received(from oriole.GatewayID, frame *oriolewire.Frame) {
	if frame.Blame != nil {
		blame := oriolequeue.Blame{Print: oriolequeue.Fingerprint(frame.Blame.Print), Alone: frame.Blame.Alone}
		r.g.work.Blame(oriole.GroupID(frame.Blame.Group), blame)
		return
	}
	r.g.control.Received(from, frame)
}

// Asked implements oriolepeer.Receiver.
func (r receiver) Asked(ctx context.Context, request oriole.Request, reply func(oriole.Answer)) {
	view, _ := r.g.control.View(request.Group)
	if request.Relayed && view.Keeper != r.g.self.ID && view.Keeper != "" {
		if !r.g.relays.Offer(relayed{ctx: ctx, request: request, to: view.Keeper, reply: reply}) {
			reply(oriole.Refuse(oriole.ReasonQueueFull))
		}
		return
	}
	r.g.work.Submit(ctx, request, reply)
}

// Connected implements oriolepeer.Receiver.
func (r receiver) Connected(peer oriole.Member) { r.g.control.Connected(peer) }

func addrOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }
