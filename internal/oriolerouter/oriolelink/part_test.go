package oriolelink

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
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
		got, _, complete := l.assemble(1, nil, addParts(l, 1, b, startTime))
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
		_, _, complete := l.assemble(1, nil, addParts(l, 1, testBody(size), startTime))
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
		got, _, complete := l.assemble(uint64(number), nil, tail)
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
	got, _, complete := l.assemble(2, nil, addParts(l, 2, b, later))
	is.True(complete)
	is.True(bytes.Equal(got, b))
	_, _, complete = l.assemble(1, nil, tail)
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

// TestBodiesOfPeersShareMemory guards against running out of memory because many peers
// send bodies at once, and against a leak of what was held for them.
func TestBodiesOfPeersShareMemory(t *testing.T) {
	is := is.New(t)
	memory := oriolememory.NewPool(4*partSize*3, 4*partSize)
	var releases []func()
	var ended []*link
	complete := 0
	for i := range 4 {
		for range 2 {
			l := newTestLink()
			l.peer, l.memory = oriole.GatewayID(fmt.Sprint(i)), memory
			b := testBody(4 * partSize)
			got, release, ok := l.assemble(1, nil, addParts(l, 1, b, startTime))
			if ok {
				is.True(bytes.Equal(got, b))
				complete++
			}
			releases = append(releases, release)
			addParts(l, 2, testBody(2*partSize), startTime)
			ended = append(ended, l)
		}
	}
	is.Equal(complete, 3) // a share for each of three peers
	is.Equal(memory.Usage().Used, int64(4*partSize*3))
	for _, release := range releases {
		release()
	}
	for _, l := range ended {
		l.failPending(false)
	}
	is.Equal(memory.Usage().Used, int64(0))
}
