package oriolestate

import (
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// reminderInterval is how often the leader of a service is told that an upstream
// leaves to which it still assigns keys. The first report may be lost, and a new
// leader may have missed it.
const reminderInterval = time.Second

// leavingUpdate reports that an upstream has stated that it leaves. peer is the
// gateway that passed it on, or empty if this gateway received the statement.
type leavingUpdate struct {
	incarnation oriole.Incarnation
	peer        oriole.GatewayID
}

// apply counts the incarnation as draining from now on, also if the directory lists
// it only later.
func (u leavingUpdate) apply(state *oriole.ClusterState, b *bookkeeping) {
	if !b.departures.Add(u.incarnation) {
		return
	}
	b.cfg.Log.WithFields(log.Fields{
		"upstream": u.incarnation.ID, "born": u.incarnation.StartedAt.UnixMilli(), "peer": u.peer,
	}).Info(oriolelog.MessageUpstreamLeaving)
	if known, listed := state.Upstreams[u.incarnation.ID]; listed && known.Incarnation() == u.incarnation {
		b.markLeaving(&known)
		state.EditUpstreams()[known.ID] = known
	}
	if u.peer == "" {
		b.cfg.BroadcastLeaving(u.incarnation)
	}
}

// markLeaving sets Draining if the upstream has stated that it leaves.
func (b *bookkeeping) markLeaving(u *oriole.Upstream) {
	if b.departures.Leaves(u.Incarnation()) {
		u.Draining = true
		b.leaving[u.Incarnation()] = true
	}
}

// reminderDue reports whether leaders may have to be reminded of upstreams that leave.
func (b *bookkeeping) reminderDue(now time.Time) bool {
	return len(b.leaving) > 0 && now.Sub(b.remindedAt) >= reminderInterval
}

// remindLeaders tells other leaders which of the upstreams that they assign keys to
// leave.
func (b *bookkeeping) remindLeaders(state *oriole.ClusterState) {
	if !b.reminderDue(b.now) {
		return
	}
	b.remindedAt = b.now
	for _, a := range state.Assignments {
		if a.Leader == b.cfg.Self.ID {
			continue
		}
		told := make(map[oriole.Incarnation]bool)
		for i := range a.Ranges {
			owner := a.Ranges[i].Owner
			if b.leaving[owner] && a.Ranges[i].Grantable() && !told[owner] {
				told[owner] = true
				b.cfg.TellLeaving(a.Leader, owner)
			}
		}
	}
}
