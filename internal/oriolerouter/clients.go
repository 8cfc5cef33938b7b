package oriolerouter

import (
	"syscall"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/orioleingress"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleclients"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// Shares of the descriptors that are not for files. The rest is for connections that the
// gateway opens: to upstreams, peers and the store.
const (
	// fileDescriptors is the number of descriptors for files.
	fileDescriptors  = 200
	callerDivisor    = 2
	peerDivisor      = 4
	readinessDivisor = 16
	metricsDivisor   = 16
	// defaultDescriptors is used where the limit of the process is not known.
	defaultDescriptors = 1024
)

// Shares of the memory of the VM.
const (
	// connBytes is what a connection takes without a request: buffers and stacks. A
	// silent one was measured at 12 to 15 KB.
	connBytes = 16 << 10
	// connsDivisor gives the share for callers' connections themselves, heldDivisor the
	// one for what they hold, and reserveDivisor what is added to the latter for small
	// requests.
	connsDivisor   = 6
	heldDivisor    = 3
	reserveDivisor = 8
	// otherDivisor gives the share for what the clients of each other server hold.
	otherDivisor = 64
)

// Defaults of the settings for clients.
const (
	defaultProgressTimeout = 5 * time.Second
	defaultMinRate         = 1 << 10
	defaultStallTimeout    = time.Second
	// minFieldBytes is the size of the shortest header field, by which no header within
	// its limit in bytes has too many fields. What fields take is bounded in bytes.
	minFieldBytes = 4
	// defaultMemory stands for the memory of the VM where it is not set.
	defaultMemory = 184 << 20
)

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultDescriptors
	}
	const unlimited = 1 << 20
	return int64(min(limit.Cur, unlimited))
}

// clientLimits holds the limits of the ledgers of all servers.
type clientLimits struct {
	callers, peers, readiness, metrics orioleclients.Limits
}

// newClientLimits returns the limits for the settings.
func newClientLimits(settings Settings, descriptorLimit int64) clientLimits {
	set, memory := settings.Clients, settings.MemoryLimit
	if memory <= 0 {
		memory = defaultMemory
	}
	descriptors := descriptorLimit
	if set.Descriptors > 0 {
		descriptors = min(int64(set.Descriptors), descriptors)
	}
	sockets := max(descriptors, orioleconfig.MinDescriptors) - fileDescriptors
	stall := defaultStallTimeout
	if set.StallTimeout > 0 {
		stall = time.Duration(set.StallTimeout)
	}
	held := memory / heldDivisor
	if set.HeldMB > 0 {
		held = int64(set.HeldMB * megabyte)
	}
	conns := min(sockets/callerDivisor, memory/connsDivisor/connBytes)
	if set.MaxConns > 0 {
		conns = min(int64(set.MaxConns), sockets/callerDivisor)
	}
	other := func(divisor int64) orioleclients.Limits {
		return orioleclients.Limits{Conns: int(sockets / divisor), Bytes: memory / otherDivisor, StallTimeout: stall}
	}
	return clientLimits{
		callers: orioleclients.Limits{
			Conns: int(conns), Bytes: held + held/reserveDivisor, Reserve: held / reserveDivisor, StallTimeout: stall,
		},
		peers: other(peerDivisor), readiness: other(readinessDivisor), metrics: other(metricsDivisor),
	}
}

// guardServers bounds what the clients of each server make it hold. Each has connections
// and bytes of its own, so that none keeps out the clients of another.
func (r *Router) guardServers(callers, readiness, peers, metrics *orioleingress.Server) {
	limits := newClientLimits(r.settings, descriptorLimit())
	limits.callers.Shared = r.platform.BodyMemory
	r.platform.BodyMemory.Raise(limits.callers.Bytes)
	for _, guarded := range []struct {
		name   string
		server *orioleingress.Server
		limits orioleclients.Limits
	}{
		{"callers", callers, limits.callers},
		{"readiness", readiness, limits.readiness},
		{"peers", peers, limits.peers},
		{"metrics", metrics, limits.metrics},
	} {
		ledger := orioleclients.NewLedger(guarded.limits)
		r.metrics.Gauge("clients_"+guarded.name, func() any { return ledger.Usage() })
		guarded.server.SetGuard(&orioleingress.Guard{
			Ledger: ledger, Limits: r.requestLimits, Metrics: r.metrics, Log: r.log, Server: guarded.name,
		})
	}
}

// requestLimits returns the limits of single requests, by the configuration in force.
func (r *Router) requestLimits() orioleingress.ClientLimits {
	published := orioleconfig.Default().Limits
	limits := orioleingress.ClientLimits{
		MaxHeaderBytes: published.MaxHeaderBytes, HeaderTimeout: time.Duration(published.HeaderTimeout),
		ProgressTimeout: defaultProgressTimeout,
	}
	if cfg := r.tracker.Snapshot().Config; cfg != nil {
		limits.MaxHeaderBytes, limits.HeaderTimeout = cfg.Limits.MaxHeaderBytes, cfg.Limits.HeaderTimeout
	}
	set := r.settings.Clients
	limits.MaxFields = limits.MaxHeaderBytes / minFieldBytes
	if set.MaxFields > 0 {
		limits.MaxFields = set.MaxFields
	}
	if set.ProgressTimeout > 0 {
		limits.ProgressTimeout = time.Duration(set.ProgressTimeout)
	}
	rate := int64(defaultMinRate)
	if set.MinRate > 0 {
		rate = set.MinRate
	}
	limits.MinBytes = int64(limits.ProgressTimeout.Seconds() * float64(rate))
	return limits
}
