package oriolesite

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// FreeAddrs searches portCount ports from firstPort on. They are below the range
// that systems use for outgoing connections: such a connection could take a port
// before the server that it was chosen for listens.
const (
	firstPort = 20000
	portCount = 12000
)

// portStride spreads the first ports of processes that search at the same time.
const portStride = 257

// portsTried counts the ports that this process has tried.
var portsTried atomic.Uint32

// FreeAddrs returns n loopback addresses that nothing listens on.
func FreeAddrs(n int) (addrs []netip.AddrPort, err error) {
	defer func() { err = errors.Wrap(err, "finding free ports") }()
	for range portCount {
		if len(addrs) == n {
			return addrs, nil
		}
		offset := uint32(os.Getpid())*portStride + portsTried.Add(1)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+offset%portCount))
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return nil, errors.Errorf("found only %d of %d free ports", len(addrs), n)
}
