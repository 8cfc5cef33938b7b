// Package oriolestate maintains a gateway's view of the cluster. It is a
// supervisor subtree: one duty per feed follows the platform's directory, and
// one duty merges all updates into an immutable state and publishes it.
package oriolestate

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioledeparture"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// updateRingSize bounds the queued updates; senders block while the ring is
	// full.
	updateRingSize = 256
	// removalDelay is how long no call to the directory must have failed before
	// an upstream missing from it is removed. Entries that expired during an
	// outage of the directory are registered again within two seconds.
	removalDelay = 2500 * time.Millisecond
	// departedRetention is how long a departed upstream is kept with its
	// address, so that its leases can still be released.
	departedRetention = 15 * time.Second
	// returnColdness is how long the upstreams of a zone that returns from an
	// evacuation count as cold, if nothing else is known. Their entries reach all
	// gateways within it: a heartbeat of theirs, a watch and its relay.
	returnColdness = 2500 * time.Millisecond
	// sweepInterval is how often pending removals and expired departures are
	// checked.
	sweepInterval = 250 * time.Millisecond
)

// Config configures the subtree.
type Config struct {
	Self      oriole.Member
	Directory oriole.Directory
	Timers    oriole.Timers
	Log       log.Interface
	// BroadcastUpdate sends a directory update to all peers.
	BroadcastUpdate func(*oriolemessage.Feed)
	// RequestAnnounce is called when the directory no longer lists this gateway, or
	// lists it again although it drains. It must not block.
	RequestAnnounce func()
	// Announced is closed once the directory lists this gateway.
	Announced <-chan struct{}
	// ApplyOverlay applies this gateway's overlay to a published configuration.
	ApplyOverlay func(*oriole.Config) *oriole.Config
	// BroadcastLeaving tells all peers that an upstream leaves, and TellLeaving one
	// gateway. They must not block.
	BroadcastLeaving func(oriole.Incarnation)
	TellLeaving      func(oriole.GatewayID, oriole.Incarnation)
	// RequestAssignment requests the full assignment of a service from the given
	// gateway, its leader.
	RequestAssignment func(oriole.ServiceName, oriole.GatewayID)
	// RevocationBound is the time after which no request with a removed API key may run,
	// or 0 if there is none.
	RevocationBound time.Duration
	// BootClock includes suspensions. Nil means the clock of Timers.
	BootClock oriole.Clock
	// SendFrame sends a frame to a peer, and reports false if there is no link. It must
	// not block.
	SendFrame func(oriole.GatewayID, *oriolemessage.Frame) bool
	// Metrics may be nil.
	Metrics *orioletelemetry.Metrics
}

// announced reports whether this gateway has been registered.
func (c *Config) announced() bool {
	if c.Announced == nil {
		return true
	}
	select {
	case <-c.Announced:
		return true
	default:
		return false
	}
}

// Tracker tracks the state of the cluster as this gateway knows it. It
// implements suture.Service.
type Tracker struct {
	*suture.Supervisor
	cfg     Config
	updates *oriolering.Ring[update]
	// relayed holds a ring per feed kind for the updates that the watcher
	// relays.
	relayed map[string]*oriolering.Ring[*oriolemessage.Feed]
	current atomic.Pointer[snapshot]
	// confirmation is nil if there is no revocation bound.
	confirmation *confirmation
	// lastResponse is when the directory last responded to this gateway, or nil. It
	// has a monotonic reading, since the wall clock may be set back.
	lastResponse atomic.Pointer[time.Time]
	// lastRelay is when a peer last relayed an update, in Unix nanoseconds.
	lastRelay atomic.Int64

	mu          sync.Mutex
	subscribers []chan struct{}
	// peerResponses holds when the directory last responded to each peer, as far as
	// this gateway knows.
	peerResponses map[oriole.GatewayID]time.Time
}

// snapshot is a published state with a channel that is closed when a newer one
// replaces it.
type snapshot struct {
	state    *oriole.ClusterState
	replaced chan struct{}
}

// update is a change to the state.
type update interface {
	apply(state *oriole.ClusterState, b *bookkeeping)
}

// bookkeeping is what the state duty tracks besides the published state.
type bookkeeping struct {
	cfg Config
	now time.Time
	// missing holds the upstreams that the directory no longer lists and that
	// are not removed yet.
	missing map[oriole.ServerID]bool
	// departedAt holds when each departed incarnation was replaced or removed.
	departedAt map[oriole.Incarnation]time.Time
	// coldUntil holds until when the upstreams of each zone that has returned from
	// an evacuation count as cold.
	coldUntil map[oriole.ZoneName]time.Time
	// listed holds the kinds of entries of which an update has been applied.
	listed map[string]bool
	// restoredAt holds for each kind of entries when the directory was last found
	// to have come back from an older copy.
	restoredAt map[string]time.Time
	// left holds the upstreams that have left, held those of them that a restored
	// directory lists.
	left map[oriole.ServerID]leftUpstream
	held map[oriole.ServerID]oriole.Upstream
	// departures holds the upstreams that have stated that they leave, leaving
	// those of them that are listed. remindedAt is when their leaders were last
	// reminded.
	departures *orioledeparture.Record
	leaving    map[oriole.Incarnation]bool
	remindedAt time.Time
	// unlistedZones and unlistedGateways hold the evacuated zones and the gateways
	// that the directory's last list lacks and that are not dropped yet.
	unlistedZones    map[oriole.ZoneName]bool
	unlistedGateways map[oriole.GatewayID]bool
	// drained holds when gateways that drained were removed from the directory.
	drained map[oriole.GatewayID]time.Time
	// storedConfigs holds the versions of the entries that the directory has, by name. An
	// entry that can't be decoded is not among them.
	storedConfigs map[string]oriole.ConfigVersion
	// calledAt is the start of the last call for configurations whose changes are
	// applied but not published yet, or zero.
	calledAt time.Time
}

func newBookkeeping(cfg Config) *bookkeeping {
	return &bookkeeping{
		cfg:        cfg,
		missing:    make(map[oriole.ServerID]bool),
		departedAt: make(map[oriole.Incarnation]time.Time),
		coldUntil:  make(map[oriole.ZoneName]time.Time),
		listed:     make(map[string]bool),
		restoredAt: make(map[string]time.Time),
		left:       make(map[oriole.ServerID]leftUpstream),
		held:       make(map[oriole.ServerID]oriole.Upstream),
		departures: orioledeparture.New(),
		leaving:    make(map[oriole.Incarnation]bool),

		unlistedZones:    make(map[oriole.ZoneName]bool),
		unlistedGateways: make(map[oriole.GatewayID]bool),
		drained:          make(map[oriole.GatewayID]time.Time),
		storedConfigs:    make(map[string]oriole.ConfigVersion),
	}
}

// sweepNeeded reports whether a sweep may change anything.
func (b *bookkeeping) sweepNeeded(now time.Time) bool {
	return b.reminderDue(now) || len(b.missing)+len(b.departedAt)+len(b.held)+len(b.unlistedZones)+len(b.unlistedGateways) > 0
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Tracker {
	if cfg.BootClock == nil {
		cfg.BootClock = cfg.Timers
	}
	if cfg.Metrics == nil {
		cfg.Metrics = orioletelemetry.NewMetrics()
	}
	t := &Tracker{
		Supervisor: suture.New("hub", spec),
		cfg:        cfg,
		updates:    oriolering.New[update](updateRingSize),
		relayed:    make(map[string]*oriolering.Ring[*oriolemessage.Feed]),

		peerResponses: make(map[oriole.GatewayID]time.Time),
	}
	// The watcher has until then to relay its first update.
	t.RecordRelay()
	state := oriole.NewClusterState()
	state.Gateways[cfg.Self.ID] = cfg.Self
	state.Alive[cfg.Self.ID] = true
	t.current.Store(&snapshot{state: state, replaced: make(chan struct{})})
	t.Add(newStateDuty(t))
	var refresh <-chan struct{}
	if cfg.RevocationBound > 0 {
		t.confirmation = newConfirmation(cfg)
		t.Add(&confirmDuty{t, t.confirmation})
		refresh = t.confirmation.refresh
	}
	t.Add(&followDuty[*oriole.Config]{
		tracker: t, kind: oriolemessage.KindConfigs, watchTimeout: defaultWatchTimeout,
		feed: cfg.Directory.Configs(), newUpdate: newConfigUpdate,
		relayed: t.newRelayRing(oriolemessage.KindConfigs),
		encode:  (*oriolemessage.Entry).SetConfig, decode: oriolemessage.Entry.ToConfig,
		refresh: refresh,
	})
	t.Add(&followDuty[oriole.Upstream]{
		tracker: t, kind: oriolemessage.KindUpstreams, watchTimeout: defaultWatchTimeout,
		feed: cfg.Directory.Upstreams(), newUpdate: newUpstreamUpdate,
		relayed: t.newRelayRing(oriolemessage.KindUpstreams),
		encode:  (*oriolemessage.Entry).SetUpstream, decode: oriolemessage.Entry.ToUpstream,
	})
	t.Add(&followDuty[oriole.ZoneName]{
		tracker: t, kind: oriolemessage.KindZones, watchTimeout: zoneWatchTimeout,
		feed: cfg.Directory.EvacuatedZones(), newUpdate: newEvacuationUpdate,
		relayed: t.newRelayRing(oriolemessage.KindZones),
		encode:  (*oriolemessage.Entry).SetZone, decode: oriolemessage.Entry.ToZone,
	})
	t.Add(&followDuty[oriole.Member]{
		tracker: t, kind: oriolemessage.KindGateways, watchTimeout: gatewayWatchTimeout,
		feed: cfg.Directory.Gateways(), newUpdate: newGatewayUpdate,
		relayed: t.newRelayRing(oriolemessage.KindGateways),
		encode:  (*oriolemessage.Entry).SetGateway, decode: oriolemessage.Entry.ToGateway,
		startAfter: cfg.Announced,
	})
	return t
}

// newRelayRing creates the ring for relayed updates of one feed kind.
func (t *Tracker) newRelayRing(kind string) *oriolering.Ring[*oriolemessage.Feed] {
	ring := oriolering.New[*oriolemessage.Feed](relayRingSize)
	t.relayed[kind] = ring
	return ring
}

// Snapshot returns the current state.
func (t *Tracker) Snapshot() *oriole.ClusterState { return t.current.Load().state }

// Watch returns the current state and a channel that is closed when a newer one
// replaces it.
func (t *Tracker) Watch() (*oriole.ClusterState, <-chan struct{}) {
	current := t.current.Load()
	return current.state, current.replaced
}

// reachableWindow is how long one response counts as proof that the directory
// is reachable. It is slightly longer than the shortest watch timeout.
const reachableWindow = time.Second

// DirectoryReachable reports whether the directory has responded to this gateway
// within reachableWindow. A gateway that applies the watcher's updates does not
// call the directory, so a result of false does not show an outage.
func (t *Tracker) DirectoryReachable() bool { return t.DirectoryAge() <= reachableWindow }

// DirectoryAge returns the time since the directory last responded to this gateway,
// or the maximum duration if it never did. It is not negative.
func (t *Tracker) DirectoryAge() time.Duration {
	last := t.lastResponse.Load()
	if last == nil {
		return math.MaxInt64
	}
	return max(0, t.cfg.Timers.Now().Sub(*last))
}

// recordResponse records that the directory has responded to this gateway.
func (t *Tracker) recordResponse() {
	now := t.cfg.Timers.Now()
	t.lastResponse.Store(&now)
}

// Subscribe returns a channel that receives a value at once and after each
// change of the state. A notification is dropped while the previous one is
// unread.
func (t *Tracker) Subscribe() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := make(chan struct{}, 1)
	c <- struct{}{}
	t.subscribers = append(t.subscribers, c)
	return c
}

// UpdateAssignment queues an assignment received from its leader or read from
// the store.
func (t *Tracker) UpdateAssignment(ctx context.Context, a oriole.Assignment) {
	// Put fails only when the gateway shuts down.
	_ = t.updates.Put(ctx, assignmentUpdate{a})
}

// PatchAssignment queues an incremental change of an assignment, received from
// its leader.
func (t *Tracker) PatchAssignment(ctx context.Context, from oriole.GatewayID, p oriole.AssignmentPatch) {
	_ = t.updates.Put(ctx, patchUpdate{from, p})
}

// HandleDirectoryUpdate queues a directory update relayed by the watcher. If the
// ring is full the update is dropped, and the follow duty fetches its changes
// from the directory.
func (t *Tracker) HandleDirectoryUpdate(feed *oriolemessage.Feed) {
	t.RecordRelay()
	if ring := t.relayed[feed.Kind]; ring != nil {
		ring.Offer(feed)
	}
}

// SetAlive queues a new set of live gateways, and whether they may take this gateway for
// lost.
func (t *Tracker) SetAlive(ctx context.Context, alive map[oriole.GatewayID]bool, unheard bool) {
	_ = t.updates.Put(ctx, livenessUpdate{alive, unheard})
}

// UpdateGateway queues the entry of a gateway that has opened a link or changed,
// possibly before the directory lists it.
func (t *Tracker) UpdateGateway(ctx context.Context, m oriole.Member) {
	_ = t.updates.Put(ctx, peerUpdate{m})
}

// MarkLeaving queues the report that an upstream has stated that it leaves, which
// this gateway has from the upstream itself or from the peer.
func (t *Tracker) MarkLeaving(ctx context.Context, incarnation oriole.Incarnation, peer oriole.GatewayID) {
	_ = t.updates.Put(ctx, leavingUpdate{incarnation, peer})
}

// stateDuty owns the state: it applies updates and publishes the result. All
// queued updates are applied before the state is published once.
type stateDuty struct {
	tracker *Tracker
	// bookkeeping outlives a restart of the duty: the published state still holds
	// the upstreams that it lists as missing.
	bookkeeping *bookkeeping
}

func newStateDuty(t *Tracker) *stateDuty {
	return &stateDuty{t, newBookkeeping(t.cfg)}
}

func (d *stateDuty) String() string { return "believe" }

// Serve implements suture.Service.
func (d *stateDuty) Serve(ctx context.Context) error {
	t, b := d.tracker, d.bookkeeping
	ticks, stop := t.cfg.Timers.Subscribe(sweepInterval)
	defer stop()
	for {
		var next update
		select {
		case next = <-t.updates.Out():
		case <-ticks:
			if !b.sweepNeeded(t.cfg.Timers.Now()) {
				continue
			}
			next = sweepUpdate{}
		case <-ctx.Done():
			return ctx.Err()
		}
		b.now = t.cfg.Timers.Now()
		state := t.Snapshot().Clone()
		changed := applyUpdate(next, state, b)
		for more := true; more; {
			select {
			case next = <-t.updates.Out():
				changed = applyUpdate(next, state, b) || changed
			default:
				more = false
			}
		}
		if changed {
			t.publish(state)
		}
		t.recordCall(b)
	}
}

// applyUpdate applies the update and reports whether the state has to be published. The
// record of a call changes none: a call is recorded each 0.8 s.
func applyUpdate(u update, state *oriole.ClusterState, b *bookkeeping) (changed bool) {
	u.apply(state, b)
	_, isCall := u.(callUpdate)
	return !isCall
}

func (t *Tracker) publish(state *oriole.ClusterState) {
	state.BuildIndex()
	last := t.current.Swap(&snapshot{state: state, replaced: make(chan struct{})})
	close(last.replaced)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
