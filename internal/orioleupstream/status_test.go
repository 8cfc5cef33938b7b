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
					got := sender.Send(context.Background(), to, request(id))
					is.True(got.Cause != "") // for the log; its text is not part of the contract
					got.Cause = ""
					is.Equal(got, want)
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

// TestResponseOutsideOfProtocolEndsRequestAtOnce guards against waiting for a response, or
// accepting one, after bytes that leave open where it begins.
func TestResponseOutsideOfProtocolEndsRequestAtOnce(t *testing.T) {
	const upgrade = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nServer-Leaving: 1\r\n\r\n"
	for name, respond := range map[string]func(id string) string{
		"upgrade":                     func(string) string { return upgrade },
		"upgrade and response":        func(id string) string { return upgrade + okResponse(id) },
		"protocol of major version 2": func(id string) string { return leaving(withStatusLine("HTTP/2.0 200 OK", okResponse(id))) },
		"chunks in HTTP/1.0": func(id string) string {
			return "HTTP/1.0 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nUnframed"
		},
		"transfer encoding in HTTP/1.0, with a length": func(id string) string {
			return "HTTP/1.0 200 OK\ntransfer-encoding: identity\nX-Attempt-Id: " + id + "\nX-Response-Signature: s\nContent-Length: 5\n\nhelloUnframed"
		},
		"protocol of major version 0":    func(id string) string { return leaving(withStatusLine("HTTP/0.9 200 OK", okResponse(id))) },
		"interim response with a length": func(id string) string { return "HTTP/1.1 103 Hints\r\nContent-Length: 5\r\n\r\n" + okResponse(id) },
		"interim response with chunks": func(id string) string {
			return "HTTP/1.1 103 Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + okResponse(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			to, conns := countingUpstream(t, respond)
			sender := newSender(t)
			for _, id := range []string{"1", "2"} {
				want := oriole.UnknownResponse(oriole.ReasonBadResponse)
				want.Server = to.ID
				got := sender.Send(context.Background(), to, request(id))
				is.True(got.Cause != "") // for the log; its text is not part of the contract
				got.Cause = ""
				is.Equal(got, want)
			}
			is.Equal(conns.Load(), int64(2)) // the connection is not used again
		})
	}
}

// TestUnusualStatusLineIsAccepted guards against refusing responses that HTTP/1 allows.
func TestUnusualStatusLineIsAccepted(t *testing.T) {
	for _, line := range []string{"HTTP/1.1   200 OK", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.2 200 OK", "HTTP/1.1 299 Unnamed", "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			to, _ := countingUpstream(t, func(id string) string { return withStatusLine(line, okResponse(id)) })
			is.Equal(newSender(t).Send(context.Background(), to, request("1")).Outcome, oriole.OutcomeAnswered)
		})
	}
}

// TestMalformedResponseIsNoLostConnection guards against suspecting a request of crashing an
// upstream that has sent something else than its response, and lives.
func TestMalformedResponseIsNoLostConnection(t *testing.T) {
	const bad, lost = oriole.ReasonBadResponse, oriole.ReasonConnection
	head := func(id string) string {
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n"
	}
	for _, test := range []struct {
		name    string
		respond func(id string) string
		want    oriole.Reason
	}{
		{"not HTTP", func(string) string { return "220 mail.example ready\r\n\r\n" }, bad},
		{"status of 2 digits", func(id string) string { return withStatusLine("HTTP/1.1 20 OK", okResponse(id)) }, bad},
		{"status of 4 digits", func(id string) string { return withStatusLine("HTTP/1.1 2000 OK", okResponse(id)) }, bad},
		{"negative status", func(id string) string { return withStatusLine("HTTP/1.1 -20 OK", okResponse(id)) }, bad},
		{"status of letters", func(id string) string { return withStatusLine("HTTP/1.1 abc OK", okResponse(id)) }, bad},
		{"header without a colon", func(id string) string { return head(id) + "A\r\n\r\n" }, bad},
		{"header too large", func(id string) string { return head(id) + strings.Repeat("A: b\r\n", 20000) + "\r\n" }, bad},
		{"invalid length", func(id string) string { return head(id) + "Content-Length: x\r\n\r\n" }, bad},
		{"unknown encoding", func(id string) string { return head(id) + "Transfer-Encoding: x\r\n\r\n" }, bad},
		{"invalid chunk", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\nx\r\n" }, bad},
		{"interim responses only", func(string) string { return strings.Repeat("HTTP/1.1 103 Hints\r\n\r\n", 3) }, bad},
		{"responses to other requests", func(string) string { return okResponse("x") + okResponse("y") + okResponse("z") }, bad},
		{"response without an ID up to the end", func(string) string { return okResponse("x") + "HTTP/1.1 200 OK\r\n\r\nUnframed" }, bad},
		{"no response", func(string) string { return "" }, lost},
		{"response to another request up to the end", func(string) string { return "HTTP/1.1 200 OK\r\nX-Attempt-Id: x\r\n\r\nUnframed" }, lost},
		{"status line cut off", func(string) string { return "HTTP/1.1 2 Unframed" }, lost},
		{"header cut off", func(id string) string { return head(id) + "Unframed" }, lost},
		{"body cut off", func(id string) string { return head(id) + "Content-Length: 50\r\n\r\nUnframed" }, lost},
		{"chunk cut off", func(id string) string { return head(id) + "Transfer-Encoding: chunked\r\n\r\n20\r\nUnframed" }, lost},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			to, _ := countingUpstream(t, test.respond)
			resp := newSender(t).Send(context.Background(), to, request("1"))
			is.Equal(resp.Outcome, oriole.OutcomeUnknown)
			is.Equal(resp.Reason, test.want)
		})
	}
}

// TestBodyOfNoContentIsNotNextResponse guards against taking the late body of a response
// that can't have one for the beginning of the response to the next request.
func TestBodyOfNoContentIsNotNextResponse(t *testing.T) {
	for _, field := range []string{"Content-Length: 5", "Transfer-Encoding: chunked"} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			to := newUpstream(t, func(n int, id string) string {
				late := ""
				if n > 0 {
					late = "hello"
				}
				return late + "HTTP/1.1 204 No Content\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s\r\n" + field + "\r\n\r\n"
			})
			sender := newSender(t)
			for _, id := range []string{"1", "2", "3"} {
				is.Equal(sender.Send(context.Background(), to, request(id)).Outcome, oriole.OutcomeAnswered)
			}
		})
	}
}
