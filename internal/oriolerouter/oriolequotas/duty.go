package oriolequotas

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequota"
)

// tokenDuty owns this gateway's tokens and the accounts that it keeps.
type tokenDuty struct {
	quotas     *Quotas
	shares     *oriolequota.Shares
	accountant *oriolequota.Accountant
	// waiting holds where the decisions on the requests that wait go to.
	waiting    map[oriolequota.Ticket]chan oriolequota.Decision
	lastTicket oriolequota.Ticket
	// state is the cluster state that was last applied, and members its live gateways.
	state   *oriole.ClusterState
	members []oriole.Member
	limits  map[oriole.WorkspaceName]oriolequota.Limit
	// logged counts the log lines since logSince.
	logged   int
	logSince time.Time
}

func (d *tokenDuty) String() string { return "tokens" }

// Serve implements suture.Service. A restarted duty holds no tokens and keeps empty
// accounts; requests that waited before are refused.
func (d *tokenDuty) Serve(ctx context.Context) error {
	q := d.quotas
	now := q.cfg.Clock.Now()
	// No reply to an earlier run must be taken for one to this run.
	d.shares = oriolequota.NewShares(now, q.cfg.Self, uint64(now.UnixNano()))
	d.accountant = oriolequota.NewAccountant(q.cfg.Self)
	d.refuseWaiting()
	d.waiting = make(map[oriolequota.Ticket]chan oriolequota.Decision)
	d.state, d.members, d.limits = nil, nil, nil
	changed := q.cfg.State.Subscribe()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case t := <-q.takes.Out():
			d.follow()
			d.take(t)
		case f := <-q.frames.Out():
			d.follow()
			d.handleFrame(f)
		case <-changed:
			d.follow()
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		d.drain()
		d.flush()
		timer.Reset(d.untilNext())
	}
}

// refuseWaiting answers the requests that wait when the duty has failed.
func (d *tokenDuty) refuseWaiting() {
	for _, reply := range d.waiting {
		reply <- oriolequota.Decision{RetryAfter: fullRetryAfter}
	}
}

// drain handles what is queued already.
func (d *tokenDuty) drain() {
	for range maxBatch {
		select {
		case t := <-d.quotas.takes.Out():
			d.follow()
			d.take(t)
		case f := <-d.quotas.frames.Out():
			d.follow()
			d.handleFrame(f)
		default:
			return
		}
	}
}

// follow applies the cluster state if the limits or the gateways have changed. Until the
// gateways are listed, this one would take itself for the only one, and the whole limit for
// its share.
func (d *tokenDuty) follow() {
	q := d.quotas
	state := q.cfg.State.Snapshot()
	if state == d.state || !state.DirectoryLoaded {
		return
	}
	members, last := state.LiveMembers(), d.state
	d.state = state
	// A state whose gateways have not changed shares the list with the one before.
	if last != nil && last.Config == state.Config && len(members) == len(d.members) && (len(members) == 0 || &members[0] == &d.members[0]) {
		return
	}
	d.members = members
	limits := q.limits(state.Config)
	var version oriole.ConfigVersion
	if state.Config != nil {
		version = state.Config.Version
	}
	now := q.cfg.Clock.Now()
	if len(limits) == 0 && len(d.limits) == 0 {
		// Gateways with a newer configuration may have limits.
		d.accountant.SetAccounts(now, version, limits, func(oriole.WorkspaceName) bool { return false }, state.Gateways)
		return
	}
	d.limits = limits
	accountants := Accountants(limits, members)
	d.accountant.SetAccounts(now, version, limits, func(name oriole.WorkspaceName) bool { return accountants[name] == q.cfg.Self }, state.Gateways)
	d.shares.SetView(now, oriolequota.View{
		Version: version, Limits: limits, Listed: len(state.Gateways),
		Accountant: func(name oriole.WorkspaceName) oriole.GatewayID { return accountants[name] },
	})
}

// Accountants returns the accountant of each workspace with a limit: the first in rank of
// the live gateways that all others keep links with.
func Accountants(limits map[oriole.WorkspaceName]oriolequota.Limit, members []oriole.Member) map[oriole.WorkspaceName]oriole.GatewayID {
	candidates := orioleplacement.Dispatchers(members)
	accountants := make(map[oriole.WorkspaceName]oriole.GatewayID, len(limits))
	for name := range limits {
		if ranked := orioleplacement.RankLeaders(oriole.ServiceName(name), candidates); len(ranked) > 0 {
			accountants[name] = ranked[0]
		}
	}
	return accountants
}

func (d *tokenDuty) take(t take) {
	d.lastTicket++
	// If the duty fails now, the request is answered when it starts again.
	d.waiting[d.lastTicket] = t.reply
	decision, decided := d.shares.Take(d.quotas.cfg.Clock.Now(), t.workspace, d.lastTicket)
	if decided {
		delete(d.waiting, d.lastTicket)
		d.reply(t.reply, decision)
	}
}

// reply answers a request.
func (d *tokenDuty) reply(to chan oriolequota.Decision, decision oriolequota.Decision) {
	if !decision.OK {
		d.quotas.cfg.Metrics.Add("quota_refused", 1)
	}
	to <- decision
}

func (d *tokenDuty) handleFrame(f peerFrame) {
	q := d.quotas
	switch {
	case f.frame.TokenRequest != nil:
		ask, err := f.frame.TokenRequest.ToAsk()
		if err != nil {
			q.cfg.Reject(f.from, f.frame.Kind(), err)
			return
		}
		grants, stamp := d.serve(f.from, ask)
		q.cfg.Send(f.from, &oriolemessage.Frame{TokenGrant: oriolemessage.FromGrants(ask.Number, stamp, grants)})
	case f.frame.TokenGrant != nil:
		stamp, grants, err := f.frame.TokenGrant.ToGrants()
		if err != nil {
			q.cfg.Reject(f.from, f.frame.Kind(), err)
			return
		}
		d.shares.Reply(q.cfg.Clock.Now(), f.from, f.frame.TokenGrant.Number, stamp, grants)
	}
}

// serve replies to a request for tokens as an accountant.
func (d *tokenDuty) serve(from oriole.GatewayID, ask oriolequota.Ask) ([]oriolequota.Grant, oriolequota.Stamp) {
	grants, stamp := d.accountant.Serve(d.quotas.cfg.Clock.Now(), from, ask)
	granted := 0
	for _, g := range grants {
		granted += g.Tokens + g.Soon
	}
	if granted > 0 {
		d.quotas.cfg.Metrics.Add("quota_granted", int64(granted))
	}
	return grants, stamp
}

// flush carries out what is due: it sends requests for tokens, and answers requests.
func (d *tokenDuty) flush() {
	q := d.quotas
	now := q.cfg.Clock.Now()
	d.accountant.Tick(now)
	d.shares.Tick(now)
	for asks := d.shares.Asks(now); len(asks) > 0; asks = d.shares.Asks(now) {
		for _, ask := range asks {
			if ask.To == q.cfg.Self {
				grants, stamp := d.serve(ask.To, ask)
				d.shares.Reply(now, ask.To, ask.Number, stamp, grants)
				continue
			}
			q.cfg.Metrics.Add("quota_asked", 1)
			q.cfg.Send(ask.To, &oriolemessage.Frame{TokenRequest: oriolemessage.FromAsk(ask)})
		}
	}
	for _, decision := range d.shares.Decisions() {
		if reply := d.waiting[decision.Ticket]; reply != nil {
			delete(d.waiting, decision.Ticket)
			d.reply(reply, decision)
		}
	}
	for _, event := range d.shares.Events() {
		d.logEvent(now, event)
	}
	q.local.Store(int64(d.shares.Local()))
	q.accounts.Store(int64(d.accountant.Accounts()))
}

// untilNext returns the time until something is due.
func (d *tokenDuty) untilNext() time.Duration {
	wait := time.Hour
	if d.accountant.Accounts() > 0 {
		wait = oriolequota.TickInterval
	}
	if next := d.shares.Next(); !next.IsZero() {
		wait = min(wait, max(next.Sub(d.quotas.cfg.Clock.Now()), 0))
	}
	return wait
}

// logEvent counts and logs a change of state, at most maxLogLines in logPeriod.
func (d *tokenDuty) logEvent(now time.Time, event oriolequota.Event) {
	q := d.quotas
	message := oriolelog.MessageAccountantChanged
	switch event.Kind {
	case oriolequota.AccountantChanged:
		q.cfg.Metrics.Add("quota_accountant_changes", 1)
	case oriolequota.LocalBegins:
		message = oriolelog.MessageLocalShareBegins
		q.cfg.Metrics.Add("quota_local_begins", 1)
	case oriolequota.LocalEnds:
		message = oriolelog.MessageLocalShareEnds
		q.cfg.Metrics.Add("quota_local_ends", 1)
	}
	if now.Sub(d.logSince) > logPeriod {
		d.logged, d.logSince = 0, now
	}
	if d.logged++; d.logged > maxLogLines {
		q.cfg.Metrics.Add("quota_log_lines_dropped", 1)
		return
	}
	q.cfg.Log.WithFields(log.Fields{"workspace": event.Workspace, "accountant": event.Accountant}).Info(message)
}
