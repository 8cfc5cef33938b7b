package oriolesocket

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startPair returns the two ends of a TCP connection.
func startPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	server, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

// await waits until the condition holds, or for 5 s.
func await(condition func() bool) bool {
	for range 500 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}

// TestQueuesOfSocket guards against a measure of a socket's queues that mistakes one for
// the other, or bytes that the peer's system holds for bytes that it has not received.
func TestQueuesOfSocket(t *testing.T) {
	is := is.New(t)
	client, server := startPair(t)
	_, err := client.Write([]byte("bytes"))
	is.NoErr(err)
	is.True(await(func() bool { return Unread(server) == 5 && Unsent(client) == 0 }))
	_, err = io.ReadFull(server, make([]byte, 5))
	is.NoErr(err)
	is.Equal(Unread(server), int64(0))

	is.NoErr(client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond)))
	for err == nil { // until the buffers are full
		_, err = client.Write(make([]byte, 64<<10))
	}
	is.True(Unsent(client) > 0)

	is.NoErr(client.Close())
	is.Equal(Unsent(client), int64(0))
	pipe, _ := net.Pipe()
	is.Equal(Unread(pipe), int64(0)) // no socket
}
