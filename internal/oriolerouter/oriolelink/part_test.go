package oriolelink

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

var startTime = time.Unix(1_800_000_000, 0)

// testBody returns a body whose parts differ from each other.
func testBody(size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i / 1000)
	}
	return b
}

func newTestLink() *link {
	return &link{pending: make(map[uint64]*pendingRequest), partials: make(map[uint64]*partialBody)}
}

// addParts adds all parts of a body but the last to the link, and returns the
// last.
func addParts(l *link, number uint64, b []byte, now time.Time) (tail []byte) {
	parts, tail := splitBody(number, b)
	for _, frame := range parts {
		l.addPart(frame.Part, now)
	}
	return tail
}

func TestSplitBodyIsReassembled(t *testing.T) {
	for _, size := range []int{0, 1, partSize - 1, partSize, partSize + 1, 3 * partSize, maxBodySize - 1, maxBodySize} {
		is := is.New(t)
		l := newTestLink()
		b := testBody(size)
		got, complete := l.assemble(1, addParts(l, 1, b, startTime))
		is.True(complete)
		is.True(bytes.Equal(got, b))
		is.Equal(l.bufferedBytes, 0)
		is.Equal(len(l.partials), 0)
	}
}

// TestOversizedBodyIsRefused guards against a body being passed on without its
// first parts after they were dropped.
func TestOversizedBodyIsRefused(t *testing.T) {
	for _, size := range []int{maxBodySize + 2*partSize, maxBodySize + 5*partSize, 2*maxBodySize + 3*partSize} {
		is := is.New(t)
		l := newTestLink()
		_, complete := l.assemble(1, addParts(l, 1, testBody(size), startTime))
		is.True(!complete)
		is.Equal(l.bufferedBytes, 0)
	}
}

// TestConcurrentBodiesOverLimit checks that when several bodies together exceed
// the buffer limit, dropped ones are rejected and the others arrive complete.
func TestConcurrentBodiesOverLimit(t *testing.T) {
	is := is.New(t)
	l := newTestLink()
	b := testBody(maxBodySize/2 + partSize)
	var tails [3][]byte
	for number := range tails {
		tails[number] = addParts(l, uint64(number), b, startTime)
	}
	count := 0
	for number, tail := range tails {
		got, complete := l.assemble(uint64(number), tail)
		if complete {
			count++
			is.True(bytes.Equal(got, b))
		}
	}
	is.True(count >= 1)
	is.Equal(l.bufferedBytes, 0)
}

// TestAbandonedBodyIsFreed guards against a leak: a body whose last part never
// arrives occupies the buffer only until maxPartialAge.
func TestAbandonedBodyIsFreed(t *testing.T) {
	is := is.New(t)
	l := newTestLink()
	tail := addParts(l, 1, testBody(maxBodySize), startTime)
	later := startTime.Add(maxPartialAge + time.Second)
	b := testBody(maxBodySize)
	got, complete := l.assemble(2, addParts(l, 2, b, later))
	is.True(complete)
	is.True(bytes.Equal(got, b))
	_, complete = l.assemble(1, tail)
	is.True(!complete) // its first parts were dropped
}

// TestUnmatchedReplyIsFreed guards against a leak of the parts of a response
// that matches no pending request.
func TestUnmatchedReplyIsFreed(t *testing.T) {
	is := is.New(t)
	l := newTestLink()
	tail := addParts(l, 1, testBody(maxBodySize), startTime)
	is.True(!l.deliver(&oriolemessage.Response{Number: 1, Id: "r", Body: tail}))
	is.Equal(l.bufferedBytes, 0)
	is.Equal(len(l.partials), 0)
}

// TestTruncatedResponseHasUnknownOutcome checks that a request with an
// incomplete response is not reported as not run: it may have run.
func TestTruncatedResponseHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	l := newTestLink()
	req := &pendingRequest{id: "r", response: make(chan oriole.Response, 1)}
	l.pending[1] = req
	tail := addParts(l, 1, testBody(2*maxBodySize), startTime)
	is.True(l.deliver(&oriolemessage.Response{Number: 1, Id: "r", Body: tail}))
	is.Equal((<-req.response).Outcome, oriole.OutcomeUnknown)
}
