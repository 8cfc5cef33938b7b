package oriolelink

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolemessage"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/oriolememory"
)

// fields returns a header with n short fields.
func fields(n int) http.Header {
	header := make(http.Header, n)
	for i := range n {
		header[fmt.Sprintf("F%d", i)] = []string{"v"}
	}
	return header
}

// TestRequestsOfPeersAreBoundedTogether guards against a dispatcher that holds whatever its
// peers forward, as long as each request is small enough: the peers bound what each of them
// holds, not what they hold at one dispatcher together.
func TestRequestsOfPeersAreBoundedTogether(t *testing.T) {
	const size, requests = 2 << 20, 200
	for _, test := range []struct {
		name   string
		header http.Header
		body   int
	}{
		{"bodies", nil, 60_000},
		{"short header fields", fields(1200), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			receiver := frameReceiver{nil, make(chan func(oriole.Response), requests)}
			links, member := startLinksWith(t, "dispatcher.1", receiver, noTicks{})
			memory := oriolememory.NewPool(size, size)
			links.cfg.Memory = memory
			conn := dialRaw(t, member, "forwarder.1")
			conn.SetReadLimit(-1)
			for number := range uint64(requests) {
				writeRaw(t, conn, &oriolemessage.Frame{Request: oriolemessage.FromRequest(number+1, oriole.Request{
					ID: "r", Pool: oriole.PoolID{Service: "s"}, Method: "POST", Header: test.header, Body: testBody(test.body), Deadline: time.Now().Add(time.Minute),
				}, time.Now())})
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			refused := 0
			for refused+len(receiver.replies) < requests {
				_, data, err := conn.Read(ctx)
				is.NoErr(err)
				frame, err := oriolemessage.Decode[oriolemessage.Frame](data)
				is.NoErr(err)
				if frame.Response != nil {
					resp, err := frame.Response.ToResponse()
					is.NoErr(err)
					is.Equal(resp.Outcome, oriole.OutcomeNotRun)
					refused++
				}
			}
			t.Logf("%d refused, %d bytes held", refused, memory.Usage().Used)
			is.True(memory.Usage().Used <= size*3/2)
			is.True(refused > requests/2)
			for len(receiver.replies) > 0 {
				(<-receiver.replies)(oriole.Response{Outcome: oriole.OutcomeAnswered, Status: 200})
			}
			is.Equal(memory.Usage().Used, int64(0))
			is.NoErr(conn.Close(websocket.StatusNormalClosure, ""))
		})
	}
}
