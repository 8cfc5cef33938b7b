package oriolesite

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// ErrUnknown is returned if no scenario has the name.
var ErrUnknown = errors.New("no such trouble")

// Trouble is a scenario of faults or planned changes on a site under load.
type Trouble struct {
	Name string
	Run  func(s *Site) error
	// Served is the least share of requests, from 0 to 1, that must be served during
	// the scenario.
	Served float64
}

// VMs are the names of the VMs of a site that scenarios run on.
var VMs = []string{"vm-a", "vm-b", "vm-c"}

// Troubles returns all scenarios.
func Troubles() []Trouble {
	return []Trouble{
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
		{"store-lost", loseStoreState, 0.98},
		{"restart-all", restartGateways, 0.3},
	}
}

// Find returns the scenario with the name.
func Find(name string) (Trouble, error) {
	all := Troubles()
	i := slices.IndexFunc(all, func(t Trouble) bool { return t.Name == name })
	if i < 0 {
		return Trouble{}, errors.Wrap(ErrUnknown, name)
	}
	return all[i], nil
}

// drainUpstream drains an upstream and stops it.
func drainUpstream(s *Site) error {
	u := s.Upstreams()["board-0"]
	u.Drain()
	time.Sleep(time.Second)
	if err := u.Leave(); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}

// restartUpstream stops an upstream, removes its entry and restarts it with the
// same ID and address.
func restartUpstream(s *Site) error {
	u := s.Upstreams()["board-1"]
	if err := u.Leave(); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	if _, err := s.Upstream("board-1", Divided, u.Addr(), standin.Divided()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// reuseAddress stops an upstream and starts one of another service on its address.
func reuseAddress(s *Site) error {
	u := s.Upstreams()["board-2"]
	if err := u.Leave(); err != nil {
		return err
	}
	if _, err := s.Upstream("tow-9", Undivided, u.Addr()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// joinUpstreams adds two upstreams; one of them starts cold.
func joinUpstreams(s *Site) error {
	if _, err := s.Upstream("board-8", Divided, netip.AddrPort{}, standin.Divided(), standin.WithCold(500*time.Millisecond)); err != nil {
		return err
	}
	if _, err := s.Upstream("board-9", Divided, netip.AddrPort{}, standin.Divided()); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

// loseStoreState makes the store drop responses to writes while an upstream joins,
// then discards its history.
func loseStoreState(s *Site) error {
	s.Store.SetLosing(true)
	if _, err := s.Upstream("board-8", Divided, netip.AddrPort{}, standin.Divided()); err != nil {
		return err
	}
	time.Sleep(time.Second)
	s.Store.Compact()
	s.Store.SetLosing(false)
	time.Sleep(time.Second)
	return nil
}

// restartGateways stops all gateways and then restarts them.
func restartGateways(s *Site) error {
	for _, vm := range VMs {
		s.Gateway(vm).Stop()
	}
	for _, vm := range VMs {
		if err := s.Start(vm); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}
