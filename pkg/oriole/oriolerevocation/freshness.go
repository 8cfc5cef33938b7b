// Package oriolerevocation decides how fresh a gateway's configuration is, and so
// whether an API key that it lists may still be accepted. It neither reads a clock nor
// calls anyone: all times are given by the caller, and must be of a clock that includes
// suspensions.
//
// The confirmation time of a gateway is a time on its own clock such that the
// configuration that it uses was the newest in the store at that time or later. It comes
// from the gateway's own calls to the store, or from the reply of a peer. Both count from
// the time before the call or the query was sent, so that a delay or a pause on any side
// makes a confirmation older, never newer.
package oriolerevocation

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Fractions of the revocation bound, as divisors of it unless stated otherwise.
const (
	// reserve is the part of the bound that is left for the time from the decision on a
	// request to the next one, and for clocks that run at different rates: requests with
	// a key are rejected once a confirmation is older than nine tenths of the bound.
	reserve = 10
	// askInterval is the time between two queries, a second at a bound of 5 s. A
	// confirmation by a watcher that completes a watch each 0.8 s is then 2.7 s old at
	// most.
	askInterval = 5
	// urgentAge is the age from which on queries are sent each urgentInterval, also to
	// other peers than the watcher.
	urgentAge      = 2
	urgentInterval = 10
	// callAge is the age in hundredths of the bound from which on the gateway calls the
	// store itself. It leaves 1.25 s of a bound of 5 s, which is time for two calls. At 60
	// some gateways called the store in calm: the watcher's reply had named a version that
	// they did not use yet.
	callAge = 65
	// activationGrace is how long a gateway that has become active waits for a reply
	// before it calls the store, so that a configuration that lists the first
	// workspaces does not make all gateways call the store at once.
	activationGrace = 5
	// firstCallInterval is the time between the first two calls to the store. It
	// doubles until it is above lastCallInterval.
	firstCallInterval = 10
	lastCallInterval  = 5
	// checkInterval is how often the caller should ask for the next step.
	checkInterval = 20
)

// maxCandidates is the number of peers that are asked in turn while the confirmation is
// old: the watcher, and those that are elected next.
const maxCandidates = 3

// Reply is the reply to a query.
type Reply struct {
	Number uint64
	// Version is the version of the configuration that the sender uses.
	Version oriole.ConfigVersion
	// Age is the age of the sender's own confirmation when it replied. It means nothing
	// unless Confirmed is set.
	Age       time.Duration
	Confirmed bool
}

// Step is what a gateway has to do next.
type Step struct {
	// Ask is the peer to send a query with the Number to, or empty.
	Ask    oriole.GatewayID
	Number uint64
	// CallStore is set if the gateway has to call the store itself.
	CallStore bool
}

// query is a query without a reply.
type query struct {
	to     oriole.GatewayID
	sentAt time.Time
}

// Freshness is the state of a gateway's confirmation. It is not safe for concurrent use.
type Freshness struct {
	bound time.Duration
	// confirmedAt is the confirmation time, or zero if there is none yet.
	confirmedAt time.Time

	active      bool
	activeSince time.Time
	// used is the version of the configuration in use, and usedSince when it was noticed.
	used       oriole.ConfigVersion
	usedSince  time.Time
	lastNumber uint64
	// queries holds the queries that a reply may still answer.
	queries   map[uint64]query
	lastAskAt time.Time
	// candidate is the index of the peer that is asked, and watcher the first of the
	// peers that were given last.
	candidate int
	watcher   oriole.GatewayID
	// askedWhileOld is set once the candidate was asked while the confirmation was old.
	askedWhileOld bool
	lastCallAt    time.Time
	callInterval  time.Duration
}

// New returns the state of a gateway that has just started: not confirmed.
func New(bound time.Duration) *Freshness {
	return &Freshness{bound: bound, queries: make(map[uint64]query), callInterval: bound / firstCallInterval}
}

// CheckInterval returns how often Next should be called. It is above 0.
func (f *Freshness) CheckInterval() time.Duration {
	return max(f.bound/checkInterval, time.Millisecond)
}

// SetActive records whether requests need a confirmation, which depends on the
// configuration in use.
func (f *Freshness) SetActive(now time.Time, active bool) {
	if active == f.active {
		return
	}
	f.active, f.activeSince = active, now
	f.lastAskAt, f.lastCallAt = time.Time{}, time.Time{}
	f.callInterval = f.bound / firstCallInterval
	clear(f.queries)
}

// SetUsed records the version of the configuration in use.
func (f *Freshness) SetUsed(now time.Time, used oriole.ConfigVersion) {
	if used != f.used {
		f.used, f.usedSince = used, now
	}
}

// Active reports whether requests need a confirmation.
func (f *Freshness) Active() bool { return f.active }

// RecordCall records a call of this gateway to the store that lists or watches
// configurations. It must be called once the changes that the call returned are applied.
// stored is the version of the entry that the store holds as far as this gateway has read
// it, or 0 if there is none or it can't be decoded; used is that of the configuration in
// use. They differ while the store holds an entry that this gateway does not use, such as
// an older one after a restore: that confirms nothing.
func (f *Freshness) RecordCall(startedAt time.Time, stored, used oriole.ConfigVersion) {
	if stored != 0 && stored == used {
		f.confirm(startedAt)
	}
}

// RecordReply records the reply of a peer and reports whether it confirms the
// configuration in use, the version of which is used. A reply to no query, to one that was
// sent to another peer or to one that is too old is ignored.
func (f *Freshness) RecordReply(now time.Time, from oriole.GatewayID, r Reply, used oriole.ConfigVersion) bool {
	q, known := f.queries[r.Number]
	if !known || q.to != from {
		return false
	}
	delete(f.queries, r.Number)
	if used < r.Version {
		// The newer version is on its way: the same peer is asked again at the next step,
		// unless its own confirmation is old.
		f.lastAskAt = time.Time{}
		if r.Confirmed && r.Age < f.bound/urgentAge {
			f.askedWhileOld = false
		}
		return false
	}
	if !r.Confirmed || r.Age < 0 || r.Version == 0 {
		return false
	}
	at := q.sentAt.Add(-r.Age)
	if now.Sub(at) > f.bound {
		return false
	}
	if used > r.Version && used == f.used && at.After(f.usedSince) {
		// The peer found the older version in the store when this gateway used the newer one
		// already: the store came back from an older copy.
		return false
	}
	f.confirm(at)
	return true
}

// confirm sets the confirmation time unless a later one is known.
func (f *Freshness) confirm(at time.Time) {
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
		f.callInterval = f.bound / firstCallInterval
	}
}

// Reply returns the reply to a peer's query. used is the version of the configuration in
// use. It must not be read before the last call of RecordCall or RecordReply: an older
// version with a newer confirmation would confirm what the store no longer holds.
func (f *Freshness) Reply(now time.Time, number uint64, used oriole.ConfigVersion) Reply {
	age, confirmed := f.Age(now)
	return Reply{Number: number, Version: used, Age: age, Confirmed: confirmed}
}

// Age returns the age of the confirmation, or reports false if there is none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	if f.confirmedAt.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(f.confirmedAt)), true
}

// Passes reports whether a request with an API key that the configuration in use lists
// may run. The configuration must be read after this call, since a later one may be
// confirmed meanwhile.
func (f *Freshness) Passes(now time.Time) bool {
	age, confirmed := f.Age(now)
	return confirmed && age <= f.bound-f.bound/reserve
}

// Next returns what to do now. ranked holds the gateways in the order in which they are
// elected as the watcher, including this one.
func (f *Freshness) Next(now time.Time, self oriole.GatewayID, ranked []oriole.GatewayID) (step Step) {
	if !f.active {
		return step
	}
	for number, q := range f.queries {
		if now.Sub(q.sentAt) > f.bound {
			delete(f.queries, number)
		}
	}
	age, confirmed := f.Age(now)
	old := !confirmed || age >= f.bound/urgentAge
	if f.askDue(now, old) {
		if step.Ask = f.nextCandidate(self, ranked, old); step.Ask != "" {
			f.lastNumber++
			step.Number, f.lastAskAt = f.lastNumber, now
			f.queries[step.Number] = query{step.Ask, now}
		}
	}
	step.CallStore = f.callDue(now)
	if step.CallStore {
		f.lastCallAt = now
		f.callInterval = min(2*f.callInterval, f.bound/lastCallInterval)
	}
	return step
}

func (f *Freshness) askDue(now time.Time, old bool) bool {
	interval := f.bound / askInterval
	if old {
		interval = f.bound / urgentInterval
	}
	return f.lastAskAt.IsZero() || now.Sub(f.lastAskAt) >= interval
}

// nextCandidate returns the peer to ask: the watcher, and while the confirmation is old
// the next ones in turn, since the watcher may be lost or cut off from the store. It
// returns no peer if this gateway is the watcher, whose own calls confirm, or if there is
// none.
func (f *Freshness) nextCandidate(self oriole.GatewayID, ranked []oriole.GatewayID, old bool) oriole.GatewayID {
	if len(ranked) == 0 || (ranked[0] == self && !old) {
		return ""
	}
	if ranked[0] != f.watcher {
		f.watcher, f.candidate, f.askedWhileOld = ranked[0], 0, false
	}
	peers := slices.DeleteFunc(slices.Clone(ranked), func(id oriole.GatewayID) bool { return id == self })
	peers = peers[:min(len(peers), maxCandidates)]
	if len(peers) == 0 {
		return ""
	}
	if old && f.askedWhileOld {
		f.candidate++
	}
	f.askedWhileOld = old
	f.candidate %= len(peers)
	return peers[f.candidate]
}

// NeedsCall reports whether the confirmation is so old that the gateway should call the
// store itself.
func (f *Freshness) NeedsCall(now time.Time) bool {
	age, confirmed := f.Age(now)
	return f.active && (!confirmed || age >= f.bound*callAge/100)
}

func (f *Freshness) callDue(now time.Time) bool {
	if !f.NeedsCall(now) || now.Sub(f.activeSince) < f.bound/activationGrace {
		return false
	}
	return f.lastCallAt.IsZero() || now.Sub(f.lastCallAt) >= f.callInterval
}
