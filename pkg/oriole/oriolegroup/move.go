package oriolegroup

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// settleTime is how long every usable server must have been in order before
// slices are evened out, so that a server that comes and goes causes no moves.
const settleTime = 2 * time.Second

// moveInterval is the least time between two planned batches that empty a
// server, levelInterval between two that even out: those may go to servers that
// are cold, and nobody waits for them.
const (
	moveInterval  = 100 * time.Millisecond
	levelInterval = 400 * time.Millisecond
)

// planMoves decides which slices change their server. One change is under way
// at a time.
func (m *Machine) planMoves(now time.Time, busy func(int) bool) {
	k := m.keeper
	if k == nil || m.cfg.Slices == 0 || k.proposal != nil || m.op != nil || k.handingOver {
		return
	}
	if m.moveLost(now) {
		return
	}
	if k.alone != aloneOff || !m.storeUp {
		m.cancelMoves()
		return
	}
	if m.moving() {
		m.finishMoves(now, busy)
		return
	}
	if m.readmit(now) {
		return
	}
	m.startMoves(now)
}

// readmit clears the mark of servers that are down once they have been in
// order for the settle time.
func (m *Machine) readmit(now time.Time) bool {
	k := m.keeper
	down := slices.Clone(m.rec.Down)
	for i := range down {
		s := &k.servers[i]
		inOrder := !s.lost && !s.stable.IsZero() && now.Sub(s.stable) >= settleTime
		down[i] = down[i] && !inOrder
	}
	if slices.Equal(down, m.rec.Down) {
		return false
	}
	rec := m.rec.Clone()
	rec.Table = k.table.Clone()
	rec.Down = down
	m.write(now, oriole.PurposeTable, rec)
	return true
}

// markDown returns the marks that go with the next table: a lost server that
// owns nothing gets no lease before it is readmitted.
func (m *Machine) markDown(now time.Time, next oriole.Table) []bool {
	down := make([]bool, len(m.keeper.servers))
	counts := next.Counts(len(down))
	for i := range down {
		lost := m.rec.IsDown(i) || m.lapsed(now, &m.keeper.servers[i])
		down[i] = lost && counts[i] == 0
	}
	return down
}

// cancelMoves leaves slices where they are when the move can't be committed.
func (m *Machine) cancelMoves() {
	if !m.moving() {
		return
	}
	for i := range m.keeper.movingTo {
		m.keeper.movingTo[i] = oriole.NoServer
	}
	m.renewAll()
}

// moveLost proposes new owners for the slices of servers whose lease has
// lapsed, and for slices without a server.
func (m *Machine) moveLost(now time.Time) bool {
	k := m.keeper
	usable := m.usable()
	if !slices.Contains(usable, true) {
		return false
	}
	kept := make([]bool, len(usable))
	needed := false
	for i := range kept {
		kept[i] = !m.lapsed(now, &k.servers[i])
	}
	for slice, owner := range k.table.Owner {
		needed = needed || (k.safe[slice] && (owner == oriole.NoServer || !kept[owner]))
	}
	if !needed {
		return false
	}
	spread := m.cfg.Spreader.Spread(k.table, usable)
	next := k.table.Clone()
	for slice, owner := range next.Owner {
		if k.safe[slice] && (owner == oriole.NoServer || !kept[owner]) {
			next.Owner[slice] = spread.Owner[slice]
			k.movingTo[slice] = oriole.NoServer
		}
	}
	m.propose(now, next)
	return true
}

// usable tells which servers may be given slices.
func (m *Machine) usable() []bool {
	usable := make([]bool, len(m.keeper.servers))
	for i := range usable {
		s := &m.keeper.servers[i]
		up := !s.lost && s.failingSince.IsZero() && (s.fenced || !m.cfg.Fenced)
		usable[i] = up && !m.isOut(i) && !m.rec.IsDown(i)
	}
	return usable
}

// isOut reports whether the server must not own slices: operators say so, or
// it drains.
func (m *Machine) isOut(server int) bool {
	return m.out[server] || m.keeper.servers[server].draining
}

func (m *Machine) moving() bool {
	for _, to := range m.keeper.movingTo {
		if to != oriole.NoServer {
			return true
		}
	}
	return false
}

// startMoves picks the next batch of slices to move between live servers: off
// servers that are out first, then to even out.
func (m *Machine) startMoves(now time.Time) {
	k := m.keeper
	if now.Sub(k.lastMove) < moveInterval {
		return
	}
	usable := m.usable()
	if !slices.Contains(usable, true) {
		return
	}
	var target oriole.Table
	if m.ownsOnOut() {
		target = m.cfg.Spreader.Spread(k.table, m.keepLive(usable))
	} else if m.settled(now, usable) && now.Sub(k.lastMove) >= levelInterval {
		target = m.cfg.Leveler.Spread(k.table, usable)
	} else {
		return
	}
	m.markMoves(now, target)
}

// keepLive marks the servers that are merely silent for a moment as usable, so
// that only slices of servers that are out move.
func (m *Machine) keepLive(usable []bool) []bool {
	kept := slices.Clone(usable)
	for i := range kept {
		s := &m.keeper.servers[i]
		kept[i] = kept[i] || (!m.isOut(i) && !s.lost && s.fenced && !m.rec.IsDown(i))
	}
	return kept
}

func (m *Machine) ownsOnOut() bool {
	for _, owner := range m.keeper.table.Owner {
		if owner != oriole.NoServer && m.isOut(owner) {
			return true
		}
	}
	return false
}

// settled reports whether every server that is not out has been in order for
// the settle time.
func (m *Machine) settled(now time.Time, usable []bool) bool {
	for i, ok := range usable {
		s := &m.keeper.servers[i]
		if m.isOut(i) || s.lost || m.rec.IsDown(i) {
			continue
		}
		if !ok || s.stable.IsZero() || now.Sub(s.stable) < settleTime {
			return false
		}
	}
	return true
}

// markMoves holds back the first slices that differ from the target.
func (m *Machine) markMoves(now time.Time, target oriole.Table) {
	k := m.keeper
	left := max(m.cfg.Batch, 1)
	for slice, to := range target.Owner {
		from := k.table.Owner[slice]
		if from == to || from == oriole.NoServer || to == oriole.NoServer || !k.safe[slice] {
			continue
		}
		if left == 0 {
			return
		}
		left--
		k.movingTo[slice] = to
		k.servers[from].releaseFrom = k.servers[from].number
		k.lastMove = now
	}
}

// finishMoves asks the givers to release the slices once no request runs on
// them, and proposes the new table when they have.
func (m *Machine) finishMoves(now time.Time, busy func(int) bool) {
	k := m.keeper
	next := k.table.Clone()
	for slice, to := range k.movingTo {
		if to == oriole.NoServer {
			continue
		}
		if busy != nil && busy(slice) {
			return
		}
		if k.servers[to].lost || m.rec.IsDown(to) {
			m.cancelMoves()
			return
		}
		from := k.table.Owner[slice]
		giver := &k.servers[from]
		// A server that does not check grants can't release; that no request
		// runs and none is sent has to do.
		if m.cfg.Fenced && giver.accepted <= giver.releaseFrom {
			if !giver.waiting && !giver.lost {
				m.sendGrant(now, from)
			}
			return
		}
		next.Owner[slice] = to
	}
	m.propose(now, next)
}

// propose starts to commit the next table: in the store, or while it is away
// with the deputy's word.
func (m *Machine) propose(now time.Time, next oriole.Table) {
	k := m.keeper
	next.Seq = m.nextSeq()
	switch {
	case k.deputy == "" && !m.storeUp:
		k.proposal = &next
		m.adopt()
	case k.alone == aloneOn:
		k.proposal = &next
		if k.deputy == "" {
			m.adopt()
			return
		}
		m.beat(now)
	case m.storeUp && k.alone == aloneOff && k.term.Stored():
		k.proposal = &next
		rec := m.rec.Clone()
		rec.Table = next.Clone()
		rec.Down = m.markDown(now, next)
		m.write(now, oriole.PurposeTable, rec)
	}
}

// ackProposal commits a table that the deputy has taken over.
func (m *Machine) ackProposal(ack oriole.BeatAck) {
	k := m.keeper
	if k.proposal != nil && k.alone == aloneOn && ack.Alone && ack.Seq >= k.proposal.Seq {
		m.adopt()
	}
}

func (m *Machine) tableCommitted(op *operation) {
	k := m.keeper
	if k == nil {
		return
	}
	if k.proposal != nil && k.proposal.Seq == op.record.Table.Seq {
		m.adopt()
	}
}

// adopt makes the proposal the table in force.
func (m *Machine) adopt() {
	k := m.keeper
	moved := 0
	for slice, owner := range k.proposal.Owner {
		if owner != k.table.Owner[slice] {
			moved++
			k.safe[slice] = true
		}
		if k.movingTo[slice] == owner {
			k.movingTo[slice] = oriole.NoServer
		}
	}
	k.table = *k.proposal
	k.proposal = nil
	m.note(NoteMoved, oriole.NoServer, moved)
	m.renewAll()
}

// renewAll makes the next heartbeat, and with it the renewal, due at once.
func (m *Machine) renewAll() { m.keeper.lastBeat = time.Time{} }

// proveSlices finds the owners of the slices of which a keeper that was
// neither keeper nor deputy before cannot trust the record: they may have
// moved while the store was away.
func (m *Machine) proveSlices(now time.Time) {
	k := m.keeper
	if k == nil || m.op != nil || k.proposal != nil || !m.rec.Doubt {
		return
	}
	all := m.allExcluded(now)
	next := k.table.Clone()
	proven := false
	for slice, safe := range k.safe {
		if safe {
			continue
		}
		owner, known := m.findOwner(slice, all)
		if !known {
			continue
		}
		proven = true
		next.Owner[slice] = owner
		k.safe[slice] = owner == k.table.Owner[slice]
	}
	switch {
	case !slices.Equal(next.Owner, k.table.Owner):
		m.propose(now, next)
	case proven:
		m.renewAll()
	case all && m.storeUp && !slices.Contains(k.safe, false):
		m.clearDoubt(now)
	}
}

// allExcluded reports whether no server can hold a lease of an earlier term.
func (m *Machine) allExcluded(now time.Time) bool {
	for i := range m.keeper.servers {
		s := &m.keeper.servers[i]
		if !s.fenced && !m.rec.IsDown(i) && !now.After(m.foreignEnd(s)) {
			return false
		}
	}
	return true
}

// clearDoubt writes down that the record is the whole truth again.
func (m *Machine) clearDoubt(now time.Time) {
	rec := m.rec.Clone()
	rec.Doubt = false
	rec.Table = m.keeper.table.Clone()
	m.write(now, oriole.PurposeTable, rec)
}

// findOwner returns the owner of the slice once all servers are excluded: the
// server that took it by the newest table, if that is newer than the record,
// or else the record's owner. A single server's word is not enough, since
// gateways that act without the store may move the slice on to a server that
// is not fenced yet.
func (m *Machine) findOwner(slice int, all bool) (owner int, known bool) {
	k := m.keeper
	owner = k.table.Owner[slice]
	seq := m.rec.Table.Seq
	for i := range k.servers {
		s := &k.servers[i]
		if s.fenced && s.reportSeq > seq && slices.Contains(s.reportOwned, slice) {
			owner, seq = i, s.reportSeq
		}
	}
	return owner, all
}

// nextSeq returns the sequence of the table after the newest that any server
// reported.
func (m *Machine) nextSeq() uint64 {
	seq := m.keeper.table.Seq
	for i := range m.keeper.servers {
		seq = max(seq, m.keeper.servers[i].reportSeq)
	}
	return seq + 1
}
