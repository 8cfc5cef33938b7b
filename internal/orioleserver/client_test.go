package orioleserver_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/orioleserver"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// answer plays a server that echoes the request's identifier.
func answer(status int, change func(h http.Header)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(orioleserver.HeaderRequest, r.Header.Get(orioleserver.HeaderRequest))
		change(w.Header())
		w.WriteHeader(status)
		_, _ = w.Write([]byte("done"))
	}
}

func TestOutcomes(t *testing.T) {
	set := func(name, value string) func(http.Header) { return func(h http.Header) { h.Set(name, value) } }
	keep := func(http.Header) {}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		outcome oriole.Outcome
		reason  oriole.Reason
	}{
		{"answered", answer(200, keep), oriole.OutcomeAnswered, oriole.ReasonNone},
		{"answered with an error", answer(500, keep), oriole.OutcomeAnswered, oriole.ReasonNone},
		{"shed", answer(503, set(orioleserver.HeaderRefused, orioleserver.RefusedShed)), oriole.OutcomeNotRun, oriole.ReasonShed},
		{"fenced", answer(503, set(orioleserver.HeaderRefused, orioleserver.RefusedFence)), oriole.OutcomeNotRun, oriole.ReasonFenced},
		{"draining", answer(503, set(orioleserver.HeaderRefused, orioleserver.RefusedDrain)), oriole.OutcomeNotRun, oriole.ReasonDrain},
		{"crossed", answer(200, set(orioleserver.HeaderRequest, "another")), oriole.OutcomeUnknown, oriole.ReasonBadAnswer},
		{"cut off", answer(200, set("Content-Length", "100")), oriole.OutcomeUnknown, oriole.ReasonBadAnswer},
		{"crashed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, oriole.OutcomeUnknown, oriole.ReasonConnection},
		{"too slow", func(http.ResponseWriter, *http.Request) { time.Sleep(400 * time.Millisecond) }, oriole.OutcomeUnknown, oriole.ReasonDeadline},
		{"redirect is an answer", answer(302, set("Location", "http://127.0.0.1:1/")), oriole.OutcomeAnswered, oriole.ReasonNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(test.handler)
			defer server.Close()
			got := run(t, server.Listener.Addr(), http.MethodPost)
			is.Equal(got.Outcome, test.outcome)
			is.Equal(got.Reason, test.reason)
		})
	}
}

func run(t *testing.T, addr net.Addr, method string) oriole.Answer {
	t.Helper()
	client, cleanup := orioleserver.New(true, 2)
	defer cleanup()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	to := oriole.Upstream{ID: "u", Addr: netip.MustParseAddrPort(addr.String())}
	return client.Run(ctx, to, 2, oriole.Request{ID: "r", Method: method, Target: "/s/k", Body: []byte("x"), Header: http.Header{"Idempotency-Key": {"t"}}})
}

func TestUnreachableServerHasNotRunIt(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	is.Equal(run(t, listener.Addr(), http.MethodPost).Outcome, oriole.OutcomeNotRun)
}

// TestNothingIsSentTwice counts the requests that reach a server which closes
// each kept connection when the next request has come in.
func TestNothingIsSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			seen := make(chan struct{}, 10)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen <- struct{}{}
				if len(seen) > 1 {
					panic(http.ErrAbortHandler)
				}
				answer(200, func(http.Header) {})(w, r)
			}))
			defer server.Close()
			client, cleanup := orioleserver.New(true, 1)
			defer cleanup()
			to := oriole.Upstream{ID: "u", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
			r := oriole.Request{ID: "r", Method: method, Target: "/", Header: http.Header{"Idempotency-Key": {"t"}}}
			is.Equal(client.Run(context.Background(), to, 2, r).Outcome, oriole.OutcomeAnswered)
			is.Equal(client.Run(context.Background(), to, 2, r).Outcome, oriole.OutcomeUnknown)
			is.Equal(len(seen), 2) // the kept connection broke after the request was read
		})
	}
}
