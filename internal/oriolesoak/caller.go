package oriolesoak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

const (
	// healthCheckInterval is how often the load balancer checks whether a gateway is
	// ready. Two failed checks in a row take the gateway out of rotation.
	healthCheckInterval = 200 * time.Millisecond
	// callerPause is how long a caller waits between its requests.
	callerPause = 15 * time.Millisecond
	// callerDeadline is the deadline in callers' requests, and callerTimeout when
	// the caller gives up.
	callerDeadline = 1500 * time.Millisecond
	callerTimeout  = 2500 * time.Millisecond
	shardKeyCount  = 1 << 16
)

// balancer simulates the platform's load balancer: it sends callers to gateways that
// are ready.
type balancer struct {
	harness *harness
	mu      sync.Mutex
	// failedChecks holds the number of failed health checks in a row by VM.
	failedChecks map[string]int
}

// run checks the readiness of the gateways until done is closed.
func (b *balancer) run(done <-chan struct{}) {
	client := &http.Client{Timeout: healthCheckInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-done:
			return
		case <-time.After(healthCheckInterval):
		}
		for _, v := range b.harness.vms {
			resp, err := client.Get("http://" + v.readinessAddr.String() + "/")
			ready := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			b.failedChecks[v.name]++
			if ready {
				b.failedChecks[v.name] = 0
			}
			b.mu.Unlock()
		}
	}
}

// pick returns the VM of a gateway in rotation, or of any gateway if none is in
// rotation.
func (b *balancer) pick(n int) *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var healthy []*vm
	for _, v := range b.harness.vms {
		if b.failedChecks[v.name] < 2 {
			healthy = append(healthy, v)
		}
	}
	if len(healthy) == 0 {
		healthy = b.harness.vms
	}
	return healthy[n%len(healthy)]
}

// loadGenerator sends requests of all kinds, and checks the responses.
type loadGenerator struct {
	harness                 *harness
	balancer                *balancer
	served, refused, failed atomic.Int64
	mu                      sync.Mutex
	// notExecuted holds the IDs of the requests that were reported as not executed.
	notExecuted []string
}

// callerConn is a caller's connection to one gateway. The caller keeps it until it
// breaks or the gateway closes it.
type callerConn struct {
	vm          *vm
	incarnation int
	client      *http.Client
}

var lastID atomic.Uint64

// runCaller sends the requests of one caller until done is closed.
func (l *loadGenerator) runCaller(seed uint64, done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(seed, 2))
	var conn *callerConn
	for n := rng.IntN(1000); ; n++ {
		select {
		case <-done:
			return
		case <-time.After(callerPause):
		}
		if conn == nil {
			conn = &callerConn{vm: l.balancer.pick(n), client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
			conn.incarnation = conn.vm.currentIncarnation()
		}
		if !l.sendRequest(conn, n, rng.IntN(shardKeyCount)) {
			conn.client.CloseIdleConnections()
			conn = nil
		}
	}
}

// sendRequest sends one request, checks the response, and reports whether the
// connection can be reused.
func (l *loadGenerator) sendRequest(conn *callerConn, n, shardKey int) bool {
	method, path := http.MethodGet, fmt.Sprintf("/look/%d", n)
	switch n % 4 {
	case 1:
		method, path = http.MethodPost, fmt.Sprintf("/sign/%d", n)
	case 2:
		method, path = http.MethodPost, fmt.Sprintf("/book/%d", n)
	}
	id := fmt.Sprintf("soak-%d", lastID.Add(1))
	start := time.Now()
	status, body, closing, err := doRequest(conn.client, conn.vm, id, method, path, shardKey)
	switch {
	case err != nil:
		l.failed.Add(1)
		l.harness.checkFailedRequest(conn, id, start, err)
		return false
	case status == http.StatusOK:
		l.served.Add(1)
		if !strings.Contains(body, fmt.Sprintf("ran %s %s with", method, path)) {
			l.harness.addViolation("request %s got the response of another request: %q", id, body)
		}
	case status == http.StatusServiceUnavailable:
		l.refused.Add(1)
		l.mu.Lock()
		l.notExecuted = append(l.notExecuted, id)
		l.mu.Unlock()
	case status == http.StatusNotFound || status == http.StatusBadRequest || status == http.StatusUnauthorized:
		l.harness.addViolation("valid request %s for %s got status %d", id, path, status)
	default:
		l.failed.Add(1)
	}
	return !closing
}

// doRequest sends one request to the gateway of a VM. It reports the status and body
// of the response, and whether the gateway closes the connection.
func doRequest(client *http.Client, v *vm, id, method, path string, shardKey int) (status int, body string, closing bool, err error) {
	content := io.Reader(nil)
	if method == http.MethodPost {
		content = strings.NewReader("a stall, with oats")
	}
	req, err := http.NewRequest(method, "http://"+v.callerAddr.String()+path, content)
	if err != nil {
		return 0, "", true, err
	}
	req.Host = oriolesite.Host
	req.Header = standin.CallerHeader(id, shardKey, callerDeadline)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", true, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), resp.Close, err
}

// checkNotExecuted records a violation for each request that was reported as not
// executed but ran, before or after the report.
func (l *loadGenerator) checkNotExecuted() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.notExecuted {
		if n := l.harness.checker.Runs(id); n > 0 {
			l.harness.addViolation("request %s was reported as not executed but ran %d times", id, n)
		}
	}
}
