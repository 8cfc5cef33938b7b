package oriolequota

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
)

// Accountant keeps the accounts of the workspaces whose accountant this gateway is.
type Accountant struct {
	self     oriole.GatewayID
	accounts map[oriole.WorkspaceName]*account
	// version is that of the configuration which limits are from.
	version oriole.ConfigVersion
	limits  map[oriole.WorkspaceName]Limit
	// newer holds the limits by newer configurations, which gateways that have these state.
	newer    map[oriole.WorkspaceName]*newerLimit
	listed   map[oriole.GatewayID]oriole.Member
	cessions map[oriole.GatewayID]*cession
	// updatedAt is when the shares of the accounts were last computed.
	updatedAt time.Time
}

// newerLimit is the limit of a workspace by a newer configuration than the accountant's.
type newerLimit struct {
	limit   Limit
	version oriole.ConfigVersion
	until   time.Time
}

// cession is what a gateway has passed on: its shares of the limits of some workspaces, until
// the given time. number is that of its last request. A cession that has ended is kept for
// namingInterval: the gateway's next request renews it without naming the workspaces.
type cession struct {
	number     uint64
	until      time.Time
	workspaces map[oriole.WorkspaceName]bool
}

// NewAccountant returns an accountant without accounts.
func NewAccountant(self oriole.GatewayID) *Accountant {
	return &Accountant{
		self: self, accounts: make(map[oriole.WorkspaceName]*account), cessions: make(map[oriole.GatewayID]*cession),
		newer: make(map[oriole.WorkspaceName]*newerLimit),
	}
}

// SetAccounts sets the limits of all workspaces by the configuration of that version, those that this gateway is the accountant
// of, and the gateways that are listed. An account that is new starts empty: tokens that
// another accountant granted may still be used. An account whose limit is lowered is cut.
// The maps must not be modified afterwards.
func (c *Accountant) SetAccounts(now time.Time, version oriole.ConfigVersion, limits map[oriole.WorkspaceName]Limit, own func(oriole.WorkspaceName) bool, listed map[oriole.GatewayID]oriole.Member) {
	c.updateShares(now)
	c.version, c.limits, c.listed = version, limits, listed
	for name, newer := range c.newer {
		if newer.version <= version {
			delete(c.newer, name)
		}
	}
	for name := range c.accounts {
		_, limited := limits[name]
		// An account by a newer configuration is the accountant's own as far as the
		// gateways with that configuration pass their shares on.
		if (limited && !own(name)) || (!limited && c.newer[name] == nil) {
			delete(c.accounts, name)
		}
	}
	for name := range limits {
		limit := c.limitOf(name)
		account := c.accounts[name]
		switch {
		case !own(name):
		case account == nil:
			c.accounts[name] = newAccount(now, limit, 0, phase(name, c.self))
		default:
			account.setLimit(now, limit, account.share)
		}
	}
	c.updateShares(now)
}

// limitOf returns the limit that the workspace's account has: the lower one if gateways
// have a newer configuration. The workspace must have a limit by one of them.
func (c *Accountant) limitOf(name oriole.WorkspaceName) Limit {
	limit, limited := c.limits[name]
	newer := c.newer[name]
	switch {
	case newer == nil:
		return limit
	case !limited:
		return newer.limit
	default:
		return limit.lower(newer.limit)
	}
}

// learn records the limits by the asking gateway's configuration if that is newer. A
// workspace without a limit by this gateway's configuration gets an account.
func (c *Accountant) learn(now time.Time, from oriole.GatewayID, ask Ask) {
	if ask.Version <= c.version || c.limits == nil {
		return
	}
	if ceded := c.cessions[from]; ceded != nil && len(c.newer) > 0 {
		for name := range ceded.workspaces {
			if newer := c.newer[name]; newer != nil && newer.version == ask.Version {
				newer.until = now.Add(newerLifetime)
			}
		}
	}
	opened := false
	for _, want := range ask.Wants {
		name := want.Workspace
		if newer := c.newer[name]; newer != nil && newer.version > ask.Version {
			continue
		}
		c.newer[name] = &newerLimit{limit: want.Limit, version: ask.Version, until: now.Add(newerLifetime)}
		limit, account := c.limitOf(name), c.accounts[name]
		_, limited := c.limits[name]
		switch {
		case account != nil && account.limit != limit:
			account.setLimit(now, limit, account.share)
		case account == nil && !limited:
			c.accounts[name] = newAccount(now, limit, 0, phase(name, c.self))
			opened = true
		}
	}
	if opened {
		c.updateShares(now)
	}
}

// expireNewer forgets limits by newer configurations that no gateway in reach has any more.
func (c *Accountant) expireNewer(now time.Time) {
	for name, newer := range c.newer {
		if !now.After(newer.until) {
			continue
		}
		delete(c.newer, name)
		account := c.accounts[name]
		limit, limited := c.limits[name]
		switch {
		case account == nil:
		case limited:
			account.setLimit(now, limit, account.share)
		default:
			delete(c.accounts, name)
		}
	}
}

// updateShares computes which part of each limit was passed on.
func (c *Accountant) updateShares(now time.Time) {
	c.updatedAt = now
	c.expireNewer(now)
	counts := make(map[oriole.WorkspaceName]int, len(c.accounts))
	for id, ceded := range c.cessions {
		_, listed := c.listed[id]
		switch {
		case now.After(ceded.until.Add(namingInterval)):
			delete(c.cessions, id)
		case listed && !now.After(ceded.until):
			for name := range ceded.workspaces {
				counts[name]++
			}
		}
	}
	for name, account := range c.accounts {
		if share := float64(counts[name]) / float64(max(len(c.listed), 1)); share != account.share {
			account.setLimit(now, account.limit, share)
		}
	}
}

// Tick must be called every TickInterval while there are accounts. After a pause, the shares
// are not passed on any more, so that all accounts are cut to nothing before something is
// granted.
func (c *Accountant) Tick(now time.Time) {
	if now.Sub(c.updatedAt) >= TickInterval/2 {
		c.updateShares(now)
	}
}

// cede records what a gateway passes on. A request that overtook another one counts, and not
// the other.
func (c *Accountant) cede(now time.Time, from oriole.GatewayID, ask Ask) {
	ceded := c.cessions[from]
	if ceded != nil && ask.Number <= ceded.number {
		return
	}
	if ask.Stamp <= 0 || ask.Stamp > Stamp(now.UnixMicro()) {
		if ceded == nil {
			ceded = &cession{}
			c.cessions[from] = ceded
		}
		// The number is kept for as long as a delayed request with an earlier one could
		// pass something on.
		ceded.number, ceded.workspaces = ask.Number, nil
		if until := now.Add(cessionTime); until.After(ceded.until) {
			ceded.until = until
		}
		c.updateShares(now)
		return
	}
	if ceded == nil {
		ceded = &cession{}
		c.cessions[from] = ceded
	}
	ceded.number = ask.Number
	if until := time.UnixMicro(int64(ask.Stamp)).Add(cessionTime); until.After(ceded.until) {
		ceded.until = until
	}
	if len(ask.Ceded) > 0 {
		ceded.workspaces = make(map[oriole.WorkspaceName]bool, len(ask.Ceded))
		for _, name := range ask.Ceded {
			ceded.workspaces[name] = true
		}
		c.updateShares(now)
	}
}

// Accounts returns the number of accounts.
func (c *Accountant) Accounts() int { return len(c.accounts) }

// Serve replies to a gateway's request. It says nothing of workspaces whose accountant this
// gateway is not. A workspace that has no limit by this gateway's configuration gets all that
// is asked for, unless the other's configuration is newer: then that one's limit holds.
func (c *Accountant) Serve(now time.Time, from oriole.GatewayID, ask Ask) (grants []Grant, stamp Stamp) {
	c.Tick(now)
	c.cede(now, from, ask)
	c.learn(now, from, ask)
	grants = make([]Grant, 0, len(ask.Wants))
	for _, want := range ask.Wants {
		want.Now, want.Ahead, want.Returned = max(want.Now, 0), max(want.Ahead, 0), max(want.Returned, 0)
		account := c.accounts[want.Workspace]
		_, limited := c.limits[want.Workspace]
		switch {
		case account != nil:
			grants = append(grants, account.serve(now, from, want))
		case !limited && c.limits != nil:
			grants = append(grants, Grant{Workspace: want.Workspace, Tokens: want.Now})
		}
	}
	return grants, Stamp(now.UnixMicro())
}

// phase returns a number between 0 and 1 that differs between the gateways of a workspace.
func phase(name oriole.WorkspaceName, id oriole.GatewayID) float64 {
	return float64(oriolehash.Rank(string(name), string(id))>>11) / (1 << 53)
}
