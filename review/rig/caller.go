package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a requester saw of one attempt.
type answer struct {
	id, gateway string
	svc         service
	sent        time.Time
	took        time.Duration
	// status is 0 if the connection ended without an answer, and proof the answer's
	// X-Response-Signature.
	status int
	proof  string
	err    error
}

// callers send requests over kept connections.
type callers struct {
	w *world
	// prefix begins the ids of the attempts.
	prefix  string
	nextID  atomic.Uint64
	mu      sync.Mutex
	answers []answer
	// idle holds the kept connections by the gateway's address.
	idle map[string][]*kept
	// bodyBytes is the size of the bodies, or 0 for short ones.
	bodyBytes int
	// fields holds header fields of the requester's own.
	fields map[string]string
	wg     sync.WaitGroup
}

func newCallers(w *world, prefix string) *callers {
	return &callers{w: w, prefix: prefix, idle: make(map[string][]*kept)}
}

// send sends one request and records the answer.
func (c *callers) send(g *gateway, svc service, method string, key int, deadline time.Duration) {
	c.sendPath(g, svc, method, svc.prefix+"k"+strconv.Itoa(key), key, deadline)
}

// sendPath is like send, for a path as it stands on the wire.
func (c *callers) sendPath(g *gateway, svc service, method, path string, key int, deadline time.Duration) {
	id := fmt.Sprintf("%s%06d", c.prefix, c.nextID.Add(1))
	a := answer{id: id, gateway: g.name, svc: svc, sent: time.Now()}
	a.status, a.proof, a.err = c.exchange(g, svc, method, path, key, deadline, id)
	a.took = time.Since(a.sent)
	c.w.log("%s at %s got %d after %d ms %v", id, g.name, a.status, a.took.Milliseconds(), errText(a.err))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), "\n", " ")
}

// kept is a connection that a requester keeps open.
type kept struct {
	net.Conn
	in *bufio.Reader
}

func (c *callers) take(gateway string) (*kept, error) {
	c.mu.Lock()
	if conns := c.idle[gateway]; len(conns) > 0 {
		conn := conns[len(conns)-1]
		c.idle[gateway] = conns[:len(conns)-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", gateway, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{raw, bufio.NewReader(raw)}, nil
}

// errNotRead is returned for a connection that was closed before the request was sent.
var errNotRead = errors.New("not connected")

// exchange sends one request on a kept connection, or on a new one, and never again
// on another.
func (c *callers) exchange(g *gateway, svc service, method, path string, key int, deadline time.Duration, id string) (status int, proof string, err error) {
	var body io.Reader
	if method != http.MethodGet {
		body = strings.NewReader("order of " + id + strings.Repeat(".", c.bodyBytes))
	}
	req, err := http.NewRequest(method, "http://"+host+path, body)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range c.fields {
		req.Header.Set(name, value)
	}
	if svc.sharded {
		req.Header.Set("X-Shard-Key", strconv.Itoa(key))
	}
	c.w.log("%s sent to %s: %s %s", id, g.name, method, req.URL.RequestURI())
	conn, err := c.take(g.front)
	if err != nil {
		return 0, "", errNotRead
	}
	// The requester waits a little longer than its deadline, for the last answer.
	_ = conn.SetDeadline(time.Now().Add(deadline + time.Second))
	if err := req.Write(conn); err != nil {
		_ = conn.Close()
		return 0, "", err
	}
	resp, err := http.ReadResponse(conn.in, req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err != nil || resp.Close {
		_ = conn.Close()
	}
	if err != nil {
		return 0, "", err
	}
	if !resp.Close {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle[g.front] = append(c.idle[g.front], conn)
	}
	return resp.StatusCode, resp.Header.Get("X-Response-Signature"), nil
}

// stream sends requests at a rate until the end. pick chooses the key of the nth.
func (c *callers) stream(g *gateway, svc service, method string, perSecond float64, deadline time.Duration, until time.Time, pick func(n int) int) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for n := 0; time.Now().Before(until); n++ {
			<-ticker.C
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(g, svc, method, pick(n), deadline)
			}()
		}
	}()
}

// wait waits until all requests have been answered.
func (c *callers) wait() { c.wg.Wait() }

// count returns the number of answers by status of a service.
func (c *callers) count(svc service) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[int]int)
	for _, a := range c.answers {
		if a.svc.name == svc.name {
			counts[a.status]++
		}
	}
	return counts
}
