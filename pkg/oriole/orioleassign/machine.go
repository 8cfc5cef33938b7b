package orioleassign

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolekeeper"
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

// RightsEnd returns the term below which this gateway renews nothing any more.
func (m *Machine) RightsEnd() uint64 {
	if m.leaving || (m.stored.Leader == m.cfg.Self && m.resigned == m.stored.Term) {
		return m.stored.Term + 1
	}
	return m.stored.Term
}

// Fed takes that a peer reaches the store.
func (m *Machine) Fed(now time.Time) { m.fed = now }

// confirm takes that the store, asked at started, has named this gateway the
// leader.
func (m *Machine) confirm(now, started time.Time) {
	m.confirmed, m.took = started, now.Sub(started)
}

// resign gives up the lead if this gateway can't reach the store and others
// can: they may change owners, and renew as well.
func (m *Machine) resign(now time.Time) {
	away := !m.awaySince.IsZero() && now.Sub(m.awaySince) >= awayAfter
	if away && now.Sub(m.fed) < fedFor {
		m.stepDown("the store can't be reached, but by others")
		m.resigned = m.stored.Term
	}
}

// World takes what the gateway now believes of the system.
func (m *Machine) World(now time.Time, w *oriole.World) {
	if !sameLives(m.world.UsableOf(m.cfg.Service), w.UsableOf(m.cfg.Service)) {
		m.changed = now
		m.planDue = now
	}
	m.world = w
	if a := w.Assignments[m.cfg.Service]; a != nil {
		m.told(*a)
	}
	m.settlePrior(now, nil)
	m.Tick(now)
}

func sameLives(a, b []oriole.Upstream) bool {
	return slices.EqualFunc(a, b, func(a, b oriole.Upstream) bool { return a.Life() == b.Life() && a.Addr == b.Addr })
}

// Leave ends the gateway's part: it orders nothing any more.
func (m *Machine) Leave(now time.Time) {
	m.leaving = true
	m.stepDown("leaving")
}

// told takes an assignment as its leader tells of it.
func (m *Machine) told(a oriole.Assignment) {
	if !m.known || a.Newer(&m.stored) {
		m.learn(a, 0, false)
	}
}

// learn replaces what is known of the assignment.
func (m *Machine) learn(a oriole.Assignment, version oriole.Version, exact bool) {
	if m.leading && (a.Term != m.stored.Term || a.Leader != m.cfg.Self) {
		m.stepDown("another gateway leads")
	}
	m.stored, m.version, m.known, m.exact = a, version, true, exact
}

func (m *Machine) stepDown(why string) {
	if m.leading {
		m.note("step-down", Note{Detail: why})
	}
	m.leading = false
	m.writing = nil
	m.leases = nil
	m.goneSince = time.Time{}
	clear(m.prior)
	clear(m.calls)
	clear(m.holders)
}

func (m *Machine) note(what string, n Note) {
	n.What = what
	m.out = append(m.out, Effect{Note: &n})
}

// ReadDone takes the result of a Read that was started at the given time.
func (m *Machine) ReadDone(now, started time.Time, a oriole.Assignment, version oriole.Version, lag bool, err error) {
	m.reading = false
	switch {
	case err == nil, errors.Is(err, oriole.ErrNotFound):
		m.awaySince = time.Time{}
	case !lag && m.awaySince.IsZero():
		m.awaySince = started
	}
	switch {
	case errors.Is(err, oriole.ErrNotFound):
		if !lag && !m.leading && (!m.known || m.stored.Term == 0) {
			m.learn(oriole.Assignment{Service: m.cfg.Service}, 0, true)
		}
	case err != nil:
		m.readDue = now.Add(readWait)
		m.writeDue = now.Add(writeWait)
		if m.leading {
			m.resign(now)
		}
		return
	default:
		m.readBack(now, started, a, version, lag)
	}
	m.Tick(now)
}

// readBack compares what the store holds with what was believed.
func (m *Machine) readBack(now, started time.Time, a oriole.Assignment, version oriole.Version, lag bool) {
	older := m.known && (a.Term < m.stored.Term || (a.Term == m.stored.Term && a.Seq < m.stored.Seq))
	switch {
	case lag && older:
		return
	case m.leading && a.Term == m.stored.Term && a.Leader == m.cfg.Self:
		m.confirm(now, started)
		if m.exact && version == m.version {
			return
		}
		// A write whose answer was lost has taken effect, or had none.
		if version != m.version {
			m.commit(now, a, version)
		}
		m.exact = true
	case !m.leading && a.Leader == m.cfg.Self && !m.leaving && !lag && m.resigned != a.Term:
		// The answer to the write that took the lead was lost, or this gateway
		// has stepped down meanwhile and may have sent the fences.
		m.version, m.exact = version, true
		m.confirm(now, started)
		m.lead(now, a)
		for i := range m.leases {
			m.leases[i].spent = true
		}
	default:
		m.learn(a, version, !lag)
	}
}

// WriteDone takes the result of a Write that was started at the given time.
func (m *Machine) WriteDone(now, started time.Time, a oriole.Assignment, version oriole.Version, err error) {
	m.writing = nil
	if m.leaving {
		return
	}
	switch {
	case err == nil && m.known && a.Term < m.stored.Term:
		return
	case err == nil:
		m.confirm(now, started)
		if m.leading {
			m.commit(now, a, version)
		} else {
			m.version, m.exact = version, true
			m.lead(now, a)
		}
	case errors.Is(err, oriole.ErrBusy):
		m.exact = true
		m.writeDue = now.Add(writeWait)
		// Whether the store refuses every call shows by a read.
		m.read(now, false)
	default:
		// It may have taken effect, or another has written: read back.
		m.writeDue = now.Add(writeWait)
		m.read(now, false)
	}
	m.Tick(now)
}

// lead begins a term that the store has confirmed.
func (m *Machine) lead(now time.Time, a oriole.Assignment) {
	m.stored, m.known = a, true
	m.leading = true
	m.seq, m.dirty = a.Seq, false
	m.goneSince = time.Time{}
	m.planDue = now
	clear(m.prior)
	clear(m.holders)
	clear(m.calls)
	for _, g := range a.Prior {
		m.prior[g] = true
	}
	m.horizon = now
	if len(m.prior) > 0 {
		m.horizon = now.Add(m.cfg.Right)
	}
	m.leases = follow(nil, a.Ranges, m.horizon, now)
	m.note("lead", Note{Fence: a.Fence, Detail: "term begins"})
	m.settlePrior(now, nil)
	m.tell()
}

// commit makes a change of the table take effect that the store has confirmed.
func (m *Machine) commit(now time.Time, a oriole.Assignment, version oriole.Version) {
	m.version, m.exact = version, true
	m.leases = follow(m.leases, a.Ranges, m.horizon, now)
	m.stored = a
	m.settleGivers(now)
	m.tell()
}

func (m *Machine) tell() {
	a := m.stored.Clone()
	m.out = append(m.out, Effect{Tell: &a})
}

// Heard takes a gateway's word that it renews nothing below the term.
func (m *Machine) Heard(now time.Time, peer oriole.GatewayID, rightsEnd uint64) {
	if m.leading && m.prior[peer] && rightsEnd >= m.stored.Term {
		m.settlePrior(now, &peer)
	}
	if !m.leading && peer == m.stored.Leader && rightsEnd > m.stored.Term {
		m.resigned = m.stored.Term
	}
}

// settlePrior crosses off the earlier leader that has given its word, and
// those that have certainly ended. Once none is left, no grant but this
// leader's is under way.
func (m *Machine) settlePrior(now time.Time, word *oriole.GatewayID) {
	if !m.leading || len(m.prior) == 0 {
		return
	}
	for g := range m.prior {
		if m.ended(g) || (word != nil && *word == g) {
			delete(m.prior, g)
		}
	}
	if !m.horizon.After(now) {
		// Their right has run out.
		clear(m.prior)
		return
	}
	if len(m.prior) > 0 {
		return
	}
	m.horizon = now
	for i := range m.leases {
		l := &m.leases[i]
		l.sent = earlier(l.sent, now)
		for j := range l.givers {
			l.givers[j].sent = earlier(l.givers[j].sent, now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ended reports whether the gateway's process is over for certain: its VM runs
// a later one.
func (m *Machine) ended(g oriole.GatewayID) bool {
	for id := range m.world.Gateways {
		if id.Succeeds(g) {
			return true
		}
	}
	return m.cfg.Self.Succeeds(g)
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

// follow keeps a gateway that does not lead up to date, and makes it a
// candidate when the leader is gone.
func (m *Machine) follow(now time.Time) {
	if !m.readDue.After(now) {
		m.read(now, m.known)
	}
	if m.writing != nil || m.reading || !m.known || !m.world.Listed || now.Sub(m.start) < startWait {
		return
	}
	if m.stored.Leader == m.cfg.Self && m.resigned != m.stored.Term && !m.writeDue.After(now) {
		m.read(now, false)
		return
	}
	if !m.leaderGone() {
		m.goneSince = time.Time{}
		return
	}
	if m.goneSince.IsZero() {
		m.goneSince = now
	}
	rank := slices.Index(oriolekeeper.Leaders(m.cfg.Service, m.world.Members()), m.cfg.Self)
	if rank < 0 || now.Sub(m.goneSince) < time.Duration(rank)*rankWait || m.writeDue.After(now) {
		return
	}
	if !m.exact {
		m.read(now, false)
		return
	}
	m.claim(now)
}

// leaderGone reports whether nobody leads that is listed, heard and staying.
func (m *Machine) leaderGone() bool {
	leader, listed := m.world.Gateways[m.stored.Leader]
	return m.stored.Leader == "" || (m.stored.Term > 0 && m.resigned == m.stored.Term) || !listed || leader.Leaving || !m.world.Alive[m.stored.Leader]
}

// claim writes an assignment that makes this gateway the leader.
func (m *Machine) claim(now time.Time) {
	next := m.stored.Clone()
	if len(next.Ranges) == 0 && now.Sub(m.changed) < firstWait {
		return
	}
	if len(next.Ranges) == 0 {
		targets := m.targets(now, true)
		if len(targets) == 0 {
			return
		}
		next.Ranges = initial(targets)
	}
	// Owners may have started anew under their IDs, and then must not get the
	// fences that they had.
	next.Fence++
	for i := range next.Ranges {
		next.Ranges[i].Fence = next.Fence
	}
	if next.Leader != "" && !slices.Contains(next.Prior, next.Leader) {
		next.Prior = append(next.Prior, next.Leader)
	}
	next.Prior = slices.DeleteFunc(next.Prior, func(g oriole.GatewayID) bool { return m.ended(g) || g == m.cfg.Self })
	next.Leader = m.cfg.Self
	next.Term++
	next.Seq = 1
	m.write(now, next)
}

func (m *Machine) write(now time.Time, a oriole.Assignment) {
	m.writing = &a
	m.exact = false
	m.out = append(m.out, Effect{Write: &Write{Assignment: a, Expected: m.version}})
}

func (m *Machine) read(now time.Time, lag bool) {
	if m.reading {
		return
	}
	m.reading = true
	m.readDue = now.Add(pollWait)
	m.out = append(m.out, Effect{Read: &Read{Lag: lag}})
}

// keepRight has the store confirm in good time that this gateway still leads.
func (m *Machine) keepRight(now time.Time) {
	if now.Sub(m.confirmed) >= m.cfg.Right/4 && !m.readDue.After(now) && m.writing == nil {
		m.read(now, false)
		m.readDue = now.Add(min(pollWait, m.cfg.Right/8))
	}
}
