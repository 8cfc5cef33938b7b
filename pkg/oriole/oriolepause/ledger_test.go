package oriolepause_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolepause"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func incarnation(id string, startedAt int64) oriole.Incarnation {
	return oriole.Incarnation{ID: oriole.ServerID(id), StartedAt: time.UnixMilli(startedAt)}
}

// TestBudgetPauseEndsLatest guards against a pause that is cut short by a response that
// asks for less, or that was sent earlier and arrives late.
func TestBudgetPauseEndsLatest(t *testing.T) {
	u := incarnation("u", 1)
	type ask struct{ after, pause time.Duration }
	for _, test := range []struct {
		name string
		asks []ask
		end  time.Duration
	}{
		{"one", []ask{{0, 2 * time.Second}}, 2 * time.Second},
		{"longer", []ask{{0, 2 * time.Second}, {time.Second, 4 * time.Second}}, 5 * time.Second},
		{"shorter", []ask{{0, 4 * time.Second}, {time.Second, time.Second}}, 4 * time.Second},
		{"none", []ask{{0, 0}}, 0},
		{"none while one runs", []ask{{0, 2 * time.Second}, {time.Second, 0}}, 2 * time.Second},
		{"negative", []ask{{0, -time.Second}}, 0},
		{"huge", []ask{{0, 1 << 62}}, oriolepause.MaxPause},
		{"huge while one runs", []ask{{0, time.Second}, {500 * time.Millisecond, 1 << 62}}, oriolepause.MaxPause + 500*time.Millisecond},
		{"another after the first", []ask{{0, time.Second}, {time.Second, time.Second}}, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			l := oriolepause.New()
			for _, a := range test.asks {
				l.Begin(at(a.after), u, a.pause)
			}
			last := test.asks[len(test.asks)-1].after
			is.True(l.Until(at(max(test.end, last)), u).IsZero())
			if test.end == 0 {
				is.Equal(len(l.Running(at(last))), 0)
				return
			}
			is.Equal(l.Until(at(test.end-time.Millisecond), u), at(test.end))
			is.Equal(l.Running(at(last)), map[oriole.Incarnation]time.Time{u: at(test.end)})
			is.True(l.Until(at(last), incarnation("u", 2)).IsZero()) // another start
			is.True(l.Until(at(last), incarnation("v", 1)).IsZero())
		})
	}
}

// TestBudgetProbesAreBounded guards against more than two requests during a pause,
// however often it is extended.
func TestBudgetProbesAreBounded(t *testing.T) {
	is := is.New(t)
	u := incarnation("u", 1)
	l := oriolepause.New()
	is.True(!l.Probe(at(0), u, 0)) // no pause
	is.True(l.Begin(at(0), u, 3*time.Second))
	probes := 0
	var sent []time.Duration
	for d := time.Duration(0); d < 6*time.Second; d += 10 * time.Millisecond {
		if l.Probe(at(d), u, 0) {
			probes++
			sent = append(sent, d)
			is.True(!l.Begin(at(d), u, 3*time.Second)) // it is turned away as well
		}
	}
	is.Equal(probes, 2)
	is.Equal(sent[0], time.Second)

	is.True(l.Begin(at(10*time.Second), u, 3*time.Second)) // a new one
	is.True(l.Probe(at(11*time.Second), u, 0))
}

// TestBudgetProbeIsOfHighestPriority guards against spending a probe on a request while
// more urgent ones are refused.
func TestBudgetProbeIsOfHighestPriority(t *testing.T) {
	is := is.New(t)
	u := incarnation("u", 1)
	l := oriolepause.New()
	l.Begin(at(0), u, 3*time.Second)
	is.True(!l.Probe(at(0), u, 1))
	is.True(!l.Probe(at(1500*time.Millisecond), u, 2))
	is.True(l.Probe(at(1600*time.Millisecond), u, 1))
	is.True(!l.Probe(at(1700*time.Millisecond), u, 0))
	is.True(!l.Probe(at(2100*time.Millisecond), u, 1))
	is.True(l.Probe(at(2200*time.Millisecond), u, 0))
}
