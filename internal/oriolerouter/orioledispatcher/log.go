package orioledispatcher

import (
	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// logStep logs a step of a request. Only a sample of the requests is logged,
// with all of their steps.
func (d *poolDuty) logStep(req *pendingRequest, message string, fields log.Fields) {
	if !oriolelog.Sampled(req.request.ID, oriolelog.SampleOneIn) {
		return
	}
	fields[oriolelog.FieldRequestID], fields["pool"] = req.request.ID, req.pool.String()
	fields["left"] = req.request.Deadline.Sub(d.dispatcher.cfg.Timers.Now()).String()
	d.dispatcher.cfg.Log.WithFields(fields).Info(message)
}

// logFailure logs a request that got no response from an upstream, with the
// values that explain why.
func (d *poolDuty) logFailure(req *pendingRequest, p *poolState, response oriole.Response) {
	if response.Outcome == oriole.OutcomeAnswered {
		return
	}
	d.dispatcher.cfg.Log.WithFields(log.Fields{
		"id": req.request.ID, "pool": req.pool.String(), "upstream": req.incarnation.ID, "outcome": response.Outcome.String(),
		"reason": response.Reason.String(), "cause": response.Cause, "waiting": p.pool.QueueLen(), "wait": response.ExpectedWait.String(),
		"left": req.request.Deadline.Sub(d.dispatcher.cfg.Timers.Now()).String(),
	}).Info(oriolelog.MessagePoolFailed)
}
