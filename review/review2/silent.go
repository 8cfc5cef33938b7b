package main

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// traffic begins 8 s after the gateways have started, as on the users' machines.
	settleTime = 8 * time.Second
	calmTime   = 8 * time.Second
	// recoveryTime is RecoveryS.
	recoveryTime = 15 * time.Second
	judgedTime   = 40 * time.Second
	// The rule wants a quarter of the requests served.
	servedShare = 0.25

	clients        = 24
	clientInterval = 150 * time.Millisecond
	// clientDeadline is that of the lookups.
	clientDeadline = 1200 * time.Millisecond
)

// outcome counts the requests that were sent in one part of the run.
type outcome struct{ sent, served atomic.Int64 }

func (o *outcome) share() float64 { return float64(o.served.Load()) / float64(max(o.sent.Load(), 1)) }

func (o *outcome) String() string {
	return fmt.Sprintf("%d of %d requests served", o.served.Load(), o.sent.Load())
}

// silentLinks makes the open connections between the gateways silent, and reports whether
// requests are served again afterwards.
func silentLinks(s *site, trouble bool) (held bool, err error) {
	if err := s.startUpstreams(8, 20*time.Millisecond, "granton", "bridgewater"); err != nil {
		return false, err
	}
	var networks []*network
	for i := range 4 {
		zone := []string{"granton", "bridgewater"}[i%2]
		vm := "edge-" + zone + "-" + strconv.Itoa(i/2+1)
		if err := s.startGateway(vm, zone, 284, 4100, 0.32, func(peers netip.AddrPort) (netip.AddrPort, error) {
			n, reach, err := newNetwork(peers)
			networks = append(networks, n)
			return reach, err
		}); err != nil {
			return false, err
		}
	}
	time.Sleep(settleTime)
	var before, during, after outcome
	begin := time.Now()
	at := begin.Add(calmTime)
	judged := at.Add(recoveryTime)
	end := judged.Add(judgedTime)
	part := func() *outcome {
		switch now := time.Now(); {
		case now.Before(at):
			return &before
		case now.Before(judged):
			return &during
		}
		return &after
	}
	var wait sync.WaitGroup
	for i := range clients {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := i; time.Now().Before(end); n += clients {
				o := part()
				o.sent.Add(1)
				if s.request(i, n) {
					o.served.Add(1)
				}
				time.Sleep(clientInterval)
			}
		}()
	}
	time.Sleep(time.Until(at))
	if trouble {
		for _, n := range networks {
			silenced, whole := n.silence()
			s.log("%d connections to one gateway are silent from now on, without acknowledgements: %v", silenced, whole)
		}
	}
	wait.Wait()
	s.say("before: %v", &before)
	s.say("in the %v after: %v", recoveryTime, &during)
	s.say("in the next %v: %v", judgedTime, &after)
	for _, violation := range s.checker.Violations() {
		s.say("the upstreams saw: %s", violation)
	}
	if before.share() < servedShare {
		return false, fmt.Errorf("not served before either: %v", &before)
	}
	return after.share() >= servedShare, nil
}

// lastRequest is the number of the last request.
var lastRequest atomic.Int64

// request sends one request, and once more on a new connection to another gateway if it has
// not run. It reports whether it was served.
func (s *site) request(client, n int) bool {
	method, path := http.MethodGet, lookups
	if n%4 == 0 {
		method, path = http.MethodPost, bookings
	}
	began := time.Now()
	for try := range 2 {
		left := clientDeadline - time.Since(began)
		if left <= 0 {
			return false
		}
		a := s.send(method, path, s.entry(client, try), n, left)
		if a.status == http.StatusOK {
			return true
		}
		if a.status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(min(a.retryAfter, left/3))
	}
	return false
}

// answer is what a client got for a request. The status is 0 if there was no answer.
type answer struct {
	id, body, signature string
	status              int
	retryAfter          time.Duration
}

// send sends one request on a new connection.
func (s *site) send(method, path string, to *gateway, n int, deadline time.Duration) (a answer) {
	a.id = "a" + strconv.FormatInt(lastRequest.Add(1), 10)
	key := strconv.Itoa(n * 7919 % 65536)
	req, err := http.NewRequest(method, "http://"+to.callers.String()+path+strconv.Itoa(n), nil)
	if err != nil {
		return a
	}
	req.Host, req.Close = host, true
	req.Header.Set("X-Attempt-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Shard-Key", key)
	s.log("sent %s %s %s key %s to %s", a.id, method, path, key, to.vm)
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		s.log("answered %s: %v", a.id, err)
		return a
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	s.log("answered %s: %s %s, %d bytes", a.id, resp.Status, resp.Header.Get("Oriole-Reason"), len(body))
	if err != nil {
		return a
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	a.status, a.body, a.signature = resp.StatusCode, string(body), resp.Header.Get("X-Response-Signature")
	a.retryAfter = time.Duration(seconds * float64(time.Second))
	return a
}
