package orioleingress

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// TestEncodedSlashStaysInSegment guards against matching routes with a decoded path, while
// the upstream gets the path as it was sent.
func TestEncodedSlashStaysInSegment(t *testing.T) {
	is := is.New(t)
	addr, dispatcher, forwarder := listenWithTimeout(t, time.Second)
	cfg := forwarder.cfg.State.Snapshot().Config
	tow := cfg.Routes[0]
	tow.Name, tow.Prefix, tow.Shares = "tow", "/a/tow/", []oriole.Share{{Service: "other", Weight: 1}}
	cfg.Routes = append(cfg.Routes, tow)
	is.Equal(exchange(t, addr, "GET /a/tow%2F7?q=/a/tow/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 7\r\n\r\n", 1), []int{200})
	is.Equal(dispatcher.requests[0].Service, oriole.ServiceName("s"))
	is.Equal(dispatcher.requests[0].Target, "/a/tow%2F7?q=/a/tow/")
}

// TestReusedKeyIsUnprocessable checks the status of a request whose idempotency key
// belongs to another one: 503 would invite the caller to send it again.
func TestReusedKeyIsUnprocessable(t *testing.T) {
	is := is.New(t)
	is.Equal(statusFor(oriole.NotRunResponse(oriole.ReasonKeyReused)), 422)
}
