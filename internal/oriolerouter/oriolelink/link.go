package oriolelink

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
	"github.com/orioleswitch/orioleswitch/internal/orioletelemetry"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleliveness"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolering"
)

const (
	// ringSize bounds the frames queued for a link.
	ringSize = 256
	// writeTimeout is how long a peer may take nothing while a frame is written to it. A
	// frame may take longer: the bandwidth is shared by many links.
	writeTimeout = time.Second
	// silentTimeout is how long a link must take and bring no byte while bytes are
	// unacknowledged for another to be opened beside it.
	silentTimeout = writeTimeout
	// unusedTimeout is how long nothing must have passed on a link for it to be closed
	// while no request is under way on it: three heartbeats to idle peers.
	unusedTimeout = 3 * idleHeartbeatInterval
	// lostTimeout is how long a peer must be silent for requests to be given up that are not
	// tried again: their callers do better to ask again themselves. Peers that lack the
	// processor or share a narrow link are silent for less.
	lostTimeout = 3 * orioleliveness.SilenceTimeout
)

// outgoing is a frame that is queued on one or more links. It is encoded once.
type outgoing struct {
	frame *oriolemessage.Frame
	once  sync.Once
	data  []byte
	err   error
}

// encode returns the frame's encoding, with the time of its first call.
func (o *outgoing) encode(clock *orioletelemetry.LogicalClock) ([]byte, error) {
	o.once.Do(func() {
		// The frame is copied because its sender may still use it.
		stamped := *o.frame
		stamped.Clock = clock.Tick()
		o.data, o.err = oriolemessage.Encode(&stamped)
	})
	return o.data, o.err
}

// link is one connection to a peer. Two goroutines serve it: one reads, one
// writes.
type link struct {
	peer oriole.GatewayID
	// dialed is set if this gateway has opened the link. Otherwise serial orders it among
	// those that peers have opened.
	dialed bool
	serial uint64
	conn   *websocket.Conn
	// socket is the connection below conn.
	socket *oriolesocket.Conn
	out    *oriolering.Ring[*outgoing]
	// queued bounds the bodies of the frames in out.
	queued queuedBytes
	// lastNumber is the number of the last request sent on this link.
	lastNumber atomic.Uint64
	// lastWrite is when the last frame was written, in Unix nanoseconds.
	lastWrite atomic.Int64
	// writingSince is when the frame that is being written was begun, in Unix
	// nanoseconds, or 0.
	writingSince atomic.Int64
	// heartbeatQueued is set while a periodic heartbeat waits in out.
	heartbeatQueued atomic.Bool
	// unacknowledgedSince is since when bytes that were written were not acknowledged, in
	// Unix nanoseconds: when they were written, or the peer last acknowledged others. It is
	// 0 if the peer was last seen to have acknowledged all.
	unacknowledgedSince atomic.Int64
	// silences gets a value at each tick while the link is silent, unless it holds one, and
	// ended is closed once a link that this gateway has opened has ended.
	silences chan struct{}
	ended    chan struct{}

	// transit measures the delay of the peer's frames, and unreadable is set once a frame
	// could not be read: it may have been a response. Only the reader uses them.
	transit    transit
	unreadable bool
	// unanswered is the number of the peer's requests whose responses have not been
	// handed to the connection. dropped is set once a response was dropped instead.
	unanswered atomic.Int64
	dropped    atomic.Bool
	// finished is set once no more requests of the peer are taken.
	finished atomic.Bool

	mu     sync.Mutex
	closed bool
	// pending holds this gateway's requests that the peer has not answered.
	pending map[uint64]*pendingRequest
	// running holds the cancel functions of the peer's requests that run here.
	running map[uint64]context.CancelFunc
	// memory bounds the bodies that come from all peers.
	memory *oriolememory.Pool
	// partials holds incomplete bodies by request number, and bufferedBytes is
	// their total size.
	partials      map[uint64]*partialBody
	bufferedBytes int
	// progress is that of the peer, which counts as such also while it has taken all that
	// was written.
	progress progress
}

// pendingRequest is a forwarded request that is not answered yet.
type pendingRequest struct {
	id         string
	idempotent bool
	mayRetry   func() bool
	// writtenAt is when the frame was handed to the connection, or zero.
	writtenAt time.Time
	// writtenTo is the number of bytes that were written to the connection up to the end
	// of the frame, or 0 while it is being written.
	writtenTo int64
	// takenUntil is when the peer was last seen to take bytes up to the end of the frame,
	// or to have taken all that was written while the frame was being written.
	takenUntil time.Time
	response   chan oriole.Response
}

func newLink(peer oriole.GatewayID, conn *websocket.Conn, socket *oriolesocket.Conn, memory, queueMemory *oriolememory.Pool) *link {
	conn.SetReadLimit(oriolemessage.MaxFrameSize)
	hold, _ := queueMemory.Hold(string(peer))
	return &link{
		queued:   queuedBytes{hold: hold},
		peer:     peer,
		conn:     conn,
		socket:   socket,
		memory:   memory,
		out:      oriolering.New[*outgoing](ringSize),
		pending:  make(map[uint64]*pendingRequest),
		running:  make(map[uint64]context.CancelFunc),
		partials: make(map[uint64]*partialBody),
		silences: make(chan struct{}, 1),
		ended:    make(chan struct{}),
	}
}

// serve reads and writes until the connection ends, then fails all pending
// requests.
func (l *link) serve(ctx context.Context, p *Links) {
	ctx, cancel := context.WithCancel(ctx)
	writeErr := make(chan error, 1)
	go func() {
		writeErr <- l.writeLoop(ctx, p)
		_ = l.conn.CloseNow()
	}()
	err := l.readLoop(ctx, p)
	reading, finished := ctx.Err() == nil, closedFinished(err) && !l.unreadable
	cancel()
	side := "read"
	if failed := <-writeErr; reading && !errors.Is(failed, context.Canceled) {
		// The end of the writer has ended the reader.
		side, err = "write", failed
	}
	queued := l.out.Len()
	l.queued.close()
	lost := l.failPending(finished)
	if lost == (lostRequests{}) && side == "read" {
		// Each stop of a gateway ends its links in good order.
		return
	}
	p.cfg.Log.WithError(err).WithFields(log.Fields{
		"peer": l.peer, "dialed": l.dialed, "side": side, "queued": queued, "pending": lost.pending, "running": lost.running,
		"silent": p.cfg.Timers.Now().Sub(l.socket.ReadAt()).String(),
	}).Info(oriolelog.MessageLinkEnded)
}

func (l *link) readLoop(ctx context.Context, p *Links) error {
	for {
		_, data, err := l.conn.Read(ctx)
		if err != nil {
			return err
		}
		p.cfg.Metrics.Add("link_bytes_in", int64(len(data)))
		p.markHeard(l.peer)
		frame, err := oriolemessage.Decode[oriolemessage.Frame](data)
		if err != nil {
			p.RejectFrame(l.peer, "unreadable", err)
			if response, found := oriolemessage.UnreadableResponse(data); found {
				// The request's caller would wait until the deadline.
				p.handle(ctx, l, &oriolemessage.Frame{Response: response}, 0)
			} else {
				l.unreadable = true
			}
			continue
		}
		p.cfg.Clock.Observe(frame.Clock)
		delay := time.Duration(0)
		if frame.SentAt != nil {
			delay = l.transit.record(time.UnixMicro(*frame.SentAt), p.cfg.BootClock.Now())
		}
		p.handle(ctx, l, &frame, delay)
	}
}

func (l *link) writeLoop(ctx context.Context, p *Links) error {
	for {
		out, err := l.out.Take(ctx)
		if err != nil {
			return err
		}
		if err := l.write(ctx, p, out); err != nil {
			return err
		}
	}
}

// write writes one frame. It skips a frame that is too large to encode. Instead of a
// request that its caller has given up on, it writes a cancellation if the peer may hold
// parts of the body.
func (l *link) write(ctx context.Context, p *Links, out *outgoing) error {
	frame := out.frame
	// While it is written, its encoding takes as much again: one frame of each link.
	defer l.queued.give(bodyBytes(frame))
	if frame.Response != nil {
		defer l.unanswered.Add(-1)
	}
	if frame.Heartbeat != nil {
		l.heartbeatQueued.Store(false)
	}
	data, err := out.encode(p.cfg.Clock)
	if err != nil {
		p.cfg.Metrics.Add("link_frames_oversize", 1)
		if frame.Response != nil {
			l.dropped.Store(true)
		}
		return nil
	}
	if frame.Request != nil && !l.markWritten(frame.Request.Number) {
		if len(frame.Request.Body) == 0 {
			return nil
		}
		frame = &oriolemessage.Frame{Cancel: &oriolemessage.Cancel{Number: frame.Request.Number}}
		if data, err = (&outgoing{frame: frame}).encode(p.cfg.Clock); err != nil {
			return nil
		}
	}
	p.cfg.Metrics.Add("link_bytes_out", int64(len(data)))
	p.cfg.Metrics.Add("link_bytes_"+frame.Kind(), int64(len(data)))
	now := p.cfg.Timers.Now().UnixNano()
	l.lastWrite.Store(now)
	l.writingSince.Store(now)
	l.unacknowledgedSince.CompareAndSwap(0, now)
	defer l.writingSince.Store(0)
	if err := l.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return errors.Wrapf(err, "%d bytes not acknowledged", oriolesocket.Unsent(l.socket.Conn))
	}
	if frame.Request != nil {
		l.markEnd(frame.Request.Number, l.socket.Written())
	}
	return nil
}

// markEnd records up to which byte of the connection the request was written.
func (l *link) markEnd(number uint64, writtenTo int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if req := l.pending[number]; req != nil {
		req.writtenTo = writtenTo
	}
}

// observe records how much of what was written the peer has acknowledged. If it has
// acknowledged nothing of it for writeTimeout while a frame was being written, the write
// fails and the link ends. Bytes that the system holds while no frame waits are left to TCP,
// which sends them again for longer; meanwhile the dial duty learns that the link is silent.
func (l *link) observe(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.writingSince.Load()
	if since == 0 && len(l.pending) == 0 && l.silence(now) < silentTimeout/2 {
		// Most links are idle at most ticks; a measure is a system call.
		return
	}
	acknowledged, written := l.socket.Acknowledged(), l.socket.Written()
	// A write that waits while the peer has acknowledged everything waits for this process.
	if l.progress.observe(now, acknowledged) || acknowledged == written {
		l.progress.at = now
		l.unacknowledgedSince.Store(now.UnixNano())
		if acknowledged == l.socket.Written() {
			l.unacknowledgedSince.Store(0)
		}
		for _, req := range l.pending {
			if !req.writtenAt.IsZero() && (req.writtenTo == 0 || req.writtenTo > acknowledged) {
				req.takenUntil = now
			}
		}
	}
	if since == 0 || now.Sub(time.Unix(0, since)) < writeTimeout || now.Sub(l.progress.at) < writeTimeout {
		return
	}
	// An error means that the connection is closed.
	_ = l.socket.SetWriteDeadline(now)
}

// silence returns for how long the link has taken and brought no byte while bytes were
// unacknowledged, as of the last measure, or 0. A peer that lacks the processor
// acknowledges, and one behind a narrow link does or sends.
func (l *link) silence(now time.Time) time.Duration {
	since := l.unacknowledgedSince.Load()
	if since == 0 {
		return 0
	}
	return min(now.Sub(time.Unix(0, since)), now.Sub(l.socket.ReadAt()))
}

// isSilent reports whether another link is to be opened beside this one.
func (l *link) isSilent(now time.Time) bool { return l.silence(now) >= silentTimeout }

// endIfUnused ends the link if no request is under way on it, and it was replaced or
// nothing has passed on it for unusedTimeout.
func (l *link) endIfUnused(now time.Time, replaced bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.pending) > 0 || len(l.running) > 0 || l.unanswered.Load() > 0 || l.writingSince.Load() != 0 {
		return
	}
	silence := l.silence(now)
	if !l.dialed {
		// The peer sends on it periodically, also if this gateway does not.
		silence = now.Sub(l.socket.ReadAt())
	}
	if silence < unusedTimeout && !(replaced && (l.isSilent(now) || l.out.Len() == 0)) {
		return
	}
	l.closed = true
	// A deadline in the past ends the read that waits. An error means that the connection is
	// closed.
	_ = l.socket.SetReadDeadline(time.Unix(1, 0))
}

// pendingCount returns the number of this gateway's requests that the peer has not answered.
func (l *link) pendingCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

// markWritten records that the peer may receive the request from now on. It
// reports false if the caller has already given up.
func (l *link) markWritten(number uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	req, found := l.pending[number]
	if found {
		req.writtenAt = time.Now()
	}
	return found
}

// forward sends a request to the peer and waits for the response. sentAt is the time
// now by the clock with which the peer compares its own.
func (l *link) forward(ctx context.Context, r oriole.Request, now, sentAt time.Time) oriole.Response {
	number := l.lastNumber.Add(1)
	req := &pendingRequest{id: r.ID, idempotent: r.Idempotent, mayRetry: r.MayRetry, response: make(chan oriole.Response, 1)}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return oriole.NotRunResponse(oriole.ReasonNotDispatcher)
	}
	l.pending[number] = req
	l.mu.Unlock()
	if !l.queued.take(len(r.Body)) {
		l.removePending(number)
		return oriole.NotRunResponse(oriole.ReasonQueueFull)
	}
	parts, tail := splitBody(number, r.Body)
	r.Body = tail
	request := &oriolemessage.Frame{Request: oriolemessage.FromRequest(number, r, now), SentAt: oriolemessage.FromSentAt(sentAt)}
	if rest := l.offerAll(append(parts, request)); rest != nil {
		l.queued.giveAll(rest)
		l.removePending(number)
		return oriole.NotRunResponse(oriole.ReasonQueueFull)
	}
	select {
	case response := <-req.response:
		return response
	case <-ctx.Done():
		return l.abandon(ctx, number)
	}
}

// abandon gives up on a request whose context has ended, and returns the
// response. A request that was never written has not run.
func (l *link) abandon(ctx context.Context, number uint64) oriole.Response {
	reason := oriole.ReasonCancelled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = oriole.ReasonDeadline
	}
	req := l.removePending(number)
	if req == nil || !req.writtenAt.IsZero() {
		l.out.Offer(&outgoing{frame: &oriolemessage.Frame{Cancel: &oriolemessage.Cancel{Number: number}}})
		return oriole.UnknownResponse(reason)
	}
	return oriole.NotRunResponse(reason)
}

func (l *link) removePending(number uint64) *pendingRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	req := l.pending[number]
	delete(l.pending, number)
	l.removePartial(number)
	return req
}

// deliver passes a response to the pending request with the same number and
// request ID. It reports false if there is none.
func (l *link) deliver(message *oriolemessage.Response) bool {
	body, release, complete := l.assemble(message.Number, message.Header, message.Body)
	defer release()
	l.mu.Lock()
	req := l.pending[message.Number]
	if req == nil || req.id != message.Id {
		l.mu.Unlock()
		return false
	}
	delete(l.pending, message.Number)
	l.mu.Unlock()
	message.Body = body
	response, err := message.ToResponse()
	if err != nil || !complete {
		response = oriole.UnknownResponse(oriole.ReasonBadResponse)
	}
	req.response <- response
	return true
}

// lostRequests holds the numbers of requests that ended with a link.
type lostRequests struct{ pending, running int }

// closeFinished is the reason in the close frame of a gateway that has answered all requests
// which it has taken on the link. The others were discarded.
const closeFinished = "finished"

// closedFinished reports whether the error of a read is the end of a link on which the peer
// has answered all requests that it has taken.
func closedFinished(err error) bool {
	var closed websocket.CloseError
	return errors.As(err, &closed) && closed.Code == websocket.StatusGoingAway && closed.Reason == closeFinished
}

// finish ends taking requests of the peer, and reports whether all that were taken are
// answered.
func (l *link) finish() bool {
	// A request that is taken meanwhile is counted before it looks at finished.
	l.finished.Store(true)
	return l.unanswered.Load() == 0 && !l.dropped.Load()
}

// failPending fails all pending requests when the link has ended, and cancels
// the peer's requests that run here. Those that were written may have run, unless the peer
// has finished all that it has taken.
func (l *link) failPending(finished bool) (lost lostRequests) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	lost = lostRequests{len(l.pending), len(l.running)}
	for _, req := range l.pending {
		if !req.writtenAt.IsZero() && !finished {
			req.response <- oriole.UnknownResponse(oriole.ReasonConnection)
		} else {
			req.response <- oriole.NotRunResponse(oriole.ReasonNotDispatcher)
		}
	}
	clear(l.pending)
	for _, cancel := range l.running {
		cancel()
	}
	clear(l.running)
	l.dropPartials()
	return lost
}

// failIdempotent fails the idempotent requests that wait for an unresponsive
// peer and are retried elsewhere, or whose peer has been silent for lostTimeout. Other
// requests keep waiting: the peer may only be slow or paused, and its response is better
// than an unknown outcome.
func (l *link) failIdempotent(now time.Time) (failed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for number, req := range l.pending {
		if req.idempotent && (req.mayRetry == nil || l.silenceFor(now, req) > lostTimeout || req.mayRetry()) {
			delete(l.pending, number)
			l.removePartial(number)
			req.response <- oriole.UnknownResponse(oriole.ReasonConnection)
			failed++
		}
	}
	return failed
}

// silenceFor returns for how long the peer has owed a sign of life for the request.
func (l *link) silenceFor(now time.Time, req *pendingRequest) time.Duration {
	return min(now.Sub(l.socket.ReadAt()), now.Sub(req.writtenAt), now.Sub(req.takenUntil))
}

// unresponsive reports whether no byte was received on the link for longer than
// the silence timeout while a request was pending. A peer that runs requests
// received on a link sends heartbeats on that link, but not before it has
// received them.
func (l *link) unresponsive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, req := range l.pending {
		if !req.writtenAt.IsZero() && l.silenceFor(now, req) > orioleliveness.SilenceTimeout {
			return true
		}
	}
	return false
}

// hasRunning reports whether requests of the peer run here.
func (l *link) hasRunning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running) > 0
}

// startServing registers a request of the peer, or cancels it if the link is
// closed. stopServing removes the request and releases its context.
func (l *link) startServing(number uint64, cancel context.CancelFunc) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		cancel()
		return
	}
	l.running[number] = cancel
}

func (l *link) stopServing(number uint64) {
	l.mu.Lock()
	cancel := l.running[number]
	delete(l.running, number)
	l.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
