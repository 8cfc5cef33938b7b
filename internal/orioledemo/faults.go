package orioledemo

import (
	"context"
	"sync"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolestandin"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// fault is something that goes wrong during a run. It begins and ends at
// shares of the run's duration.
type fault struct {
	from, to float64
	begin    func(f *faultRun)
	end      func(f *faultRun)
}

// faultRun is one fault in a run.
type faultRun struct {
	ctx      context.Context
	system   *system
	load     *load
	length   time.Duration
	members  []*member
	upstream *oriolestandin.Upstream
}

// Shares of the run's duration at which faults begin and end.
const (
	faultFrom = 0.3
	faultTo   = 0.6
)

func (f fault) happen(ctx context.Context, s *system, l *load, duration time.Duration) {
	run := &faultRun{ctx: ctx, system: s, load: l, length: time.Duration(float64(duration) * (f.to - f.from))}
	if !wait(ctx, time.Duration(float64(duration)*f.from)) {
		return
	}
	f.begin(run)
	if f.end == nil {
		return
	}
	// The end comes even if the run is over, so that all can be cleaned up.
	wait(ctx, run.length)
	f.end(run)
}

// wait reports whether d passed before ctx was done.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// lasting returns a fault with the usual times.
func lasting(begin, end func(f *faultRun)) fault {
	return fault{from: faultFrom, to: faultTo, begin: begin, end: end}
}

// watchedGroup is the group whose keeper and servers faults are aimed at.
const watchedGroup = oriole.GroupID("stall-board.0")

var faults = map[string]fault{
	"server-loss":              lasting(loseServer, restoreServer),
	"server-freeze":            lasting(freezeServer, thawServer),
	"gateway-loss":             lasting(loseKeeper, nil),
	"gateway-and-server-loss":  lasting(func(f *faultRun) { loseServer(f); loseKeeper(f) }, restoreServer),
	"gateway-pause":            lasting(pauseKeeper, resumeKeeper),
	"zone-loss":                lasting(func(f *faultRun) { loseZone(f, lostZone) }, func(f *faultRun) { restoreZone(f, lostZone) }),
	"store-outage":             lasting(stopStore, startStore),
	"store-outage-server-loss": lasting(func(f *faultRun) { stopStore(f); wait(f.ctx, f.length/4); loseServer(f) }, func(f *faultRun) { startStore(f); restoreServer(f) }),
	"lost-store-answer":        lasting(loseAnswers, startStore),
	"partition":                lasting(partition, heal),
	"zone-out-in":              lasting(zoneOut, zoneIn),
	"zone-out-zone-loss":       lasting(func(f *faultRun) { zoneOut(f); wait(f.ctx, f.length/3); loseZone(f, otherZone) }, func(f *faultRun) { zoneIn(f); restoreZone(f, otherZone) }),
	"config-race":              lasting(raceSettings, nil),
	"gateway-drain":            lasting(drainKeeper, nil),
	"rolling-replace":          lasting(replaceAll, nil),
	"cold-start":               lasting(coldServers, nil),
	"slow-upstreams":           lasting(slowServers, normalServers),
	"crash-request":            lasting(sendCrash, nil),
	"late-answers":             lasting(func(f *faultRun) { f.setCrossing(true) }, func(f *faultRun) { f.setCrossing(false) }),
	"upstream-drain":           lasting(drainServers, undrainServers),
	"overload":                 lasting(overload, normalLoad),
	"hot-keys":                 lasting(func(f *faultRun) { f.load.shiftKeys() }, func(f *faultRun) { f.load.shiftKeys() }),
}

// keeper returns the gateway in charge of the watched group.
func (f *faultRun) keeper() *member {
	for _, m := range f.system.live() {
		if m.gateway.Keeps(watchedGroup) {
			return m
		}
	}
	return f.system.live()[0]
}

// deputy returns the deputy of the watched group.
func (f *faultRun) deputy() *member {
	id := f.keeper().gateway.Deputy(watchedGroup)
	for _, m := range f.system.live() {
		if m.id == id {
			return m
		}
	}
	return nil
}

func loseServer(f *faultRun) {
	f.upstream = f.system.upstreams[0]
	f.upstream.Stop()
}

func restoreServer(f *faultRun) { _ = f.upstream.Start() }

func freezeServer(f *faultRun) {
	f.upstream = f.system.upstreams[0]
	f.upstream.Freeze()
}

func thawServer(f *faultRun) { f.upstream.Thaw() }

func loseKeeper(f *faultRun) { f.system.kill(f.keeper()) }

func pauseKeeper(f *faultRun) {
	m := f.keeper()
	f.members = []*member{m}
	m.gate.hold()
}

func resumeKeeper(f *faultRun) {
	for _, m := range f.members {
		m.gate.release()
	}
}

// lostZone is the availability zone that is lost or taken out.
const lostZone = oriole.ZoneName("bridgewater")

func loseZone(f *faultRun, zone oriole.ZoneName) {
	for _, u := range f.system.upstreams {
		if u.Zone() == zone {
			u.Stop()
		}
	}
	for _, m := range f.system.live() {
		if m.zone == zone {
			f.members = append(f.members, m)
			go f.system.kill(m)
		}
	}
}

func restoreZone(f *faultRun, zone oriole.ZoneName) {
	for _, u := range f.system.upstreams {
		if u.Zone() == zone {
			_ = u.Start()
		}
	}
	for range f.members {
		_, _ = f.system.addGateway(zone)
	}
}

func stopStore(f *faultRun) {
	f.system.platform.SetFaults(oriolestandin.PlatformFaults{Outage: true})
}

func startStore(f *faultRun) { f.system.platform.SetFaults(oriolestandin.PlatformFaults{}) }

// loseAnswers loses the answers of the store's writes while a server's slices
// move.
func loseAnswers(f *faultRun) {
	f.system.platform.SetFaults(oriolestandin.PlatformFaults{LoseAnswers: true})
	f.upstream = f.system.upstreams[0]
	f.upstream.Crash(false)
}

// partition cuts the keeper off from its deputy and from half of the others.
func partition(f *faultRun) {
	keeper, deputy := f.keeper(), f.deputy()
	f.members = []*member{keeper}
	for i, m := range f.system.live() {
		if m == deputy || (i%2 == 0 && m != keeper) {
			f.members = append(f.members, m)
			f.system.setCut(keeper.id, m.id, true)
		}
	}
}

func heal(f *faultRun) {
	for _, m := range f.members[1:] {
		f.system.setCut(f.members[0].id, m.id, false)
	}
}

// zoneOut takes the zone out, and zoneIn back in, as an operator would.
func zoneOut(f *faultRun) { f.setZone(true) }

func zoneIn(f *faultRun) { f.setZone(false) }

func (f *faultRun) setZone(out bool) {
	value, err := orioleconfig.SetZone(f.system.base(), lostZone, out)
	if err == nil {
		f.system.publish(value)
	}
}

// otherZone is lost while lostZone is out.
const otherZone = oriole.ZoneName("granton")

// raceSettings lets two operators change the settings at the same time.
func raceSettings(f *faultRun) {
	var operators sync.WaitGroup
	for range 2 {
		operators.Go(func() {
			for range 20 {
				f.system.publish(f.system.base())
				wait(f.ctx, f.length/40)
			}
		})
	}
	operators.Wait()
}

func drainKeeper(f *faultRun) { f.leave(f.keeper()) }

// leave makes a gateway leave gracefully and then ends it.
func (f *faultRun) leave(m *member) {
	// How it went shows in the judge's records.
	_ = m.gateway.Leave(f.ctx)
	f.system.kill(m)
}

// replaceAll replaces every gateway, one after another.
func replaceAll(f *faultRun) {
	for _, m := range f.system.live() {
		if f.ctx.Err() != nil {
			return
		}
		f.leave(m)
		if _, err := f.system.addGateway(m.zone); err != nil {
			return
		}
	}
}

// coldServers turns a third of the upstreams cold without warning.
func coldServers(f *faultRun) {
	for i, u := range f.system.upstreams {
		if i%3 == 0 {
			u.MakeCold()
		}
	}
}

// slowFactor is how much slower slowed upstreams run.
const slowFactor = 10

func slowServers(f *faultRun) { f.setSlow(slowFactor) }

func normalServers(f *faultRun) { f.setSlow(1) }

// setSlow changes the speed of two upstreams of each service.
func (f *faultRun) setSlow(factor float64) {
	last := len(f.system.upstreams) - 1
	for _, i := range []int{0, 1, last - 1, last} {
		f.system.upstreams[i].SetSlow(factor)
	}
}

// crashRepeats is how often a caller sends the request that crashes servers.
const crashRepeats = 30

// sendCrash sends a request that crashes each upstream that runs it, again and
// again.
func sendCrash(f *faultRun) {
	for range crashRepeats {
		r := f.load.lookup("stall-3")
		r.key = ""
		r.path = "/bargemaster/poison"
		r.crash = true
		f.load.start(r)
		if !wait(f.ctx, f.length/crashRepeats) {
			return
		}
	}
}

// setCrossing makes a quarter of the upstreams answer the wrong request, late,
// or in part.
func (f *faultRun) setCrossing(crossing bool) {
	for i, u := range f.system.upstreams {
		if i%4 == 0 {
			u.SetCrossing(crossing)
		}
	}
}

func drainServers(f *faultRun) { f.setDraining(true) }

func undrainServers(f *faultRun) { f.setDraining(false) }

func (f *faultRun) setDraining(draining bool) {
	for i, u := range f.system.upstreams {
		if i%8 == 0 {
			u.SetDraining(draining)
		}
	}
}

// overloadRate is far above what the upstreams of the demo bear.
const overloadFactor = 40

func overload(f *faultRun) { f.load.setRate(overloadFactor) }

func normalLoad(f *faultRun) { f.load.setRate(1) }
