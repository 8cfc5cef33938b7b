package orioleconfig

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Config converts the settings to the given version of the configuration.
func (p *PublishedSettings) Config(version oriole.ConfigVersion) *oriole.Config {
	cfg := &oriole.Config{
		Version: version,
		Limits: oriole.Limits{
			MaxHeaderBytes: p.Limits.MaxHeaderBytes, MaxBodyBytes: p.Limits.MaxBodyBytes,
			HeaderTimeout: time.Duration(p.Limits.HeaderTimeout), IdleTimeout: time.Duration(p.Limits.IdleTimeout),
		},
		Services:   make(map[oriole.ServiceName]oriole.Service, len(p.Services)),
		Keyed:      p.Workspaces != nil,
		Workspaces: p.workspaces(),
	}
	for name, s := range p.Services {
		cfg.Services[name] = oriole.Service{
			Name: name, MaxConns: s.MaxConns, Sharded: s.Sharded, HealthPath: s.HealthPath,
			ColdDuration: time.Duration(s.Cold.Duration), ColdRate: s.Cold.MaxRate, KeyWarmupDuration: time.Duration(s.KeyWarmupDuration),
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Routes)) {
		cfg.Routes = append(cfg.Routes, p.Routes[name].route(name))
	}
	return cfg
}

// workspaces returns the workspaces sorted by name, with their keys and the digests.
func (p *PublishedSettings) workspaces() (workspaces []oriole.Workspace) {
	for _, name := range slices.Sorted(maps.Keys(p.Workspaces)) {
		w := p.Workspaces[name]
		workspace := oriole.Workspace{Name: name, Secrets: w.Keys, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst}
		for _, key := range w.Keys {
			workspace.Keys = append(workspace.Keys, oriole.DigestKey(string(key)))
		}
		workspaces = append(workspaces, workspace)
	}
	return workspaces
}

func (r Route) route(name string) oriole.Route {
	route := oriole.Route{
		Name: name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, LargeBodies: r.LargeBodies, Public: r.Public, Priority: r.Priority,
		LatencyTarget: time.Duration(r.LatencyTarget), Timeout: time.Duration(r.Timeout), MaxAttempts: r.MaxAttempts,
	}
	for _, service := range slices.Sorted(maps.Keys(r.Weights)) {
		route.Shares = append(route.Shares, oriole.Share{Service: service, Weight: r.Weights[service]})
	}
	if r.Service != "" {
		route.Shares = []oriole.Share{{Service: r.Service, Weight: 1}}
	}
	return route
}

// PublishedSettingsOf returns the settings that [PublishedSettings.Config]
// converts to cfg. API keys are missing if cfg was read from the store, since only their
// digests are known.
func PublishedSettingsOf(cfg *oriole.Config) PublishedSettings {
	p := PublishedSettings{
		Limits: Limits{
			MaxHeaderBytes: cfg.Limits.MaxHeaderBytes, MaxBodyBytes: cfg.Limits.MaxBodyBytes,
			HeaderTimeout: Duration(cfg.Limits.HeaderTimeout), IdleTimeout: Duration(cfg.Limits.IdleTimeout),
		},
		Services: make(map[oriole.ServiceName]Service, len(cfg.Services)),
		Routes:   make(map[string]Route, len(cfg.Routes)),
	}
	for name, s := range cfg.Services {
		p.Services[name] = Service{
			Sharded: s.Sharded, MaxConns: s.MaxConns, Cold: ColdLimit{Duration(s.ColdDuration), s.ColdRate}, KeyWarmupDuration: Duration(s.KeyWarmupDuration), HealthPath: s.HealthPath,
		}
	}
	if cfg.Keyed {
		p.Workspaces = make(map[oriole.WorkspaceName]Workspace, len(cfg.Workspaces))
	}
	for _, w := range cfg.Workspaces {
		p.Workspaces[w.Name] = Workspace{Keys: w.Secrets, Priority: w.Priority, Rate: w.Rate, Burst: w.Burst}
	}
	for _, r := range cfg.Routes {
		route := Route{
			Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent, LargeBodies: r.LargeBodies, Public: r.Public, Priority: r.Priority,
			LatencyTarget: Duration(r.LatencyTarget), Timeout: Duration(r.Timeout), MaxAttempts: r.MaxAttempts,
		}
		if len(r.Shares) == 1 {
			route.Service = r.Shares[0].Service
		} else {
			route.Weights = make(map[oriole.ServiceName]int, len(r.Shares))
			for _, share := range r.Shares {
				route.Weights[share.Service] = share.Weight
			}
		}
		p.Routes[r.Name] = route
	}
	return p
}

// SamePublished reports whether two configurations have the same contents. API keys are
// compared by their digests.
func SamePublished(a, b *oriole.Config) bool {
	return reflect.DeepEqual(contentsOf(a), contentsOf(b))
}

// contentsOf returns the contents of a configuration, with workspaces sorted by name and
// without API keys in plain text.
func contentsOf(cfg *oriole.Config) (contents struct {
	PublishedSettings
	Keyed      bool
	Workspaces []oriole.Workspace
},
) {
	contents.PublishedSettings, contents.Keyed = PublishedSettingsOf(cfg), cfg.Keyed
	contents.PublishedSettings.Workspaces = nil
	for _, w := range cfg.Workspaces {
		w.Secrets = nil
		contents.Workspaces = append(contents.Workspaces, w)
	}
	slices.SortFunc(contents.Workspaces, func(a, b oriole.Workspace) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return contents
}

// Overlay is the part of a site's overlay file that changes the published
// configuration.
type Overlay struct {
	file  string
	patch []byte
}

// LoadOverlay reads an overlay file. The file must have passed [Load].
func LoadOverlay(path string) (o Overlay, err error) {
	defer func() { err = errors.Wrap(err, "reading the overlay") }()
	data, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	return ParseOverlay(path, data)
}

// ParseOverlay parses the contents of an overlay file; the file name appears in
// errors.
func ParseOverlay(file string, data []byte) (o Overlay, err error) {
	defer func() { err = errors.Wrap(err, file) }()
	var changed struct {
		Limits   json.RawMessage `json:"limits,omitempty"`
		Services json.RawMessage `json:"services,omitempty"`
		Routes   json.RawMessage `json:"routes,omitempty"`
	}
	if err := json.Unmarshal(data, &changed); err != nil {
		return o, err
	}
	patch, err := json.Marshal(changed)
	return Overlay{file, patch}, err
}

// Apply returns the configuration with the overlay applied. If the result breaks a
// rule that spans several fields, for example because a route that the overlay
// changes no longer exists, the error lists the problems. Apply does not validate
// the result against the schema.
func (o Overlay) Apply(cfg *oriole.Config) (patched *oriole.Config, err error) {
	defer func() {
		err = errors.Wrapf(err, "applying overlay %s to configuration version %d", o.file, cfg.Version)
	}()
	published := PublishedSettingsOf(cfg)
	// Workspaces don't pass through the patch: an overlay can't change them, and only
	// digests of their keys are known.
	published.Workspaces = nil
	if len(published.Routes) != len(cfg.Routes) {
		return nil, errors.New("several routes have the same name, so an overlay can't select one")
	}
	publishedData, err := json.Marshal(published)
	if err != nil {
		return nil, err
	}
	merged, err := jsonpatch.MergePatch(publishedData, o.patch)
	if err != nil {
		return nil, err
	}
	var p PublishedSettings
	if err := json.Unmarshal(merged, &p); err != nil {
		return nil, err
	}
	p.setDefaults()
	c := &checker{file: o.file}
	c.checkPublished(&p)
	if len(c.problems) > 0 {
		return nil, c.problems
	}
	patched = p.Config(cfg.Version)
	patched.Keyed, patched.Workspaces = cfg.Keyed, cfg.Workspaces
	return patched, nil
}

// CheckUpdate returns [Problems] if the next configuration can't replace the old
// one in a running system: whether a service is sharded can't change, since that
// decides which upstreams may own its keys.
func CheckUpdate(old, next *oriole.Config) error {
	c := &checker{file: "settings"}
	for _, name := range slices.Sorted(maps.Keys(next.Services)) {
		if oldService, known := old.Services[name]; known && oldService.Sharded != next.Services[name].Sharded {
			c.add("/services/"+string(name)+"/divided", "can't change while the system runs")
		}
	}
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}
