package orioleassign

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// CallID tells the results of calls apart.
type CallID uint64

// Effect is what the machine wants done. Exactly one field is set.
type Effect struct {
	Read    *Read
	Write   *Write
	Grant   *Order
	Release *Order
	Probe   *Order
	Tell    *oriole.Assignment
	Note    *Note
}

// Read asks for the stored assignment; the result goes to [Machine.ReadDone].
type Read struct {
	// Lag says that the answer may be seconds old.
	Lag bool
}

// Write asks for a conditional update; the result goes to
// [Machine.WriteDone].
type Write struct {
	Assignment oriole.Assignment
	Expected   oriole.Version
}

// Order asks for a call to an upstream; the result goes to
// [Machine.OrderDone].
type Order struct {
	Call  CallID
	To    oriole.Upstream
	Lease oriole.LeaseOrder
	// Before is when the leader's right to send the order ends.
	Before time.Time
}

// Result is what came of an Order.
type Result struct {
	// Handover is that of a release, Conn the connection of a grant.
	Handover string
	Conn     oriole.ConnID
	Err      error
}

// Note is a change of what the leader believes, for the log.
type Note struct {
	What   string
	Server oriole.ServerID
	First  oriole.Point
	Last   oriole.Point
	Fence  oriole.Fence
	Detail string
}
