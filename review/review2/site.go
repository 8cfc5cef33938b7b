package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/platform/standin"
	"github.com/orioleswitch/orioleswitch/platform/wire"
)

const (
	host = "derwent.example"
	// The paths of the routes, and the service that both lead to.
	lookups  = "/lookups/"
	bookings = "/bookings/"
	batches  = "/batches/"
	service  = "stall-board"
	// firstPort is below the ports of outgoing connections, and ports is how many are tried.
	firstPort = 12000
	ports     = 16000
)

// site is a store, the upstreams of one service and gateways, on loopback addresses.
type site struct {
	dir       string
	record    *os.File
	began     time.Time
	store     netip.AddrPort
	registry  *standin.RemoteStore
	checker   *standin.Checker
	gateways  []*gateway
	processes []*exec.Cmd
	stops     []func()

	mu sync.Mutex
}

// gateway is a gateway process.
type gateway struct {
	vm, settings   string
	callers, ready netip.AddrPort
	process        *os.Process
	// isReady is what the platform's last check of its readiness found; site.mu guards it.
	isReady bool
}

// newSite starts a store and writes the configuration.
func newSite(folder string) (s *site, err error) {
	s = &site{began: time.Now()}
	if s.dir, err = os.MkdirTemp("", "review2"); err != nil {
		return nil, err
	}
	if s.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, err
	}
	s.store = addrs[0]
	if _, err := s.start("store", "target/oriolestandin", "store", "--listen", s.store.String()); err != nil {
		return s, err
	}
	s.registry = standin.NewRemoteStore(s.store)
	return s, s.retry("write the configuration", func() error { return s.registry.Put("config", "main", configuration()) })
}

// configuration returns a configuration with the limits, timeouts and kinds of the users' sheets.
func configuration() wire.Config {
	name := service
	rule := func(rule, kind, prefix string, priority int, target, timeout float64) wire.Rule {
		return wire.Rule{
			Name: rule, Kind: kind, TargetLatencyMs: target, Priority: priority, Match: wire.Match{PathPrefix: prefix},
			Action: wire.Action{Service: &name, TimeoutMs: timeout, MaxAttempts: 2},
		}
	}
	towRule, other := rule("r-tows", "non_idempotent", tows, 0, 200, 800), undivided
	towRule.Action.Service = &other
	return wire.Config{
		Version: 7,
		Limits:  wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Listeners: []wire.Listener{{Host: host, Rules: []wire.Rule{
			rule("r-lookups", "idempotent", lookups, 2, 300, 1200),
			rule("r-bookings", "non_idempotent", bookings, 1, 400, 1500),
			rule("r-batches", "upload", batches, 2, 4000, 8000),
			towRule,
		}}},
		Clusters: []wire.Cluster{{
			Name: service, HealthPath: "/healthz", MaxConns: 590, Protocol: "h1", ColdS: 3, ColdPerS: 6.7, Sharded: true, WarmS: 3, Grants: "rpc",
		}, {
			Name: undivided, HealthPath: "/healthz", MaxConns: 590, Protocol: "h1", ColdS: 3, ColdPerS: 6.7,
		}},
	}
}

// triedPorts is the number of ports that freeAddrs has tried.
var triedPorts int

// freeAddrs returns n addresses on which nothing listens, each of them once.
func freeAddrs(n int) (addrs []netip.AddrPort, err error) {
	for ; triedPorts < ports && len(addrs) < n; triedPorts++ {
		port := firstPort + (os.Getpid()*64+triedPorts)%ports
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		_ = l.Close()
		addrs = append(addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)))
	}
	if len(addrs) < n {
		return nil, fmt.Errorf("%d ports needed, %d free", n, len(addrs))
	}
	return addrs, nil
}

// start starts a program, whose output goes to a file of the site's folder.
func (s *site) start(name string, command ...string) (*os.Process, error) {
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, cmd)
	return cmd.Process, nil
}

// stop ends all that the site has started.
func (s *site) stop() {
	for _, stop := range s.stops {
		stop()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.processes {
		// It may have ended.
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = s.record.Close()
	_ = os.RemoveAll(s.dir)
}

// startUpstreams starts upstreams that are placed in the zones in turn.
func (s *site) startUpstreams(n int, work time.Duration, zones ...string) error {
	s.checker = standin.NewChecker()
	for i := range n {
		id := service + "-" + strconv.Itoa(i)
		_, stop, err := standin.NewUpstream(s.checker, s.registry, id, service, zones[i%len(zones)], netip.AddrPort{},
			standin.WithSharding(), standin.WithRequestDuration(work),
			standin.WithRecorder(func(r *http.Request) { s.log("run %s by %s", r.Header.Get("X-Attempt-Id"), id) }))
		if err != nil {
			return err
		}
		s.stops = append(s.stops, stop)
	}
	return nil
}

// startGateway starts a gateway with the settings that the deploy file's template gives for
// a machine of the size. Peers connect to it at reach, if that is valid.
func (s *site) startGateway(vm, zone string, memoryMB, descriptors int, weight float64, through func(peers netip.AddrPort) (reach netip.AddrPort, err error)) error {
	a, err := freeAddrs(4)
	if err != nil {
		return err
	}
	settings := map[string]any{
		"vm": vm, "zone": zone, "callers": a[0], "ready": a[1], "peers": a[2], "metrics": a[3], "store": s.store,
		"weight": weight, "link": 1000.0, "memory": memoryMB, "grace": "6s", "clients": map[string]any{"descriptors": descriptors},
	}
	if through != nil {
		if settings["reach"], err = through(a[2]); err != nil {
			return err
		}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, vm+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	g := &gateway{vm: vm, callers: a[0], ready: a[1], settings: path}
	if err := s.restart(g); err != nil {
		return err
	}
	s.gateways = append(s.gateways, g)
	if err := s.retry("wait for "+vm, func() error {
		if !answers(g.ready) {
			return fmt.Errorf("%s is not ready", vm)
		}
		return nil
	}); err != nil {
		return err
	}
	go s.checkReadiness(g)
	return nil
}

// restart starts the gateway's process.
func (s *site) restart(g *gateway) (err error) {
	g.process, err = s.start(g.vm, "target/orioleswitch", "run", "--settings", g.settings)
	return err
}

// checkReadiness asks the gateway once a second whether it is ready, as the platform does.
func (s *site) checkReadiness(g *gateway) {
	for misses := 0; ; time.Sleep(time.Second) {
		misses++
		if answers(g.ready) {
			misses = 0
		}
		s.mu.Lock()
		g.isReady = misses < 2
		s.mu.Unlock()
	}
}

// answers reports whether a gateway says that it is ready.
func answers(addr netip.AddrPort) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + addr.String() + "/-/readiness")
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// entry returns the gateway that the platform gives the client's n-th connection to.
func (s *site) entry(client, n int) *gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []*gateway
	for _, g := range s.gateways {
		if g.isReady {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = s.gateways
	}
	return ready[(client+n)%len(ready)]
}

// log writes a line to the record, with the time since the start.
func (s *site) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(line)
}

// say writes a line to the record and to standard output.
func (s *site) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	s.log(format, args...)
}

// retry calls f until it succeeds, for ten seconds.
func (s *site) retry(what string, f func() error) (err error) {
	for range 100 {
		if err = f(); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s: %w", what, err)
}
