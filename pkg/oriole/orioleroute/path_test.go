package orioleroute_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleroute"
)

// TestRouteOfTarget guards against sending a request to the service of another route,
// since the path was matched in another form than the one that is sent.
func TestRouteOfTarget(t *testing.T) {
	table := orioleroute.New([]oriole.Route{routeTo("stalls", "a.example", "/stalls/"), routeTo("tow", "a.example", "/stalls/tow/")})
	for _, test := range []struct{ target, want string }{
		{"/stalls/7", "stalls"},
		{"/stalls/tow/7", "tow"},
		{"/stalls/tow/7?next=/stalls/", "tow"},
		{"/stalls/tow%2F7", "stalls"},
		{"/stalls/tow%2f7", "stalls"},
		{"/stalls%2Ftow/7", ""},
		{"/stalls/t%6Fw/7", "stalls"},
		{"/stalls/%2e%2e/stalls/tow/7", "stalls"},
		{"/stalls/../stalls/tow/7", "stalls"},
		{"/stalls//tow/7", "stalls"},
		{"//stalls/tow/7", ""},
		{"/stalls/tow;a=b/7", "stalls"},
		{"/stalls/tow\\7", "stalls"},
		{"/stalls/tow/%ff", "tow"},
		{"/stalls/tow/\xff", "tow"},
		{"/stalls/tow?/", "stalls"},
		{"http://a.example/stalls/tow/7", "tow"},
		{"http://a.example/stalls/tow%2F7", "stalls"},
		{"http://a.example", ""},
		{"/", ""},
		{"*", ""},
		{"", ""},
	} {
		t.Run(test.target, func(t *testing.T) {
			is := is.New(t)
			route, _, found := table.Find("a.example", orioleroute.PathOf(test.target))
			is.Equal(route.Name, test.want)
			is.Equal(found, test.want != "")
		})
	}
}

// FuzzRouteOfTarget checks that the route's prefix begins the path that is sent.
func FuzzRouteOfTarget(f *testing.F) {
	for _, target := range []string{"/stalls/tow%2F7", "/stalls/tow/7?a=/b", "http://a.example/stalls/tow/7", "*", "//x", "/stalls/../x", "/\xff"} {
		f.Add(target)
	}
	table := orioleroute.New([]oriole.Route{routeTo("stalls", "a.example", "/stalls/"), routeTo("tow", "a.example", "/stalls/tow/")})
	f.Fuzz(func(t *testing.T, target string) {
		path := orioleroute.PathOf(target)
		route, _, found := table.Find("a.example", path)
		if !strings.Contains(target, path) || strings.Contains(path, "?") {
			t.Fatalf("%q: path %q is not that of the target", target, path)
		}
		if found && !strings.HasPrefix(path, route.Prefix) {
			t.Fatalf("%q: prefix %q doesn't begin the path %q", target, route.Prefix, path)
		}
		if path != "" && !strings.HasPrefix(path, "/") {
			t.Fatalf("%q: path %q", target, path)
		}
	})
}
