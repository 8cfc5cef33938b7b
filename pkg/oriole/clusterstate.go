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
	// Evacuated holds the zones that operators have evacuated.
	Evacuated map[ZoneName]bool
	// Gateways holds every gateway in the directory, and Alive those that were
	// recently heard from, directly or through a peer, and this one.
	Gateways map[GatewayID]Member
	Alive    map[GatewayID]bool
	// Assignments holds the newest known assignment of each sharded service,
	// and AssignedAt when this gateway received it.
	Assignments map[ServiceName]*Assignment
	AssignedAt  map[ServiceName]time.Time

	// index is nil until the state is published.
	index *stateIndex
}

// stateIndex caches the lookups that are made for each request.
type stateIndex struct {
	members []Member
	usable  map[ServiceName][]Upstream
}

// BuildIndex precomputes frequent lookups. The state must not be changed
// afterwards.
func (s *ClusterState) BuildIndex() {
	index := &stateIndex{members: s.LiveMembers(), usable: make(map[ServiceName][]Upstream)}
	for _, u := range s.Upstreams {
		if _, done := index.usable[u.Service]; !done {
			index.usable[u.Service] = s.UsableUpstreams(u.Service)
		}
	}
	s.index = index
}

// Clone returns a copy with its own maps and the next sequence number.
func (s *ClusterState) Clone() *ClusterState {
	next := *s
	next.Seq++
	next.index = nil
	next.Upstreams = maps.Clone(s.Upstreams)
	next.Departed = maps.Clone(s.Departed)
	next.Evacuated = maps.Clone(s.Evacuated)
	next.Gateways = maps.Clone(s.Gateways)
	next.Alive = maps.Clone(s.Alive)
	next.Assignments = maps.Clone(s.Assignments)
	next.AssignedAt = maps.Clone(s.AssignedAt)
	return &next
}

// NewClusterState returns an empty state.
func NewClusterState() *ClusterState {
	return &ClusterState{
		Upstreams:   make(map[ServerID]Upstream),
		Departed:    make(map[Incarnation]Upstream),
		Evacuated:   make(map[ZoneName]bool),
		Gateways:    make(map[GatewayID]Member),
		Alive:       make(map[GatewayID]bool),
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
	if s.index != nil {
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
	if s.index != nil {
		return s.index.members
	}
	var members []Member
	for id, m := range s.Gateways {
		if s.Alive[id] && !m.Draining {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}
