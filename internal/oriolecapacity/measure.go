package oriolecapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/orioleserver"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolefence"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepick"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequeue"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolespread"
)

// Sizes of one group at which costs that do not grow with it are measured.
const (
	groupServers = 5
	groupSlices  = 48
)

// gatewayName is as long as the names that gateways give themselves.
const gatewayName = "new-norfolk-1.dnbvbk420tki"

func measurements() []measurement {
	slices := []int{12, 48, 192, 768}
	counts := []int{16, 64, 256, 1024}
	return []measurement{
		{"heartbeat without table", "beats", "bytes", []int{1, 2, 4, 8}, func(n int) float64 { return float64(n * frameBytes(beatFrame(0))) }},
		{"heartbeat with table", "slices of the group", "bytes", slices, func(n int) float64 { return float64(frameBytes(beatFrame(n))) }},
		{"acknowledgement", "acks", "bytes", []int{1, 2, 4, 8}, func(n int) float64 { return float64(n * frameBytes(ackFrame())) }},
		{"sight", "gateways not heard", "bytes", []int{0, 4, 16, 64}, func(n int) float64 { return float64(frameBytes(sightFrame(n))) }},
		{"view", "views", "bytes", []int{1, 2, 4, 8}, func(n int) float64 { return float64(n * frameBytes(viewFrame())) }},
		{"record passed on", "slices of the group", "bytes", slices, func(n int) float64 { return float64(frameBytes(shareFrame(n))) }},
		{"record in the store", "slices of the group", "bytes", slices, func(n int) float64 { return float64(jsonBytes(oriolewire.FromRecord(record(n)))) }},
		{"grant body", "slices of the server", "bytes", []int{0, 10, 40, 160}, func(n int) float64 { return float64(jsonBytes(oriolewire.FromGrant(grant(n)))) }},
		{"settings", "upstreams", "bytes", []int{33, 132, 528, 2112}, func(n int) float64 { return float64(len(settings(n))) }},
		{"settings: check and merge", "upstreams", "us", []int{33, 132, 528, 2112}, settingsTime},
		{"frame: encode and decode a heartbeat", "frames", "us", []int{1000, 2000, 4000, 8000}, frameTime},
		{"decisions of a keeper for 1 s", "groups", "us", []int{1, 4, 16, 64}, decideTime},
		{"decisions of a bystander for 1 s", "groups", "us", counts, bystanderTime},
		{"memory of ownership", "groups not kept", "bytes", counts, bystanderMemory},
		{"ask and reply of a 200 byte request", "requests", "bytes", []int{1, 2, 4, 8}, func(n int) float64 { return float64(n * askBytes()) }},
		{"queue: decide on a request", "requests", "us", []int{10_000, 20_000, 40_000, 80_000}, queueTime},
		{"memory of ownership", "groups kept", "bytes", counts, machineMemory},
		{"memory of ownership", "slices of one group", "bytes", []int{1024, 4096, 16384, 65536}, sliceMemory},
		{"memory of queues", "groups kept", "bytes", counts, queueMemory},
		{"memory of queues", "upstreams of one group", "bytes", counts, serverMemory},
		{"lease renewal over HTTP, both ends", "renewals", "us", []int{250, 500, 1000, 2000}, renewalTime},
		{"snapshot for a new gateway", "groups", "bytes", counts, func(n int) float64 { return float64(n * frameBytes(viewFrame())) }},
		{"memory of idempotency keys", "keys", "bytes", []int{1024, 4096, 16384, 65536}, tokenMemory},
		{"memory of views", "groups", "bytes", []int{256, 1024, 4096, 16384}, viewMemory},
	}
}

func record(slices int) oriole.Record {
	owner := make([]int, slices)
	for i := range owner {
		owner[i] = i % groupServers
	}
	return oriole.Record{
		Group:  "stall-board.1234",
		Term:   1000,
		Keeper: gatewayName,
		Deputy: gatewayName,
		Down:   make([]bool, groupServers),
		Table:  oriole.Table{Seq: 1000, Owner: owner},
	}
}

func beatFrame(slices int) oriolewire.Frame {
	beat := oriole.Beat{Group: "stall-board.1234", Term: 1000, Number: 1 << 20, Version: 1 << 24, Echo: 1 << 20}
	if slices > 0 {
		beat.Table = record(slices).Table
	}
	return oriolewire.Frame{Beat: oriolewire.FromBeat(beat)}
}

func ackFrame() oriolewire.Frame {
	return oriolewire.Frame{Ack: oriolewire.FromAck(oriole.BeatAck{Group: "stall-board.1234", Term: 1000, Number: 1 << 20, Seq: 1000})}
}

func sightFrame(lost int) oriolewire.Frame {
	sight := &oriolewire.Sight{Store: true, Clock: 1 << 20, Settings: 1 << 24, Known: true}
	for range lost {
		sight.Lost = append(sight.Lost, gatewayName)
	}
	return oriolewire.Frame{Sight: sight}
}

func viewFrame() oriolewire.Frame {
	return oriolewire.Frame{View: oriolewire.FromView(oriole.View{Group: "stall-board.1234", Term: 1000, Keeper: gatewayName, Deputy: gatewayName})}
}

func shareFrame(slices int) oriolewire.Frame {
	return oriolewire.Frame{Share: &oriolewire.Share{Record: oriolewire.FromRecord(record(slices)), Version: 1 << 24}}
}

func grant(owned int) oriole.Grant {
	g := oriole.Grant{
		Group: "stall-board.1234", Term: 1000, Number: 1 << 20, Seq: 1000,
		Mark: 100 * time.Hour, Span: 500 * time.Millisecond, Incarnation: 3,
	}
	for i := range owned {
		g.Owned = append(g.Owned, i*groupServers)
	}
	return g
}

func request(body int) oriole.Request {
	return oriole.Request{
		ID:      gatewayName + "-1000000",
		Service: "stall-board",
		Key:     "stall-1234567",
		Group:   "stall-board.1234",
		Method:  http.MethodPost,
		Target:  "/stall-board/stall-1234567/feed",
		Header:  http.Header{"Content-Type": {"application/json"}, "User-Agent": {"handheld/1.0"}, "Via": {"1.1 orioleswitch"}},
		Body:    make([]byte, body),
	}
}

// askBytes returns the bytes of a forwarded request and its answer, with a body
// of 200 bytes each.
func askBytes() int {
	const body = 200
	answer := oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}, Body: make([]byte, body)}
	return frameBytes(oriolewire.Frame{Ask: oriolewire.FromRequest(1<<20, request(body), time.Now())}) +
		frameBytes(oriolewire.Frame{Reply: oriolewire.FromAnswer(1<<20, gatewayName+"-1000000", answer)})
}

// frameBytes returns the size of an encoded frame. The frames here are all
// within the limits, so that they can be encoded.
func frameBytes(frame oriolewire.Frame) int {
	data, err := oriolewire.Encode(frame)
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

// settings returns a base file with the number of upstreams.
func settings(upstreams int) []byte {
	service := orioleconfig.Service{Divided: true, Groups: upstreams / 4, Slices: upstreams * 10, Fenced: true, Idempotent: []string{"GET"}, Deadline: orioleconfig.Span(time.Second), Slots: 2, Cold: 1, Conns: 45, Pick: "expected"}
	for i := range upstreams {
		service.Upstreams = append(service.Upstreams, orioleconfig.Upstream{
			Name: oriole.ServerID(fmt.Sprintf("stall-board-%05d", i)),
			Zone: "new-norfolk",
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080),
		})
	}
	data, err := json.Marshal(struct {
		Name     string                          `json:"name"`
		Zones    []string                        `json:"zones"`
		Platform string                          `json:"platform"`
		Services map[string]orioleconfig.Service `json:"services"`
	}{"derwent", []string{"new-norfolk"}, "10.0.0.1:80", map[string]orioleconfig.Service{"stall-board": service}})
	if err != nil {
		panic(err)
	}
	return data
}

// best returns the shortest of several runs in microseconds: other work on the
// machine only adds to a run.
func best(run func()) float64 {
	const runs = 5
	shortest := time.Duration(1<<63 - 1)
	for range runs {
		start := time.Now()
		run()
		shortest = min(shortest, time.Since(start))
	}
	return float64(shortest.Nanoseconds()) / 1000
}

func settingsTime(upstreams int) float64 {
	data := settings(upstreams)
	return best(func() {
		if _, err := orioleconfig.Parse("base", data, "overlay", []byte(`{"zone": "new-norfolk"}`)); err != nil {
			panic(err)
		}
	})
}

func frameTime(n int) float64 {
	frame := beatFrame(0)
	return best(func() {
		for range n {
			data, err := oriolewire.Encode(frame)
			if err != nil {
				panic(err)
			}
			if _, err := oriolewire.Decode[oriolewire.Frame](data); err != nil {
				panic(err)
			}
		}
	})
}

func machineConfig(slices int) oriolegroup.Config {
	return oriolegroup.Config{
		Self:    "a",
		Group:   "stall-board.1234",
		Servers: make([]oriole.Upstream, groupServers),
		Slices:  slices,
		Fenced:  true,
		Timing: oriolegroup.Timing{
			Lease: 500 * time.Millisecond, Beat: 80 * time.Millisecond, Silence: 250 * time.Millisecond,
			Alone: time.Hour, Work: time.Second, Drift: 0.01,
		},
		Spreader: oriolespread.Even{},
		Leveler:  oriolespread.Even{Level: true},
		Batch:    8,
	}
}

// kept is a machine that keeps a group, with servers and a deputy that answer
// at once.
type kept struct {
	machine *oriolegroup.Machine
	servers []*oriolefence.Holder
	now     time.Time
	version oriole.Version
}

func newKept(slices int) *kept {
	k := &kept{machine: oriolegroup.New(machineConfig(slices)), now: time.Unix(0, 0)}
	for range groupServers {
		k.servers = append(k.servers, oriolefence.NewHolder(1, 0))
	}
	k.step(oriolegroup.MembersChanged{Members: []oriolegroup.Candidate{
		{ID: "a", Alive: true, Fit: true}, {ID: "b", Zone: "z", Alive: true, Fit: true},
	}})
	k.run(4 * time.Second)
	if k.machine.Role() != oriolegroup.RoleKeeper {
		panic("the machine does not keep its group")
	}
	return k
}

// run ticks for a time, as the deciding duty does.
func (k *kept) run(d time.Duration) {
	const tick = 10 * time.Millisecond
	for end := k.now.Add(d); k.now.Before(end); k.now = k.now.Add(tick) {
		k.step(oriolegroup.Tick{})
	}
}

func (k *kept) step(event oriolegroup.Event) {
	effects := append([]oriolegroup.Effect(nil), k.machine.Step(k.now, event)...)
	if k.machine.Role() == oriolegroup.RoleKeeper {
		k.machine.Routing()
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case oriolegroup.SendGrant:
			reply := k.servers[e.Grant.Server].Apply(time.Hour+k.now.Sub(time.Unix(0, 0)), e.Grant)
			k.step(oriolegroup.GrantDone{Grant: e.Grant, Reply: reply})
		case oriolegroup.SendBeat:
			k.step(oriolegroup.AckReceived{From: e.To, Ack: oriole.BeatAck{Group: e.Beat.Group, Term: e.Beat.Term, Number: e.Beat.Number, Seq: e.Beat.Table.Seq}})
		case oriolegroup.WriteRecord:
			k.version++
			k.step(oriolegroup.WriteDone{Number: e.Number, Status: oriolegroup.StatusDone, Version: k.version})
		case oriolegroup.ReadRecord:
			k.step(oriolegroup.ReadDone{Number: e.Number, Status: oriolegroup.StatusMissing})
		}
	}
}

func decideTime(groups int) float64 {
	machines := make([]*kept, groups)
	for i := range machines {
		machines[i] = newKept(groupSlices)
	}
	return best(func() {
		for _, k := range machines {
			k.run(time.Second)
		}
	})
}

// newBystanders returns machines that know of their groups' keepers and have no
// duty.
func newBystanders(groups int) []*oriolegroup.Machine {
	machines := make([]*oriolegroup.Machine, groups)
	for i := range machines {
		machines[i] = oriolegroup.New(machineConfig(groupSlices))
		now := time.Unix(0, 0)
		machines[i].Step(now, oriolegroup.MembersChanged{Members: []oriolegroup.Candidate{{ID: gatewayName, Alive: true, Fit: true}}})
		machines[i].Step(now, oriolegroup.RecordSeen{Record: record(groupSlices), Version: 1})
	}
	return machines
}

func bystanderTime(groups int) float64 {
	const ticks = 100
	machines := newBystanders(groups)
	now := time.Unix(0, 0)
	return best(func() {
		for range ticks {
			for _, m := range machines {
				m.Step(now, oriolegroup.Tick{})
			}
		}
	})
}

func bystanderMemory(groups int) float64 {
	return heap(func() any { return newBystanders(groups) })
}

// newQueue returns a queue of a group whose servers all serve.
func newQueue(tokens int) *oriolequeue.Queue { return newQueueOf(groupServers, tokens) }

func newQueueOf(servers, tokens int) *oriolequeue.Queue {
	picker, err := oriolepick.New("expected", rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		panic(err)
	}
	limits := oriolequeue.DefaultLimits()
	limits.Tokens = tokens
	q := oriolequeue.New(oriolequeue.Config{Servers: servers, Divided: true, Limits: limits, Picker: picker}, nil)
	routing := &oriole.Routing{
		Keeper: true, Term: 2, Owner: make([]int, groupSlices),
		Until: make([]time.Time, servers), Incarnation: make([]uint64, servers),
		Lost: make([]bool, servers), Out: make([]bool, servers),
	}
	for i := range routing.Until {
		routing.Until[i] = time.Unix(1<<40, 0)
	}
	q.Route(time.Unix(0, 0), routing)
	return q
}

func queueTime(n int) float64 {
	q := newQueue(1)
	now := time.Unix(0, 0)
	job := &oriolequeue.Job{Request: request(200), Reply: func(oriole.Answer) {}}
	job.Request.Deadline = now.Add(time.Second)
	return best(func() { serve(q, now, job, n) })
}

// serve sends n copies of a job through the queue.
func serve(q *oriolequeue.Queue, now time.Time, job *oriolequeue.Job, n int) {
	for range n {
		for _, start := range q.Arrive(now, job).Starts {
			q.Done(now, start.Server, start.Job, oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK})
			*job = oriolequeue.Job{Request: job.Request, Reply: job.Reply}
		}
	}
}

// heap returns the bytes that build keeps alive.
func heap(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func machineMemory(groups int) float64 {
	return heap(func() any {
		machines := make([]*kept, groups)
		for i := range machines {
			machines[i] = newKept(groupSlices)
			machines[i].servers = nil
		}
		return machines
	})
}

func sliceMemory(slices int) float64 {
	return heap(func() any {
		k := newKept(slices)
		return []any{k, k.machine.Routing()}
	})
}

func queueMemory(groups int) float64 {
	return heap(func() any {
		queues := make([]*oriolequeue.Queue, groups)
		for i := range queues {
			queues[i] = newQueue(1)
		}
		return queues
	})
}

func serverMemory(servers int) float64 {
	return heap(func() any { return newQueueOf(servers, 1) })
}

// renewalTime renews the lease of a server on loopback, one time after the
// other.
func renewalTime(n int) float64 {
	holder := oriolefence.NewHolder(1, 0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var wire oriolewire.Grant
		if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
			panic(err)
		}
		g, err := wire.ToGrant()
		if err != nil {
			panic(err)
		}
		if err := json.NewEncoder(w).Encode(oriolewire.FromGrantReply(holder.Apply(time.Hour, g))); err != nil {
			panic(err)
		}
	}))
	defer server.Close()
	client, cleanup := orioleserver.New(true, 2)
	defer cleanup()
	to := oriole.Upstream{ID: "u", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	return best(func() {
		for range n {
			if _, err := client.Grant(context.Background(), to, grant(10)); err != nil {
				panic(err)
			}
		}
	})
}

func tokenMemory(keys int) float64 {
	return heap(func() any {
		q := newQueue(keys)
		now := time.Unix(0, 0)
		for i := range keys {
			job := &oriolequeue.Job{Request: request(0), Reply: func(oriole.Answer) {}}
			job.Request.Token = fmt.Sprintf("0123456789abcdef-%019d", i)
			job.Request.Deadline = now.Add(time.Second)
			for _, start := range q.Arrive(now, job).Starts {
				answer := oriole.Answer{Outcome: oriole.OutcomeAnswered, Status: http.StatusOK, Body: make([]byte, 200)}
				q.Done(now, start.Server, start.Job, answer)
			}
		}
		return q
	})
}

func viewMemory(groups int) float64 {
	return heap(func() any {
		views := make(map[oriole.GroupID]oriole.View)
		for i := range groups {
			id := orioleconfig.GroupID("stall-board", i)
			views[id] = oriole.View{Group: id, Keeper: oriole.GatewayID(fmt.Sprintf("%s%d", gatewayName, i)), Deputy: oriole.GatewayID(fmt.Sprintf("%s%d", gatewayName, i))}
		}
		return views
	})
}
