package oriolesite

import "github.com/orioleswitch/orioleswitch/pkg/oriole"

// PublicRoute is the route of ConfigureKeys whose requests need no API key.
const PublicRoute = "open"

// ConfigureKeys writes the initial configuration with one workspace that has the API keys,
// and with a public route.
func (s *Site) ConfigureKeys(keys ...string) error {
	cfg := Configuration(0, ShardedService, UnshardedService)
	workspace := oriole.Workspace{Name: "meadow"}
	for _, key := range keys {
		workspace.Secrets = append(workspace.Secrets, oriole.Secret(key))
	}
	cfg.Keyed, cfg.Workspaces = true, []oriole.Workspace{workspace}
	public := newRoute(PublicRoute, ShardedService, true)
	public.Public = true
	cfg.Routes = append(cfg.Routes, public)
	return s.configure(cfg)
}
