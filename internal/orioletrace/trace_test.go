package orioletrace_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
	"github.com/orioleswitch/orioleswitch/internal/orioletrace"
	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// logs collects the log output of all gateways of a site.
type logs struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (l *logs) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(data)
}

// lines returns the lines written so far.
func (l *logs) lines(t *testing.T) []orioletrace.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	lines, skipped, err := orioletrace.Read(bytes.NewReader(l.data.Bytes()))
	if err != nil || skipped > 0 {
		t.Fatalf("skipped %d lines: %v", skipped, err)
	}
	return lines
}

func newSite(t *testing.T, options ...standin.Option) (*oriolesite.Site, *logs) {
	t.Helper()
	l := &logs{}
	s, cleanup, err := oriolesite.New(oriolesite.Config{
		ShardedUpstreams: 2, UnshardedUpstreams: 2, VMs: oriolesite.VMs, Options: options, Log: func(string) io.Writer { return l },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return s, l
}

// awaitTrace waits until the cause that the logs give for the request contains all
// wanted texts.
func awaitTrace(t *testing.T, s *oriolesite.Site, l *logs, id string, want ...string) orioletrace.Trace {
	t.Helper()
	var trace orioletrace.Trace
	err := s.Await(fmt.Sprintf("cause containing %q", want), func() bool {
		found, err := orioletrace.Explain(l.lines(t), id)
		trace = found
		for _, part := range want {
			if err != nil || !strings.Contains(found.Cause, part) {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("%v; cause: %s", err, trace.Cause)
	}
	return trace
}

// One key receives more requests than its upstream can run.
func TestExplainOverload(t *testing.T) {
	is := is.New(t)
	s, l := newSite(t, standin.WithRequestDuration(200*time.Millisecond))
	var rejected sync.Map
	var callers sync.WaitGroup
	for range 60 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			resp := s.Call("vm-a", oriolesite.Request{Method: http.MethodGet, Path: "/look/", ShardKey: 7})
			if resp.Status == http.StatusServiceUnavailable {
				rejected.Store(resp.ID, true)
			}
		}()
	}
	callers.Wait()
	var id string
	rejected.Range(func(key, _ any) bool {
		id = key.(string)
		return false
	})
	is.True(id != "")
	awaitTrace(t, s, l, id, "overload", "waited for board/", "has not run")
	is.True(len(orioletrace.Failed(l.lines(t))) > 0)
}

// The upstream crashes while it runs the request.
func TestExplainUpstreamCrash(t *testing.T) {
	is := is.New(t)
	s, l := newSite(t)
	resp := s.Call("vm-b", oriolesite.Request{Method: http.MethodPost, Path: "/sign/crash", ShardKey: 7})
	is.Equal(resp.Status, http.StatusBadGateway)
	trace := awaitTrace(t, s, l, resp.ID, "failed while it had the request", "may have run")
	is.True(len(trace.Related) > 0)
}

// The newest configuration no longer has a route for the request.
func TestExplainRemovedRoute(t *testing.T) {
	is := is.New(t)
	s, l := newSite(t)
	is.NoErr(s.ConfigureWithoutRoute("book"))
	var resp oriolesite.Response
	is.NoErr(s.Await("the route is removed", func() bool {
		resp = s.Call("vm-c", oriolesite.Request{Method: http.MethodPost, Path: "/book/1"})
		return resp.Status == http.StatusNotFound
	}))
	awaitTrace(t, s, l, resp.ID, "no route of version 2", "path /book/1", "configuration in force (version 2) on ")
}

// The logs of some requests hold every step, written by all gateways that took
// part, and the steps are returned in causal order.
func TestSampledRequestsAreTracedWhole(t *testing.T) {
	is := is.New(t)
	s, l := newSite(t)
	stop := s.StartLoad(oriolesite.VMs...)
	steps := []string{"routed", "queued", "sent", "request ended"}
	is.NoErr(s.Await("all steps of a request are logged", func() bool {
		lines := l.lines(t)
		for _, candidate := range orioletrace.Slow(lines) {
			trace, err := orioletrace.Explain(lines, candidate.ID)
			if err != nil {
				return false
			}
			var messages []string
			for _, line := range trace.Lines {
				messages = append(messages, line.Message)
			}
			if strings.Join(messages, ",") == strings.Join(steps, ",") {
				return strings.Contains(trace.Cause, "answered after")
			}
		}
		return false
	}))
	stop()
}

func TestUnknownRequestFails(t *testing.T) {
	is := is.New(t)
	_, err := orioletrace.Explain(nil, "7")
	is.True(err != nil)
}

// Lines of other programs are skipped, and a prefix that a log collector puts
// before a line is ignored.
func TestReadSkipsForeignLines(t *testing.T) {
	is := is.New(t)
	text := `12.5 edge-1 {"fields":{"clock":7,"vm":"a","id":"x","left":"1.5s","n":3},"level":"info","timestamp":"2026-01-02T03:04:05Z","message":"sent"}
panic: not a line
{"message":""}
`
	lines, skipped, err := orioletrace.Read(strings.NewReader(text))
	is.NoErr(err)
	is.Equal(skipped, 2)
	is.Equal(len(lines), 1)
	l := lines[0]
	is.Equal(l.Clock, uint64(7))
	is.Equal(l.VM, "a")
	is.Equal(l.ID, "x")
	is.Equal(l.Duration("left"), 1500*time.Millisecond)
	is.Equal(l.Uint("n"), uint64(3))
}

func ExampleSort() {
	lines := []orioletrace.Line{
		{VM: "b", Clock: 9, Message: "answered"},
		{VM: "a", Clock: 3, Message: "asked"},
		{VM: "b", Clock: 4, Message: "received"},
	}
	orioletrace.Sort(lines)
	for _, l := range lines {
		fmt.Println(l.VM, l.Message)
	}
	// Output:
	// a asked
	// b received
	// b answered
}
