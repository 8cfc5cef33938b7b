package orioleingress

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

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
