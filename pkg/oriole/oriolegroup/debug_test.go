package oriolegroup

import "fmt"

func (w *world) dump() string {
	out := ""
	for _, g := range w.gateways {
		out += fmt.Sprintf("%s dead=%v paused=%v role=%v op=%+v rec=%+v ver=%d storeUp=%v leaving=%v out=%v\n", g.id, g.dead, g.paused, g.machine.role, g.machine.op, g.machine.rec, g.machine.ver, g.machine.storeUp, g.machine.leaving, g.machine.out)
		if k := g.machine.keeper; k != nil {
			out += fmt.Sprintf("  table=%+v alone=%v moving=%v safe=%v proposal=%v ho=%v frozen=%v\n", k.table, k.alone, k.movingTo, k.safe, k.proposal, k.handingOver, k.frozen)
			for i, s := range k.servers {
				out += fmt.Sprintf("   s%d lost=%v fail=%v stable=%v fenced=%v owned=%v waiting=%v acc=%d rel=%d\n", i, s.lost, s.failingSince, s.stable, s.fenced, s.owned, s.waiting, s.accepted, s.releaseFrom)
			}
		}
	}
	return out
}
