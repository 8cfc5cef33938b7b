package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// Bounds of the site dtsc-gate.
const (
	thawSlack    = 300 * time.Millisecond
	holdTogether = 500 * time.Millisecond
)

// cutLength is how long the gateways are cut off from the backends.
const cutLength = 5 * time.Second

// interval is a time in which new connections were refused.
type interval struct{ from, to time.Time }

// playRefused cuts the gateways off from all backends: open connections live on, and
// new ones are refused. Rule: OWNER.
func playRefused(w *world) (broken bool, err error) {
	board := service{name: "stall-board", prefix: "/board/", sharded: true, idempotent: true, timeout: 1200 * time.Millisecond}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.putConfig([]service{board}); err != nil {
		return false, err
	}
	led := &ledger{}
	var backends []*backend
	for i := range 8 {
		b, err := w.startBackend(led, fmt.Sprintf("board-%d", i), board, "granton", 2, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer b.close()
		backends = append(backends, b)
	}
	for i := range 2 {
		if _, err := w.startGateway(fmt.Sprintf("edge-granton-%d", i+1), "granton"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := newCallers(w, "a")
	end := time.Now().Add(30 * time.Second)
	for i, g := range w.gateways {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		keys := make([]int, 1<<16)
		for n := range keys {
			keys[n] = hotKey(random, n)
		}
		c.stream(g, board, http.MethodGet, 60, 1200*time.Millisecond, end, func(n int) int { return keys[n] })
	}
	time.Sleep(8 * time.Second)
	var cut interval
	if w.trouble {
		cut.from = time.Now()
		w.note("new connections to all backends are refused for %s, open ones live on", cutLength)
		done := make(chan error, len(backends))
		for _, b := range backends {
			go func() { done <- b.refuse(cutLength) }()
		}
		for range backends {
			if err := <-done; err != nil {
				return false, err
			}
		}
		cut.to = time.Now()
		w.note("new connections to all backends are accepted again")
	}
	c.wait()
	for _, b := range backends {
		b.recordHolds()
	}
	w.note("answers by status: %v", c.count(board))
	return w.ownersOverlap(led, cut), nil
}

// hotKey returns the key of the nth request: 45 in 100 are for a band of 200 keys that
// moves every few seconds.
func hotKey(random *rand.Rand, n int) int {
	const perBand = 200
	if random.Float64() < 0.45 {
		return (n/perBand*7919)%65000 + random.IntN(200)
	}
	return random.IntN(1 << 16)
}

// ownersOverlap notes the times in which two backends held the same keys, and reports
// whether any breaks the rule: for longer than holdTogether, or with requests begun by
// both. Grants that arrived until thawSlack after a cut had healed don't count.
func (w *world) ownersOverlap(led *ledger, cut interval) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	broken := 0
	for i, a := range led.spans {
		for _, b := range led.spans[i+1:] {
			if a.backend == b.backend || a.last < b.first || b.last < a.first {
				continue
			}
			from, to := later(a.from, b.from), earlier(a.until, b.until)
			if !from.Before(to) || cut.healing(from) {
				continue
			}
			first, last := max(a.first, b.first), min(a.last, b.last)
			both := led.begunIn(a.backend, first, last, from, to) && led.begunIn(b.backend, first, last, from, to)
			if to.Sub(from) <= holdTogether && !both {
				continue
			}
			broken++
			w.log("OWNER: %s (fence %d) and %s (fence %d) hold %d to %d from %.3f s to %.3f s; both begin requests: %v",
				a.backend, a.fence, b.backend, b.fence, first, last, w.since(from), w.since(to), both)
		}
	}
	w.note("%d times two backends held the same keys", broken)
	return broken > 0
}

// healing reports whether the cut had healed less than thawSlack before.
func (cut interval) healing(at time.Time) bool {
	return !at.Before(cut.to) && at.Before(cut.to.Add(thawSlack))
}

// begunIn reports whether the backend began a request on the keys in the time. led.mu
// must be held.
func (led *ledger) begunIn(backend string, first, last int, from, to time.Time) bool {
	return slices.ContainsFunc(led.begins, func(b begin) bool {
		return b.backend == backend && first <= b.key && b.key <= last && !b.at.Before(from) && b.at.Before(to)
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
