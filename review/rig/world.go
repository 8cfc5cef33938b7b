package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings of the deployment, as in the example of the users' DEPLOY page.
const (
	memoryMB     = 284
	graceSeconds = 6
	host         = "ficu95.example"
)

// world is one deployment with its record.
type world struct {
	trouble bool
	started time.Time
	dir     string
	store   string

	mu       sync.Mutex
	record   *os.File
	gateways []*gateway
	procs    []*exec.Cmd
}

func newWorld(record string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{trouble: trouble, started: time.Now(), dir: dir, record: file}, nil
}

// close ends all processes of the world.
func (w *world) close() {
	w.mu.Lock()
	procs := w.procs
	w.mu.Unlock()
	for _, p := range procs {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// since returns the time since the start of the world.
func (w *world) since(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// note writes a line to the record and to standard output.
func (w *world) note(format string, args ...any) {
	line := w.log(format, args...)
	fmt.Print(line)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) string {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.record.WriteString(line)
	return line
}

// The ports of the deployment are below those that the system gives to outgoing
// connections.
const (
	firstPort = 18000
	lastPort  = 31999
)

// freeAddr returns a loopback address that was free a moment ago.
func freeAddr() (string, error) {
	for range 100 {
		addr := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort+1))
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		return addr, l.Close()
	}
	return "", errors.New("no free port")
}

// start starts a process whose output goes to a file.
func (w *world) start(logName, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	// A process does not outlive the rig.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs = append(w.procs, cmd)
	return cmd, nil
}

// startStore starts the project's stand-in of the platform's store.
func (w *world) startStore() error {
	addr, err := freeAddr()
	if err != nil {
		return err
	}
	w.store = addr
	if _, err := w.start("store.log", "target/oriolestandin", "store", "--listen", addr); err != nil {
		return err
	}
	for range 100 {
		resp, err := http.Get("http://" + addr + "/-/objects/config")
		if err == nil {
			return resp.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the store does not answer: %w", err)
}

// storeObject is an object of the store as a writer sends it.
type storeObject struct {
	Metadata struct{ Name string }
	Spec     any
}

// put creates or replaces an object of the store.
func (w *world) put(kind, name string, spec any) error {
	o := storeObject{Spec: spec}
	o.Metadata.Name = name
	data, err := json.Marshal(o)
	if err != nil {
		return err
	}
	base := "http://" + w.store + "/-/objects/" + kind
	for _, call := range []struct{ method, url string }{{http.MethodPut, base + "/" + name}, {http.MethodPost, base}} {
		req, err := http.NewRequest(call.method, call.url, bytes.NewReader(data))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusCreated {
			return nil
		}
	}
	return fmt.Errorf("the store refused %s/%s", kind, name)
}

// service is one service of the deployment, with one route. Services of the same name
// are routes of one service.
type service struct {
	name, prefix string
	sharded      bool
	idempotent   bool
	timeout      time.Duration
}

// putConfig writes the deployment's only config.
func (w *world) putConfig(services []service) error {
	type table = map[string]any
	var clusters, rules []table
	for i, s := range services {
		cluster := table{
			"Name": s.name, "Protocol": "h1", "HealthPath": "/healthz", "MaxConns": 120, "ColdS": 3, "ColdPerS": 6.7,
			"Sharded": s.sharded, "WarmS": 0, "Tls": false,
		}
		if s.sharded {
			cluster["Grants"] = "rpc"
		}
		if !slices.ContainsFunc(services[:i], func(other service) bool { return other.name == s.name }) {
			clusters = append(clusters, cluster)
		}
		kind := "non_idempotent"
		if s.idempotent {
			kind = "idempotent"
		}
		rules = append(rules, table{
			"Name": "r-" + s.name, "Kind": kind, "TargetLatencyMs": 400, "Priority": 1, "Match": table{"PathPrefix": s.prefix},
			"Action": table{"Service": s.name, "TimeoutMs": s.timeout.Milliseconds(), "MaxAttempts": 2},
		})
	}
	return w.put("config", "main", table{
		"Version":   7,
		"Limits":    table{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Listeners": []table{{"Host": host, "Rules": rules}}, "Clusters": clusters,
	})
}

// gateway is one machine that runs the project's gateway.
type gateway struct {
	w                    *world
	name, settings       string
	front, ready         string
	mu                   sync.Mutex
	cmd                  *exec.Cmd
	peakMB               float64
	killedForMemory      int
	stopWatching, exited chan struct{}
}

// startGateway starts a gateway on a machine of its own, and watches its memory as
// the platform does: a process that exceeds the limit is killed and started again.
func (w *world) startGateway(name, zone string) (*gateway, error) {
	addrs := make([]string, 4)
	for i := range addrs {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	settings := filepath.Join(w.dir, name+".json")
	data, err := json.Marshal(map[string]any{
		"vm": name, "zone": zone, "callers": addrs[0], "ready": addrs[1], "peers": addrs[2], "metrics": addrs[3], "store": w.store,
		"weight": 0.32, "memory": memoryMB, "grace": strconv.Itoa(graceSeconds) + "s",
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return nil, err
	}
	g := &gateway{w: w, name: name, settings: settings, front: addrs[0], ready: addrs[1], stopWatching: make(chan struct{}), exited: make(chan struct{})}
	if err := g.start(); err != nil {
		return nil, err
	}
	go g.watchMemory()
	w.gateways = append(w.gateways, g)
	return g, nil
}

func (g *gateway) start() error {
	cmd, err := g.w.start(g.name+".log", "target/orioleswitch", "run", "--settings", g.settings)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd = cmd
	return nil
}

// memoryPollInterval is how often the resident memory of a gateway is read.
const memoryPollInterval = 10 * time.Millisecond

// restartDelay is the time after which the platform starts a killed process again.
const restartDelay = 500 * time.Millisecond

func (g *gateway) watchMemory() {
	defer close(g.exited)
	for {
		select {
		case <-g.stopWatching:
			return
		case <-time.After(memoryPollInterval):
		}
		g.mu.Lock()
		cmd := g.cmd
		g.mu.Unlock()
		mb := residentMB(cmd.Process.Pid)
		g.peakMB = max(g.peakMB, mb)
		if mb <= memoryMB {
			continue
		}
		g.killedForMemory++
		g.w.note("%s has %.0f MB of %d MB: killed, and started again", g.name, mb, memoryMB)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			g.w.note("%s does not start again: %v", g.name, err)
			return
		}
	}
}

// endWatch ends the watch of the gateway's memory.
func (g *gateway) endWatch() {
	close(g.stopWatching)
	<-g.exited
}

// residentMB returns the resident memory of a process, or 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 64)
			if err == nil {
				return kb / 1024
			}
		}
	}
	return 0
}

// awaitReady waits until all gateways are ready.
func (w *world) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range w.gateways {
		for {
			resp, err := http.Get("http://" + g.ready + "/-/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
