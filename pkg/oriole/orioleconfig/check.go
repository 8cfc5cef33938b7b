package orioleconfig

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// checkOverlay checks that an overlay adds and removes only the services that
// the base file allows.
func checkOverlay(baseData []byte, overlay string, overlayData []byte) Problems {
	var base struct {
		Allow    []string                   `json:"allow"`
		Services map[string]json.RawMessage `json:"services"`
	}
	var patch struct {
		Allow    json.RawMessage            `json:"allow"`
		Services map[string]json.RawMessage `json:"services"`
	}
	var problems Problems
	// Both have passed the schema, so decoding can't fail.
	_ = json.Unmarshal(baseData, &base)
	_ = json.Unmarshal(overlayData, &patch)
	if patch.Allow != nil {
		problems = append(problems, Problem{overlay, "/allow", "only the base file may set this"})
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

// checker collects the problems of one set of merged settings.
type checker struct {
	file     string
	problems Problems
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{c.file, field, fmt.Sprintf(format, args...)})
}

// checkSums checks what no single field shows.
func checkSums(file string, s *Settings) Problems {
	c := &checker{file: file}
	c.checkLease(s.Lease)
	for i, zone := range s.Out {
		if !slices.Contains(s.Zones, zone) {
			c.add(fmt.Sprintf("/out/%d", i), "zone %q is not in /zones", zone)
		}
	}
	if s.Zone != "" && !slices.Contains(s.Zones, s.Zone) {
		c.add("/zone", "zone %q is not in /zones", s.Zone)
	}
	c.checkVMs(s.VMs)
	names := make(map[oriole.ServerID]string)
	for _, name := range sortedServices(s) {
		c.checkService(s, name, names)
	}
	return c.problems
}

func sortedServices(s *Settings) []oriole.ServiceName {
	var names []oriole.ServiceName
	for name := range s.Services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (c *checker) checkLease(l Lease) {
	if 2*l.Beat >= l.Silence {
		c.add("/lease/silence", "%v must be more than two beats of %v", time.Duration(l.Silence), time.Duration(l.Beat))
	}
	if l.Silence >= l.Span {
		c.add("/lease/span", "%v must be longer than the silence of %v", time.Duration(l.Span), time.Duration(l.Silence))
	}
	if l.Alone < l.Span {
		c.add("/lease/alone", "%v must not be shorter than the span of %v", time.Duration(l.Alone), time.Duration(l.Span))
	}
}

func (c *checker) checkVMs(vms []VM) {
	seen := make(map[string]bool)
	for i, vm := range vms {
		if seen[vm.Name] {
			c.add(fmt.Sprintf("/vms/%d/name", i), "name %q is repeated", vm.Name)
		}
		seen[vm.Name] = true
	}
}

func (c *checker) checkService(s *Settings, name oriole.ServiceName, names map[oriole.ServerID]string) {
	service := s.Services[name]
	path := "/services/" + string(name)
	if service.Groups > len(service.Upstreams) {
		c.add(path+"/groups", "%d groups need as many upstreams, there are %d", service.Groups, len(service.Upstreams))
	}
	if service.Divided && service.Slices < service.Groups {
		c.add(path+"/slices", "%d slices are fewer than %d groups", service.Slices, service.Groups)
	}
	if !service.Divided && service.Slices != 0 {
		c.add(path+"/slices", "only a divided service has slices")
	}
	if service.Cold > service.Slots {
		c.add(path+"/cold", "%d is above the %d slots of a warm upstream", service.Cold, service.Slots)
	}
	// Besides the slots, a keeper holds one connection for grants, and the
	// former keeper's may still be open.
	if need := 2 * (service.Slots + 1); need > service.Conns {
		c.add(path+"/conns", "a keeper and its predecessor hold %d connections, the upstream takes %d", need, service.Conns)
	}
	for i, u := range service.Upstreams {
		field := fmt.Sprintf("%s/upstreams/%d", path, i)
		if other, found := names[u.Name]; found {
			c.add(field+"/name", "name %q is taken by %s", u.Name, other)
		}
		names[u.Name] = field
		if !slices.Contains(s.Zones, u.Zone) {
			c.add(field+"/zone", "zone %q is not in /zones", u.Zone)
		}
	}
}
