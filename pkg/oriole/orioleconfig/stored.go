package orioleconfig

import (
	"encoding/json"
	"fmt"
	"slices"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// Overlay returns the settings that follow when the base file's contents change
// and the overlay stays.
func Overlay(base []byte, overlay string, overlayData []byte) (Settings, error) {
	return Parse("base", base, overlay, overlayData)
}

// CheckChange returns Problems if the new settings differ from the old ones in
// what can't change while the system runs: the tables of owners refer to the
// services' groups, slices and upstreams by their places.
func CheckChange(old, next *Settings) error {
	c := &checker{file: "settings"}
	if !slices.Equal(old.Zones, next.Zones) {
		c.add("/zones", "can't change while the system runs")
	}
	if old.Lease != next.Lease {
		c.add("/lease", "can't change while the system runs")
	}
	if old.Platform != next.Platform || old.Secret != next.Secret {
		c.add("/platform, /secret", "can't change while the system runs")
	}
	live := next.Limits
	live.Body, live.Open = old.Limits.Body, old.Limits.Open
	if live != old.Limits {
		c.add("/limits", "only body and open can change while the system runs")
	}
	for _, name := range sortedServices(next) {
		if _, found := old.Services[name]; !found {
			c.add("/services/"+string(name), "can't be added while the system runs")
		}
	}
	for _, name := range sortedServices(old) {
		c.checkServiceChange(name, old.Services[name], next.Services)
	}
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

func (c *checker) checkServiceChange(name oriole.ServiceName, old Service, services map[oriole.ServiceName]Service) {
	path := "/services/" + string(name)
	next, found := services[name]
	if !found {
		c.add(path, "can't be removed while the system runs")
		return
	}
	if old.Divided != next.Divided || old.Slices != next.Slices || old.Groups != next.Groups || old.Fenced != next.Fenced {
		c.add(path, "divided, slices, groups and fenced can't change while the system runs")
	}
	if old.Slots != next.Slots || old.Cold != next.Cold || old.Conns != next.Conns || old.Pick != next.Pick {
		c.add(path, "slots, cold, conns and pick can't change while the system runs")
	}
	same := func(a, b Upstream) bool { return a.Name == b.Name && a.Zone == b.Zone && a.Addr == b.Addr }
	if !slices.EqualFunc(old.Upstreams, next.Upstreams, same) {
		c.add(path+"/upstreams", "only drain can change while the system runs")
	}
}

// SetZone returns the base file's contents with the availability zone taken
// out, or back in.
func SetZone(base []byte, zone oriole.ZoneName, out bool) (changed []byte, err error) {
	defer func() { err = errors.Wrapf(err, "changing zone %s", zone) }()
	var current struct {
		Zones []oriole.ZoneName `json:"zones"`
		Out   []oriole.ZoneName `json:"out"`
	}
	if err := json.Unmarshal(base, &current); err != nil {
		return nil, err
	}
	if !slices.Contains(current.Zones, zone) {
		return nil, errors.Errorf("there is no such zone; there are %v", current.Zones)
	}
	if slices.Contains(current.Out, zone) == out {
		state := "in already"
		if out {
			state = "out already"
		}
		return nil, errors.Errorf("the zone is %s", state)
	}
	if out {
		current.Out = append(current.Out, zone)
	} else {
		current.Out = slices.DeleteFunc(current.Out, func(z oriole.ZoneName) bool { return z == zone })
	}
	if out && len(current.Out) == len(current.Zones) {
		return nil, errors.New("it is the last zone that is in")
	}
	list, err := json.Marshal(current.Out)
	if err != nil {
		return nil, err
	}
	if current.Out == nil {
		list = []byte("[]")
	}
	return jsonpatch.MergePatch(base, fmt.Appendf(nil, `{"out":%s}`, list))
}
