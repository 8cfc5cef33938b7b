package orioleclients_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

const stall = time.Second

var start = time.Unix(1000, 0)

func newLedger(conns int, bytes int64) *orioleclients.Ledger {
	return orioleclients.NewLedger(orioleclients.Limits{Conns: conns, Bytes: bytes, Reserve: bytes / 4, StallTimeout: stall})
}

// TestStalledConnectionsMakeRoom guards against clients that stop halfway keeping others
// out, and against closing connections whose requests run or that make progress.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	l := newLedger(4, 8<<20)
	closed := ""
	add := func(name string, phase orioleclients.Phase, n int64) *orioleclients.Conn {
		c := l.Add(start, func() { closed += name })
		c.Enter(start, phase)
		is.NoErr(c.Grow(start, n))
		return c
	}
	add("a", orioleclients.Reading, 1<<20)
	add("b", orioleclients.Waiting, 2<<20)
	add("c", orioleclients.Writing, 2<<20)
	moving := add("d", orioleclients.Reading, 1<<20)
	is.True(l.Add(start, nil) == nil) // none has stalled yet
	later := start.Add(stall)
	moving.Progress(later)
	is.True(l.Add(later, func() {}) != nil)
	is.Equal(closed, "c") // holds most of those that have stalled
	is.NoErr(moving.Grow(later, 3<<20))
	is.Equal(closed, "ca")
	is.Equal(moving.Grow(later, 2<<20), orioleclients.ErrFull) // the others run or move
	is.Equal(closed, "ca")
	is.Equal(l.Usage().Used, int64(6<<20))
}

// TestNewConnectionsMakeRoomSooner guards against connections that never send a whole header
// keeping others out, since new ones arrive as soon as one of them is closed, and against
// closing idle connections of clients that were served before them.
func TestNewConnectionsMakeRoomSooner(t *testing.T) {
	is := is.New(t)
	l := newLedger(2, 8<<20)
	closed := ""
	idle := l.Add(start, func() { closed += "idle" })
	idle.Enter(start, orioleclients.Idle)
	is.True(l.Add(start.Add(stall), func() { closed += "new" }) != nil)
	is.True(l.Add(start.Add(stall+stall/5), func() {}) != nil)
	is.Equal(closed, "new")
}

// TestReserveForSmallHolders guards against large bodies keeping ordinary requests out.
func TestReserveForSmallHolders(t *testing.T) {
	is := is.New(t)
	l := newLedger(10, 8<<20)
	large, small := l.Add(start, nil), l.Add(start, nil)
	is.NoErr(large.Grow(start, 6<<20))
	is.Equal(large.Grow(start, 1), orioleclients.ErrFull)
	is.NoErr(small.Grow(start, orioleclients.SmallBytes))
	is.Equal(small.Grow(start, 1), orioleclients.ErrFull)
}

// TestLargeRequestClosesNobodyInVain guards against closing others for a request that
// could not be held anyway.
func TestLargeRequestClosesNobodyInVain(t *testing.T) {
	is := is.New(t)
	l := newLedger(10, 8<<20)
	stalled := l.Add(start, func() { t.Error("closed") })
	stalled.Enter(start, orioleclients.Reading)
	is.NoErr(stalled.Grow(start, 1<<20))
	is.Equal(l.Add(start, nil).Grow(start.Add(stall), 7<<20), orioleclients.ErrFull)
}

// TestLedgerIsEmptyAfterConnectionsEnd checks that any order of calls keeps the bounds and
// gives all bytes back.
func TestLedgerIsEmptyAfterConnectionsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLedger(5, 1<<20)
		var conns []*orioleclients.Conn
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if c := l.Add(now, func() {}); c != nil {
				conns = append(conns, c)
			}
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")]
			n := int64(rapid.IntRange(1, 600<<10).Draw(t, "n"))
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				c.Shrink(n)
			case 1:
				c.Enter(now, orioleclients.Phase(rapid.IntRange(0, 4).Draw(t, "phase")))
			case 2:
				c.Remove()
			default:
				_ = c.Grow(now, n)
			}
			if u := l.Usage(); u.Used < 0 || u.Used > u.Size || u.Conns > u.MaxConns {
				t.Fatalf("%+v", u)
			}
		}
		for _, c := range conns {
			c.Remove()
		}
		if u := l.Usage(); u.Used != 0 || u.Conns != 0 {
			t.Fatalf("%+v", u)
		}
	})
}

// TestLedgerLeavesWhatOthersHold guards against connections that take memory which requests
// of peers hold, and against bytes that stay taken when a connection has ended.
func TestLedgerLeavesWhatOthersHold(t *testing.T) {
	is := is.New(t)
	shared := oriolememory.NewShared(1 << 20)
	l := orioleclients.NewLedger(orioleclients.Limits{Conns: 10, Bytes: 1 << 20, Shared: shared, StallTimeout: stall})
	is.True(shared.Take(3 << 18))
	for _, end := range []func(c *orioleclients.Conn){
		func(c *orioleclients.Conn) { c.Shrink(1 << 18) },
		func(c *orioleclients.Conn) { c.Enter(start, orioleclients.Idle) },
		func(c *orioleclients.Conn) { c.Finish() },
		func(c *orioleclients.Conn) { c.Remove() },
	} {
		c := l.Add(start, func() {})
		is.Equal(c.Grow(start, 1<<19), orioleclients.ErrFull)
		is.NoErr(c.Grow(start, 1<<18))
		end(c)
	}
	shared.Give(3 << 18)
	is.True(shared.Take(1 << 20))
}
