package orioleconfig

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Span is a time.Duration that is written as a string such as "500ms".
type Span time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *Span) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	d, err := time.ParseDuration(text)
	*s = Span(d)
	return err
}

// MarshalJSON implements json.Marshaler.
func (s Span) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(s).String()) }

// Settings is the result of merging a base file and an overlay file. The schema
// describes its fields.
type Settings struct {
	Name   string               `json:"name"`
	Zones  []oriole.ZoneName    `json:"zones"`
	Store  netip.AddrPort       `json:"store"`
	Secret string               `json:"secret,omitempty"`
	Allow  []oriole.ServiceName `json:"allow,omitempty"`
	Memory float64              `json:"memory"`
	Grace  Span                 `json:"grace"`
	Zone   oriole.ZoneName      `json:"zone,omitempty"`
	VMs    []VM                 `json:"vms,omitempty"`
	Declaration
}

// Declaration is the part of the settings that is published to all gateways. An
// overlay changes it for the gateways of its site only.
type Declaration struct {
	Limits   Limits                         `json:"limits"`
	Services map[oriole.ServiceName]Service `json:"services"`
	Routes   map[string]Route               `json:"routes"`
}

// Limits bounds the sizes of requests, and the time that callers may take to
// send them.
type Limits struct {
	Header int   `json:"header"`
	Body   int64 `json:"body"`
	Slow   Span  `json:"slow"`
	Idle   Span  `json:"idle"`
}

// Service describes a set of upstreams that serve the same requests.
type Service struct {
	Divided bool   `json:"divided"`
	Conns   int    `json:"conns"`
	Cold    Cold   `json:"cold"`
	Warm    Span   `json:"warm,omitempty"`
	Health  string `json:"health,omitempty"`
}

// Cold limits the rate of requests to an upstream that has just started.
type Cold struct {
	Span Span    `json:"span,omitempty"`
	Rate float64 `json:"rate,omitempty"`
}

// Route describes how requests for one host and path prefix are handled.
type Route struct {
	Host       string                     `json:"host"`
	Prefix     string                     `json:"prefix"`
	Idempotent bool                       `json:"idempotent,omitempty"`
	Objective  Span                       `json:"objective"`
	Timeout    Span                       `json:"timeout"`
	Attempts   int                        `json:"attempts"`
	Priority   int                        `json:"priority,omitempty"`
	Service    oriole.ServiceName         `json:"service,omitempty"`
	Split      map[oriole.ServiceName]int `json:"split,omitempty"`
}

// VM describes the gateway on one VM of a site.
type VM struct {
	Name    string         `json:"name"`
	Callers netip.AddrPort `json:"callers"`
	Ready   netip.AddrPort `json:"ready"`
	Peers   netip.AddrPort `json:"peers"`
	Metrics netip.AddrPort `json:"metrics"`
	Reach   netip.AddrPort `json:"reach,omitzero"`
	Weight  float64        `json:"weight,omitempty"`
}

// Default returns the default settings, before files are applied.
func Default() Settings {
	return Settings{
		Memory: 184,
		Grace:  Span(6 * time.Second),
		Declaration: Declaration{Limits: Limits{
			Header: 16 << 10,
			Body:   1 << 20,
			Slow:   Span(3 * time.Second),
			Idle:   Span(15 * time.Second),
		}},
	}
}

// The defaults of fields that a service or route does not set.
const (
	defaultConns    = 45
	defaultAttempts = 2
	defaultTimeout  = Span(2 * time.Second)
)

// setDefaults sets the unset fields of services and routes to their defaults.
func (d *Declaration) setDefaults() {
	for name, s := range d.Services {
		if s.Conns == 0 {
			s.Conns = defaultConns
		}
		d.Services[name] = s
	}
	for name, r := range d.Routes {
		if r.Attempts == 0 {
			r.Attempts = defaultAttempts
		}
		if r.Timeout == 0 {
			r.Timeout = defaultTimeout
		}
		if r.Objective == 0 {
			r.Objective = r.Timeout
		}
		d.Routes[name] = r
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
