package orioleingress

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
)

const (
	// firstBuffer and secondBuffer are the sizes that a buffer for a body of known
	// length has before it has room for all of it: bytes that a client only announces
	// take no room.
	firstBuffer  = 64 << 10
	secondBuffer = 1 << 20
	// maxSegment is the largest size of one of the segments that a body of unknown length
	// is read into.
	maxSegment = 256 << 10
)

// bodyReader reads the body of a request into memory that its connection holds.
type bodyReader struct {
	io.Reader
	holder *orioleclients.Conn
	guard  *Guard
	limits ClientLimits
	read   *bodyDeadline
	// deadline is the one of the request.
	deadline time.Time
	// ended is set once the body has been read to its end.
	ended bool
	// moved is the number of bytes since progress was recorded last.
	moved int64
}

// newBodyReader returns a reader of the body, with a deadline that moves with its progress
// up to the deadline of the request.
func newBodyReader(r *http.Request, body io.Reader, read *bodyDeadline, deadline time.Time) *bodyReader {
	b := &bodyReader{Reader: body, read: read, deadline: deadline}
	b.holder, b.guard = holderOf(r)
	b.limits = b.guard.limits()
	b.extend()
	return b
}

// extend moves the deadline, as the client has made progress.
func (b *bodyReader) extend() {
	now := time.Now()
	b.moved = 0
	b.holder.Progress(now)
	until := b.deadline
	if timeout := b.limits.ProgressTimeout; timeout > 0 && now.Add(timeout).Before(until) {
		until = now.Add(timeout)
	}
	b.read.extend(until)
}

// reportSlow reports a body that ended at its deadline for lack of progress.
func (b *bodyReader) reportSlow() {
	if time.Now().Before(b.deadline) {
		b.guard.report(eventSlowBody)
	}
}

// Read implements io.Reader.
func (b *bodyReader) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	b.ended = err == io.EOF
	if b.moved += int64(n); b.moved >= b.limits.MinBytes && n > 0 {
		b.extend()
	}
	return n, err
}

// readAll reads the body, whose length is negative if it is not known. Its buffer is held
// by the connection before it is allocated. If reading fails, nothing is held.
func (b *bodyReader) readAll(length int64) (body []byte, err error) {
	b.holder.Enter(time.Now(), orioleclients.Reading)
	defer func() {
		if err != nil {
			b.holder.Shrink(int64(cap(body)))
			body = nil
		}
		b.holder.Enter(time.Now(), orioleclients.Waiting)
	}()
	switch {
	case length == 0:
		_, err = io.Copy(io.Discard, b)
		return nil, err
	case length < 0:
		return b.readSegments()
	}
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == length {
				// What follows is the end of the body.
				_, err = io.Copy(io.Discard, b)
				return body, err
			}
			if body, err = b.grown(body, length); err != nil {
				return body, err
			}
		}
		n, err := b.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grown returns the body in a larger buffer.
func (b *bodyReader) grown(body []byte, length int64) ([]byte, error) {
	size := int64(cap(body))
	next := length
	switch {
	case size == 0:
		next = min(firstBuffer, length)
	case size < secondBuffer:
		next = min(secondBuffer, length)
	}
	if err := b.hold(next - size); err != nil {
		return body, err
	}
	return joined([][]byte{body}, next), nil
}

// readSegments reads a body of unknown length. Its segments are joined once it is complete:
// a buffer that grows would leave several times its size to the garbage collector, also for
// bodies that turn out to be too large.
func (b *bodyReader) readSegments() (body []byte, err error) {
	var segments [][]byte
	size, held := int64(0), int64(0)
	defer func() {
		if err != nil {
			b.holder.Shrink(held)
		}
	}()
	for next := int64(firstBuffer); ; next = min(2*next, maxSegment) {
		if err := b.hold(next); err != nil {
			return nil, err
		}
		held += next
		segment := make([]byte, next)
		n, err := io.ReadFull(b, segment)
		segments = append(segments, segment[:n])
		size += int64(n)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) && b.ended {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	body = segments[0]
	if len(segments) > 1 {
		body = joined(segments, size)
	}
	b.holder.Shrink(held - int64(cap(body)))
	return body, nil
}

// hold takes n bytes.
func (b *bodyReader) hold(n int64) error {
	err := b.holder.Grow(time.Now(), n)
	if err != nil {
		b.guard.report(eventBytesFull)
	}
	return err
}

// copying is held while a body is copied to another buffer: for that time there are two, of
// which one is counted. One body at a time is copied.
var copying sync.Mutex

// joined returns the segments in one buffer of the size.
func joined(segments [][]byte, size int64) []byte {
	copying.Lock()
	defer copying.Unlock()
	body := make([]byte, 0, size)
	for _, segment := range segments {
		body = append(body, segment...)
	}
	return body
}

// holdResponse takes the bytes of a response instead of those of the request's body. If
// they can't be held, the response is dropped: the outcome of the request is unknown.
// release gives the bytes back.
func holdResponse(r *http.Request, now time.Time, bodySize int64, resp oriole.Response) (held oriole.Response, release func()) {
	holder, guard := holderOf(r)
	if a, ok := r.Context().Value(connKey{}).(*aheadRequest); ok {
		holder, guard = a.conn.owner.holder, a.conn.owner.guard
	}
	holder.Shrink(bodySize)
	n := int64(len(resp.Body))
	if n == 0 {
		return resp, func() {}
	}
	if err := holder.Grow(now, n); err != nil {
		guard.report(eventResponsesFull)
		return oriole.UnknownResponse(oriole.ReasonBadResponse), func() {}
	}
	return resp, func() { holder.Shrink(n) }
}
