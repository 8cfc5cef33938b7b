package oriole

import (
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// GatewayID identifies one run of a gateway process. A restarted process takes
// a new ID, so that it never acts on the leadership of the previous run.
type GatewayID string

// ServerID identifies an upstream. It is unique across all services.
type ServerID string

// ServiceName is the name of a service that requests are routed to.
type ServiceName string

// WorkspaceName is the name of a workspace: a customer whose callers share API keys and
// a rate limit.
type WorkspaceName string

// ZoneName is the name of an availability zone.
type ZoneName string

// Version is the store's version of an object or a list. The zero Version means
// that there is none.
type Version struct {
	// Era counts how often the store was restored from an older copy, as the store
	// states it. What was written in an earlier era may be lost.
	Era uint64
	// Revision increases with each change within an era, and may go back when a new
	// one begins. 0 means that the object does not exist.
	Revision uint64
}

// Next returns the version of the next change within the era.
func (v Version) Next() Version { return Version{v.Era, v.Revision + 1} }

// Before reports whether v is of an earlier era than other, or earlier in the same
// era.
func (v Version) Before(other Version) bool {
	if v.Era != other.Era {
		return v.Era < other.Era
	}
	return v.Revision < other.Revision
}

// Member is a gateway, as registered in the platform's directory or reported by
// a peer.
type Member struct {
	ID GatewayID
	// VM is the machine that the gateway runs on. A VM runs one gateway at a
	// time, so that a newer one implies that the older one has ended.
	VM   string
	Zone ZoneName
	// Listening addresses for callers and for other gateways.
	CallerAddr netip.AddrPort
	PeerAddr   netip.AddrPort
	// Weight is the relative size of the VM. A gateway of higher weight is the
	// dispatcher of more pools, and preferred as a leader.
	Weight float64
	// Link is the bandwidth of the VM's network link in megabits per second, or 0 if it
	// is not known.
	Link     float64
	Draining bool
}

// Upstream describes one incarnation of an upstream server, as it registers
// itself in the platform's directory.
type Upstream struct {
	ID      ServerID
	Service ServiceName
	Zone    ZoneName
	Addr    netip.AddrPort
	// StartedAt is the start time of this incarnation, to the millisecond. A
	// server that restarts under the same ID has lost all leases and fencing
	// tokens of its previous incarnation.
	StartedAt time.Time
	// Slots is the maximum number of requests that it runs concurrently.
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the server has announced to be cold, that
	// is, able to handle only a low request rate. ColdUntil is the end of that
	// time by the gateway's clock.
	ColdRemaining time.Duration
	ColdUntil     time.Time
}

// Incarnation identifies one run of an upstream server by the server's ID and
// start time.
type Incarnation struct {
	ID        ServerID
	StartedAt time.Time
}

// Incarnation returns the incarnation that u describes.
func (u Upstream) Incarnation() Incarnation { return Incarnation{ID: u.ID, StartedAt: u.StartedAt} }

// NewGatewayID returns the ID of a gateway that started on the VM at start.
func NewGatewayID(vm string, start time.Time) GatewayID {
	return GatewayID(vm + "." + strconv.FormatInt(start.UnixNano(), 36))
}

// VM returns the VM that the gateway runs on.
func (g GatewayID) VM() string {
	vm, _ := g.parts()
	return vm
}

// Supersedes reports whether g is a later run on the same VM as old, which
// implies that old has ended.
func (g GatewayID) Supersedes(old GatewayID) bool {
	vm, start := g.parts()
	oldVM, oldStart := old.parts()
	return vm == oldVM && start > oldStart
}

// parts returns the VM and the start time, in nanoseconds since 1970, that the
// ID was made from.
func (g GatewayID) parts() (vm string, start int64) {
	i := strings.LastIndexByte(string(g), '.')
	if i < 0 {
		return string(g), 0
	}
	start, err := strconv.ParseInt(string(g[i+1:]), 36, 64)
	if err != nil {
		// An ID without a valid start time supersedes no other.
		return string(g[:i]), 0
	}
	return string(g[:i]), start
}
