package orioledispatcher

import (
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// trackCrashes records what a response shows about upstreams that crashed, and
// about the requests that they were running.
func (d *poolDuty) trackCrashes(now time.Time, req *pendingRequest, response oriole.Response) {
	switch {
	case req == nil:
	case response.Outcome == oriole.OutcomeUnknown && response.Reason == oriole.ReasonConnection:
		d.crashes.ConnectionLost(now, req.incarnation, req.fingerprint)
	case response.Outcome == oriole.OutcomeNotRun && response.Reason == oriole.ReasonConnection:
		d.recordCrashes(now, req.incarnation)
		if req.pool.Server != "" {
			d.dispatcher.cfg.ReportUnreachable(req.pool.Service, req.incarnation)
		}
	default:
		d.crashes.ClearSuspect(req.incarnation)
	}
}

// recordCrashes reports the requests that an upstream was running when its
// incarnation ended.
func (d *poolDuty) recordCrashes(now time.Time, incarnation oriole.Incarnation) {
	for _, fingerprint := range d.crashes.UpstreamEnded(now, incarnation) {
		d.dispatcher.cfg.Log.WithFields(log.Fields{"upstream": incarnation.ID, "print": uint64(fingerprint)}).Warn(oriolelog.MessageCrashRecorded)
		d.dispatcher.cfg.ReportCrash(fingerprint, incarnation)
	}
}
