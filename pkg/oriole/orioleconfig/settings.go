package orioleconfig

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Duration is a time.Duration that is written as a string such as "500ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// Settings is the result of merging a base file and an overlay file. The schema
// describes its fields.
type Settings struct {
	Name            string               `json:"name"`
	Zones           []oriole.ZoneName    `json:"zones"`
	StoreAddr       netip.AddrPort       `json:"store"`
	Secret          string               `json:"secret,omitempty"`
	OverlayServices []oriole.ServiceName `json:"allow,omitempty"`
	MemoryMB        float64              `json:"memory"`
	GracePeriod     Duration             `json:"grace"`
	Clients         Clients              `json:"clients,omitzero"`
	Zone            oriole.ZoneName      `json:"zone,omitempty"`
	VMs             []VM                 `json:"vms,omitempty"`
	PublishedSettings
}

// Clients bounds what clients may make a gateway hold. Zero values stand for defaults,
// which follow from the size of the VM and the limits of requests.
type Clients struct {
	// Descriptors is the number of descriptors of the process.
	Descriptors int `json:"descriptors,omitempty"`
	// MaxConns is the maximum number of callers' connections.
	MaxConns int `json:"conns,omitempty"`
	// MaxFields is the maximum number of fields in a request's header.
	MaxFields int `json:"fields,omitempty"`
	// HeldMB is what callers may make the gateway hold together, in MiB.
	HeldMB float64 `json:"held,omitempty"`
	// A client that sends a body or reads a response moves MinRate bytes a second on
	// average over each ProgressTimeout.
	ProgressTimeout Duration `json:"progress,omitempty"`
	MinRate         int64    `json:"rate,omitempty"`
	// StallTimeout is the time without progress after which a connection may be closed
	// when connections or bytes run short.
	StallTimeout Duration `json:"stall,omitempty"`
}

// Check returns an error that names the first invalid field. memoryMB is the memory of the
// VM in MiB.
func (c Clients) Check(memoryMB float64) error {
	switch {
	case c.Descriptors < 0 || c.Descriptors > 0 && c.Descriptors < MinDescriptors:
		return errors.Errorf("clients.descriptors: must be at least %d", MinDescriptors)
	case c.MaxConns < 0:
		return errors.New("clients.conns: must not be below 0")
	case c.MaxFields < 0:
		return errors.New("clients.fields: must not be below 0")
	case c.HeldMB < 0:
		return errors.New("clients.held: must not be below 0")
	case c.HeldMB >= memoryMB && c.HeldMB > 0:
		return errors.New("clients.held: must be below memory")
	case c.ProgressTimeout < 0:
		return errors.New("clients.progress: must not be below 0")
	case c.MinRate < 0:
		return errors.New("clients.rate: must not be below 0")
	case c.StallTimeout < 0:
		return errors.New("clients.stall: must not be below 0")
	}
	return nil
}

// MinDescriptors is the smallest number of descriptors that a gateway runs with: those for
// files and some for each kind of connection.
const MinDescriptors = 512

// PublishedSettings is the part of the settings that is published to all gateways.
// An overlay changes it for the gateways of its site only.
type PublishedSettings struct {
	Limits   Limits                         `json:"limits"`
	Services map[oriole.ServiceName]Service `json:"services"`
	Routes   map[string]Route               `json:"routes"`
	// Workspaces is nil if requests need no API key.
	Workspaces map[oriole.WorkspaceName]Workspace `json:"workspaces,omitzero"`
}

// Workspace describes a customer whose callers share API keys.
type Workspace struct {
	Keys     []oriole.Secret `json:"keys"`
	Priority int             `json:"priority,omitempty"`
	Rate     float64         `json:"rate,omitempty"`
	Burst    float64         `json:"burst,omitempty"`
}

// Limits bounds the sizes of requests, and the time that callers may take to
// send them.
type Limits struct {
	MaxHeaderBytes int      `json:"header"`
	MaxBodyBytes   int64    `json:"body"`
	HeaderTimeout  Duration `json:"slow"`
	IdleTimeout    Duration `json:"idle"`
}

// Service describes a set of upstreams that serve the same requests.
type Service struct {
	Sharded           bool      `json:"divided"`
	MaxConns          int       `json:"conns"`
	Cold              ColdLimit `json:"cold"`
	KeyWarmupDuration Duration  `json:"warm,omitempty"`
	HealthPath        string    `json:"health,omitempty"`
}

// ColdLimit limits the rate of requests to an upstream that has just started.
type ColdLimit struct {
	Duration Duration `json:"span,omitempty"`
	MaxRate  float64  `json:"rate,omitempty"`
}

// Route describes how requests for one host and path prefix are handled.
type Route struct {
	Host          string                     `json:"host"`
	Prefix        string                     `json:"prefix"`
	Idempotent    bool                       `json:"idempotent,omitempty"`
	LargeBodies   bool                       `json:"large,omitempty"`
	Public        bool                       `json:"public,omitempty"`
	LatencyTarget Duration                   `json:"objective"`
	Timeout       Duration                   `json:"timeout"`
	MaxAttempts   int                        `json:"attempts"`
	Priority      int                        `json:"priority,omitempty"`
	Service       oriole.ServiceName         `json:"service,omitempty"`
	Weights       map[oriole.ServiceName]int `json:"split,omitempty"`
}

// VM describes a VM of a site and the gateway that runs on it.
type VM struct {
	Name           string         `json:"name"`
	CallerAddr     netip.AddrPort `json:"callers"`
	ReadinessAddr  netip.AddrPort `json:"ready"`
	PeerAddr       netip.AddrPort `json:"peers"`
	AdminAddr      netip.AddrPort `json:"metrics"`
	AdvertisedAddr netip.AddrPort `json:"reach,omitzero"`
	Weight         float64        `json:"weight,omitempty"`
}

// Default returns the settings that apply unless a file sets them, without the
// defaults of the fields of services and routes.
func Default() Settings {
	return Settings{
		MemoryMB:    184,
		GracePeriod: Duration(6 * time.Second),
		PublishedSettings: PublishedSettings{Limits: Limits{
			MaxHeaderBytes: 16 << 10,
			MaxBodyBytes:   1 << 20,
			HeaderTimeout:  Duration(3 * time.Second),
			IdleTimeout:    Duration(15 * time.Second),
		}},
	}
}

// The defaults of fields that a service or route does not set.
const (
	defaultMaxConns    = 45
	defaultMaxAttempts = 2
	defaultTimeout     = Duration(2 * time.Second)
)

// setDefaults sets the unset fields of services and routes to their defaults.
func (p *PublishedSettings) setDefaults() {
	for name, s := range p.Services {
		if s.MaxConns == 0 {
			s.MaxConns = defaultMaxConns
		}
		p.Services[name] = s
	}
	for name, r := range p.Routes {
		if r.MaxAttempts == 0 {
			r.MaxAttempts = defaultMaxAttempts
		}
		if r.Timeout == 0 {
			r.Timeout = defaultTimeout
		}
		if r.LatencyTarget == 0 {
			r.LatencyTarget = r.Timeout
		}
		p.Routes[name] = r
	}
}

// VM returns the VM with the given name, and whether there is one.
func (s *Settings) VM(name string) (VM, bool) {
	for _, vm := range s.VMs {
		if vm.Name == name {
			return vm, true
		}
	}
	return VM{}, false
}
