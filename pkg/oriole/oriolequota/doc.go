// Package oriolequota decides how many requests of a workspace all gateways together may
// pass on. Each workspace with a limit has one accountant, a gateway that keeps the
// workspace's token bucket ([Accountant]); every gateway asks it for tokens, and spends a
// small share of its own while no accountant replies ([Shares]).
//
// Each listed gateway has an equal share of every limit, which it either spends itself or
// passes on to one accountant. An accountant's reply has a stamp, its own time; the
// gateway's next request returns the stamp and names the workspaces whose shares it passes
// on. The accountant grants what was passed on until cessionTime after the stamp. The gateway
// neither spends the share nor passes it on to another accountant until cessionTime after it
// received the stamp, which is later, or until the accountant has replied to a request that
// no longer names the workspace. So the rights to spend never add up to more than the limit,
// also while frames are delayed or lost, gateways are paused or their views differ, and no
// clocks are compared.
//
// Both are state machines: they hold no goroutine, do no I/O and read no clock.
package oriolequota

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// Patience is how long a request may wait for a token that is not there yet.
	Patience = 200 * time.Millisecond
	// AheadLifetime is how long tokens granted in advance may be used.
	AheadLifetime = 400 * time.Millisecond
	// ReplyTimeout is the time after which an accountant that has not replied counts as
	// out of reach.
	ReplyTimeout = 250 * time.Millisecond
	// cessionTime is how long a gateway that has passed on its share of the limits to an
	// accountant keeps from spending it, after the accountant's last reply. It is three
	// times keepAliveInterval, so that two replies may be lost.
	cessionTime = 1500 * time.Millisecond
	// keepAliveInterval is how often a gateway asks each accountant at least, so that its
	// share stays passed on.
	keepAliveInterval = 500 * time.Millisecond
	// TickInterval is how often Tick of an accountant has to be called.
	TickInterval = 100 * time.Millisecond
	// maxPromise bounds the time that refused requests are told, when they are spread
	// over the tokens to come.
	maxPromise = time.Second
	// maxShareWait bounds the time told to requests that a small share of the limit does not
	// let pass, unless the whole limit does not either: other gateways are heard again before
	// long.
	maxShareWait = 5 * time.Second
	// openingTime is how long an account is new. Gateways pass their shares on to it within
	// some round trips, so that requests which find no token are told openingWait, and are
	// asked for again while they may wait.
	openingTime = 500 * time.Millisecond
	openingWait = 40 * time.Millisecond
	// newerLifetime is how long an accountant keeps to a limit of a configuration newer than
	// its own after a gateway with that configuration last asked. Those that are in reach
	// ask every keepAliveInterval. It is the window in which the limit has to hold.
	newerLifetime = 5 * time.Second
	// outstandingLifetime is how long the account expects tokens granted in advance to be
	// unused: their lifetime and the way of the frame that returns them.
	outstandingLifetime = AheadLifetime + 200*time.Millisecond
	// aheadShare and minAhead bound the unused tokens granted in advance, as a share of
	// what passes in aheadWindow and as a number. They come out of the tolerance of the
	// limit, a tenth of that and 20 requests, of which failures need the rest.
	aheadShare  = 0.02
	minAhead    = 4
	aheadWindow = 5 * time.Second
)

// Limit is the rate limit of a workspace: Rate requests per second, and Burst beyond that.
type Limit struct {
	Rate  float64
	Burst float64
}

// LimitOf returns the limit of the workspace. limited is false if it has none. A burst
// under one would let no request pass.
func LimitOf(w oriole.Workspace) (limit Limit, limited bool) {
	return Limit{Rate: w.Rate, Burst: max(w.Burst, 1)}, w.Rate > 0
}

// lower returns the lower rate and the lower burst of two limits.
func (l Limit) lower(other Limit) Limit {
	return Limit{Rate: min(l.Rate, other.Rate), Burst: min(l.Burst, other.Burst)}
}

// scaled returns the share of the limit.
func (l Limit) scaled(share float64) Limit {
	return Limit{Rate: l.Rate * share, Burst: l.Burst * share}
}

// Want is what a gateway asks for one workspace.
type Want struct {
	Workspace oriole.WorkspaceName
	// Limit is the workspace's limit by the gateway's configuration.
	Limit Limit
	// Now is the number of requests that wait, and Ahead the number of tokens wanted in
	// advance.
	Now   int
	Ahead int
	// Returned is the number of tokens granted in advance that were not used.
	Returned int
}

// Stamp is the time of an accountant, by its own clock. The zero stamp is none.
type Stamp int64

// Grant is what an accountant replies for one workspace.
type Grant struct {
	Workspace oriole.WorkspaceName
	// Tokens may be used at once, for requests that wait first, then in advance.
	Tokens int
	// Soon is the number of tokens for further requests that wait. They are usable after
	// Delay, which is at most [Patience].
	Soon  int
	Delay time.Duration
	// Wait is the time until there is a token for the next request, or 0 if all that wait
	// have one.
	Wait time.Duration
}

// maxWait bounds the times told: those of very small rates would exceed the range of durations.
const maxWait = time.Hour

// duration converts seconds, up to maxWait.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxWait.Seconds()) * float64(time.Second))
}
