package oriolegroup

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// retryAfter is the pause before a store operation without an answer is
// resolved by reading.
const retryAfter = 50 * time.Millisecond

// operation is the one store write that may be under way. It is kept until its
// effect is known.
type operation struct {
	// number is that of the write or read whose answer is due.
	number   uint64
	reading  bool
	purpose  oriole.Purpose
	record   oriole.Record
	expected oriole.Version
	sentAt   time.Time
	// waiting says that an answer is due; otherwise the operation is resolved
	// at retryAt.
	waiting bool
	retryAt time.Time
}

func (m *Machine) write(now time.Time, purpose oriole.Purpose, rec oriole.Record) {
	m.op = &operation{purpose: purpose, record: rec.Clone(), expected: m.ver}
	m.sendWrite(now)
}

func (m *Machine) sendWrite(now time.Time) {
	m.opCount++
	m.op.number = m.opCount
	m.op.sentAt = now
	m.op.waiting = true
	m.op.reading = false
	m.emit(WriteRecord{
		Number:   m.op.number,
		Purpose:  m.op.purpose,
		Record:   m.op.record.Clone(),
		Expected: m.op.expected,
	})
}

func (m *Machine) writeDone(now time.Time, done WriteDone) {
	if m.op == nil || m.op.reading || done.Number != m.op.number {
		return
	}
	switch done.Status {
	case StatusDone:
		m.committed(now, done.Version)
	default:
		// A conflict also calls for a read: an earlier try of the same write
		// may be what it conflicts with.
		m.op.waiting = false
		m.op.retryAt = now
		if done.Status == StatusLost {
			m.op.retryAt = now.Add(retryAfter)
			m.note(NoteReadBack, oriole.NoServer, 0)
		}
		m.retryOperation(now)
	}
}

// retryOperation reads the record back for a write whose effect is not known.
func (m *Machine) retryOperation(now time.Time) {
	if m.op == nil || m.op.waiting || now.Before(m.op.retryAt) {
		return
	}
	m.op.waiting = true
	m.op.reading = true
	m.read(now)
}

// read asks for the record unless a read is under way already.
func (m *Machine) read(now time.Time) {
	if m.reading != 0 {
		return
	}
	m.opCount++
	m.reading = m.opCount
	m.readSent = now
	m.emit(ReadRecord{Number: m.reading})
}

func (m *Machine) readDone(now time.Time, done ReadDone) {
	if done.Number != m.reading {
		return
	}
	m.reading = 0
	pending := m.op != nil && m.op.reading
	switch {
	case done.Status == StatusLost:
		if pending {
			m.op.waiting = false
			m.op.retryAt = now.Add(retryAfter)
		}
	case pending:
		m.resolve(now, done)
	case done.Status == StatusDone:
		m.recordSeen(now, done.Record, done.Version)
		m.confirm(done.Record)
	default:
		m.known = true
	}
}

// confirm extends the keeper's right to act without the store when a read
// shows that it is still the keeper.
func (m *Machine) confirm(rec oriole.Record) {
	k := m.keeper
	if k != nil && rec.Keeper == m.cfg.Self && rec.Term == k.term {
		k.confirmedAt = later(k.confirmedAt, m.readSent)
	}
}

// resolve settles the pending write by what a read shows.
func (m *Machine) resolve(now time.Time, done ReadDone) {
	found := done.Status == StatusDone
	switch {
	case found && done.Record.Equal(m.op.record) && done.Version > m.op.expected:
		m.committed(now, done.Version)
	case done.Version == m.op.expected:
		// The write has not taken effect yet and may still do so; the same
		// write again has the same effect whichever of the two arrives.
		m.sendWrite(now)
	default:
		purpose := m.op.purpose
		m.op = nil
		m.refused(now, purpose, done)
	}
}

// refused takes in the record that another gateway wrote first.
func (m *Machine) refused(now time.Time, purpose oriole.Purpose, done ReadDone) {
	if done.Status != StatusDone {
		return
	}
	m.recordSeen(now, done.Record, done.Version)
	k := m.keeper
	if k == nil {
		return
	}
	k.frozen = false
	k.handingOver = false
	if purpose == oriole.PurposeTable {
		k.proposal = nil
	}
}

// committed carries out the write that is known to have taken effect.
func (m *Machine) committed(now time.Time, ver oriole.Version) {
	op := m.op
	m.op = nil
	previous := m.rec
	m.rec = op.record
	m.ver = ver
	m.known = true
	switch op.purpose {
	case oriole.PurposeCreate, oriole.PurposeTakeover:
		m.becomeKeeper(now, op, previous)
	case oriole.PurposeDeputy:
		m.deputyReplaced(now, op)
	case oriole.PurposeTable:
		m.tableCommitted(op)
	case oriole.PurposeHandover:
		m.handedOver()
	}
	if m.keeper != nil {
		m.keeper.confirmedAt = op.sentAt
	}
}
