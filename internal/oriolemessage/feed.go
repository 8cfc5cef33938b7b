package oriolemessage

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Kinds of entries in a feed.
const (
	KindConfigs   = "configs"
	KindUpstreams = "upstreams"
	KindZones     = "zones"
	KindGateways  = "gateways"
)

// FromChanges converts changes to entries. set stores the value of a change in its
// entry.
func FromChanges[T any](changes []oriole.Change[T], set func(*Entry, T)) []Entry {
	entries := make([]Entry, 0, len(changes))
	for _, change := range changes {
		entry := Entry{Name: change.Name, Removed: change.Removed}
		if !change.Removed {
			set(&entry, change.Value)
		}
		entries = append(entries, entry)
	}
	return entries
}

// ToChanges converts entries to changes. value returns the value that an entry
// holds.
func ToChanges[T any](entries []Entry, value func(Entry) (T, error)) (changes []oriole.Change[T], err error) {
	for _, entry := range entries {
		change := oriole.Change[T]{Name: entry.Name, Removed: entry.Removed}
		if !entry.Removed {
			if change.Value, err = value(entry); err != nil {
				return nil, errors.Wrapf(err, "entry %q", entry.Name)
			}
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// SetZone does nothing: an entry for a zone has only a name.
func (e *Entry) SetZone(oriole.ZoneName) {}

// ToZone returns the zone that the entry names.
func (e Entry) ToZone() (oriole.ZoneName, error) { return oriole.ZoneName(e.Name), nil }

func (e *Entry) SetGateway(m oriole.Member) {
	g := FromGateway(m)
	e.Gateway = &g
}

// ToGateway returns the gateway that the entry holds.
func (e Entry) ToGateway() (m oriole.Member, err error) {
	if e.Gateway == nil {
		return m, errors.Wrap(ErrMalformed, "no gateway")
	}
	return e.Gateway.ToMember()
}

func (e *Entry) SetUpstream(u oriole.Upstream) {
	e.Upstream = &Upstream{
		Zone: string(u.Zone), Addr: u.Addr.String(), Service: string(u.Service), StartedAt: u.StartedAt.UnixMilli(),
		Slots: u.Slots, Draining: u.Draining, ColdRemaining: u.ColdRemaining.Microseconds(),
	}
}

// ToUpstream returns the upstream that the entry holds. Its ID is the entry's name.
func (e Entry) ToUpstream() (u oriole.Upstream, err error) {
	if e.Upstream == nil {
		return u, errors.Wrap(ErrMalformed, "no upstream")
	}
	addr, err := netip.ParseAddrPort(e.Upstream.Addr)
	if err != nil || e.Upstream.Slots < 1 {
		return u, errors.Wrap(ErrMalformed, "upstream: invalid address or slots")
	}
	return oriole.Upstream{
		ID: oriole.ServerID(e.Name), Zone: oriole.ZoneName(e.Upstream.Zone), Addr: addr,
		Service: oriole.ServiceName(e.Upstream.Service), StartedAt: time.UnixMilli(e.Upstream.StartedAt),
		Slots: e.Upstream.Slots, Draining: e.Upstream.Draining, ColdRemaining: fromMicros(e.Upstream.ColdRemaining),
	}, nil
}

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func (e *Entry) SetConfig(cfg *oriole.Config) {
	c := &Config{
		Version: uint64(cfg.Version), MaxHeaderBytes: cfg.Limits.MaxHeaderBytes, MaxBodyBytes: cfg.Limits.MaxBodyBytes,
		HeaderTimeout: cfg.Limits.HeaderTimeout.Microseconds(), IdleTimeout: cfg.Limits.IdleTimeout.Microseconds(),
	}
	for _, r := range cfg.Routes {
		route := Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, LatencyTarget: r.LatencyTarget.Microseconds(),
			Priority: r.Priority, Timeout: r.Timeout.Microseconds(), MaxAttempts: r.MaxAttempts,
		}
		route.Public, route.LargeBodies = ifSet(r.Public), ifSet(r.LargeBodies)
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, Share{Service: string(s.Service), Weight: s.Weight})
		}
		c.Routes = append(c.Routes, route)
	}
	for _, s := range cfg.Services {
		c.Services = append(c.Services, Service{
			Name: string(s.Name), MaxConns: s.MaxConns, ColdDuration: s.ColdDuration.Microseconds(), ColdRate: s.ColdRate,
			Sharded: s.Sharded, KeyWarmupDuration: s.KeyWarmupDuration.Microseconds(), HealthPath: s.HealthPath,
		})
	}
	c.Keyed = ifSet(cfg.Keyed)
	for _, w := range cfg.Workspaces {
		workspace := Workspace{Name: string(w.Name), Keys: [][]byte{}, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst}
		for _, key := range w.Keys {
			workspace.Keys = append(workspace.Keys, key[:])
		}
		c.Workspaces = append(c.Workspaces, workspace)
	}
	e.Config = c
}

// ifSet leaves a field out unless it is set: earlier builds reject it.
func ifSet(b bool) *bool {
	if !b {
		return nil
	}
	return &b
}

func toWorkspace(w Workspace) (converted oriole.Workspace, err error) {
	converted = oriole.Workspace{Name: oriole.WorkspaceName(w.Name), Priority: w.Priority, Rate: w.Rate, Burst: w.Burst}
	for _, key := range w.Keys {
		if len(key) != len(oriole.KeyDigest{}) {
			return converted, errors.Wrapf(ErrMalformed, "workspace %q: invalid key", w.Name)
		}
		converted.Keys = append(converted.Keys, oriole.KeyDigest(key))
	}
	return converted, nil
}

// ToConfig returns the configuration that the entry holds.
func (e Entry) ToConfig() (cfg *oriole.Config, err error) {
	c := e.Config
	if c == nil || c.Version == 0 {
		return nil, errors.Wrap(ErrMalformed, "no configuration")
	}
	cfg = &oriole.Config{
		Version: oriole.ConfigVersion(c.Version),
		Limits: oriole.Limits{
			MaxHeaderBytes: c.MaxHeaderBytes, MaxBodyBytes: c.MaxBodyBytes, HeaderTimeout: fromMicros(c.HeaderTimeout), IdleTimeout: fromMicros(c.IdleTimeout),
		},
		Services: make(map[oriole.ServiceName]oriole.Service, len(c.Services)),
	}
	for _, r := range c.Routes {
		route := oriole.Route{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, LatencyTarget: fromMicros(r.LatencyTarget),
			Priority: r.Priority, Timeout: fromMicros(r.Timeout), MaxAttempts: r.MaxAttempts,
		}
		route.Public, route.LargeBodies = r.Public != nil && *r.Public, r.LargeBodies != nil && *r.LargeBodies
		if len(r.Shares) == 0 {
			return nil, errors.Wrapf(ErrMalformed, "route %q has no service", r.Name)
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, oriole.Share{Service: oriole.ServiceName(s.Service), Weight: s.Weight})
		}
		cfg.Routes = append(cfg.Routes, route)
	}
	cfg.Keyed = c.Keyed != nil && *c.Keyed
	for _, w := range c.Workspaces {
		workspace, err := toWorkspace(w)
		if err != nil {
			return nil, err
		}
		cfg.Workspaces = append(cfg.Workspaces, workspace)
	}
	for _, s := range c.Services {
		name := oriole.ServiceName(s.Name)
		cfg.Services[name] = oriole.Service{
			Name: name, MaxConns: s.MaxConns, ColdDuration: fromMicros(s.ColdDuration), ColdRate: s.ColdRate, Sharded: s.Sharded, KeyWarmupDuration: fromMicros(s.KeyWarmupDuration),
			HealthPath: s.HealthPath,
		}
	}
	return cfg, nil
}
