package oriolequota

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// account is the account of one workspace at its accountant.
type account struct {
	limit Limit
	// share is the part of the limit that gateways have passed on.
	share  float64
	bucket bucket
	// since is when the account was opened.
	since time.Time
	// advanced holds the tokens granted in advance that may be unused.
	advanced []advance
	// promised is the number of refused requests that were told a time which is not over.
	promised float64
	// promisedAt is when promised was last updated.
	promisedAt time.Time
}

// advance is a number of tokens granted in advance to a gateway.
type advance struct {
	to oriole.GatewayID
	n  int
	at time.Time
}

func newAccount(now time.Time, limit Limit, share, phase float64) *account {
	return &account{limit: limit, bucket: newBucket(now, limit.scaled(share), phase), share: share, since: now, promisedAt: now}
}

// setLimit changes the limit, or the share of it that the accountant may grant.
func (a *account) setLimit(now time.Time, limit Limit, share float64) {
	a.refill(now)
	a.limit, a.share = limit, share
	a.bucket.setLimit(now, limit.scaled(share))
}

func (a *account) refill(now time.Time) {
	a.bucket.refill(now)
	if now.After(a.promisedAt) {
		a.promised = max(0, a.promised-now.Sub(a.promisedAt).Seconds()*a.bucket.limit.Rate)
		a.promisedAt = now
	}
	for len(a.advanced) > 0 && now.Sub(a.advanced[0].at) > outstandingLifetime {
		a.advanced = a.advanced[1:]
	}
}

// outstanding returns the number of tokens granted in advance that may be unused.
func (a *account) outstanding() (n int) {
	for _, granted := range a.advanced {
		n += granted.n
	}
	return n
}

// maxOutstanding bounds outstanding.
func (a *account) maxOutstanding() int {
	limit := a.bucket.limit
	return whole(min(aheadShare*(aheadWindow.Seconds()*limit.Rate+limit.Burst)+minAhead, limit.Burst/4))
}

// takeBack credits tokens that the gateway returns, at most those that it was granted in
// advance.
func (a *account) takeBack(from oriole.GatewayID, n int) {
	for i := range a.advanced {
		granted := &a.advanced[i]
		if granted.to == from && n > 0 {
			returned := min(n, granted.n)
			granted.n -= returned
			n -= returned
			a.bucket.level += float64(returned)
		}
	}
	a.bucket.cut()
}

// serve grants tokens to a gateway. Requests that wait may use tokens that were granted in
// advance and may be unused: a gateway that holds some does not take from what the limit
// lets the others pass.
func (a *account) serve(now time.Time, from oriole.GatewayID, want Want) Grant {
	a.refill(now)
	a.takeBack(from, want.Returned)
	grant := Grant{Workspace: want.Workspace}
	level := a.bucket.level + float64(a.outstanding())
	grant.Tokens = clamp(whole(level), want.Now)
	a.bucket.level -= float64(grant.Tokens)
	level -= float64(grant.Tokens)
	if missing := want.Now - grant.Tokens; missing > 0 && a.bucket.limit.Rate > 0 {
		grant.Soon = clamp(whole(level+Patience.Seconds()*a.bucket.limit.Rate), missing)
		a.bucket.level -= float64(grant.Soon)
		level -= float64(grant.Soon)
		if grant.Soon > 0 {
			grant.Delay = min(max(duration(-level/a.bucket.limit.Rate), time.Microsecond), Patience)
		}
	}
	if refused := want.Now - grant.Tokens - grant.Soon; refused > 0 {
		grant.Wait = a.promise(level, refused)
		if now.Sub(a.since) < openingTime {
			grant.Wait = min(grant.Wait, openingWait)
		}
		return grant
	}
	if spare := a.bucket.level - a.bucket.limit.Burst/2; spare >= 1 && want.Ahead > 0 {
		ahead := clamp(min(whole(spare), a.maxOutstanding()-a.outstanding()), want.Ahead)
		if ahead > 0 {
			a.bucket.level -= float64(ahead)
			grant.Tokens += ahead
			a.advanced = append(a.advanced, advance{from, ahead, now})
		}
	}
	return grant
}

// promise returns the time after which the first of the refused requests finds a token. It
// counts the requests refused before, so that callers which come back when they were told
// to don't meet; up to a bound, since many don't come back.
func (a *account) promise(level float64, refused int) time.Duration {
	rate := a.bucket.limit.Rate
	longest := shareWait((1 - level) / a.limit.Rate)
	if rate <= 0 {
		return longest
	}
	next := duration((1 - level) / rate)
	if a.share < 0.5 {
		next = min(next, longest)
	}
	wait := next + duration(a.promised/rate)
	a.promised = min(a.promised+float64(refused), maxPromise.Seconds()*rate)
	return max(min(wait, max(next, maxPromise)), time.Millisecond)
}

// shareWait bounds the time told to requests that a small share of the limit does not let
// pass. The whole limit would let them pass after that number of seconds.
func shareWait(seconds float64) time.Duration { return max(duration(seconds), maxShareWait) }

// clamp returns n, at least 0 and at most limit.
func clamp(n, limit int) int { return max(0, min(n, limit)) }
