// Package oriolecrash detects requests that crash the upstreams that run them,
// so that such a request is refused instead of crashing one upstream after
// another. It is a pure state machine, driven by the events that a dispatcher
// observes.
package oriolecrash

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

const (
	// maxEntries bounds the tracked requests, and separately the suspect upstreams.
	maxEntries = 1024
	// suspectWindow is the longest time between the loss of the connection of a
	// request and the observed end of its upstream for the request to count as the
	// cause: a directory entry expires after three missed heartbeats, and the
	// gateways learn of it a little later.
	suspectWindow = 5 * time.Second
	// crashTTL is how long a crash counts against a request.
	crashTTL = time.Minute
	// refusalThreshold is the number of upstreams that must have crashed while
	// running a request before it is refused. Two may end by coincidence while
	// both run the same frequent request.
	refusalThreshold = 3
)

// Fingerprint is a hash of the content of a request. All gateways compute the same
// one for a request.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of the request's method, host, target and
// body.
func FingerprintOf(r oriole.Request) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{r.Method, r.Host, r.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return Fingerprint(digest.Sum64())
}

// Detector tracks which requests crashed which upstreams.
type Detector struct {
	// crashes maps each request to the upstreams that it crashed, and when.
	crashes *simplelru.LRU[Fingerprint, map[oriole.Incarnation]time.Time]
	// suspects maps each upstream that may have crashed to the requests whose
	// connections it lost, and when.
	suspects *simplelru.LRU[oriole.Incarnation, map[Fingerprint]time.Time]
	// ended maps the upstreams that count as crashed to when that was last recorded.
	ended *simplelru.LRU[oriole.Incarnation, time.Time]
}

// New returns an empty detector.
func New() *Detector {
	crashes, err := simplelru.NewLRU[Fingerprint, map[oriole.Incarnation]time.Time](maxEntries, nil)
	if err != nil {
		// Unreachable: the constructor only rejects sizes below 1.
		panic(err)
	}
	suspects, err := simplelru.NewLRU[oriole.Incarnation, map[Fingerprint]time.Time](maxEntries, nil)
	if err != nil {
		panic(err)
	}
	ended, err := simplelru.NewLRU[oriole.Incarnation, time.Time](maxEntries, nil)
	if err != nil {
		panic(err)
	}
	return &Detector{crashes: crashes, suspects: suspects, ended: ended}
}

// ConnectionLost records that the connection to the upstream broke while it ran
// the request.
func (d *Detector) ConnectionLost(now time.Time, inc oriole.Incarnation, fp Fingerprint) {
	lostRequests, known := d.suspects.Get(inc)
	if !known {
		lostRequests = make(map[Fingerprint]time.Time)
		d.suspects.Add(inc, lostRequests)
	}
	lostRequests[fp] = now
}

// ClearSuspect records that the end of the upstream would be no crash, so that the
// requests whose connections it lost are no cause of it.
func (d *Detector) ClearSuspect(inc oriole.Incarnation) {
	if d.suspects.Len() > 0 {
		d.suspects.Remove(inc)
	}
}

// Alive records that the upstream lives: no request crashed it, although its connections
// were lost and refused.
func (d *Detector) Alive(inc oriole.Incarnation) {
	d.ClearSuspect(inc)
	if d.ended.Len() == 0 || !d.ended.Remove(inc) {
		return
	}
	for _, fp := range d.crashes.Keys() {
		if incarnations, known := d.crashes.Peek(fp); known {
			delete(incarnations, inc)
		}
	}
}

// Unconfirmed returns the upstreams that have counted as crashed for so long that the
// directory no longer lists those that have. There are none soon after directoryFailedAt,
// when a call to the directory last failed.
func (d *Detector) Unconfirmed(now, directoryFailedAt time.Time) []oriole.Incarnation {
	if now.Sub(directoryFailedAt) < suspectWindow {
		return nil
	}
	var unconfirmed []oriole.Incarnation
	for _, inc := range d.ended.Keys() {
		if at, known := d.ended.Peek(inc); known && now.Sub(at) >= suspectWindow {
			unconfirmed = append(unconfirmed, inc)
		}
	}
	return unconfirmed
}

// UpstreamEnded records that the incarnation of the upstream has ended, and
// returns the requests that count as the cause.
func (d *Detector) UpstreamEnded(now time.Time, inc oriole.Incarnation) []Fingerprint {
	lostRequests, known := d.suspects.Peek(inc)
	if !known {
		return nil
	}
	d.suspects.Remove(inc)
	var causes []Fingerprint
	for fp, at := range lostRequests {
		if now.Sub(at) <= suspectWindow {
			d.RecordCrash(now, fp, inc)
			causes = append(causes, fp)
		}
	}
	return causes
}

// Suspects returns the upstreams that lost the connection of a request and have
// neither responded nor ended since.
func (d *Detector) Suspects() []oriole.Incarnation { return d.suspects.Keys() }

// RecordCrash records that the request crashed the upstream, as this gateway or a
// peer observed. An upstream counts once for each request.
func (d *Detector) RecordCrash(now time.Time, fp Fingerprint, inc oriole.Incarnation) {
	incarnations, known := d.crashes.Get(fp)
	if !known {
		incarnations = make(map[oriole.Incarnation]time.Time)
		d.crashes.Add(fp, incarnations)
	}
	incarnations[inc] = now
	d.ended.Add(inc, now)
}

// Refuses reports whether the request must be refused since it crashed at least
// [refusalThreshold] upstreams within [crashTTL].
func (d *Detector) Refuses(now time.Time, fp Fingerprint) bool {
	if d.crashes.Len() == 0 {
		return false
	}
	incarnations, known := d.crashes.Peek(fp)
	if !known {
		return false
	}
	n := 0
	for _, at := range incarnations {
		if now.Sub(at) < crashTTL {
			n++
		}
	}
	return n >= refusalThreshold
}
