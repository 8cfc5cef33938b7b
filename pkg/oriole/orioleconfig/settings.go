package orioleconfig

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Span is a duration in settings, written as in "500ms".
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

// Settings is the merged result of a base file and an overlay.
type Settings struct {
	Name     string                         `json:"name"`
	Zones    []oriole.ZoneName              `json:"zones"`
	Out      []oriole.ZoneName              `json:"out,omitempty"`
	Platform netip.AddrPort                 `json:"platform"`
	Secret   string                         `json:"secret,omitempty"`
	Allow    []oriole.ServiceName           `json:"allow,omitempty"`
	Lease    Lease                          `json:"lease"`
	Limits   Limits                         `json:"limits"`
	Services map[oriole.ServiceName]Service `json:"services"`
	Zone     oriole.ZoneName                `json:"zone,omitempty"`
	VMs      []VM                           `json:"vms,omitempty"`
}

// Lease holds the intervals of the ownership protocol.
type Lease struct {
	Span    Span    `json:"span"`
	Beat    Span    `json:"beat"`
	Silence Span    `json:"silence"`
	Alone   Span    `json:"alone"`
	Drift   float64 `json:"drift"`
}

// Limits bounds what a gateway holds.
type Limits struct {
	Body    int  `json:"body"`
	Queued  int  `json:"queued"`
	Waiting int  `json:"waiting"`
	Open    int  `json:"open"`
	Tokens  int  `json:"tokens"`
	Memory  Span `json:"memory"`
}

// Service describes one service.
type Service struct {
	Divided    bool       `json:"divided"`
	Slices     int        `json:"slices,omitempty"`
	Groups     int        `json:"groups"`
	Fenced     bool       `json:"fenced"`
	Idempotent []string   `json:"idempotent"`
	Deadline   Span       `json:"deadline"`
	Slots      int        `json:"slots"`
	Cold       int        `json:"cold"`
	Conns      int        `json:"conns"`
	Pick       string     `json:"pick"`
	Upstreams  []Upstream `json:"upstreams"`

	groupIDs []oriole.GroupID
}

// Upstream describes one server of a service.
type Upstream struct {
	Name  oriole.ServerID `json:"name"`
	Zone  oriole.ZoneName `json:"zone"`
	Addr  netip.AddrPort  `json:"addr"`
	Drain bool            `json:"drain,omitempty"`
}

// VM describes one gateway of a site.
type VM struct {
	Name      string         `json:"name"`
	Callers   netip.AddrPort `json:"callers"`
	Peers     netip.AddrPort `json:"peers"`
	Operators netip.AddrPort `json:"operators"`
}

// slicesPerGroup is the default number of slices of a group.
const slicesPerGroup = 48

// Default returns the settings that files change.
func Default() Settings {
	return Settings{
		Lease: Lease{
			Span:    Span(500 * time.Millisecond),
			Beat:    Span(80 * time.Millisecond),
			Silence: Span(250 * time.Millisecond),
			Alone:   Span(6 * time.Hour),
			Drift:   0.01,
		},
		Limits: Limits{
			Body:    1 << 20,
			Queued:  128,
			Waiting: 512,
			Open:    4096,
			Tokens:  4096,
			Memory:  Span(10 * time.Minute),
		},
	}
}

// fillService sets the defaults of a service.
func fillService(s *Service) {
	if s.Slices == 0 && s.Divided {
		s.Slices = slicesPerGroup * s.Groups
	}
	if s.Idempotent == nil {
		s.Idempotent = []string{"GET", "HEAD", "OPTIONS"}
	}
	if s.Deadline == 0 {
		s.Deadline = Span(2 * time.Second)
	}
	if s.Slots == 0 {
		s.Slots = 2
	}
	if s.Cold == 0 {
		s.Cold = 1
	}
	if s.Conns == 0 {
		s.Conns = 45
	}
	if s.Pick == "" {
		s.Pick = "expected"
	}
}

// VM returns the VM with the name.
func (s *Settings) VM(name string) (VM, bool) {
	for _, vm := range s.VMs {
		if vm.Name == name {
			return vm, true
		}
	}
	return VM{}, false
}
