package oriolegroup

import "github.com/orioleswitch/orioleswitch/pkg/oriole"

// Event is an input of [Machine.Step].
type Event interface{ event() }

// Tick lets time pass. Busy reports whether requests run on a slice.
type Tick struct {
	Busy func(slice int) bool
}

// BeatReceived carries a keeper's heartbeat.
type BeatReceived struct {
	From oriole.GatewayID
	Beat oriole.Beat
}

// AckReceived carries a deputy's acknowledgement.
type AckReceived struct {
	From oriole.GatewayID
	Ack  oriole.BeatAck
}

// ResignReceived carries a former keeper's word that it renews no lease.
type ResignReceived struct {
	From   oriole.GatewayID
	Resign oriole.Resign
}

// GrantDone carries the result of a grant; Failed means that no answer came.
type GrantDone struct {
	Grant  oriole.Grant
	Reply  oriole.GrantReply
	Failed bool
}

// Status is the result of a store operation.
type Status int

// The results of store operations.
const (
	// StatusLost means that no answer came: a write may have taken effect.
	StatusLost Status = iota
	StatusDone
	// StatusConflict means that a write has not taken effect.
	StatusConflict
	// StatusMissing means that the object does not exist.
	StatusMissing
)

// WriteDone carries the result of the store write with the same number. Every
// write has exactly one.
type WriteDone struct {
	Number  uint64
	Status  Status
	Version oriole.Version
}

// ReadDone carries the result of the store read with the same number. Every
// read has exactly one.
type ReadDone struct {
	Number  uint64
	Status  Status
	Record  oriole.Record
	Version oriole.Version
}

// RecordSeen carries a record that a watch or a peer passed on.
type RecordSeen struct {
	Record  oriole.Record
	Version oriole.Version
}

// Candidate is a gateway as others know it.
type Candidate struct {
	ID   oriole.GatewayID
	Zone oriole.ZoneName
	// Alive says that nothing shows it to be lost, so its duties are its own.
	Alive bool
	// Fit says that this gateway hears it, and that it may take new duties.
	Fit bool
}

// MembersChanged carries all known gateways, this one included.
type MembersChanged struct {
	Members []Candidate
}

// StoreHealth tells whether the store answers.
type StoreHealth struct {
	Up bool
}

// ServersOut names the servers that must not own slices: they drain, or
// operators have taken their zone out.
type ServersOut struct {
	Out []bool
}

// ServerSuspect reports that requests to a server failed to connect.
type ServerSuspect struct {
	Server int
}

// HandOver asks the keeper to make another gateway its deputy and then to
// hand the group over to it.
type HandOver struct {
	To oriole.GatewayID
}

// Leave asks the machine to hand its duties over, and to take none until it
// may stay again.
type Leave struct {
	Stay bool
}

func (Tick) event()           {}
func (BeatReceived) event()   {}
func (AckReceived) event()    {}
func (ResignReceived) event() {}
func (GrantDone) event()      {}
func (WriteDone) event()      {}
func (ReadDone) event()       {}
func (RecordSeen) event()     {}
func (MembersChanged) event() {}
func (StoreHealth) event()    {}
func (ServersOut) event()     {}
func (ServerSuspect) event()  {}
func (HandOver) event()       {}
func (Leave) event()          {}

// Effect is an output of [Machine.Step].
type Effect interface{ effect() }

// SendBeat sends a heartbeat to the deputy.
type SendBeat struct {
	To   oriole.GatewayID
	Beat oriole.Beat
}

// SendAck answers a heartbeat.
type SendAck struct {
	To  oriole.GatewayID
	Ack oriole.BeatAck
}

// SendResign tells a new keeper that this gateway renews no lease.
type SendResign struct {
	To     oriole.GatewayID
	Resign oriole.Resign
}

// SendGrant sends a lease to a server.
type SendGrant struct {
	Grant oriole.Grant
}

// WriteRecord writes the record if it has the expected version.
type WriteRecord struct {
	Number   uint64
	Purpose  oriole.Purpose
	Record   oriole.Record
	Expected oriole.Version
}

// ReadRecord reads the group's record.
type ReadRecord struct {
	Number uint64
}

// ShareRecord sends the record of a handover to the new keeper.
type ShareRecord struct {
	To      oriole.GatewayID
	Record  oriole.Record
	Version oriole.Version
}

// PublishView announces the keeper to all gateways.
type PublishView struct {
	View oriole.View
}

// Note adds an entry to the time line.
type Note struct {
	Kind   NoteKind
	Term   oriole.Term
	Server int
	Count  int
}

// NoteKind names an entry of the time line.
type NoteKind string

// The entries of the time line that this package writes.
const (
	NoteKeeper     NoteKind = "keeper"
	NoteStoodDown  NoteKind = "stood-down"
	NoteDeputy     NoteKind = "deputy"
	NoteAlone      NoteKind = "alone"
	NoteServerLost NoteKind = "server-lost"
	NoteServerBack NoteKind = "server-back"
	NoteMoved      NoteKind = "moved"
	NoteHandover   NoteKind = "handover"
	NoteReadBack   NoteKind = "read-back"
)

func (SendBeat) effect()    {}
func (SendAck) effect()     {}
func (SendResign) effect()  {}
func (SendGrant) effect()   {}
func (WriteRecord) effect() {}
func (ReadRecord) effect()  {}
func (ShareRecord) effect() {}
func (PublishView) effect() {}
func (Note) effect()        {}
