// Package orioleliveness is the failure detector of gateways: it decides which
// gateways are alive, by the bytes that arrive from them and by the reports of
// peers. [Detector] is a pure state machine: it holds no goroutine, does no I/O
// and reads no clock.
//
// In a small cluster every gateway sends heartbeats to every other. In a larger
// one a few gateways in different availability zones are monitors, which
// exchange heartbeats with all gateways. The others exchange them with the
// monitors only, and consider a gateway alive if they or a monitor have heard
// from it recently. So n gateways send about 6n heartbeats per interval instead
// of n squared.
package orioleliveness

import (
	"maps"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleplacement"
)

const (
	// SilenceTimeout is the time without a byte after which a gateway counts as
	// unreachable. It tolerates two heartbeats that are late.
	SilenceTimeout = 1100 * time.Millisecond
	// maxMeshSize is the number of gateways up to which all exchange heartbeats
	// with each other, since so few send few heartbeats anyway.
	maxMeshSize = 12
	// monitorCount is the number of monitors: with one in each of three zones, a
	// zone and one more gateway may fail at once.
	monitorCount = 3
	// settleTime is how long a gateway must have been selected as a monitor before
	// its reports count: the others take up to the silence timeout to learn that
	// they must send it heartbeats, and as long again until the heartbeats arrive.
	settleTime = 2 * SilenceTimeout
	// monitorLossPeriod is how long the gateways last known to be alive still count
	// as alive after the last monitor was heard from. By its end the monitors that
	// replace the lost ones have sent reports.
	monitorLossPeriod = settleTime + SilenceTimeout
)

// Detector is the failure detector of one gateway.
type Detector struct {
	self    oriole.Member
	members map[oriole.GatewayID]oriole.Member
	// lastHeard is when the last bytes of each gateway arrived.
	lastHeard map[oriole.GatewayID]time.Time
	// firstHeard is when the first bytes of each gateway arrived.
	firstHeard map[oriole.GatewayID]time.Time
	// reports holds the last report of each gateway.
	reports map[oriole.GatewayID]report
	// alive and monitors are as of the last Tick.
	alive    map[oriole.GatewayID]bool
	monitors map[oriole.GatewayID]bool
	// monitorSince is when this gateway was selected as a monitor, or zero if it
	// is none. monitorHeard is when a monitor whose reports count was last heard
	// from; this gateway itself may be one.
	monitorSince time.Time
	monitorHeard time.Time
	fullMesh     bool
	// monitorKnown is set once a monitor whose reports count was heard from. cutOff is set
	// while none is heard any more, nor more than half of the monitors that are selected now.
	monitorKnown bool
	cutOff       bool
	// lastTick is the time of the last Tick, lastTickLate whether it came late, and
	// graceUntil the time until which no gateway is judged after a late one.
	lastTick     time.Time
	lastTickLate bool
	graceUntil   time.Time
}

// report lists the gateways that its sender has not heard from recently. It
// counts only if the sender is a monitor.
type report struct {
	unreachable map[oriole.GatewayID]bool
	monitor     bool
}

// Unheard reports whether others may have taken over what this gateway does: gateways whose
// reports count don't hear this one, although this one hears them, or this one has lost the
// monitors and does not hear those that would replace them. A single one that does not hear
// it learns from any other that it is alive. A gateway that has just been heard for the first
// time may not have heard all others yet.
func (d *Detector) Unheard(now time.Time) bool {
	if d.cutOff {
		return true
	}
	hearing, deaf := 0, 0
	for id, r := range d.reports {
		if !r.monitor || !d.heardRecently(now, id) || now.Sub(d.firstHeard[id]) <= settleTime {
			continue
		}
		if r.unreachable[d.self.ID] {
			deaf++
		} else {
			hearing++
		}
	}
	return deaf > 1 || (deaf == 1 && hearing == 0)
}

// FullMesh reports whether all of n gateways exchange heartbeats with each other.
func FullMesh(n int) bool { return n <= maxMeshSize }

// New returns the failure detector of the gateway self, which starts now.
func New(now time.Time, self oriole.Member) *Detector {
	return &Detector{
		self:         self,
		members:      make(map[oriole.GatewayID]oriole.Member),
		lastHeard:    make(map[oriole.GatewayID]time.Time),
		firstHeard:   make(map[oriole.GatewayID]time.Time),
		reports:      make(map[oriole.GatewayID]report),
		alive:        map[oriole.GatewayID]bool{self.ID: true},
		monitors:     make(map[oriole.GatewayID]bool),
		monitorHeard: now,
		fullMesh:     true,
	}
}

// SetMembers sets the gateways that the directory lists.
func (d *Detector) SetMembers(members map[oriole.GatewayID]oriole.Member) {
	d.members = maps.Clone(members)
	delete(d.members, d.self.ID)
}

// RecordFrame records that a frame from the gateway, or a part of one, arrived at the time.
func (d *Detector) RecordFrame(at time.Time, id oriole.GatewayID) {
	if _, known := d.firstHeard[id]; !known {
		d.firstHeard[id] = at
	}
	if at.After(d.lastHeard[id]) {
		d.lastHeard[id] = at
	}
}

// RecordReport records a gateway's report of those that it has not heard from
// recently. The report counts only if monitor is set.
func (d *Detector) RecordReport(id oriole.GatewayID, monitor bool, unreachable []oriole.GatewayID) {
	r := report{monitor: monitor, unreachable: make(map[oriole.GatewayID]bool, len(unreachable))}
	for _, other := range unreachable {
		r.unreachable[other] = true
	}
	d.reports[id] = r
}

// heardRecently reports whether bytes of the gateway arrived within
// [SilenceTimeout].
func (d *Detector) heardRecently(now time.Time, id oriole.GatewayID) bool {
	at, known := d.lastHeard[id]
	return known && now.Sub(at) <= SilenceTimeout
}

// HeardRecently reports whether bytes of the gateway arrived within
// [SilenceTimeout].
func (d *Detector) HeardRecently(now time.Time, id oriole.GatewayID) bool {
	return d.heardRecently(now, id)
}

// Alive reports whether the gateway was considered alive at the last Tick.
func (d *Detector) Alive(id oriole.GatewayID) bool { return d.alive[id] }

// Failed reports whether the gateway has failed: the directory lists it but it was
// not alive at the last Tick, or its VM runs a later one. A gateway that the
// directory does not list may be completing requests before it stops.
func (d *Detector) Failed(id oriole.GatewayID) bool {
	if _, listed := d.members[id]; listed {
		return !d.alive[id]
	}
	for other := range d.members {
		if other.Supersedes(id) {
			return true
		}
	}
	return false
}

// Tick updates the set of live gateways and the monitors. After a stall of this
// gateway the others stay alive. It returns the live gateways, this one included;
// the caller must not modify the map.
func (d *Detector) Tick(now time.Time) map[oriole.GatewayID]bool {
	d.recordTick(now)
	d.forgetUnlisted(now)
	alive := map[oriole.GatewayID]bool{d.self.ID: true}
	monitorHeard := d.isMonitor(now)
	for id := range d.members {
		if !d.heardRecently(now, id) {
			continue
		}
		alive[id] = true
		monitorHeard = monitorHeard || d.reports[id].monitor
	}
	for _, id := range slices.Collect(maps.Keys(alive)) {
		if r, known := d.reports[id]; known && r.monitor {
			d.addReachable(alive, r)
		}
	}
	if monitorHeard {
		d.monitorHeard, d.monitorKnown = now, true
	}
	stalled, monitorsLost := d.Stalled(now), !monitorHeard && now.Sub(d.monitorHeard) <= monitorLossPeriod
	for id := range d.alive {
		// When the monitors are lost, one that is alive would have been heard from.
		if _, listed := d.members[id]; listed && (stalled || (monitorsLost && !d.reports[id].monitor)) {
			alive[id] = true
		}
	}
	d.alive = alive
	d.selectMonitors(now)
	d.cutOff = d.monitorKnown && !monitorHeard && !d.hearsMonitors(now)
	return alive
}

// hearsMonitors reports whether more than half of the selected monitors, this gateway
// included, were heard from recently. If those whose reports count are lost, the new ones
// send heartbeats to all gateways at once; a gateway that is cut off hears none, although
// it takes the gateways that it last knew for alive.
func (d *Detector) hearsMonitors(now time.Time) bool {
	heard := 0
	for id := range d.monitors {
		if id == d.self.ID || d.heardRecently(now, id) {
			heard++
		}
	}
	return 2*heard > len(d.monitors)
}

// forgetUnlisted drops what is known of gateways that are not listed and not heard. One
// that is heard may be listed again.
func (d *Detector) forgetUnlisted(now time.Time) {
	for id := range d.lastHeard {
		if _, listed := d.members[id]; !listed && !d.heardRecently(now, id) {
			delete(d.lastHeard, id)
			delete(d.firstHeard, id)
			delete(d.reports, id)
		}
	}
}

// addReachable marks the gateways as alive that the monitor's report does not
// list as unreachable.
func (d *Detector) addReachable(alive map[oriole.GatewayID]bool, r report) {
	for id := range d.members {
		if !r.unreachable[id] {
			alive[id] = true
		}
	}
}

// selectMonitors selects the monitors among the live gateways: those with the
// highest weight and then the lowest hash rank, first from distinct zones, then
// from any.
func (d *Detector) selectMonitors(now time.Time) {
	d.fullMesh = FullMesh(len(d.members) + 1)
	clear(d.monitors)
	candidates := []oriole.Member{d.self}
	for id, m := range d.members {
		if d.alive[id] {
			candidates = append(candidates, m)
		}
	}
	orioleplacement.SortBySize(candidates)
	zones := make(map[oriole.ZoneName]bool)
	for _, distinctZones := range []bool{true, false} {
		for _, m := range candidates {
			if len(d.monitors) < monitorCount && !d.monitors[m.ID] && (!distinctZones || !zones[m.Zone]) {
				d.monitors[m.ID], zones[m.Zone] = true, true
			}
		}
	}
	switch {
	case !d.monitors[d.self.ID]:
		d.monitorSince = time.Time{}
	case d.monitorSince.IsZero():
		d.monitorSince = now
	}
}

// isMonitor reports whether this gateway's reports on the others count: in a full
// mesh, and once it has been a monitor for [settleTime].
func (d *Detector) isMonitor(now time.Time) bool {
	return d.fullMesh || (!d.monitorSince.IsZero() && now.Sub(d.monitorSince) >= settleTime)
}

// Report returns this gateway's report: whether it is a monitor, and if so which
// gateways it has not heard from recently. After a stall of its own, these are only
// gateways that were not alive before.
func (d *Detector) Report(now time.Time) (monitor bool, unreachable []oriole.GatewayID) {
	if !d.isMonitor(now) {
		return false, nil
	}
	stalled := d.Stalled(now)
	for id := range d.members {
		if !d.heardRecently(now, id) && !(stalled && d.alive[id]) {
			unreachable = append(unreachable, id)
		}
	}
	slices.Sort(unreachable)
	return true, unreachable
}

// ShouldHeartbeat reports whether this gateway must send heartbeats to the other.
// In a full mesh, all send them to each other; else a monitor sends them to all
// gateways, and every other gateway to the monitors, both those that it selected
// and those that report as monitors.
func (d *Detector) ShouldHeartbeat(id oriole.GatewayID) bool {
	return d.fullMesh || d.monitors[d.self.ID] || d.monitors[id] || d.reports[id].monitor
}
