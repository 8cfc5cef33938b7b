package oriolelink

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"golang.org/x/time/rate"
)

const (
	// relayRate is the rate of a relay in bytes a second: a frame of partSize takes
	// about 2.7 s.
	relayRate = 96 << 10
	// relayBuffer is the size of the buffers of a relay's sockets, and smallSendBuffer one
	// of the send buffers of gateways that are connected to it, well below partSize.
	// Segments are smaller than both.
	relayBuffer     = 8 << 10
	smallSendBuffer = 16 << 10
	relaySegment    = 1400
	relayChunk      = 2 << 10
)

// relay is a TCP relay that passes bytes on at relayRate in each direction.
type relay struct {
	addr   netip.AddrPort
	target netip.AddrPort
	dialer net.Dialer
	// stopped is closed once nothing is passed on any more.
	stopped  chan struct{}
	listener net.Listener

	mu    sync.Mutex
	conns []net.Conn
}

// startRelay starts a relay to the target. sendBuffer is the size of the send buffers of
// the gateways at both ends, or 0 for the system's choice.
func startRelay(t *testing.T, target netip.AddrPort, sendBuffer int) *relay {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	setSendBuffers(target, sendBuffer) // accepted connections inherit it
	listener, err := (&net.ListenConfig{Control: shrinkBuffers}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
	})
	r := &relay{
		addr: netip.MustParseAddrPort(listener.Addr().String()), target: target,
		dialer: net.Dialer{Control: shrinkBuffers}, stopped: make(chan struct{}), listener: listener,
	}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			setSendBuffers(netip.MustParseAddrPort(client.RemoteAddr().String()), sendBuffer)
			go r.serve(ctx, client)
		}
	}()
	return r
}

// stop stops passing bytes on. The connections stay open.
func (r *relay) stop() { close(r.stopped) }

const (
	// maxTTL is the greatest time to live of a packet. Those of the machine itself have less.
	maxTTL = 255
	anyTTL = 0
)

// silence makes the open connections drop what arrives on them without an acknowledgement,
// or take it again. New connections are not affected.
func (r *relay) silence(t *testing.T, silent bool) {
	t.Helper()
	ttl := anyTTL
	if silent {
		ttl = maxTTL
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		if err == nil {
			// An error means that the connection is closed.
			_ = raw.Control(func(fd uintptr) {
				if err := unix.SetsockoptInt(int(fd), unix.IPPROTO_IP, unix.IP_MINTTL, ttl); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

func (r *relay) serve(ctx context.Context, client net.Conn) {
	server, err := r.dialer.DialContext(ctx, "tcp", r.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	r.mu.Lock()
	r.conns = append(r.conns, client, server)
	r.mu.Unlock()
	closeBoth := func() {
		_ = client.Close()
		_ = server.Close()
	}
	context.AfterFunc(ctx, closeBoth)
	for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
		go func() {
			defer closeBoth()
			r.pass(ctx, pair[0], pair[1])
		}()
	}
}

// pass passes bytes on until a connection ends.
func (r *relay) pass(ctx context.Context, from, to net.Conn) {
	limiter := rate.NewLimiter(relayRate, relayChunk)
	buf := make([]byte, relayChunk)
	for {
		n, err := from.Read(buf)
		if err != nil || limiter.WaitN(ctx, n) != nil {
			return
		}
		select {
		case <-r.stopped:
			<-ctx.Done()
			return
		default:
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// setSendBuffers sets the size of the send buffers of this process's sockets with the local
// address, unless it is 0. The sockets of gateways are not accessible otherwise.
func setSendBuffers(addr netip.AddrPort, size int) {
	if size == 0 {
		return
	}
	const maxDescriptor = 1 << 10
	for fd := range maxDescriptor {
		local, err := unix.Getsockname(fd)
		inet, ok := local.(*unix.SockaddrInet4)
		if err == nil && ok && netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)) == addr {
			// An error means that the socket was closed.
			_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, size)
		}
	}
}

// shrinkBuffers limits the buffers and segments of a relay's socket.
func shrinkBuffers(_, _ string, conn syscall.RawConn) (err error) {
	controlErr := conn.Control(func(fd uintptr) {
		for _, option := range []struct{ level, name, value int }{
			{unix.SOL_SOCKET, unix.SO_RCVBUF, relayBuffer},
			{unix.SOL_SOCKET, unix.SO_SNDBUF, relayBuffer},
			{unix.IPPROTO_TCP, unix.TCP_MAXSEG, relaySegment},
		} {
			if err == nil {
				err = unix.SetsockoptInt(int(fd), option.level, option.name, option.value)
			}
		}
	})
	if err == nil {
		err = controlErr
	}
	return err
}
