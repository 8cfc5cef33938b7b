package oriolecontrol

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolegroup"
)

// balanceInterval is the time between two looks at how the groups are spread
// over the gateways; calmTime is how long their number must not have changed.
const (
	balanceInterval = time.Second
	calmTime        = 4 * time.Second
)

// balance hands one group over when this gateway is in charge of more than its
// share and another of less.
func (d *decider) balance(now time.Time) {
	if now.Sub(d.changed) < calmTime || d.control.leaving.Load() || d.control.yielding.Load() || !d.control.storeUp.Load() {
		return
	}
	kept := make(map[oriole.GatewayID]int)
	for _, view := range *d.control.views.Load() {
		kept[view.Keeper]++
	}
	var fewest oriole.GatewayID
	for _, c := range d.members.last {
		if c.Fit && (fewest == "" || kept[c.ID] < kept[fewest]) {
			fewest = c.ID
		}
	}
	self := d.control.cfg.Self.ID
	if fewest == "" || kept[self]-kept[fewest] < 2 {
		return
	}
	for _, m := range d.order {
		if m.decide.Role() == oriolegroup.RoleKeeper {
			d.step(m, oriolegroup.HandOver{To: fewest})
			return
		}
	}
}
