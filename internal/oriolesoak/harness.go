package oriolesoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/platform"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// zones are the availability zones of the VMs and upstreams.
var zones = []string{"north", "south", "west"}

// harness runs the store, the upstreams, the gateway processes and the proxies of a
// soak, and records events and violations.
type harness struct {
	runDir   runDir
	rng      *rand.Rand
	start    time.Time
	store    *standin.Store
	checker  *standin.Checker
	operator *platform.Client
	vms      []*vm
	cleanups []func()
	// keyed is set if the configurations have workspaces.
	keyed bool

	mu         sync.Mutex
	upstreams  map[string]*upstream
	version    oriole.ConfigVersion
	bookings   string
	events     []string
	violations []string
	// unplannedFaults counts the active unplanned faults, and settledAt is when the
	// effects of the last one are over.
	unplannedFaults int
	settledAt       time.Time
	// resumedAt is when a paused gateway was last resumed.
	resumedAt time.Time
	// stoppedAt holds the time of the last SIGTERM by VM.
	stoppedAt map[string]time.Time
	// backups holds the last copies of the store, the oldest first.
	backups []backup
	// addedUpstreams counts the upstreams added so far, for their IDs and zones.
	addedUpstreams int
}

// upstream is a fake upstream server behind a proxy. Its ID and proxy outlive its
// incarnations.
type upstream struct {
	id, service, zone string
	proxy             *proxy
	mu                sync.Mutex
	server            *standin.Upstream
	kill              func()
}

// backup is a copy of the store.
type backup struct {
	content *standin.Copy
	takenAt time.Time
}

// backupCount is the number of copies that are kept: a restored store is some seconds
// old.
const backupCount = 9

// keepBackup takes a copy of the store, and drops the oldest if there are too many.
func (h *harness) keepBackup() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backups = append(h.backups, backup{h.store.Snapshot(), time.Now()})
	h.backups = h.backups[max(0, len(h.backups)-backupCount):]
}

// settleTime is how long the effects of a fault may last after its end. It is the
// users' window after which a machine counts as reachable again.
const settleTime = 3 * time.Second

// log adds an event to the report.
func (h *harness) log(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf("%7.2f ", time.Since(h.start).Seconds())+fmt.Sprintf(format, args...))
}

// addViolation adds an invariant violation to the report.
func (h *harness) addViolation(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf("%7.2f ", time.Since(h.start).Seconds())+fmt.Sprintf(format, args...))
}

// beginUnplannedFault records the start of an unplanned fault, and returns a
// function that records its end.
func (h *harness) beginUnplannedFault() (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unplannedFaults++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.unplannedFaults--
		h.settledAt = time.Now().Add(settleTime)
	}
}

// settled reports whether no unplanned fault is active and the effects of the last
// one are over.
func (h *harness) settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unplannedFaults == 0 && time.Now().After(h.settledAt)
}

// checkFailedRequest records a violation if a request that an upstream has started
// got no response because its gateway shut down after SIGTERM: a gateway must finish
// the requests that it has accepted before it exits.
func (h *harness) checkFailedRequest(conn *callerConn, id string, sent time.Time, err error) {
	h.mu.Lock()
	stoppedAt, stopped := h.stoppedAt[conn.vm.name]
	settled := h.unplannedFaults == 0 && sent.After(h.settledAt)
	h.mu.Unlock()
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	if stopped && settled && !dialFailed && h.checker.Runs(id) > 0 && sent.After(stoppedAt.Add(-callerDeadline)) && time.Since(stoppedAt) < gracePeriod {
		h.addViolation("running request %s was cut off while %s shut down: %v", id, conn.vm.name, err)
	}
}

// vmWeight returns the weight of the n-th VM of a zone: one in three is large, so
// that soaks of many gateways have some that do not dispatch.
func vmWeight(n int) float64 {
	if n%3 == 0 {
		return 0.8
	}
	return 0.16
}

// maxPeerProxies bounds the number of VMs whose links from other gateways go through a
// proxy, which takes two descriptors of this process for each link.
const maxPeerProxies = 15

// newHarness starts the store, the upstreams and the gateways.
func newHarness(cfg Config, dir runDir) (h *harness, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "starting the test harness") }()
	h = &harness{
		runDir: dir, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), start: time.Now(), store: standin.NewStore(), checker: standin.NewChecker(),
		upstreams: make(map[string]*upstream), stoppedAt: make(map[string]time.Time), bookings: oriolesite.UnshardedService,
		keyed: cfg.Workspaces,
	}
	cleanup = func() {
		for i := len(h.cleanups) - 1; i >= 0; i-- {
			h.cleanups[i]()
		}
	}
	if err := h.build(cfg); err != nil {
		cleanup()
		return nil, nil, err
	}
	return h, cleanup, nil
}

func (h *harness) build(cfg Config) (err error) {
	h.checker.IgnoreGrantsWhile(h.recentlyResumed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h.store, ReadHeaderTimeout: time.Second}
	// Serve returns when cleanup closes the server.
	go func() { _ = server.Serve(listener) }()
	h.cleanups = append(h.cleanups, func() { _ = server.Close() })
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return err
	}
	operator, closeOperator := platform.New(addr, func(string, string, error) {})
	h.operator = operator
	h.cleanups = append(h.cleanups, closeOperator)
	if err := h.configure(oriolesite.UnshardedService); err != nil {
		return err
	}
	for i := range cfg.Upstreams {
		service := oriolesite.ShardedService
		if i%3 == 2 {
			service = oriolesite.UnshardedService
		}
		if err := h.addUpstream(service); err != nil {
			return err
		}
	}
	for i := range cfg.Gateways {
		v, cleanup, err := h.runDir.newVM(fmt.Sprintf("vm-%d", i), zones[i%len(zones)], vmWeight(i/len(zones)), addr, i < maxPeerProxies)
		if err != nil {
			return err
		}
		h.cleanups = append(h.cleanups, cleanup)
		h.vms = append(h.vms, v)
		if err := h.runDir.startGateway(v); err != nil {
			return err
		}
	}
	return nil
}

// resumeSlack is how long delayed lease calls of a paused gateway may still arrive
// after it has resumed.
const resumeSlack = 300 * time.Millisecond

// recentlyResumed reports whether a gateway has resumed within resumeSlack.
func (h *harness) recentlyResumed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.resumedAt) < resumeSlack
}

// workspace is that of the callers if there are workspaces, and apiKey its key.
const (
	workspace = "callers"
	apiKey    = "key-callers"
)

// checkHeader records a violation if a request at an upstream names another workspace than
// the caller's, or has its API key.
func (h *harness) checkHeader(r *http.Request) {
	names := standin.Workspaces(r.Header)
	if h.keyed && (len(names) != 1 || names[0] != workspace || r.Header.Get("Authorization") != "") {
		h.addViolation("request for %s reached an upstream for workspaces %v, or with its key", r.URL.Path, names)
	}
}

// configure writes a configuration that routes bookings to the service.
func (h *harness) configure(bookings string) error {
	ctx := context.Background()
	_, storeVersion, err := h.operator.ReadConfig(ctx)
	if err != nil && !errors.Is(err, oriole.ErrNotFound) {
		return err
	}
	h.mu.Lock()
	h.version += oriole.ConfigVersion(1 + h.rng.IntN(5))
	cfg := oriolesite.Configuration(h.version, oriolesite.ShardedService, bookings)
	h.mu.Unlock()
	if h.keyed {
		// Each version has one more key, of another workspace, that the next removes.
		cfg.Keyed = true
		cfg.Workspaces = []oriole.Workspace{{Name: workspace, Secrets: []oriole.Secret{apiKey}}, {Name: "other", Secrets: []oriole.Secret{oriole.Secret("key-" + cfg.Version.String())}}}
	}
	if err := h.operator.WriteConfig(ctx, cfg, storeVersion); err != nil {
		return err
	}
	h.mu.Lock()
	h.bookings = bookings
	h.mu.Unlock()
	return nil
}

// addUpstream starts a new upstream of the service behind a new proxy.
func (h *harness) addUpstream(service string) error {
	h.mu.Lock()
	h.addedUpstreams++
	// The offset grows after each round of the zones. Without it, all upstreams of
	// the unsharded service, every third one, would start in the same zone.
	u := &upstream{id: fmt.Sprintf("%s-%d", service, h.addedUpstreams), service: service, zone: zones[(h.addedUpstreams+h.addedUpstreams/len(zones))%len(zones)]}
	h.mu.Unlock()
	p, cleanup, err := newProxy()
	if err != nil {
		return err
	}
	u.proxy = p
	h.mu.Lock()
	h.cleanups = append(h.cleanups, cleanup)
	h.mu.Unlock()
	return h.startUpstream(u)
}

// startUpstream starts a new incarnation of the upstream.
func (h *harness) startUpstream(u *upstream) error {
	options := []standin.Option{standin.WithAdvertisedAddr(u.proxy.addr), standin.WithColdDuration(500 * time.Millisecond), standin.WithRequestDuration(8 * time.Millisecond), standin.WithRecorder(h.checkHeader)}
	if u.service == oriolesite.ShardedService {
		options = append(options, standin.WithSharding())
	}
	server, kill, err := standin.NewUpstream(h.checker, h.store, u.id, u.service, u.zone, netip.AddrPort{}, options...)
	if err != nil {
		return err
	}
	u.proxy.setTarget(server.Addr())
	u.mu.Lock()
	u.server, u.kill = server, kill
	u.mu.Unlock()
	h.mu.Lock()
	h.upstreams[u.id] = u
	h.cleanups = append(h.cleanups, kill)
	h.mu.Unlock()
	return nil
}

// randomUpstream returns a random upstream of a service that has more than two, or
// nil if there is none.
func (h *harness) randomUpstream() *upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := make(map[string]int)
	for _, u := range h.upstreams {
		counts[u.service]++
	}
	var candidates []*upstream
	// The order of the candidates is fixed, unlike that of a map, so that the choice
	// depends on the seed.
	for i := 1; i <= h.addedUpstreams; i++ {
		for _, service := range []string{oriolesite.ShardedService, oriolesite.UnshardedService} {
			if u := h.upstreams[fmt.Sprintf("%s-%d", service, i)]; u != nil && counts[u.service] > 2 {
				candidates = append(candidates, u)
			}
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[h.rng.IntN(len(candidates))]
}

func (h *harness) removeUpstream(u *upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.upstreams, u.id)
}

func (h *harness) randomVM() *vm { return h.randomVMOf(h.vms) }

func (h *harness) randomVMOf(vms []*vm) *vm {
	h.mu.Lock()
	defer h.mu.Unlock()
	return vms[h.rng.IntN(len(vms))]
}

// randomDuration returns a random duration that is at least lower and below upper.
func (h *harness) randomDuration(lower, upper time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return lower + time.Duration(h.rng.Int64N(int64(upper-lower)))
}
