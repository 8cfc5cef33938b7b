package oriolegroup

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// beatHistory is how many heartbeats may be unanswered before the oldest one
// can no longer renew the keeper's authority.
const beatHistory = 64

// publishInterval is the time between announcements of an unchanged view.
const publishInterval = 5 * time.Second

// aloneState is the state of the agreement between keeper and deputy that lets
// both act without the store.
type aloneState int

const (
	aloneOff aloneState = iota
	// aloneAsked means that the deputy may know of the permission; neither the
	// keeper's nor the store's rules may be relied on.
	aloneAsked
	aloneOn
	// aloneEnding means that the deputy may not know yet that it ended.
	aloneEnding
)

// keeperState is what a keeper knows. It is dropped whole when it stands down.
type keeperState struct {
	term   oriole.Term
	table  oriole.Table
	deputy oriole.GatewayID

	beatNumber uint64
	beatSent   [beatHistory]time.Time
	lastBeat   time.Time
	// ackBase is when the newest acknowledged heartbeat was sent: the keeper's
	// authority counts from there.
	ackBase time.Time
	ackAt   time.Time
	echo    uint64
	ackSeq  uint64
	// frozen says that a change of the deputy is under way, so that
	// acknowledgements no longer count.
	frozen bool

	alone aloneState
	// confirmedAt is when the store operation was sent that last showed this
	// gateway to be the keeper.
	confirmedAt time.Time
	// rightEnd bounds a deputy that acts under its reserved term.
	rightEnd time.Time

	servers  []serverState
	safe     []bool
	movingTo []int
	proposal *oriole.Table

	lastPublish time.Time
	lastMove    time.Time
	handingOver bool
	// successor is the gateway that the group is to be handed over to, or
	// empty.
	successor oriole.GatewayID
	// foreigners are the gateways that may act under an earlier term and have
	// not resigned yet.
	foreigners []oriole.GatewayID
}

// becomeKeeper starts to act under the committed record.
func (m *Machine) becomeKeeper(now time.Time, op *operation, previous oriole.Record) {
	k := m.newKeeper(now, op.record)
	wasDeputy := m.role == RoleDeputy && m.deputy.term == previous.Term && m.deputy.heard && !previous.Doubt
	switch {
	case op.purpose == oriole.PurposeCreate:
		m.inherit(k, time.Time{}, true)
	case m.keeper != nil:
		m.inheritFromSelf(now, k)
	case op.purpose == oriole.PurposeHandover && !op.record.Doubt:
		m.inherit(k, m.deputy.authorityEnd(now, m.cfg.Timing), true)
	case wasDeputy && !m.deputy.alone:
		m.inherit(k, m.deputy.authorityEnd(now, m.cfg.Timing), true)
	default:
		m.inherit(k, m.aloneEnd(now), wasDeputy)
	}
	if op.record.Doubt {
		k.foreigners = m.others(previous.Keeper, previous.Deputy)
	}
	m.startKeeper(now, k)
}

// aloneEnd returns when gateways that act without the store have surely
// stopped, if the record tells of a new term from now on.
func (m *Machine) aloneEnd(now time.Time) time.Time {
	return now.Add(m.cfg.Timing.stretch(m.cfg.Timing.Alone))
}

// others returns the named gateways but this one.
func (m *Machine) others(ids ...oriole.GatewayID) []oriole.GatewayID {
	return slices.DeleteFunc(ids, func(id oriole.GatewayID) bool {
		return id == "" || id == m.cfg.Self
	})
}

func (m *Machine) newKeeper(now time.Time, rec oriole.Record) *keeperState {
	k := &keeperState{
		term:     rec.Term,
		table:    rec.Table.Clone(),
		deputy:   rec.Deputy,
		ackAt:    now,
		lastMove: now,
		servers:  make([]serverState, len(m.cfg.Servers)),
		safe:     make([]bool, m.cfg.Slices),
		movingTo: make([]int, m.cfg.Slices),
	}
	for i := range k.movingTo {
		k.movingTo[i] = oriole.NoServer
	}
	return k
}

func (m *Machine) startKeeper(now time.Time, k *keeperState) {
	m.keeper = k
	m.role = RoleKeeper
	m.deputy = deputyState{}
	m.vacantSince = time.Time{}
	m.note(NoteKeeper, oriole.NoServer, len(k.table.Owner))
	m.publish(now)
	m.beat(now)
	m.renewLeases(now)
}

// inherit sets until when others may have renewed leases, and whether the
// table is known to be the newest one.
func (m *Machine) inherit(k *keeperState, until time.Time, safe bool) {
	for i := range k.servers {
		k.servers[i].foreignUntil = until
	}
	for i := range k.safe {
		k.safe[i] = safe
	}
}

// inheritFromSelf covers a keeper that takes a new term itself: because its
// deputy was lost while both could act without the store, or because it acted
// under a reserved term.
func (m *Machine) inheritFromSelf(now time.Time, k *keeperState) {
	old := m.keeper
	reserved := !old.term.Stored()
	for i := range k.servers {
		before := &old.servers[i]
		until := m.aloneEnd(now)
		if reserved {
			until = before.foreignUntil
		}
		k.servers[i].foreignUntil = later(until, before.leaseEnd)
		if reserved && before.fenced {
			k.servers[i].foreignUntil = before.leaseEnd
		}
		k.servers[i].failingSince = before.failingSince
		k.servers[i].lost = before.lost
		k.servers[i].incarnation = before.incarnation
	}
	for i := range k.safe {
		k.safe[i] = old.safe[i] && (old.proposal == nil || old.proposal.Owner[i] == old.table.Owner[i])
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// actUntil bounds everything the keeper does by its last contact with the
// store, direct or through the right its predecessor gave it.
func (m *Machine) actUntil() time.Time {
	k := m.keeper
	if !k.rightEnd.IsZero() {
		return k.rightEnd
	}
	return k.confirmedAt.Add(m.cfg.Timing.Alone)
}

// authorityEnd returns until when the keeper may act.
func (m *Machine) authorityEnd() time.Time {
	k := m.keeper
	limit := m.actUntil()
	if k.deputy == "" || (k.alone == aloneOn && m.cfg.Fenced) {
		return limit
	}
	if k.ackBase.IsZero() {
		return time.Time{}
	}
	return earlier(k.ackBase.Add(m.cfg.Timing.Lease), limit)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (m *Machine) keeperTick(now time.Time, busy func(int) bool) {
	k := m.keeper
	if now.Sub(k.lastBeat) >= m.cfg.Timing.Beat {
		m.beat(now)
		m.renewLeases(now)
	}
	m.detectLosses(now)
	m.checkMode(now)
	m.checkDeputy(now)
	m.refreshConfirmation(now)
	m.checkHandover(now, busy)
	m.proveSlices(now)
	m.planMoves(now, busy)
	if now.Sub(k.lastPublish) >= publishInterval {
		m.publish(now)
	}
}

// beat sends a heartbeat to the deputy. The table travels only while the
// deputy is not known to have it.
func (m *Machine) beat(now time.Time) {
	k := m.keeper
	k.lastBeat = now
	if k.deputy == "" || k.frozen {
		return
	}
	k.beatNumber++
	k.beatSent[k.beatNumber%beatHistory] = now
	table := k.table
	if k.proposal != nil && k.alone == aloneOn {
		table = *k.proposal
	}
	beat := oriole.Beat{
		Group:   m.cfg.Group,
		Term:    k.term,
		Number:  k.beatNumber,
		Version: m.ver,
		Round:   m.rec.Round,
		Alone:   k.alone == aloneAsked || k.alone == aloneOn,
		Echo:    k.echo,
		Table:   oriole.Table{Seq: table.Seq},
	}
	if beat.Alone && !k.ackAt.IsZero() {
		beat.Left = max(0, m.actUntil().Sub(k.ackAt))
	}
	if k.ackSeq < table.Seq {
		beat.Table = table.Clone()
	}
	m.emit(SendBeat{To: k.deputy, Beat: beat})
}

func (m *Machine) ackReceived(now time.Time, e AckReceived) {
	k := m.keeper
	if k == nil {
		return
	}
	if e.Ack.Refused && e.Ack.Term > k.term {
		m.yieldTo(e.Ack.Term, e.From)
		return
	}
	if e.From != k.deputy || e.Ack.Term != k.term || e.Ack.Refused || k.frozen {
		return
	}
	if e.Ack.Number <= k.echo || e.Ack.Number > k.beatNumber || k.beatNumber-e.Ack.Number >= beatHistory {
		return
	}
	k.echo = e.Ack.Number
	k.ackAt = now
	k.ackSeq = max(k.ackSeq, e.Ack.Seq)
	k.ackBase = later(k.ackBase, k.beatSent[e.Ack.Number%beatHistory])
	m.ackMode(e.Ack)
	m.ackProposal(e.Ack)
}

// ackMode follows the deputy's word on acting without the store.
func (m *Machine) ackMode(ack oriole.BeatAck) {
	k := m.keeper
	switch {
	case k.alone == aloneAsked && ack.Alone:
		k.alone = aloneOn
		m.note(NoteAlone, oriole.NoServer, 1)
	case k.alone == aloneEnding && !ack.Alone:
		k.alone = aloneOff
		m.note(NoteAlone, oriole.NoServer, 0)
	}
}

// checkMode asks for, and ends, the permission to act without the store.
func (m *Machine) checkMode(now time.Time) {
	k := m.keeper
	if k.rightEnd.IsZero() && k.deputy == "" {
		// A keeper without a deputy is bounded by its contact with the store
		// alone, so there is no one to agree with.
		m.writeDown(now)
		return
	}
	undecided := m.op != nil && m.op.purpose != oriole.PurposeTable
	askable := m.cfg.Fenced && k.term.Stored() && !m.rec.Doubt && !undecided
	switch {
	case !m.storeUp && askable && (k.alone == aloneOff || k.alone == aloneEnding):
		k.alone = aloneAsked
		m.beat(now)
	case m.storeUp && m.op == nil && !k.term.Stored():
		m.retakeTerm(now)
	case m.storeUp && m.op == nil && (k.alone == aloneAsked || k.alone == aloneOn) && k.proposal == nil:
		m.endAlone(now)
	}
}

// endAlone writes down what was agreed without the store before it takes the
// permission back.
func (m *Machine) endAlone(now time.Time) {
	if m.writeDown(now) {
		return
	}
	m.keeper.alone = aloneEnding
	m.beat(now)
}

// writeDown writes a table that was adopted without the store, and reports
// whether there was one.
func (m *Machine) writeDown(now time.Time) bool {
	k := m.keeper
	if !m.storeUp || m.op != nil || k.table.Seq <= m.rec.Table.Seq {
		return false
	}
	rec := m.rec.Clone()
	rec.Table = k.table.Clone()
	m.write(now, oriole.PurposeTable, rec)
	return true
}

// checkDeputy replaces a deputy that is silent or leaving.
func (m *Machine) checkDeputy(now time.Time) {
	k := m.keeper
	if m.op != nil || !m.storeUp || !k.term.Stored() || k.handingOver {
		return
	}
	silent := now.Sub(k.ackAt) > m.cfg.Timing.Silence
	wanted := k.successor == "" || k.successor == k.deputy
	if k.deputy != "" && !silent && m.fit(k.deputy) && wanted {
		return
	}
	next := m.chooseDeputy(k.deputy)
	if k.successor != "" {
		next = k.successor
		if silent || !m.fit(next) {
			k.successor = ""
			next = m.chooseDeputy(k.deputy)
		}
	}
	if next == "" || next == k.deputy {
		if k.deputy == "" || !silent {
			return
		}
		// No other gateway is known: go on without a deputy.
		next = ""
	}
	if k.alone != aloneOff {
		if silent {
			m.retakeTerm(now)
		}
		return
	}
	rec := m.rec.Clone()
	rec.Deputy = next
	rec.Round++
	rec.Table = k.table.Clone()
	k.frozen = true
	m.write(now, oriole.PurposeDeputy, rec)
}

// retakeTerm moves the keeper to a new stored term, which ends every right
// that was given under the present one.
func (m *Machine) retakeTerm(now time.Time) {
	k := m.keeper
	rec := oriole.Record{
		Group:  m.cfg.Group,
		Term:   max(m.rec.Term, k.term).NextStored(),
		Keeper: m.cfg.Self,
		Deputy: m.chooseDeputy(k.deputy),
		Doubt:  true,
		Down:   slices.Clone(m.rec.Down),
		Table:  k.table.Clone(),
	}
	m.write(now, oriole.PurposeTakeover, rec)
}

func (m *Machine) deputyReplaced(now time.Time, op *operation) {
	k := m.keeper
	if k == nil {
		return
	}
	k.deputy = op.record.Deputy
	k.frozen = false
	k.echo = k.beatNumber
	k.ackSeq = 0
	k.ackAt = now
	m.note(NoteDeputy, oriole.NoServer, 0)
	m.publish(now)
	m.beat(now)
}

// refreshConfirmation reads the record well before the right to act without
// contact to the store ends.
func (m *Machine) refreshConfirmation(now time.Time) {
	k := m.keeper
	if k == nil || m.op != nil || !m.storeUp {
		return
	}
	interval := m.cfg.Timing.Alone / 8
	if now.Sub(k.confirmedAt) > interval && now.Sub(m.readSent) > interval/8 {
		m.read(now)
	}
}

func (m *Machine) publish(now time.Time) {
	k := m.keeper
	k.lastPublish = now
	m.emit(PublishView{View: oriole.View{
		Group:  m.cfg.Group,
		Term:   k.term,
		Keeper: m.cfg.Self,
		Deputy: k.deputy,
	}})
}

// checkHandover gives the group to the deputy when this gateway leaves, once
// no request runs.
func (m *Machine) checkHandover(now time.Time, busy func(int) bool) {
	k := m.keeper
	if k == nil || m.op != nil || k.alone != aloneOff || !m.storeUp {
		return
	}
	succeeds := k.successor != "" && k.successor == k.deputy && k.echo > 0 && !k.frozen
	if !m.leaving && !succeeds {
		return
	}
	if k.deputy == "" || !m.fit(k.deputy) || now.Sub(k.ackAt) > m.cfg.Timing.Silence {
		k.handingOver = false
		return
	}
	if k.ackSeq < k.table.Seq || m.moving() || k.proposal != nil {
		// The successor must have the table, and no move may be half done.
		m.cancelMoves()
		return
	}
	k.handingOver = true
	if anyBusy(m.cfg.Slices, busy) {
		return
	}
	rec := m.rec.Clone()
	rec.Term = k.term.NextStored()
	rec.Keeper = k.deputy
	// The new keeper chooses its deputy among those that it hears itself.
	rec.Deputy = ""
	rec.Round++
	rec.Table = k.table.Clone()
	k.frozen = true
	m.write(now, oriole.PurposeHandover, rec)
}

// handOver names the gateway that this group is to be handed over to.
func (m *Machine) handOver(to oriole.GatewayID) {
	if m.keeper != nil && to != m.cfg.Self && m.fit(to) {
		m.keeper.successor = to
	}
}

func anyBusy(n int, busy func(int) bool) bool {
	if busy == nil {
		return false
	}
	for i := range max(n, 1) {
		if busy(i) {
			return true
		}
	}
	return false
}

func (m *Machine) handedOver() {
	k := m.keeper
	m.note(NoteHandover, oriole.NoServer, 0)
	m.keeper = nil
	m.role = RoleNone
	m.deputy = deputyState{}
	if k != nil {
		m.emit(ShareRecord{To: m.rec.Keeper, Record: m.rec.Clone(), Version: m.ver})
	}
}
