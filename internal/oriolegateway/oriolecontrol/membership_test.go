package oriolecontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
)

const testSilence = 500 * time.Millisecond

// find returns what is known of a gateway.
func find(t *testing.T, m *membership, id oriole.GatewayID, now time.Time) oriolegroup.Candidate {
	t.Helper()
	all, _ := m.candidates(now, testSilence)
	for _, c := range all {
		if c.ID == id {
			return c
		}
	}
	t.Fatalf("%s is not known", id)
	return oriolegroup.Candidate{}
}

func TestWhoIsAlive(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := start.Add(time.Minute)
	listed := []oriole.Member{{ID: "self", Zone: "a"}, {ID: "x", Zone: "b"}, {ID: "y", Zone: "c"}}
	tests := []struct {
		name    string
		prepare func(m *membership)
		at      time.Time
		alive   bool
		fit     bool
	}{
		{"just listed, links are being made", func(*membership) {}, start, true, false},
		{"listed and never heard", func(*membership) {}, later, false, false},
		{"heard", func(m *membership) { m.heard("x", later) }, later, true, true},
		{"silent", func(m *membership) { m.heard("x", later.Add(-time.Second)) }, later, false, false},
		{"leaving", func(m *membership) { m.sighted("x", &oriolewire.Sight{Leaving: true}, later) }, later, true, false},
		{"silent, but a peer hears it", func(m *membership) {
			m.heard("x", start)
			m.sighted("y", &oriolewire.Sight{}, later)
		}, later, true, false},
		{"silent, and the peer does not hear it", func(m *membership) {
			m.heard("x", start)
			m.sighted("y", &oriolewire.Sight{Lost: []string{"x"}}, later)
		}, later, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			m := newMembership(listed[0])
			m.setListed(listed, start)
			test.prepare(m)
			c := find(t, m, "x", test.at)
			is.Equal(c.Alive, test.alive)
			is.Equal(c.Fit, test.fit)
		})
	}
}

func TestTwoOfAZoneWatch(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := newMembership(oriole.Member{ID: "c", Zone: "z"})
	m.setListed([]oriole.Member{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "z"}}, now)
	is.True(m.watches(now, testSilence)) // no other of the zone is heard
	m.heard("a", now)
	m.heard("b", now)
	is.True(!m.watches(now, testSilence))
	is.True(m.watches(now.Add(time.Second), testSilence)) // they are silent
}

// BenchmarkLookAround measures one look at all gateways.
func BenchmarkLookAround(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			m := newMembership(oriole.Member{ID: "self", Zone: "z"})
			for i := range n {
				id := oriole.GatewayID(fmt.Sprintf("new-norfolk-%d.dnbvbk420tki", i))
				m.setListed([]oriole.Member{{ID: id, Zone: "z"}}, now)
				m.heard(id, now)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				m.candidates(now, testSilence)
				m.watches(now, testSilence)
			}
		})
	}
}
