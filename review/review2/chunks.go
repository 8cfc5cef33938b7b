package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/platform/wire"
)

const (
	// undivided is a service without keys.
	undivided = "bargemaster"
	tows      = "/tows/"
	// spoiledShare is the share of the answers that a backend in trouble spoils, and
	// troubledShare that of the backends.
	spoiledShare  = 0.02
	troubledShare = 0.5
	backends      = 6
	heartbeat     = 500 * time.Millisecond
	chunksTime    = 30 * time.Second
)

// chunkedAnswers has backends answer with chunks in a response of HTTP/1.0, which has none,
// and reports whether each success has the body that its backend sent.
func chunkedAnswers(s *site, trouble bool) (held bool, err error) {
	var spoiled atomic.Int64
	for i := range backends {
		share := 0.0
		if trouble && float64(i) < troubledShare*backends {
			share = spoiledShare
		}
		if err := s.startBackend(undivided+"-"+strconv.Itoa(i), share, &spoiled); err != nil {
			return false, err
		}
	}
	for i := range 2 {
		if err := s.startGateway("edge-granton-"+strconv.Itoa(i+1), "granton", 284, 4100, 0.32, nil); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	var served, wrong atomic.Int64
	end := time.Now().Add(chunksTime)
	var wait sync.WaitGroup
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := i; time.Now().Before(end); n += clients {
				a := s.send(http.MethodPut, tows, s.entry(i, n), n, clientDeadline)
				if a.status == http.StatusOK {
					served.Add(1)
				}
				if a.status == http.StatusOK && a.body != backendBody(a.id) {
					wrong.Add(1)
					s.log("%s was sent %q and has got %q, signature %s", a.id, backendBody(a.id), a.body, a.signature)
				}
				time.Sleep(clientInterval / 3)
			}
		}()
	}
	wait.Wait()
	s.say("%d requests served, %d answers spoiled, %d successes with another body than the backend's", served.Load(), spoiled.Load(), wrong.Load())
	if served.Load() == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return wrong.Load() == 0, nil
}

// backendBody returns the body of the answer to the request with the ID.
func backendBody(id string) string { return "horse for " + id }

// startBackend starts a backend of the undivided service, which spoils a share of its answers.
func (s *site) startBackend(id string, share float64, spoiled *atomic.Int64) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		s.log("run %s by %s", attempt, id)
		body := backendBody(attempt)
		if rand.Float64() >= share {
			w.Header().Set("X-Attempt-Id", attempt)
			w.Header().Set("X-Response-Signature", "signed-"+attempt)
			_, _ = io.WriteString(w, body)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		spoiled.Add(1)
		s.log("spoiled %s by %s", attempt, id)
		_, _ = fmt.Fprintf(conn, "HTTP/1.0 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", attempt, attempt, len(body), body)
		_ = conn.Close()
	})}
	go func() { _ = server.Serve(listener) }()
	entry := wire.Server{
		Service: undivided, Address: listener.Addr().String(), Zone: "granton", Version: "v1", Slots: 4, State: "ready", Born: time.Now().UnixMilli(),
	}
	stop := make(chan struct{})
	go func() {
		for {
			// If the store is not up yet, the next one is written.
			_ = s.registry.Put("servers", id, entry)
			select {
			case <-time.After(heartbeat):
			case <-stop:
				return
			}
		}
	}()
	s.stops = append(s.stops, func() { close(stop); _ = server.Close() })
	return nil
}
