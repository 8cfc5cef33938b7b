package oriolerouter

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// Settings holds the settings of one gateway.
type Settings struct {
	// VM is the name of the machine, and Zone that of its availability zone.
	VM   string
	Zone oriole.ZoneName
	// The addresses to listen on for callers, for the load balancer's readiness
	// checks, for other gateways, and for operators and metrics.
	CallerAddr    netip.AddrPort
	ReadinessAddr netip.AddrPort
	PeerAddr      netip.AddrPort
	AdminAddr     netip.AddrPort
	// AdvertisedAddr is the address that other gateways connect to, if it differs
	// from PeerAddr.
	AdvertisedAddr netip.AddrPort
	// StoreAddr is the address of the platform's directory store.
	StoreAddr netip.AddrPort
	// Secret authenticates peers and operators. It is empty if the network
	// restricts access.
	Secret string
	// Overlay overrides parts of the published configuration for the site.
	Overlay *orioleconfig.Overlay
	// Weight is the relative size of the VM, which determines the gateway's share
	// of pools and services. 0 means the default, 1.
	Weight float64
	// Link is the bandwidth of the VM's network link in megabits per second, or 0 if it is
	// not known.
	Link float64
	// RevocationBound is the time from the store's confirmation of a configuration after
	// which no request with an API key that it lacks may run, or 0 if there is none.
	RevocationBound time.Duration
	// Clients bounds what clients may make the gateway hold.
	Clients orioleconfig.Clients
	// MemoryLimit is the memory limit of the process in bytes.
	MemoryLimit int64
	// GracePeriod is the time from SIGTERM until the process must have ended.
	GracePeriod time.Duration
}

// settingsFile is the JSON format of a settings file.
type settingsFile struct {
	VM      string                `json:"vm"`
	Zone    string                `json:"zone"`
	Callers netip.AddrPort        `json:"callers"`
	Ready   netip.AddrPort        `json:"ready"`
	Peers   netip.AddrPort        `json:"peers"`
	Metrics netip.AddrPort        `json:"metrics"`
	Reach   netip.AddrPort        `json:"reach"`
	Store   netip.AddrPort        `json:"store"`
	Secret  string                `json:"secret"`
	Weight  float64               `json:"weight"`
	Link    float64               `json:"link"`
	Revoke  orioleconfig.Duration `json:"revoke"`
	Memory  float64               `json:"memory"`
	Grace   orioleconfig.Duration `json:"grace"`
	Clients orioleconfig.Clients  `json:"clients"`
}

// megabyte is the unit of memory in settings files.
const megabyte = 1 << 20

// SiteSettings returns the settings of one VM from those of its site.
func SiteSettings(site *orioleconfig.Settings, vm orioleconfig.VM, overlay *orioleconfig.Overlay) Settings {
	return Settings{
		VM: vm.Name, Zone: site.Zone, CallerAddr: vm.CallerAddr, ReadinessAddr: vm.ReadinessAddr, PeerAddr: vm.PeerAddr, AdminAddr: vm.AdminAddr, AdvertisedAddr: vm.AdvertisedAddr,
		StoreAddr: site.StoreAddr, Secret: site.Secret, Overlay: overlay, Clients: site.Clients,
		Weight: vm.Weight, MemoryLimit: int64(site.MemoryMB * megabyte), GracePeriod: time.Duration(site.GracePeriod),
	}
}

// weightOrDefault returns the weight, or the default of 1 if it is not set.
func weightOrDefault(weight float64) float64 {
	if weight == 0 {
		return 1
	}
	return weight
}

// LoadSettings reads a settings file. Validation errors name the invalid field.
func LoadSettings(path string) (s Settings, err error) {
	defer func() { err = errors.Wrapf(err, "read settings file %s", path) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return ParseSettings(data)
}

// ParseSettings parses the content of a settings file and validates it.
func ParseSettings(data []byte) (s Settings, err error) {
	var file settingsFile
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return s, err
	}
	switch {
	case file.VM == "":
		return s, errors.New("vm: is missing")
	case file.Zone == "":
		return s, errors.New("zone: is missing")
	case file.Weight < 0:
		return s, errors.New("weight: must not be below 0")
	case file.Link < 0:
		return s, errors.New("link: must not be below 0")
	case file.Revoke < 0:
		return s, errors.New("revoke: must not be below 0")
	case file.Memory <= 0:
		return s, errors.New("memory: must be above 0")
	case file.Grace <= 0:
		return s, errors.New("grace: must be above 0")
	}
	if err := file.Clients.Check(file.Memory); err != nil {
		return s, err
	}
	for _, field := range []struct {
		name string
		addr netip.AddrPort
	}{
		{"callers", file.Callers},
		{"ready", file.Ready},
		{"peers", file.Peers},
		{"metrics", file.Metrics},
		{"store", file.Store},
	} {
		if !field.addr.IsValid() {
			return s, errors.Errorf("%s: is missing", field.name)
		}
	}
	return Settings{
		VM: file.VM, Zone: oriole.ZoneName(file.Zone),
		CallerAddr: file.Callers, ReadinessAddr: file.Ready, PeerAddr: file.Peers, AdminAddr: file.Metrics, AdvertisedAddr: file.Reach, StoreAddr: file.Store, Secret: file.Secret,
		Weight: file.Weight, Link: file.Link, RevocationBound: time.Duration(file.Revoke), MemoryLimit: int64(file.Memory * megabyte), GracePeriod: time.Duration(file.Grace), Clients: file.Clients,
	}, nil
}
