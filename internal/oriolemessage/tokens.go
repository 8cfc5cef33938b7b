package oriolemessage

import (
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolequota"
)

// FromAsk converts a request for tokens.
func FromAsk(ask oriolequota.Ask) *TokenRequest {
	m := &TokenRequest{Number: ask.Number, Stamp: int64(ask.Stamp), Version: uint64(ask.Version), Wants: make([]TokenWant, 0, len(ask.Wants))}
	for _, w := range ask.Wants {
		m.Wants = append(m.Wants, TokenWant{
			Workspace: string(w.Workspace), Rate: w.Limit.Rate, Burst: w.Limit.Burst, Now: w.Now, Ahead: w.Ahead, Returned: w.Returned,
		})
	}
	for _, name := range ask.Ceded {
		m.Ceded = append(m.Ceded, string(name))
	}
	return m
}

// ToAsk returns what the sender asks for.
func (m *TokenRequest) ToAsk() (ask oriolequota.Ask, err error) {
	ask = oriolequota.Ask{Number: m.Number, Stamp: oriolequota.Stamp(m.Stamp), Version: oriole.ConfigVersion(m.Version)}
	for _, w := range m.Wants {
		if w.Workspace == "" || w.Now < 0 || w.Ahead < 0 || w.Returned < 0 {
			return ask, errors.Wrap(ErrMalformed, "tokens: invalid workspace or number")
		}
		if w.Rate <= 0 || w.Burst < 1 {
			return ask, errors.Wrap(ErrMalformed, "tokens: invalid limit")
		}
		ask.Wants = append(ask.Wants, oriolequota.Want{
			Workspace: oriole.WorkspaceName(w.Workspace), Limit: oriolequota.Limit{Rate: w.Rate, Burst: w.Burst},
			Now: w.Now, Ahead: w.Ahead, Returned: w.Returned,
		})
	}
	for _, name := range m.Ceded {
		ask.Ceded = append(ask.Ceded, oriole.WorkspaceName(name))
	}
	return ask, nil
}

// FromGrants converts the reply to the request for tokens of the given number.
func FromGrants(number uint64, stamp oriolequota.Stamp, grants []oriolequota.Grant) *TokenGrant {
	m := &TokenGrant{Number: number, Stamp: int64(stamp), Grants: make([]TokenShare, 0, len(grants))}
	for _, g := range grants {
		m.Grants = append(m.Grants, TokenShare{
			Workspace: string(g.Workspace), Tokens: g.Tokens, Soon: g.Soon, Delay: g.Delay.Microseconds(), Wait: g.Wait.Microseconds(),
		})
	}
	return m
}

// ToGrants returns what the sender grants.
func (m *TokenGrant) ToGrants() (stamp oriolequota.Stamp, grants []oriolequota.Grant, err error) {
	for _, g := range m.Grants {
		if g.Workspace == "" || g.Tokens < 0 || g.Soon < 0 || g.Delay < 0 || g.Wait < 0 {
			return 0, nil, errors.Wrap(ErrMalformed, "granted: invalid workspace or number")
		}
		grants = append(grants, oriolequota.Grant{
			Workspace: oriole.WorkspaceName(g.Workspace), Tokens: g.Tokens, Soon: g.Soon,
			Delay: time.Duration(g.Delay) * time.Microsecond, Wait: time.Duration(g.Wait) * time.Microsecond,
		})
	}
	return oriolequota.Stamp(m.Stamp), grants, nil
}
