// Package orioleliveness is the failure detector of gateways: it decides which
// gateways are alive, from the frames that arrive and from the reports of peers.
// [Detector] is a pure state machine: it holds no goroutine, does no I/O and
// reads no clock.
//
// In a small cluster every gateway sends heartbeats to every other. In a larger
// one a few gateways in different availability zones are monitors, which
// exchange heartbeats with all gateways; the others exchange them with the
// monitors only, and take a gateway to be alive if a monitor hears it. So n
// gateways send about 6n heartbeats per interval instead of n squared.
package orioleliveness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
)

const (
	// SilenceTimeout is the time without a frame after which a gateway counts as
	// unreachable: two heartbeats may be late.
	SilenceTimeout = 1100 * time.Millisecond
	// maxMeshSize is the number of gateways up to which all exchange heartbeats
	// with each other, since there are few heartbeats then anyway.
	maxMeshSize = 12
	// monitorCount is the number of monitors: with one in each of three zones, a
	// zone and one more gateway may fail at once.
	monitorCount = 3
	// settleTime is how long a gateway must have been a monitor before its
	// reports count: the others take up to the silence timeout to learn that they
	// must send it heartbeats, and as long again until their heartbeats arrive.
	settleTime = 2 * SilenceTimeout
	// monitorLossPeriod is how long the gateways last known to be alive still count
	// as alive while no monitor is heard: the next monitors report by then.
	monitorLossPeriod = settleTime + SilenceTimeout
)

// monitorSubject is the hash subject that ranks the candidates for monitor. All
// gateways of a cluster must use the same value.
const monitorSubject = "heads"

// Detector is the failure detector of one gateway.
type Detector struct {
	self      oriole.Member
	members   map[oriole.GatewayID]oriole.Member
	lastHeard map[oriole.GatewayID]time.Time
	// reports holds the last report of each gateway.
	reports  map[oriole.GatewayID]report
	alive    map[oriole.GatewayID]bool
	monitors map[oriole.GatewayID]bool
	// monitorSince is when this gateway became a monitor, or zero; monitorHeard
	// is when a monitor was last heard, this gateway included.
	monitorSince time.Time
	monitorHeard time.Time
	fullMesh     bool
}

// report lists the gateways that its sender does not hear. It counts only if
// the sender is a monitor.
type report struct {
	unreachable map[oriole.GatewayID]bool
	monitor     bool
}

// New returns the failure detector of a gateway that starts now.
func New(now time.Time, self oriole.Member) *Detector {
	return &Detector{
		self:         self,
		members:      make(map[oriole.GatewayID]oriole.Member),
		lastHeard:    make(map[oriole.GatewayID]time.Time),
		reports:      make(map[oriole.GatewayID]report),
		alive:        map[oriole.GatewayID]bool{self.ID: true},
		monitors:     make(map[oriole.GatewayID]bool),
		monitorHeard: now,
		fullMesh:     true,
	}
}

// SetMembers sets the gateways that the directory lists.
func (r *Detector) SetMembers(members map[oriole.GatewayID]oriole.Member) {
	r.members = maps.Clone(members)
	delete(r.members, r.self.ID)
	for id := range r.lastHeard {
		if _, listed := r.members[id]; !listed {
			delete(r.lastHeard, id)
			delete(r.reports, id)
		}
	}
}

// RecordFrame records the arrival of a frame from the gateway.
func (r *Detector) RecordFrame(now time.Time, id oriole.GatewayID) { r.lastHeard[id] = now }

// RecordReport records a gateway's report of those that it does not hear. It counts
// only if the gateway is a monitor.
func (r *Detector) RecordReport(id oriole.GatewayID, monitor bool, unreachable []oriole.GatewayID) {
	w := report{monitor: monitor, unreachable: make(map[oriole.GatewayID]bool, len(unreachable))}
	for _, s := range unreachable {
		w.unreachable[s] = true
	}
	r.reports[id] = w
}

// heardRecently reports whether a frame of the gateway arrived within [SilenceTimeout].
func (r *Detector) heardRecently(now time.Time, id oriole.GatewayID) bool {
	at, known := r.lastHeard[id]
	return known && now.Sub(at) <= SilenceTimeout
}

// HeardRecently reports whether a frame of the gateway arrived within [SilenceTimeout].
func (r *Detector) HeardRecently(now time.Time, id oriole.GatewayID) bool {
	return r.heardRecently(now, id)
}

// Alive reports whether the gateway was considered alive at the last Tick.
func (r *Detector) Alive(id oriole.GatewayID) bool { return r.alive[id] }

// Tick updates the set of live gateways and the monitors. It returns the live
// gateways, this one included; the caller must not modify the map.
func (r *Detector) Tick(now time.Time) map[oriole.GatewayID]bool {
	alive := map[oriole.GatewayID]bool{r.self.ID: true}
	monitorHeard := r.isMonitor(now)
	for id := range r.members {
		if !r.heardRecently(now, id) {
			continue
		}
		alive[id] = true
		monitorHeard = monitorHeard || r.reports[id].monitor
	}
	for _, id := range slices.Collect(maps.Keys(alive)) {
		if w, known := r.reports[id]; known && w.monitor {
			r.addReachable(alive, w)
		}
	}
	if monitorHeard {
		r.monitorHeard = now
	} else if now.Sub(r.monitorHeard) <= monitorLossPeriod {
		for id := range r.alive {
			// A monitor that is alive would have been heard.
			if _, listed := r.members[id]; listed && !r.reports[id].monitor {
				alive[id] = true
			}
		}
	}
	r.alive = alive
	r.electMonitors(now)
	return alive
}

// addReachable marks the gateways alive that the monitor's report does not list
// as unreachable.
func (r *Detector) addReachable(alive map[oriole.GatewayID]bool, w report) {
	for id := range r.members {
		if !w.unreachable[id] {
			alive[id] = true
		}
	}
}

// electMonitors selects the monitors among the live gateways: those with the
// highest weight and best rank, first from different zones, then from any.
func (r *Detector) electMonitors(now time.Time) {
	r.fullMesh = len(r.members) < maxMeshSize
	clear(r.monitors)
	candidates := []oriole.Member{r.self}
	for id, m := range r.members {
		if r.alive[id] {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b oriole.Member) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(
			oriolehash.Rank(monitorSubject, string(a.ID)), oriolehash.Rank(monitorSubject, string(b.ID))))
	})
	zones := make(map[oriole.ZoneName]bool)
	for _, distinctZones := range []bool{true, false} {
		for _, m := range candidates {
			if len(r.monitors) < monitorCount && !r.monitors[m.ID] && (!distinctZones || !zones[m.Zone]) {
				r.monitors[m.ID], zones[m.Zone] = true, true
			}
		}
	}
	switch {
	case !r.monitors[r.self.ID]:
		r.monitorSince = time.Time{}
	case r.monitorSince.IsZero():
		r.monitorSince = now
	}
}

// isMonitor reports whether this gateway's reports on the others count.
func (r *Detector) isMonitor(now time.Time) bool {
	return r.fullMesh || (!r.monitorSince.IsZero() && now.Sub(r.monitorSince) >= settleTime)
}

// Report returns this gateway's report: whether it is a monitor, and if so which
// gateways it does not hear.
func (r *Detector) Report(now time.Time) (monitor bool, unreachable []oriole.GatewayID) {
	if !r.isMonitor(now) {
		return false, nil
	}
	for id := range r.members {
		if !r.heardRecently(now, id) {
			unreachable = append(unreachable, id)
		}
	}
	slices.Sort(unreachable)
	return true, unreachable
}

// ShouldHeartbeat reports whether this gateway must send heartbeats to the other: a monitor
// sends them to all gateways, every other gateway to the monitors.
func (r *Detector) ShouldHeartbeat(id oriole.GatewayID) bool {
	return r.fullMesh || r.monitors[r.self.ID] || r.monitors[id] || r.reports[id].monitor
}
