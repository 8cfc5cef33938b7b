package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is how often a backend writes its entry to the store.
const heartbeatInterval = 500 * time.Millisecond

// hold is a grant of keys, both bounds inclusive.
type hold struct {
	first, last int
	fence       uint64
	from, until time.Time
}

// grantOrder and releaseOrder are the bodies of the orders to backends.
type grantOrder struct {
	From     int    `json:"From"`
	Target   int    `json:"Target"`
	Fence    uint64 `json:"fence"`
	HoldMs   int64  `json:"HoldMs"`
	Handover string `json:"Handover"`
}

// span is a time in which a backend held keys.
type span struct {
	hold
	backend string
}

// begin is the start of a request at a backend.
type begin struct {
	backend, service, id, path string
	key                        int
	at                         time.Time
}

// ledger records what all backends of the world have seen.
type ledger struct {
	mu     sync.Mutex
	spans  []span
	begins []begin
}

// backend is a sound server, apart from the faults that a case switches on.
type backend struct {
	w         *world
	led       *ledger
	id        string
	svc       service
	zone      string
	slots     int
	work      time.Duration
	born      int64
	addr      string
	server    *http.Server
	stop      chan struct{}
	listening sync.Mutex
	listener  net.Listener

	mu      sync.Mutex
	running int
	idle    *sync.Cond
	holds   []hold
	seen    []hold
	handed  int
	// endless makes the backend answer with bytes that never end.
	endless bool
}

func (w *world) startBackend(led *ledger, id string, svc service, zone string, slots int, work time.Duration) (*backend, error) {
	b := &backend{w: w, led: led, id: id, svc: svc, zone: zone, slots: slots, work: work, born: time.Now().UnixMilli(), stop: make(chan struct{})}
	b.idle = sync.NewCond(&b.mu)
	b.server = &http.Server{Handler: b}
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	b.addr = addr
	b.serve(listener)
	if err := b.beat(); err != nil {
		return nil, err
	}
	go func() {
		for {
			select {
			case <-time.After(heartbeatInterval):
				_ = b.beat()
			case <-b.stop:
				return
			}
		}
	}()
	return b, nil
}

func (b *backend) beat() error {
	return b.w.put("servers", b.id, map[string]any{
		"Service": b.svc.name, "Address": b.addr, "Zone": b.zone, "Version": "v1", "Slots": b.slots, "State": "ready", "ColdLeftMs": 0,
		"Seq": time.Now().UnixMilli() - b.born, "born": b.born,
	})
}

func (b *backend) serve(listener net.Listener) {
	b.listener = listener
	go func() { _ = b.server.Serve(listener) }()
}

// refuse makes new connections be refused for the duration, while open ones live on.
func (b *backend) refuse(d time.Duration) error {
	b.listening.Lock()
	defer b.listening.Unlock()
	// Server.Serve returns, and leaves its connections open.
	if err := b.listener.Close(); err != nil {
		return err
	}
	time.Sleep(d)
	listener, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.serve(listener)
	return nil
}

func (b *backend) close() {
	close(b.stop)
	_ = b.server.Close()
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != b.id {
		w.Header().Set("X-Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/grant":
		b.grant(w, r)
	case "/-/release":
		b.release(w, r)
	case b.svcHealth():
		w.Header().Set("X-Instance-Id", b.id)
	default:
		b.run(w, r)
	}
}

func (b *backend) svcHealth() string { return "/healthz" }

func (b *backend) grant(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	var o grantOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.seen {
		if h.first <= o.Target && o.From <= h.last && h.fence > o.Fence {
			b.w.log("%s refuses a grant of %d to %d, fence %d", b.id, o.From, o.Target, o.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	h := hold{o.From, o.Target, o.Fence, arrived, arrived.Add(time.Duration(o.HoldMs) * time.Millisecond)}
	b.take(h, arrived)
	b.holds = append(b.holds, h)
	b.seen = append(b.seen, h)
	b.w.log("%s holds %d to %d, fence %d, for %d ms", b.id, o.From, o.Target, o.Fence, o.HoldMs)
}

// take ends what the backend holds of the keys, and records it. b.mu must be held.
func (b *backend) take(keys hold, at time.Time) {
	var kept []hold
	for _, h := range b.holds {
		if h.last < keys.first || keys.last < h.first {
			kept = append(kept, h)
			continue
		}
		ended := h
		ended.first, ended.last = max(h.first, keys.first), min(h.last, keys.last)
		if at.Before(ended.until) {
			ended.until = at
		}
		b.recordSpan(ended)
		if h.first < keys.first {
			head := h
			head.last = keys.first - 1
			kept = append(kept, head)
		}
		if keys.last < h.last {
			tail := h
			tail.first = keys.last + 1
			kept = append(kept, tail)
		}
	}
	b.holds = kept
}

func (b *backend) recordSpan(h hold) {
	b.led.mu.Lock()
	defer b.led.mu.Unlock()
	b.led.spans = append(b.led.spans, span{h, b.id})
}

// recordHolds records what the backend still holds.
func (b *backend) recordHolds() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range b.holds {
		b.recordSpan(h)
	}
}

func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	var o grantOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := hold{first: o.From, last: o.Target, fence: o.Fence}
	b.take(keys, time.Now())
	b.seen = append(b.seen, keys)
	b.w.log("%s releases %d to %d, fence %d", b.id, o.From, o.Target, o.Fence)
	// Waits for all running requests, not only for those of the released keys.
	for b.running > 0 {
		b.idle.Wait()
	}
	b.handed++
	w.Header().Set("X-Handover", b.id+"-"+strconv.Itoa(b.handed))
}

// ownsLocked reports whether the backend may run a request with the key now.
func (b *backend) ownsLocked(key int, now time.Time) bool {
	for _, h := range b.holds {
		if h.first <= key && key <= h.last && now.Before(h.until) {
			return true
		}
	}
	return false
}

func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	key, keyErr := strconv.Atoi(r.Header.Get("X-Shard-Key"))
	now := time.Now()
	b.mu.Lock()
	refusal := 0
	switch {
	case id == "":
		refusal = http.StatusBadRequest
	case b.svc.sharded && (keyErr != nil || !b.ownsLocked(key, now)):
		refusal = http.StatusMisdirectedRequest
	case b.running >= b.slots:
		refusal = http.StatusServiceUnavailable
	}
	if refusal != 0 {
		b.mu.Unlock()
		b.w.log("%s turns %s away: %d", b.id, id, refusal)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(refusal)
		return
	}
	b.running++
	endless, work := b.endless, b.work
	b.mu.Unlock()
	b.led.mu.Lock()
	b.led.begins = append(b.led.begins, begin{b.id, b.svc.name, id, r.RequestURI, key, now})
	b.led.mu.Unlock()
	b.w.log("%s begins %s (%s %s, %d bytes, key %d) %s", b.id, id, r.Method, r.RequestURI, len(body), key, r.Header.Get("Authorization"))
	defer func() {
		b.mu.Lock()
		b.running--
		b.idle.Broadcast()
		b.mu.Unlock()
	}()
	time.Sleep(work)
	if endless {
		b.sendEndless(w, r, id)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+id)
	_, _ = fmt.Fprintf(w, "%s ran %s", b.id, id)
}

// sendEndless answers with a body that ends only when the caller closes the
// connection.
func (b *backend) sendEndless(w http.ResponseWriter, r *http.Request, id string) {
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	sent := writeEndless(out.Writer, id, r.Context().Done())
	b.w.log("%s sent %d bytes without end for %s", b.id, sent, id)
}

// endlessInterval is the time between two chunks of 64 KB. Some 40 connections then
// bring 125 MB/s to a gateway, which is what its link carries (1,000 Mbit/s).
const endlessInterval = 21 * time.Millisecond

// writeEndless writes a head, and then bytes until the caller closes.
func writeEndless(out *bufio.Writer, id string, done <-chan struct{}) (sent int) {
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: signed-%s\r\n\r\n", id, id)
	chunk := make([]byte, 64<<10)
	ticker := time.NewTicker(endlessInterval)
	defer ticker.Stop()
	for {
		<-ticker.C
		n, err := out.Write(chunk)
		sent += n
		if err == nil {
			err = out.Flush()
		}
		if err != nil {
			return sent
		}
		select {
		case <-done:
			return sent
		default:
		}
	}
}
