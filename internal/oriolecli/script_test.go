package oriolecli_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/orioleswitch/orioleswitch/internal/oriolecli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"orioleswitch":   func() { os.Exit(oriolecli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"oriolestandin":  func() { os.Exit(oriolecli.StandinMain(os.Args[1:], os.Stdout, os.Stderr)) },
		"orioletestcall": func() { os.Exit(testCall(os.Args[1:])) },
	})
}

func TestScripts(t *testing.T) {
	examples, err := filepath.Abs(filepath.Join("..", "..", "examples"))
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: filepath.Join("testdata", "script"),
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return writeSettings(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"eventually": eventually,
		},
	})
}

// eventually runs a command again until it succeeds and prints the text, if one
// is given: processes take a while to find each other.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	var text string
	if len(args) > 0 && strings.HasPrefix(args[0], "text=") {
		text = strings.TrimPrefix(args[0], "text=")
		args = args[1:]
	}
	if neg || len(args) == 0 {
		ts.Fatalf("usage: eventually [text=...] command [args...]")
	}
	const tries, pause = 150, 100 * time.Millisecond
	var err error
	for range tries {
		err = ts.Exec(args[0], args[1:]...)
		if err == nil && strings.Contains(ts.ReadFile("stdout"), text) {
			return
		}
		time.Sleep(pause)
	}
	ts.Fatalf("%v never succeeded: %v", args, err)
}

// writeSettings writes base.json, north.json and south.json for a small system
// on free ports, and sets variables with its addresses.
func writeSettings(env *testscript.Env) error {
	addrs, err := freeAddrs(12)
	if err != nil {
		return err
	}
	upstream := func(n int) map[string]string {
		return map[string]string{"name": fmt.Sprintf("u%d", n), "zone": []string{"north", "south"}[n%2], "addr": addrs[n]}
	}
	base := map[string]any{
		"name": "test", "zones": []string{"north", "south"}, "platform": addrs[4], "secret": "a-secret-for-tests",
		"services": map[string]any{"stall-board": map[string]any{
			"divided": true, "groups": 1, "slices": 8, "fenced": true,
			"upstreams": []any{upstream(0), upstream(1), upstream(2), upstream(3)},
		}},
	}
	if err := writeJSON(env, "base.json", base); err != nil {
		return err
	}
	env.Setenv("PLATFORM", addrs[4])
	for i, zone := range []string{"north", "south"} {
		vm := map[string]string{"name": zone + "-1", "callers": addrs[5+3*i], "peers": addrs[6+3*i], "operators": addrs[7+3*i]}
		if err := writeJSON(env, zone+".json", map[string]any{"zone": zone, "vms": []any{vm}}); err != nil {
			return err
		}
		env.Setenv([]string{"NORTH", "SOUTH"}[i], "http://"+vm["callers"])
		env.Setenv([]string{"NORTHPEERS", "SOUTHPEERS"}[i], "http://"+vm["peers"])
		env.Setenv([]string{"NORTHOPS", "SOUTHOPS"}[i], "http://"+vm["operators"])
	}
	env.Setenv("U0", "http://"+addrs[0])
	return nil
}

func writeJSON(env *testscript.Env, name string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, name), data, 0o600)
}

func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}
