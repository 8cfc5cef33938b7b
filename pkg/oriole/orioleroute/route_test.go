package orioleroute_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleroute"
)

func routeTo(name, host, prefix string, shares ...oriole.Share) oriole.Route {
	if len(shares) == 0 {
		shares = []oriole.Share{{Service: "s", Weight: 1}}
	}
	return oriole.Route{Name: name, Host: host, Prefix: prefix, Shares: shares}
}

func TestFind(t *testing.T) {
	table := orioleroute.New([]oriole.Route{
		routeTo("short", "a.example", "/x/"),
		routeTo("long", "a.example", "/x/y/"),
		routeTo("other", "B.example", "/x/"),
	})
	for _, test := range []struct{ authority, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"a.example:8080", "/x/y/", "long"},
		{"A.EXAMPLE", "/x/", "short"},
		{"a.example.", "/x/", "short"},
		{"a.example.:8080", "/x/", "short"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/z/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		t.Run(test.authority+test.path, func(t *testing.T) {
			is := is.New(t)
			route, _, found := table.Find(test.authority, test.path)
			is.Equal(route.Name, test.want)
			is.Equal(found, test.want != "")
		})
	}
}

func TestServicesFollowWeights(t *testing.T) {
	is := is.New(t)
	table := orioleroute.New([]oriole.Route{routeTo("r", "h", "/",
		oriole.Share{Service: "a", Weight: 90}, oriole.Share{Service: "b", Weight: 10}, oriole.Share{Service: "none", Weight: 0})})
	counts := make(map[oriole.ServiceName]int)
	for range 100 {
		_, service, _ := table.Find("h", "/")
		counts[service]++
	}
	is.Equal(counts, map[oriole.ServiceName]int{"a": 90, "b": 10})
}

func ExampleTable_Find() {
	table := orioleroute.New([]oriole.Route{{
		Name: "lookups", Host: "stalls.example", Prefix: "/lookup/",
		Shares: []oriole.Share{{Service: "stall-board", Weight: 1}},
	}})
	route, service, found := table.Find("stalls.example", "/lookup/7")
	fmt.Println(route.Name, service, found)
	// Output: lookups stall-board true
}
