package oriolerouter_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/internal/orioleupstream"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioletimer"
	"github.com/orioleswitch/orioleswitch/platform"
	"github.com/orioleswitch/orioleswitch/platform/standin"
	"github.com/orioleswitch/orioleswitch/platform/wire"
)

const (
	divided   = "board"
	undivided = "tow"
)

// system is a site on loopback: the stand-in store and upstreams, and real
// gateways.
type system struct {
	t        *testing.T
	store    *standin.Store
	fleet    *standin.Fleet
	address  netip.AddrPort
	mu       sync.Mutex
	gateways map[string]*gateway
	ups      map[string]*standin.Upstream
	version  uint64
}

type gateway struct {
	router  *oriolerouter.Router
	callers netip.AddrPort
	stop    func()
}

// newSystem starts a site with three gateways and six upstreams, four of them
// divided, and waits until it is ready.
func newSystem(t *testing.T) *system {
	s := &system{
		t: t, store: standin.NewStore(), fleet: standin.NewFleet(),
		gateways: make(map[string]*gateway), ups: make(map[string]*standin.Upstream),
	}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.address = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	s.configure(divided, undivided)
	for i := range 4 {
		s.upstream(fmt.Sprintf("board-%d", i), divided, netip.AddrPort{}, standin.Divided())
	}
	for i := range 2 {
		s.upstream(fmt.Sprintf("tow-%d", i), undivided, netip.AddrPort{})
	}
	for _, vm := range []string{"vm-a", "vm-b", "vm-c"} {
		s.start(vm)
	}
	s.await("every key has an owner", func() bool {
		status, _ := s.call("vm-a", http.MethodGet, "/look/", newID(), 7)
		return status == http.StatusOK
	})
	return s
}

// configure writes a configuration in which bookings go to one service and
// lookups to the divided one.
func (s *system) configure(lookups, bookings string) {
	s.version++
	rule := func(name, kind, prefix, service string) wire.Rule {
		return wire.Rule{
			Name: name, Kind: kind, TargetLatencyMs: 300, Match: wire.Match{PathPrefix: prefix},
			Action: wire.Action{Service: service, TimeoutMs: 1500, MaxAttempts: 2},
		}
	}
	err := s.store.Put("config", "main", wire.Config{
		Version: s.version,
		Limits:  wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Listeners: []wire.Listener{{Host: "park.example", Rules: []wire.Rule{
			rule("look", "idempotent", "/look/", lookups),
			rule("sign", "non_idempotent", "/sign/", lookups),
			rule("book", "non_idempotent", "/book/", bookings),
		}}},
		Clusters: []wire.Cluster{
			{Name: divided, HealthPath: "/healthz", MaxConns: 45, ColdS: 0.1, ColdPerS: 50, Sharded: true},
			{Name: undivided, HealthPath: "/healthz", MaxConns: 45, ColdS: 0.1, ColdPerS: 50},
		},
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) upstream(id, service string, addr netip.AddrPort, options ...standin.Option) *standin.Upstream {
	u, cleanup, err := standin.NewUpstream(s.fleet, s.store, id, service, "z", addr, options...)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(cleanup)
	s.ups[id] = u
	return u
}

// freeAddr returns an address that nothing listens on.
func freeAddr(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// start runs a gateway on the VM.
func (s *system) start(vm string) {
	settings := oriolerouter.Settings{
		VM: vm, Zone: "z", Callers: freeAddr(s.t), Ready: freeAddr(s.t), Peers: freeAddr(s.t), Metrics: freeAddr(s.t),
		Store: s.address, Memory: 64 << 20, Grace: 6 * time.Second,
	}
	directory, closeDirectory := platform.New(s.address, func(string, string, error) {})
	requests, closeRequests := orioleupstream.New()
	leaser, closeLeaser := platform.NewLeaser()
	logger := &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}
	router, closeRouter, err := oriolerouter.New(settings, oriolerouter.Platform{
		Directory: directory, Dialect: platform.Dialect{}, Leaser: leaser,
		Sender: orioleupstream.NewSender(requests, platform.Dialect{}, orioletimer.New()), Forget: requests.Forget,
	}, logger)
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := router.ServeBackground(ctx)
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			<-ended
			closeRouter()
			closeRequests()
			closeLeaser()
			closeDirectory()
		})
	}
	s.t.Cleanup(stop)
	s.mu.Lock()
	s.gateways[vm] = &gateway{router: router, callers: settings.Callers, stop: stop}
	s.mu.Unlock()
	s.await(vm+" is ready", router.Ready)
}

func (s *system) gateway(vm string) *gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[vm]
}

// await waits until the condition holds. Its bound is the platform's time to
// recover from the loss of everything.
func (s *system) await(what string, holds func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); !holds(); {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s; broken: %v", what, s.fleet.Broken())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

var lastID atomic.Uint64

func newID() string { return fmt.Sprintf("id-%d", lastID.Add(1)) }

var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 3 * time.Second}

// call sends one request, and returns its status, or 0 if there was no answer.
func (s *system) call(vm, method, path, id string, point int) (status int, body string) {
	content := io.Reader(nil)
	if method == http.MethodPost {
		content = strings.NewReader("a stall, with oats")
	}
	req, err := http.NewRequest(method, "http://"+s.gateway(vm).callers.String()+path, content)
	if err != nil {
		s.t.Error(err)
		return 0, ""
	}
	req.Host = "park.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1500")
	req.Header.Set("X-Shard-Key", fmt.Sprint(point))
	resp, err := caller.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	if resp.StatusCode == http.StatusOK && resp.Header.Get("X-Response-Signature") != "signed-"+id {
		s.t.Errorf("request %s got the answer signed %q", id, resp.Header.Get("X-Response-Signature"))
	}
	return resp.StatusCode, string(data)
}

// tally counts what callers got.
type tally struct{ served, refused, failed atomic.Int64 }

// load sends requests of all kinds until stopped, and checks each answer.
func (s *system) load() (counts *tally, stop func()) {
	counts = &tally{}
	done := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			for n := i * 1000; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
				s.callOnce(n, counts)
			}
		}()
	}
	return counts, func() {
		close(done)
		callers.Wait()
	}
}

func (s *system) callOnce(n int, counts *tally) {
	vm := []string{"vm-a", "vm-b", "vm-c"}[n%3]
	method, path := http.MethodGet, "/look/"
	switch n % 4 {
	case 1:
		method, path = http.MethodPost, "/sign/"
	case 2:
		method, path = http.MethodPost, "/book/"
	}
	id := newID()
	status, body := s.call(vm, method, fmt.Sprintf("%s%d", path, n), id, n*7919%65536)
	switch {
	case status == http.StatusOK:
		counts.served.Add(1)
		if !strings.Contains(body, fmt.Sprintf("ran %s %s%d with", method, path, n)) {
			s.t.Errorf("request %s got %q", id, body)
		}
	case status == http.StatusServiceUnavailable:
		counts.refused.Add(1)
		if s.fleet.Runs(id) > 0 {
			s.t.Errorf("request %s was called not run and ran", id)
		}
	default:
		counts.failed.Add(1)
	}
}

// TestSystem plays troubles on a site under load, and checks what callers and
// upstreams saw.
func TestSystem(t *testing.T) {
	for _, test := range []struct {
		name    string
		trouble func(s *system)
		// served is the least part of the requests that is served.
		served float64
	}{
		{"calm", func(*system) { time.Sleep(time.Second) }, 0.99},
		{"an upstream drains", func(s *system) {
			s.ups["board-0"].Drain()
			time.Sleep(time.Second)
			s.ups["board-0"].Leave()
			time.Sleep(500 * time.Millisecond)
		}, 0.98},
		{"an upstream crashes and starts anew under its ID and address", func(s *system) {
			addr := s.ups["board-1"].Addr()
			s.ups["board-1"].Leave()
			time.Sleep(300 * time.Millisecond)
			s.upstream("board-1", divided, addr, standin.Divided())
			time.Sleep(2 * time.Second)
		}, 0.8},
		{"another service gets the address of one that ended", func(s *system) {
			addr := s.ups["board-2"].Addr()
			s.ups["board-2"].Leave()
			s.upstream("tow-9", undivided, addr)
			time.Sleep(2 * time.Second)
		}, 0.8},
		{"upstreams join", func(s *system) {
			s.upstream("board-8", divided, netip.AddrPort{}, standin.Divided(), standin.WithCold(500*time.Millisecond))
			s.upstream("board-9", divided, netip.AddrPort{}, standin.Divided())
			time.Sleep(2 * time.Second)
		}, 0.98},
		{"the store is down", func(s *system) {
			s.store.SetDown(true)
			time.Sleep(2 * time.Second)
			s.store.SetDown(false)
			time.Sleep(time.Second)
		}, 0.98},
		{"the store loses answers and its history", func(s *system) {
			s.store.SetLosing(true)
			s.upstream("board-8", divided, netip.AddrPort{}, standin.Divided())
			time.Sleep(time.Second)
			s.store.Compact()
			s.store.SetLosing(false)
			time.Sleep(time.Second)
		}, 0.98},
		{"all gateways start anew", func(s *system) {
			for _, vm := range []string{"vm-a", "vm-b", "vm-c"} {
				s.gateway(vm).stop()
			}
			for _, vm := range []string{"vm-a", "vm-b", "vm-c"} {
				s.start(vm)
			}
			time.Sleep(2 * time.Second)
		}, 0.3},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newSystem(t)
			counts, stop := s.load()
			test.trouble(s)
			stop()
			total := counts.served.Load() + counts.refused.Load() + counts.failed.Load()
			t.Logf("%d requests: %d refused, %d failed; %d misplaced; %d calls to the store",
				total, counts.refused.Load(), counts.failed.Load(), s.fleet.Misplaced(), s.store.Calls())
			is.Equal(s.fleet.Broken(), nil)
			is.True(float64(counts.served.Load()) >= test.served*float64(total))
			s.await("every gateway serves again", func() bool {
				for i, vm := range []string{"vm-a", "vm-b", "vm-c"} {
					if status, _ := s.call(vm, http.MethodGet, "/look/x", newID(), i*20000); status != http.StatusOK {
						return false
					}
				}
				return true
			})
		})
	}
}

// TestLeave: a gateway that is told to end hands over what it leads and keeps,
// and cuts no request.
func TestLeave(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	counts, stop := s.load()
	for _, vm := range []string{"vm-a", "vm-b"} {
		old := s.gateway(vm)
		time.Sleep(200 * time.Millisecond)
		// Callers go elsewhere, as the balancer sees to.
		s.mu.Lock()
		s.gateways[vm] = s.gateways["vm-c"]
		s.mu.Unlock()
		is.NoErr(old.router.Leave(context.Background()))
		is.True(!old.router.Ready())
		old.stop()
		s.start(vm)
	}
	stop()
	t.Logf("%d served, %d refused, %d failed", counts.served.Load(), counts.refused.Load(), counts.failed.Load())
	is.Equal(s.fleet.Broken(), nil)
	is.Equal(counts.failed.Load(), int64(0))
}

// TestConfigurationInForce: a route that moves to another service is followed by
// every gateway.
func TestConfigurationInForce(t *testing.T) {
	s := newSystem(t)
	s.configure(divided, divided)
	for _, vm := range []string{"vm-a", "vm-b", "vm-c"} {
		s.await("bookings of "+vm+" go to the other service", func() bool {
			status, body := s.call(vm, http.MethodPost, "/book/1", newID(), 9)
			return status == http.StatusOK && strings.HasPrefix(body, "board-")
		})
	}
	status, _ := s.call("vm-a", http.MethodGet, "/nowhere/", newID(), 1)
	if status != http.StatusNotFound {
		t.Errorf("a route that never was got %d", status)
	}
}

// TestCrashRequest: a request that ends each upstream that runs it is refused by
// every gateway once it has ended three, and all others go on.
func TestCrashRequest(t *testing.T) {
	is := is.New(t)
	s := newSystem(t)
	for i := 2; i < 10; i++ {
		s.upstream(fmt.Sprintf("tow-%d", i), undivided, netip.AddrPort{})
	}
	sent := 0
	s.await("the request is refused everywhere", func() bool {
		refused := 0
		for _, vm := range []string{"vm-a", "vm-b", "vm-c"} {
			sent++
			status, _ := s.call(vm, http.MethodPost, "/book/crash", newID(), 1)
			if status == http.StatusServiceUnavailable {
				refused++
			}
		}
		return refused == 3
	})
	ended := 0
	for _, u := range s.ups {
		if u.Ended() {
			ended++
		}
	}
	t.Logf("%d upstreams ended by %d requests", ended, sent)
	is.True(ended >= 3 && ended <= 6) // three to convict, and those that were under way
	status, _ := s.call("vm-b", http.MethodPost, "/book/other", newID(), 1)
	is.Equal(status, http.StatusOK)
}
