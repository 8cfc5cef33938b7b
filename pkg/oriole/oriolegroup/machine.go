package oriolegroup

import (
	"math"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Timing holds the intervals of the protocol. All gateways of a system use the
// same values.
type Timing struct {
	// Lease is the span of a server's lease and of a keeper's authority.
	Lease time.Duration
	// Beat is the interval of heartbeats and renewals.
	Beat time.Duration
	// Silence is the time without an answer after which a peer or a server is
	// taken for lost.
	Silence time.Duration
	// Alone bounds how long gateways may act without the store.
	Alone time.Duration
	// Work bounds the run time of one request, for servers that do not check
	// grants.
	Work time.Duration
	// Drift bounds the rate error of any clock, as a fraction.
	Drift float64
}

// stretch returns a time on this clock that surely exceeds d on another.
func (t Timing) stretch(d time.Duration) time.Duration {
	return d + time.Duration(3*t.Drift*float64(d))
}

// Config describes one group to its machine.
type Config struct {
	Self    oriole.GatewayID
	Zone    oriole.ZoneName
	Group   oriole.GroupID
	Servers []oriole.Upstream
	// Slices is the number of slices of the group, 0 if its service is not
	// divided.
	Slices int
	// Fenced says that the servers check grants.
	Fenced bool
	Timing Timing
	// Spreader places the slices of lost servers; Leveler also evens out.
	Spreader oriole.Spreader
	Leveler  oriole.Spreader
	// Batch is the most slices that a planned move takes at once.
	Batch int
	// Restarted says that an earlier machine of this gateway may have acted
	// for the group. What it promised is forgotten, so this one takes no part
	// in the terms that it may have acted under.
	Restarted bool
}

// Role is what a gateway is to a group.
type Role int

// The roles of a gateway.
const (
	RoleNone Role = iota
	RoleDeputy
	RoleKeeper
)

var roleNames = [...]string{"none", "deputy", "keeper"}

// String returns the role's name.
func (r Role) String() string { return roleNames[r] }

// Machine is the decision state of one gateway for one group.
type Machine struct {
	cfg     Config
	role    Role
	rec     oriole.Record
	ver     oriole.Version
	known   bool
	members []Candidate
	// membersAt is when the members changed last.
	membersAt time.Time
	storeUp   bool
	op        *operation
	keeper    *keeperState
	deputy    deputyState
	// vacantSince is when this gateway first saw the group without a keeper.
	vacantSince time.Time
	attempts    int
	lastAttempt time.Time
	lastTick    time.Time
	// reading is the number of the read under way, 0 if there is none.
	reading  uint64
	readSent time.Time
	opCount  uint64
	out      []bool
	leaving  bool
	// barred and barredRound are the newest term and round in which a
	// forgotten machine of this gateway may have acted.
	barred      oriole.Term
	barredRound uint64
	effects     []Effect
}

// New returns the machine of a gateway that knows nothing of the group yet.
func New(cfg Config) *Machine {
	m := &Machine{
		cfg:     cfg,
		out:     make([]bool, len(cfg.Servers)),
		storeUp: true,
		rec:     oriole.Record{Group: cfg.Group},
	}
	if cfg.Restarted {
		m.barred = math.MaxUint64
	}
	return m
}

// Step applies one event at the given time and returns its effects in order.
// The returned slice is valid until the next call.
func (m *Machine) Step(now time.Time, event Event) []Effect {
	m.effects = m.effects[:0]
	switch e := event.(type) {
	case Tick:
		m.tick(now, e)
	case BeatReceived:
		m.beatReceived(now, e)
	case AckReceived:
		m.ackReceived(now, e)
	case ResignReceived:
		m.resignReceived(now, e)
	case GrantDone:
		m.grantDone(now, e)
	case WriteDone:
		m.writeDone(now, e)
	case ReadDone:
		m.readDone(now, e)
	case RecordSeen:
		m.recordSeen(now, e.Record, e.Version)
	case MembersChanged:
		m.members = e.Members
		m.membersAt = now
	case HandOver:
		m.handOver(e.To)
	case StoreHealth:
		m.storeUp = e.Up
	case ServersOut:
		copy(m.out, e.Out)
	case ServerSuspect:
		m.serverSuspect(now, e.Server)
	case Leave:
		m.leaving = !e.Stay
	}
	return m.effects
}

// Role returns the gateway's present role.
func (m *Machine) Role() Role { return m.role }

// Record returns the newest record that the machine knows, and its version.
func (m *Machine) Record() (oriole.Record, oriole.Version) { return m.rec, m.ver }

// Free reports whether the gateway holds no duty for the group and waits for
// no store answer, so that it may stop.
func (m *Machine) Free() bool { return m.role != RoleKeeper && m.op == nil }

func (m *Machine) emit(effect Effect) { m.effects = append(m.effects, effect) }

func (m *Machine) note(kind NoteKind, server, count int) {
	m.emit(Note{Kind: kind, Term: m.term(), Server: server, Count: count})
}

// term returns the term that this gateway acts under, or the newest known one.
func (m *Machine) term() oriole.Term {
	if m.keeper != nil {
		return m.keeper.term
	}
	return m.rec.Term
}

func (m *Machine) tick(now time.Time, tick Tick) {
	paused := !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.cfg.Timing.Silence/2
	m.lastTick = now
	if paused {
		// Messages that arrived during the pause are still unread, so silence
		// counts from now on.
		m.deputy.lastBeat = now
		m.vacantSince = time.Time{}
		m.forgiveSilence(now)
	}
	m.retryOperation(now)
	switch m.role {
	case RoleKeeper:
		m.keeperTick(now, tick.Busy)
	case RoleDeputy:
		m.deputyTick(now)
	case RoleNone:
		m.vacancyTick(now)
	}
}

// recordSeen takes in a record that is newer than the known one.
func (m *Machine) recordSeen(now time.Time, rec oriole.Record, ver oriole.Version) {
	if m.known && ver <= m.ver {
		return
	}
	if m.op != nil && rec.Equal(m.op.record) && ver > m.op.expected {
		m.committed(now, ver)
		return
	}
	if m.barred == math.MaxUint64 {
		m.barred = rec.Term.Reserved()
		m.barredRound = rec.Round
	}
	previous := m.rec
	wasDeputy := m.role == RoleDeputy
	m.known = true
	m.rec = rec.Clone()
	m.ver = ver
	// Whoever wrote the record lived a moment ago.
	m.vacantSince = time.Time{}
	if m.role == RoleKeeper {
		m.yieldTo(rec.Term, rec.Keeper)
		return
	}
	handedOver := m.role == RoleDeputy && m.deputy.term == previous.Term && rec.Term == previous.Term.NextStored()
	if rec.Keeper == m.cfg.Self && handedOver && m.op == nil {
		m.becomeKeeper(now, &operation{purpose: oriole.PurposeHandover, record: m.rec}, previous)
		m.read(now)
		return
	}
	m.followRecord(now)
	if wasDeputy && rec.Term > previous.Term && rec.Keeper != m.cfg.Self {
		m.resign(rec.Keeper, rec.Term)
	}
}

// resign tells the keeper of a higher term that this gateway renews no lease
// of a lower one.
func (m *Machine) resign(to oriole.GatewayID, term oriole.Term) {
	if to != "" && to != m.cfg.Self {
		m.emit(SendResign{To: to, Resign: oriole.Resign{Group: m.cfg.Group, Term: term}})
	}
}

// followRecord sets the role of a gateway that is not the keeper by the known
// record.
func (m *Machine) followRecord(now time.Time) {
	if m.rec.Deputy != m.cfg.Self || m.isBarred(m.rec.Term, m.rec.Round) {
		m.role = RoleNone
		m.deputy = deputyState{}
		return
	}
	if m.role == RoleDeputy && m.deputy.term == m.rec.Term {
		return
	}
	m.role = RoleDeputy
	m.deputy = deputyState{term: m.rec.Term, lastBeat: now, table: m.rec.Table.Clone()}
}

// isBarred reports whether a forgotten machine of this gateway may have made
// promises in the term and round.
func (m *Machine) isBarred(term oriole.Term, round uint64) bool {
	return term < m.barred&^1 || (term <= m.barred && round <= m.barredRound)
}

// yieldTo stands down if term is higher than the one this gateway serves.
func (m *Machine) yieldTo(term oriole.Term, to oriole.GatewayID) {
	if m.keeper == nil || term <= m.keeper.term {
		return
	}
	m.keeper = nil
	m.role = RoleNone
	m.deputy = deputyState{}
	m.note(NoteStoodDown, oriole.NoServer, 0)
	m.resign(to, term)
}

// knows reports whether the gateway is among the members.
func (m *Machine) knows(id oriole.GatewayID) bool {
	return slices.ContainsFunc(m.members, func(c Candidate) bool { return c.ID == id })
}

// fit reports whether the gateway may be given duties.
func (m *Machine) fit(id oriole.GatewayID) bool {
	return slices.ContainsFunc(m.members, func(c Candidate) bool { return c.ID == id && c.Fit })
}

func (m *Machine) alive(id oriole.GatewayID) bool {
	for _, c := range m.members {
		if c.ID == id {
			return c.Alive
		}
	}
	return false
}
