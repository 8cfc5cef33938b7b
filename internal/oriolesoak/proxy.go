package oriolesoak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does with the bytes that it receives.
type mode int

const (
	modePass mode = iota
	// modeDelay delays each chunk.
	modeDelay
	// modeSilent reads bytes in both directions and discards them.
	modeSilent
	// modeOneWay forwards what clients send, and discards what servers send.
	modeOneWay
	// modeReset resets existing and new connections.
	modeReset
)

var modeNames = [...]string{"pass", "delay", "silent", "one-way", "reset"}

func (m mode) String() string { return modeNames[m] }

// delay is how long a proxy in modeDelay holds each chunk back. It stays below the
// delay that gateways allow for a lease call.
const delay = 120 * time.Millisecond

// proxy is a TCP proxy from a loopback listener to a target. It injects network
// faults according to its mode.
type proxy struct {
	addr     netip.AddrPort
	listener net.Listener

	mu     sync.Mutex
	target netip.AddrPort
	mode   mode
	conns  map[*proxiedConn]bool
	closed bool
}

// proxiedConn is a connection through the proxy.
type proxiedConn struct {
	client, server *net.TCPConn
	// lostBytes is set once bytes were discarded. Nothing is forwarded from then on,
	// as the rest of the stream would be corrupt.
	lostBytes bool
}

// newProxy starts a proxy without a target, and returns it with a function that
// closes it.
func newProxy() (p *proxy, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "starting a proxy") }()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	addr, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	p = &proxy{addr: addr, listener: listener, conns: make(map[*proxiedConn]bool)}
	go p.accept()
	return p, p.close, nil
}

func (p *proxy) close() {
	// The proxy is no longer in use, so the error does not matter.
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetConns()
}

// setTarget sets the target of new connections.
func (p *proxy) setTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// setMode changes the mode. A change to modePass resets the connections that have
// lost bytes.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		p.resetConns()
	}
	for c := range p.conns {
		if c.lostBytes && m == modePass {
			c.reset()
		}
	}
}

// resetConns resets all connections. The caller holds the lock.
func (p *proxy) resetConns() {
	for c := range p.conns {
		c.reset()
	}
}

func (c *proxiedConn) reset() {
	for _, conn := range []*net.TCPConn{c.client, c.server} {
		// An error means that the connection is already closed. With a linger time of
		// 0, Close sends a reset.
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		client, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			continue
		}
		go p.serve(client)
	}
}

// dialTimeout bounds the connection setup to a target on this machine.
const dialTimeout = time.Second

func (p *proxy) serve(client *net.TCPConn) {
	p.mu.Lock()
	target, m := p.target, p.mode
	p.mu.Unlock()
	var server *net.TCPConn
	if m != modeReset && target.IsValid() {
		if conn, err := net.DialTimeout("tcp", target.String(), dialTimeout); err == nil {
			server, _ = conn.(*net.TCPConn)
		}
	}
	if server == nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.conns[c] = true
	closed := p.closed
	p.mu.Unlock()
	if closed {
		c.reset()
	}
	var copies sync.WaitGroup
	copies.Add(2)
	go func() { defer copies.Done(); p.forward(c, client, server, false) }()
	go func() { defer copies.Done(); p.forward(c, server, client, true) }()
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	c.client.Close()
	c.server.Close()
}

// copyBufferSize is the largest chunk that a proxy forwards at once.
const copyBufferSize = 16 << 10

// forward copies one direction of the connection until it ends; fromServer tells
// which one.
func (p *proxy) forward(c *proxiedConn, from, to *net.TCPConn, fromServer bool) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.admit(c, fromServer) {
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.CloseRead()
				return
			}
		}
		if err != nil {
			if p.admit(c, fromServer) {
				_ = to.CloseWrite()
			}
			return
		}
	}
}

// admit reports whether a chunk is forwarded, after the delay in modeDelay.
func (p *proxy) admit(c *proxiedConn, fromServer bool) bool {
	p.mu.Lock()
	m := p.mode
	if m == modeSilent || (m == modeOneWay && fromServer) {
		c.lostBytes = true
	}
	admitted := !c.lostBytes
	p.mu.Unlock()
	if m == modeDelay && admitted {
		time.Sleep(delay)
	}
	return admitted
}
