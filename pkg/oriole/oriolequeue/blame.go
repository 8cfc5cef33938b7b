package oriolequeue

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// blameSize bounds the remembered requests.
const blameSize = 1024

// blockTime is how long a request that crashed servers is refused; suspectTime
// is how long one that was in flight at a crash runs alone.
const (
	blockTime   = time.Minute
	suspectTime = 10 * time.Second
)

// Fingerprint identifies a request by its content, for all gateways alike.
type Fingerprint uint64

func fingerprint(r oriole.Request) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{string(r.Service), r.Method, r.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return Fingerprint(digest.Sum64())
}

// blame recognises requests that crash the servers that run them.
type blame struct {
	entries *simplelru.LRU[Fingerprint, blameEntry]
}

type blameEntry struct {
	// alone says that the request ran alone when a server failed: then it is
	// taken for the cause.
	alone bool
	last  time.Time
}

func newBlame() *blame {
	entries, err := simplelru.NewLRU[Fingerprint, blameEntry](blameSize, nil)
	if err != nil {
		// The size is above 0, which is all that the constructor checks.
		panic(err)
	}
	return &blame{entries: entries}
}

// crashed records that a server failed while it ran the request, alone or with
// others. Several requests may have been in flight, and the server may have
// failed for its own reasons: the first time only makes the request a suspect.
func (b *blame) crashed(now time.Time, print Fingerprint, alone bool) {
	entry, known := b.entries.Peek(print)
	if known && entry.alone && now.Sub(entry.last) < blockTime {
		alone = true
	}
	b.entries.Add(print, blameEntry{alone: alone, last: now})
}

// cleared forgets a request that a server has answered.
func (b *blame) cleared(print Fingerprint) {
	if b.entries.Len() > 0 {
		b.entries.Remove(print)
	}
}

// blocked reports whether the request is refused.
func (b *blame) blocked(now time.Time, print Fingerprint) bool {
	if b.entries.Len() == 0 {
		return false
	}
	entry, known := b.entries.Peek(print)
	return known && entry.alone && now.Sub(entry.last) < blockTime
}

// suspected reports whether the request must run alone on its server, so that
// a further crash tells it from those that were merely in flight with it.
func (b *blame) suspected(now time.Time, print Fingerprint) bool {
	if b.entries.Len() == 0 {
		return false
	}
	entry, known := b.entries.Peek(print)
	return known && now.Sub(entry.last) < suspectTime
}
