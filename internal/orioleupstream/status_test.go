package orioleupstream_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// withStatusLine replaces the status line of a response.
func withStatusLine(line, response string) string {
	_, rest, _ := strings.Cut(response, "\r\n")
	return line + "\r\n" + rest
}

// countingUpstream starts a server that responds to every request with the raw text, and
// counts its connections.
func countingUpstream(t *testing.T, respond func(id string) string) (to oriole.Upstream, conns *atomic.Int64) {
	t.Helper()
	conns = new(atomic.Int64)
	to = newUpstreamByConn(t, func() func(int, string) string {
		conns.Add(1)
		return func(_ int, id string) string { return respond(id) }
	})
	return to, conns
}

// TestInvalidStatusEndsRequestAtOnce guards against waiting for another response until the
// deadline, and against passing the response on, obeying its header, or reporting the
// request as not run.
func TestInvalidStatusEndsRequestAtOnce(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "+99", "-00", "600", "999"} {
		for name, fields := range map[string]string{
			"plain": "", "with statements": "Server-Leaving: 1\r\nServer-Limit: 1\r\nServer-Limit: x\r\nRetry-After: 3\r\n", "not executed": "X-Not-Executed: 1\r\n",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				is := is.New(t)
				to, conns := countingUpstream(t, func(id string) string {
					return withStatusLine("HTTP/1.1 "+status+" Odd\r\n"+fields+"A: b", okResponse(id))
				})
				sender := newSender(t)
				for _, id := range []string{"1", "2"} {
					want := oriole.UnknownResponse(oriole.ReasonBadResponse)
					want.Server = to.ID
					is.Equal(sender.Send(context.Background(), to, request(id)), want)
				}
				is.Equal(conns.Load(), int64(2)) // the connection is not used again
			})
		}
	}
}

// TestInvalidStatusLeavesEarlierStatement guards against forgetting what a valid response
// to an earlier request has stated on the same connection.
func TestInvalidStatusLeavesEarlierStatement(t *testing.T) {
	is := is.New(t)
	to, _ := countingUpstream(t, func(id string) string {
		return leaving(okResponse("old")) + withStatusLine("HTTP/1.1 000 Odd", okResponse(id))
	})
	resp := newSender(t).Send(context.Background(), to, request("1"))
	is.Equal(resp.Reason, oriole.ReasonBadResponse)
	is.Equal(resp.Leaving, to.Incarnation())
}
