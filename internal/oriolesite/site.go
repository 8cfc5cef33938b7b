// Package oriolesite runs a whole site in one process over loopback: fakes of the
// platform's store and upstreams, and real gateways. The demo command and tests
// use it.
package oriolesite

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/platform"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// The services of a site. Lookups and signing requests go to the sharded one,
// bookings to the other.
const (
	ShardedService   = "board"
	UnshardedService = "tow"
)

// Host is the host name in callers' requests.
const Host = "park.example"

const (
	// gracePeriod and memoryLimit are those of a gateway on the users' smallest VMs.
	gracePeriod = 6 * time.Second
	memoryLimit = 184 << 20
	// recoveryTimeout bounds the wait for an awaited condition, such as that a
	// gateway is ready. It is the platform's bound for recovery from a total outage.
	recoveryTimeout = 15 * time.Second
	// pollInterval is the pause between checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// Site is a running site: a store, upstreams, and a gateway on each VM.
type Site struct {
	Store   *standin.Store
	Checker *standin.Checker

	cfg         Config
	storeAddr   netip.AddrPort
	storeServer *http.Server
	mu          sync.Mutex
	// gateways holds the gateway that serves the callers of each VM.
	gateways map[string]*Gateway
	// storeUnresponsive holds the VMs whose store calls get no response.
	storeUnresponsive map[string]bool
	upstreams         map[string]*standin.Upstream
	cleanups          []func()
	version           oriole.ConfigVersion
	// published holds the configurations that were written, in order, and seen when
	// each gateway was first seen to use one.
	published []publishedConfig
	seen      map[*Gateway][]seenConfig
}

// Gateway is a running gateway.
type Gateway struct {
	Router     *oriolerouter.Router
	CallerAddr netip.AddrPort
	// AdminAddr serves metrics.
	AdminAddr netip.AddrPort
	// Stop shuts the gateway down at once, without draining it.
	Stop func()
}

// Config describes a site.
type Config struct {
	// ShardedUpstreams is the number of upstreams of the sharded service.
	ShardedUpstreams int
	// UnshardedUpstreams is the number of upstreams of the other service.
	UnshardedUpstreams int
	// Options apply to all upstreams.
	Options []standin.Option
	// VMs are the names of the VMs; each runs a gateway.
	VMs []string
	// RevocationBound is that of all gateways, or 0 for none.
	RevocationBound time.Duration
	// Log returns the writer of the log of a VM's gateway; if it is nil, logs are
	// discarded.
	Log func(vm string) io.Writer
}

// New starts a site, and returns when it serves a request for the sharded service.
// The cleanup function stops everything.
func New(cfg Config) (s *Site, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "starting a site") }()
	s = &Site{
		Store: standin.NewStore(), Checker: standin.NewChecker(), cfg: cfg,
		gateways: make(map[string]*Gateway), storeUnresponsive: make(map[string]bool), upstreams: make(map[string]*standin.Upstream),
		seen: make(map[*Gateway][]seenConfig),
	}
	cleanup = s.stop
	if err := s.start(); err != nil {
		cleanup()
		return nil, nil, err
	}
	return s, cleanup, nil
}

func (s *Site) start() (err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if s.storeAddr, err = netip.ParseAddrPort(listener.Addr().String()); err != nil {
		return err
	}
	s.storeServer = &http.Server{Handler: s.Store}
	// Serve returns when the site stops.
	go func() { _ = s.storeServer.Serve(listener) }()
	if err := s.Configure(ShardedService, UnshardedService); err != nil {
		return err
	}
	for i := range s.cfg.ShardedUpstreams {
		if _, err := s.StartUpstream(fmt.Sprintf("%s-%d", ShardedService, i), ShardedService, netip.AddrPort{}, standin.WithSharding()); err != nil {
			return err
		}
	}
	for i := range s.cfg.UnshardedUpstreams {
		if _, err := s.StartUpstream(fmt.Sprintf("%s-%d", UnshardedService, i), UnshardedService, netip.AddrPort{}); err != nil {
			return err
		}
	}
	for _, vm := range s.cfg.VMs {
		if err := s.StartGateway(vm); err != nil {
			return err
		}
	}
	return s.Await("a request for the sharded service is served", func() bool {
		res := s.Call(s.cfg.VMs[0], Request{Method: http.MethodGet, Path: "/look/", ShardKey: 7})
		return res.Status == http.StatusOK
	})
}

func (s *Site) stop() {
	s.mu.Lock()
	gateways := s.gateways
	cleanups := s.cleanups
	s.mu.Unlock()
	for _, g := range gateways {
		g.Stop()
	}
	for _, cleanup := range cleanups {
		cleanup()
	}
	if s.storeServer != nil {
		// All clients have stopped, so cutting their connections is safe.
		_ = s.storeServer.Close()
	}
}

// Configure writes a configuration that routes lookups and signing requests to one
// service, and bookings to another.
func (s *Site) Configure(lookups, bookings string) error {
	return s.configure(Configuration(0, lookups, bookings))
}

// ConfigureWithoutRoute writes the initial configuration without the route.
func (s *Site) ConfigureWithoutRoute(route string) error {
	cfg := Configuration(0, ShardedService, UnshardedService)
	cfg.Routes = slices.DeleteFunc(cfg.Routes, func(r oriole.Route) bool { return r.Name == route })
	return s.configure(cfg)
}

// ConfigureAddedRoute writes the last configuration with one more route, which sends
// idempotent requests to the service.
func (s *Site) ConfigureAddedRoute(name, service string) error {
	return s.ConfigureChanged(func(cfg *oriole.Config) { cfg.Routes = append(cfg.Routes, newRoute(name, service, true)) })
}

// ConfigureChanged writes the last configuration with a change. The routes are a copy.
func (s *Site) ConfigureChanged(change func(*oriole.Config)) error {
	s.mu.Lock()
	cfg := *s.published[len(s.published)-1].cfg
	s.mu.Unlock()
	cfg.Routes = slices.Clone(cfg.Routes)
	change(&cfg)
	return s.configure(&cfg)
}

// ConfigureWorkspaces writes the initial configuration with the workspaces.
func (s *Site) ConfigureWorkspaces(workspaces ...oriole.Workspace) error {
	cfg := Configuration(0, ShardedService, UnshardedService)
	cfg.Keyed, cfg.Workspaces = true, workspaces
	return s.configure(cfg)
}

// configure writes a configuration with the next version number.
func (s *Site) configure(cfg *oriole.Config) (err error) {
	defer func() { err = errors.Wrap(err, "configuring the site") }()
	s.version++
	cfg.Version = s.version
	operator, cleanup := platform.New(s.storeAddr, func(string, string, error) {})
	defer cleanup()
	var storeVersion oriole.Version
	if s.version > 1 {
		if _, storeVersion, err = operator.ReadConfig(context.Background()); err != nil {
			return err
		}
	}
	s.mu.Lock()
	n := len(s.published)
	s.published = append(s.published, publishedConfig{cfg: cfg})
	s.mu.Unlock()
	if err := operator.WriteConfig(context.Background(), cfg, storeVersion); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published[n].confirmedAt = time.Now()
	return nil
}

// initialRoutes is the number of routes that Configuration returns.
const initialRoutes = 3

// Configuration returns a configuration that routes lookups and signing requests to
// one service, and bookings to another.
func Configuration(version oriole.ConfigVersion, lookups, bookings string) *oriole.Config {
	service := func(name string, sharded bool) oriole.Service {
		return oriole.Service{
			Name: oriole.ServiceName(name), MaxConns: 45, ColdDuration: 100 * time.Millisecond, ColdRate: 50, Sharded: sharded, HealthPath: "/healthz",
		}
	}
	return &oriole.Config{
		Version: version,
		Limits:  oriole.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes:  []oriole.Route{newRoute("look", lookups, true), newRoute("sign", lookups, false), newRoute("book", bookings, false)},
		Services: map[oriole.ServiceName]oriole.Service{
			ShardedService: service(ShardedService, true), UnshardedService: service(UnshardedService, false),
		},
	}
}

// newRoute returns a route for paths that start with its name.
func newRoute(name, service string, idempotent bool) oriole.Route {
	return oriole.Route{
		Name: name, Host: Host, Prefix: "/" + name + "/", Idempotent: idempotent, LatencyTarget: 300 * time.Millisecond,
		Timeout: callerDeadline, MaxAttempts: 2, Shares: []oriole.Share{{Service: oriole.ServiceName(service), Weight: 1}},
	}
}

// StartUpstream starts an upstream that listens on the address, or on any loopback
// port if the address is not valid.
func (s *Site) StartUpstream(id, service string, addr netip.AddrPort, options ...standin.Option) (u *standin.Upstream, err error) {
	options = append(slices.Clone(s.cfg.Options), options...)
	u, cleanup, err := standin.NewUpstream(s.Checker, s.Store, id, service, "z", addr, options...)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams[id] = u
	s.cleanups = append(s.cleanups, cleanup)
	return u, nil
}

// Upstreams returns the upstreams by ID, including those that have stopped.
func (s *Site) Upstreams() map[string]*standin.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	upstreams := make(map[string]*standin.Upstream, len(s.upstreams))
	for id, u := range s.upstreams {
		upstreams[id] = u
	}
	return upstreams
}

// SetStoreUnresponsive makes store calls of the VM hang without a response.
func (s *Site) SetStoreUnresponsive(vm string, unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeUnresponsive[vm] = unresponsive
}

// serveStoreTo starts a store listener for one VM, so that the calls of this VM
// alone can be made to hang, and returns its address.
func (s *Site) serveStoreTo(vm string) (addr netip.AddrPort, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return addr, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		unresponsive := s.storeUnresponsive[vm]
		s.mu.Unlock()
		if unresponsive {
			// Hangs until the caller times out.
			<-r.Context().Done()
			return
		}
		s.Store.ServeHTTP(w, r)
	})}
	// Serve returns when the site stops.
	go func() { _ = server.Serve(listener) }()
	s.mu.Lock()
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
	s.mu.Unlock()
	return netip.ParseAddrPort(listener.Addr().String())
}

// StartGateway starts a gateway on the VM with a store listener of its own, and
// returns when it is ready.
func (s *Site) StartGateway(vm string) (err error) {
	defer func() { err = errors.Wrapf(err, "starting a gateway on %s", vm) }()
	storeAddr, err := s.serveStoreTo(vm)
	if err != nil {
		return err
	}
	settings := oriolerouter.Settings{VM: vm, Zone: "z", StoreAddr: storeAddr, MemoryLimit: memoryLimit, GracePeriod: gracePeriod, RevocationBound: s.cfg.RevocationBound}
	addrs, err := FreeAddrs(4)
	if err != nil {
		return err
	}
	settings.CallerAddr, settings.ReadinessAddr, settings.PeerAddr, settings.AdminAddr = addrs[0], addrs[1], addrs[2], addrs[3]
	gateway, closeGateway, err := oriolegateway.New(settings, s.logWriter(vm), log.InfoLevel)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := gateway.ServeBackground(ctx)
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			<-ended
			closeGateway()
		})
	}
	s.mu.Lock()
	s.gateways[vm] = &Gateway{Router: gateway.Router, CallerAddr: settings.CallerAddr, AdminAddr: settings.AdminAddr, Stop: stop}
	s.cleanups = append(s.cleanups, stop)
	s.mu.Unlock()
	return s.Await(vm+" is ready", gateway.Ready)
}

func (s *Site) logWriter(vm string) io.Writer {
	if s.cfg.Log == nil {
		return io.Discard
	}
	return s.cfg.Log(vm)
}

// Gateway returns the gateway that serves the callers of the VM.
func (s *Site) Gateway(vm string) *Gateway {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[vm]
}

// Redirect sends the callers of one VM to the gateway of another, as the platform's
// load balancer does.
func (s *Site) Redirect(from, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways[from] = s.gateways[to]
}

// Await polls until the condition holds, and returns an error with its description
// if it does not within recoveryTimeout.
func (s *Site) Await(description string, holds func() bool) error {
	for deadline := time.Now().Add(recoveryTimeout); !holds(); {
		if time.Now().After(deadline) {
			return errors.Errorf("timed out after %s waiting until %s", recoveryTimeout, description)
		}
		time.Sleep(pollInterval)
	}
	return nil
}
