package oriolecontrol

import (
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
)

// resendInterval is the least time between two copies of the settings to the
// same peer.
const resendInterval = 500 * time.Millisecond

// applySettings brings stored settings into force unless this gateway has
// accepted the same or a newer version: an older one never returns, wherever
// it comes from.
func (d *decider) applySettings(object oriole.Object) {
	c := d.control
	if uint64(object.Version) <= c.version.Load() {
		return
	}
	if !c.cfg.Apply(object) {
		c.cfg.Metrics.Add("settings_refused", 1)
		return
	}
	c.version.Store(uint64(object.Version))
	c.known.Store(true)
	d.settings = object
	c.cfg.Timeline.Add(oriolesight.Event{Kind: "settings", Count: int(object.Version)})
	d.applyOut(c.cfg.Settings())
	frame := settingsFrame(object)
	for _, id := range d.members.zonePeers() {
		c.cfg.Network.Send(id, frame)
	}
}

func settingsFrame(object oriole.Object) *oriolewire.Frame {
	return &oriolewire.Frame{Object: &oriolewire.Object{
		Name:    object.Name,
		Version: uint64(object.Version),
		Value:   object.Value,
	}}
}

// compareSettings sends the settings to a peer that has older ones, and learns
// from one that is sure of its version.
func (d *decider) compareSettings(from oriole.GatewayID, s *oriolewire.Sight, now time.Time) {
	own := d.control.version.Load()
	if s.Known && s.Settings == own {
		d.control.known.Store(true)
	}
	if s.Settings >= own || now.Sub(d.resent[from]) < resendInterval {
		return
	}
	d.resent[from] = now
	d.control.cfg.Network.Send(from, settingsFrame(d.settings))
}

// checkZone hands the duties of this gateway over while its zone is out.
func (d *decider) checkZone() {
	c := d.control
	out := slices.Contains(c.cfg.Settings().Out, c.cfg.Self.Zone)
	if c.yielding.Swap(out) == out {
		return
	}
	if !c.leaving.Load() {
		d.stepAll(oriolegroup.Leave{Stay: !out})
	}
}
