package orioleingress

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/internal/oriolesocket"
)

// TestQueuesOfAcceptedConnAreKnown guards against links that count as stuck, or never do,
// because the queues of connections that a server has accepted are not known.
func TestQueuesOfAcceptedConnAreKnown(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := newTrackedListener(inner, nil)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = client.Write([]byte("bytes"))
	is.NoErr(err)
	for range 500 {
		if oriolesocket.Unread(conn) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(oriolesocket.Unread(conn), int64(5))
}
