package orioledispatcher

import (
	"context"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

// reportUnreachable reports the upstream of a sharded service to which the request could
// not be sent.
func (d *poolDuty) reportUnreachable(ctx context.Context, req *pendingRequest) {
	if req.pool.Server != "" {
		d.dispatcher.cfg.ReportUnreachable(ctx, req.pool.Service, req.incarnation)
	}
}

// reportIsolated reports that this gateway is cut off from upstreams, if it is.
func (d *poolDuty) reportIsolated(ctx context.Context) {
	unreachable, upstreams := 0, 0
	for _, p := range d.pools {
		n, of := p.pool.Reach()
		unreachable, upstreams = unreachable+n, upstreams+of
	}
	if orioleliveness.CutOff(unreachable, upstreams) {
		d.dispatcher.cfg.Metrics.Add("pool_isolated", 1)
		d.dispatcher.cfg.ReportIsolated(ctx)
	}
}
