package oriolestate

import (
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// recordLeaving records that the gateway drains or has left the directory. It may still
// complete requests.
func (b *bookkeeping) recordLeaving(state *oriole.ClusterState, m oriole.Member) {
	if _, known := state.Leaving[m.ID]; !known {
		m.Draining = true
		state.EditLeaving()[m.ID] = oriole.LeavingGateway{Member: m, Since: b.now}
	}
}

// dropReplaced drops the leaving gateways whose VMs run later ones, and those that are
// listed and don't drain: their entries had only been lost.
func dropReplaced(state *oriole.ClusterState) {
	if len(state.Leaving) == 0 {
		return
	}
	byVM := make(map[string]oriole.GatewayID, len(state.Gateways))
	for id, m := range state.Gateways {
		byVM[m.VM] = id
	}
	for id, leaving := range state.Leaving {
		m, listed := state.Gateways[id]
		if (listed && !m.Draining) || byVM[leaving.Member.VM].Supersedes(id) {
			delete(state.EditLeaving(), id)
		}
	}
}

// sweepLeaving drops the leaving gateways of which this one learned leftRetention ago.
func (b *bookkeeping) sweepLeaving(state *oriole.ClusterState) {
	for id, leaving := range state.Leaving {
		if b.now.Sub(leaving.Since) > leftRetention {
			delete(state.EditLeaving(), id)
		}
	}
}
