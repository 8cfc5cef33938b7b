package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// The share of the faulty backends is that of the largest garble entry of the site.
const (
	boardCount  = 16
	faultyCount = 9
)

// playEndless has some backends of one service answer with bytes that never end, as
// backends in trouble do. Rules: Fault (a process over its memory limit) and LOST, for
// the requests to the other service, whose backends are sound.
func playEndless(w *world) (broken bool, err error) {
	board := service{name: "stall-board", prefix: "/board/", sharded: true, timeout: 4 * time.Second}
	barge := service{name: "bargemaster", prefix: "/barge/", timeout: 800 * time.Millisecond}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.putConfig([]service{board, barge}); err != nil {
		return false, err
	}
	led := &ledger{}
	zones := []string{"granton", "bridgewater"}
	var boards []*backend
	for i := range boardCount {
		b, err := w.startBackend(led, fmt.Sprintf("board-%02d", i), board, zones[i%2], 8, 120*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer b.close()
		boards = append(boards, b)
	}
	faulty := boards[:faultyCount]
	for i := range 4 {
		b, err := w.startBackend(led, fmt.Sprintf("barge-%d", i), barge, zones[i%2], 2, 63*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer b.close()
	}
	for _, zone := range zones {
		if _, err := w.startGateway("edge-"+zone+"-1", zone); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	c := newCallers(w, "a")
	end := time.Now().Add(45 * time.Second)
	for _, g := range w.gateways {
		c.stream(g, board, http.MethodPost, 60, board.timeout, end, func(n int) int { return n * 7919 % 65536 })
		c.stream(g, barge, http.MethodPost, 30, barge.timeout, end, func(n int) int { return n % 500 })
	}
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.note("%d of %d backends of %s answer without end", len(faulty), len(boards), board.name)
		for _, b := range faulty {
			b.setEndless(true)
		}
		time.Sleep(25 * time.Second)
		for _, b := range faulty {
			b.setEndless(false)
		}
		w.note("all backends are sound again")
	}
	c.wait()
	kills, over := 0, 0
	for _, g := range w.gateways {
		g.endWatch()
		w.note("%s: peak %.0f MB of %d MB, killed %d times for it", g.name, g.peakMB, memoryMB, g.killedForMemory)
		kills += g.killedForMemory
		if g.killedForMemory >= 3 {
			over++
		}
	}
	lost := c.lost(led, func(id string) bool {
		return !slices.ContainsFunc(faulty, func(b *backend) bool { return b.id == id })
	})
	w.note("answers of %s by status: %v", board.name, c.count(board))
	w.note("answers of %s by status: %v", barge.name, c.count(barge))
	w.note("%d requests to sound backends were passed on and ended without an answer; %d kills", lost, kills)
	return over >= 2 || lost > 3, nil
}

func (b *backend) setEndless(endless bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endless = endless
}

// lost returns the number of requests that a sound backend has begun and whose
// connection was closed without an answer before the deadline.
func (c *callers) lost(led *ledger, sound func(backend string) bool) int {
	led.mu.Lock()
	defer led.mu.Unlock()
	begun := make(map[string]bool)
	for _, b := range led.begins {
		begun[b.id] = begun[b.id] || sound(b.backend)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.answers {
		if a.status == 0 && a.took < a.svc.timeout && begun[a.id] {
			n++
		}
	}
	return n
}
