package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// playEncoded sends requests whose path has an encoded slash in one of its segments,
// where the prefix of one route continues that of another. Rule: ROUTE.
func playEncoded(w *world) (broken bool, err error) {
	board := service{name: "stall-board", prefix: "/stalls/", timeout: 1500 * time.Millisecond}
	barge := service{name: "bargemaster", prefix: "/stalls/tow/", timeout: 800 * time.Millisecond}
	services := []service{board, barge}
	if err := w.startStore(); err != nil {
		return false, err
	}
	if err := w.putConfig(services); err != nil {
		return false, err
	}
	led := &ledger{}
	for _, svc := range services {
		for i := range 2 {
			b, err := w.startBackend(led, fmt.Sprintf("%s-%d", svc.name, i), svc, "granton", 2, 20*time.Millisecond)
			if err != nil {
				return false, err
			}
			defer b.close()
		}
	}
	for i := range 2 {
		if _, err := w.startGateway(fmt.Sprintf("edge-granton-%d", i+1), "granton"); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := newCallers(w, "a")
	for n := range 50 {
		g := w.gateways[n%len(w.gateways)]
		c.sendPath(g, board, http.MethodPost, "/stalls/"+strconv.Itoa(n), 0, board.timeout)
		c.sendPath(g, barge, http.MethodPost, "/stalls/tow/"+strconv.Itoa(n), 0, barge.timeout)
		if w.trouble {
			c.sendPath(g, board, http.MethodPost, "/stalls/tow%2F"+strconv.Itoa(n), 0, board.timeout)
		}
	}
	led.mu.Lock()
	defer led.mu.Unlock()
	astray := 0
	for _, b := range led.begins {
		if allowed := routeOf(services, b.path); allowed != b.service {
			astray++
			w.log("ROUTE: %s (%s) was run by %s, a backend of %s; the route is that of %s", b.id, b.path, b.backend, b.service, allowed)
		}
	}
	w.note("%d of %d requests were run by a service to which the config does not send them", astray, len(led.begins))
	return astray > 0, nil
}

// routeOf returns the service of the longest prefix that begins the path.
func routeOf(services []service, path string) (name string) {
	longest := 0
	for _, svc := range services {
		if strings.HasPrefix(path, svc.prefix) && len(svc.prefix) > longest {
			name, longest = svc.name, len(svc.prefix)
		}
	}
	return name
}
