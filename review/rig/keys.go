package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// playKeys has two requesters order at the same stalls. Each numbers its orders, and
// sends the number in a field of its own. Rule: MIXED.
func playKeys(w *world) (broken bool, err error) {
	board := service{name: "stall-board", prefix: "/booking/", sharded: true, timeout: 1500 * time.Millisecond}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.putConfig([]service{board}); err != nil {
		return false, err
	}
	led := &ledger{}
	zones := []string{"granton", "bridgewater"}
	for i := range 4 {
		b, err := w.startBackend(led, fmt.Sprintf("board-%d", i), board, zones[i%2], 2, 20*time.Millisecond)
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
	var requesters []*callers
	for _, name := range []string{"anna", "bela"} {
		c := newCallers(w, name+"-")
		c.fields = map[string]string{"Authorization": "Bearer " + name}
		requesters = append(requesters, c)
	}
	for n := range 50 {
		for i, c := range requesters {
			if w.trouble {
				c.fields["Idempotency-Key"] = strconv.Itoa(n + 1)
			}
			c.send(w.gateways[i], board, http.MethodPost, n*1300, board.timeout)
		}
	}
	ran := make(map[string]bool)
	for _, b := range led.begins {
		ran[b.id] = true
	}
	foreign, lost := 0, 0
	for _, c := range requesters {
		for _, a := range c.answers {
			if a.status != http.StatusOK || a.proof == "signed-"+a.id {
				continue
			}
			foreign++
			if !ran[a.id] {
				lost++
			}
			w.log("MIXED: %s at %s got 200 with the proof %q; it has run: %v", a.id, a.gateway, a.proof, ran[a.id])
		}
	}
	w.note("%d of %d successes belong to another request; %d of these requests never ran", foreign, 2*50, lost)
	return foreign > 0, nil
}
