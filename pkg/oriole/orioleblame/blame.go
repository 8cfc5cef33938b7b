// Package orioleblame recognises requests that crash the upstreams that run
// them. It is a pure state machine over what keepers see.
package orioleblame

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// remembered bounds the requests and upstreams that are kept in mind.
	remembered = 1024
	// suspectSpan is how soon after a request was lost its upstream must have
	// ended for the request to be blamed: an entry that lapses takes three
	// heartbeats, and some time to be told.
	suspectSpan = 5 * time.Second
	// blameSpan is how long a crash counts.
	blameSpan = time.Minute
	// convicting is how many upstreams must have ended while they ran a request
	// for it to be refused. Two may end by chance while they run the same hot
	// request.
	convicting = 3
)

// Print identifies a request by its content, for all gateways alike.
type Print uint64

// PrintOf returns the request's print.
func PrintOf(r oriole.Request) Print {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return Print(digest.Sum64())
}

// Register remembers which requests ended which upstreams.
type Register struct {
	crashes *simplelru.LRU[Print, map[oriole.Life]time.Time]
	lost    *simplelru.LRU[oriole.Life, map[Print]time.Time]
}

// New returns a register that knows nothing.
func New() *Register {
	crashes, err := simplelru.NewLRU[Print, map[oriole.Life]time.Time](remembered, nil)
	if err != nil {
		// The size is above 0, which is all that the constructor checks.
		panic(err)
	}
	lost, err := simplelru.NewLRU[oriole.Life, map[Print]time.Time](remembered, nil)
	if err != nil {
		panic(err)
	}
	return &Register{crashes: crashes, lost: lost}
}

// Lost records that the upstream's connection broke while it ran the request.
func (r *Register) Lost(now time.Time, life oriole.Life, print Print) {
	prints, known := r.lost.Get(life)
	if !known {
		prints = make(map[Print]time.Time)
		r.lost.Add(life, prints)
	}
	prints[print] = now
}

// Answered records that the upstream lives, so that what it lost did not end
// it.
func (r *Register) Answered(life oriole.Life) {
	if r.lost.Len() > 0 {
		r.lost.Remove(life)
	}
}

// Ended records that the upstream's life is over, and returns the requests that
// are to blame.
func (r *Register) Ended(now time.Time, life oriole.Life) []Print {
	prints, known := r.lost.Peek(life)
	if !known {
		return nil
	}
	r.lost.Remove(life)
	var blamed []Print
	for print, at := range prints {
		if now.Sub(at) <= suspectSpan {
			r.Blame(now, print, life)
			blamed = append(blamed, print)
		}
	}
	return blamed
}

// Suspects returns the upstreams that have lost requests lately.
func (r *Register) Suspects() []oriole.Life { return r.lost.Keys() }

// Blame records that the request ended the upstream, as this gateway or another
// has seen.
func (r *Register) Blame(now time.Time, print Print, life oriole.Life) {
	lives, known := r.crashes.Get(print)
	if !known {
		lives = make(map[oriole.Life]time.Time)
		r.crashes.Add(print, lives)
	}
	lives[life] = now
}

// Refuses reports whether the request has ended so many upstreams that it is
// not run any more.
func (r *Register) Refuses(now time.Time, print Print) bool {
	if r.crashes.Len() == 0 {
		return false
	}
	lives, known := r.crashes.Peek(print)
	if !known {
		return false
	}
	n := 0
	for _, at := range lives {
		if now.Sub(at) < blameSpan {
			n++
		}
	}
	return n >= convicting
}
