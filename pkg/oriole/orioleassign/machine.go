package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Config holds the times of one service's assignment.
type Config struct {
	Self    oriole.GatewayID
	Service oriole.ServiceName
	// Hold is the span of a lease, Renew the interval at which it is renewed.
	Hold  time.Duration
	Renew time.Duration
	// Right is how long a leader may go on after the store last confirmed
	// that it leads.
	Right time.Duration
	// Drift bounds how much slower than others a clock may run, as a
	// fraction.
	Drift float64
	// Flight bounds the time between a leader's check of its right and the
	// arrival of the order.
	Flight time.Duration
}

// Intervals of retries and plans.
const (
	// firstWait is how long upstreams must have been unchanged before the
	// first assignment is made, so that it covers all that start together.
	firstWait = time.Second
	// startWait lets a gateway that starts hear of the others first.
	startWait = 500 * time.Millisecond
	// rankWait is the time that a candidate leaves to each better one. It
	// covers a read and a write at a store of usual speed.
	rankWait = 400 * time.Millisecond
	// retryWait is the pause after a failed order, writeWait after a failed
	// write.
	retryWait = 150 * time.Millisecond
	writeWait = 300 * time.Millisecond
	// readWait is the pause after a read that failed.
	readWait = time.Second
	// planWait is the pause between plans that move load, so that the load of
	// the last is seen before the next.
	planWait = 400 * time.Millisecond
	// pollWait is the interval at which those who do not lead read the
	// assignment; what the leader tells arrives sooner.
	pollWait = 5 * time.Second
	// downAfter is how many orders must fail in a row before an upstream
	// counts as down, and downFor how long it then gets no ranges.
	downAfter = 2
	downFor   = 3 * time.Second
	// awayAfter is how long a leader's reads must have failed before it gives up
	// the lead to others that reach the store, and fedFor how long a sign that
	// they do counts: they watch with waits of less than a second.
	awayAfter = 400 * time.Millisecond
	fedFor    = 1500 * time.Millisecond
	// silentAfter is how long orders must have gone unanswered. It leaves a
	// lease time for two more tries.
	silentAfter = 2 * time.Second
	// refenceWait gathers ranges that need a new fence: when a connection
	// breaks, all ranges of its upstream do.
	refenceWait = 250 * time.Millisecond
	// probedFor is how long a successful probe counts.
	probedFor = 10 * time.Second
)

const (
	// usualSpan is the run time that is expected of an upstream that nothing
	// was told of.
	usualSpan = 100 * time.Millisecond
	// usualColdRate is what a cold upstream bears, in requests a second, of a
	// service that does not state it.
	usualColdRate = 5
	// coldCapacity is the part of its stated rate that a cold upstream is
	// given: what goes beyond the rate waits.
	coldCapacity = 0.7
)

// Machine is one gateway's part in the assignment of one service.
type Machine struct {
	cfg   Config
	out   []Effect
	world *oriole.World
	// start is when the machine first saw the time, changed when the set of
	// upstreams last changed.
	start   time.Time
	changed time.Time

	// stored is the newest assignment known, and version the store's version
	// if it came from there.
	stored  oriole.Assignment
	version oriole.Version
	known   bool
	// exact says that version belongs to stored, so that a write may use it.
	exact bool

	reading  bool
	readDue  time.Time
	writing  *oriole.Assignment
	writeDue time.Time
	// fed is when a peer last passed on news of the directory, which shows that
	// it reaches the store; awaySince is when this gateway's own reads began to
	// fail, or zero.
	fed       time.Time
	awaySince time.Time
	// resigned is the term that the stored leader was heard to have given up,
	// or that this gateway has.
	resigned uint64
	// goneSince is when the leader was first found to be gone.
	goneSince time.Time
	leaving   bool

	leading   bool
	confirmed time.Time
	// took is how long the store's last confirmation was on its way.
	took    time.Duration
	planDue time.Time
	// refenceDue is when spent fences may be replaced.
	refenceDue time.Time
	// seq is the highest that a table of this term was given, dirty that the
	// table is ahead of the store.
	seq   uint64
	dirty bool
	// prior holds the earlier leaders that may still renew leases, and
	// horizon bounds the time until which they may.
	prior    map[oriole.GatewayID]bool
	horizon  time.Time
	leases   []lease
	holders  map[oriole.Life]*holder
	calls    map[CallID]call
	lastCall CallID
	load     Load
	// longestWork bounds how long a request runs.
	longestWork time.Duration
}

// holder is what the leader knows of one life of an upstream.
type holder struct {
	granting  bool
	releasing int
	probing   bool
	// failures counts connections that failed in a row, refused those that
	// nothing listened for, and unanswered the orders that left without an
	// answer since silentSince.
	failures    int
	refused     int
	unanswered  int
	silentSince time.Time
	down        bool
	downUntil   time.Time
	probed      time.Time
	// ended says that this life is over for certain.
	ended bool
	// span is how long requests run there, or 0.
	span time.Duration
}

// call is an order that has not been answered.
type call struct {
	kind  orderKind
	life  oriole.Life
	first oriole.Point
	last  oriole.Point
	fence oriole.Fence
	// again says that a release is not the first.
	again bool
}

type orderKind int

const (
	orderGrant orderKind = iota
	orderRelease
	orderProbe
)

// New returns a machine that knows nothing.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg,
		world:   oriole.NewWorld(),
		prior:   make(map[oriole.GatewayID]bool),
		holders: make(map[oriole.Life]*holder),
		calls:   make(map[CallID]call),
	}
}

// Take returns what the machine wants done since the last call, in order.
func (m *Machine) Take() []Effect {
	out := m.out
	m.out = nil
	return out
}

// Leading reports whether this gateway leads the service.
func (m *Machine) Leading() bool { return m.leading }

// Table returns the newest assignment known, or nil.
func (m *Machine) Table() *oriole.Assignment {
	if !m.known {
		return nil
	}
	return &m.stored
}

// World takes what the gateway now believes of the system.
func (m *Machine) World(now time.Time, w *oriole.World) {
	if !sameLives(m.world.UsableOf(m.cfg.Service), w.UsableOf(m.cfg.Service)) {
		m.changed = now
		m.planDue = now
	}
	m.world = w
	m.longestWork = longestWork(w.Config)
	if a := w.Assignments[m.cfg.Service]; a != nil {
		m.told(*a)
	}
	m.settlePrior(now, nil)
	m.Tick(now)
}

// usualWork bounds how long a request runs where no configuration says.
const usualWork = 2 * time.Second

// workFlight is the time for which a request may have been on its way beyond its
// route's timeout.
const workFlight = 500 * time.Millisecond

// longestWork returns how long a request runs at most: upstreams end it at the
// deadline that they are given, which is within its route's timeout.
func longestWork(cfg *oriole.Config) time.Duration {
	longest := time.Duration(0)
	if cfg != nil {
		for _, r := range cfg.Routes {
			longest = max(longest, r.Timeout)
		}
	}
	if longest == 0 {
		longest = usualWork
	}
	return longest + workFlight
}

func sameLives(a, b []oriole.Upstream) bool {
	return slices.EqualFunc(a, b, func(a, b oriole.Upstream) bool { return a.Life() == b.Life() && a.Addr == b.Addr })
}

func (m *Machine) note(what string, n Note) {
	n.What = what
	m.out = append(m.out, Effect{Note: &n})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// AddLoad takes recent requests of a bucket of points.
func (m *Machine) AddLoad(bucket int, requests float64) { m.load.Add(bucket, requests) }

// Tick does what has fallen due.
func (m *Machine) Tick(now time.Time) {
	if m.leaving {
		return
	}
	if m.start.IsZero() {
		m.start = now
	}
	if !m.leading {
		m.follow(now)
		return
	}
	m.settlePrior(now, nil)
	m.keepRight(now)
	m.orderAll(now)
	m.plan(now)
}
