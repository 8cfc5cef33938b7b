package oriolegroup

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolefence"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolespread"
)

// world drives real machines, a fake store and fake servers under a simulated
// clock.
type world struct {
	now      time.Duration
	rng      *rand.Rand
	queue    timeline
	order    int
	gateways []*fakeGateway
	servers  []*fakeServer
	store    fakeStore
	slices   int
	// unfenced says that the servers do not check grants.
	unfenced bool
	timing   Timing
	// cut holds the pairs of parties that can't reach each other.
	cut map[[2]string]bool
	// chaos is the share of messages that are lost or late.
	chaos float64
	// violation is the first broken property.
	violation string
	trace     []string
	keepTrace bool
}

type fakeGateway struct {
	id      oriole.GatewayID
	zone    oriole.ZoneName
	machine *Machine
	rate    float64
	dead    bool
	paused  bool
	leaving bool
	inbox   []Event
}

type fakeServer struct {
	name   string
	holder *oriolefence.Holder
	rate   float64
	start  time.Duration
	starts uint64
	dead   bool
	frozen bool
	inbox  []func()
}

type fakeStore struct {
	record  oriole.Record
	version oriole.Version
	down    bool
	// lose makes writes take effect without an answer.
	lose bool
}

type entry struct {
	at    time.Duration
	order int
	run   func()
}

type timeline []entry

func (q timeline) Len() int { return len(q) }
func (q timeline) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(x any)   { *q = append(*q, x.(entry)) }
func (q *timeline) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testTiming() Timing {
	return Timing{
		Lease:   500 * time.Millisecond,
		Beat:    80 * time.Millisecond,
		Silence: 250 * time.Millisecond,
		Alone:   3 * time.Second,
		Work:    200 * time.Millisecond,
		Drift:   0.01,
	}
}

func newWorld(seed uint64, gateways, servers, slices int) *world {
	w := &world{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		slices: slices,
		timing: testTiming(),
		cut:    map[[2]string]bool{},
	}
	for i := range servers {
		s := &fakeServer{name: fmt.Sprintf("s%d", i), rate: w.skew()}
		s.holder = oriolefence.NewHolder(1, 0)
		s.starts = 1
		s.start = -time.Second
		w.servers = append(w.servers, s)
	}
	for range gateways {
		w.addGateway()
	}
	return w
}

// skew returns a clock rate within the stated drift.
func (w *world) skew() float64 { return 1 + (w.rng.Float64()*2-1)*w.timing.Drift }

func (w *world) addGateway() *fakeGateway {
	n := len(w.gateways)
	g := &fakeGateway{
		id:   oriole.GatewayID(fmt.Sprintf("g%d", n)),
		zone: oriole.ZoneName(fmt.Sprintf("z%d", n%3)),
		rate: w.skew(),
	}
	w.newMachine(g, false)
	w.gateways = append(w.gateways, g)
	w.after(time.Duration(w.rng.IntN(10))*time.Millisecond, func() { w.tickGateway(g) })
	w.after(time.Duration(w.rng.IntN(200))*time.Millisecond, func() { w.probeStore(g) })
	w.membersChanged()
	return g
}

// newMachine gives the gateway a machine that remembers nothing.
func (w *world) newMachine(g *fakeGateway, restarted bool) {
	g.machine = New(Config{
		Self:     g.id,
		Zone:     g.zone,
		Group:    "group",
		Servers:  make([]oriole.Upstream, len(w.servers)),
		Slices:   w.slices,
		Fenced:   !w.unfenced,
		Timing:   w.timing,
		Spreader: oriolespread.Even{},
		Leveler:  oriolespread.Even{Level: true},
		Batch:    4,

		Restarted: restarted,
	})
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, entry{at: w.now + d, order: w.order, run: run})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end && w.violation == "" {
		next := heap.Pop(&w.queue).(entry)
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (g *fakeGateway) clock(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * g.rate))
}

func (s *fakeServer) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now-s.start) * s.rate)
}

func (w *world) tickGateway(g *fakeGateway) {
	if g.dead {
		return
	}
	w.deliver(g, Tick{})
	if g.leaving && g.machine.Free() {
		g.dead = true
		w.membersChanged()
	}
	w.after(10*time.Millisecond, func() { w.tickGateway(g) })
}

// deliver hands an event to a gateway; a paused one finds it when it returns.
func (w *world) deliver(g *fakeGateway, e Event) {
	if g.dead {
		return
	}
	if g.paused {
		if _, tick := e.(Tick); !tick {
			g.inbox = append(g.inbox, e)
		}
		return
	}
	for _, effect := range append([]Effect(nil), g.machine.Step(g.clock(w.now), e)...) {
		w.carryOut(g, effect)
	}
}

func (w *world) resume(g *fakeGateway) {
	if !g.paused {
		return
	}
	g.paused = false
	inbox := g.inbox
	g.inbox = nil
	// A process that wakes may run its timer before or after its messages.
	if w.rng.IntN(2) == 0 {
		w.deliver(g, Tick{})
	}
	for _, e := range inbox {
		w.deliver(g, e)
	}
}

func (w *world) reachable(a, b string) bool {
	return !w.cut[[2]string{a, b}] && !w.cut[[2]string{b, a}]
}

// delay returns how long a message takes, and whether it arrives.
func (w *world) delay() (time.Duration, bool) {
	d := time.Duration(200+w.rng.IntN(1500)) * time.Microsecond
	if w.rng.Float64() < w.chaos {
		switch w.rng.IntN(3) {
		case 0:
			return 0, false
		default:
			d += time.Duration(w.rng.IntN(900)) * time.Millisecond
		}
	}
	return d, true
}

func (w *world) send(from, to string, run func()) {
	d, ok := w.delay()
	if ok && w.reachable(from, to) {
		w.after(d, run)
	}
}

func (w *world) gateway(id oriole.GatewayID) *fakeGateway {
	for _, g := range w.gateways {
		if g.id == id {
			return g
		}
	}
	return nil
}

func (w *world) toGateway(from *fakeGateway, to oriole.GatewayID, e Event) {
	if g := w.gateway(to); g != nil {
		w.send(string(from.id), string(to), func() { w.deliver(g, e) })
	}
}

func (w *world) log(format string, args ...any) {
	if w.keepTrace {
		w.trace = append(w.trace, fmt.Sprintf("%8v ", w.now.Round(time.Microsecond))+fmt.Sprintf(format, args...))
	}
}

func (w *world) carryOut(g *fakeGateway, effect Effect) {
	switch e := effect.(type) {
	case SendBeat:
		w.toGateway(g, e.To, BeatReceived{From: g.id, Beat: e.Beat})
	case SendAck:
		w.toGateway(g, e.To, AckReceived{From: g.id, Ack: e.Ack})
	case SendResign:
		w.toGateway(g, e.To, ResignReceived{From: g.id, Resign: e.Resign})
	case ShareRecord:
		w.toGateway(g, e.To, RecordSeen{Record: e.Record, Version: e.Version})
	case SendGrant:
		w.grant(g, e.Grant)
	case WriteRecord:
		w.log("%s write %s term %d", g.id, e.Purpose, e.Record.Term)
		w.write(g, e)
	case ReadRecord:
		w.read(g, e)
	case Note:
		w.log("%s %s term %d server %d count %d", g.id, e.Kind, e.Term, e.Server, e.Count)
	}
}

// grant carries a grant and its answer; no answer within a timeout fails it.
func (w *world) grant(g *fakeGateway, grant oriole.Grant) {
	s := w.servers[grant.Server]
	done := false
	finish := func(e GrantDone) {
		if !done {
			done = true
			w.deliver(g, e)
		}
	}
	w.send(string(g.id), s.name, func() {
		w.onServer(s, func() {
			reply := oriole.GrantReply{Accepted: true, Mark: 1, Term: grant.Term}
			if !w.unfenced {
				reply = s.holder.Apply(s.clock(w.now), grant)
			}
			if reply.Accepted && !slices.Equal(reply.Owned, grant.Owned) {
				w.log("%s accepts term %d number %d of %s: %v", s.name, grant.Term, grant.Number, g.id, grant.Owned)
			}
			w.check()
			w.send(s.name, string(g.id), func() { finish(GrantDone{Grant: grant, Reply: reply}) })
		})
	})
	w.after(125*time.Millisecond, func() { finish(GrantDone{Grant: grant, Failed: true}) })
}

// onServer runs an arrival now, or when the frozen server returns.
func (w *world) onServer(s *fakeServer, run func()) {
	switch {
	case s.dead:
	case s.frozen:
		s.inbox = append(s.inbox, run)
	default:
		run()
	}
}

func (w *world) thaw(s *fakeServer) {
	s.frozen = false
	inbox := s.inbox
	s.inbox = nil
	for _, run := range inbox {
		run()
	}
	w.check()
}

// restart starts a dead server anew; it remembers only the term.
func (w *world) restart(s *fakeServer) {
	if !s.dead {
		return
	}
	s.dead = false
	s.starts++
	s.start = w.now - time.Millisecond
	s.holder = oriolefence.NewHolder(s.starts, s.holder.Term())
}

func (w *world) write(g *fakeGateway, e WriteRecord) {
	status := StatusLost
	var version oriole.Version
	d, ok := w.delay()
	late := w.rng.Float64() < w.chaos
	if ok && !w.store.down && w.reachable(string(g.id), "store") {
		apply := func() {
			status, version = w.store.write(e)
			if status == StatusDone {
				w.recordWritten(e.Record, version)
			}
		}
		if late {
			// The write takes effect after its sender gave up.
			w.after(d+time.Duration(w.rng.IntN(600))*time.Millisecond, apply)
		} else {
			w.after(d, apply)
		}
	}
	lost := w.store.lose || late
	answer := 4 * time.Millisecond
	if lost || !ok || w.store.down {
		answer = 100 * time.Millisecond
	}
	w.after(answer+d, func() {
		if lost {
			status = StatusLost
		}
		w.deliver(g, WriteDone{Number: e.Number, Status: status, Version: version})
	})
}

// probeStore tells the gateway from time to time whether the store answers.
func (w *world) probeStore(g *fakeGateway) {
	if g.dead {
		return
	}
	up := !w.store.down && w.reachable(string(g.id), "store")
	w.deliver(g, StoreHealth{Up: up})
	w.after(200*time.Millisecond, func() { w.probeStore(g) })
}

func (w *world) read(g *fakeGateway, e ReadRecord) {
	done := ReadDone{Number: e.Number, Status: StatusLost}
	if w.store.down || !w.reachable(string(g.id), "store") {
		w.after(100*time.Millisecond, func() { w.deliver(g, done) })
		return
	}
	w.after(time.Millisecond, func() {
		done.Status = StatusMissing
		if w.store.version > 0 {
			done.Status = StatusDone
			done.Record = w.store.record.Clone()
			done.Version = w.store.version
		}
	})
	w.after(3*time.Millisecond, func() { w.deliver(g, done) })
}

func (s *fakeStore) write(e WriteRecord) (Status, oriole.Version) {
	if e.Expected != s.version {
		return StatusConflict, 0
	}
	s.version++
	s.record = e.Record.Clone()
	return StatusDone, s.version
}

// recordWritten lets every gateway that has the store watch the write.
func (w *world) recordWritten(rec oriole.Record, version oriole.Version) {
	if w.keepTrace {
		w.log("store version %d: term %d keeper %s deputy %s doubt %v", version, rec.Term, rec.Keeper, rec.Deputy, rec.Doubt)
	}
	for _, g := range w.gateways {
		w.send("store", string(g.id), func() {
			if !w.store.down {
				w.deliver(g, RecordSeen{Record: rec.Clone(), Version: version})
			}
		})
	}
}

// membersChanged tells every gateway which others live, late.
func (w *world) membersChanged() {
	for _, g := range w.gateways {
		w.after(300*time.Millisecond, func() {
			var members []Candidate
			for _, other := range w.gateways {
				alive := !other.dead && !other.paused && w.heard(g, other)
				members = append(members, Candidate{ID: other.id, Zone: other.zone, Alive: alive, Fit: alive && !other.leaving})
			}
			w.deliver(g, MembersChanged{Members: members})
		})
	}
}

// heard reports whether a gateway hears another, directly or from a third.
func (w *world) heard(g, other *fakeGateway) bool {
	if w.reachable(string(g.id), string(other.id)) {
		return true
	}
	for _, via := range w.gateways {
		if !via.dead && !via.paused && w.reachable(string(g.id), string(via.id)) && w.reachable(string(via.id), string(other.id)) {
			return true
		}
	}
	return false
}

// check verifies that no slice has two owners.
func (w *world) check() {
	for slice := range w.slices {
		holder := ""
		for _, s := range w.servers {
			if s.dead || !s.holder.Holds(s.clock(w.now), slice) {
				continue
			}
			if holder != "" && w.violation == "" {
				w.violation = fmt.Sprintf("slice %d is owned by %s and %s at %v", slice, holder, s.name, w.now)
			}
			holder = s.name
		}
	}
}

// served returns how many slices a live server holds and a live keeper routes.
func (w *world) served() int {
	served := 0
	for slice := range w.slices {
		for _, g := range w.gateways {
			if g.dead || g.paused {
				continue
			}
			r := g.machine.Routing()
			if !r.Keeper || r.Owner[slice] == oriole.NoServer {
				continue
			}
			owner := r.Owner[slice]
			s := w.servers[owner]
			held := !s.dead && !s.frozen && s.holder.Serves(s.clock(w.now), r.Term, slice)
			if held && r.Serves(owner, g.clock(w.now)) {
				served++
				break
			}
		}
	}
	return served
}

// keeperOf returns the live gateway that routes for the group.
func (w *world) keeperOf() *fakeGateway {
	var best *fakeGateway
	for _, g := range w.gateways {
		if g.dead || g.machine.Role() != RoleKeeper {
			continue
		}
		if best == nil || g.machine.term() > best.machine.term() {
			best = g
		}
	}
	return best
}

// deputyOf returns the gateway that the keeper's record names as deputy.
func (w *world) deputyOf() *fakeGateway {
	if g := w.keeperOf(); g != nil {
		return w.gateway(g.machine.keeper.deputy)
	}
	return nil
}

// dump describes the state of all gateways, for the report of a failure.
func (w *world) dump() string {
	out := ""
	for _, g := range w.gateways {
		out += fmt.Sprintf("%s dead=%v paused=%v role=%v op=%+v rec=%+v ver=%d storeUp=%v leaving=%v out=%v\n", g.id, g.dead, g.paused, g.machine.role, g.machine.op, g.machine.rec, g.machine.ver, g.machine.storeUp, g.machine.leaving, g.machine.out)
		if k := g.machine.keeper; k != nil {
			out += fmt.Sprintf("  table=%+v alone=%v moving=%v safe=%v proposal=%v ho=%v frozen=%v\n", k.table, k.alone, k.movingTo, k.safe, k.proposal, k.handingOver, k.frozen)
			for i, s := range k.servers {
				out += fmt.Sprintf("   s%d lost=%v fail=%v stable=%v fenced=%v owned=%v waiting=%v acc=%d rel=%d\n", i, s.lost, s.failingSince, s.stable, s.fenced, s.owned, s.waiting, s.accepted, s.releaseFrom)
			}
		}
	}
	return out
}
