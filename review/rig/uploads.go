package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Slow backends, as in the largest srv_slow entry of the site: share 0.4, 12 times, for
// 9 s.
const (
	uploadBackends = 5
	slowBackends   = 2
	slowFactor     = 12
	slowLength     = 9 * time.Second
)

// uploadBytes is the size of the bodies. The config allows 64 MB, and 27 requests a
// second of this size fit in the link of a machine (1,000 Mbit/s).
const uploadBytes = 4 << 20

// playUploads has some backends of a service turn slow whose requests have long bodies.
// Rules: LOST, and Fault (a process over its memory limit).
func playUploads(w *world) (broken bool, err error) {
	board := service{name: "stall-board", prefix: "/board/", timeout: 4 * time.Second}
	barge := service{name: "bargemaster", prefix: "/barge/", timeout: 800 * time.Millisecond}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.putConfig([]service{board, barge}); err != nil {
		return false, err
	}
	led := &ledger{}
	const work = 320 * time.Millisecond
	var backends []*backend
	for i := range uploadBackends {
		b, err := w.startBackend(led, fmt.Sprintf("board-%d", i), board, "granton", 2, work)
		if err != nil {
			return false, err
		}
		defer b.close()
		backends = append(backends, b)
	}
	for i := range 6 {
		b, err := w.startBackend(led, fmt.Sprintf("barge-%d", i), barge, "granton", 2, 63*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer b.close()
	}
	slow := backends[:slowBackends]
	for _, zone := range []string{"granton", "bridgewater", "hobart-wharf"} {
		for i := range 2 {
			if _, err := w.startGateway(fmt.Sprintf("edge-%s-%d", zone, i+1), zone); err != nil {
				return false, err
			}
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c, short := newCallers(w, "a"), newCallers(w, "b")
	c.bodyBytes = uploadBytes
	end := time.Now().Add(72 * time.Second)
	for _, g := range w.gateways {
		c.stream(g, board, http.MethodPost, 4.5, board.timeout, end, func(n int) int { return n })
		short.stream(g, barge, http.MethodPost, 15, barge.timeout, end, func(n int) int { return n })
	}
	for time.Sleep(6 * time.Second); time.Until(end) > slowLength; time.Sleep(4 * time.Second) {
		if !w.trouble {
			continue
		}
		w.note("%d of %d backends work %d times as long, for %s", len(slow), len(backends), slowFactor, slowLength)
		for _, b := range slow {
			b.setWork(work * slowFactor)
		}
		time.Sleep(slowLength)
		for _, b := range slow {
			b.setWork(work)
		}
	}
	c.wait()
	short.wait()
	over := 0
	for _, g := range w.gateways {
		g.endWatch()
		w.note("%s: peak %.0f MB of %d MB, killed %d times for it", g.name, g.peakMB, memoryMB, g.killedForMemory)
		if g.killedForMemory >= 3 {
			over++
		}
	}
	lost := 0
	for _, sent := range []*callers{c, short} {
		lost += sent.lost(led, func(id string) bool {
			return !slices.ContainsFunc(slow, func(b *backend) bool { return b.id == id })
		})
	}
	w.note("answers of %s by status: %v", board.name, c.count(board))
	w.note("answers of %s by status: %v", barge.name, short.count(barge))
	w.note("%d requests to sound backends were passed on and ended without an answer", lost)
	return over >= 2 || lost > 3, nil
}

func (b *backend) setWork(work time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.work = work
}
