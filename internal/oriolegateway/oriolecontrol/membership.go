package oriolecontrol

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
)

// listedGrace is how long a gateway that the list of VMs shows for the first
// time may take to be heard before peers can vouch that it is lost.
const listedGrace = 2 * time.Second

// membership is what a gateway knows of the others: the platform's list, which
// lags, and what it and its peers hear.
type membership struct {
	self  oriole.Member
	known map[oriole.GatewayID]*knownGateway
	last  []oriolegroup.Candidate
}

type knownGateway struct {
	member  oriole.Member
	listed  time.Time
	since   time.Time
	heard   time.Time
	leaving bool
	store   bool
	sightAt time.Time
	lost    []string
}

func newMembership(self oriole.Member) *membership {
	return &membership{self: self, known: make(map[oriole.GatewayID]*knownGateway)}
}

func (m *membership) get(id oriole.GatewayID) *knownGateway {
	k := m.known[id]
	if k == nil {
		k = &knownGateway{member: oriole.Member{ID: id}}
		m.known[id] = k
	}
	return k
}

// introduce takes what a peer says of itself until the list shows it.
func (m *membership) introduce(member oriole.Member) {
	k := m.get(member.ID)
	if k.listed.IsZero() {
		k.member = member
	}
}

func (m *membership) heard(id oriole.GatewayID, now time.Time) { m.get(id).heard = now }

func (m *membership) setListed(members []oriole.Member, now time.Time) {
	for _, member := range members {
		k := m.get(member.ID)
		k.member = member
		k.listed = now
		if k.since.IsZero() {
			k.since = now
		}
	}
	for id, k := range m.known {
		if now.Sub(k.listed) > time.Minute && now.Sub(k.heard) > time.Minute {
			delete(m.known, id)
		}
	}
}

func (m *membership) sighted(from oriole.GatewayID, s *oriolewire.Sight, now time.Time) {
	k := m.get(from)
	k.heard = now
	k.leaving = s.Leaving
	k.store = s.Store
	k.sightAt = now
	k.lost = s.Lost
}

// lost returns the listed gateways that this one does not hear.
func (m *membership) lost(now time.Time, silence time.Duration) []string {
	lost := []string{}
	for id, k := range m.known {
		if id != m.self.ID && now.Sub(k.heard) > silence {
			lost = append(lost, string(id))
		}
	}
	slices.Sort(lost)
	return lost
}

// candidates returns all gateways with what is known of their life, and
// whether that has changed since the last call.
func (m *membership) candidates(now time.Time, silence time.Duration) ([]oriolegroup.Candidate, bool) {
	var all []oriolegroup.Candidate
	for id, k := range m.known {
		self := id == m.self.ID
		all = append(all, oriolegroup.Candidate{
			ID:    id,
			Zone:  k.member.Zone,
			Alive: self || m.alive(id, k, now, silence),
			Fit:   self || (now.Sub(k.heard) <= silence && !k.leaving),
		})
	}
	slices.SortFunc(all, func(a, b oriolegroup.Candidate) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	changed := !slices.Equal(all, m.last)
	m.last = all
	return all, changed
}

// othersFit reports whether another gateway could take a duty.
func (m *membership) othersFit() bool {
	return slices.ContainsFunc(m.last, func(c oriolegroup.Candidate) bool {
		return c.Fit && c.ID != m.self.ID
	})
}

// alive reports whether this gateway hears the other, or a peer does: a single
// broken link must not make two gateways take each other's duties.
func (m *membership) alive(id oriole.GatewayID, k *knownGateway, now time.Time, silence time.Duration) bool {
	if now.Sub(k.heard) <= silence {
		return true
	}
	if k.heard.IsZero() && !k.since.IsZero() && now.Sub(k.since) < listedGrace {
		// It is listed for the first time, and links are still being made.
		return true
	}
	for via, peer := range m.known {
		vouches := via != id && via != m.self.ID && now.Sub(peer.sightAt) <= silence
		if vouches && !slices.Contains(peer.lost, string(id)) {
			return true
		}
	}
	return false
}

// watches reports whether this gateway is among those of its zone that watch
// the store.
func (m *membership) watches(now time.Time, silence time.Duration) bool {
	before := 0
	for id, k := range m.known {
		if k.member.Zone == m.self.Zone && id < m.self.ID && now.Sub(k.heard) <= silence && !k.leaving {
			before++
		}
	}
	return before < watchersPerZone
}

// storeSeen returns whether a peer of the zone has found the store to answer.
func (m *membership) storeSeen(now time.Time, silence time.Duration) (up, known bool) {
	for id, k := range m.known {
		if id == m.self.ID || k.member.Zone != m.self.Zone || now.Sub(k.sightAt) > silence {
			continue
		}
		known = true
		up = up || k.store
	}
	return up, known
}

// zonePeers returns the other gateways of the zone.
func (m *membership) zonePeers() []oriole.GatewayID {
	var peers []oriole.GatewayID
	for id, k := range m.known {
		if id != m.self.ID && k.member.Zone == m.self.Zone {
			peers = append(peers, id)
		}
	}
	slices.Sort(peers)
	return peers
}
