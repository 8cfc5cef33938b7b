package oriolesoak

import (
	"encoding/json"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
)

// gracePeriod is the time that a gateway has from SIGTERM until it must have ended,
// and memoryLimitMB the memory that it may use, on the users' smallest VM.
const (
	gracePeriod   = 6 * time.Second
	memoryLimitMB = 184
)

// vm simulates a VM, on which one gateway process runs at a time.
type vm struct {
	name          string
	zone          string
	settingsPath  string
	callerAddr    netip.AddrPort
	readinessAddr netip.AddrPort
	// storeProxy is the proxy between the gateway and the store, and peerProxy the
	// one between other gateways and this one, or nil.
	storeProxy *proxy
	peerProxy  *proxy

	// lifecycleMu is held by the fault that stops and starts the gateway process.
	lifecycleMu sync.Mutex

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
	exitErr error
	// incarnation counts the processes started so far.
	incarnation int
	// paused reports whether SIGSTOP was sent, and no SIGCONT after it.
	paused bool
	// peakMB is the highest resident memory seen, in MB.
	peakMB int
}

// lockLifecycle locks lifecycleMu, and returns the function that unlocks it.
func (v *vm) lockLifecycle() (unlock func()) {
	v.lifecycleMu.Lock()
	return v.lifecycleMu.Unlock
}

// runDir is the directory with the settings and logs of a soak, and the command that
// starts a gateway.
type runDir struct {
	command []string
	path    string
}

// newVM writes the settings of a VM, and returns the VM with a function that kills
// its process and closes its proxies. Other gateways reach it through a proxy if
// proxyPeers is set.
func (d runDir) newVM(name, zone string, weight float64, store netip.AddrPort, proxyPeers bool) (v *vm, cleanup func(), err error) {
	defer func() { err = errors.Wrapf(err, "creating %s", name) }()
	addrs, err := oriolesite.FreeAddrs(4)
	if err != nil {
		return nil, nil, err
	}
	v = &vm{name: name, zone: zone, callerAddr: addrs[0], readinessAddr: addrs[1]}
	reachAddr, closePeers := addrs[2], func() {}
	var closeStore func()
	if v.storeProxy, closeStore, err = newProxy(); err != nil {
		return nil, nil, err
	}
	v.storeProxy.setTarget(store)
	if proxyPeers {
		if v.peerProxy, closePeers, err = newProxy(); err != nil {
			closeStore()
			return nil, nil, err
		}
		v.peerProxy.setTarget(addrs[2])
		reachAddr = v.peerProxy.addr
	}
	data, err := json.Marshal(struct {
		VM      string         `json:"vm"`
		Zone    string         `json:"zone"`
		Callers netip.AddrPort `json:"callers"`
		Ready   netip.AddrPort `json:"ready"`
		Peers   netip.AddrPort `json:"peers"`
		Reach   netip.AddrPort `json:"reach"`
		Metrics netip.AddrPort `json:"metrics"`
		Store   netip.AddrPort `json:"store"`
		Weight  float64        `json:"weight"`
		Memory  int            `json:"memory"`
		Grace   string         `json:"grace"`
	}{name, zone, v.callerAddr, v.readinessAddr, addrs[2], reachAddr, addrs[3], v.storeProxy.addr, weight, memoryLimitMB, gracePeriod.String()})
	if err != nil {
		return nil, nil, err
	}
	v.settingsPath = filepath.Join(d.path, name+".json")
	cleanup = func() {
		defer v.lockLifecycle()()
		v.signal(syscall.SIGKILL)
		v.wait(gracePeriod)
		closeStore()
		closePeers()
	}
	return v, cleanup, os.WriteFile(v.settingsPath, data, 0o600)
}

// startGateway starts a gateway process on the VM.
func (d runDir) startGateway(v *vm) (err error) {
	defer func() { err = errors.Wrapf(err, "starting %s", v.name) }()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.incarnation++
	logFile, err := os.Create(filepath.Join(d.path, v.name+"."+strconv.Itoa(v.incarnation)+".log"))
	if err != nil {
		return err
	}
	args := append(append([]string(nil), d.command[1:]...), "run", "--settings", v.settingsPath)
	cmd := exec.Command(d.command[0], args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, logFile.Close().Error())
	}
	v.process, v.paused = cmd.Process, false
	ended := make(chan struct{})
	v.ended = ended
	go func() {
		err := cmd.Wait()
		// The log is complete once the process has ended.
		_ = logFile.Close()
		v.mu.Lock()
		v.exitErr = err
		v.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the gateway process, if one was started.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	v.paused = (v.paused || sig == syscall.SIGSTOP) && sig != syscall.SIGCONT
	// An error means that the process has already ended.
	_ = v.process.Signal(sig)
}

// wait waits until the process has ended, and reports false on timeout.
func (v *vm) wait(timeout time.Duration) bool {
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// currentIncarnation returns the number of processes started so far.
func (v *vm) currentIncarnation() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.incarnation
}

// samplePeakMemory updates peakMB from the process's peak resident set size.
func (v *vm) samplePeakMemory() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.process == nil {
		return
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(v.process.Pid) + "/status")
	if err != nil {
		// The process has ended.
		return
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmHWM:" {
			continue
		}
		if kb, err := strconv.Atoi(fields[1]); err == nil {
			v.peakMB = max(v.peakMB, kb>>10)
		}
	}
}
