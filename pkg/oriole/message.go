package oriole

import "time"

// Beat is a keeper's heartbeat to its deputy.
type Beat struct {
	Group  GroupID
	Term   Term
	Number uint64
	// Version is the store version of the record that the keeper last
	// confirmed.
	Version Version
	// Round is that of the keeper's record.
	Round uint64
	// Alone permits the keeper to renew leases without acknowledgements, and
	// the deputy to take the reserved term without the store. The deputy's
	// right ends Left after it sent the acknowledgement numbered Echo.
	Alone bool
	Echo  uint64
	Left  time.Duration
	Table Table
}

// BeatAck answers a Beat. It renews the keeper's authority unless Refused.
type BeatAck struct {
	Group  GroupID
	Term   Term
	Number uint64
	Alone  bool
	Seq    uint64
	// Refused says that the sender knows a higher term, given in Term, or is
	// not the deputy.
	Refused bool
}

// Resign tells the new keeper of a group that its predecessor will renew no
// lease any more.
type Resign struct {
	Group GroupID
	// Term is the term that the sender learnt of and yields to.
	Term Term
}

// Grant gives a server the lease on its slices. It is valid until Mark plus
// Span on the server's own clock.
type Grant struct {
	Group  GroupID
	Server int
	Term   Term
	// Number orders the grants of one term; a server refuses a lower one.
	Number uint64
	// Seq is the sequence of the table that Owned was taken from.
	Seq   uint64
	Owned []int
	// Mark is a reading of the server's clock that it returned earlier, as an
	// offset from the start of that Incarnation; zero asks for one and grants
	// nothing.
	Mark        time.Duration
	Span        time.Duration
	Incarnation uint64
}

// GrantReply is a server's answer to a Grant.
type GrantReply struct {
	// Accepted says that the server holds the lease that was asked for.
	Accepted bool
	// Mark is the server's clock when it answered.
	Mark time.Duration
	// Incarnation changes whenever the server starts anew.
	Incarnation uint64
	// Term is the highest term that the server has accepted.
	Term Term
	// Seq and Owned describe the newest grant before this one; Held says that
	// its lease had not lapsed.
	Seq   uint64
	Owned []int
	Held  bool
	// Draining says that the server wants to leave: it is to give up its
	// slices and get no new work.
	Draining bool
}

// Purpose names what an outgoing store write is for.
type Purpose int

// The purposes of store writes.
const (
	PurposeCreate Purpose = iota
	PurposeTakeover
	PurposeDeputy
	PurposeTable
	PurposeHandover
)

var purposeNames = [...]string{"create", "takeover", "deputy", "table", "handover"}

// String returns the purpose's name, for logs and the time line.
func (p Purpose) String() string {
	if p < 0 || int(p) >= len(purposeNames) {
		return "unknown"
	}
	return purposeNames[p]
}
