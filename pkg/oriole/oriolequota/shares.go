package oriolequota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// maxWaiting bounds the requests of a workspace that wait at a gateway.
	maxWaiting = 512
	// fullRetryAfter is the time told to a request that finds that many.
	fullRetryAfter = Patience
	// demandPeriod is the time over which the demand is averaged.
	demandPeriod = time.Second
	// minDemand is the number of requests per second from which on tokens are wanted in
	// advance: below, most would expire before they are used.
	minDemand = 5
	// namingInterval is how often an accountant is told at least which shares are passed on.
	namingInterval = 2 * time.Second
	// localIdle is the time without a request after which a gateway gives up its own
	// share: the next request asks the accountant, and the share starts empty again. It
	// would otherwise fill up unnoticed.
	localIdle = time.Second
)

// Ticket identifies a request that waits for a token.
type Ticket uint64

// Decision is what becomes of a request.
type Decision struct {
	Ticket Ticket
	// OK is set if the request may pass. Otherwise it may come back after RetryAfter.
	OK         bool
	RetryAfter time.Duration
}

// Ask is a request for tokens that has to be sent to an accountant.
type Ask struct {
	To     oriole.GatewayID
	Number uint64
	// Stamp is that of the accountant's last reply. It passes on the gateway's shares of the
	// limits of the workspaces in Ceded; if that is empty, of those that were passed on
	// before. The zero stamp passes on nothing, and takes back what was.
	Stamp Stamp
	Ceded []oriole.WorkspaceName
	// Version is that of the configuration which the limits in Wants are from.
	Version oriole.ConfigVersion
	Wants   []Want
}

// EventKind is a kind of [Event].
type EventKind int

const (
	// AccountantChanged means that a workspace has another accountant, or none.
	AccountantChanged EventKind = iota
	// LocalBegins and LocalEnds mean that the gateway's own share of a workspace's limit
	// begins and ends to be used.
	LocalBegins
	LocalEnds
)

// Event is a change of state that is worth a log line.
type Event struct {
	Kind       EventKind
	Workspace  oriole.WorkspaceName
	Accountant oriole.GatewayID
}

// Shares holds the tokens of one gateway, and the requests that wait for some.
type Shares struct {
	self        oriole.GatewayID
	shares      map[oriole.WorkspaceName]*share
	accountants map[oriole.GatewayID]*accountant
	// startedAt is when this gateway began to take part: an accountant may still grant the
	// shares that an earlier run passed on.
	startedAt time.Time
	// former is set if accountants may hold former ones.
	former     bool
	version    oriole.ConfigVersion
	lastNumber uint64
	decisions  []Decision
	events     []Event
}

// accountant is what a gateway knows of an accountant of some workspaces, or of a former
// one that may still grant the gateway's shares.
type accountant struct {
	// asked is the last request if it has no reply yet. lastAsk is when it was sent.
	asked   *asked
	lastAsk time.Time
	// stamp is that of the last reply, which arrived at stampAt.
	stamp   Stamp
	stampAt time.Time
	// changed is set if the accountant has to learn of other shares passed on to it.
	// namedAt is when it was last told all of them.
	changed bool
	namedAt time.Time
}

// asked is a request for tokens that has no reply yet.
type asked struct {
	number uint64
	at     time.Time
	// counts holds for each workspace the number of waiting requests that were asked for.
	counts map[oriole.WorkspaceName]int
	// ceded holds the workspaces whose shares it passes on, and changed is whether it names
	// them.
	ceded   map[oriole.WorkspaceName]bool
	changed bool
}

// share is what the gateway has of one workspace's limit.
type share struct {
	name       oriole.WorkspaceName
	limit      Limit
	accountant oriole.GatewayID
	listed     int
	// ahead holds the tokens granted in advance, oldest first, and returned the number of
	// those that expired.
	ahead    []lease
	returned int
	waiting  []waiter
	// soon holds the requests that have a token which is not usable yet.
	soon []scheduled
	// demand is the mean number of requests per second, as of lastTake.
	demand   float64
	lastTake time.Time
	// cededTo is the accountant that the gateway has passed its share on to, until ceded.
	cededTo oriole.GatewayID
	ceded   time.Time
	// retryAt is when requests that found no token may be asked for again.
	retryAt time.Time
	// local is set while no accountant replies.
	local *bucket
}

type lease struct {
	n       int
	expires time.Time
}

type waiter struct {
	ticket Ticket
	since  time.Time
}

type scheduled struct {
	ticket Ticket
	at     time.Time
}

// NewShares returns a gateway without tokens. Numbers of requests for tokens start above
// firstNumber, which must differ from those used before.
func NewShares(now time.Time, self oriole.GatewayID, firstNumber uint64) *Shares {
	return &Shares{
		self: self, startedAt: now, shares: make(map[oriole.WorkspaceName]*share), accountants: make(map[oriole.GatewayID]*accountant), lastNumber: firstNumber,
	}
}

// View is what a gateway knows of the limits and the other gateways.
type View struct {
	// Version is that of the configuration.
	Version oriole.ConfigVersion
	// Limits holds the limits of all workspaces that have one.
	Limits map[oriole.WorkspaceName]Limit
	// Accountant returns the accountant of a workspace, or an empty ID if there is none.
	Accountant func(oriole.WorkspaceName) oriole.GatewayID
	// Listed is the number of listed gateways.
	Listed int
}

// SetView sets the limits and the accountants. Requests that wait for a token of a
// workspace that has no limit any more pass.
func (s *Shares) SetView(now time.Time, view View) {
	s.version = view.Version
	for name, sh := range s.shares {
		if _, limited := view.Limits[name]; limited {
			continue
		}
		for _, w := range sh.waiting {
			s.decide(w.ticket, true, 0)
		}
		for _, w := range sh.soon {
			s.decide(w.ticket, true, 0)
		}
		delete(s.shares, name)
	}
	for name, limit := range view.Limits {
		sh := s.shares[name]
		if sh == nil {
			sh = &share{name: name}
			s.shares[name] = sh
		}
		if limit.Rate < sh.limit.Rate || limit.Burst < sh.limit.Burst {
			sh.ahead = nil
		}
		sh.limit, sh.listed = limit, max(view.Listed, 1)
		if sh.local != nil {
			sh.local.setLimit(now, sh.localLimit())
		}
		if id := view.Accountant(name); id != sh.accountant {
			s.events = append(s.events, Event{AccountantChanged, name, id})
			s.markChanged(sh.accountant)
			// Only the gateway that granted them may take them back.
			sh.accountant, sh.returned = id, 0
			if id != "" && s.accountants[id] == nil {
				s.accountants[id] = &accountant{}
			}
			s.markChanged(id)
		}
	}
	s.former = true
	s.dropFormer(now)
}

// markChanged has the gateway ask the accountant soon, if it is one.
func (s *Shares) markChanged(id oriole.GatewayID) {
	if a := s.accountants[id]; a != nil {
		a.changed = true
	}
}

// dropFormer forgets former accountants that can't grant the gateway's shares any more.
func (s *Shares) dropFormer(now time.Time) {
	if !s.former {
		return
	}
	current, granting := make(map[oriole.GatewayID]bool), make(map[oriole.GatewayID]bool)
	for _, sh := range s.shares {
		current[sh.accountant] = true
		if now.Before(sh.ceded) {
			granting[sh.cededTo] = true
		}
	}
	s.former = false
	for id := range s.accountants {
		switch {
		case current[id]:
		case granting[id]:
			s.former = true
		default:
			delete(s.accountants, id)
		}
	}
}

// Take takes a token for a request. decided is false if the request has to wait; it is
// then among a later result of Decisions.
func (s *Shares) Take(now time.Time, name oriole.WorkspaceName, ticket Ticket) (d Decision, decided bool) {
	sh := s.shares[name]
	if sh == nil {
		return Decision{Ticket: ticket, OK: true}, true
	}
	if sh.local != nil && now.Sub(sh.lastTake) > localIdle {
		s.endLocal(sh)
	}
	sh.recordDemand(now)
	sh.expire(now)
	if len(sh.waiting) == 0 && (sh.takeAhead() || sh.takeLocal(now)) {
		return Decision{Ticket: ticket, OK: true}, true
	}
	if len(sh.waiting) >= maxWaiting {
		return Decision{Ticket: ticket, RetryAfter: fullRetryAfter}, true
	}
	sh.waiting = append(sh.waiting, waiter{ticket, now})
	return Decision{}, false
}

func (sh *share) recordDemand(now time.Time) {
	since := now.Sub(sh.lastTake)
	sh.demand = sh.demand*math.Exp(-max(since.Seconds(), 0)/demandPeriod.Seconds()) + 1/demandPeriod.Seconds()
	sh.lastTake = now
}

// expire returns tokens granted in advance whose time is over.
func (sh *share) expire(now time.Time) {
	for len(sh.ahead) > 0 && !now.Before(sh.ahead[0].expires) {
		sh.returned += sh.ahead[0].n
		sh.ahead = sh.ahead[1:]
	}
}

func (sh *share) takeAhead() bool {
	if len(sh.ahead) == 0 {
		return false
	}
	sh.ahead[0].n--
	if sh.ahead[0].n == 0 {
		sh.ahead = sh.ahead[1:]
	}
	return true
}

func (sh *share) takeLocal(now time.Time) bool {
	if sh.local == nil {
		return false
	}
	sh.local.refill(now)
	return sh.local.take()
}

// localLimit is the gateway's own share of the limit.
func (sh *share) localLimit() Limit { return sh.limit.scaled(1 / float64(sh.listed)) }

// wantAhead returns the number of tokens to ask for in advance.
func (sh *share) wantAhead() int {
	if sh.demand < minDemand {
		return 0
	}
	held := 0
	for _, l := range sh.ahead {
		held += l.n
	}
	return clamp(int(sh.demand*AheadLifetime.Seconds())-held, maxWaiting)
}

// Asks returns the requests for tokens that have to be sent now: one to each accountant
// that has replied to the last one, for all of its workspaces.
func (s *Shares) Asks(now time.Time) []Ask {
	var wants map[oriole.GatewayID][]Want
	for name, sh := range s.shares {
		a := s.accountants[sh.accountant]
		if (len(sh.waiting) == 0 && sh.returned == 0) || a == nil || a.asked != nil || now.Before(sh.askAt(a)) {
			continue
		}
		if wants == nil {
			wants = make(map[oriole.GatewayID][]Want)
		}
		wants[sh.accountant] = append(wants[sh.accountant], Want{Workspace: name, Limit: sh.limit, Now: len(sh.waiting), Ahead: sh.wantAhead(), Returned: sh.returned})
		sh.returned = 0
	}
	var asks []Ask
	for to, a := range s.accountants {
		list := wants[to]
		if list == nil && (a.asked != nil || now.Before(a.keepAliveAt())) {
			continue
		}
		slices.SortFunc(list, func(x, y Want) int { return cmp.Compare(x.Workspace, y.Workspace) })
		asks = append(asks, s.ask(now, to, a, list))
	}
	slices.SortFunc(asks, func(x, y Ask) int { return cmp.Compare(x.To, y.To) })
	return asks
}

// ask returns a request to the accountant. It names the workspaces whose shares it passes on
// if they have changed, and now and then: a restarted accountant does not know them.
func (s *Shares) ask(now time.Time, to oriole.GatewayID, a *accountant, wants []Want) Ask {
	slices.SortFunc(wants, func(x, y Want) int { return cmp.Compare(x.Workspace, y.Workspace) })
	s.lastNumber++
	counts := make(map[oriole.WorkspaceName]int, len(wants))
	for _, want := range wants {
		counts[want.Workspace] = want.Now
	}
	ask := Ask{To: to, Number: s.lastNumber, Version: s.version, Wants: wants}
	stamp, ceded := s.cede(now, to, a)
	if len(ceded) > 0 {
		ask.Stamp = stamp
		if a.changed || now.Sub(a.namedAt) >= namingInterval {
			a.namedAt = now
			ask.Ceded = slices.Sorted(maps.Keys(ceded))
		}
	}
	a.asked = &asked{number: s.lastNumber, at: now, counts: counts, ceded: ceded, changed: a.changed}
	a.lastAsk, a.changed = now, false
	return ask
}

// askAt returns when the accountant may be asked for the workspace: at once, unless it did
// not reply to the last request for it, or the requests that wait had to come back later.
func (sh *share) askAt(a *accountant) time.Time {
	if sh.local == nil {
		return sh.retryAt
	}
	return a.lastAsk.Add(ReplyTimeout)
}

// keepAliveAt returns when the accountant has to be asked next at the latest.
func (a *accountant) keepAliveAt() time.Time {
	if a.changed {
		return a.lastAsk
	}
	return a.lastAsk.Add(keepAliveInterval)
}

// cede passes on to the accountant all shares that neither this gateway spends nor another
// accountant may grant. It returns the workspaces.
func (s *Shares) cede(now time.Time, to oriole.GatewayID, a *accountant) (stamp Stamp, ceded map[oriole.WorkspaceName]bool) {
	// Accountants compute the shares every so often.
	until := a.stampAt.Add(cessionTime + TickInterval)
	if a.stamp == 0 || !now.Before(until) {
		return 0, nil
	}
	ceded = make(map[oriole.WorkspaceName]bool)
	for name, sh := range s.shares {
		if sh.accountant != to || (sh.cededTo != to && now.Before(sh.ceded)) {
			continue
		}
		// The accountant has to be told the name before it is passed on.
		a.changed = a.changed || sh.cededTo != to
		sh.cededTo, sh.ceded = to, until
		if sh.local != nil && sh.local.at.Before(until) {
			// The accountant has replied since, and may grant the share again.
			s.endLocal(sh)
		}
		ceded[name] = true
	}
	return a.stamp, ceded
}

// release records that the accountant has learnt which shares are passed on to it, and so
// grants no others.
func (s *Shares) release(from oriole.GatewayID, a *asked) {
	for name, sh := range s.shares {
		if sh.cededTo == from && !a.ceded[name] {
			sh.cededTo, sh.ceded = "", time.Time{}
			s.markChanged(sh.accountant)
		}
	}
}

// Reply handles the reply of an accountant. Tokens of a reply that comes too late are
// returned. A workspace that the reply leaves out is one whose accountant the gateway
// considers to be another: that counts as no reply.
func (s *Shares) Reply(now time.Time, from oriole.GatewayID, number uint64, stamp Stamp, grants []Grant) {
	peer := s.accountants[from]
	if peer == nil {
		return
	}
	if stamp > peer.stamp {
		peer.changed = peer.changed || peer.stamp == 0
		peer.stamp, peer.stampAt = stamp, now
	}
	a := peer.asked
	// After a pause, a reply may be handled before Tick.
	inTime := a != nil && a.number == number && now.Sub(a.at) < ReplyTimeout
	for _, grant := range grants {
		sh := s.shares[grant.Workspace]
		if sh == nil || sh.accountant != from {
			continue
		}
		s.endLocal(sh)
		if !inTime {
			sh.returned += max(grant.Tokens, 0)
			continue
		}
		s.apply(now, sh, grant, a)
		delete(a.counts, grant.Workspace)
	}
	if !inTime {
		return
	}
	peer.asked = nil
	s.release(from, a)
	s.dropFormer(now)
	for name, n := range a.counts {
		if sh := s.shares[name]; sh != nil && n > 0 {
			s.beginLocal(now, sh, a.at)
		}
	}
}

// apply gives the granted tokens to the requests that were asked for, in order of arrival.
func (s *Shares) apply(now time.Time, sh *share, grant Grant, a *asked) {
	count := min(a.counts[grant.Workspace], len(sh.waiting))
	served := clamp(grant.Tokens, count)
	for _, w := range sh.waiting[:served] {
		s.decide(w.ticket, true, 0)
	}
	soon := clamp(grant.Soon, count-served)
	for _, w := range sh.waiting[served : served+soon] {
		sh.soon = append(sh.soon, scheduled{w.ticket, now.Add(min(grant.Delay, Patience))})
	}
	sh.waiting = slices.Delete(sh.waiting, 0, served+soon)
	count -= served + soon
	for i, w := range sh.waiting[:count] {
		if retryAt := now.Add(grant.Wait); retryAt.Sub(w.since) <= Patience {
			// Later ones have waited for a shorter time.
			count, sh.retryAt = i, retryAt
			break
		}
		wait := grant.Wait + duration(float64(i)/sh.limit.Rate)
		s.decide(w.ticket, false, min(wait, max(grant.Wait, maxPromise)))
	}
	sh.waiting = sh.waiting[count:]
	if spare := grant.Tokens - served; spare > 0 {
		// Their time starts when they were asked for, since they were granted later.
		sh.ahead = append(sh.ahead, lease{spare, a.at.Add(AheadLifetime)})
	}
	for len(sh.waiting) > 0 && sh.takeAhead() {
		s.decide(sh.waiting[0].ticket, true, 0)
		sh.waiting = sh.waiting[1:]
	}
}

// beginLocal has the gateway spend its own share, unless it has passed the share on, from
// the time of the request that got no reply.
func (s *Shares) beginLocal(now time.Time, sh *share, since time.Time) {
	if sh.local == nil {
		if sh.ceded.After(since) {
			since = sh.ceded
		}
		if earliest := s.startedAt.Add(cessionTime + TickInterval); earliest.After(since) {
			since = earliest
		}
		b := newBucket(since, sh.localLimit(), phase(sh.name, s.self))
		sh.local = &b
		s.events = append(s.events, Event{LocalBegins, sh.name, sh.accountant})
	}
	s.serveLocal(now, sh)
}

func (s *Shares) endLocal(sh *share) {
	if sh.local != nil {
		sh.local = nil
		s.events = append(s.events, Event{LocalEnds, sh.name, sh.accountant})
	}
}

// serveLocal decides on the requests that wait, by the gateway's own share.
func (s *Shares) serveLocal(now time.Time, sh *share) {
	for len(sh.waiting) > 0 && sh.takeLocal(now) {
		s.decide(sh.waiting[0].ticket, true, 0)
		sh.waiting = sh.waiting[1:]
	}
	for len(sh.waiting) > 0 && now.Sub(sh.waiting[0].since) >= Patience {
		wait := sh.local.wait(1) + max(sh.local.at.Sub(now), 0)
		s.decide(sh.waiting[0].ticket, false, min(max(wait, time.Millisecond), shareWait(1/sh.limit.Rate)))
		sh.waiting = sh.waiting[1:]
	}
}

// Tick carries out what is due.
func (s *Shares) Tick(now time.Time) {
	s.dropFormer(now)
	for _, peer := range s.accountants {
		a := peer.asked
		if a == nil || now.Sub(a.at) < ReplyTimeout {
			continue
		}
		peer.asked = nil
		peer.changed = peer.changed || a.changed
		for name, n := range a.counts {
			if sh := s.shares[name]; sh != nil && n > 0 {
				s.beginLocal(now, sh, a.at)
			}
		}
	}
	for _, sh := range s.shares {
		sh.expire(now)
		for len(sh.soon) > 0 && !now.Before(sh.soon[0].at) {
			s.decide(sh.soon[0].ticket, true, 0)
			sh.soon = sh.soon[1:]
		}
		if sh.accountant == "" && len(sh.waiting) > 0 {
			s.beginLocal(now, sh, sh.waiting[0].since)
		}
		if sh.local != nil {
			s.serveLocal(now, sh)
			if len(sh.waiting) == 0 && now.Sub(sh.lastTake) > localIdle {
				s.endLocal(sh)
			}
		}
	}
}

// Next returns when Tick has to be called next at the latest. It returns the zero time if
// nothing is due.
func (s *Shares) Next() (next time.Time) {
	earlier := func(at time.Time) {
		if at.IsZero() {
			return
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, a := range s.accountants {
		if a.asked != nil {
			earlier(a.asked.at.Add(ReplyTimeout))
		} else {
			earlier(a.keepAliveAt())
		}
	}
	for _, sh := range s.shares {
		if len(sh.ahead) > 0 {
			earlier(sh.ahead[0].expires)
		}
		if len(sh.soon) > 0 {
			earlier(sh.soon[0].at)
		}
		if a := s.accountants[sh.accountant]; a != nil && a.asked == nil && (len(sh.waiting) > 0 || sh.returned > 0) {
			// What is not to be delayed has been asked for.
			earlier(sh.askAt(a))
		}
		if sh.accountant == "" && sh.local == nil && len(sh.waiting) > 0 {
			earlier(sh.waiting[0].since)
		}
		if sh.local != nil {
			earlier(sh.lastTake.Add(localIdle + time.Millisecond))
			if len(sh.waiting) > 0 {
				earlier(sh.waiting[0].since.Add(Patience))
				earlier(sh.local.at.Add(sh.local.wait(1) + time.Millisecond))
			}
		}
	}
	return next
}

// Local returns the number of workspaces whose own share is in use.
func (s *Shares) Local() (n int) {
	for _, sh := range s.shares {
		if sh.local != nil {
			n++
		}
	}
	return n
}

// Decisions returns the decisions on requests that waited, since the last call.
func (s *Shares) Decisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// Events returns the changes of state since the last call.
func (s *Shares) Events() []Event {
	events := s.events
	s.events = nil
	return events
}

func (s *Shares) decide(ticket Ticket, ok bool, retryAfter time.Duration) {
	s.decisions = append(s.decisions, Decision{Ticket: ticket, OK: ok, RetryAfter: retryAfter})
}
