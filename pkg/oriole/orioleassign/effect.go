package orioleassign

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// CallID identifies a call to an upstream, to match its result.
type CallID uint64

// Effect is an action that the machine requests. Exactly one field is set.
type Effect struct {
	Read    *Read
	Write   *Write
	Grant   *LeaseCall
	Release *LeaseCall
	Probe   *LeaseCall
	Publish *oriole.Assignment
	Log     *LogEvent
	// AskPeers requests that all peers report their terms at once.
	AskPeers bool
}

// Read requests the stored assignment; the result is passed to
// [Machine.ReadDone].
type Read struct {
	// AllowStale allows a result that is seconds old.
	AllowStale bool
}

// Write requests a conditional update; the result is passed to
// [Machine.WriteDone].
type Write struct {
	Assignment oriole.Assignment
	Expected   oriole.Version
}

// LeaseCall requests a call to an upstream; the result is passed to
// [Machine.CallDone].
type LeaseCall struct {
	ID    CallID
	To    oriole.Upstream
	Lease oriole.LeaseRequest
	// SendBefore is the time before which the call must be sent.
	SendBefore time.Time
}

// Result is the result of a call to an upstream.
type Result struct {
	// Handover is the handover token that a release returned, Conn the
	// connection that a grant was sent on.
	Handover string
	Conn     oriole.ConnID
	Err      error
}

// LogEvent is a state change to be logged.
type LogEvent struct {
	Event  string
	Server oriole.ServerID
	First  oriole.ShardKey
	Last   oriole.ShardKey
	Fence  oriole.Fence
	Detail string
}
