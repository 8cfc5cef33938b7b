// Package oriolequorum decides which gateway is the only one that may send requests to
// an upstream that bears few of them. The rate of such an upstream is a sum over all
// gateways, and none of them knows what the others have sent. [Monitor] is a pure state
// machine: it holds no goroutine, does no I/O and reads no clock.
//
// A gateway is the only sender of a pool while it ranks first among the dispatchers that
// it takes for alive, has been in contact with a majority of the listed gateways for
// [SettleTime], and has itself run without a pause for as long. A gateway whose view
// differs has mostly started, was paused or is cut off: then it has no majority, or its
// settle time is not over. Two that list different gateways, or are cut off in one
// direction only, may both send for a while.
package oriolequorum

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

const (
	// SettleTime is how long a gateway must have been in contact with a majority. After
	// it, a gateway that has fallen silent no longer counts as alive, one that sends by an
	// older view has learned of this gateway, and the requests that were sent before are
	// more than one second old.
	SettleTime = orioleliveness.SilenceTimeout
	// maxGap is the longest time between two ticks of a gateway that runs. It is
	// well below the time after which the others take a paused one for lost.
	maxGap = orioleliveness.SilenceTimeout / 2
)

// Monitor tells since when a gateway is the only sender of each pool.
type Monitor struct {
	self     oriole.GatewayID
	rankings orioleplacement.RankingCache
	// observedAt is the time of the last tick by the clock that includes suspensions.
	observedAt time.Time
	state      *oriole.ClusterState
	// majority is set if the state shows contact with a majority, which began at
	// majoritySince; resumedAt is when this gateway started, or ran on after a pause.
	majority      bool
	majoritySince time.Time
	resumedAt     time.Time
	// membersSince is when the list of live gateways last changed, or the pools were forgotten.
	membersSince time.Time
}

// New returns the monitor of a gateway that starts now.
func New(self oriole.GatewayID, now time.Time) *Monitor {
	return &Monitor{self: self, resumedAt: now, membersSince: now}
}

// Tick must be called at intervals that are much shorter than the settle time, and before
// each decision, to notice pauses of this gateway. bootTime is the time by a clock that
// includes suspensions. Tick reports whether [Monitor.Tenure] may have changed, which is
// always so without a majority.
func (m *Monitor) Tick(now, bootTime time.Time) (changed bool) {
	if !m.observedAt.IsZero() && bootTime.Sub(m.observedAt) > maxGap {
		m.resumedAt, changed = now, true
	}
	m.observedAt = bootTime
	return changed || !m.majority
}

// Update takes in a new cluster state.
func (m *Monitor) Update(now time.Time, state *oriole.ClusterState) {
	if m.state == nil || !orioleplacement.SameMembers(m.state.LiveMembers(), state.LiveMembers()) {
		m.membersSince = now
	}
	m.state = state
	if majority := state.DirectoryLoaded && !state.Unheard && hasMajority(state); majority != m.majority {
		m.majority, m.majoritySince = majority, now
	}
}

// ForgetPools must be called when what was sent to the pools is no longer known. The rights
// to those that this gateway may send to begin anew, so that their rate limits do too.
func (m *Monitor) ForgetPools(now time.Time) { m.membersSince = now }

// Tenure is the right of a gateway to send to the cold upstreams of a pool.
type Tenure struct {
	// First is set if this gateway ranks first among the pool's dispatchers. Only then it
	// may send, from Since on, which may be in the future.
	First bool
	Since time.Time
}

// Holds reports whether the gateway may send.
func (t Tenure) Holds(now time.Time) bool { return t.First && !now.Before(t.Since) }

// Tenure returns this gateway's right for the pool as of the last tick and update, given the
// one before, or the zero value if there was none. Without a majority, Since is the
// earliest time at which it can begin.
func (m *Monitor) Tenure(now time.Time, pool oriole.PoolID, before Tenure) Tenure {
	if m.state == nil {
		return Tenure{Since: now.Add(SettleTime)}
	}
	ranking := m.rankings.Ranking(pool, m.state.LargeBodies(pool.Service), m.state.LiveMembers())
	first := len(ranking) > 0 && ranking[0] == m.self
	if !m.majority {
		return Tenure{First: first, Since: now.Add(SettleTime)}
	}
	since := latest(m.majoritySince, m.resumedAt).Add(SettleTime)
	switch {
	case !first:
	case before.First:
		since = latest(since, before.Since)
	case !before.Since.IsZero():
		since = latest(since, now)
	default:
		since = latest(since, m.membersSince)
	}
	return Tenure{First: first, Since: since}
}

// hasMajority reports whether the gateway takes more than half of the listed gateways for
// alive, or half of them with the one whose ID is the lowest.
func hasMajority(state *oriole.ClusterState) bool {
	alive, lowest := 0, oriole.GatewayID("")
	for id := range state.Gateways {
		if state.Alive[id] {
			alive++
		}
		if lowest == "" || id < lowest {
			lowest = id
		}
	}
	return 2*alive > len(state.Gateways) || (2*alive == len(state.Gateways) && state.Alive[lowest])
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
