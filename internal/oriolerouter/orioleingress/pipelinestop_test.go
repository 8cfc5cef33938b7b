package orioleingress

import (
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// TestRefusalInAStopLeavesTheRequestsBehind guards against requests sent ahead that run and
// are never answered because one before them is refused.
func TestRefusalInAStopLeavesTheRequestsBehind(t *testing.T) {
	is := is.New(t)
	server, dispatcher := gatewayForPipelining(t)
	client := dialPipeline(t, server.addr)
	client.send(t, getText("/again/1")+getText("/again/refused-bad")+getText("/again/3"))
	eventually(t, "the last one runs", func() bool { return slices.Contains(dispatcher.recorded(), "start /again/3") })
	for _, path := range []string{"/again/1", "/again/refused-bad", "/again/3"} {
		close(dispatcher.gate(path))
	}
	client.expect(t, "/again/1")
	resp, _, err := client.receive()
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	client.expect(t, "/again/3")
}

// TestRequestsThatRunInAStopAreAnswered guards against requests sent ahead that run although
// the response before them closes the connection, so that they are never answered.
func TestRequestsThatRunInAStopAreAnswered(t *testing.T) {
	for _, test := range []struct {
		name   string
		rounds int
		// send sends the requests around the begin of the stop.
		send func(stop, send func())
	}{
		{"stop begins before", 5, func(stop, send func()) { stop(); send() }},
		{"stop begins meanwhile", 100, func(stop, send func()) {
			var stopped sync.WaitGroup
			stopped.Go(stop)
			send()
			stopped.Wait()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			for range test.rounds {
				var mu sync.Mutex
				started := make(map[string]bool)
				server := servePipeline(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					mu.Lock()
					started[r.URL.Path] = true
					mu.Unlock()
					_, _ = io.WriteString(w, r.URL.Path)
				}), true, nil)
				client := dialPipeline(t, server.addr)
				var text strings.Builder
				const requests = 8
				for i := range requests {
					text.WriteString(getText("/" + strconv.Itoa(i)))
				}
				test.send(server.DisableKeepAlives, func() { client.send(t, text.String()) })
				answered := 0
				for answered < requests {
					resp, body, err := client.receive()
					if err != nil {
						break
					}
					is.Equal(body, "/"+strconv.Itoa(answered))
					answered++
					if resp.Close {
						break
					}
				}
				_ = client.Close()
				mu.Lock()
				is.Equal(len(started), answered)
				mu.Unlock()
			}
		})
	}
}
