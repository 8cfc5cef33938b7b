package oriolelink

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
)

const (
	// heartbeatInterval is how often a heartbeat is sent to peers that rely on
	// it to detect failures or that wait for responses. Two heartbeats may be
	// late before this gateway counts as unreachable.
	heartbeatInterval = 400 * time.Millisecond
	// idleHeartbeatInterval is how often the other peers receive a heartbeat, to
	// replace those that were lost when a link broke.
	idleHeartbeatInterval = 5 * time.Second
)

// heartbeatDuty sends heartbeats to peers, and detects unresponsive peers and links that
// are stuck.
type heartbeatDuty struct{ links *Links }

func (d *heartbeatDuty) String() string { return "pulse" }

// Serve implements suture.Service.
func (d *heartbeatDuty) Serve(ctx context.Context) error {
	p := d.links
	ticks, stop := p.cfg.Timers.Subscribe(heartbeatInterval / 2)
	defer stop()
	var last *oriolemessage.Heartbeat
	var alive map[oriole.GatewayID]bool
	unheard := false
	for {
		select {
		case <-ticks:
		case <-ctx.Done():
			return ctx.Err()
		}
		now := p.cfg.Timers.Now()
		p.observeLinks(now)
		next, nextUnheard, heartbeat := p.tick(now)
		p.sendHeartbeats(now, heartbeat, last == nil || hasChanged(*last, *heartbeat))
		last = heartbeat
		p.failUnresponsive(now)
		if !maps.Equal(next, alive) || nextUnheard != unheard {
			alive, unheard = maps.Clone(next), nextUnheard
			p.cfg.Receiver.HandleLiveness(ctx, maps.Clone(next), unheard)
		}
	}
}

// hasChanged reports whether the heartbeats differ in more than how old the sender's
// last response of the store is.
func hasChanged(last, next oriolemessage.Heartbeat) bool {
	last.StoreAge = next.StoreAge
	return !reflect.DeepEqual(last, next)
}

// tick updates the set of live gateways and returns it with whether others may take this
// gateway for lost, and the heartbeat to send.
func (p *Links) tick(now time.Time) (alive map[oriole.GatewayID]bool, unheard bool, heartbeat *oriolemessage.Heartbeat) {
	heartbeat = p.cfg.Receiver.Heartbeat()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordReads(now)
	alive = p.liveness.Tick(now)
	monitor, unreachable := p.liveness.Report(now)
	heartbeat.Monitor, heartbeat.Unreachable = monitor, oriolemessage.FromGatewayIDs(unreachable)
	return alive, p.liveness.Unheard(now), heartbeat
}

// recordReads records the peers whose bytes have arrived recently: a large frame may take
// longer than the silence timeout to arrive, and heartbeats wait behind it. p.mu must be
// held.
func (p *Links) recordReads(now time.Time) {
	record := func(l *link) {
		if at := l.socket.ReadAt(); now.Sub(at) <= orioleliveness.SilenceTimeout {
			p.liveness.RecordFrame(at, l.peer)
		}
	}
	for l := range p.opened {
		record(l)
	}
	for l := range p.accepted {
		record(l)
	}
}

// sendHeartbeats sends the heartbeat to all peers if it has changed. Otherwise it
// sends it to the peers that rely on it or wait for responses if nothing was sent
// to them for about heartbeatInterval, and to the rest after
// idleHeartbeatInterval. One that is queued behind a slow frame is enough: meanwhile the
// peer hears the frame's bytes.
func (p *Links) sendHeartbeats(now time.Time, heartbeat *oriolemessage.Heartbeat, changed bool) {
	frame := &outgoing{frame: p.heartbeatFrame(heartbeat)}
	for _, l := range p.onePerPeer() {
		idle := now.Sub(time.Unix(0, l.lastWrite.Load()))
		due := idle >= idleHeartbeatInterval || (idle >= heartbeatInterval*3/4 && p.shouldHeartbeat(l.peer))
		if changed || (due && !l.heartbeatQueued.Load()) {
			p.offerHeartbeat(l, frame)
		}
	}
	for _, l := range p.servingLinks() {
		if now.Sub(time.Unix(0, l.lastWrite.Load())) >= heartbeatInterval*3/4 && !l.heartbeatQueued.Load() {
			p.offerHeartbeat(l, frame)
		}
	}
}

// offerHeartbeat queues a periodic heartbeat.
func (p *Links) offerHeartbeat(l *link, frame *outgoing) {
	l.heartbeatQueued.Store(true)
	if !p.offer(l, frame) {
		l.heartbeatQueued.Store(false)
	}
}

// heartbeatFrame returns the frame of a heartbeat that is sent now. Peers measure by it
// how fast frames of this gateway arrive.
func (p *Links) heartbeatFrame(heartbeat *oriolemessage.Heartbeat) *oriolemessage.Frame {
	return &oriolemessage.Frame{Heartbeat: heartbeat, SentAt: oriolemessage.FromSentAt(p.cfg.BootClock.Now())}
}

// observeLinks detects links that are stuck or silent, and ends those that nobody uses. After
// a stall of this gateway, responses and acknowledgements may wait in its sockets.
func (p *Links) observeLinks(now time.Time) {
	p.mu.Lock()
	links := slices.AppendSeq(slices.Collect(maps.Keys(p.opened)), maps.Keys(p.accepted))
	current, stalled := maps.Clone(p.links), p.liveness.Stalled(now)
	p.mu.Unlock()
	for _, l := range links {
		l.observe(now)
		if stalled {
			continue
		}
		if l.isSilent(now) {
			select {
			case l.silences <- struct{}{}:
			default:
			}
		}
		l.endIfUnused(now, l.dialed && current[l.peer] != l)
	}
}

func (p *Links) shouldHeartbeat(peer oriole.GatewayID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveness.ShouldHeartbeat(peer)
}

// servingLinks returns the links on which peers wait for responses.
func (p *Links) servingLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var links []*link
	for l := range p.accepted {
		if l.hasRunning() {
			links = append(links, l)
		}
	}
	return links
}

// BroadcastHeartbeat sends a heartbeat to all peers immediately, to announce a
// change.
func (p *Links) BroadcastHeartbeat() {
	_, _, heartbeat := p.tick(p.cfg.Timers.Now())
	p.Broadcast(p.heartbeatFrame(heartbeat))
}

// SendHeartbeat sends a heartbeat to the peer immediately.
func (p *Links) SendHeartbeat(to oriole.GatewayID) {
	_, _, heartbeat := p.tick(p.cfg.Timers.Now())
	p.Send(to, p.heartbeatFrame(heartbeat))
}

// recordReport records which gateways the peer reports as unreachable.
func (p *Links) recordReport(from oriole.GatewayID, heartbeat *oriolemessage.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.liveness.RecordReport(from, heartbeat.Monitor, oriolemessage.ToGatewayIDs(heartbeat.Unreachable))
}

// failUnresponsive fails the idempotent requests that wait for unresponsive
// peers. After a stall of this gateway, responses may wait in its sockets.
func (p *Links) failUnresponsive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.liveness.Stalled(now) {
		return
	}
	for l := range p.opened {
		silent := l.unresponsive(now)
		if !silent && !p.liveness.Failed(l.peer) {
			continue
		}
		if failed := l.failIdempotent(now); failed > 0 {
			p.cfg.Log.WithFields(log.Fields{
				"peer": l.peer, "requests": failed, "silent": silent, "heard": now.Sub(l.socket.ReadAt()).String(),
			}).Info(oriolelog.MessagePeerUnresponsive)
		}
	}
}
