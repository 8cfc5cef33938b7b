package oriolestate

import (
	"maps"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

type configUpdate []oriole.Change[*oriole.Config]

// configListUpdate is a configUpdate that replaces all entries known so far.
type configListUpdate struct{ configUpdate }

func newConfigUpdate(reset bool, changes []oriole.Change[*oriole.Config]) update {
	if reset {
		return configListUpdate{changes}
	}
	return configUpdate(changes)
}

func (u configListUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	clear(b.storedConfigs)
	u.configUpdate.apply(state, b)
}

// apply keeps the highest configuration version: the version in force never
// decreases.
func (u configUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	for _, change := range u {
		delete(b.storedConfigs, change.Name)
		if !change.Removed {
			b.storedConfigs[change.Name] = change.Value.Version
		}
		if change.Removed || (state.Config != nil && change.Value.Version <= state.Config.Version) {
			continue
		}
		state.SetConfig(b.cfg.ApplyOverlay(change.Value), b.now)
		b.cfg.Log.WithField("version", change.Value.Version).Info(oriolelog.MessageConfigApplied)
	}
}

type upstreamUpdate struct {
	reset   bool
	changes []oriole.Change[oriole.Upstream]
}

func newUpstreamUpdate(reset bool, changes []oriole.Change[oriole.Upstream]) update {
	return upstreamUpdate{reset, changes}
}

// apply sets the upstreams that the update lists. Removed ones, and after a
// reset those that are not listed, are marked as missing.
func (u upstreamUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	if u.reset {
		// This list replaces the one by which upstreams are held.
		clear(b.held)
		listed := make(map[oriole.ServerID]bool)
		for _, change := range u.changes {
			listed[oriole.ServerID(change.Name)] = true
		}
		for id := range state.Upstreams {
			if !listed[id] {
				b.missing[id] = true
			}
		}
	}
	for _, change := range u.changes {
		id := oriole.ServerID(change.Name)
		delete(b.held, id)
		_, known := state.Upstreams[id]
		if change.Removed {
			if known {
				b.missing[id] = true
			}
			continue
		}
		delete(b.missing, id)
		if u.reset && !known && b.recentlyRestored(oriolemessage.KindUpstreams) && b.hasLeft(change.Value) {
			// The entry may be older than the upstream's departure.
			b.held[id] = change.Value
			continue
		}
		b.setUpstream(state, change.Value)
	}
	if !b.listed["upstreams"] {
		b.cfg.Log.WithField("upstreams", len(state.Upstreams)).Info(oriolelog.MessageUpstreamsListed)
	}
	b.listed["upstreams"] = true
	b.sweep(state)
}

// setUpstream adds or replaces an upstream. An entry of an earlier incarnation
// than the known one is stale and ignored. An incarnation that drains never stops
// doing so: an entry that says otherwise is older.
func (b *bookkeeping) setUpstream(state *oriole.ClusterState, u oriole.Upstream) {
	old, known := state.Upstreams[u.ID]
	if known && old.StartedAt.After(u.StartedAt) {
		return
	}
	if u.ColdRemaining > 0 {
		u.ColdUntil = b.now.Add(u.ColdRemaining)
	}
	if until := b.coldUntil[u.Zone]; b.now.Before(until) && u.ColdUntil.Before(until) {
		u.ColdUntil = until
	}
	switch {
	case known && old.Incarnation() == u.Incarnation():
		u.Draining = u.Draining || old.Draining
		if b.recentlyRestored(oriolemessage.KindUpstreams) && u.ColdUntil.Before(old.ColdUntil) {
			u.ColdUntil = old.ColdUntil
		}
	case known:
		b.markDeparted(state, old)
	}
	if left := b.left[u.ID]; left.startedAt.Equal(u.StartedAt) {
		u.Draining = u.Draining || left.draining
		delete(b.left, u.ID)
	}
	b.markLeaving(&u)
	changed := !known || old.Incarnation() != u.Incarnation() || old.Draining != u.Draining || old.Addr != u.Addr
	if changed && b.listed["upstreams"] {
		b.cfg.Log.WithFields(log.Fields{
			"upstream": u.ID, "service": u.Service, "zone": u.Zone, "addr": u.Addr.String(),
			"born": u.StartedAt.UnixMilli(), "draining": u.Draining, "cold": u.ColdRemaining.String(),
		}).Info(oriolelog.MessageUpstreamChanged)
	}
	state.EditUpstreams()[u.ID] = u
}

// markDeparted keeps an incarnation that has ended, so that its leases can be
// released.
func (b *bookkeeping) markDeparted(state *oriole.ClusterState, u oriole.Upstream) {
	state.EditDeparted()[u.Incarnation()] = u
	b.departedAt[u.Incarnation()] = b.now
	delete(b.leaving, u.Incarnation())
	b.recordLeft(u)
}

// sweep removes missing upstreams once no call to the directory has failed for
// removalDelay, and drops departed ones after departedRetention. It also updates
// whether the directory is loaded.
func (b *bookkeeping) sweep(state *oriole.ClusterState) {
	if b.now.Sub(state.DirectoryFailedAt) >= removalDelay && b.now.Sub(b.restoredAt[oriolemessage.KindUpstreams]) >= rewriteTime {
		for id := range b.missing {
			if u, known := state.Upstreams[id]; known {
				b.markDeparted(state, u)
				delete(state.EditUpstreams(), id)
				b.cfg.Log.WithField("upstream", id).Info(oriolelog.MessageUpstreamGone)
			}
		}
		clear(b.missing)
	}
	for incarnation, at := range b.departedAt {
		if b.now.Sub(at) > departedRetention {
			delete(b.departedAt, incarnation)
			delete(state.EditDeparted(), incarnation)
		}
	}
	b.sweepRestored(state)
	b.sweepLeaving(state)
	b.remindLeaders(state)
	state.DirectoryLoaded = b.listed["upstreams"] && b.listed["outs"] && b.listed["gateways"]
}

type evacuationUpdate struct {
	reset   bool
	changes []oriole.Change[oriole.ZoneName]
}

func newEvacuationUpdate(reset bool, changes []oriole.Change[oriole.ZoneName]) update {
	return evacuationUpdate{reset, changes}
}

func (u evacuationUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	evacuated := state.EditEvacuated()
	if u.reset {
		for zone := range evacuated {
			b.unlistedZones[zone] = true
		}
	}
	for _, change := range u.changes {
		zone := oriole.ZoneName(change.Name)
		delete(b.unlistedZones, zone)
		if change.Removed {
			b.endEvacuation(state, zone)
		} else {
			evacuated[zone] = true
		}
		b.cfg.Log.WithField("zone", zone).WithField("out", !change.Removed).Info(oriolelog.MessageZoneChanged)
	}
	b.listed["outs"] = true
	b.sweep(state)
}

// endEvacuation removes the zone from those that are evacuated.
func (b *bookkeeping) endEvacuation(state *oriole.ClusterState, zone oriole.ZoneName) {
	if state.Evacuated[zone] {
		b.limitReturning(state, zone)
		delete(state.EditEvacuated(), zone)
	}
}

// limitReturning counts the upstreams of a zone that is no longer evacuated as
// cold: they may have become so, and their entries show it only later.
func (b *bookkeeping) limitReturning(state *oriole.ClusterState, zone oriole.ZoneName) {
	until := b.now.Add(returnColdness)
	b.coldUntil[zone] = until
	upstreams := state.EditUpstreams()
	for id, u := range upstreams {
		if u.Zone == zone && u.ColdUntil.Before(until) {
			u.ColdUntil = until
			upstreams[id] = u
		}
	}
}

type gatewayUpdate struct {
	reset   bool
	changes []oriole.Change[oriole.Member]
}

func newGatewayUpdate(reset bool, changes []oriole.Change[oriole.Member]) update {
	return gatewayUpdate{reset, changes}
}

func (u gatewayUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	gateways := state.EditGateways()
	known := maps.Clone(gateways)
	restored := u.reset && b.recentlyRestored(oriolemessage.KindGateways)
	switch {
	case restored:
		for id := range gateways {
			if id != b.cfg.Self.ID {
				b.unlistedGateways[id] = true
			}
		}
	case u.reset:
		clear(gateways)
		self := b.cfg.Self
		self.Draining = known[self.ID].Draining
		gateways[self.ID] = self
		b.recordDrained(known, gateways)
	}
	selfListed := false
	for _, change := range u.changes {
		selfListed = selfListed || (!change.Removed && change.Value.ID == b.cfg.Self.ID)
		b.setGateway(gateways, known, change)
	}
	for id, m := range known {
		if _, listed := gateways[id]; !listed {
			b.recordLeaving(state, m)
		}
	}
	dropReplaced(state)
	draining := gateways[b.cfg.Self.ID].Draining
	if (u.reset && !selfListed && !draining && b.cfg.announced()) || (restored && selfListed && draining) {
		b.cfg.RequestAnnounce()
	}
	b.listed["gateways"] = true
	b.sweep(state)
}

// setGateway applies the change of one entry. Entries are keyed by VM, so that a new
// gateway replaces the earlier one on the same VM; the entry of an earlier one is
// stale. Entries do not say who is draining, which known does.
func (b *bookkeeping) setGateway(gateways, known map[oriole.GatewayID]oriole.Member, change oriole.Change[oriole.Member]) {
	next := change.Value
	for id, m := range gateways {
		if m.VM != change.Name || id == b.cfg.Self.ID {
			continue
		}
		if !change.Removed && id.Supersedes(next.ID) {
			return
		}
		if m.Draining {
			b.drained[id] = b.now
		}
		delete(gateways, id)
	}
	if change.Removed || next.VM == b.cfg.Self.VM {
		return
	}
	_, drained := b.drained[next.ID]
	next.Draining = next.Draining || known[next.ID].Draining || drained
	delete(b.unlistedGateways, next.ID)
	gateways[next.ID] = next
}

// peerUpdate is a gateway's entry as the gateway itself reports it.
type peerUpdate struct{ member oriole.Member }

// apply sets the gateway's entry and removes those of earlier gateways on its
// VM. The update is ignored if a later gateway on the VM is known, or if it is
// for another gateway on this gateway's VM.
func (u peerUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	m := u.member
	// A gateway that drains doesn't return; an older frame may arrive late.
	m.Draining = m.Draining || state.Gateways[m.ID].Draining
	if m.Link == 0 {
		// Only the directory's entries state it.
		m.Link = state.Gateways[m.ID].Link
	}
	if state.Gateways[m.ID] == m {
		return
	}
	if m.Draining {
		b.recordLeaving(state, m)
	}
	defer dropReplaced(state)
	gateways := state.EditGateways()
	for id, known := range gateways {
		if known.VM != m.VM || id == m.ID {
			continue
		}
		if id.Supersedes(m.ID) || id == b.cfg.Self.ID {
			return
		}
		delete(gateways, id)
	}
	gateways[m.ID] = m
}

type livenessUpdate struct {
	alive   map[oriole.GatewayID]bool
	unheard bool
}

func (u livenessUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	for id := range u.alive {
		if !state.Alive[id] {
			b.cfg.Log.WithField("peer", id).Info(oriolelog.MessagePeerHeard)
		}
	}
	for id := range state.Alive {
		if !u.alive[id] {
			m, listed := state.Gateways[id]
			b.cfg.Log.WithFields(log.Fields{"peer": id, "listed": listed, "draining": m.Draining}).Warn(oriolelog.MessagePeerLost)
		}
	}
	state.SetAlive(u.alive)
	if u.unheard != state.Unheard {
		b.cfg.Log.WithField("unheard", u.unheard).Warn(oriolelog.MessageUnheard)
	}
	state.Unheard = u.unheard
}

type assignmentUpdate struct{ assignment oriole.Assignment }

func (u assignmentUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	a := u.assignment
	if a.Newer(state.Assignments[a.Service]) {
		state.SetAssignment(&a, b.now)
	}
}

type patchUpdate struct {
	from  oriole.GatewayID
	patch oriole.AssignmentPatch
}

// apply applies the patch if its base matches the known assignment, and
// otherwise requests the full assignment.
func (u patchUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	old := state.Assignments[u.patch.Service]
	if old != nil && (old.Term > u.patch.Term || (old.Term == u.patch.Term && old.Seq >= u.patch.Seq)) {
		return
	}
	next, fits := old.Patched(u.patch)
	if !fits {
		b.cfg.RequestAssignment(u.patch.Service, u.from)
		return
	}
	state.SetAssignment(&next, b.now)
}

// failureUpdate reports that a call to the directory has failed.
type failureUpdate struct{}

func (failureUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	state.DirectoryFailedAt = b.now
}

type sweepUpdate struct{}

func (sweepUpdate) apply(state *oriole.ClusterState, b *bookkeeping) { b.sweep(state) }
