package oriolecontrol

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

// decider is the duty that owns the machines of all groups and what is known
// of the other gateways.
type decider struct {
	control  *Control
	machines map[oriole.GroupID]*machine
	order    []*machine
	members  *membership
	lastUp   time.Time
	sight    time.Time
	balanced time.Time
	// settings is the stored object in force, and resent tells when each peer
	// was sent a copy.
	settings oriole.Object
	resent   map[oriole.GatewayID]time.Time
	// looked is when the members were last looked at, and changed when they
	// changed.
	looked  time.Time
	changed time.Time
}

// machine is the decision state of one group and the rings of its servers.
type machine struct {
	spec   orioleconfig.Group
	decide *oriolegroup.Machine
	grants []*oriolering.Ring[oriole.Grant]
	busy   func(int) bool
}

func newDecider(c *Control) *decider {
	return &decider{control: c}
}

func (d *decider) String() string { return "decide" }

// reset forgets everything: after a failure of this duty, no lease and no
// permission that it remembers can be trusted.
func (d *decider) reset() {
	c := d.control
	restarted := d.machines != nil
	d.machines = make(map[oriole.GroupID]*machine)
	d.order = nil
	d.members = newMembership(c.cfg.Self)
	d.resent = make(map[oriole.GatewayID]time.Time)
	for _, g := range c.groups {
		m := &machine{
			spec:   g,
			decide: oriolegroup.New(c.machineConfig(g, restarted)),
			busy:   func(slice int) bool { return c.cfg.Busy(g.ID, slice) },
		}
		d.machines[g.ID] = m
		d.order = append(d.order, m)
		c.cfg.Route(g.ID, &oriole.Routing{})
	}
	d.applyOut(c.cfg.Settings())
}

// Serve implements suture.Service.
func (d *decider) Serve(ctx context.Context) error {
	d.reset()
	c := d.control
	ticks, stop := c.cfg.Timers.Subscribe(decideInterval)
	defer stop()
	for {
		select {
		case in := <-c.in.Out():
			c.cfg.Gate.Wait(ctx)
			d.take(in)
		case <-ticks:
			c.cfg.Gate.Wait(ctx)
			d.tick()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *decider) take(in input) {
	now := d.control.cfg.Timers.Now()
	switch {
	case in.frame != nil:
		d.members.heard(in.from, now)
		d.receive(in.from, in.frame)
	case in.connected != nil:
		// The list may not show the peer yet, which has dialled already.
		d.control.cfg.Network.SetMembers([]oriole.Member{*in.connected})
		d.members.introduce(*in.connected)
		d.sendViews(in.connected.ID)
	case in.members != nil:
		d.members.setListed(in.members, now)
		d.control.cfg.Network.SetMembers(in.members)
	case in.objects != nil || in.current:
		d.watched(in.objects)
		if in.current {
			d.control.known.Store(true)
		}
	case in.pulse != nil:
		d.pulsed(in.pulse.up)
	case in.group != "":
		if m := d.machines[in.group]; m != nil {
			d.step(m, in.event)
		}
	case in.event != nil:
		d.stepAll(in.event)
	}
}

func (d *decider) tick() {
	now := d.control.cfg.Timers.Now()
	if now.Sub(d.looked) >= candidateInterval {
		d.looked = now
		d.lookAround(now)
	}
	free := true
	for _, m := range d.order {
		d.step(m, oriolegroup.Tick{Busy: m.busy})
		free = free && m.decide.Free()
	}
	// The last gateway has no one to hand over to.
	d.control.free.Store(free || !d.members.othersFit())
	if now.Sub(d.balanced) >= balanceInterval {
		d.balanced = now
		d.balance(now)
		d.report()
	}
	if now.Sub(d.sight) >= SightEvery(len(d.members.known)) {
		d.sight = now
		d.sendSight(now)
	}
}

// report publishes the state of all groups.
func (d *decider) report() {
	views := *d.control.views.Load()
	var status []GroupStatus
	for _, m := range d.order {
		view := views[m.spec.ID]
		rec, _ := m.decide.Record()
		group := GroupStatus{
			Group:  m.spec.ID,
			Role:   m.decide.Role().String(),
			Term:   view.Term,
			Keeper: view.Keeper,
			Deputy: view.Deputy,
			Doubt:  rec.Doubt,
		}
		if m.decide.Role() == oriolegroup.RoleKeeper {
			group.Servers = serverStatus(m, rec)
		}
		status = append(status, group)
	}
	d.control.status.Store(&status)
}

func serverStatus(m *machine, rec oriole.Record) []ServerStatus {
	routing := m.decide.Routing()
	slices := oriole.Table{Owner: routing.Owner}.Counts(len(m.spec.Servers))
	var status []ServerStatus
	for i, server := range m.spec.Servers {
		status = append(status, ServerStatus{
			Server: server.ID,
			Zone:   server.Zone,
			Slices: slices[i],
			Lost:   routing.Lost[i],
			Down:   rec.IsDown(i),
			Out:    routing.Out[i],
		})
	}
	return status
}

// lookAround tells the machines of changes among the gateways.
func (d *decider) lookAround(now time.Time) {
	candidates, changed := d.members.candidates(now, d.silence())
	if changed {
		d.changed = now
		d.stepAll(oriolegroup.MembersChanged{Members: candidates})
	}
	d.control.watching.Store(d.members.watches(now, d.silence()))
}

// silence is the time after which a gateway that is not heard counts as lost.
func (d *decider) silence() time.Duration {
	return LinkSilence(2*time.Duration(d.control.cfg.Settings().Lease.Silence), len(d.members.known))
}

func (d *decider) sendSight(now time.Time) {
	c := d.control
	c.cfg.Network.Broadcast(&oriolewire.Frame{Sight: &oriolewire.Sight{
		Lost:    d.members.lost(now, d.silence()),
		Leaving: c.leaving.Load() || c.yielding.Load(),
		Store:   c.storeUp.Load(),
		Clock:   c.cfg.Timeline.Clock(),

		Settings: c.version.Load(),
		Known:    c.known.Load(),
	}})
}

// applyOut tells the machines which servers must not own slices.
func (d *decider) applyOut(s *orioleconfig.Settings) {
	for _, m := range d.order {
		d.step(m, oriolegroup.ServersOut{Out: s.OutServers(m.spec)})
	}
	d.checkZone()
}

func (d *decider) stepAll(event oriolegroup.Event) {
	for _, m := range d.order {
		d.step(m, event)
	}
}

// step runs one decision and carries out its effects.
func (d *decider) step(m *machine, event oriolegroup.Event) {
	before := m.decide.Role()
	effects := m.decide.Step(d.control.cfg.Timers.Now(), event)
	// Routing goes first: a request path that still follows the old routing
	// must see that a slice is on the move before its release is asked for.
	if before == oriolegroup.RoleKeeper || m.decide.Role() == oriolegroup.RoleKeeper {
		d.control.cfg.Route(m.spec.ID, m.decide.Routing())
	}
	for _, effect := range effects {
		d.carryOut(m, effect)
	}
}

func (d *decider) carryOut(m *machine, effect oriolegroup.Effect) {
	c := d.control
	switch e := effect.(type) {
	case oriolegroup.SendBeat:
		c.cfg.Network.Send(e.To, &oriolewire.Frame{Beat: oriolewire.FromBeat(e.Beat)})
	case oriolegroup.SendAck:
		c.cfg.Network.Send(e.To, &oriolewire.Frame{Ack: oriolewire.FromAck(e.Ack)})
	case oriolegroup.SendResign:
		c.cfg.Network.Send(e.To, &oriolewire.Frame{Resign: oriolewire.FromResign(e.Resign)})
	case oriolegroup.ShareRecord:
		c.cfg.Network.Send(e.To, shareFrame(e.Record, e.Version))
	case oriolegroup.SendGrant:
		d.sendGrant(m, e.Grant)
	case oriolegroup.WriteRecord:
		d.call(m, storeCall{group: m.spec.ID, write: &e})
	case oriolegroup.ReadRecord:
		d.call(m, storeCall{group: m.spec.ID, read: &e})
	case oriolegroup.PublishView:
		d.learnView(e.View)
		c.cfg.Network.Broadcast(&oriolewire.Frame{View: oriolewire.FromView(e.View)})
	case oriolegroup.Note:
		d.note(m, e)
	}
}

func shareFrame(rec oriole.Record, ver oriole.Version) *oriolewire.Frame {
	return &oriolewire.Frame{Share: &oriolewire.Share{Record: oriolewire.FromRecord(rec), Version: uint64(ver)}}
}

// sendGrant hands a grant to the duty of its server. The duties of a group
// start with its first grant.
func (d *decider) sendGrant(m *machine, grant oriole.Grant) {
	c := d.control
	if m.grants == nil {
		granter := c.cfg.Granter(m.spec.Service)
		for _, server := range m.spec.Servers {
			ring := oriolering.New[oriole.Grant](grantRing)
			m.grants = append(m.grants, ring)
			c.Add(&grantDuty{control: c, group: m.spec.ID, server: server, granter: granter, ring: ring})
		}
	}
	if !m.grants[grant.Server].Offer(grant) {
		c.cfg.Metrics.Add("grant_ring_full", 1)
	}
}

// call hands a call to the store duties. When their ring is full the call has
// certainly not been made, and the machine learns that no answer came.
func (d *decider) call(m *machine, call storeCall) {
	if d.control.store.Offer(call) {
		return
	}
	d.control.cfg.Metrics.Add("store_ring_full", 1)
	d.step(m, call.lost())
}

func (d *decider) note(m *machine, n oriolegroup.Note) {
	event := oriolesight.Event{Kind: string(n.Kind), Group: m.spec.ID, Term: n.Term, Count: n.Count}
	if n.Server >= 0 && n.Server < len(m.spec.Servers) {
		event.Server = m.spec.Servers[n.Server].ID
	}
	d.control.cfg.Timeline.Add(event)
	d.control.cfg.Metrics.Add("event_"+string(n.Kind), 1)
	if n.Kind == oriolegroup.NoteMoved {
		d.control.cfg.Metrics.Add("slices_moved", int64(n.Count))
	}
}

// receive sorts the frame of a peer to the machine it belongs to.
func (d *decider) receive(from oriole.GatewayID, frame *oriolewire.Frame) {
	var group oriole.GroupID
	var event oriolegroup.Event
	var err error
	switch {
	case frame.Beat != nil:
		var beat oriole.Beat
		beat, err = frame.Beat.ToBeat()
		group, event = beat.Group, oriolegroup.BeatReceived{From: from, Beat: beat}
	case frame.Ack != nil:
		var ack oriole.BeatAck
		ack, err = frame.Ack.ToAck()
		group, event = ack.Group, oriolegroup.AckReceived{From: from, Ack: ack}
	case frame.Resign != nil:
		var resign oriole.Resign
		resign, err = frame.Resign.ToResign()
		group, event = resign.Group, oriolegroup.ResignReceived{From: from, Resign: resign}
	case frame.Share != nil:
		var rec oriole.Record
		rec, err = frame.Share.Record.ToRecord()
		group, event = rec.Group, oriolegroup.RecordSeen{Record: rec, Version: oriole.Version(frame.Share.Version)}
	case frame.View != nil:
		var view oriole.View
		if view, err = frame.View.ToView(); err == nil {
			d.learnView(view)
		}
	case frame.Sight != nil:
		d.sighted(from, frame.Sight)
	case frame.Object != nil && frame.Object.Name == SettingsObject:
		d.applySettings(oriole.Object{
			Name:    frame.Object.Name,
			Version: oriole.Version(frame.Object.Version),
			Value:   frame.Object.Value,
		})
	}
	m := d.machines[group]
	switch {
	case err != nil || (event != nil && m == nil) || !d.fits(m, event):
		d.control.cfg.Metrics.Add("peer_frames_refused", 1)
	case event != nil:
		d.step(m, event)
	}
}

// fits reports whether the tables in an event have the size of the group.
func (d *decider) fits(m *machine, event oriolegroup.Event) bool {
	switch e := event.(type) {
	case oriolegroup.BeatReceived:
		return e.Beat.Table.Owner == nil || m.fits(e.Beat.Table)
	case oriolegroup.RecordSeen:
		return m.fits(e.Record.Table)
	}
	return true
}

func (m *machine) fits(t oriole.Table) bool {
	if m == nil || len(t.Owner) != m.spec.Slices {
		return false
	}
	for _, owner := range t.Owner {
		if owner >= len(m.spec.Servers) {
			return false
		}
	}
	return true
}

func (d *decider) sighted(from oriole.GatewayID, s *oriolewire.Sight) {
	now := d.control.cfg.Timers.Now()
	d.control.cfg.Timeline.Observe(s.Clock)
	d.compareSettings(from, s, now)
	d.members.sighted(from, s, now)
	if !d.control.watching.Load() {
		if up, known := d.members.storeSeen(now, d.silence()); known {
			d.pulsed(up)
		}
	}
}

// pulsed takes in whether the store answers. It counts as away only after
// repeated failures over the time of a silence.
func (d *decider) pulsed(up bool) {
	c := d.control
	now := c.cfg.Timers.Now()
	if up {
		d.lastUp = now
	}
	healthy := up || now.Sub(d.lastUp) < time.Duration(c.cfg.Settings().Lease.Silence)
	if healthy != c.storeUp.Load() {
		kind := "store-away"
		if healthy {
			kind = "store-back"
		}
		c.cfg.Timeline.Add(oriolesight.Event{Kind: kind})
		c.storeUp.Store(healthy)
	}
	d.stepAll(oriolegroup.StoreHealth{Up: healthy})
}

// watched takes in objects that changed in the store and passes them on.
func (d *decider) watched(objects []oriole.Object) {
	for _, object := range objects {
		if object.Name == SettingsObject {
			d.applySettings(object)
			continue
		}
		name, isGroup := strings.CutPrefix(object.Name, recordPrefix)
		m := d.machines[oriole.GroupID(name)]
		if !isGroup || m == nil {
			continue
		}
		rec, err := decodeRecord(object.Value)
		if err != nil || rec.Group != m.spec.ID || !m.fits(rec.Table) {
			d.control.cfg.Metrics.Add("store_objects_refused", 1)
			continue
		}
		d.step(m, oriolegroup.RecordSeen{Record: rec, Version: object.Version})
		d.learnView(oriole.View{Group: rec.Group, Term: rec.Term, Keeper: rec.Keeper, Deputy: rec.Deputy})
		for _, id := range d.members.zonePeers() {
			d.control.cfg.Network.Send(id, shareFrame(rec, object.Version))
		}
	}
}

// sendViews tells a peer of all groups.
func (d *decider) sendViews(to oriole.GatewayID) {
	for _, view := range *d.control.views.Load() {
		d.control.cfg.Network.Send(to, &oriolewire.Frame{View: oriolewire.FromView(view)})
	}
}

// learnView keeps the newest view of each group for the entry.
func (d *decider) learnView(v oriole.View) {
	c := d.control
	old := *c.views.Load()
	if v.Term < old[v.Group].Term || v == old[v.Group] {
		return
	}
	if before := old[v.Group].Keeper; before != "" && before != v.Keeper {
		c.cfg.Network.GiveUp(before, v.Group)
	}
	next := maps.Clone(old)
	next[v.Group] = v
	c.views.Store(&next)
	changed := make(chan struct{})
	close(*c.changed.Swap(&changed))
}
