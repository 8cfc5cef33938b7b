package oriolelink

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/coder/websocket"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioleauth"
	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/internal/orioleupstream"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// dialTimeout bounds one attempt to open a link, and helloTimeout the time
	// until its first frame has arrived. Attempts are repeated with
	// exponential backoff, up to maxDialBackoff, so that a peer that becomes
	// reachable again is connected within about a second.
	dialTimeout        = 500 * time.Millisecond
	helloTimeout       = 2 * time.Second
	initialDialBackoff = 100 * time.Millisecond
	maxDialBackoff     = 800 * time.Millisecond
	// maxLinksPerPeer bounds the links with a peer that this gateway has opened. Those that
	// were replaced stay open while requests are under way on them.
	maxLinksPerPeer = 3
)

// dialDuty maintains the link to one peer. It opens a new link when the last one has ended,
// or beside it when that is silent: of a connection that the network has forgotten the
// system learns only after a quarter of an hour. If a new link can't be opened either, the
// peer or the network is at fault, and the old link stays in use.
type dialDuty struct {
	links *Links
	to    oriole.Member
	// removed is closed when no link with the peer is wanted any more.
	removed chan struct{}
}

func (d *dialDuty) String() string { return "dial " + string(d.to.ID) }

// Serve implements suture.Service.
func (d *dialDuty) Serve(ctx context.Context) error {
	backoff := initialDialBackoff
	var last *link
	for {
		if (last == nil || last.isSilent(d.links.cfg.Timers.Now())) && d.links.canOpen(d.to.ID) {
			if l := d.open(ctx, last); l != nil {
				last, backoff = l, initialDialBackoff
			}
		}
		if last != nil {
			select {
			case <-last.ended:
				last = nil
			case <-last.silences:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		timer := time.NewTimer(backoff)
		select {
		case <-timer.C:
		case <-d.removed:
			timer.Stop()
			return suture.ErrDoNotRestart
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		backoff = min(2*backoff, maxDialBackoff)
	}
}

// canOpen reports whether a link with the peer may be opened.
func (p *Links) canOpen(to oriole.GatewayID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for l := range p.opened {
		if l.peer == to {
			n++
		}
	}
	return n < maxLinksPerPeer
}

// open dials the peer and returns a link, which a duty of its own serves, or nil if the peer
// can't be connected to. The link takes the place of the last one, if there is any.
func (d *dialDuty) open(ctx context.Context, last *link) *link {
	p := d.links
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	// The transport dials one connection for the request.
	sockets := make(chan *oriolesocket.Conn, 1)
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := orioleupstream.NewDialer().DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		socket := oriolesocket.NewConn(conn, p.cfg.Timers)
		sockets <- socket
		return socket, nil
	}}}
	conn, _, err := websocket.Dial(dialCtx, "ws://"+d.to.PeerAddr.String()+Path, &websocket.DialOptions{
		HTTPClient: client, HTTPHeader: orioleauth.BearerHeader(p.cfg.Secret),
	})
	if err != nil {
		p.cfg.Metrics.Add("link_dials_failed", 1)
		return nil
	}
	if last != nil {
		p.logReplaced(last)
	}
	l := newLink(d.to.ID, conn, <-sockets, p.cfg.Memory, p.cfg.QueueMemory)
	l.dialed = true
	self, heartbeat := p.cfg.Self, p.cfg.Receiver.Heartbeat()
	self.Draining = heartbeat.Draining
	l.out.Offer(&outgoing{frame: &oriolemessage.Frame{Hello: oriolemessage.FromMember(self)}})
	l.out.Offer(&outgoing{frame: p.heartbeatFrame(heartbeat)})
	p.mu.Lock()
	p.links[d.to.ID], p.opened[l] = l, true
	p.liveness.RecordFrame(p.cfg.Timers.Now(), d.to.ID)
	p.mu.Unlock()
	p.Add(&linkDuty{links: p, link: l})
	return l
}

// logReplaced logs that a link is replaced because it is silent.
func (p *Links) logReplaced(l *link) {
	p.cfg.Metrics.Add("links_replaced", 1)
	p.cfg.Log.WithFields(log.Fields{
		"peer": l.peer, "silent": p.cfg.Timers.Now().Sub(l.socket.ReadAt()).String(),
		"unacknowledged": l.socket.Written() - l.socket.Acknowledged(), "pending": l.pendingCount(),
	}).Info(oriolelog.MessageLinkReplaced)
}

// linkDuty serves a link that this gateway has opened, until the link ends.
type linkDuty struct {
	links   *Links
	link    *link
	started atomic.Bool
}

func (d *linkDuty) String() string { return "link to " + string(d.link.peer) }

// Serve implements suture.Service. It is not restarted: the dial duty opens another link.
func (d *linkDuty) Serve(ctx context.Context) error {
	p, l := d.links, d.link
	if d.started.Swap(true) {
		return suture.ErrDoNotRestart
	}
	defer func() {
		_ = l.conn.CloseNow()
		p.mu.Lock()
		delete(p.opened, l)
		if p.links[l.peer] == l {
			delete(p.links, l.peer)
		}
		p.mu.Unlock()
		close(l.ended)
	}()
	l.serve(ctx, p)
	return suture.ErrDoNotRestart
}
