package oriolelink

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// pulseDuty tells peers that this gateway lives, and notices who is silent.
type pulseDuty struct{ links *Links }

func (d *pulseDuty) String() string { return "pulse" }

// Serve implements suture.Service.
func (d *pulseDuty) Serve(ctx context.Context) error {
	p := d.links
	ticks, stop := p.cfg.Timers.Subscribe(pulseInterval / 2)
	defer stop()
	var told *oriolemessage.Pulse
	var alive map[oriole.GatewayID]bool
	for {
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := p.cfg.Timers.Now()
		pulse := p.cfg.Receiver.Pulse()
		pulse.Silent = p.giveUpSilent(now)
		p.pulse(now, pulse, !reflect.DeepEqual(pulse, told))
		told = pulse
		if next := p.alive(now); !maps.Equal(next, alive) {
			alive = next
			p.cfg.Receiver.Heard(ctx, maps.Clone(next))
		}
	}
}

// pulse sends the pulse to all peers if it is new, and otherwise to those that
// were sent nothing lately.
func (p *Links) pulse(now time.Time, pulse *oriolemessage.Pulse, changed bool) {
	for _, l := range p.all() {
		if quiet := now.UnixNano() - l.sent.Load(); changed || quiet >= int64(pulseInterval*3/4) {
			p.offer(l, &oriolemessage.Frame{Pulse: pulse})
		}
	}
}

// PulseNow tells all peers at once what has changed.
func (p *Links) PulseNow() {
	pulse := p.cfg.Receiver.Pulse()
	pulse.Silent = []string{}
	p.Broadcast(&oriolemessage.Frame{Pulse: pulse})
}

// pulsed takes what a peer says of those it does not hear.
func (p *Links) pulsed(from oriole.GatewayID, pulse *oriolemessage.Pulse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unheard := make(map[oriole.GatewayID]bool, len(pulse.Silent))
	for _, id := range pulse.Silent {
		unheard[oriole.GatewayID(id)] = true
	}
	p.unheard[from] = unheard
}

// giveUpSilent gives up the requests that wait for silent peers, and returns
// those peers.
func (p *Links) giveUpSilent(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := []string{}
	for id := range p.dialled {
		if now.Sub(p.heard[id]) <= silence {
			continue
		}
		silent = append(silent, string(id))
		if l := p.links[id]; l != nil {
			l.giveUp()
		}
	}
	slices.Sort(silent)
	return silent
}

// alive returns the gateways that this one hears, or that a peer hears which
// this one hears: a broken link between two ends no third one's duties.
func (p *Links) alive(now time.Time) map[oriole.GatewayID]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := map[oriole.GatewayID]bool{p.cfg.Self.ID: true}
	for id := range p.dialled {
		if now.Sub(p.heard[id]) <= silence {
			alive[id] = true
		}
	}
	heard := slices.Collect(maps.Keys(alive))
	for id := range p.dialled {
		if alive[id] {
			continue
		}
		for _, peer := range heard {
			if unheard, told := p.unheard[peer]; told && !unheard[id] {
				alive[id] = true
				break
			}
		}
	}
	return alive
}
