package oriolegroup

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
)

// attemptMemory is how long an attempt to fill a vacancy counts.
const attemptMemory = 10 * time.Second

// settleSilences is how many times the silence a gateway waits that may not
// have heard of the others yet.
const settleSilences = 8

// maxDoublings bounds the wait before the next attempt.
const maxDoublings = 4

// deputyState is what a deputy knows of its keeper.
type deputyState struct {
	term     oriole.Term
	lastBeat time.Time
	// lastNumber is the newest heartbeat's; older ones that arrive late must
	// not bring back a permission that has ended.
	lastNumber uint64
	heard      bool
	table      oriole.Table
	// ackSent holds when each of the newest acknowledgements was sent.
	ackSent [beatHistory]time.Time
	lastAck time.Time
	alone   bool
	// rightEnd bounds the right to take the reserved term.
	rightEnd time.Time
}

// authorityEnd returns when the keeper's authority has surely ended, if the
// deputy acknowledges nothing more.
func (d *deputyState) authorityEnd(now time.Time, timing Timing) time.Time {
	base := d.lastAck
	if base.IsZero() {
		// The keeper's authority may rest on the former deputy.
		base = now
	}
	return base.Add(timing.stretch(timing.Lease))
}

func (m *Machine) beatReceived(now time.Time, e BeatReceived) {
	beat := e.Beat
	if m.isBarred(beat.Term, beat.Round) {
		// Not an acknowledgement, and not news of a higher term either.
		m.emit(SendAck{To: e.From, Ack: oriole.BeatAck{Group: m.cfg.Group, Number: beat.Number, Refused: true}})
		return
	}
	if beat.Term < m.term() || (m.role == RoleKeeper && beat.Term == m.term()) {
		m.refuseBeat(e)
		return
	}
	if m.op != nil {
		// A takeover is under way; an acknowledgement would extend the
		// authority that it has to wait out.
		return
	}
	if m.role == RoleKeeper {
		m.yieldTo(beat.Term, e.From)
	}
	m.follow(now, e)
	d := &m.deputy
	if beat.Number <= d.lastNumber {
		return
	}
	d.lastNumber = beat.Number
	d.heard = true
	d.lastBeat = now
	if beat.Table.Owner != nil && (d.table.Owner == nil || beat.Table.Seq >= d.table.Seq) {
		d.table = beat.Table.Clone()
	}
	d.alone = beat.Alone
	if sent := d.ackSent[beat.Echo%beatHistory]; beat.Alone && beat.Echo > 0 && !sent.IsZero() {
		d.rightEnd = sent.Add(beat.Left)
	}
	d.ackSent[beat.Number%beatHistory] = now
	d.lastAck = now
	m.emit(SendAck{To: e.From, Ack: oriole.BeatAck{
		Group:  m.cfg.Group,
		Term:   beat.Term,
		Number: beat.Number,
		Alone:  beat.Alone,
		Seq:    d.table.Seq,
	}})
}

// follow makes this gateway the sender's deputy.
func (m *Machine) follow(now time.Time, e BeatReceived) {
	beat := e.Beat
	if m.role != RoleDeputy || m.deputy.term != beat.Term {
		m.role = RoleDeputy
		m.deputy = deputyState{term: beat.Term, lastBeat: now}
		if m.rec.Term == beat.Term {
			m.deputy.table = m.rec.Table.Clone()
		}
	}
	if beat.Version > m.ver && m.storeUp {
		m.read(now)
	}
}

func (m *Machine) refuseBeat(e BeatReceived) {
	m.emit(SendAck{To: e.From, Ack: oriole.BeatAck{
		Group:   m.cfg.Group,
		Term:    m.term(),
		Number:  e.Beat.Number,
		Refused: true,
	}})
}

// deputyTick takes the group over when the keeper is silent.
func (m *Machine) deputyTick(now time.Time) {
	d := &m.deputy
	if m.leaving || now.Sub(d.lastBeat) <= m.cfg.Timing.Silence {
		return
	}
	if d.alone && m.cfg.Fenced && !m.storeUp {
		m.takeReserved(now)
		return
	}
	if !m.storeUp || m.op != nil {
		return
	}
	m.takeover(now, d.table)
}

// takeover writes this gateway into the record as the keeper of a new term.
func (m *Machine) takeover(now time.Time, table oriole.Table) {
	if len(table.Owner) != m.cfg.Slices || table.Seq < m.rec.Table.Seq {
		table = m.rec.Table
	}
	rec := oriole.Record{
		Group:  m.cfg.Group,
		Term:   m.rec.Term.NextStored(),
		Keeper: m.cfg.Self,
		Deputy: m.chooseDeputy(m.rec.Keeper),
		Doubt:  m.rec.Doubt || m.role != RoleDeputy || m.deputy.alone || !m.deputy.heard,
		Down:   slices.Clone(m.rec.Down),
		Table:  table.Clone(),
	}
	m.write(now, oriole.PurposeTakeover, rec)
}

// takeReserved takes the term that the record reserves for the deputy. Until
// the keeper resigns, it may renew leases just as this gateway may; servers
// arbitrate between the two, and no slice leaves a server that is lost.
func (m *Machine) takeReserved(now time.Time) {
	d := m.deputy
	if !now.Before(d.rightEnd) || len(d.table.Owner) != m.cfg.Slices {
		return
	}
	k := m.newKeeper(now, oriole.Record{Term: d.term.Reserved(), Table: d.table})
	k.alone = aloneOn
	k.rightEnd = d.rightEnd
	m.inherit(k, m.aloneEnd(now), true)
	k.foreigners = m.others(m.rec.Keeper)
	m.startKeeper(now, k)
}

// resignReceived shortens the wait for leases that the former keeper gave:
// none can outlast the span of one lease.
func (m *Machine) resignReceived(now time.Time, e ResignReceived) {
	k := m.keeper
	if k == nil || e.Resign.Term != k.term || !slices.Contains(k.foreigners, e.From) {
		return
	}
	k.foreigners = slices.DeleteFunc(k.foreigners, func(id oriole.GatewayID) bool { return id == e.From })
	if len(k.foreigners) > 0 {
		return
	}
	last := now.Add(m.cfg.Timing.stretch(m.cfg.Timing.Lease))
	for i := range k.servers {
		k.servers[i].foreignUntil = earlier(k.servers[i].foreignUntil, last)
	}
}

// vacancyTick fills the place of a keeper that is lost together with its
// deputy, or that never was.
func (m *Machine) vacancyTick(now time.Time) {
	if m.op != nil || m.leaving || !m.storeUp {
		return
	}
	if !m.known {
		if now.Sub(m.readSent) > m.cfg.Timing.Silence {
			m.read(now)
		}
		return
	}
	wait, vacant := m.vacancyWait()
	if !vacant {
		m.vacantSince = time.Time{}
		return
	}
	if m.vacantSince.IsZero() {
		m.vacantSince = now
	}
	since := m.vacantSince
	if m.ver == 0 {
		// The first keepers are chosen among gateways that see each other, so
		// that the groups spread over all of them.
		since = later(since, m.membersAt)
	}
	if now.Sub(since) < wait+m.backoff(now) {
		return
	}
	m.vacantSince = now
	m.attempts++
	m.lastAttempt = now
	if m.ver == 0 {
		m.create(now)
		return
	}
	m.takeover(now, m.rec.Table)
}

// backoff lengthens the wait of a gateway that keeps taking over a group and
// keeps losing it: two gateways that can't hear each other would otherwise
// take it from each other without end.
func (m *Machine) backoff(now time.Time) time.Duration {
	if now.Sub(m.lastAttempt) > attemptMemory {
		m.attempts = 0
	}
	return m.cfg.Timing.Silence * time.Duration(int(1)<<min(m.attempts, maxDoublings)-1)
}

// vacancyWait returns whether the group lacks a keeper and how long this
// gateway leaves it to those that come before it.
func (m *Machine) vacancyWait() (wait time.Duration, vacant bool) {
	silence := m.cfg.Timing.Silence
	rank := time.Duration(m.rank())
	switch {
	case m.ver == 0 && len(m.members) < 2:
		// The list of VMs lags: a gateway that sees no other waits for it, so
		// that the first one to start does not take every group.
		return settleSilences * silence, true
	case m.ver == 0:
		return 2*silence + rank*silence, true
	case m.rec.Keeper != m.cfg.Self && m.alive(m.rec.Keeper):
		return 0, false
	case m.rec.Keeper != m.cfg.Self && !m.knows(m.rec.Keeper):
		// This gateway may be too new to have heard of the keeper.
		return settleSilences*silence + rank*silence, true
	case m.rec.Deputy != "" && m.rec.Deputy != m.cfg.Self && m.alive(m.rec.Deputy):
		return 6*silence + rank*silence, true
	default:
		return silence + rank*silence/2, true
	}
}

func (m *Machine) create(now time.Time) {
	owner := make([]int, m.cfg.Slices)
	for i := range owner {
		owner[i] = oriole.NoServer
	}
	usable := make([]bool, len(m.cfg.Servers))
	for i := range usable {
		usable[i] = !m.out[i]
	}
	table := m.cfg.Spreader.Spread(oriole.Table{Owner: owner}, usable)
	table.Seq = 1
	m.write(now, oriole.PurposeCreate, oriole.Record{
		Group:  m.cfg.Group,
		Term:   oriole.Term(0).NextStored(),
		Keeper: m.cfg.Self,
		Deputy: m.chooseDeputy(""),
		Table:  table,
	})
}

// rank returns this gateway's place among the live ones for the group.
func (m *Machine) rank() int {
	own := oriolehash.Rank(string(m.cfg.Group), string(m.cfg.Self))
	rank := 0
	for _, c := range m.members {
		if c.Alive && c.ID != m.cfg.Self && oriolehash.Rank(string(m.cfg.Group), string(c.ID)) < own {
			rank++
		}
	}
	return rank
}

// chooseDeputy returns the first fit gateway by rank, one of another zone if
// there is any; never this gateway or the one to avoid.
func (m *Machine) chooseDeputy(avoid oriole.GatewayID) oriole.GatewayID {
	var best Candidate
	var bestRank uint64
	for _, c := range m.members {
		if !c.Fit || c.ID == m.cfg.Self || c.ID == avoid {
			continue
		}
		rank := oriolehash.Rank(string(m.cfg.Group), string(c.ID))
		other := c.Zone != m.cfg.Zone
		bestOther := best.ID != "" && best.Zone != m.cfg.Zone
		if best.ID == "" || (other && !bestOther) || (other == bestOther && rank < bestRank) {
			best, bestRank = c, rank
		}
	}
	return best.ID
}
