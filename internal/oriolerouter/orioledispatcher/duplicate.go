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
// at once or when there is one.
func (d *poolDuty) deduplicate(now time.Time, req *pendingRequest) bool {
	if !req.atMostOnce() {
		return false
	}
	response, joined := d.idempotency.Begin(now, orioleidempotency.KeyOf(&req.request), orioleidempotency.JobID(req.job))
	switch {
	case joined:
		d.duplicates[orioleidempotency.JobID(req.job)] = req
	case response != nil:
		d.dispatcher.cfg.Metrics.Add("pool_repeated", 1)
		d.reply(req, *response)
	}
	return joined || response != nil
}

// respond replies to the request and to its duplicates.
func (d *poolDuty) respond(now time.Time, req *pendingRequest, response oriole.Response) {
	d.reply(req, response)
	if !req.atMostOnce() {
		return
	}
	for _, job := range d.idempotency.End(now, orioleidempotency.KeyOf(&req.request), orioleidempotency.JobID(req.job), response) {
		if duplicate := d.duplicates[job]; duplicate != nil {
			delete(d.duplicates, job)
			d.reply(duplicate, response)
		}
	}
}
