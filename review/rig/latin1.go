package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// playLatin1 sends bookings that name their groom in a header field, encoded in ISO
// 8859-1. Rule: Starved.
func playLatin1(w *world) (broken bool, err error) {
	board := service{name: "stall-board", prefix: "/board/", sharded: true, idempotent: true, timeout: 1200 * time.Millisecond}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.putConfig([]service{board, {name: board.name, prefix: "/booking/", sharded: true, timeout: 1500 * time.Millisecond}}); err != nil {
		return false, err
	}
	led := &ledger{}
	zones := []string{"new-norfolk", "bridgewater", "granton", "hobart-wharf"}
	for i := range 8 {
		b, err := w.startBackend(led, fmt.Sprintf("board-%d", i), board, zones[i%4], 2, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		defer b.close()
	}
	for i := range 8 {
		if _, err := w.startGateway(fmt.Sprintf("edge-%s-%d", zones[i%4], i/4+1), zones[i%4]); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	lookups, bookings := newCallers(w, "a"), newCallers(w, "b")
	bookings.fields = map[string]string{"X-Groom": "Jerome"}
	if w.trouble {
		bookings.fields["X-Groom"] = "J\xe9r\xf4me"
	}
	booking := service{name: "booking", prefix: "/booking/", sharded: true, timeout: 1500 * time.Millisecond}
	end := time.Now().Add(30 * time.Second)
	for i, g := range w.gateways {
		random := rand.New(rand.NewPCG(1, uint64(i)))
		keys := make([]int, 1000)
		for n := range keys {
			keys[n] = random.IntN(1 << 16)
		}
		pick := func(n int) int { return keys[n] }
		lookups.stream(g, board, http.MethodGet, 10, board.timeout, end, pick)
		bookings.stream(g, booking, http.MethodPost, 2, booking.timeout, end, pick)
	}
	lookups.wait()
	bookings.wait()
	allServed, all := lookups.served()
	served, sent := bookings.served()
	allServed, all = allServed+served, all+sent
	w.note("answers of lookups by status: %v", lookups.count(board))
	w.note("answers of bookings by status: %v", bookings.count(booking))
	w.note("%d of %d bookings were served, and %d of all %d requests", served, sent, allServed, all)
	// Served less than a quarter as often as all requests.
	return 4*served*all < allServed*sent, nil
}

// served returns the number of requests that were answered with success, and of all.
func (c *callers) served() (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.status >= 200 && a.status < 300 {
			served++
		}
	}
	return served, len(c.answers)
}
