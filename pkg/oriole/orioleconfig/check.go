package orioleconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// checkOverlay checks that an overlay adds and removes only services that the
// base file allows it to.
func checkOverlay(baseData []byte, overlay string, overlayData []byte) Problems {
	var base struct {
		Allow    []string                   `json:"allow"`
		Services map[string]json.RawMessage `json:"services"`
	}
	var patch struct {
		Allow      json.RawMessage            `json:"allow"`
		Workspaces json.RawMessage            `json:"workspaces"`
		Services   map[string]json.RawMessage `json:"services"`
	}
	var problems Problems
	// Both files are valid by the schema, so decoding can't fail.
	_ = json.Unmarshal(baseData, &base)
	_ = json.Unmarshal(overlayData, &patch)
	if patch.Allow != nil {
		problems = append(problems, Problem{overlay, "/allow", "only the base file may set this"})
	}
	if patch.Workspaces != nil {
		problems = append(problems, Problem{overlay, "/workspaces", "only the base file may set this"})
	}
	for name, service := range patch.Services {
		_, known := base.Services[name]
		removed := string(service) == "null"
		if known != removed || slices.Contains(base.Allow, name) {
			continue
		}
		rule := "the base file does not allow overlays to add this service"
		if removed {
			rule = "the base file does not allow overlays to remove this service"
		}
		problems = append(problems, Problem{overlay, "/services/" + name, rule})
	}
	sort.Slice(problems, func(i, j int) bool { return problems[i].Field < problems[j].Field })
	return problems
}

// checker collects the problems of the settings in one file, or in merged files.
type checker struct {
	file     string
	problems Problems
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.file, field, fmt.Sprintf(format, args...)})
}

// checkSemantics checks the rules that span several fields, which the schema
// can't express.
func checkSemantics(file string, s *Settings) Problems {
	c := &checker{file: file}
	if s.Zone != "" && !slices.Contains(s.Zones, s.Zone) {
		c.add("/zone", "zone %q is not in /zones", s.Zone)
	}
	if s.Clients.HeldMB >= s.MemoryMB {
		c.add("/clients/held", "must be below /memory, %g", s.MemoryMB)
	}
	c.checkVMs(s.VMs)
	c.checkPublished(&s.PublishedSettings)
	return c.problems
}

func (c *checker) checkVMs(vms []VM) {
	names := make(map[string]bool)
	usedBy := make(map[string]string)
	for i, vm := range vms {
		path := fmt.Sprintf("/vms/%d", i)
		if names[vm.Name] {
			c.add(path+"/name", "name %q is repeated", vm.Name)
		}
		names[vm.Name] = true
		for _, listener := range []struct{ field, addr string }{
			{"callers", vm.CallerAddr.String()},
			{"ready", vm.ReadinessAddr.String()},
			{"peers", vm.PeerAddr.String()},
			{"metrics", vm.AdminAddr.String()},
		} {
			field := path + "/" + listener.field
			if other, found := usedBy[listener.addr]; found {
				c.add(field, "address %s is taken by %s", listener.addr, other)
			}
			usedBy[listener.addr] = field
		}
	}
}

// workspaceFields are the names of a workspace's fields in settings.
var workspaceFields = map[oriole.WorkspaceField]string{
	oriole.WorkspaceFieldKeys: "keys", oriole.WorkspaceFieldPriority: "priority", oriole.WorkspaceFieldRate: "rate", oriole.WorkspaceFieldBurst: "burst",
}

// checkWorkspaces checks API keys. Its messages contain none.
func (c *checker) checkWorkspaces(workspaces []oriole.Workspace) {
	for _, w := range workspaces {
		// The name is the value of a header field.
		if name := string(w.Name); name == "" || name != strings.TrimSpace(name) || strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r > '~' }) {
			c.add("/workspaces/"+name, "name is empty, or is not printable ASCII without spaces at its ends")
		}
		for i, key := range w.Secrets {
			if strings.ContainsFunc(string(key), func(r rune) bool { return r <= ' ' || r > '~' }) {
				c.add(fmt.Sprintf("/workspaces/%s/keys/%d", w.Name, i), "has characters that are not printable ASCII, or spaces")
			}
		}
	}
	problem := oriole.CheckWorkspaces(workspaces)
	if problem == nil || problem.Field == oriole.WorkspaceFieldName {
		return
	}
	field := fmt.Sprintf("/workspaces/%s/%s", problem.Name, workspaceFields[problem.Field])
	if problem.Field == oriole.WorkspaceFieldKeys {
		field += fmt.Sprintf("/%d", problem.Key)
	}
	c.add(field, "%s", problem.Problem)
}

func (c *checker) checkPublished(p *PublishedSettings) {
	c.checkWorkspaces(p.workspaces())
	routeAt := make(map[string]string)
	for _, name := range slices.Sorted(maps.Keys(p.Routes)) {
		r := p.Routes[name]
		path := "/routes/" + name
		hostAndPrefix := strings.ToLower(r.Host) + r.Prefix
		if other, found := routeAt[hostAndPrefix]; found {
			c.add(path+"/prefix", "host and prefix are the same as in %s", other)
		}
		routeAt[hostAndPrefix] = path
		c.checkRoute(path, r, p.Services)
	}
}

func (c *checker) checkRoute(path string, r Route, services map[oriole.ServiceName]Service) {
	switch {
	case r.Service == "" && len(r.Weights) == 0:
		c.add(path+"/service", "neither service nor split is set")
	case r.Service != "" && len(r.Weights) > 0:
		c.add(path+"/split", "can't be set together with service")
	}
	if r.Service != "" {
		c.checkServiceExists(path+"/service", r.Service, services)
	}
	total := 0
	for _, name := range slices.Sorted(maps.Keys(r.Weights)) {
		c.checkServiceExists(path+"/split/"+string(name), name, services)
		total += r.Weights[name]
	}
	if len(r.Weights) > 0 && total == 0 {
		c.add(path+"/split", "sum of weights is 0")
	}
	if r.LatencyTarget > r.Timeout {
		c.add(path+"/objective", "is longer than the timeout")
	}
}

func (c *checker) checkServiceExists(field string, name oriole.ServiceName, services map[oriole.ServiceName]Service) {
	if _, found := services[name]; !found {
		c.add(field, "service %q is not in /services", name)
	}
}
