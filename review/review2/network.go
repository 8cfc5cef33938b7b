package main

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// network relays connections to one address, and can make those that are open silent.
type network struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*net.TCPConn
}

// newNetwork returns a relay to the address, and the address that it listens on.
func newNetwork(to netip.AddrPort) (n *network, addr netip.AddrPort, err error) {
	addrs, err := freeAddrs(1)
	if err != nil {
		return nil, addr, err
	}
	listener, err := net.Listen("tcp", addrs[0].String())
	if err != nil {
		return nil, addr, err
	}
	n = &network{listener: listener, to: to.String()}
	go n.serve()
	return n, addrs[0], nil
}

func (n *network) serve() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.relay(conn.(*net.TCPConn))
	}
}

// relay copies what arrives on either side to the other one.
func (n *network) relay(from *net.TCPConn) {
	conn, err := net.Dial("tcp", n.to)
	if err != nil {
		_ = from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	n.mu.Lock()
	n.conns = append(n.conns, from, to)
	n.mu.Unlock()
	pipe := func(a, b *net.TCPConn) {
		_, _ = b.ReadFrom(a)
		_ = a.Close()
		_ = b.Close()
	}
	go pipe(from, to)
	pipe(to, from)
}

// maxTTL is the greatest time to live of a packet. Those of the machine itself have less.
const maxTTL = 255

// silence makes the open connections drop all packets that arrive on them from now on, as
// if the network had lost its state of them: neither side gets a byte, an acknowledgement
// or a reset. New connections work.
func (n *network) silence() (silenced int, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		raw, err := conn.SyscallConn()
		if err != nil {
			continue
		}
		var failed error
		if raw.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipMinTTL, maxTTL) }) != nil {
			// It is closed.
			continue
		}
		if failed != nil {
			return silenced, failed
		}
		silenced++
	}
	n.conns = nil
	return silenced / 2, nil
}

// ipMinTTL is the socket option IP_MINTTL, by which packets with a lower time to live are
// dropped.
const ipMinTTL = 21
