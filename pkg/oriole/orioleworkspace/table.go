// Package orioleworkspace decides which workspace a request belongs to.
package orioleworkspace

import "github.com/orioleswitch/orioleswitch/pkg/oriole"

// Table finds the workspaces of one configuration by their API keys.
type Table struct {
	workspaces map[oriole.KeyDigest]oriole.Workspace
}

// New returns the table of the configuration, or nil if requests need no key.
func New(cfg *oriole.Config) *Table {
	if !cfg.Keyed {
		return nil
	}
	t := &Table{workspaces: make(map[oriole.KeyDigest]oriole.Workspace)}
	for _, w := range cfg.Workspaces {
		for _, key := range w.Keys {
			t.workspaces[key] = w
		}
	}
	return t
}

// Find returns the workspace that the key belongs to.
func (t *Table) Find(key oriole.KeyDigest) (w oriole.Workspace, found bool) {
	w, found = t.workspaces[key]
	return w, found
}

const (
	// routePriorities is the number of priorities of routes that are told apart within a
	// workspace's priority.
	routePriorities = 32
	// maxPriority is the lowest priority of a workspace that is told apart from lower
	// ones. It keeps the product below the limits of an int: an overflow would turn the
	// lowest priority into the highest.
	maxPriority = 1 << 20
)

// Priority returns the priority of a request: that of its workspace, and within it that
// of its route. Without a workspace it ranks as one of workspace priority 0.
func Priority(w oriole.Workspace, route oriole.Route) int {
	return min(w.Priority, maxPriority)*routePriorities + min(max(route.Priority, 0), routePriorities-1)
}

// Revoked reports whether the configuration, which is newer than the one that admitted
// the request, has revoked the request's API key. A key that now belongs to another
// workspace is revoked as well: the request names the workspace that it belonged to.
func Revoked(cfg *oriole.Config, r *oriole.Request) bool {
	if !r.Keyed || r.Workspace == "" || cfg == nil || !cfg.Keyed || cfg.Version <= r.AdmittedBy {
		return false
	}
	for _, w := range cfg.Workspaces {
		if w.Name != r.Workspace {
			continue
		}
		for _, key := range w.Keys {
			if key == r.Key {
				return false
			}
		}
	}
	return true
}
