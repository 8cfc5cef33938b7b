package orioledispatcher

import (
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleidempotency"
)

// atMostOnce reports whether the request has an idempotency key and must run at
// most once for it.
func (req *pendingRequest) atMostOnce() bool {
	return req.request.IdempotencyKey != "" && !req.request.Idempotent
}

// deduplicate reports whether the request is a duplicate: its idempotency key is
// known from an earlier request. A duplicate gets the earlier request's response,
// at once or when there is one. One whose key is that of another request is refused.
func (d *poolDuty) deduplicate(now time.Time, req *pendingRequest) bool {
	if !req.atMostOnce() {
		return false
	}
	key, body := orioleidempotency.KeyOf(&req.request)
	req.key = key
	response, joined, err := d.idempotency.Begin(now, key, body, orioleidempotency.JobID(req.job))
	switch {
	case err != nil:
		d.dispatcher.cfg.Metrics.Add("pool_keys_reused", 1)
		d.reply(req, oriole.NotRunResponse(oriole.ReasonKeyReused))
	case joined:
		d.duplicates[orioleidempotency.JobID(req.job)] = req
	case response != nil:
		d.dispatcher.cfg.Metrics.Add("pool_repeated", 1)
		d.reply(req, *response)
	}
	return joined || response != nil || err != nil
}

// respond replies to the request and to its duplicates.
func (d *poolDuty) respond(now time.Time, req *pendingRequest, response oriole.Response) {
	d.reply(req, response)
	if !req.atMostOnce() {
		return
	}
	forDuplicates := response
	if response.Outcome == oriole.OutcomeNotRun && response.Reason == oriole.ReasonUnauthorized {
		// The key of this request was revoked, but the others may have come with other
		// keys of the workspace: their forwarders send them again.
		forDuplicates = oriole.NotRunResponse(oriole.ReasonMoved)
	}
	for _, job := range d.idempotency.End(now, req.key, orioleidempotency.JobID(req.job), response) {
		if duplicate := d.duplicates[job]; duplicate != nil {
			delete(d.duplicates, job)
			d.reply(duplicate, forDuplicates)
		}
	}
}
