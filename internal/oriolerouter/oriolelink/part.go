package oriolelink

import (
	"bytes"
	"context"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

const (
	// partSize bounds the body bytes in one frame, so that other frames can be
	// sent in between. On the slowest link of the known deployments a part takes
	// a fifth of a second, and longer while other links use the bandwidth.
	partSize = 256 << 10
	// maxBodySize bounds the total size of the bodies that a link buffers while
	// it receives them in parts. It equals the maximum size of an upstream's
	// response body.
	maxBodySize = 8 << 20
	// maxPartialAge is how long an incomplete body is kept. Nobody waits for it any
	// longer: frames of requests are not under way for longer than maxTransit.
	maxPartialAge = maxTransit
)

// splitBody returns frames with all parts of a body but the last, and the last
// part, which the request or response itself carries.
func splitBody(number uint64, body []byte) (parts []*oriolemessage.Frame, tail []byte) {
	for len(body) > partSize {
		parts = append(parts, &oriolemessage.Frame{Part: &oriolemessage.Part{Number: number, Body: body[:partSize]}})
		body = body[partSize:]
	}
	return parts, body
}

// offerAll queues the frames in order. It returns those that remain if the ring is
// full.
func (l *link) offerAll(frames []*oriolemessage.Frame) (rest []*oriolemessage.Frame) {
	for i, frame := range frames {
		if !l.out.Offer(&outgoing{frame: frame}) {
			return frames[i:]
		}
	}
	return nil
}

// putAll queues the frames in order, blocking while the ring is full until ctx is
// done.
func (l *link) putAll(ctx context.Context, frames []*oriolemessage.Frame) error {
	for _, frame := range frames {
		if err := l.out.Put(ctx, &outgoing{frame: frame}); err != nil {
			return err
		}
	}
	return nil
}

// partialBody is a body whose last part has not arrived yet.
type partialBody struct {
	// parts are kept as they came and joined once: growing one buffer would leave as
	// much again for the garbage collector.
	parts     [][]byte
	size      int
	startedAt time.Time
	// hold is what the body takes of the memory for bodies of peers.
	hold *oriolememory.Hold
	// dropped is set when a part was discarded: the request or response that
	// ends the body must be rejected.
	dropped bool
}

func (l *link) newPartial(now time.Time) *partialBody {
	hold, _ := l.memory.Hold(string(l.peer))
	return &partialBody{hold: hold, startedAt: now}
}

// addPart buffers a part until the last one arrives. A body that would exceed
// the link's buffer limit is discarded, and rejected when its last part
// arrives. Parts of responses that nobody waits for are discarded: only those
// arrive on a link that this gateway has opened.
func (l *link) addPart(part *oriolemessage.Part, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.dialed && l.pending[part.Number] == nil) {
		return
	}
	l.dropExpired(now)
	partial := l.partials[part.Number]
	if partial == nil {
		partial = l.newPartial(now)
		l.partials[part.Number] = partial
	}
	switch {
	case partial.dropped:
	case l.bufferedBytes+len(part.Body) > maxBodySize, partial.hold.Grow(int64(len(part.Body))) != nil:
		l.dropBody(partial)
	default:
		partial.parts = append(partial.parts, part.Body)
		partial.size += len(part.Body)
		l.bufferedBytes += len(part.Body)
	}
}

// dropExpired frees bodies whose senders gave up before the last part, and did not report
// it. l.mu must be held.
func (l *link) dropExpired(now time.Time) {
	for _, partial := range l.partials {
		if now.Sub(partial.startedAt) > maxPartialAge {
			l.dropBody(partial)
		}
	}
}

// dropBody frees the buffered parts of a body. l.mu must be held.
func (l *link) dropBody(partial *partialBody) {
	l.bufferedBytes -= partial.size
	partial.hold.Reset()
	partial.parts, partial.size, partial.dropped = nil, 0, true
}

// headerCost returns the memory in bytes that a header takes.
func headerCost(header []oriolemessage.Field) int64 {
	size := 0
	for _, f := range header {
		size += len(f.Name) + len(f.Value)
	}
	return oriolememory.HeaderCost(len(header), size)
}

// assemble returns the body that ends with tail, and whether it is complete. The buffered
// parts are removed. release gives back the memory that is held for the body and the header.
func (l *link) assemble(number uint64, header []oriolemessage.Field, tail []byte) (body []byte, release func(), complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	partial := l.partials[number]
	if partial == nil {
		partial = l.newPartial(time.Time{})
	}
	delete(l.partials, number)
	l.bufferedBytes -= partial.size
	if partial.hold.Grow(headerCost(header)+int64(len(tail))) != nil {
		partial.hold.Reset()
		return nil, partial.hold.Reset, false
	}
	if partial.parts == nil {
		return tail, partial.hold.Reset, !partial.dropped
	}
	return bytes.Join(append(partial.parts, tail), nil), partial.hold.Reset, !partial.dropped
}

// dropPartial frees the incomplete body of a request that its caller has given up on.
func (l *link) dropPartial(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePartial(number)
}

// removePartial frees the incomplete body. l.mu must be held.
func (l *link) removePartial(number uint64) {
	if partial := l.partials[number]; partial != nil {
		l.dropBody(partial)
		delete(l.partials, number)
	}
}

// dropPartials frees all incomplete bodies of a link that has ended. l.mu must be held.
func (l *link) dropPartials() {
	for _, partial := range l.partials {
		l.dropBody(partial)
	}
	clear(l.partials)
}
