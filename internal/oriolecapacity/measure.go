package oriolecapacity

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleassign"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepool"
)

const (
	// gatewayID has the length of a generated gateway ID.
	gatewayID = "new-norfolk-1.dnbvbk420tki"
	// rangesPerServer is roughly the number of ranges per upstream at which load
	// balancing settles.
	rangesPerServer = 4
	service         = "stall-board"
)

var (
	smallCounts = []int{1, 2, 4, 8}
	largeCounts = []int{16, 64, 256, 1024}
	start       = time.Unix(1_800_000_000, 0)
)

func measurements() []measurement {
	return []measurement{
		{"pulse", "unreachable peers", "bytes", []int{0, 4, 16, 64}, func(n int) float64 { return float64(frameBytes(heartbeatFrame(n))) }},
		{"assignment frame", "ranges", "bytes", largeCounts, func(n int) float64 { return float64(frameBytes(assignmentFrame(n))) }},
		{"assignment in the store", "ranges", "bytes", largeCounts, func(n int) float64 { return float64(jsonBytes(oriolemessage.FromAssignment(assignment(n)))) }},
		{"assignment patch", "changed ranges", "bytes", smallCounts, func(n int) float64 { return float64(frameBytes(patchFrame(n))) }},
		{"feed of upstreams", "entries", "bytes", smallCounts, func(n int) float64 { return float64(frameBytes(feedFrame(n))) }},
		{"configuration frame", "routes", "bytes", largeCounts, func(n int) float64 { return float64(frameBytes(configFrame(n))) }},
		{"load report", "buckets", "bytes", largeCounts, func(n int) float64 { return float64(frameBytes(loadFrame(n))) }},
		{"request and response frames, 200 byte bodies", "requests", "bytes", smallCounts, func(n int) float64 { return float64(n * forwardBytes()) }},
		{"frame: encode and decode a pulse", "frames", "us", []int{1000, 2000, 4000, 8000}, frameTime},
		{"decisions of a leader for 1 s", "upstreams", "us", []int{16, 64, 256}, leaderTime},
		{"decisions of a gateway that does not lead for 1 s", "services", "us", []int{1, 4, 16, 64}, followerTime},
		{"ranking of a pool's dispatchers", "gateways", "us", largeCounts, rankTime},
		{"publishing the cluster state", "upstreams", "us", largeCounts, publishTime},
		{"pool queue: decide on a request", "requests", "us", []int{10_000, 20_000, 40_000, 80_000}, poolTime},
		{"memory of the cluster state", "upstreams", "bytes", largeCounts, clusterStateMemory},
		{"memory of an assignment", "ranges", "bytes", largeCounts, func(n int) float64 { return retainedHeap(func() any { return assignment(n) }) }},
		{"memory of a leader", "upstreams", "bytes", []int{16, 64, 256}, func(n int) float64 { return retainedHeap(func() any { return newLeader(n) }) }},
		{"memory of pool queues", "pools", "bytes", largeCounts, poolMemory},
		{"memory of idempotency keys, 200 byte responses", "keys", "bytes", []int{256, 512, 1024, 4096}, idempotencyMemory},
		{"memory of links, dialed and accepted", "peers", "bytes", []int{8, 16, 32, 64}, linkMemory},
	}
}

func incarnation(i int) oriole.Incarnation {
	return oriole.Incarnation{ID: oriole.ServerID(fmt.Sprintf("i-%010d", i)), StartedAt: start}
}

// assignment returns an assignment of the whole key space, divided evenly into the
// given number of ranges.
func assignment(ranges int) oriole.Assignment {
	a := oriole.Assignment{Service: service, Term: 1000, Leader: gatewayID, Fence: 1 << 20, Seq: 1000}
	keys := int(oriole.MaxShardKey) + 1
	for i := range ranges {
		a.Ranges = append(a.Ranges, oriole.Range{
			First: oriole.ShardKey(keys * i / ranges), Last: oriole.ShardKey(keys*(i+1)/ranges - 1),
			Owner: incarnation(i / rangesPerServer), Fence: 1 << 20,
		})
	}
	return a
}

func assignmentFrame(ranges int) oriolemessage.Frame {
	return oriolemessage.Frame{Assignment: oriolemessage.FromAssignment(assignment(ranges))}
}

func patchFrame(ranges int) oriolemessage.Frame {
	return oriolemessage.Frame{Patch: oriolemessage.FromPatch(oriole.AssignmentPatch{
		Service: service, Term: 1000, BaseSeq: 999, Seq: 1000, Fence: 1 << 20, Ranges: assignment(ranges).Ranges,
	})}
}

func heartbeatFrame(unreachable int) oriolemessage.Frame {
	heartbeat := &oriolemessage.Heartbeat{MinRenewTerms: []oriolemessage.MinRenewTerm{{Service: service, Term: 1000}}}
	for range unreachable {
		heartbeat.Unreachable = append(heartbeat.Unreachable, gatewayID)
	}
	return oriolemessage.Frame{Clock: 1 << 24, Heartbeat: heartbeat}
}

func upstream(i int) oriole.Upstream {
	return oriole.Upstream{
		ID: incarnation(i).ID, StartedAt: start, Service: service, Zone: "new-norfolk", Slots: 2,
		Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
	}
}

func feedFrame(entries int) oriolemessage.Frame {
	var changes []oriole.Change[oriole.Upstream]
	for i := range entries {
		changes = append(changes, oriole.Change[oriole.Upstream]{Name: string(incarnation(i).ID), Value: upstream(i)})
	}
	return oriolemessage.Frame{Feed: &oriolemessage.Feed{
		Kind: oriolemessage.KindUpstreams, PrevVersion: 1 << 20, Version: 1 << 20,
		Entries: oriolemessage.FromChanges(changes, (*oriolemessage.Entry).SetUpstream),
	}}
}

func config(routes int) *oriole.Config {
	cfg := &oriole.Config{Version: 1000, Services: map[oriole.ServiceName]oriole.Service{
		service: {Name: service, MaxConns: 120, ColdDuration: 3 * time.Second, ColdRate: 5, Sharded: true},
	}}
	for i := range routes {
		cfg.Routes = append(cfg.Routes, oriole.Route{
			Name: fmt.Sprintf("r-%06d", i), Host: "stall.example", Prefix: fmt.Sprintf("/route-%06d/", i),
			LatencyTarget: 300 * time.Millisecond, Timeout: time.Second, MaxAttempts: 2,
			Shares: []oriole.Share{{Service: service, Weight: 1}},
		})
	}
	return cfg
}

func configFrame(routes int) oriolemessage.Frame {
	entry := oriolemessage.Entry{Name: "main"}
	entry.SetConfig(config(routes))
	return oriolemessage.Frame{Feed: &oriolemessage.Feed{Kind: oriolemessage.KindConfigs, Entries: []oriolemessage.Entry{entry}}}
}

func loadFrame(buckets int) oriolemessage.Frame {
	counts := make(map[int]int, buckets)
	for i := range buckets {
		counts[i] = 1
	}
	return oriolemessage.Frame{Load: oriolemessage.FromLoad(service, counts, nil)}
}

func request(body int) oriole.Request {
	return oriole.Request{
		ID: "9c41d07be2a35f68", Service: service, Host: "stall.example", Method: http.MethodPost,
		Target: "/feed/stall-1234567", Header: http.Header{"Content-Type": {"application/json"}, "User-Agent": {"handheld/1.0"}},
		Body: make([]byte, body), HasShardKey: true, ShardKey: 7, Pool: oriole.PoolID{Service: service, Zone: "new-norfolk", Server: incarnation(1).ID},
	}
}

// forwardBytes returns the encoded size of a forwarded request and its response,
// with a body of 200 bytes each.
func forwardBytes() int {
	const body = 200
	response := oriole.Response{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, body)}
	return frameBytes(oriolemessage.Frame{Clock: 1 << 24, Request: oriolemessage.FromRequest(1<<20, request(body), start)}) +
		frameBytes(oriolemessage.Frame{Clock: 1 << 24, Response: oriolemessage.FromResponse(1<<20, "9c41d07be2a35f68", response)})
}

// frameBytes returns the size of an encoded frame. It panics if encoding fails,
// which can't happen since all frames measured here are within the size limits.
func frameBytes(frame oriolemessage.Frame) int {
	data, err := oriolemessage.Encode(frame)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func jsonBytes(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// shortest returns the duration of the fastest of several runs in microseconds:
// other work on the host only makes a run longer.
func shortest(run func()) float64 {
	const runs = 5
	fastest := time.Duration(1<<63 - 1)
	for range runs {
		started := time.Now()
		run()
		fastest = min(fastest, time.Since(started))
	}
	return float64(fastest.Nanoseconds()) / 1000
}

func frameTime(n int) float64 {
	frame := heartbeatFrame(0)
	return shortest(func() {
		for range n {
			data, err := oriolemessage.Encode(frame)
			if err != nil {
				panic(err)
			}
			if _, err := oriolemessage.Decode[oriolemessage.Frame](data); err != nil {
				panic(err)
			}
		}
	})
}

// clusterState returns a gateway's view of a site with the given number of
// upstreams.
func clusterState(upstreams int) *oriole.ClusterState {
	state := oriole.NewClusterState()
	state.Config, state.DirectoryLoaded = config(4), true
	self := oriole.Member{ID: gatewayID, VM: "new-norfolk-1", Zone: "new-norfolk"}
	state.Gateways[self.ID], state.Alive[self.ID] = self, true
	for i := range upstreams {
		u := upstream(i)
		state.Upstreams[u.ID] = u
	}
	return state
}

// leader simulates a leader: an assignment state machine whose store and upstreams
// respond at once.
type leader struct {
	machine *orioleassign.Machine
	state   *oriole.ClusterState
	now     time.Time
	version oriole.Version
	stored  oriole.Assignment
}

// leaseConfig holds the lease times that gateways use.
var leaseConfig = orioleassign.Config{
	Self: gatewayID, Service: service, LeaseTTL: 5 * time.Second, RenewInterval: 1800 * time.Millisecond,
	LeaderLease: 20 * time.Second, MoveLease: 750 * time.Millisecond, MaxClockDrift: 0.02, MaxCallDelay: 500 * time.Millisecond,
}

func newLeader(upstreams int) *leader {
	l := &leader{machine: orioleassign.New(leaseConfig), state: clusterState(upstreams), now: start}
	l.machine.SetClusterState(l.now, l.state)
	l.run(10 * time.Second)
	if !l.machine.Leading() {
		panic("the state machine did not become the leader")
	}
	return l
}

// run advances the simulated time and ticks the machine as the leader duty does.
func (l *leader) run(duration time.Duration) {
	const tick = 50 * time.Millisecond
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(tick) {
		l.machine.Tick(l.now)
		l.completeEffects()
	}
}

func (l *leader) completeEffects() {
	for effects := l.machine.TakeEffects(); len(effects) > 0; effects = l.machine.TakeEffects() {
		for _, e := range effects {
			switch {
			case e.Read != nil && l.version.Revision == 0:
				l.machine.ReadDone(l.now, l.now, oriole.Assignment{}, oriole.Version{}, e.Read.AllowStale, oriole.ErrNotFound)
			case e.Read != nil:
				l.machine.ReadDone(l.now, l.now, l.stored, l.version, e.Read.AllowStale, nil)
			case e.Write != nil:
				l.version, l.stored = l.version.Next(), e.Write.Assignment
				l.machine.WriteDone(l.now, l.now, l.stored, l.version, nil)
			case e.Grant != nil:
				l.machine.CallDone(l.now, e.Grant.ID, orioleassign.Result{Conn: 1})
			case e.Release != nil:
				l.machine.CallDone(l.now, e.Release.ID, orioleassign.Result{})
			case e.Probe != nil:
				l.machine.CallDone(l.now, e.Probe.ID, orioleassign.Result{})
			}
		}
	}
}

func leaderTime(upstreams int) float64 {
	l := newLeader(upstreams)
	return shortest(func() { l.run(time.Second) })
}

// followerTime measures the ticks of one second on state machines that do not lead.
func followerTime(services int) float64 {
	const ticks = 20
	machines := make([]*orioleassign.Machine, services)
	state := clusterState(64)
	state.Gateways["b.1"], state.Alive["b.1"] = oriole.Member{ID: "b.1", VM: "b"}, true
	a := assignment(256)
	a.Leader = "b.1"
	state.Assignments[service] = &a
	state.BuildIndex()
	for i := range machines {
		machines[i] = orioleassign.New(leaseConfig)
		machines[i].SetClusterState(start, state)
	}
	return shortest(func() {
		for range ticks {
			for _, m := range machines {
				m.Tick(start)
				m.TakeEffects()
			}
		}
	})
}

func rankTime(gateways int) float64 {
	var members []oriole.Member
	for i := range gateways {
		members = append(members, oriole.Member{ID: oriole.GatewayID(fmt.Sprintf("%s%d", gatewayID, i)), Zone: "new-norfolk"})
	}
	pool := request(0).Pool
	return shortest(func() { orioleplacement.RankDispatchers(pool, members) })
}

func publishTime(upstreams int) float64 {
	state := clusterState(upstreams)
	return shortest(func() { state.Clone().BuildIndex() })
}

func clusterStateMemory(upstreams int) float64 {
	return retainedHeap(func() any {
		state := clusterState(upstreams)
		state.BuildIndex()
		return state
	})
}

func newPool(upstreams int) *oriolepool.Pool {
	p := oriolepool.New()
	var list []oriole.Upstream
	for i := range upstreams {
		list = append(list, upstream(i))
	}
	p.Update(start, config(1).Services[service], list)
	return p
}

func poolTime(n int) float64 {
	p := newPool(1)
	r := request(200)
	r.Deadline, r.SoftDeadline = start.Add(time.Second), start.Add(time.Second)
	id := oriolepool.JobID(0)
	return shortest(func() {
		for range n {
			id++
			p.Submit(start, id, r)
			p.TakeEffects()
			p.Finish(start, id, oriole.Response{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK})
			p.TakeEffects()
		}
	})
}

func poolMemory(pools int) float64 {
	return retainedHeap(func() any {
		list := make([]*oriolepool.Pool, pools)
		for i := range list {
			list[i] = newPool(1)
		}
		return list
	})
}

func idempotencyMemory(keys int) float64 {
	return retainedHeap(func() any {
		cache := orioleidempotency.New()
		for i := range keys {
			key, body := orioleidempotency.KeyOf(&oriole.Request{Service: service, IdempotencyKey: fmt.Sprintf("0123456789abcdef-%019d", i)})
			_, _, _ = cache.Begin(start, key, body, orioleidempotency.JobID(i))
			cache.End(start, key, orioleidempotency.JobID(i), oriole.Response{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK, Body: make([]byte, 200)})
		}
		return cache
	})
}

// retainedHeap returns the size in bytes of the heap objects that the result of
// build keeps alive.
func retainedHeap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
