// Package orioledemo runs the stand-ins and several gateways in one process,
// joined over loopback sockets, under load and faults, and judges them.
package orioledemo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolecontrol"
	"github.com/orioleswitch/orioleswitch/internal/oriolejudge"
	"github.com/orioleswitch/orioleswitch/internal/orioleplatform"
	"github.com/orioleswitch/orioleswitch/internal/oriolestandin"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// listLag is how late the platform's list of VMs is.
const listLag = 500 * time.Millisecond

// zones are the availability zones of Derwent.
var zones = []oriole.ZoneName{"new-norfolk", "bridgewater", "granton", "hobart-wharf"}

// layout gives the sizes of a system.
type layout struct {
	stall    serviceLayout
	barge    serviceLayout
	gateways int
}

// serviceLayout gives the sizes of one service.
type serviceLayout struct {
	upstreams int
	groups    int
	slots     int
	work      time.Duration
}

// derwent has the sizes of the brief but for the gateways, which share one
// machine here.
var derwent = layout{
	stall:    serviceLayout{upstreams: 25, groups: 5, slots: 2, work: 2 * time.Millisecond},
	barge:    serviceLayout{upstreams: 8, groups: 2, slots: 2, work: 2 * time.Millisecond},
	gateways: 8,
}

// demoSecret is the secret of the demo's gateways; they listen on loopback
// only.
const demoSecret = "demo-secret-on-loopback"

// system is the whole demo: platform, upstreams and gateways.
type system struct {
	// ctx ends with the demo, after the load.
	ctx       context.Context
	seed      uint64
	layout    layout
	judge     *oriolejudge.Judge
	platform  *oriolestandin.Platform
	settings  orioleconfig.Settings
	upstreams []*oriolestandin.Upstream
	logger    log.Interface
	cleanups  []func()

	mu       sync.Mutex
	gateways []*member
	started  int
	cut      map[[2]oriole.GatewayID]bool
	// published is the base file in the store, nil while there is none.
	published []byte
}

// member is one gateway of the demo.
type member struct {
	id      oriole.GatewayID
	zone    oriole.ZoneName
	gateway *oriolegateway.Gateway
	gate    *gate
	stop    context.CancelFunc
	ended   chan struct{}
	ready   bool
	gone    bool
}

// gate pauses all duties of a gateway.
type gate struct {
	mu   sync.Mutex
	held chan struct{}
}

// Wait implements oriole.Gate.
func (g *gate) Wait(ctx context.Context) {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held == nil {
		return
	}
	select {
	case <-held:
	case <-ctx.Done():
	}
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = make(chan struct{})
	}
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
		g.held = nil
	}
}

// newSystem starts the platform, the upstreams and the gateways.
func newSystem(ctx context.Context, sizes layout, seed uint64, logger log.Interface) (s *system, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "starting the demo") }()
	s = &system{
		ctx:    ctx,
		seed:   seed,
		layout: sizes,
		judge:  oriolejudge.New(),
		logger: logger,
		cut:    make(map[[2]oriole.GatewayID]bool),
	}
	cleanup = func() {
		for i := len(s.cleanups) - 1; i >= 0; i-- {
			s.cleanups[i]()
		}
	}
	if err := s.start(); err != nil {
		cleanup()
		return nil, nil, err
	}
	return s, cleanup, nil
}

func (s *system) start() error {
	s.platform = oriolestandin.NewPlatform(listLag)
	addr, err := s.serve(s.platform)
	if err != nil {
		return err
	}
	s.settings = orioleconfig.Default()
	s.settings.Name = "derwent"
	s.settings.Zones = zones
	s.settings.Platform = addr
	s.settings.Secret = demoSecret
	s.settings.Services = map[oriole.ServiceName]orioleconfig.Service{}
	if err := s.addService("stall-board", s.layout.stall, true); err != nil {
		return err
	}
	if err := s.addService("bargemaster", s.layout.barge, false); err != nil {
		return err
	}
	s.settings.Index()
	for i := range s.layout.gateways {
		if _, err := s.addGateway(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	return nil
}

// serve runs a handler on a loopback port.
func (s *system) serve(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	s.cleanups = append(s.cleanups, func() { _ = server.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (s *system) addService(name oriole.ServiceName, sizes serviceLayout, divided bool) error {
	service := orioleconfig.Service{
		Divided:    divided,
		Groups:     sizes.groups,
		Fenced:     true,
		Idempotent: []string{"GET", "HEAD"},
		Deadline:   orioleconfig.Span(2 * time.Second),
		Slots:      sizes.slots,
		Cold:       1,
		Conns:      max(120, 2*sizes.slots+2),
		Pick:       "expected",
	}
	if divided {
		service.Slices = 48 * sizes.groups
	}
	for i := range sizes.upstreams {
		cfg := oriolestandin.DefaultUpstreamConfig()
		cfg.Service = name
		cfg.Divided = divided
		cfg.Slots = sizes.slots
		cfg.Work = sizes.work
		cfg.Seed = s.seed + uint64(len(s.upstreams))
		cfg.Upstream = oriole.Upstream{
			ID:   oriole.ServerID(fmt.Sprintf("%s-%02d", name, i+1)),
			Zone: zones[i%len(zones)],
			Addr: netip.MustParseAddrPort("127.0.0.1:0"),
		}
		u, stop, err := oriolestandin.NewUpstream(cfg, s.judge)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, stop)
		s.judge.Watch(u)
		s.upstreams = append(s.upstreams, u)
		service.Upstreams = append(service.Upstreams, orioleconfig.Upstream{Name: u.ID(), Zone: u.Zone(), Addr: u.Addr()})
	}
	s.settings.Services[name] = service
	return nil
}

// addGateway starts one more gateway in the zone.
func (s *system) addGateway(zone oriole.ZoneName) (*member, error) {
	s.mu.Lock()
	s.started++
	number := s.started
	s.mu.Unlock()
	m := &member{
		id:    oriole.GatewayID(fmt.Sprintf("%s-%d", zone, number)),
		zone:  zone,
		gate:  &gate{},
		ended: make(chan struct{}),
	}
	settings := s.settings
	settings.Zone = zone
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	vm := orioleconfig.VM{Name: string(m.id), Callers: loopback, Peers: loopback, Operators: loopback}
	gateway, cleanup, err := oriolegateway.New(m.id, &settings, vm,
		oriolegateway.WithGate(m.gate),
		oriolegateway.WithPass(func(peer oriole.GatewayID) bool { return s.connected(m.id, peer) }),
		oriolegateway.WithLogger(s.logger),
		oriolegateway.WithSeed(s.seed+uint64(number)),
	)
	if err != nil {
		return nil, err
	}
	m.gateway = gateway
	ctx, stop := context.WithCancel(s.ctx)
	m.stop = stop
	go func() {
		// The gateway ends with its context; why does not matter then.
		_ = gateway.Serve(ctx)
		cleanup()
		close(m.ended)
	}()
	s.cleanups = append(s.cleanups, func() { s.kill(m) })
	s.mu.Lock()
	s.gateways = append(s.gateways, m)
	s.mu.Unlock()
	return m, nil
}

// kill ends a gateway at once, as the loss of its VM would.
func (s *system) kill(m *member) {
	s.mu.Lock()
	m.gone = true
	m.ready = false
	s.mu.Unlock()
	m.stop()
	m.gate.release()
	<-m.ended
}

func (s *system) connected(a, b oriole.GatewayID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut[[2]oriole.GatewayID{a, b}] && !s.cut[[2]oriole.GatewayID{b, a}]
}

// setCut cuts or joins two gateways.
func (s *system) setCut(a, b oriole.GatewayID, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[[2]oriole.GatewayID{a, b}] = cut
}

// all returns every gateway that was started.
func (s *system) all() []*member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.gateways)
}

// live returns the gateways that have not ended.
func (s *system) live() []*member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*member
	for _, m := range s.gateways {
		if !m.gone {
			live = append(live, m)
		}
	}
	return live
}

// balance plays the platform's balancer: it asks every gateway whether it is
// ready, until ctx is done.
func (s *system) balance(ctx context.Context) {
	const interval = 50 * time.Millisecond
	client := &http.Client{Timeout: interval}
	for ctx.Err() == nil {
		for _, m := range s.live() {
			go s.ask(ctx, client, m)
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

func (s *system) ask(ctx context.Context, client *http.Client, m *member) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.gateway.Self().Callers.String()+"/ready", nil)
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	ready := false
	if err == nil {
		_ = resp.Body.Close()
		ready = resp.StatusCode == http.StatusOK
	}
	s.mu.Lock()
	m.ready = ready && !m.gone
	s.mu.Unlock()
}

// ready returns the gateways that take callers.
func (s *system) ready() []*member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []*member
	for _, m := range s.gateways {
		if m.ready && !m.gone {
			ready = append(ready, m)
		}
	}
	return ready
}

// waitReady waits until all gateways take callers.
func (s *system) waitReady(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for len(s.ready()) < len(s.live()) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return errors.Errorf("%d of %d gateways are ready after %v", len(s.ready()), len(s.live()), timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// settingsFile is the part of the demo's settings that it changes on the way,
// as a base file.
type settingsFile struct {
	Name     string                                      `json:"name"`
	Zones    []oriole.ZoneName                           `json:"zones"`
	Out      []oriole.ZoneName                           `json:"out,omitempty"`
	Platform netip.AddrPort                              `json:"platform"`
	Secret   string                                      `json:"secret"`
	Services map[oriole.ServiceName]orioleconfig.Service `json:"services"`
}

// base returns the contents of the base file in force.
func (s *system) base() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.published != nil {
		return s.published
	}
	services := make(map[oriole.ServiceName]orioleconfig.Service)
	for name, service := range s.settings.Services {
		services[name] = service
	}
	data, err := json.Marshal(settingsFile{
		Name:     s.settings.Name,
		Zones:    s.settings.Zones,
		Platform: s.settings.Platform,
		Secret:   s.settings.Secret,
		Services: services,
	})
	if err != nil {
		// The types can all be written as JSON.
		panic(err)
	}
	return data
}

// publish writes base settings to the store, as an operator's command does. Of
// several that race only one may win.
func (s *system) publish(value []byte) {
	client, cleanup := orioleplatform.New(s.settings.Platform)
	defer cleanup()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var version oriole.Version
	if object, err := client.Read(ctx, oriolecontrol.SettingsObject); err == nil {
		version = object.Version
	}
	if _, err := client.Write(ctx, oriolecontrol.SettingsObject, value, version); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.published = value
}
