package oriole

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ConfigVersion is the version of a configuration. Higher versions replace
// lower ones.
type ConfigVersion uint64

// String returns the version in decimal.
func (v ConfigVersion) String() string { return strconv.FormatUint(uint64(v), 10) }

// Config is one version of the routing configuration that operators apply. It
// is immutable once published.
type Config struct {
	Version  ConfigVersion
	Limits   Limits
	Routes   []Route
	Services map[ServiceName]Service
	// Keyed is set if requests need the API key of a workspace, unless their route is
	// public.
	Keyed      bool
	Workspaces []Workspace
}

// ServiceNames returns the sorted names of the services.
func (c *Config) ServiceNames() []ServiceName { return slices.Sorted(maps.Keys(c.Services)) }

// Limits bounds the size of requests and how long callers may take to send
// them.
type Limits struct {
	// Maximum sizes of a request's header and body.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header, IdleTimeout how
	// long a caller's connection may stay idle.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route describes how requests with one host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests can safely be executed more than once.
	Idempotent bool
	// LargeBodies is set if the bodies of requests or responses are large, so that the
	// bandwidth of links matters more than the number of requests.
	LargeBodies bool
	// Public is set if requests need no API key.
	Public bool
	// LatencyTarget is the target latency. A response that takes longer has lost
	// most of its value to the caller.
	LatencyTarget time.Duration
	// Priority orders requests under load; 0 is the highest priority.
	Priority int
	// Timeout is the maximum time that a caller waits for a response.
	Timeout time.Duration
	// MaxAttempts is the number of attempts after which an idempotent request
	// that may have run is not retried. The gateway itself limits the retries of
	// requests that have certainly not run.
	MaxAttempts int
	// Shares splits the requests among services by weight. It has at least one
	// element.
	Shares []Share
}

// Share is the weight of one service in a route's traffic split.
type Share struct {
	Service ServiceName
	Weight  int
}

// Matches reports whether the route applies to a request for host and path.
func (r Route) Matches(host, path string) bool {
	return r.Host == host && strings.HasPrefix(path, r.Prefix)
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name ServiceName
	// MaxConns is the maximum number of connections that all gateways together
	// keep open to one upstream.
	MaxConns int
	// ColdDuration is how long an upstream is cold after it starts; ColdRate is
	// the number of requests per second that it can handle while cold.
	ColdDuration time.Duration
	ColdRate     float64
	// Sharded is set if each key is owned by one upstream.
	Sharded bool
	// KeyWarmupDuration is how long requests for a key are slow after the key
	// moved without a handover token.
	KeyWarmupDuration time.Duration
	// HealthPath is the path of the upstreams' health check. Gateways don't
	// call it: they judge an upstream by the results of its requests.
	HealthPath string
}
