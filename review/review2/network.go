package main

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
)

// network relays connections to one address, and can make those that are open silent.
type network struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs []*pair
}

// pair is a connection that was accepted, and the one that it is relayed to.
type pair struct {
	conns [2]*net.TCPConn
	// silent is set once nothing passes any more.
	silent atomic.Bool
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
	p := &pair{conns: [2]*net.TCPConn{from, conn.(*net.TCPConn)}}
	n.mu.Lock()
	n.pairs = append(n.pairs, p)
	n.mu.Unlock()
	go p.pipe(0, 1)
	p.pipe(1, 0)
}

// pipe copies from one connection to the other. The end of a silent one passes neither.
func (p *pair) pipe(from, to int) {
	buf := make([]byte, 32<<10)
	for {
		count, err := p.conns[from].Read(buf)
		if p.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err == nil {
			_, err = p.conns[to].Write(buf[:count])
		}
		if err != nil {
			_ = p.conns[from].Close()
			_ = p.conns[to].Close()
			return
		}
	}
}

// maxTTL is the greatest time to live of a packet. Those of the machine itself have less.
const maxTTL = 255

// silence makes the open connections drop all that arrives on them from now on, as if the
// network had lost its state of them: neither side gets a byte or a reset, nor an
// acknowledgement where the system has the socket option. New connections work. It returns
// the number of connections, and whether they acknowledge nothing either.
func (n *network) silence() (silenced int, whole bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	whole = true
	for _, p := range n.pairs {
		p.silent.Store(true)
		open := 0
		for _, conn := range p.conns {
			raw, err := conn.SyscallConn()
			if err != nil {
				continue
			}
			var failed error
			if raw.Control(func(fd uintptr) { failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipMinTTL, maxTTL) }) != nil {
				// It is closed.
				continue
			}
			open++
			whole = whole && failed == nil
		}
		if open == len(p.conns) {
			silenced++
		}
	}
	n.pairs = nil
	return silenced, whole
}

// ipMinTTL is the socket option IP_MINTTL, by which packets with a lower time to live are
// dropped.
const ipMinTTL = 21
