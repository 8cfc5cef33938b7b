// Package orioledeparture records which upstreams have stated that they leave.
package orioledeparture

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// maxEntries bounds the recorded upstreams. It exceeds the upstreams that leave a
// large site in a day.
const maxEntries = 4096

// Record holds the latest incarnation of each upstream that has stated that it
// leaves. An incarnation that leaves never stops doing so.
type Record struct {
	startedAt *simplelru.LRU[oriole.ServerID, time.Time]
}

// New returns an empty record.
func New() *Record {
	startedAt, err := simplelru.NewLRU[oriole.ServerID, time.Time](maxEntries, nil)
	if err != nil {
		// Only a size of 0 or less is an error.
		panic(err)
	}
	return &Record{startedAt}
}

// Add records that the incarnation leaves. It reports false if that is known.
func (r *Record) Add(incarnation oriole.Incarnation) bool {
	if r.Leaves(incarnation) {
		return false
	}
	r.startedAt.Add(incarnation.ID, incarnation.StartedAt)
	return true
}

// Leaves reports whether the incarnation leaves, or has ended because a later one
// leaves.
func (r *Record) Leaves(incarnation oriole.Incarnation) bool {
	startedAt, found := r.startedAt.Get(incarnation.ID)
	return found && !incarnation.StartedAt.After(startedAt)
}
