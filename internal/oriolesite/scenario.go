package oriolesite

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// ErrUnknownScenario is returned if no scenario has the name.
var ErrUnknownScenario = errors.New("no such scenario")

// Scenario injects faults or makes planned changes on a site under load.
type Scenario struct {
	Name string
	Run  func(s *Site) error
	// MinServedRatio is the least share of requests, from 0 to 1, that must be
	// served during the scenario.
	MinServedRatio float64
}

// VMs are the names of the VMs of a site that scenarios run on.
var VMs = []string{"vm-a", "vm-b", "vm-c"}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", func(*Site) error {
			time.Sleep(time.Second)
			return nil
		}, 0.99},
		{"drain", drainUpstream, 0.98},
		{"crash", restartUpstream, 0.8},
		{"reuse", reuseAddress, 0.8},
		{"join", joinUpstreams, 0.98},
		{"store-down", func(s *Site) error {
			s.Store.SetDown(true)
			time.Sleep(2 * time.Second)
			s.Store.SetDown(false)
			time.Sleep(time.Second)
			return nil
		}, 0.98},
		{"store-lost", dropStoreResponses, 0.98},
		{"restart-all", restartGateways, 0.3},
		{"store-restored", func(s *Site) error { return restoreStore(s, 0, doNothing, doNothing) }, 0.9},
		{"store-restored-overtaken", func(s *Site) error { return restoreStore(s, 0, doNothing, overtakeRevisions) }, 0.9},
		{"store-restored-late", func(s *Site) error { return restoreStore(s, rewriteDelay, leaveAtOnce, doNothing) }, 0.9},
		{"store-restored-restart", func(s *Site) error { return restoreStore(s, 0, restartGateway, doNothing) }, 0.9},
	}
}

// FindScenario returns the scenario with the name.
func FindScenario(name string) (Scenario, error) {
	all := Scenarios()
	i := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if i < 0 {
		return Scenario{}, errors.Wrap(ErrUnknownScenario, name)
	}
	return all[i], nil
}

// drainUpstream drains an upstream and stops it.
func drainUpstream(s *Site) error {
	u := s.Upstreams()["board-0"]
	u.Drain()
	time.Sleep(time.Second)
	if err := u.Deregister(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// restartUpstream stops an upstream, removes its entry and restarts it with the
// same ID and address.
func restartUpstream(s *Site) error {
	u := s.Upstreams()["board-1"]
	if err := u.Deregister(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := s.StartUpstream("board-1", ShardedService, u.Addr(), standin.WithSharding()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// reuseAddress stops an upstream and starts one of another service on its address.
func reuseAddress(s *Site) error {
	u := s.Upstreams()["board-2"]
	if err := u.Deregister(); err != nil {
		return err
	}
	if _, err := s.StartUpstream("tow-9", UnshardedService, u.Addr()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// joinUpstreams adds two upstreams; one of them starts cold.
func joinUpstreams(s *Site) error {
	if _, err := s.StartUpstream("board-8", ShardedService, netip.AddrPort{}, standin.WithSharding(), standin.WithColdDuration(500*time.Millisecond)); err != nil {
		return err
	}
	if _, err := s.StartUpstream("board-9", ShardedService, netip.AddrPort{}, standin.WithSharding()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// dropStoreResponses makes the store apply the gateways' writes without a response
// while an upstream joins, then discards the store's history.
func dropStoreResponses(s *Site) error {
	s.Store.SetDropResponses(true)
	if _, err := s.StartUpstream("board-8", ShardedService, netip.AddrPort{}, standin.WithSharding()); err != nil {
		return err
	}
	time.Sleep(time.Second)
	s.Store.Compact()
	s.Store.SetDropResponses(false)
	time.Sleep(time.Second)
	return nil
}

// restartGateways stops all gateways and then restarts them.
func restartGateways(s *Site) error {
	for _, vm := range VMs {
		s.Gateway(vm).Stop()
	}
	for _, vm := range VMs {
		if err := s.StartGateway(vm); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

const (
	// handoverTime is how long the ranges of an upstream that drains take to move.
	handoverTime = time.Second
	// restoreOutage is how long the store is down before it is restored.
	restoreOutage = 500 * time.Millisecond
	// stableWindow is the time after a fault of the store from which the users' bounds
	// hold again.
	stableWindow = 3 * time.Second
	// rewriteDelay is less than the two seconds within which entries that expired while
	// the store was unavailable are back.
	rewriteDelay = 1500 * time.Millisecond
	// overtakingUpstreams exceeds the number of the gateways' writes that are lost.
	overtakingUpstreams = 16
)

// restoreStore restores the store from a copy that is older than a change of the
// configuration, an upstream that has left, one that has joined and the ranges that
// moved with them; then it makes such changes again. What was written since the copy is
// written again the delay after the store's return. It calls before when the copy was
// taken, and returned when the store has returned.
func restoreStore(s *Site, delay time.Duration, before, returned func(*Site) error) error {
	backup := s.Store.Snapshot()
	if err := before(s); err != nil {
		return err
	}
	if err := s.Configure(ShardedService, ShardedService); err != nil {
		return err
	}
	if _, err := s.StartUpstream("board-8", ShardedService, netip.AddrPort{}, standin.WithSharding()); err != nil {
		return err
	}
	if err := s.drainAndLeave("board-0"); err != nil {
		return err
	}
	if err := s.ConfigureAddedRoute("pay", UnshardedService); err != nil {
		return err
	}
	time.Sleep(configTimeout)
	s.Store.SetDown(true)
	time.Sleep(restoreOutage)
	rewrite := s.Store.SetBack(backup)
	if delay == 0 {
		rewrite()
	}
	s.Store.SetDown(false)
	if delay > 0 {
		time.Sleep(delay)
		rewrite()
	}
	if err := returned(s); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	if err := s.ConfigureAddedRoute("refund", ShardedService); err != nil {
		return err
	}
	if err := s.drainAndLeave("board-1"); err != nil {
		return err
	}
	time.Sleep(configTimeout + time.Second)
	return nil
}

func doNothing(*Site) error { return nil }

// overtakeRevisions lets an upstream leave, changes the configuration, and adds as many
// upstreams as it takes for the store's revision to exceed what the gateways saw before
// it was restored.
func overtakeRevisions(s *Site) error {
	if err := s.Upstreams()["tow-0"].Leave(); err != nil {
		return err
	}
	if err := s.ConfigureAddedRoute("fee", UnshardedService); err != nil {
		return err
	}
	for i := range overtakingUpstreams {
		if _, err := s.StartUpstream(fmt.Sprintf("tow-%d", 10+i), UnshardedService, netip.AddrPort{}); err != nil {
			return err
		}
	}
	return nil
}

// leaveAtOnce makes an upstream of the unsharded service leave without notice.
func leaveAtOnce(s *Site) error { return s.Upstreams()["tow-0"].Leave() }

// restartGateway restarts a gateway, so that its entry is newer than the copy.
func restartGateway(s *Site) error {
	s.Gateway("vm-c").Stop()
	return s.StartGateway("vm-c")
}

// drainAndLeave drains an upstream, and lets it leave once its ranges have moved.
func (s *Site) drainAndLeave(id string) error {
	u := s.Upstreams()[id]
	u.Drain()
	time.Sleep(handoverTime)
	return u.Leave()
}
