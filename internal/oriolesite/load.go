package oriolesite

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// Request is a caller's request.
type Request struct {
	Method   string
	Path     string
	ShardKey int
	// Body is the body of a POST request; a default one is sent if it is empty.
	Body string
	// Key is the API key of a workspace, or empty.
	Key string
	// Header holds further fields. Their names are sent as they are.
	Header http.Header
}

// Response is what a caller got; Status is 0 if there was no response.
type Response struct {
	ID     string
	Status int
	Body   string
	// Signed reports whether the response has the signature of this request's run.
	Signed bool
	// Reason is why the gateway itself responded; it is empty for the response of an
	// upstream.
	Reason string
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
}

var (
	lastID       atomic.Uint64
	callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 3 * time.Second}
)

// Call sends a request to the gateway on the VM.
func (s *Site) Call(vm string, r Request) Response { return s.CallContext(context.Background(), vm, r) }

// CallContext is like Call, but the caller disconnects when ctx is done.
func (s *Site) CallContext(ctx context.Context, vm string, r Request) Response {
	res := Response{ID: fmt.Sprintf("id-%d", lastID.Add(1))}
	content := io.Reader(nil)
	if r.Method == http.MethodPost {
		content = strings.NewReader(cmp.Or(r.Body, "a stall, with oats"))
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.Gateway(vm).CallerAddr.String()+r.Path, content)
	if err != nil {
		return res
	}
	req.Host = Host
	req.Header = standin.CallerHeader(res.ID, r.ShardKey, callerDeadline)
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	maps.Copy(req.Header, r.Header)
	resp, err := callerClient.Do(req)
	if err != nil {
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return res
	}
	res.Status, res.Body = resp.StatusCode, string(data)
	res.Reason = resp.Header.Get("Oriole-Reason")
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		res.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	res.Signed = standin.HasValidSignature(resp.Header, res.ID)
	return res
}

// Summary counts the responses that the callers of a load got, and lists the
// invariant violations.
type Summary struct {
	Requests int64 `json:"requests"`
	Served   int64 `json:"served"`
	// Refused counts the responses with status 503, which means that the request was
	// not executed, and Failed counts all other failures.
	Refused int64 `json:"refused"`
	Failed  int64 `json:"failed"`
	// Reasons counts the requests that gateways responded to themselves, by reason.
	Reasons map[string]int `json:"reasons"`
	// Misrouted counts the requests that reached an upstream without a lease on
	// their key.
	Misrouted int `json:"misplaced"`
	// StoreCalls counts the HTTP requests that the store received.
	StoreCalls int `json:"calls"`
	// Violations lists the invariant violations.
	Violations []string `json:"broken"`
}

// loadGenerator sends requests and counts the responses.
type loadGenerator struct {
	site                    *Site
	vms                     []string
	served, refused, failed atomic.Int64
	mu                      sync.Mutex
	violations              []string
	reasons                 map[string]int
}

const (
	// loadCallers is the number of concurrent callers, and callerPause how long each
	// of them waits between its requests.
	loadCallers = 6
	callerPause = 10 * time.Millisecond
	// callerDeadline is the deadline in callers' requests, and the routes' timeout.
	callerDeadline = 1500 * time.Millisecond
	// keyStride spreads consecutive requests over the keys, and callerOffset
	// separates the request numbers of concurrent callers.
	keyStride     = 7919
	callerOffset  = 1000
	shardKeyCount = 1 << 16
	// requestKinds is the number of kinds of requests, which are sent by turns.
	requestKinds = 4
)

// StartLoad sends requests of all kinds to the VMs until stop is called, which
// returns the results.
func (s *Site) StartLoad(vms ...string) (stop func() Summary) {
	l := &loadGenerator{site: s, vms: vms, reasons: make(map[string]int)}
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range loadCallers {
		running.Add(1)
		go func() {
			defer running.Done()
			for n := i * callerOffset; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(callerPause):
				}
				l.sendRequest(n)
			}
		}()
	}
	return func() Summary {
		close(done)
		running.Wait()
		return l.summary()
	}
}

func (l *loadGenerator) sendRequest(n int) {
	r := Request{Method: http.MethodGet, Path: fmt.Sprintf("/look/%d", n), ShardKey: n * keyStride % shardKeyCount}
	switch n % requestKinds {
	case 1:
		r.Method, r.Path = http.MethodPost, fmt.Sprintf("/sign/%d", n)
	case 2:
		r.Method, r.Path = http.MethodPost, fmt.Sprintf("/book/%d", n)
	case 3:
		if route := l.site.addedRoute(n); route != "" {
			r.Path = fmt.Sprintf("/%s/%d", route, n)
		}
	}
	vm, sent := l.vms[n%len(l.vms)], time.Now()
	gateway := l.site.Gateway(vm)
	res := l.site.Call(vm, r)
	if violation := l.site.checkRouting(gateway, r.Path, sent, res); violation != "" {
		l.addViolation("%s at %s", violation, vm)
	}
	if res.Reason != "" {
		l.mu.Lock()
		l.reasons[res.Reason]++
		l.mu.Unlock()
	}
	switch res.Status {
	case http.StatusOK:
		l.served.Add(1)
		if !res.Signed || !strings.Contains(res.Body, fmt.Sprintf("ran %s %s with", r.Method, r.Path)) {
			l.addViolation("request %s got the response of another request: %q", res.ID, res.Body)
		}
	case http.StatusServiceUnavailable:
		l.refused.Add(1)
		if l.site.Checker.Runs(res.ID) > 0 {
			l.addViolation("request %s was reported as not executed but ran", res.ID)
		}
	default:
		l.failed.Add(1)
	}
}

func (l *loadGenerator) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
}

func (l *loadGenerator) summary() Summary {
	s := Summary{
		Served: l.served.Load(), Refused: l.refused.Load(), Failed: l.failed.Load(),
		Misrouted: l.site.Checker.Misrouted(), StoreCalls: l.site.Store.Calls(),
	}
	s.Requests = s.Served + s.Refused + s.Failed
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Reasons = maps.Clone(l.reasons)
	s.Violations = append(s.Violations, l.violations...)
	s.Violations = append(s.Violations, l.site.Checker.Violations()...)
	return s
}
