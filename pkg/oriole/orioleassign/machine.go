package orioleassign

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Config configures the machine of one service.
type Config struct {
	Self    oriole.GatewayID
	Service oriole.ServiceName
	// Time to live of an upstream's lease, and the interval at which it is
	// renewed.
	LeaseTTL      time.Duration
	RenewInterval time.Duration
	// LeaderLease is how long a leader may act after the store last confirmed its
	// leadership.
	LeaderLease time.Duration
	// MoveLease is how long after the store last confirmed its leadership a leader
	// may move ranges: release them, and use fencing tokens for the first time. A
	// new leader calls no upstream while a prior leader may still do so.
	MoveLease time.Duration
	// MaxClockDrift is the maximum relative amount by which one clock runs
	// slower than another.
	MaxClockDrift float64
	// MaxCallDelay is the maximum time from the leader's check that its lease is
	// valid to the arrival of the call at the upstream.
	MaxCallDelay time.Duration
}

// Delays and thresholds.
const (
	// firstAssignmentDelay is how long the set of upstreams must be stable
	// before the first assignment is made, so that it includes all upstreams
	// that start together.
	firstAssignmentDelay = time.Second
	// startupDelay is how long a gateway that has started waits to hear from
	// the others before it may claim the leadership.
	startupDelay = 500 * time.Millisecond
	// hearingDelay is how long a gateway must have known the leader's entry in the directory
	// before it takes the leader's silence for its end: it connects to the leader only then.
	// It exceeds the time after which the failure detector counts a gateway as lost.
	hearingDelay = 1500 * time.Millisecond
	// candidateDelay is the time that a candidate for leadership waits for each
	// candidate ranked before it. It covers a read and a write at usual store
	// latency.
	candidateDelay = 400 * time.Millisecond
	// callRetryDelay is the delay before a call to an upstream is retried,
	// writeRetryDelay the delay after a failed write.
	callRetryDelay = 150 * time.Millisecond
	// failedReleaseDelay is the delay before an upstream to which a release found no
	// connection gets another.
	failedReleaseDelay = 500 * time.Millisecond
	writeRetryDelay    = 300 * time.Millisecond
	// readRetryDelay is the delay after a failed read.
	readRetryDelay = time.Second
	// confirmRetryDelay is the delay after a failed read before the leadership is
	// confirmed again for a move.
	confirmRetryDelay = 300 * time.Millisecond
	// planInterval is the minimum time between two plans that move load, so
	// that the effect of one is measured before the next.
	planInterval = 400 * time.Millisecond
	// pollInterval is the interval at which followers read the assignment from
	// the store. Updates that the leader publishes arrive sooner.
	pollInterval = 5 * time.Second
	// downThreshold is the number of consecutive failures to connect after
	// which an upstream counts as down. Calls that were sent but not answered
	// must exceed it, see unansweredTimeout. An upstream that is down is
	// assigned no ranges until a call has reached it; if it owns none, it is
	// probed after downProbeDelay.
	downThreshold  = 2
	downProbeDelay = 3 * time.Second
	// storeFailureThreshold is the number of consecutive store calls of a leader
	// that must fail, and storeFailureTimeout for how long, before it resigns in
	// favour of gateways that reach the store: one response may be lost.
	// peerStoreValidity is how long evidence that another gateway reaches the
	// store stays valid: gateways watch the store with waits of less than a
	// second.
	storeFailureThreshold = 2
	storeFailureTimeout   = 400 * time.Millisecond
	peerStoreValidity     = 1500 * time.Millisecond
	// maxEvidenceDelay bounds the time that a frame with such evidence is on its
	// way: in rings, in the network, and in sockets until it is read.
	maxEvidenceDelay = 500 * time.Millisecond
	// leaderWriteInterval is how often a leader that does not hear most gateways writes the
	// assignment. leaderWriteTimeout is how long after learning of such a write a gateway that
	// does not hear the leader takes it for alive: one write and one read may be lost. A
	// leader that is lost then costs a renewal interval, a poll, the timeout and the wait of
	// its successor: about the time to live of a lease.
	leaderWriteInterval = 400 * time.Millisecond
	leaderWriteTimeout  = 1500 * time.Millisecond
	// minUnheardPollInterval and unheardPollRate, in reads a second, bound how often gateways
	// look for such writes. The store's rate is a multiple of unheardPollRate.
	minUnheardPollInterval = 500 * time.Millisecond
	unheardPollRate        = 400
	// For isolationTime after a gateway was found to be cut off from upstreams, it waits
	// isolatedDelay longer than others before it claims the leadership.
	isolationTime = 10 * time.Second
	isolatedDelay = 3 * time.Second
	// releaseRetryInterval is how long after a release found no connection its upstream's
	// ranges stay where they are.
	releaseRetryInterval = 2 * time.Second
	// reportValidity is how long a dispatcher's report that it can't reach an upstream
	// stays valid. It is repeated as long as there are requests for the upstream.
	reportValidity = 2 * time.Second
	// unansweredTimeout is how long calls must go unanswered before an upstream
	// counts as down. It leaves time for two more grants before the lease
	// expires.
	unansweredTimeout = 2 * time.Second
	// refenceInterval is the minimum time between two replacements of unusable
	// fencing tokens. When a connection breaks, all ranges of its upstream need
	// new ones, which are then written together.
	refenceInterval = 250 * time.Millisecond
	// priorLeasesInterval is how often the remaining leases of lost prior owners are stored.
	// A takeover makes their keys wait by as much longer at most.
	// Those of owners that have just been found lost are stored after newPriorLeasesDelay:
	// others are often found lost with them.
	priorLeasesInterval = time.Second
	newPriorLeasesDelay = 200 * time.Millisecond
	// probeValidity is how long the result of a successful probe stays valid.
	probeValidity = 10 * time.Second
)

const (
	// defaultRequestDuration is the mean duration of requests that is assumed
	// for an upstream without reports.
	defaultRequestDuration = 100 * time.Millisecond
	// defaultColdRate is the number of requests per second that a cold upstream
	// is assumed to handle if the service does not configure it.
	defaultColdRate = 5
	// coldUtilization is the share of its configured rate that a cold upstream
	// is assigned: requests beyond the rate are queued.
	coldUtilization = 0.7
)

// Machine is one gateway's state machine for the assignment of one service.
type Machine struct {
	cfg     Config
	effects []Effect
	state   *oriole.ClusterState
	// startedAt is the time of the first Tick, upstreamsChanged when the set of
	// upstreams last changed.
	startedAt        time.Time
	upstreamsChanged time.Time

	// current is the newest known assignment, and version its version in the
	// store if it was read from there.
	current    oriole.Assignment
	version    oriole.Version
	hasCurrent bool
	// versionExact is set if version is the version of current, so that a
	// conditional write may use it.
	versionExact bool

	reading      bool
	nextRead     time.Time
	pendingWrite *oriole.Assignment
	nextWrite    time.Time
	// peerReachedStore is when a heartbeat or a relayed directory update last
	// showed that a peer reaches the store. storeFailingSince is when this
	// gateway's own calls began to fail, or zero, failedCalls counts those that have
	// failed since, and callFailedAt is when the last one did.
	peerReachedStore  time.Time
	storeFailingSince time.Time
	failedCalls       int
	callFailedAt      time.Time
	// resignedTerm is the term in which the leader, a peer or this gateway, has
	// resigned.
	resignedTerm uint64
	// isolatedAt is when this gateway was last found to be cut off from upstreams, or
	// zero.
	isolatedAt time.Time
	// leaderGoneSince is when the leader was first found to be gone, or zero.
	leaderGoneSince time.Time
	// unheardLeaderWroteAt is when a write of the leader was last learned of while this
	// gateway did not count it as alive, or zero. exactReadAt is when the last read that
	// was answered and not stale was started, readStartedAt when the last read was, and
	// writeStartedAt when the last write was.
	unheardLeaderWroteAt time.Time
	exactReadAt          time.Time
	readStartedAt        time.Time
	writeStartedAt       time.Time
	draining             bool
	// nextConfirm is when a read that confirms the leadership for a move may next
	// be started.
	nextConfirm time.Time

	// storeEra is the newest known era of the store, and eraSince when a response
	// first showed it. restoreObserved is set if this gateway had seen an earlier
	// era.
	storeEra        uint64
	eraSince        time.Time
	restoreObserved bool
	// lastTick is the time of the last Tick, and stalledAt when one last came late.
	lastTick  time.Time
	stalledAt time.Time
	// listedAt is since when this gateway has known each gateway of the directory, and
	// unlistedAt when a gateway was last removed from it.
	listedAt   map[oriole.GatewayID]time.Time
	unlistedAt map[oriole.GatewayID]time.Time

	leading bool
	// settling is set while this leader is to write its assignment as the first
	// one of the store's era, replacing the version settleFrom. settlingTerm is
	// the term of the last such write.
	settling bool
	// nextAsk is when the peers may next be asked for their terms.
	nextAsk      time.Time
	settleFrom   oriole.Version
	settlingTerm uint64
	// firstFence is the fencing token with which this leader has settled an era,
	// or 0.
	firstFence oriole.Fence
	// unchangedPeers have stated since the restore that they know of no later
	// leader, stoppedPeers that they call no upstreams in an earlier term.
	unchangedPeers map[oriole.GatewayID]bool
	stoppedPeers   map[oriole.GatewayID]bool
	// unknownLeadersUntil is the time until which upstreams may hold leases of
	// leaders whose records were lost, and lateReleasesUntil the time until which
	// they may execute releases of such leaders.
	unknownLeadersUntil time.Time
	lateReleasesUntil   time.Time
	// sweep is the progress of this leader's sweep of the upstreams, if it makes one.
	sweep sweep
	// confirmedAt is when the call was started by which the store last
	// confirmed the leadership.
	confirmedAt time.Time
	nextPlan    time.Time
	// nextPriorLeases is when the remaining leases of prior owners are next stored.
	nextPriorLeases time.Time
	// nextRefence is when unusable fencing tokens may next be replaced.
	nextRefence time.Time
	// repairDue is set if an owner may be no target any more, or a fencing token
	// unusable, since the ranges were last checked for either. refenceDue is set if
	// that check was too early to replace fencing tokens.
	repairDue, refenceDue bool
	// takeBackDue is set if a release found no connection since moves were last taken
	// back.
	takeBackDue bool
	// publishDue is set if current has changes that are not published yet.
	publishDue bool
	// lastSeq is the highest sequence number used in this term. dirty is set if
	// current has changes that are not stored yet.
	lastSeq uint64
	dirty   bool
	// priorLeaders holds the prior leaders that may still renew leases, and
	// priorLeadersUntil the time until which they may.
	priorLeaders      map[oriole.GatewayID]bool
	priorLeadersUntil time.Time
	// actFrom is when this leader may call upstreams although prior leaders have
	// not reported that they stopped, see [Config].MoveLease.
	actFrom time.Time
	leases  []lease
	// ownerSet holds the owners of the leases, or is nil until they are looked up.
	ownerSet  map[oriole.Incarnation]bool
	upstreams map[oriole.Incarnation]*upstreamStatus
	calls     map[CallID]call
	lastCall  CallID
	// lastGrantDone is when a grant to any incarnation of an upstream was last
	// answered or given up, if it may have arrived.
	lastGrantDone map[oriole.ServerID]time.Time
	// endedTermCalls holds the unanswered calls of terms in which this gateway no
	// longer leads, and unansweredReleases the releases that may still be
	// executed.
	endedTermCalls     map[CallID]call
	unansweredReleases []unansweredRelease
	load               Load
	// proposeMoves moves ranges to balance the load.
	proposeMoves func(*balancer)
	// maxRequestDuration is the maximum time that a request runs on an
	// upstream.
	maxRequestDuration time.Duration
	// passDue is set if a pass over all ranges is due since the step at stepAt. passes
	// counts the passes.
	passDue bool
	stepAt  time.Time
	passes  int64
}

// upstreamStatus is the leader's state for one incarnation of an upstream.
type upstreamStatus struct {
	// granting is set while a grant is unanswered, probing while a probe is;
	// releasing is the number of unanswered releases.
	granting  bool
	releasing int
	probing   bool
	// connectFailures counts consecutive failures to connect, and unanswered the
	// calls that were sent but not answered since unansweredSince.
	connectFailures int
	unanswered      int
	unansweredSince time.Time
	down            bool
	// unreachable is set if the last attempt to connect to the upstream failed.
	// reportedAt is when a dispatcher in another zone last reported the same.
	unreachable bool
	reportedAt  time.Time
	nextProbe   time.Time
	probedAt    time.Time
	// releaseFailedAt is when a release last found no connection, or zero.
	releaseFailedAt time.Time
	// ended is set if this incarnation has certainly ended, as another upstream uses
	// its address. This was found out at endedAt.
	ended   bool
	endedAt time.Time
	// requestDuration is the mean duration of requests, or 0 if unknown.
	requestDuration time.Duration
}

// call is a call to an upstream that has not been answered.
type call struct {
	kind        callKind
	incarnation oriole.Incarnation
	first       oriole.ShardKey
	last        oriole.ShardKey
	fence       oriole.Fence
	term        uint64
	// arrivesBefore is when the call has certainly arrived, if it ever will.
	arrivesBefore time.Time
	// sweep is set for a release of all keys.
	sweep bool
	// repeated is set for a release that may not be the first one to the prior
	// owner for these keys.
	repeated bool
}

type callKind int

const (
	callGrant callKind = iota
	callRelease
	callProbe
)

// New returns a machine without any state.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:            cfg,
		state:          oriole.NewClusterState(),
		priorLeaders:   make(map[oriole.GatewayID]bool),
		upstreams:      make(map[oriole.Incarnation]*upstreamStatus),
		calls:          make(map[CallID]call),
		lastGrantDone:  make(map[oriole.ServerID]time.Time),
		endedTermCalls: make(map[CallID]call),
		listedAt:       make(map[oriole.GatewayID]time.Time),
		unlistedAt:     make(map[oriole.GatewayID]time.Time),
		unchangedPeers: make(map[oriole.GatewayID]bool),
		stoppedPeers:   make(map[oriole.GatewayID]bool),
		sweep:          newSweep(),
		proposeMoves:   func(b *balancer) { b.balance() },
	}
}

// TakeEffects returns the effects requested since the last call, in order. It first
// performs the actions that are due since the steps before it: once for all of them, as
// that takes a pass over all ranges.
func (m *Machine) TakeEffects() []Effect {
	if m.passDue {
		m.Tick(m.stepAt)
	}
	if m.publishDue {
		m.publishDue = false
		a := m.current.Clone()
		m.effects = append(m.effects, Effect{Publish: &a})
	}
	effects := m.effects
	m.effects = nil
	return effects
}

// Leading reports whether this gateway leads the service.
func (m *Machine) Leading() bool { return m.leading }

// Passes returns the number of passes over all ranges so far, each of which takes time
// in proportion to their number.
func (m *Machine) Passes() int64 { return m.passes }

// Assignment returns the newest known assignment, or nil.
func (m *Machine) Assignment() *oriole.Assignment {
	if !m.hasCurrent {
		return nil
	}
	return &m.current
}

// SetClusterState updates the gateway's view of the cluster.
func (m *Machine) SetClusterState(now time.Time, state *oriole.ClusterState) {
	if !sameUpstreams(m.state.UsableUpstreams(m.cfg.Service), state.UsableUpstreams(m.cfg.Service)) {
		m.upstreamsChanged = now
		m.nextPlan = now
	}
	m.recordListed(now, state)
	m.state = state
	m.repairDue = true
	m.maxRequestDuration = maxRequestDuration(state.Config)
	if a := state.Assignments[m.cfg.Service]; a != nil {
		m.receive(now, *a)
	}
	m.dropPriorLeaders(now, nil)
	m.schedulePass(now)
}

// defaultMaxRequestDuration is the maximum duration of requests if no route
// configures a timeout.
const defaultMaxRequestDuration = 2 * time.Second

// requestDeliveryMargin is the maximum delivery time of a request, added to its
// route's timeout.
const requestDeliveryMargin = 500 * time.Millisecond

// maxRequestDuration returns the maximum time that a request runs: upstreams
// abort it at its deadline, which is within the timeout of its route.
func maxRequestDuration(cfg *oriole.Config) time.Duration {
	longest := time.Duration(0)
	if cfg != nil {
		for _, r := range cfg.Routes {
			longest = max(longest, r.Timeout)
		}
	}
	if longest == 0 {
		longest = defaultMaxRequestDuration
	}
	return longest + requestDeliveryMargin
}

func sameUpstreams(a, b []oriole.Upstream) bool {
	return slices.EqualFunc(a, b, func(a, b oriole.Upstream) bool { return a.Incarnation() == b.Incarnation() && a.Addr == b.Addr })
}

func (m *Machine) log(event string, e LogEvent) {
	e.Event = event
	m.effects = append(m.effects, Effect{Log: &e})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// AddLoad counts recent requests for a bucket of keys.
func (m *Machine) AddLoad(bucket int, requests float64) { m.load.Add(bucket, requests) }

// schedulePass has the actions that are due performed when the effects are taken.
func (m *Machine) schedulePass(now time.Time) { m.passDue, m.stepAt = true, now }

// Tick performs the actions that are due.
func (m *Machine) Tick(now time.Time) {
	m.passDue = false
	m.passes++
	m.recordStall(now)
	m.forgetArrivedCalls(now)
	if m.draining {
		return
	}
	if m.startedAt.IsZero() {
		m.startedAt = now
	}
	if !m.leading {
		m.tickFollower(now)
		return
	}
	m.dropPriorLeaders(now, nil)
	m.endUnknownLeaders(now)
	m.renewLeadership(now)
	m.settleEra(now)
	m.sendCalls(now)
	m.plan(now)
}
