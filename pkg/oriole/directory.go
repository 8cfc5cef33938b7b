package oriole

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrHistoryGone is returned by [Feed.Watch] when the directory no longer
	// has the changes after the version. The caller must list again.
	ErrHistoryGone = errors.New("directory no longer has the changes after this version")
	// ErrRestored is returned by [AssignmentStore] when the store was restored since
	// the version that a write expected. The write had no effect on the assignment.
	ErrRestored = errors.New("store was restored from an older copy")
	// ErrBusy is returned when the directory refused a call. The call had no
	// effect.
	ErrBusy = errors.New("directory refused the call")
	// ErrFenced is returned by [Leaser.Grant] when the upstream has seen a
	// higher fencing token for one of the keys.
	ErrFenced = errors.New("upstream has seen a higher fencing token")
	// ErrNotSent is returned when no byte of a call was sent.
	ErrNotSent = errors.New("call was not sent")
	// ErrReplaced is returned when another upstream listens on the address, so
	// that the incarnation that listened there before has ended.
	ErrReplaced = errors.New("address is used by another upstream")
	// ErrConnClosed is returned when the connection that a call must be sent on
	// is closed. It wraps [ErrNotSent].
	ErrConnClosed = errors.Wrap(ErrNotSent, "connection is closed")
	// ErrUnreachable is returned when nothing answered an attempt to connect. It wraps
	// [ErrNotSent]. Others may reach the upstream.
	ErrUnreachable = errors.Wrap(ErrNotSent, "no answer to an attempt to connect")
	// ErrExpired is returned when a call was not sent in time. It wraps
	// [ErrNotSent] and says nothing about the upstream.
	ErrExpired = errors.Wrap(ErrNotSent, "call has expired")
	// ErrConnRefused is returned when a connection is refused: nothing listens on the
	// address, or a partition refuses it while the upstream lives on. It wraps
	// [ErrNotSent].
	ErrConnRefused = errors.Wrap(ErrNotSent, "connection refused")
)

// Change is the current value of one directory entry, or its removal. An entry
// that can't be decoded counts as removed.
type Change[T any] struct {
	Name    string
	Value   T
	Removed bool
}

// Feed lists and watches the entries of one kind in the platform's directory.
type Feed[T any] interface {
	// List returns all entries and the version of the list.
	List(ctx context.Context) ([]Change[T], Version, error)
	// Watch waits for changes after the version and returns them with the
	// version to continue from. It returns no changes if there were none within
	// the wait, and ErrHistoryGone if the caller must list again.
	Watch(ctx context.Context, after Version, wait time.Duration) ([]Change[T], Version, error)
}

// Directory is the platform's directory. It holds the configuration that
// operators apply, the upstreams and gateways that have registered, and the
// assignments that the gateways share.
type Directory interface {
	Configs() Feed[*Config]
	Upstreams() Feed[Upstream]
	// EvacuatedZones returns the feed of availability zones that operators have
	// evacuated. Each entry is named by its zone.
	EvacuatedZones() Feed[ZoneName]
	Gateways() Feed[Member]
	// Announce adds or replaces the entry of a gateway.
	Announce(ctx context.Context, m Member) error
	// Withdraw removes the entry of a gateway. It is not an error if there is
	// none.
	Withdraw(ctx context.Context, m Member) error
	AssignmentStore
}

// Operator changes the directory entries that operators control.
type Operator interface {
	// ReadConfig returns the stored configuration and the version of its
	// object, or ErrNotFound.
	ReadConfig(ctx context.Context) (*Config, Version, error)
	// WriteConfig replaces the configuration if its object has the expected
	// version; revision 0 creates it. It fails with ErrConflict if the version
	// differs. After any error other than ErrConflict and ErrBusy the write may have taken
	// effect, or may take effect later.
	WriteConfig(ctx context.Context, cfg *Config, expected Version) error
	// SetZoneEvacuated marks an availability zone as evacuated, or clears the
	// mark. It is idempotent.
	SetZoneEvacuated(ctx context.Context, zone ZoneName, evacuated bool) error
}

// AssignmentStore stores the assignments of sharded services.
type AssignmentStore interface {
	// ReadAssignment returns the newest stored assignment and its version, or
	// ErrNotFound. The version's era is in both cases that of the store. Its revision
	// is 0 if the assignment was not written in this era: it may then be older than
	// the one in force, which was lost when the store was restored.
	// If allowStale is set, the result may be seconds old.
	ReadAssignment(ctx context.Context, service ServiceName, allowStale bool) (Assignment, Version, error)
	// WriteAssignment replaces the assignment if it has the expected version;
	// revision 0 writes the first one of the expected era. It fails with ErrConflict if
	// the version differs, with ErrRestored if the store is in another era, and with
	// ErrBusy if the directory refused the call. After any other error the write
	// may have taken effect, or may take effect later.
	WriteAssignment(ctx context.Context, assignment Assignment, expected Version) (Version, error)
}

// ConnID identifies one connection to an upstream, and thereby one incarnation
// of the upstream; 0 means no connection.
type ConnID uint64

// LeaseRequest is a leader's call to an upstream about a range of keys.
type LeaseRequest struct {
	First ShardKey
	Last  ShardKey
	Fence Fence
	// TTL is the lease's time to live, and Handover the handover token that the
	// prior owner returned, or empty. They are set for grants only.
	TTL      time.Duration
	Handover string
	// Conn is the connection to send the request on, or 0 for any.
	Conn ConnID
	// StillValid is called just before the request is sent, and not earlier: the
	// leader lease may end while the request waits to be sent. If it is set and
	// returns false, the request fails with ErrNotSent.
	StillValid func() bool
}

// Leaser grants leases on key ranges to upstreams and has them released.
type Leaser interface {
	// Grant leases the range to the upstream. The lease's time to live counts
	// from the arrival of the request at the upstream. Grant returns the
	// connection that the request was sent on. After an error other than
	// [ErrFenced] and [ErrNotSent] the upstream may hold the lease. Grant fails with [ErrConnClosed], which wraps ErrNotSent, if the
	// request's connection is closed: another incarnation may use the address.
	Grant(ctx context.Context, to Upstream, r LeaseRequest) (ConnID, error)
	// Probe reports whether the upstream can be reached.
	Probe(ctx context.Context, to Upstream) error
	// Release ends the upstream's lease on the range. It returns when all
	// requests for the range have ended there, with a handover token that lets
	// the next owner start warm. After an error the upstream may still hold the
	// lease.
	Release(ctx context.Context, to Upstream, r LeaseRequest) (handover string, err error)
}

// Sender sends requests to upstreams.
type Sender interface {
	// Send sends the request once, within its deadline. The outcome is
	// OutcomeNotRun only if no byte was sent, or if the upstream stated that it
	// did not run the request.
	Send(ctx context.Context, to Upstream, r Request) Response
}

// Dialect translates between the HTTP headers that callers and upstreams use
// and the core types.
type Dialect interface {
	// FromCaller parses a caller's header. It returns the request's ID, its shard
	// key if hasShardKey is set, and how long the caller waits for the response,
	// or 0 if the header does not say.
	FromCaller(header http.Header) (id string, shardKey ShardKey, hasShardKey bool, callerTimeout time.Duration, err error)
	// Credential returns the API key in a caller's header, or reports false if there is
	// none, or more than one.
	Credential(header http.Header) (key Secret, found bool)
	// ToUpstream returns the header to send to the upstream. remaining is the
	// time until the request's deadline.
	ToUpstream(to Upstream, r Request, remaining time.Duration) http.Header
	// FromUpstream parses the header of an upstream's response to the request.
	FromUpstream(status int, header http.Header, r Request) ResponseInfo
	// Forwarded returns the fields of a header that are passed on between caller
	// and upstream.
	Forwarded(header http.Header) http.Header
	// WithoutCredential removes API keys, and what names a workspace, from a header.
	WithoutCredential(header http.Header)
	// ToCaller sets the header of a response that the gateway generates itself.
	ToCaller(header http.Header, r Request, response Response)
}

// ResponseInfo is the content of an upstream's response header that concerns
// the gateway.
type ResponseInfo struct {
	// MatchesRequest is set unless the response bears the ID of another request.
	MatchesRequest bool
	// Unnamed is set if the response bears no ID. It then belongs to the request
	// only if its connection has carried no other.
	Unnamed bool
	// Outcome is OutcomeAnswered, OutcomeNotRun with a Reason, or OutcomeUnknown
	// for a response that must not be passed on.
	Outcome Outcome
	Reason  Reason
	// IdleTimeout is how long the upstream keeps an idle connection open, or 0 if
	// the header does not say.
	IdleTimeout time.Duration
	// Leaving is set if the upstream states that it leaves. That holds for the
	// upstream whichever request the response belongs to.
	Leaving bool
	// Pause is how long the upstream, which has turned the request away, wants no
	// more requests from this VM, or 0 if it does not say. It may be of any length.
	Pause time.Duration
	// Limit is the rate at which the upstream takes requests from all gateways.
	Limit RateLimit
	// IgnoredFields is the number of fields that could not be read and are ignored.
	IgnoredFields int
}
