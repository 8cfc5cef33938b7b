// Package oriolecontrol is the subtree that keeps a gateway in agreement with
// the others: one duty runs the ownership decisions of all groups, others call
// the store, give leases, and watch.
package oriolecontrol

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolespread"
)

// Sizes of the rings.
const (
	inputRing = 8192
	storeRing = 256
	grantRing = 4
)

// storeCallers is the number of calls to the store that may be under way.
const storeCallers = 4

// Intervals of the duties.
const (
	decideInterval    = 10 * time.Millisecond
	sightInterval     = 100 * time.Millisecond
	candidateInterval = 50 * time.Millisecond
	pulseInterval     = 200 * time.Millisecond
	memberInterval    = time.Second
	// announceInterval is the time between two entries in the list of VMs.
	announceInterval = 15 * time.Second
	watchWait        = 2 * time.Second
	callTimeout      = 150 * time.Millisecond
)

// Sights are sent at sightInterval to as many as sightPeers; with more, the
// interval grows with their number to the power of sightGrowth, so that a
// gateway's sights cost fewer bytes a second the more gateways there are.
const (
	sightPeers  = 16
	sightGrowth = 1.25
)

// SightEvery returns the interval of sights among n gateways.
func SightEvery(n int) time.Duration {
	if n <= sightPeers {
		return sightInterval
	}
	return time.Duration(float64(sightInterval) * math.Pow(float64(n)/sightPeers, sightGrowth))
}

// silentSights is how many sights in a row may be missing.
const silentSights = 4

// LinkSilence returns the time without a frame after which a link among n
// gateways counts as broken, if that is longer than the least.
func LinkSilence(least time.Duration, n int) time.Duration {
	return max(least, silentSights*SightEvery(n))
}

// watchersPerZone is the number of gateways of an availability zone that watch
// the store and pass on what they see.
const watchersPerZone = 2

// moveBatch is the most slices of a group that a planned move takes at once.
const moveBatch = 8

// recordPrefix begins the names of the groups' objects in the store.
const recordPrefix = "group/"

// SettingsObject is the name of the object that holds the base settings.
const SettingsObject = "settings"

// Network is what the subtree needs of the connections to peers.
type Network interface {
	Send(to oriole.GatewayID, frame *oriolewire.Frame) bool
	Broadcast(frame *oriolewire.Frame)
	SetMembers(members []oriole.Member)
	// GiveUp answers the idempotent requests of the group that wait for the
	// peer.
	GiveUp(peer oriole.GatewayID, group oriole.GroupID)
}

// Config describes the subtree.
type Config struct {
	Self     oriole.Member
	Settings func() *orioleconfig.Settings
	Timers   oriole.Timers
	Store    oriole.Store
	Granter  func(oriole.ServiceName) oriole.Granter
	Network  Network
	// Apply brings a stored settings object into force, and reports whether it
	// could. Objects come in the order of their versions.
	Apply func(object oriole.Object) bool
	// Route publishes the routing of a group; Busy tells whether requests run
	// on a slice.
	Route    func(oriole.GroupID, *oriole.Routing)
	Busy     func(oriole.GroupID, int) bool
	Timeline *oriolesight.Timeline
	Metrics  *oriolesight.Metrics
	Gate     oriole.Gate
}

// Control is the subtree. It implements suture.Service.
type Control struct {
	*suture.Supervisor
	cfg    Config
	groups []orioleconfig.Group
	in     *oriolering.Ring[input]
	store  *oriolering.Ring[storeCall]
	views  atomic.Pointer[map[oriole.GroupID]oriole.View]
	// changed is closed and replaced whenever a view changes.
	changed  atomic.Pointer[chan struct{}]
	watching atomic.Bool
	leaving  atomic.Bool
	free     atomic.Bool
	storeUp  atomic.Bool
	status   atomic.Pointer[[]GroupStatus]
	version  atomic.Uint64
	known    atomic.Bool
	// yielding says that this gateway's availability zone is out.
	yielding atomic.Bool
}

// input is one entry of the deciding duty's ring.
type input struct {
	from  oriole.GatewayID
	frame *oriolewire.Frame
	// event goes to the machine of the group, or to all machines if there is
	// no group.
	group   oriole.GroupID
	event   oriolegroup.Event
	members []oriole.Member
	objects []oriole.Object
	// connected names a peer to which the views of this gateway are news.
	connected *oriole.Member
	pulse     *pulse
	// current says that objects are all that the store has.
	current bool
}

// pulse is the result of asking the store whether it answers.
type pulse struct{ up bool }

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Control {
	c := &Control{
		Supervisor: suture.New("control", spec),
		cfg:        cfg,
		groups:     cfg.Settings().Groups(),
		in:         oriolering.New[input](inputRing),
		store:      oriolering.New[storeCall](storeRing),
	}
	views := make(map[oriole.GroupID]oriole.View)
	c.views.Store(&views)
	changed := make(chan struct{})
	c.changed.Store(&changed)
	c.storeUp.Store(true)
	c.Add(newDecider(c))
	for range storeCallers {
		c.Add(&storeDuty{control: c})
	}
	c.Add(&watchDuty{control: c})
	c.Add(&pulseDuty{control: c})
	c.Add(&memberDuty{control: c})
	return c
}

// Received takes a frame of a peer.
func (c *Control) Received(from oriole.GatewayID, frame *oriolewire.Frame) {
	if !c.in.Offer(input{from: from, frame: frame}) {
		c.cfg.Metrics.Add("control_ring_full", 1)
	}
}

// Connected takes the news that a link with a peer has begun.
func (c *Control) Connected(peer oriole.Member) {
	c.in.Offer(input{connected: &peer})
}

// Suspect tells the group's machine that a server could not be reached.
func (c *Control) Suspect(group oriole.GroupID, server int) {
	c.in.Offer(input{group: group, event: oriolegroup.ServerSuspect{Server: server}})
}

// Leave asks all machines to hand their duties over.
func (c *Control) Leave() {
	c.leaving.Store(true)
	c.in.Offer(input{event: oriolegroup.Leave{}})
}

// Settings returns the version of the settings in force, 0 for those of the
// file, and whether it is known that there is no newer one.
func (c *Control) Settings() (version oriole.Version, known bool) {
	return oriole.Version(c.version.Load()), c.known.Load()
}

// Free reports whether this gateway has no duty left.
func (c *Control) Free() bool { return c.free.Load() }

// StoreUp reports whether the store answers, as far as is known.
func (c *Control) StoreUp() bool { return c.storeUp.Load() }

// View returns what is known of the group, and a channel that is closed at the
// next change of any view.
func (c *Control) View(group oriole.GroupID) (oriole.View, <-chan struct{}) {
	changed := *c.changed.Load()
	return (*c.views.Load())[group], changed
}

// GroupStatus is what a gateway knows of one group.
type GroupStatus struct {
	Group   oriole.GroupID   `json:"group"`
	Role    string           `json:"role"`
	Term    oriole.Term      `json:"term"`
	Keeper  oriole.GatewayID `json:"keeper"`
	Deputy  oriole.GatewayID `json:"deputy"`
	Doubt   bool             `json:"doubt"`
	Servers []ServerStatus   `json:"servers,omitempty"`
}

// ServerStatus is what a keeper knows of one server.
type ServerStatus struct {
	Server oriole.ServerID `json:"server"`
	Zone   oriole.ZoneName `json:"zone"`
	Slices int             `json:"slices"`
	Lost   bool            `json:"lost"`
	Down   bool            `json:"down"`
	Out    bool            `json:"out"`
}

// Status returns the state of all groups, as of the last second.
func (c *Control) Status() []GroupStatus {
	if status := c.status.Load(); status != nil {
		return *status
	}
	return nil
}

// machineConfig returns the configuration of the group's machine.
func (c *Control) machineConfig(g orioleconfig.Group, restarted bool) oriolegroup.Config {
	return oriolegroup.Config{
		Self:     c.cfg.Self.ID,
		Zone:     c.cfg.Self.Zone,
		Group:    g.ID,
		Servers:  g.Servers,
		Slices:   g.Slices,
		Fenced:   c.cfg.Settings().Services[g.Service].Fenced,
		Timing:   c.cfg.Settings().Timing(g.Service),
		Spreader: oriolespread.Even{},
		Leveler:  oriolespread.Even{Level: true},
		Batch:    moveBatch,

		Restarted: restarted,
	}
}

// post gives an event to the deciding duty; it waits for room, since the event
// answers an effect and must not be lost.
func (c *Control) post(ctx context.Context, group oriole.GroupID, event oriolegroup.Event) error {
	return c.in.Put(ctx, input{group: group, event: event})
}
