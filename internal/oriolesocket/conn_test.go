package oriolesocket

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// TestAcknowledgedWhileWriteWaits guards against taking a peer that reads slowly for one
// that takes nothing while one write waits, and the reverse.
func TestAcknowledgedWhileWriteWaits(t *testing.T) {
	is := is.New(t)
	client, server := startPair(t)
	conn := NewConn(client, systemClock{})
	const size = 32 << 20 // above the buffers of the system
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, size))
		written <- err
	}()
	// The write waits once the number of acknowledged bytes stays the same.
	previous := int64(-1)
	is.True(await(func() bool {
		time.Sleep(100 * time.Millisecond)
		now := conn.Acknowledged()
		stopped := now == previous && now > 0
		previous = now
		return stopped
	}))
	is.True(conn.Written() < size)

	_, err := io.CopyN(io.Discard, server, 4<<20)
	is.NoErr(err)
	is.True(await(func() bool { return conn.Acknowledged() > previous }))

	_, err = io.CopyN(io.Discard, server, size-4<<20)
	is.NoErr(err)
	is.NoErr(<-written)
	is.Equal(conn.Written(), int64(size))
	is.True(await(func() bool { return conn.Acknowledged() == size }))
}

// TestReadAtFollowsBytes guards against a peer that counts as silent although it sends.
func TestReadAtFollowsBytes(t *testing.T) {
	is := is.New(t)
	client, server := startPair(t)
	conn := NewConn(client, systemClock{})
	before := conn.ReadAt()
	time.Sleep(time.Millisecond)
	_, err := server.Write([]byte("b"))
	is.NoErr(err)
	is.True(conn.ReadAt().Equal(before)) // not read yet
	_, err = conn.Read(make([]byte, 8))
	is.NoErr(err)
	is.True(conn.ReadAt().After(before))
}
