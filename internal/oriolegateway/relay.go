package oriolegateway

import (
	"context"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Bounds of the requests that are passed on for peers that can't reach the
// keeper themselves.
const (
	relayRing   = 256
	relayDuties = 32
)

// relayed is a request on its way from one peer to another.
type relayed struct {
	ctx     context.Context
	request oriole.Request
	to      oriole.GatewayID
	reply   func(oriole.Answer)
}

// relayDuty passes requests on, one at a time.
type relayDuty struct{ gateway *Gateway }

func (d *relayDuty) String() string { return "relay" }

// Serve implements suture.Service.
func (d *relayDuty) Serve(ctx context.Context) error {
	for {
		next, err := d.gateway.relays.Take(ctx)
		if err != nil {
			return err
		}
		d.gateway.metrics.Add("requests_relayed", 1)
		next.reply(d.gateway.peers.Ask(next.ctx, next.to, next.request))
	}
}
