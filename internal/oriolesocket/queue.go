// Package oriolesocket measures what the sockets of connections hold.
package oriolesocket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unsent returns the number of bytes that were written to the connection and have not
// been acknowledged by the peer, or 0 if that is not known.
func Unsent(conn net.Conn) int64 { return queued(conn, unix.SIOCOUTQ) }

// Unread returns the number of bytes that have arrived on the connection and were not
// read, or 0 if that is not known.
func Unread(conn net.Conn) int64 { return queued(conn, unix.SIOCINQ) }

// queued returns the number of bytes in a queue of the connection's socket, or 0 if that
// is not known.
func queued(conn net.Conn, queue uint) (n int64) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	// An error means that the connection is closed.
	_ = control.Control(func(fd uintptr) {
		if queued, err := unix.IoctlGetInt(int(fd), queue); err == nil {
			n = int64(queued)
		}
	})
	return n
}
