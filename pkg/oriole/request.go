package oriole

import (
	"net/http"
	"time"
)

// Outcome tells whether an upstream has run a request.
type Outcome int

// The outcomes of a request.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered means that the complete response was received.
	OutcomeAnswered
	// OutcomeNotRun means that the request has not run and will not be run.
	OutcomeNotRun
)

var outcomeNames = [...]string{"unknown", "answered", "not-run"}

// String returns the outcome as it is sent to callers in a header.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return outcomeNames[OutcomeUnknown]
	}
	return outcomeNames[o]
}

// Reason tells why a request was not answered.
type Reason int

// The reasons for outcomes other than OutcomeAnswered.
const (
	ReasonNone Reason = iota
	// ReasonQueueFull means that a queue or buffer of a gateway was full.
	ReasonQueueFull
	// ReasonDeadline means that the request was not, or could not have been,
	// answered before its deadline.
	ReasonDeadline
	// ReasonNotDispatcher means that the request did not reach the pool's
	// dispatcher.
	ReasonNotDispatcher
	// ReasonShed means that the upstream stated that it did not run the request.
	ReasonShed
	// ReasonFenced means that the upstream refused the request because it does
	// not own the shard key.
	ReasonFenced
	// ReasonConnection means that a connection failed.
	ReasonConnection
	// ReasonBadResponse means that the response can't be passed on, for example
	// since it does not match the request.
	ReasonBadResponse
	// ReasonCrash means that requests with the same fingerprint have crashed
	// upstreams.
	ReasonCrash
	// ReasonCancelled means that the caller or the gateway cancelled the request.
	ReasonCancelled
	// ReasonNoOwner means that no upstream is known that may run the request.
	ReasonNoOwner
	// ReasonMoved means that the request no longer belonged to the pool in whose
	// queue it waited.
	ReasonMoved
	// ReasonDraining means that the gateway is being stopped and that the request
	// could have outlasted it.
	ReasonDraining
	// ReasonPaused means that the upstreams that may run the request have asked to be
	// left alone for a time.
	ReasonPaused
	// ReasonUnreachable means that the gateway that dispatches the request could not
	// connect to the upstream, which others may reach.
	ReasonUnreachable
	// ReasonKeyReused means that the caller has used the request's idempotency key for
	// another request.
	ReasonKeyReused
	// ReasonUnauthorized means that the request bears no API key of a workspace.
	ReasonUnauthorized
	// ReasonOverLimit means that the workspace has used up its rate limit.
	ReasonOverLimit
	// ReasonStaleConfig means that the gateway's configuration is too old to tell whether
	// the request's API key is still valid.
	ReasonStaleConfig
	reasonCount
)

var reasonNames = [...]string{
	"none", "queue-full", "deadline", "not-keeper", "shed", "fenced",
	"connection", "bad-answer", "crash", "cancelled",
	"no-owner", "moved", "draining", "paused", "unreachable", "key-reused",
	"unauthorized", "over-limit", "stale-config",
}

// String returns the reason as it is sent to callers in a header.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "none"
	}
	return reasonNames[r]
}

// FinalStatus reports whether the status is that of a final HTTP response, from 200 to 599.
func FinalStatus(status int) bool { return status >= 200 && status <= 599 }

// Request is a caller's request, independent of the front end that received it.
type Request struct {
	ID      string
	Service ServiceName
	// Host is the host that the caller addressed.
	Host   string
	Method string
	// Target is the path and query to send to the upstream.
	Target string
	Header http.Header
	Body   []byte
	// Idempotent is set if the request can safely be executed more than once.
	Idempotent bool
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	Deadline       time.Time
	// SoftDeadline is the time after which the response has lost most of its
	// value to the caller.
	SoftDeadline time.Time
	// Priority orders requests under load; 0 is the highest priority.
	Priority int
	// ShardKey is the shard key, if the request has one.
	ShardKey    ShardKey
	HasShardKey bool
	// Pool is the set of upstreams that the request may be sent to.
	Pool PoolID
	// Keyed is set if the configuration that admitted the request, of version AdmittedBy,
	// has workspaces. Workspace is then the one that the caller's API key belongs to, and
	// Key the key's digest; both are empty for a request without a known key, which only
	// public routes admit.
	Keyed      bool
	AdmittedBy ConfigVersion
	Workspace  WorkspaceName
	Key        KeyDigest
	// MayRetry reports whether an idempotent request is sent once more if the dispatcher
	// that it was forwarded to falls silent. Nil means that it is. It is not sent to other
	// gateways.
	MayRetry func() bool
}

// RateLimit is what an upstream's response header says of the rate at which the upstream
// takes requests from all gateways together.
type RateLimit struct {
	// Spacing is the mean time between two requests, or 0 if the upstream names no
	// limit.
	Spacing time.Duration
}

// Response is the response to a Request, or the reason why there is none.
type Response struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  http.Header
	Body    []byte
	// Server is the upstream that the request was last sent to, or empty.
	Server ServerID
	// Leaving is the upstream that has stated in a response to this request, or to
	// an earlier one on its connection, that it leaves, or the zero Incarnation. It
	// is set whatever the outcome.
	Leaving Incarnation
	// Pause is how long the upstream wants no more requests from the VM that it sent
	// the response to, or 0.
	Pause time.Duration
	// Limit is what the last header from the upstream says of its limit, or nil if none
	// was read.
	Limit *RateLimit
	// Refused is set if the request was not sent as the upstream's address refused the
	// connection. It is for the dispatcher, and not sent to other gateways.
	Refused bool
	// Cause is the error for which there is no response, or empty. It is for logs, and
	// not sent to other gateways.
	Cause string
	// IgnoredFields is the number of fields of the upstream's header that could not
	// be read and are ignored.
	IgnoredFields int
	// RetryAfter is the time after which a caller may retry a request that has
	// not run, or 0 if unknown.
	RetryAfter time.Duration
	// ExpectedWait is how long the next request to the same pool is expected to
	// be queued.
	ExpectedWait time.Duration
}

// NotRunResponse returns the response for a request that has not run.
func NotRunResponse(reason Reason) Response {
	return Response{Outcome: OutcomeNotRun, Reason: reason}
}

// UnknownResponse returns the response for a request that may have run.
func UnknownResponse(reason Reason) Response {
	return Response{Outcome: OutcomeUnknown, Reason: reason}
}
