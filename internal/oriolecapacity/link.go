package oriolecapacity

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/orioleingress"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelink"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
)

// connectTimeout bounds the time until all links of a measurement are open. A link
// has a dial timeout of half a second.
const connectTimeout = 10 * time.Second

// linkMemory returns the heap and stack memory of links with the given number of
// peers, one dialed and one accepted connection per peer, in bytes. It returns NaN
// if the links do not open.
func linkMemory(peers int) float64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(context.Background())
	tree, dialer, ids, err := linkTree(peers)
	if err != nil {
		cancel()
		return math.NaN()
	}
	done := tree.ServeBackground(ctx)
	defer func() {
		cancel()
		<-done
	}()
	for deadline := time.Now().Add(connectTimeout); !allReachable(dialer, ids); {
		if time.Now().After(deadline) {
			return math.NaN()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return memoryInUse() - before
}

func allReachable(links *oriolelink.Links, ids []oriole.GatewayID) bool {
	for _, id := range ids {
		if !links.Reachable(id) {
			return false
		}
	}
	return true
}

// linkTree returns a supervisor of two Links and their server. The dialer connects
// to the other once per peer: all peers have the same address, but different IDs.
func linkTree(peers int) (tree *suture.Supervisor, dialer *oriolelink.Links, ids []oriole.GatewayID, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, nil, nil, err
	}
	spec := suture.Spec{EventHook: func(suture.Event) {}}
	accepter := newLinks("accepter", addr, spec)
	dialer = newLinks("dialer", addr, spec)
	members := make(map[oriole.GatewayID]oriole.Member)
	for i := range peers {
		id := oriole.GatewayID(fmt.Sprintf("%s-%d", gatewayID, i))
		ids = append(ids, id)
		members[id] = oriole.Member{ID: id, VM: string(id), Zone: "z", PeerAddr: addr, Weight: 1}
	}
	dialer.SetMembers(members, members)
	mux := http.NewServeMux()
	mux.Handle(oriolelink.Path, accepter)
	tree = suture.New("links", spec)
	tree.Add(accepter)
	tree.Add(dialer)
	tree.Add(orioleingress.NewServer("serve peers", listener, mux, nil))
	return tree, dialer, ids, nil
}

func newLinks(name oriole.GatewayID, addr netip.AddrPort, spec suture.Spec) *oriolelink.Links {
	timers := orioletimer.New()
	return oriolelink.New(oriolelink.Config{
		Self:    oriole.Member{ID: name, VM: string(name), Zone: "z", PeerAddr: addr, Weight: 1},
		Metrics: orioletelemetry.NewMetrics(), Log: &log.Logger{Handler: discard.New()}, Clock: &orioletelemetry.LogicalClock{},
		Timers: timers, BootClock: orioletimer.NewBootClock(timers), Receiver: nopReceiver{},
	}, spec)
}

// memoryInUse returns the bytes of live heap objects and of stacks after a garbage
// collection.
func memoryInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// nopReceiver implements oriolelink.Receiver and discards everything.
type nopReceiver struct{}

func (nopReceiver) HandleRequest(context.Context, oriole.Request, func(oriole.Response)) {}
func (nopReceiver) HandleFrame(context.Context, oriole.GatewayID, *oriolemessage.Frame)  {}
func (nopReceiver) HandlePeer(context.Context, oriole.Member)                            {}
func (nopReceiver) HandleLiveness(context.Context, map[oriole.GatewayID]bool, bool)      {}
func (nopReceiver) Heartbeat() *oriolemessage.Heartbeat                                  { return &oriolemessage.Heartbeat{} }
