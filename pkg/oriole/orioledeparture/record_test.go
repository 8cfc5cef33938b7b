package orioledeparture_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioledeparture"
)

func incarnation(id string, startedAt int64) oriole.Incarnation {
	return oriole.Incarnation{ID: oriole.ServerID(id), StartedAt: time.UnixMilli(startedAt)}
}

// TestDrainIsOfOneIncarnation guards against taking a restarted upstream, or
// another one, for one that leaves.
func TestDrainIsOfOneIncarnation(t *testing.T) {
	is := is.New(t)
	r := orioledeparture.New()
	is.True(!r.Leaves(incarnation("u", 2)))
	is.True(r.Add(incarnation("u", 2)))
	is.True(!r.Add(incarnation("u", 2)))
	is.True(!r.Add(incarnation("u", 1))) // a late report of an earlier incarnation
	is.True(r.Leaves(incarnation("u", 2)))
	is.True(r.Leaves(incarnation("u", 1)))
	is.True(!r.Leaves(incarnation("u", 3)))
	is.True(!r.Leaves(incarnation("v", 2)))
	is.True(r.Add(incarnation("u", 3)))
	is.True(r.Leaves(incarnation("u", 3)))
}

// TestDrainRecordIsBounded guards against growth without limit.
func TestDrainRecordIsBounded(t *testing.T) {
	is := is.New(t)
	r := orioledeparture.New()
	const n = 5000
	for i := range n {
		is.True(r.Add(incarnation(strconv.Itoa(i), 1)))
	}
	is.True(!r.Leaves(incarnation("0", 1)))
	is.True(r.Leaves(incarnation(strconv.Itoa(n-1), 1)))
}
