// Package oriolepeer is the subtree that connects a gateway with its peers:
// one connection to each, over WebSocket, with frames in CBOR.
package oriolepeer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/internal/oriolewire"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolehash"
)

// Path is where peers connect.
const Path = "/peer"

// Intervals of dialling a peer that can't be reached.
const (
	dialTimeout = 500 * time.Millisecond
	dialPause   = 100 * time.Millisecond
	// forgetAfter is how long a peer is dialled that the list of VMs does not
	// show any more.
	forgetAfter = 30 * time.Second
)

// Receiver takes what peers send. Its methods must not block.
type Receiver interface {
	// Received takes a frame that is neither a request nor an answer.
	Received(from oriole.GatewayID, frame *oriolewire.Frame)
	// Asked takes a request; reply must be called once.
	Asked(ctx context.Context, r oriole.Request, reply func(oriole.Answer))
	// Connected is called when a link with a peer begins.
	Connected(peer oriole.Member)
}

// Config describes the subtree.
type Config struct {
	Self     oriole.Member
	Secret   string
	Metrics  *oriolesight.Metrics
	Receiver Receiver
	Gate     oriole.Gate
	Timers   oriole.Timers
	// Silence returns the time without a frame after which one of n peers
	// counts as unreachable.
	Silence func(n int) time.Duration
	// Pass reports whether frames to and from a peer get through; tests and
	// the demo use it to cut gateways off.
	Pass func(peer oriole.GatewayID) bool
}

// Peers is the subtree. It implements suture.Service.
type Peers struct {
	*suture.Supervisor
	cfg   Config
	mu    sync.Mutex
	links map[oriole.GatewayID]*link
	// dialled holds the duty that dials each peer.
	dialled map[oriole.GatewayID]suture.ServiceToken
	listed  map[oriole.GatewayID]time.Time
	heard   map[oriole.GatewayID]time.Time
	tries   uint64
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Peers {
	p := &Peers{
		Supervisor: suture.New("peers", spec),
		cfg:        cfg,
		links:      make(map[oriole.GatewayID]*link),
		dialled:    make(map[oriole.GatewayID]suture.ServiceToken),
		listed:     make(map[oriole.GatewayID]time.Time),
		heard:      make(map[oriole.GatewayID]time.Time),
	}
	p.Add(&silenceDuty{p})
	return p
}

// SetMembers takes the newest list of gateways: a duty dials each new one.
func (p *Peers) SetMembers(members []oriole.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Timers.Now()
	for _, m := range members {
		if m.ID == p.cfg.Self.ID {
			continue
		}
		p.listed[m.ID] = now
		if _, found := p.dialled[m.ID]; !found {
			p.dialled[m.ID] = p.Add(&dialer{peers: p, to: m})
		}
	}
	for id, token := range p.dialled {
		if now.Sub(p.listed[id]) > forgetAfter {
			delete(p.dialled, id)
			delete(p.listed, id)
			delete(p.heard, id)
			// The duty ends by itself if it has ended already.
			_ = p.Remove(token)
		}
	}
}

// Send gives a frame to the link with the peer, and reports whether there is
// one that took it.
func (p *Peers) Send(to oriole.GatewayID, frame *oriolewire.Frame) bool {
	l := p.link(to)
	if l == nil {
		return false
	}
	if l.out.Offer(frame) {
		return true
	}
	p.cfg.Metrics.Add("peer_ring_full", 1)
	return false
}

// Broadcast gives a frame to all links.
func (p *Peers) Broadcast(frame *oriolewire.Frame) {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for _, l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		if !l.out.Offer(frame) {
			p.cfg.Metrics.Add("peer_ring_full", 1)
		}
	}
}

// Ask forwards a request to the peer and waits for the answer. If the peer
// can't be reached directly, another one passes the request on.
func (p *Peers) Ask(ctx context.Context, to oriole.GatewayID, r oriole.Request) oriole.Answer {
	l := p.reachable(to)
	if l == nil && !r.Relayed {
		l = p.relay(to, r.ID)
		r.Relayed = true
	}
	if l == nil {
		return oriole.Refuse(oriole.ReasonNotKeeper)
	}
	return l.ask(ctx, r, p.cfg.Timers.Now())
}

// reachable returns the link with a peer that is heard.
func (p *Peers) reachable(to oriole.GatewayID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[to]
	if l == nil || p.cfg.Timers.Now().Sub(p.heard[to]) > p.silence() {
		return nil
	}
	return l
}

// relay returns the link with a peer to pass a request on to another. The
// subject spreads requests over the peers, and makes a later try take another.
func (p *Peers) relay(to oriole.GatewayID, subject string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Timers.Now()
	p.tries++
	var best *link
	var bestRank uint64
	for id, l := range p.links {
		rank := oriolehash.Rank(subject, string(id)) + p.tries
		if id == to || now.Sub(p.heard[id]) > p.silence() {
			continue
		}
		if best == nil || rank < bestRank {
			best, bestRank = l, rank
		}
	}
	return best
}

// silence returns the time without a frame after which a peer counts as
// unreachable. The caller holds the lock.
func (p *Peers) silence() time.Duration {
	return p.cfg.Silence(len(p.links))
}

// hear records that a peer is there.
func (p *Peers) hear(id oriole.GatewayID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[id] = p.cfg.Timers.Now()
}

// silenceDuty gives up the requests that wait for silent peers.
type silenceDuty struct{ peers *Peers }

func (d *silenceDuty) String() string { return "notice silent peers" }

// Serve implements suture.Service.
func (d *silenceDuty) Serve(ctx context.Context) error {
	p := d.peers
	ticks, stop := p.cfg.Timers.Subscribe(p.cfg.Silence(0) / 4)
	defer stop()
	for {
		select {
		case <-ticks:
			p.cfg.Gate.Wait(ctx)
			p.giveUpSilent()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// GiveUp answers the idempotent requests of a group that wait for a peer which
// is not its keeper any more.
func (p *Peers) GiveUp(peer oriole.GatewayID, group oriole.GroupID) {
	if l := p.link(peer); l != nil {
		l.giveUp(group)
	}
}

func (p *Peers) giveUpSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Timers.Now()
	for id, l := range p.links {
		if now.Sub(p.heard[id]) > p.silence() {
			l.giveUp("")
		}
	}
}

func (p *Peers) link(to oriole.GatewayID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[to]
}

// Len returns the number of links.
func (p *Peers) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// ServeHTTP accepts the connection of a peer that shows the secret.
func (p *Peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !Authorized(r, p.cfg.Secret) {
		p.cfg.Metrics.Add("peer_unauthorized", 1)
		http.Error(w, "unauthorized", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(oriolewire.MaxFrame)
	_, data, err := conn.Read(r.Context())
	if err != nil {
		return
	}
	member, err := helloOf(data)
	if err != nil {
		p.cfg.Metrics.Add("peer_frames_refused", 1)
		return
	}
	p.cfg.Receiver.Connected(member)
	// The peer's own link carries what this gateway answers; what it asks
	// goes over the link that it dials itself.
	_ = newLink(member.ID, conn).serve(r.Context(), p)
}

func helloOf(data []byte) (oriole.Member, error) {
	frame, err := oriolewire.Decode[oriolewire.Frame](data)
	if err != nil {
		return oriole.Member{}, err
	}
	if frame.Hello == nil {
		return oriole.Member{}, errors.Wrap(oriolewire.ErrMalformed, "first frame is not a hello")
	}
	return frame.Hello.ToMember()
}

// Authorized reports whether the request shows the secret.
func Authorized(r *http.Request, secret string) bool {
	given := r.Header.Get("Authorization")
	return subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+secret)) == 1
}

// receive sorts a frame to where it belongs.
func (p *Peers) receive(ctx context.Context, l *link, frame *oriolewire.Frame) {
	switch {
	case frame.Reply != nil:
		if !l.answered(frame.Reply) {
			p.cfg.Metrics.Add("peer_replies_unmatched", 1)
		}
	case frame.Ask != nil:
		p.asked(ctx, l, frame.Ask)
	case frame.Cancel != nil:
		l.end(frame.Cancel.Number)
	default:
		p.cfg.Receiver.Received(l.peer, frame)
	}
}

func (p *Peers) asked(ctx context.Context, l *link, ask *oriolewire.Ask) {
	r, err := ask.ToRequest(p.cfg.Timers.Now())
	if err != nil {
		p.cfg.Metrics.Add("peer_frames_refused", 1)
		l.out.Offer(&oriolewire.Frame{Reply: oriolewire.FromAnswer(ask.Number, ask.Id, oriole.Refuse(oriole.ReasonBadAnswer))})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	l.begin(ask.Number, cancel)
	p.cfg.Receiver.Asked(ctx, r, func(answer oriole.Answer) {
		l.end(ask.Number)
		if !l.out.Offer(&oriolewire.Frame{Reply: oriolewire.FromAnswer(ask.Number, ask.Id, answer)}) {
			p.cfg.Metrics.Add("peer_ring_full", 1)
		}
	})
}

// dialer is the duty that keeps a link with one peer.
type dialer struct {
	peers *Peers
	to    oriole.Member
}

// Serve implements suture.Service.
func (d *dialer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		d.connect(ctx)
		select {
		case <-time.After(dialPause):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (d *dialer) String() string { return "dial " + string(d.to.ID) }

// connect dials the peer and serves the link until it ends.
func (d *dialer) connect(ctx context.Context) {
	p := d.peers
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, _, err := websocket.Dial(dialCtx, "ws://"+d.to.Peers.String()+Path, &websocket.DialOptions{
		HTTPHeader: http.Header{"Authorization": {"Bearer " + p.cfg.Secret}},
	})
	if err != nil {
		p.cfg.Metrics.Add("peer_dials_failed", 1)
		return
	}
	l := newLink(d.to.ID, conn)
	l.out.Offer(&oriolewire.Frame{Hello: oriolewire.FromMember(p.cfg.Self)})
	p.mu.Lock()
	p.links[d.to.ID] = l
	p.mu.Unlock()
	p.cfg.Receiver.Connected(d.to)
	// Why a link ended shows in the counters of both sides; it is dialled
	// again whatever the reason.
	_ = l.serve(ctx, p)
	p.mu.Lock()
	if p.links[d.to.ID] == l {
		delete(p.links, d.to.ID)
	}
	p.mu.Unlock()
}
