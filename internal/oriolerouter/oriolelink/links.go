// Package oriolelink is the supervisor subtree that connects a gateway with its
// peers. Each gateway dials one connection to each peer, over WebSocket, with
// CBOR frames.
package oriolelink

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/coder/websocket"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/orioleswitch/orioleswitch/internal/orioleauth"
	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolestop"
)

// Path is the HTTP path that accepts connections from peers.
const Path = "/link"

// Receiver handles what peers send. Its methods must not block for long.
type Receiver interface {
	// HandleRequest handles a forwarded request; reply must be called exactly
	// once.
	HandleRequest(ctx context.Context, r oriole.Request, reply func(oriole.Response))
	// HandleFrame handles a frame that belongs neither to a request nor to a
	// response.
	HandleFrame(ctx context.Context, from oriole.GatewayID, frame *oriolemessage.Frame)
	// HandlePeer is called when a gateway has opened a link.
	HandlePeer(ctx context.Context, m oriole.Member)
	// HandleLiveness is called when the set of live gateways has changed, or whether they
	// may take this gateway for lost.
	HandleLiveness(ctx context.Context, alive map[oriole.GatewayID]bool, unheard bool)
	// Heartbeat returns this gateway's part of the heartbeat sent to peers.
	Heartbeat() *oriolemessage.Heartbeat
}

// Config configures the subtree.
type Config struct {
	Self    oriole.Member
	Metrics *orioletelemetry.Metrics
	Log     log.Interface
	// Clock is the logical clock that orders events across gateways: each frame
	// carries its timestamp.
	Clock *orioletelemetry.LogicalClock
	// Secret authenticates peers to each other. It is empty if the network
	// restricts access.
	Secret string
	Timers oriole.Timers
	// BootClock is the clock by which frames state when they were sent. It goes on
	// while this machine is suspended.
	BootClock oriole.Clock
	// Memory bounds the bodies that come from peers; nil sets no bound.
	Memory *oriolememory.Pool
	// QueueMemory bounds the bodies that are queued for peers; nil sets no bound.
	QueueMemory *oriolememory.Pool
	// Receiver may be set after New, before Serve.
	Receiver Receiver
}

// Links manages the links with all peers. It implements suture.Service.
type Links struct {
	*suture.Supervisor
	cfg      Config
	mu       sync.Mutex
	liveness *orioleliveness.Detector
	// links holds the last link with each peer that this gateway has opened, and opened all
	// of these that have not ended.
	links   map[oriole.GatewayID]*link
	opened  map[*link]bool
	dialers map[oriole.GatewayID]*dialDuty
	// accepted holds the links that peers have opened. Once closing is set, they are being
	// closed and none is added.
	accepted map[*link]bool
	closing  bool
	// lastSerial is the serial number of the link that a peer has opened last.
	lastSerial uint64
}

// New returns the subtree.
func New(cfg Config, spec suture.Spec) *Links {
	p := &Links{
		Supervisor: suture.New("links", spec),
		cfg:        cfg,
		liveness:   orioleliveness.New(cfg.Timers.Now(), cfg.Self),
		links:      make(map[oriole.GatewayID]*link),
		opened:     make(map[*link]bool),
		dialers:    make(map[oriole.GatewayID]*dialDuty),
		accepted:   make(map[*link]bool),
	}
	p.Add(&heartbeatDuty{p})
	return p
}

// SetReceiver sets the handler for what peers send. It must be called before
// Serve.
func (p *Links) SetReceiver(r Receiver) { p.cfg.Receiver = r }

// SetMembers updates the listed gateways. A duty keeps a link with each of those
// in wanted. The link with any other gateway stays open while requests run there.
func (p *Links) SetMembers(members, wanted map[oriole.GatewayID]oriole.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.liveness.SetMembers(members)
	for id, m := range wanted {
		if _, found := p.dialers[id]; !found && id != p.cfg.Self.ID {
			duty := &dialDuty{links: p, to: m, removed: make(chan struct{})}
			p.dialers[id] = duty
			p.Add(duty)
		}
	}
	for id, duty := range p.dialers {
		if _, found := wanted[id]; !found {
			close(duty.removed)
			delete(p.dialers, id)
		}
	}
}

// Send queues a frame on a link with the peer. It reports false if there is no
// link or its ring is full.
func (p *Links) Send(to oriole.GatewayID, frame *oriolemessage.Frame) bool {
	p.mu.Lock()
	l := p.links[to]
	if l == nil {
		l = p.lastAccepted()[to]
	}
	p.mu.Unlock()
	return l != nil && p.offer(l, &outgoing{frame: frame})
}

// Broadcast queues a frame on one link with each linked peer.
func (p *Links) Broadcast(frame *oriolemessage.Frame) {
	out := &outgoing{frame: frame}
	for _, l := range p.onePerPeer() {
		p.offer(l, out)
	}
}

func (p *Links) offer(l *link, out *outgoing) bool {
	if l.out.Offer(out) {
		return true
	}
	p.cfg.Metrics.Add("link_ring_full", 1)
	return false
}

// onePerPeer returns one link with each peer: the last link that this gateway has
// opened, or else the last one that the peer has opened.
func (p *Links) onePerPeer() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links)+len(p.accepted))
	for _, l := range p.links {
		links = append(links, l)
	}
	for peer, l := range p.lastAccepted() {
		if p.links[peer] == nil {
			links = append(links, l)
		}
	}
	return links
}

// lastAccepted returns the last link that each peer has opened: it opens another when it
// finds the one before silent. p.mu must be held.
func (p *Links) lastAccepted() map[oriole.GatewayID]*link {
	last := make(map[oriole.GatewayID]*link, len(p.accepted))
	for l := range p.accepted {
		if other := last[l.peer]; other == nil || other.serial < l.serial {
			last[l.peer] = l
		}
	}
	return last
}

// Reachable reports whether requests can be forwarded to the peer.
func (p *Links) Reachable(to oriole.GatewayID) bool { return p.usableLink(to) != nil }

// Forward forwards a request to the peer and waits for the response.
func (p *Links) Forward(ctx context.Context, to oriole.GatewayID, r oriole.Request) oriole.Response {
	l := p.usableLink(to)
	if l == nil {
		return oriole.NotRunResponse(oriole.ReasonNotDispatcher)
	}
	return l.forward(ctx, r, p.cfg.Timers.Now(), p.cfg.BootClock.Now())
}

// usableLink returns the link to the peer, or nil if there is none, the peer is
// unresponsive on it, or the peer is neither heard nor alive.
func (p *Links) usableLink(to oriole.GatewayID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, now := p.links[to], p.cfg.Timers.Now()
	if l == nil || (l.unresponsive(now) && !p.liveness.Stalled(now)) || (!p.liveness.HeardRecently(now, to) && !p.liveness.Alive(to)) {
		return nil
	}
	return l
}

// markHeard records that a frame of the peer has arrived or a link to it has
// opened.
func (p *Links) markHeard(id oriole.GatewayID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.liveness.RecordFrame(p.cfg.Timers.Now(), id)
}

// ServeHTTP accepts a peer's connection.
func (p *Links) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !orioleauth.Authorized(r, p.cfg.Secret) {
		p.cfg.Metrics.Add("link_unauthorized", 1)
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if p.isClosing() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	hijacked := &hijackWriter{ResponseWriter: w, clock: p.cfg.Timers}
	conn, err := websocket.Accept(hijacked, r, nil)
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(oriolemessage.MaxFrameSize)
	ctx := r.Context()
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	_, data, err := conn.Read(helloCtx)
	cancel()
	if err != nil {
		return
	}
	member, err := decodeHello(data)
	if err != nil {
		p.RejectFrame("", "hello", err)
		return
	}
	p.markHeard(member.ID)
	p.cfg.Receiver.HandlePeer(ctx, member)
	// This link carries the peer's requests and the responses to them. This
	// gateway's own requests go over the link that it dials itself.
	l := newLink(member.ID, conn, hijacked.socket, p.cfg.Memory, p.cfg.QueueMemory)
	// The peer may send requests at once, unless it learns of a drain.
	_, _, heartbeat := p.tick(p.cfg.Timers.Now())
	l.out.Offer(&outgoing{frame: p.heartbeatFrame(heartbeat)})
	if !p.addAccepted(l) {
		// No request on it was taken. An error means that the link has ended.
		_ = conn.Close(websocket.StatusGoingAway, closeFinished)
		return
	}
	l.serve(ctx, p)
	p.mu.Lock()
	delete(p.accepted, l)
	p.mu.Unlock()
}

// isClosing reports whether the links that peers have opened are being closed.
func (p *Links) isClosing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closing
}

// addAccepted adds a link that a peer has opened. It reports false if links are being closed:
// requests on this one would be lost when the process exits.
func (p *Links) addAccepted(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		return false
	}
	p.lastSerial++
	l.serial = p.lastSerial
	p.accepted[l] = true
	return true
}

// RejectFrame counts and logs a frame that could not be decoded or accepted.
func (p *Links) RejectFrame(from oriole.GatewayID, description string, err error) {
	p.cfg.Metrics.Add("link_frames_refused", 1)
	p.cfg.Log.WithError(err).WithFields(log.Fields{"peer": from, "frame": description}).Warn("frame rejected")
}

func decodeHello(data []byte) (m oriole.Member, err error) {
	frame, err := oriolemessage.Decode[oriolemessage.Frame](data)
	if err != nil {
		return m, err
	}
	if frame.Hello == nil {
		return m, errors.Wrap(oriolemessage.ErrMalformed, "first frame is not a hello")
	}
	return frame.Hello.ToMember()
}

// handle passes a frame that was delayed on its way to the code that handles its kind.
func (p *Links) handle(ctx context.Context, l *link, frame *oriolemessage.Frame, delay time.Duration) {
	switch {
	case frame.Response != nil:
		if !l.deliver(frame.Response) {
			p.cfg.Metrics.Add("link_replies_unmatched", 1)
		}
	case frame.Part != nil:
		l.addPart(frame.Part, p.cfg.Timers.Now())
	case frame.Request != nil:
		p.handleRequest(ctx, l, frame.Request, delay)
	case frame.Cancel != nil:
		l.dropPartial(frame.Cancel.Number)
		l.stopServing(frame.Cancel.Number)
	case frame.Heartbeat != nil:
		p.recordReport(l.peer, frame.Heartbeat)
		p.cfg.Receiver.HandleFrame(ctx, l.peer, frame)
	default:
		p.cfg.Receiver.HandleFrame(ctx, l.peer, frame)
	}
}

// bodyRefusedRetryAfter is the retry delay of a request whose body exceeds what is held
// for peers.
const bodyRefusedRetryAfter = 500 * time.Millisecond

// handleRequest passes on a request of the peer. What it was delayed is taken off the time
// that its caller waits.
func (p *Links) handleRequest(ctx context.Context, l *link, forwarded *oriolemessage.Request, delay time.Duration) {
	l.unanswered.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	l.startServing(forwarded.Number, cancel)
	body, release, complete := l.assemble(forwarded.Number, forwarded.Header, forwarded.Body)
	reply := func(resp oriole.Response) {
		release()
		p.respond(ctx, l, forwarded, resp)
	}
	forwarded.Body = body
	if l.finished.Load() {
		reply(oriole.NotRunResponse(oriole.ReasonNotDispatcher))
		return
	}
	r, err := forwarded.ToRequest(p.cfg.Timers.Now().Add(-delay))
	if err == nil && !complete {
		p.cfg.Metrics.Add("link_bodies_refused", 1)
		refusal := oriole.NotRunResponse(oriole.ReasonQueueFull)
		refusal.RetryAfter = bodyRefusedRetryAfter
		reply(refusal)
		return
	}
	if err != nil {
		p.RejectFrame(l.peer, forwarded.Id, err)
		reply(oriole.NotRunResponse(oriole.ReasonBadResponse))
		return
	}
	// The request has a header of its own, which reply would keep.
	forwarded.Header = nil
	p.cfg.Receiver.HandleRequest(ctx, r, reply)
}

// respond queues the response to a peer's request. ctx ends with the link, or when
// the peer cancels the request.
func (p *Links) respond(ctx context.Context, l *link, forwarded *oriolemessage.Request, resp oriole.Response) {
	if !l.queued.take(len(resp.Body)) {
		// The request has run: the outcome is unknown to its caller.
		p.cfg.Metrics.Add("link_responses_dropped", 1)
		dropped := oriole.UnknownResponse(oriole.ReasonBadResponse)
		dropped.Server, dropped.Leaving = resp.Server, resp.Leaving
		resp = dropped
	}
	var parts []*oriolemessage.Frame
	parts, resp.Body = splitBody(forwarded.Number, resp.Body)
	if resp.Leaving != (oriole.Incarnation{}) {
		parts = append(parts, &oriolemessage.Frame{Departure: oriolemessage.FromDeparture(resp.Leaving)})
	}
	rest := l.offerAll(append(parts, &oriolemessage.Frame{Response: oriolemessage.FromResponse(forwarded.Number, forwarded.Id, resp)}))
	if rest == nil {
		l.stopServing(forwarded.Number)
		return
	}
	p.cfg.Metrics.Add("link_ring_full", 1)
	// The caller is a duty that must not block. Each write makes room, or ends the link
	// once the peer has taken nothing for writeTimeout.
	go func() {
		defer l.stopServing(forwarded.Number)
		if err := l.putAll(ctx, rest); err != nil {
			l.unanswered.Add(-1)
			l.queued.giveAll(rest)
		}
	}()
}

const (
	// finishInterval is how often Finish checks for responses that are not written.
	finishInterval = 20 * time.Millisecond
	// closeTimeout bounds the wait for peers that may have failed to confirm that they
	// have read everything, from when they have taken the last bytes: many round trips
	// between zones.
	closeTimeout = 300 * time.Millisecond
)

// Finish waits until the responses to all requests of peers were handed to their
// connections, or the connections have ended. It then closes these connections
// with a handshake: a process that exits resets a connection with unread frames,
// and the peer could lose a response. It waits for peers that are alive or take bytes, and
// leaves others that have taken none for writeTimeout. The last oriolestop.CloseTimeout before ctx's
// deadline is left for the handshake; requests not answered by then are an error.
func (p *Links) Finish(ctx context.Context) error {
	err := p.awaitResponses(ctx)
	ticks, stop := p.cfg.Timers.Subscribe(finishInterval)
	defer stop()
	for closing := p.closeAccepted(); ; {
		now := p.cfg.Timers.Now()
		closing = slices.DeleteFunc(closing, func(c *closingLink) bool { return c.ended(now) })
		if len(closing) == 0 {
			return err
		}
		select {
		case <-closing[0].closed:
		case <-ticks:
		case <-ctx.Done():
			// The responses were handed to the connections.
			return err
		}
	}
}

// closingLink is a link that is being closed with a handshake.
type closingLink struct {
	socket *oriolesocket.Conn
	// closed is closed once the peer has confirmed it.
	closed chan struct{}
	// alive is whether the peer was alive when the close began, and has not replaced the
	// link.
	alive    bool
	progress progress
}

// ended reports whether the peer has confirmed that the link is closed, or is not waited
// for any longer.
func (c *closingLink) ended(now time.Time) bool {
	select {
	case <-c.closed:
		return true
	default:
	}
	if c.alive {
		return false
	}
	c.progress.observe(now, c.socket.Acknowledged())
	timeout := closeTimeout
	if c.progress.acknowledged < c.socket.Written() {
		timeout = writeTimeout
	}
	return now.Sub(c.progress.at) >= timeout
}

func (p *Links) awaitResponses(ctx context.Context) error {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-oriolestop.CloseTimeout))
		defer cancel()
	}
	ticks, stop := p.cfg.Timers.Subscribe(finishInterval)
	defer stop()
	for n := p.unanswered(); n > 0; n = p.unanswered() {
		select {
		case <-ticks:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d requests of peers not answered", n)
		}
	}
	return nil
}

// closeAccepted begins to close the links that peers have opened. They can't open others.
func (p *Links) closeAccepted() (closing []*closingLink) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	now, last := p.cfg.Timers.Now(), p.lastAccepted()
	for l := range p.accepted {
		c := &closingLink{
			socket: l.socket, closed: make(chan struct{}),
			alive:    last[l.peer] == l && (p.liveness.HeardRecently(now, l.peer) || p.liveness.Alive(l.peer)),
			progress: progress{l.socket.Acknowledged(), now},
		}
		closing = append(closing, c)
		go func() {
			defer close(c.closed)
			reason := ""
			if l.finish() {
				reason = closeFinished
			}
			// An error means that the link has ended.
			_ = l.conn.Close(websocket.StatusGoingAway, reason)
		}()
	}
	return closing
}

// unanswered returns the number of requests of peers whose responses have not been
// handed to open connections.
func (p *Links) unanswered() (n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.accepted {
		n += l.unanswered.Load()
	}
	return n
}
