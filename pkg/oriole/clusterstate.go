package oriole

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// PoolID identifies a pool: one upstream of a sharded service, or all upstreams
// in one zone of a service that is not sharded. All requests to a pool are sent
// through one gateway, its dispatcher.
type PoolID struct {
	Service ServiceName
	Zone    ZoneName
	// Server is set only for the pools of sharded services.
	Server ServerID
}

// String returns the pool's name. Gateways are ranked by it to choose the
// pool's dispatcher.
func (p PoolID) String() string {
	return strings.Join([]string{string(p.Service), string(p.Zone), string(p.Server)}, "/")
}

// ClusterState is a gateway's view of the cluster. It is immutable once
// published.
type ClusterState struct {
	// Seq is incremented with each state that the process publishes.
	Seq uint64
	// Config is nil until the first configuration is known. ConfigAt is when
	// this gateway started to use it.
	Config   *Config
	ConfigAt time.Time
	// Upstreams holds every upstream in the directory.
	Upstreams map[ServerID]Upstream
	// Departed holds incarnations that have recently been removed from the
	// directory, or replaced in it. They may still hold leases, which have to be
	// released.
	Departed map[Incarnation]Upstream
	// DirectoryLoaded is set once the directory's lists of upstreams, gateways
	// and evacuated zones have been read.
	DirectoryLoaded bool
	// DirectoryFailedAt is when a call of this gateway to the directory last failed.
	// Upstreams may not have reached it either, and their entries be out of date.
	DirectoryFailedAt time.Time
	// Evacuated holds the zones that operators have evacuated.
	Evacuated map[ZoneName]bool
	// Gateways holds every gateway in the directory, and Alive those that were
	// recently heard from, directly or through a peer, and this one.
	Gateways map[GatewayID]Member
	Alive    map[GatewayID]bool
	// Leaving holds the gateways that are being stopped, also those that have left the
	// directory, for about a minute. They take part in nothing but to dispatch requests for
	// one another.
	Leaving map[GatewayID]LeavingGateway
	// Unheard is set if others that are alive may take this gateway for lost: they don't hear
	// it, or it has lost the monitors.
	Unheard bool
	// Assignments holds the newest known assignment of each sharded service,
	// and AssignedAt when this gateway received it.
	Assignments map[ServiceName]*Assignment
	AssignedAt  map[ServiceName]time.Time

	// largeServices holds the services that routes with large bodies lead to.
	largeServices map[ServiceName]bool
	// index is nil until the state is published. own records which maps belong to
	// this state alone.
	index *stateIndex
	own   ownedMaps
}

// LeavingGateway is a gateway that is being stopped, and when this gateway learned of it.
type LeavingGateway struct {
	Member Member
	Since  time.Time
}

// ownedMaps records which maps of a state are not shared with another one.
type ownedMaps struct {
	upstreams, departed, evacuated, gateways, leaving, assignments bool
}

// stateIndex caches the lookups that are made for each request. A part that is
// nil has to be built.
type stateIndex struct {
	members []Member
	usable  map[ServiceName][]Upstream
}

// BuildIndex precomputes frequent lookups. The state must not be changed
// afterwards.
func (s *ClusterState) BuildIndex() {
	index := &stateIndex{}
	if s.index != nil {
		*index = *s.index
	}
	s.index = nil
	if index.members == nil {
		index.members = s.LiveMembers()
	}
	if index.usable == nil {
		index.usable = make(map[ServiceName][]Upstream)
		for _, u := range s.Upstreams {
			if _, done := index.usable[u.Service]; !done {
				index.usable[u.Service] = s.UsableUpstreams(u.Service)
			}
		}
	}
	s.index = index
}

// Clone returns a copy with the next sequence number. It shares its maps with s
// until one of the Edit methods copies them.
func (s *ClusterState) Clone() *ClusterState {
	next := *s
	next.Seq++
	next.own = ownedMaps{}
	if s.index != nil {
		index := *s.index
		next.index = &index
	}
	return &next
}

// edit returns the map to change, which is a copy unless the state owns it.
func edit[K comparable, V any](m *map[K]V, owned *bool) map[K]V {
	if !*owned {
		*m, *owned = maps.Clone(*m), true
	}
	return *m
}

// EditUpstreams returns Upstreams for changes.
func (s *ClusterState) EditUpstreams() map[ServerID]Upstream {
	s.dropUsable()
	return edit(&s.Upstreams, &s.own.upstreams)
}

// EditDeparted returns Departed for changes.
func (s *ClusterState) EditDeparted() map[Incarnation]Upstream {
	return edit(&s.Departed, &s.own.departed)
}

// EditEvacuated returns Evacuated for changes.
func (s *ClusterState) EditEvacuated() map[ZoneName]bool {
	s.dropUsable()
	return edit(&s.Evacuated, &s.own.evacuated)
}

// EditGateways returns Gateways for changes.
func (s *ClusterState) EditGateways() map[GatewayID]Member {
	s.dropMembers()
	return edit(&s.Gateways, &s.own.gateways)
}

// EditLeaving returns Leaving for changes.
func (s *ClusterState) EditLeaving() map[GatewayID]LeavingGateway {
	return edit(&s.Leaving, &s.own.leaving)
}

// SetAlive replaces Alive. The caller must not modify the map afterwards.
func (s *ClusterState) SetAlive(alive map[GatewayID]bool) {
	s.dropMembers()
	s.Alive = alive
}

// SetConfig replaces the configuration by one that the gateway uses from now on.
func (s *ClusterState) SetConfig(cfg *Config, now time.Time) {
	s.Config, s.ConfigAt = cfg, now
	s.largeServices = nil
	for _, r := range cfg.Routes {
		if !r.LargeBodies {
			continue
		}
		if s.largeServices == nil {
			s.largeServices = make(map[ServiceName]bool)
		}
		for _, share := range r.Shares {
			if share.Weight > 0 {
				s.largeServices[share.Service] = true
			}
		}
	}
}

// LargeBodies reports whether a route with large bodies leads to the service.
func (s *ClusterState) LargeBodies(service ServiceName) bool { return s.largeServices[service] }

// SetAssignment replaces the assignment of its service.
func (s *ClusterState) SetAssignment(a *Assignment, at time.Time) {
	if !s.own.assignments {
		s.Assignments, s.AssignedAt = maps.Clone(s.Assignments), maps.Clone(s.AssignedAt)
		s.own.assignments = true
	}
	s.Assignments[a.Service], s.AssignedAt[a.Service] = a, at
}

// dropMembers and dropUsable discard the parts of the index that a change makes
// stale.
func (s *ClusterState) dropMembers() {
	if s.index != nil {
		s.index.members = nil
	}
}

func (s *ClusterState) dropUsable() {
	if s.index != nil {
		s.index.usable = nil
	}
}

// NewClusterState returns an empty state.
func NewClusterState() *ClusterState {
	return &ClusterState{
		Upstreams:   make(map[ServerID]Upstream),
		Departed:    make(map[Incarnation]Upstream),
		Evacuated:   make(map[ZoneName]bool),
		Gateways:    make(map[GatewayID]Member),
		Alive:       make(map[GatewayID]bool),
		Leaving:     make(map[GatewayID]LeavingGateway),
		Assignments: make(map[ServiceName]*Assignment),
		AssignedAt:  make(map[ServiceName]time.Time),
	}
}

// Usable reports whether new requests may be sent to the upstream: it is not
// draining and its zone is not evacuated.
func (s *ClusterState) Usable(u Upstream) bool { return !u.Draining && !s.Evacuated[u.Zone] }

// UsableUpstreams returns the usable upstreams of the service, sorted by ID.
// The caller must not modify the result.
func (s *ClusterState) UsableUpstreams(service ServiceName) []Upstream {
	if s.index != nil && s.index.usable != nil {
		return s.index.usable[service]
	}
	var usable []Upstream
	for _, u := range s.Upstreams {
		if u.Service == service && s.Usable(u) {
			usable = append(usable, u)
		}
	}
	slices.SortFunc(usable, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return usable
}

// EvacuatedZones returns the availability zones that operators have evacuated,
// sorted by name.
func (s *ClusterState) EvacuatedZones() []ZoneName {
	zones := make([]ZoneName, 0, len(s.Evacuated))
	for zone, evacuated := range s.Evacuated {
		if evacuated {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// LiveMembers returns the gateways that are in the directory, alive and not
// draining, sorted by ID. The caller must not modify the result.
func (s *ClusterState) LiveMembers() []Member {
	if s.index != nil && s.index.members != nil {
		return s.index.members
	}
	members := make([]Member, 0, len(s.Gateways))
	for id, m := range s.Gateways {
		if s.Alive[id] && !m.Draining {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}
