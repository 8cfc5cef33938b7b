package orioleconfig_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

const base = `{
  "name": "n", "zones": ["a", "b"], "platform": "127.0.0.1:1", "allow": ["extra"],
  "services": {
    "s": {"divided": true, "groups": 1, "slices": 4, "upstreams": [
      {"name": "u1", "zone": "a", "addr": "127.0.0.1:2"}, {"name": "u2", "zone": "b", "addr": "127.0.0.1:3"}]},
    "extra": {"divided": false, "groups": 1, "upstreams": [{"name": "e1", "zone": "a", "addr": "127.0.0.1:4"}]}
  }
}`

func TestProblems(t *testing.T) {
	tests := []struct {
		name    string
		base    string
		overlay string
		// want are parts of the error: file, field and rule.
		want []string
	}{
		{"good", base, `{"zone": "a"}`, nil},
		{"allowed removal", base, `{"services": {"extra": null}}`, nil},
		{"unknown field", strings.Replace(base, `"name": "n"`, `"name": "n", "nope": 1`, 1), "", []string{"base.json", "nope"}},
		{"repeated field", strings.Replace(base, `"name": "n"`, `"name": "n", "name": "m"`, 1), "", []string{"/name", "repeated"}},
		{"trailing data", base + "{}", "", []string{"after the end"}},
		{"cut off", base[:100], "", []string{"base.json"}},
		{"wrong type", strings.Replace(base, `"groups": 1, "slices"`, `"groups": "1", "slices"`, 1), "", []string{"/services/s/groups"}},
		{"bad duration", strings.Replace(base, `"allow"`, `"lease": {"span": "5"}, "allow"`, 1), "", []string{"/lease/span", "unit"}},
		{"negative duration", strings.Replace(base, `"allow"`, `"lease": {"span": "-5s"}, "allow"`, 1), "", []string{"/lease/span", "above 0"}},
		{"bad address", strings.Replace(base, "127.0.0.1:2", "127.0.0.1", 1), "", []string{"/services/s/upstreams/0/addr"}},
		{"all at once", strings.NewReplacer("127.0.0.1:2", "x", "127.0.0.1:3", "y").Replace(base), "", []string{"upstreams/0/addr", "upstreams/1/addr"}},
		{"unknown zone", base, `{"zone": "c"}`, []string{"/zone", `"c"`}},
		{"unknown zone of an upstream", strings.Replace(base, `"zone": "b"`, `"zone": "c"`, 1), "", []string{"/services/s/upstreams/1/zone"}},
		{"service added", base, `{"services": {"new": {"divided": false}}}`, []string{"overlay.json", "/services/new", "add"}},
		{"service removed", base, `{"services": {"s": null}}`, []string{"overlay.json", "/services/s", "remove"}},
		{"allow in overlay", base, `{"allow": ["s"]}`, []string{"overlay.json", "/allow"}},
		{"too many groups", strings.Replace(base, `"groups": 1, "slices"`, `"groups": 3, "slices"`, 1), "", []string{"/services/s/groups"}},
		{"too few connections", base, `{"services": {"s": {"conns": 3}}}`, []string{"/services/s/conns"}},
		{"silence against span", base, `{"lease": {"silence": "600ms"}}`, []string{"/lease/span"}},
		{"name taken twice", strings.Replace(base, `"u2"`, `"u1"`, 1), "", []string{"/services/s/upstreams/1/name", "u1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var overlay []byte
			if test.overlay != "" {
				overlay = []byte(test.overlay)
			}
			_, err := orioleconfig.Parse("base.json", []byte(test.base), "overlay.json", overlay)
			if test.want == nil {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("%q is not in: %v", part, err)
				}
			}
		})
	}
}

func TestGroupsCoverAllServersAndSlices(t *testing.T) {
	is := is.New(t)
	settings, err := orioleconfig.Load(example("derwent/base.json"), example("derwent/granton.json"))
	is.NoErr(err)
	servers, slices := 0, 0
	for _, g := range settings.Groups() {
		zones := make(map[oriole.ZoneName]bool)
		for _, server := range g.Servers {
			zones[server.Zone] = true
		}
		is.True(len(zones) >= 2) // a group must survive the loss of a zone
		servers += len(g.Servers)
		slices += g.Slices
	}
	is.Equal(servers, 33)
	is.Equal(slices, settings.Services["stall-board"].Slices)
	service := settings.Services["stall-board"]
	seen := make(map[oriole.GroupID]map[oriole.Slice]bool)
	for slice := range service.Slices {
		group, index := service.Locate("stall-board", oriole.Slice(slice))
		if seen[group] == nil {
			seen[group] = make(map[oriole.Slice]bool)
		}
		is.True(!seen[group][index]) // two slices must not share a place
		seen[group][index] = true
	}
}

func example(path string) string { return filepath.Join("..", "..", "..", "examples", path) }

// FuzzParse checks that no settings file breaks the parser.
func FuzzParse(f *testing.F) {
	f.Add([]byte(base), []byte(`{"zone": "a"}`))
	f.Add([]byte(`{`), []byte(`[]`))
	f.Fuzz(func(t *testing.T, base, overlay []byte) {
		_, _ = orioleconfig.Parse("base.json", base, "overlay.json", overlay)
	})
}

// TestOperatorsPageHasEverySetting checks the page against the schema.
func TestOperatorsPageHasEverySetting(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "OPERATE.md"))
	is.NoErr(err)
	var schema struct {
		Properties map[string]described `json:"properties"`
		Defs       map[string]struct {
			Properties map[string]described `json:"properties"`
		} `json:"$defs"`
	}
	is.NoErr(json.Unmarshal(orioleconfig.Schema, &schema))
	all := []map[string]described{schema.Properties}
	for _, def := range schema.Defs {
		all = append(all, def.Properties)
	}
	for _, properties := range all {
		for name, property := range properties {
			if property.Description != "" && !strings.Contains(string(page), property.Description) {
				t.Errorf("docs/OPERATE.md does not describe %s: %s", name, property.Description)
			}
		}
	}
}

type described struct {
	Description string `json:"description"`
}

func TestChangesWhileTheSystemRuns(t *testing.T) {
	tests := []struct {
		name    string
		replace []string
		// want is a part of the error, or empty if the change is allowed.
		want string
	}{
		{"nothing", nil, ""},
		{"drain", []string{`"name": "u1"`, `"drain": true, "name": "u1"`}, ""},
		{"deadline", []string{`"slices": 4`, `"slices": 4, "deadline": "1s"`}, ""},
		{"zone out", []string{`"allow"`, `"out": ["a"], "allow"`}, ""},
		{"zones", []string{`["a", "b"]`, `["a", "b", "c"]`}, "/zones"},
		{"slices", []string{`"slices": 4`, `"slices": 8`}, "/services/s"},
		{"slots", []string{`"slices": 4`, `"slices": 4, "slots": 4`}, "slots"},
		{"address", []string{"127.0.0.1:2", "127.0.0.1:9"}, "/services/s/upstreams"},
		{"lease", []string{`"allow"`, `"lease": {"span": "1s"}, "allow"`}, "/lease"},
		{"queue", []string{`"allow"`, `"limits": {"queued": 9}, "allow"`}, "/limits"},
		{"platform", []string{"127.0.0.1:1", "127.0.0.1:99"}, "/platform"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			old, err := orioleconfig.Parse("base", []byte(base), "", nil)
			is.NoErr(err)
			next, err := orioleconfig.Parse("base", []byte(strings.NewReplacer(test.replace...).Replace(base)), "", nil)
			is.NoErr(err)
			err = orioleconfig.CheckChange(&old, &next)
			is.Equal(err == nil, test.want == "")
			if err != nil {
				is.True(strings.Contains(err.Error(), test.want))
			}
		})
	}
}

func TestSetZone(t *testing.T) {
	is := is.New(t)
	out, err := orioleconfig.SetZone([]byte(base), "a", true)
	is.NoErr(err)
	settings, err := orioleconfig.Parse("base", out, "", nil)
	is.NoErr(err)
	is.Equal(settings.Out, []oriole.ZoneName{"a"})
	is.Equal(settings.OutServers(settings.Groups()[1]), []bool{true, false})
	_, err = orioleconfig.SetZone(out, "b", true)
	is.True(err != nil) // one zone must stay
	_, err = orioleconfig.SetZone(out, "a", true)
	is.True(err != nil) // it is out already
	back, err := orioleconfig.SetZone(out, "a", false)
	is.NoErr(err)
	settings, err = orioleconfig.Parse("base", back, "", nil)
	is.NoErr(err)
	is.Equal(len(settings.Out), 0)
}
