package oriolegroup

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testSlices = 12

// faultKinds are the faults that the property test mixes.
var faultKinds = []string{
	"gateway-crash", "gateway-pause", "gateway-cut", "gateway-join", "duty-restart",
	"store-cut", "store-down", "store-lose", "server-crash", "server-freeze",
	"server-cut", "chaos", "keeper-crash", "keeper-pause", "deputy-cut", "leave",
	"server-out",
}

// inject starts a fault and returns how it ends.
func (w *world) inject(kind string, target int) (end func()) {
	g := w.gateways[target%len(w.gateways)]
	s := w.servers[target%len(w.servers)]
	keeper := w.keeperOf()
	if keeper == nil {
		keeper = g
	}
	w.log("fault %s on %s %s (keeper %s)", kind, g.id, s.name, keeper.id)
	switch kind {
	case "gateway-crash":
		return w.crash(g)
	case "keeper-crash":
		return w.crash(keeper)
	case "gateway-pause":
		return w.pause(g)
	case "keeper-pause":
		return w.pause(keeper)
	case "duty-restart":
		w.newMachine(g, true)
		w.membersChanged()
	case "gateway-join":
		if len(w.gateways) < 8 {
			w.addGateway()
		}
	case "gateway-cut":
		return w.cutOff(string(g.id), string(w.gateways[(target/3)%len(w.gateways)].id))
	case "deputy-cut":
		if d := w.deputyOf(); d != nil {
			return w.cutOff(string(keeper.id), string(d.id))
		}
	case "store-cut":
		return w.cutOff(string(g.id), "store")
	case "server-cut":
		return w.cutOff(string(keeper.id), s.name)
	case "store-down":
		w.store.down = true
		return func() { w.store.down = false }
	case "store-lose":
		w.store.lose = true
		return func() { w.store.lose = false }
	case "server-crash":
		s.dead = true
		return func() { w.restart(s) }
	case "server-freeze":
		s.frozen = true
		return func() { w.thaw(s) }
	case "server-out":
		return w.takeOut(target % len(w.servers))
	case "chaos":
		w.chaos = 0.2
		return func() { w.chaos = 0 }
	case "leave":
		w.leave(keeper)
	}
	return func() {}
}

// staying counts the gateways that live and do not leave.
func (w *world) staying() int {
	n := 0
	for _, g := range w.gateways {
		if !g.dead && !g.leaving {
			n++
		}
	}
	return n
}

func (w *world) leave(g *fakeGateway) {
	if w.staying() > 2 {
		g.leaving = true
		w.deliver(g, Leave{})
		w.membersChanged()
	}
}

func (w *world) crash(g *fakeGateway) func() {
	if w.staying() > 2 {
		g.dead = true
		w.membersChanged()
	}
	return func() {}
}

func (w *world) pause(g *fakeGateway) func() {
	g.paused = true
	w.membersChanged()
	return func() {
		w.resume(g)
		w.membersChanged()
	}
}

func (w *world) cutOff(a, b string) func() {
	w.cut[[2]string{a, b}] = true
	w.membersChanged()
	return func() {
		delete(w.cut, [2]string{a, b})
		w.membersChanged()
	}
}

func (w *world) takeOut(server int) func() {
	set := func(out bool) {
		for _, g := range w.gateways {
			marks := make([]bool, len(w.servers))
			marks[server] = out
			w.deliver(g, ServersOut{Out: marks})
		}
	}
	set(true)
	return func() { set(false) }
}

// TestOneOwnerUnderFaults drives the real decisions through random faults and
// checks that no slice ever has two owners, and that all are served again once
// the faults have ended.
func TestOneOwnerUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "gateways"), 3, testSlices)
		w.keepTrace = true
		w.runUntil(2 * time.Second)
		last := w.now
		for range rapid.IntRange(1, 10).Draw(t, "faults") {
			at := w.now + time.Duration(rapid.IntRange(0, 1200).Draw(t, "gap"))*time.Millisecond
			kind := rapid.SampledFrom(faultKinds).Draw(t, "kind")
			target := rapid.IntRange(0, 23).Draw(t, "target")
			length := time.Duration(rapid.IntRange(1, 4000).Draw(t, "length")) * time.Millisecond
			w.runUntil(at)
			end := w.inject(kind, target)
			w.after(length, end)
			last = max(last, w.now+length)
		}
		w.runUntil(last)
		w.runUntil(w.now + 10*time.Second)
		if w.violation != "" {
			t.Fatalf("%s\n%s", w.violation, w.tail(120))
		}
		if served := w.served(); served != testSlices {
			t.Fatalf("%d of %d slices are served after all faults ended\n%s", served, testSlices, w.tail(60)+w.dump())
		}
	})
}

func (w *world) tail(n int) string {
	trace := w.trace[max(0, len(w.trace)-n):]
	out := ""
	for _, line := range trace {
		out += line + "\n"
	}
	return out
}

// TestRecovery gives the longest time that slices may stay unserved after
// each loss. The bound is the project's target.
func TestRecovery(t *testing.T) {
	const bound = time.Second
	tests := []struct {
		name   string
		faults []string
	}{
		{"server", []string{"server-crash"}},
		{"frozen server", []string{"server-freeze"}},
		{"keeper", []string{"keeper-crash"}},
		{"paused keeper", []string{"keeper-pause"}},
		{"keeper and server", []string{"keeper-crash", "server-crash"}},
		{"deputy link", []string{"deputy-cut"}},
		{"store", []string{"store-down"}},
		{"server, store down", []string{"store-down", "server-crash"}},
		{"keeper, store down", []string{"store-down", "keeper-crash"}},
		{"server out", []string{"server-out"}},
		{"leave", []string{"leave"}},
	}
	for _, test := range tests {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/%d", test.name, seed), func(t *testing.T) {
				is := is.New(t)
				w := newWorld(seed, 4, 3, testSlices)
				w.timing.Alone = time.Hour
				for _, g := range w.gateways {
					w.newMachine(g, false)
				}
				w.keepTrace = true
				w.membersChanged()
				w.runUntil(4 * time.Second)
				is.Equal(w.served(), testSlices)
				for i, kind := range test.faults {
					if i > 0 && kind != "server-crash" {
						w.runUntil(w.now + time.Second)
					}
					if i > 0 && test.faults[0] == "store-down" {
						w.runUntil(w.now + time.Second)
					}
					w.inject(kind, 1)
				}
				took := w.timeUnserved(3 * time.Second)
				if took > bound || w.violation != "" {
					t.Fatalf("unserved for %v, bound %v; %s\n%s", took, bound, w.violation, w.tail(80))
				}
			})
		}
	}
}

// timeUnserved returns how long from now on some slice was not served.
func (w *world) timeUnserved(watch time.Duration) time.Duration {
	start := w.now
	var last time.Duration
	for w.now < start+watch {
		w.runUntil(w.now + time.Millisecond)
		if w.served() != w.slices {
			last = w.now - start
		}
	}
	return last
}

// TestRestartedDutyKeepsItsOldPromises replays what the model found: a deputy
// takes its reserved term while the store is away, forgets it with a failure of
// its duty, and must not vouch to the old keeper that it never did.
func TestRestartedDutyKeepsItsOldPromises(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		w := newWorld(seed, 2, 2, 2)
		w.keepTrace = true
		w.timing.Alone = time.Hour
		for _, g := range w.gateways {
			w.newMachine(g, false)
		}
		w.membersChanged()
		w.runUntil(4 * time.Second)
		is.Equal(w.served(), 2)
		keeper, deputy := w.keeperOf(), w.deputyOf()
		w.store.down = true
		w.runUntil(w.now + time.Second)
		// The deputy loses the keeper and takes the reserved term; the keeper
		// has lost server 0, which the deputy still reaches.
		heal := w.cutOff(string(keeper.id), string(deputy.id))
		w.cutOff(string(keeper.id), w.servers[0].name)
		w.cutOff(string(deputy.id), w.servers[1].name)
		w.runUntil(w.now + time.Second)
		is.Equal(deputy.machine.Role(), RoleKeeper)
		w.newMachine(deputy, true)
		w.membersChanged()
		heal()
		// The lease that the forgotten machine gave still runs for a while.
		w.runUntil(w.now + 5*time.Second)
		if w.violation != "" {
			t.Fatalf("seed %d: %s\n%s", seed, w.violation, w.tail(40))
		}
	}
}

// TestServersThatDoNotCheck drives a group whose servers can't arbitrate: at no
// time may two gateways send work for a slice, and all is served at the end.
func TestServersThatDoNotCheck(t *testing.T) {
	for _, kind := range []string{
		"keeper-crash", "keeper-pause", "deputy-cut", "server-crash", "store-down", "leave",
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s/%d", kind, seed), func(t *testing.T) {
				w := newWorld(seed, 4, 3, testSlices)
				w.unfenced = true
				for _, g := range w.gateways {
					w.newMachine(g, false)
				}
				w.keepTrace = true
				w.membersChanged()
				w.runUntil(4 * time.Second)
				end := w.inject(kind, 1)
				for fault := w.now + 2*time.Second; w.now < fault; w.runUntil(w.now + time.Millisecond) {
					w.checkSenders(t)
				}
				end()
				for settled := w.now + 6*time.Second; w.now < settled; w.runUntil(w.now + time.Millisecond) {
					w.checkSenders(t)
				}
				if n := w.sent(0); n != 1 {
					t.Fatalf("%d gateways send work for slice 0 at the end\n%s", n, w.tail(60))
				}
			})
		}
	}
}

// sent returns how many gateways would send work for the slice now. A paused
// gateway counts: it may wake in the middle of sending.
func (w *world) sent(slice int) int {
	n := 0
	for _, g := range w.gateways {
		r := g.machine.Routing()
		if !g.dead && r.Keeper && r.Owner[slice] >= 0 && r.Serves(r.Owner[slice], g.clock(w.now)) {
			n++
		}
	}
	return n
}

func (w *world) checkSenders(t *testing.T) {
	for slice := range w.slices {
		if n := w.sent(slice); n > 1 {
			t.Fatalf("%d gateways send work for slice %d at %v\n%s", n, slice, w.now, w.tail(60))
		}
	}
}
