package orioledispatcher

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// trackCrashes updates the crash detector from the result of a request that was
// sent. If the connection broke, the request is suspected of crashing the
// upstream, unless that was draining. If no connection could be opened, the incarnation
// counts as ended until a response, or its entry in the directory, shows that it lives.
// Any other result clears the suspicions against requests to the upstream.
func (d *poolDuty) trackCrashes(ctx context.Context, now time.Time, req *pendingRequest, response oriole.Response) {
	switch {
	case req == nil:
	case response.Reason == oriole.ReasonMoved, response.Reason == oriole.ReasonUnauthorized:
		// It was not sent.
	case response.Outcome == oriole.OutcomeUnknown && response.Reason == oriole.ReasonConnection:
		if u := d.dispatcher.cfg.State.Snapshot().Upstreams[req.incarnation.ID]; u.Incarnation() != req.incarnation || !u.Draining {
			d.crashes.ConnectionLost(now, req.incarnation, req.fingerprint)
		}
	case response.Outcome == oriole.OutcomeNotRun && response.Reason == oriole.ReasonConnection:
		d.recordCrashes(now, req.incarnation)
		d.reportUnreachable(ctx, req)
	case response.Reason == oriole.ReasonUnreachable:
		// Others may reach the upstream: it need not have ended.
		d.dispatcher.cfg.Metrics.Add("pool_unreachable", 1)
		d.reportUnreachable(ctx, req)
	case response.Server == req.incarnation.ID && (response.Outcome == oriole.OutcomeAnswered || response.Reason == oriole.ReasonShed):
		d.crashes.Alive(req.incarnation)
	default:
		d.crashes.ClearSuspect(req.incarnation)
	}
}

// withdrawCrashes withdraws the records of crashes of upstreams that the directory still
// lists: a partition closes and refuses connections too.
func (d *poolDuty) withdrawCrashes(now time.Time) {
	state := d.dispatcher.cfg.State.Snapshot()
	for _, incarnation := range d.crashes.Unconfirmed(now, state.DirectoryFailedAt) {
		if u, listed := state.Upstreams[incarnation.ID]; listed && u.Incarnation() == incarnation {
			d.crashes.Alive(incarnation)
		}
	}
}

// recordCrashes logs the requests that count as the cause of an incarnation's
// end, and reports them to peers.
func (d *poolDuty) recordCrashes(now time.Time, incarnation oriole.Incarnation) {
	for _, fingerprint := range d.crashes.UpstreamEnded(now, incarnation) {
		d.dispatcher.cfg.Log.WithFields(log.Fields{"upstream": incarnation.ID, "print": uint64(fingerprint)}).Warn(oriolelog.MessageCrashRecorded)
		d.dispatcher.cfg.ReportCrash(fingerprint, incarnation)
	}
}
