package oriole

import "time"

// Routing is what a keeper's request path needs to know of its group. It is
// immutable once published.
type Routing struct {
	// Keeper says that this gateway is in charge of the group.
	Keeper bool
	Term   Term
	// Owner maps each slice of the group to the server that serves it now, or
	// [NoServer] while requests have to wait.
	Owner []int
	// Until tells for each server until when work may be sent to it.
	Until []time.Time
	// Incarnation tells a server that started anew from one that went on.
	Incarnation []uint64
	// Lost marks the servers that do not answer; requests that run there and
	// are idempotent need not wait for them.
	Lost []bool
	// Out marks the servers that get no new work unless they own its slice.
	Out []bool
	// Closing says that the keeper hands the group over and starts no work.
	Closing bool
}

// Serves reports whether work may be sent to the server at the time.
func (r *Routing) Serves(server int, now time.Time) bool {
	return r.Keeper && !r.Closing && now.Before(r.Until[server])
}
