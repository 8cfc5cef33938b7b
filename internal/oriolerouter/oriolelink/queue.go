package oriolelink

import (
	"sync"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

// queuedBytes records the bytes of the bodies that are queued on a link.
type queuedBytes struct {
	mu     sync.Mutex
	hold   *oriolememory.Hold
	closed bool
}

// take takes n bytes, or reports false if they exceed the bounds or the link has ended.
func (q *queuedBytes) take(n int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.closed && q.hold.GrowStrict(int64(n)) == nil
}

// give gives n bytes back.
func (q *queuedBytes) give(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.closed {
		q.hold.Shrink(int64(n))
	}
}

// close gives all bytes back when the link has ended.
func (q *queuedBytes) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.hold.Reset()
}

// bodyBytes returns the size of the body that the frame carries.
func bodyBytes(frame *oriolemessage.Frame) int {
	switch {
	case frame.Part != nil:
		return len(frame.Part.Body)
	case frame.Request != nil:
		return len(frame.Request.Body)
	case frame.Response != nil:
		return len(frame.Response.Body)
	}
	return 0
}

// giveAll gives back the bytes of frames that were not queued.
func (q *queuedBytes) giveAll(frames []*oriolemessage.Frame) {
	for _, frame := range frames {
		q.give(bodyBytes(frame))
	}
}
