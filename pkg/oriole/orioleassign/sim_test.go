package orioleassign

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolesim"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// sampleCount is the number of keys for which the simulation tracks the owner.
const sampleCount = 128

func sampleKey(i int) oriole.ShardKey { return oriole.ShardKey(i * 65536 / sampleCount) }

// sim runs real machines against a simulated store and simulated servers, with
// a simulated clock.
type sim struct {
	cfg      Config
	clock    *oriolesim.Clock
	rng      *rand.Rand
	gateways []*simGateway
	servers  []*simServer
	store    simStore
	// faultRate is the share of messages that are lost, delayed or not
	// answered.
	faultRate float64
	// late holds the faults of calls and store responses that are late, or nil.
	late *lateFaults
	// restores holds the restores of the store, or nil.
	restores *restores
	// cuts holds the cuts that look like the end of a server, or nil.
	cuts     *cuts
	cutLinks map[[2]string]cutKind
	// highestFence is the highest fencing token with which each key was held,
	// and holder the incarnation that held it.
	highestFence [sampleCount]oriole.Fence
	holder       [sampleCount]oriole.Incarnation
	violation    string
	trace        []string
	counter      uint64
}

// cutKind is what a cut between a gateway and a server does to their connections.
type cutKind int

const (
	cutNone cutKind = iota
	// cutHangs leaves everything unanswered.
	cutHangs
	// cutResets resets connections and refuses new ones, as the end of the server does.
	cutResets
	// cutRefuses refuses new connections and leaves open ones alone.
	cutRefuses
)

type simGateway struct {
	name    string
	zone    oriole.ZoneName
	id      oriole.GatewayID
	machine *Machine
	down    bool
	paused  bool
	inbox   []func()
	runs    int
	conns   map[int]simConn
}

// simConn is a gateway's connection to one incarnation of a server.
type simConn struct {
	id        oriole.ConnID
	startedAt time.Time
}

type simServer struct {
	id         oriole.ServerID
	startedAt  time.Time
	down       bool
	draining   bool
	entry      oriole.Upstream
	registered bool
	seenFence  [sampleCount]oriole.Fence
	heldFence  [sampleCount]oriole.Fence
	leaseUntil [sampleCount]time.Time
	busyUntil  [sampleCount]time.Time
	// clockSlowdown is the relative amount by which its clock is slow.
	clockSlowdown float64
}

type simStore struct {
	// era and revision are the store's own. Each era has an object of its own.
	era      uint64
	revision uint64
	objects  map[uint64]simObject
	down     bool
	// away is set until the store comes back from a copy.
	away            bool
	unreachableFrom map[string]bool
}

// simObject is an assignment in the simulated store.
type simObject struct {
	assignment oriole.Assignment
	revision   uint64
}

// read returns the assignment of the store's era, or else the newest of any.
func (st *simStore) read() (a oriole.Assignment, version oriole.Version, err error) {
	version.Era = st.era
	if o, found := st.objects[st.era]; found {
		version.Revision = o.revision
		return o.assignment.Clone(), version, nil
	}
	for _, o := range st.objects {
		if o.assignment.Newer(&a) {
			a = o.assignment.Clone()
		}
	}
	if a.Term == 0 {
		err = oriole.ErrNotFound
	}
	return a, version, err
}

// write executes a conditional write, possibly in a later era than that of its
// caller.
func (st *simStore) write(w Write) (version oriole.Version, err error) {
	if st.away {
		return version, errTimeout
	}
	if st.objects[w.Expected.Era].revision != w.Expected.Revision {
		return version, oriole.ErrConflict
	}
	st.revision++
	st.objects[w.Expected.Era] = simObject{w.Assignment.Clone(), st.revision}
	if st.era != w.Expected.Era {
		return version, oriole.ErrRestored
	}
	return oriole.Version{Era: st.era, Revision: st.revision}, nil
}

var simConfig = Config{
	Service: "s", LeaseTTL: 5 * time.Second, RenewInterval: 1800 * time.Millisecond, LeaderLease: 20 * time.Second, MoveLease: 750 * time.Millisecond,
	MaxClockDrift: 0.02, MaxCallDelay: 500 * time.Millisecond,
}

func newSim(seed uint64, gateways, servers int, faultRate float64, options ...func(*sim)) *sim {
	s := &sim{
		cfg:       simConfig,
		clock:     oriolesim.NewClock(time.Unix(1_000_000, 0)),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		faultRate: faultRate,
		cutLinks:  make(map[[2]string]cutKind),
		store:     simStore{objects: make(map[uint64]simObject), unreachableFrom: make(map[string]bool)},
	}
	for _, option := range options {
		option(s)
	}
	for i := range servers {
		srv := &simServer{id: oriole.ServerID(fmt.Sprintf("srv%d", i)), clockSlowdown: s.rng.Float64() * simConfig.MaxClockDrift}
		s.servers = append(s.servers, srv)
		s.startServer(srv)
	}
	s.schedule(0, s.exchangeTerms)
	for i := range gateways {
		g := &simGateway{name: fmt.Sprintf("vm%d", i)}
		s.gateways = append(s.gateways, g)
		s.startGateway(g)
	}
	return s
}

func (s *sim) log(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.clock.Now().Sub(time.Unix(1_000_000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.clock.After(d, run)
}

func (s *sim) run(span time.Duration) {
	end := s.clock.Now().Add(span)
	for s.violation == "" && s.clock.Step(end) {
		continue
	}
	s.clock.AdvanceTo(end)
}

// startServer starts a new incarnation of the server. The directory shows it
// later.
func (s *sim) startServer(srv *simServer) {
	s.counter++
	srv.startedAt = s.clock.Now().Truncate(time.Millisecond).Add(time.Duration(s.counter) * time.Millisecond)
	srv.down, srv.draining = false, false
	srv.seenFence, srv.heldFence = [sampleCount]oriole.Fence{}, [sampleCount]oriole.Fence{}
	srv.leaseUntil, srv.busyUntil = [sampleCount]time.Time{}, [sampleCount]time.Time{}
	startedAt := srv.startedAt
	s.schedule(time.Duration(200+s.rng.IntN(1500))*time.Millisecond, func() {
		if srv.startedAt.Equal(startedAt) && !srv.down {
			srv.registered = true
			srv.entry = oriole.Upstream{
				ID: srv.id, Zone: "z", Service: "s", StartedAt: startedAt, Slots: 2,
				Addr: netip.MustParseAddrPort("127.0.0.1:1"),
			}
			s.publishState()
		}
	})
}

func (s *sim) killServer(srv *simServer) {
	srv.down = true
	s.log("%s is killed", srv.id)
	startedAt := srv.startedAt
	s.schedule(2600*time.Millisecond, func() {
		if srv.down && srv.startedAt.Equal(startedAt) {
			srv.registered = false
			s.publishState()
		}
	})
}

// startGateway starts a gateway without any state.
func (s *sim) startGateway(g *simGateway) {
	g.runs++
	g.down, g.paused, g.inbox = false, false, nil
	g.id = oriole.NewGatewayID(g.name, s.clock.Now().Add(time.Duration(g.runs)))
	g.conns = make(map[int]simConn)
	cfg := s.cfg
	cfg.Self = g.id
	g.machine = New(cfg)
	if s.late != nil {
		g.machine.proposeMoves = s.moveAnything
	}
	run := g.runs
	var tick func()
	tick = func() {
		if g.runs != run || g.down {
			return
		}
		if s.othersReachStore(g) {
			s.deliver(g, func() { g.machine.PeerReachedStore(s.clock.Now(), s.clock.Now()) })
		}
		s.deliver(g, func() { g.machine.Tick(s.clock.Now()) })
		s.schedule(50*time.Millisecond, tick)
	}
	s.schedule(time.Duration(s.rng.IntN(300))*time.Millisecond, tick)
	s.schedule(0, s.publishState)
}

// othersReachStore reports whether any other gateway that g hears from reaches
// the store.
func (s *sim) othersReachStore(g *simGateway) bool {
	for _, other := range s.gateways {
		if other != g && !other.down && !other.paused && s.cutLinks[[2]string{other.name, g.name}] == cutNone && !s.store.unreachableFrom[other.name] && !s.store.down && !s.store.away {
			return true
		}
	}
	return false
}

// exchangeTerms sends the lowest term in which each gateway may renew leases to
// the others.
func (s *sim) exchangeTerms() {
	for _, g := range s.gateways {
		for _, other := range s.gateways {
			if g == other || g.down || g.paused || s.cutLinks[[2]string{g.name, other.name}] != cutNone {
				continue
			}
			id, term := g.id, g.machine.MinRenewTerm()
			s.deliver(other, func() { other.machine.SetPeerMinRenewTerm(s.clock.Now(), id, term) })
		}
	}
	s.schedule(200*time.Millisecond, s.exchangeTerms)
}

// deliver passes an event to the gateway, once it is not paused.
func (s *sim) deliver(g *simGateway, event func()) {
	if g.down {
		return
	}
	if g.paused {
		if len(g.inbox) < 200 {
			g.inbox = append(g.inbox, event)
		}
		return
	}
	event()
	s.runEffects(g)
}

func (s *sim) resume(g *simGateway) {
	g.paused = false
	inbox := g.inbox
	g.inbox = nil
	for _, event := range inbox {
		s.deliver(g, event)
	}
}

// publishState updates every gateway's cluster state with the directory's
// entries and the gateways that it can reach.
func (s *sim) publishState() {
	for _, g := range s.gateways {
		state := oriole.NewClusterState()
		state.DirectoryLoaded = true
		for _, srv := range s.servers {
			if srv.registered {
				u := srv.entry
				u.Draining = srv.draining
				state.Upstreams[srv.id] = u
			}
		}
		for _, other := range s.gateways {
			state.Gateways[other.id] = oriole.Member{ID: other.id, VM: other.name, Zone: other.zone}
			if other == g || (!other.down && !other.paused && s.cutLinks[[2]string{g.name, other.name}] == cutNone) {
				state.Alive[other.id] = true
			}
		}
		s.deliver(g, func() { g.machine.SetClusterState(s.clock.Now(), state) })
	}
}

func (s *sim) runEffects(g *simGateway) {
	run := g.runs
	reply := func(delay time.Duration, event func()) {
		s.schedule(delay, func() {
			if g.runs == run {
				s.deliver(g, event)
			}
		})
	}
	for _, e := range g.machine.TakeEffects() {
		switch {
		case e.Read != nil:
			s.read(g, e.Read.AllowStale, reply)
		case e.Write != nil:
			s.write(g, *e.Write, reply)
		case e.Grant != nil:
			s.send(g, "grant", *e.Grant, reply, s.grant)
		case e.Release != nil:
			s.send(g, "release", *e.Release, reply, s.release)
		case e.Probe != nil:
			s.probe(g, *e.Probe, reply)
		case e.Publish != nil:
			s.publish(g, *e.Publish)
		case e.Log != nil:
			s.log("%s %s %s %s", g.id, e.Log.Event, e.Log.Server, e.Log.Detail)
		}
	}
}

func (s *sim) publish(g *simGateway, a oriole.Assignment) {
	for _, other := range s.gateways {
		if other == g || s.cutLinks[[2]string{g.name, other.name}] != cutNone || s.rng.Float64() < s.faultRate {
			continue
		}
		run := other.runs
		s.schedule(s.delay(), func() {
			if other.runs != run {
				return
			}
			s.deliver(other, func() {
				other.machine.receive(s.clock.Now(), a)
				peer, term := other.id, other.machine.MinRenewTerm()
				s.schedule(s.delay(), func() {
					s.deliver(g, func() { g.machine.SetPeerMinRenewTerm(s.clock.Now(), peer, term) })
				})
			})
		})
	}
}

func (s *sim) delay() time.Duration { return time.Duration(1+s.rng.IntN(10)) * time.Millisecond }

var errTimeout = errors.New("timed out")

func (s *sim) read(g *simGateway, stale bool, reply func(time.Duration, func())) {
	started := s.clock.Now()
	reply = s.lateResponse(reply)
	if s.store.down || s.store.away || s.store.unreachableFrom[g.name] || s.rng.Float64() < s.faultRate {
		reply(200*time.Millisecond, func() {
			g.machine.ReadDone(s.clock.Now(), started, oriole.Assignment{}, oriole.Version{}, stale, errTimeout)
		})
		return
	}
	s.schedule(s.delay(), func() {
		a, version, err := s.store.read()
		reply(s.delay(), func() { g.machine.ReadDone(s.clock.Now(), started, a, version, stale, err) })
	})
}

// write simulates a write to the store, which may take effect without a
// response, or seconds later.
func (s *sim) write(g *simGateway, w Write, reply func(time.Duration, func())) {
	started := s.clock.Now()
	reply = s.lateResponse(reply)
	done := func(version oriole.Version, err error) func() {
		return func() { g.machine.WriteDone(s.clock.Now(), started, w.Assignment.Clone(), version, err) }
	}
	if s.store.down || s.store.away || s.store.unreachableFrom[g.name] {
		reply(200*time.Millisecond, done(oriole.Version{}, oriole.ErrBusy))
		return
	}
	apply := func() (oriole.Version, error) { return s.store.write(w) }
	switch roll := s.rng.Float64(); {
	case roll < s.faultRate/2:
		s.schedule(s.delay(), func() { _, _ = apply() })
		reply(1500*time.Millisecond, done(oriole.Version{}, errTimeout))
	case roll < s.faultRate:
		s.schedule(time.Duration(1000+s.rng.IntN(5000))*time.Millisecond, func() { _, _ = apply() })
		reply(1500*time.Millisecond, done(oriole.Version{}, errTimeout))
	default:
		s.schedule(s.delay(), func() {
			version, err := apply()
			reply(s.delay(), done(version, err))
		})
	}
}

const (
	// anyConn and ownConn are no IDs of connections: a call is sent on any one, or on
	// one of its own.
	anyConn oriole.ConnID = 0
	ownConn oriole.ConnID = math.MaxUint64
)

// connect returns the gateway's connection to the server that a call is to be sent on.
func (s *sim) connect(g *simGateway, to oriole.Upstream, want oriole.ConnID) (*simServer, oriole.ConnID, error) {
	for i, srv := range s.servers {
		if srv.id != to.ID {
			continue
		}
		cut := s.cutLinks[[2]string{g.name, string(srv.id)}]
		conn, open := g.conns[i]
		if open && (srv.down || !conn.startedAt.Equal(srv.startedAt) || cut == cutResets || s.rng.Float64() < s.faultRate/4) {
			delete(g.conns, i)
			open = false
		}
		switch {
		case want != anyConn && want != ownConn && (!open || conn.id != want):
			return nil, 0, oriole.ErrConnClosed
		case cut == cutHangs:
			return nil, 0, oriole.ErrUnreachable
		case srv.down:
			return nil, 0, oriole.ErrConnRefused
		case cut != cutNone && (!open || want == ownConn):
			return nil, 0, oriole.ErrConnRefused
		}
		if !open {
			s.counter++
			conn = simConn{oriole.ConnID(s.counter), srv.startedAt}
			g.conns[i] = conn
		}
		return srv, conn.id, nil
	}
	return nil, 0, oriole.ErrNotSent
}

func (s *sim) grant(g *simGateway, call LeaseCall, reply func(time.Duration, func())) {
	done := func(r Result) func() { return func() { g.machine.CallDone(s.clock.Now(), call.ID, r) } }
	srv, conn, err := s.connect(g, call.To, call.Lease.Conn)
	if err != nil {
		reply(s.delay(), done(Result{Err: err}))
		return
	}
	startedAt := srv.startedAt
	apply := func(delay time.Duration, respond func(error)) {
		s.schedule(s.delay(), func() {
			arrival := s.clock.Now()
			s.schedule(delay, func() {
				if !srv.down && srv.startedAt.Equal(startedAt) {
					respond(s.applyGrant(srv, call.Lease, arrival))
				}
			})
		})
	}
	switch roll := s.rng.Float64(); {
	case roll < s.faultRate/3:
		// The grant is lost.
		reply(400*time.Millisecond, done(Result{Err: errTimeout}))
	case roll < s.faultRate:
		// The grant takes effect late, and is not answered.
		apply(time.Duration(s.rng.IntN(12000))*time.Millisecond, func(error) {})
		reply(400*time.Millisecond, done(Result{Err: errTimeout}))
	default:
		answered := false
		apply(0, func(err error) {
			answered = true
			reply(s.delay(), done(Result{Conn: conn, Err: err}))
		})
		s.schedule(420*time.Millisecond, func() {
			if !answered {
				reply(0, done(Result{Err: errTimeout}))
			}
		})
	}
}

// applyGrant simulates a server that receives a grant, and checks the
// invariants.
func (s *sim) applyGrant(srv *simServer, r oriole.LeaseRequest, arrival time.Time) error {
	covered := func(i int) bool { return r.First <= sampleKey(i) && sampleKey(i) <= r.Last }
	for i := range sampleCount {
		if covered(i) && srv.seenFence[i] > r.Fence {
			return oriole.ErrFenced
		}
	}
	until := arrival.Add(time.Duration(float64(r.TTL) * (1 + srv.clockSlowdown)))
	for i := range sampleCount {
		if !covered(i) {
			continue
		}
		srv.seenFence[i] = r.Fence
		srv.heldFence[i], srv.leaseUntil[i] = r.Fence, until
		if !until.After(s.clock.Now()) {
			continue
		}
		s.checkGrant(srv, i, r.Fence)
	}
	return nil
}

// checkGrant checks that no other server holds or still serves the key, and
// that its fencing token has grown if the holder has changed.
func (s *sim) checkGrant(srv *simServer, i int, fence oriole.Fence) {
	incarnation := oriole.Incarnation{ID: srv.id, StartedAt: srv.startedAt}
	for _, other := range s.servers {
		if other != srv && !other.down && (other.leaseUntil[i].After(s.clock.Now()) || other.busyUntil[i].After(s.clock.Now())) {
			s.violation = fmt.Sprintf("key %d: %s is granted it with fence %d while %s holds it with fence %d", sampleKey(i), srv.id, fence, other.id, other.heldFence[i])
			s.log("%s", s.violation)
			return
		}
	}
	if s.holder[i] != incarnation && fence <= s.highestFence[i] {
		s.violation = fmt.Sprintf("key %d: %v is granted it with fence %d, but %v held it with fence %d", sampleKey(i), incarnation, fence, s.holder[i], s.highestFence[i])
		s.log("%s", s.violation)
		return
	}
	if s.holder[i] != incarnation {
		s.holder[i] = incarnation
	}
	s.highestFence[i] = max(s.highestFence[i], fence)
}

// release simulates a release call, which returns once all requests for the
// keys have ended.
func (s *sim) release(g *simGateway, call LeaseCall, reply func(time.Duration, func())) {
	done := func(r Result) func() { return func() { g.machine.CallDone(s.clock.Now(), call.ID, r) } }
	srv, _, err := s.connect(g, call.To, ownConn)
	if err != nil {
		reply(s.delay(), done(Result{Err: err}))
		return
	}
	if s.rng.Float64() < s.faultRate {
		s.executeLate(srv, call.Lease)
		reply(time.Second, done(Result{Err: errTimeout}))
		return
	}
	startedAt := srv.startedAt
	s.schedule(s.delay(), func() {
		if srv.down || !srv.startedAt.Equal(startedAt) {
			reply(time.Second, done(Result{Err: errTimeout}))
			return
		}
		work := s.applyRelease(srv, call.Lease, time.Duration(s.rng.IntN(300))*time.Millisecond)
		reply(work+s.delay(), done(Result{Handover: "h"}))
	})
}

// applyRelease simulates a server that receives a release while requests run for
// the given time, and returns when it answers. A second release does not wait
// for the requests that the first waits for.
func (s *sim) applyRelease(srv *simServer, r oriole.LeaseRequest, work time.Duration) time.Duration {
	ends := s.clock.Now()
	for i := range sampleCount {
		if r.First > sampleKey(i) || sampleKey(i) > r.Last {
			continue
		}
		srv.seenFence[i] = max(srv.seenFence[i], r.Fence)
		if srv.leaseUntil[i].After(s.clock.Now()) {
			srv.busyUntil[i] = later(srv.busyUntil[i], s.clock.Now().Add(work))
			ends = srv.busyUntil[i]
		}
		srv.leaseUntil[i] = time.Time{}
	}
	return ends.Sub(s.clock.Now())
}

func (s *sim) probe(g *simGateway, call LeaseCall, reply func(time.Duration, func())) {
	_, _, err := s.connect(g, call.To, anyConn)
	reply(s.delay(), func() { g.machine.CallDone(s.clock.Now(), call.ID, Result{Err: err}) })
}

// unowned returns the number of sampled keys that no server holds.
func (s *sim) unowned() int {
	n := 0
	for i := range sampleCount {
		owned := false
		for _, srv := range s.servers {
			owned = owned || (!srv.down && srv.leaseUntil[i].After(s.clock.Now()))
		}
		if !owned {
			n++
		}
	}
	return n
}
