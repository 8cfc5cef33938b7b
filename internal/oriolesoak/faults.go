package oriolesoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// fault is a failure or an operator action that a soak injects.
type fault struct {
	name string
	// planned faults are operator actions, which callers must not notice.
	planned bool
	// run injects the fault and returns when it is over.
	run func(h *harness) error
}

// faults lists the faults that a soak draws from at random.
var faults = []fault{
	{"stop", true, stopGateway},
	{"hangup", true, func(h *harness) error { h.randomVM().signal(syscall.SIGHUP); return nil }},
	{"configuration", true, changeConfig},
	{"drain", true, drainUpstream},
	{"join", true, func(h *harness) error { return h.addUpstream(oriolesite.ShardedService) }},
	{"evacuate zone", true, evacuateZone},
	{"kill", false, killGateway},
	{"kill all gateways", false, killAllGateways},
	{"kill all gateways twice", false, killAllGatewaysTwice},
	{"pause", false, pauseGateway},
	{"crash", false, crashUpstream},
	{"crash and restart at once", false, func(h *harness) error { return crashUpstreamFor(h, 0) }},
	{"store down", false, func(h *harness) error {
		h.store.SetDown(true)
		time.Sleep(h.randomDuration(500*time.Millisecond, 6*time.Second))
		h.store.SetDown(false)
		return nil
	}},
	{"store drops responses", false, func(h *harness) error {
		h.store.SetDropResponses(true)
		time.Sleep(h.randomDuration(500*time.Millisecond, 4*time.Second))
		h.store.SetDropResponses(false)
		return nil
	}},
	{"store compacts its history", false, func(h *harness) error { h.store.Compact(); return nil }},
	{"store network fault", false, func(h *harness) error {
		return injectGatewayNetworkFault(h, "store of ", h.randomVM(), func(v *vm) *proxy { return v.storeProxy })
	}},
	{"peer network fault", false, func(h *harness) error {
		proxied := h.vms[:min(len(h.vms), maxPeerProxies)]
		return injectGatewayNetworkFault(h, "links to ", h.randomVMOf(proxied), func(v *vm) *proxy { return v.peerProxy })
	}},
	{"upstream network fault", false, injectUpstreamNetworkFault},
}

// storeRestored is drawn as often as one of faults.
var storeRestored = fault{"store restored", false, restoreStore}

// restoreStore takes the store down for a moment, and restores it from one of the kept
// copies.
func restoreStore(h *harness) error {
	h.mu.Lock()
	b := h.backups[h.rng.IntN(len(h.backups))]
	h.mu.Unlock()
	h.log("store down, to be restored from a copy %v old", time.Since(b.takenAt).Round(time.Millisecond))
	h.store.SetDown(true)
	time.Sleep(h.randomDuration(200*time.Millisecond, 3*time.Second))
	h.store.Restore(b.content)
	h.store.SetDown(false)
	h.log("store restored")
	return nil
}

// stopGateway shuts a gateway down with SIGTERM, and restarts it.
func stopGateway(h *harness) error {
	v := h.randomVM()
	defer v.lockLifecycle()()
	h.mu.Lock()
	h.stoppedAt[v.name] = time.Now()
	h.mu.Unlock()
	h.log("stop %s", v.name)
	v.signal(syscall.SIGTERM)
	if !v.wait(gracePeriod + time.Second) {
		v.mu.Lock()
		paused := v.paused
		v.mu.Unlock()
		// A paused process does not handle SIGTERM.
		if !paused {
			h.addViolation("%s is still running %v after SIGTERM", v.name, gracePeriod+time.Second)
		}
		v.signal(syscall.SIGKILL)
		v.wait(gracePeriod)
	}
	return h.runDir.startGateway(v)
}

// killGateway kills a gateway, and restarts it after a random time.
func killGateway(h *harness) error {
	v := h.randomVM()
	defer v.lockLifecycle()()
	h.log("kill %s", v.name)
	v.signal(syscall.SIGKILL)
	v.wait(gracePeriod)
	time.Sleep(h.randomDuration(100*time.Millisecond, 4*time.Second))
	return h.runDir.startGateway(v)
}

// killAllGateways kills all gateways, and restarts them after a random time.
func killAllGateways(h *harness) error {
	return h.killAllGateways(1)
}

// killAllGatewaysTwice kills the gateways again while they elect leaders, when
// terms start shortly after each other.
func killAllGatewaysTwice(h *harness) error {
	return h.killAllGateways(2)
}

// killAllGateways kills and restarts all gateways the given number of times,
// within two seconds of each other.
func (h *harness) killAllGateways(times int) error {
	for _, v := range h.vms {
		defer v.lockLifecycle()()
	}
	for i := range times {
		if i > 0 {
			time.Sleep(h.randomDuration(600*time.Millisecond, 1600*time.Millisecond))
		}
		h.log("kill all gateways")
		for _, v := range h.vms {
			v.signal(syscall.SIGKILL)
		}
		if i == times-1 {
			time.Sleep(h.randomDuration(100*time.Millisecond, 2*time.Second))
		}
		for _, v := range h.vms {
			v.wait(gracePeriod)
			if err := h.runDir.startGateway(v); err != nil {
				return err
			}
		}
	}
	return nil
}

// pauseGateway pauses a gateway with SIGSTOP for a random time. After SIGCONT the
// gateway resumes with stale state.
func pauseGateway(h *harness) error {
	v, duration := h.randomVM(), h.randomDuration(300*time.Millisecond, 8*time.Second)
	h.log("pause %s for %v", v.name, duration)
	v.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	h.mu.Lock()
	h.resumedAt = time.Now()
	h.mu.Unlock()
	v.signal(syscall.SIGCONT)
	return nil
}

func crashUpstream(h *harness) error {
	return crashUpstreamFor(h, h.randomDuration(200*time.Millisecond, 5*time.Second))
}

// crashUpstreamFor crashes an upstream, and restarts it with the same ID after the
// downtime.
func crashUpstreamFor(h *harness, downtime time.Duration) error {
	u := h.randomUpstream()
	if u == nil {
		return nil
	}
	h.log("%s crashes for %v", u.id, downtime)
	u.mu.Lock()
	server, kill := u.server, u.kill
	u.mu.Unlock()
	kill()
	if downtime > settleTime {
		// The platform expires the store entry of an upstream that is down this long.
		// The fake store has no expiry.
		if err := server.Deregister(); err != nil {
			return err
		}
	}
	time.Sleep(downtime)
	return h.startUpstream(u)
}

// drainTimeout is how long an upstream may still get new requests after it starts
// draining, and loadSlack the extra time allowed for the load on the test machine.
const (
	drainTimeout = 2 * time.Second
	loadSlack    = 500 * time.Millisecond
)

// drainUpstream drains an upstream, checks that it gets no new requests after
// drainTimeout, and removes it.
func drainUpstream(h *harness) error {
	u := h.randomUpstream()
	if u == nil {
		return nil
	}
	h.log("%s drains", u.id)
	h.removeUpstream(u)
	u.mu.Lock()
	server := u.server
	u.mu.Unlock()
	settled := h.settled()
	server.Drain()
	time.Sleep(drainTimeout + loadSlack)
	before := server.StartedRequests()
	time.Sleep(time.Second)
	if after := server.StartedRequests(); after > before && settled && h.settled() {
		h.addViolation("%s got %d new requests more than %v after it started to drain", u.id, after-before, drainTimeout+loadSlack)
	}
	return server.Deregister()
}

// configTimeout bounds how long a new configuration takes to be in force at every
// gateway.
const configTimeout = 2 * time.Second

// changeConfig routes bookings to the other service, and checks that every gateway
// follows within configTimeout.
func changeConfig(h *harness) error {
	h.mu.Lock()
	next := oriolesite.ShardedService
	if h.bookings == next {
		next = oriolesite.UnshardedService
	}
	h.mu.Unlock()
	h.log("route bookings to %s", next)
	settled := h.settled()
	if err := h.configure(next); err != nil {
		h.log("writing the configuration failed: %v", err)
		return nil
	}
	time.Sleep(configTimeout + loadSlack)
	h.mu.Lock()
	current := h.bookings
	h.mu.Unlock()
	if current != next {
		return nil
	}
	for i, v := range h.vms {
		client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		status, body, _, err := doRequest(client, v, fmt.Sprintf("config-%d-%d", time.Now().UnixNano(), i), http.MethodPost, "/book/x", 7)
		if err == nil && status == http.StatusOK && !strings.HasPrefix(body, next) && settled && h.settled() {
			h.addViolation("%s sent a booking to %q more than %v after bookings were routed to %s", v.name, body, configTimeout+loadSlack, next)
		}
	}
	return nil
}

// evacuateZone evacuates a zone for a random time.
func evacuateZone(h *harness) error {
	zone := oriole.ZoneName(zones[0])
	h.log("evacuate zone %s", zone)
	if err := h.operator.SetZoneEvacuated(context.Background(), zone, true); err != nil {
		// The write may have taken effect without a response.
		h.log("outcome of the evacuation unknown: %v", err)
	}
	time.Sleep(h.randomDuration(3*time.Second, 6*time.Second))
	// Retries until the store confirms the write: a zone that stays evacuated could
	// take all upstreams of a service out of use.
	for h.operator.SetZoneEvacuated(context.Background(), zone, false) != nil {
		time.Sleep(loadSlack)
	}
	h.log("zone %s no longer evacuated", zone)
	return nil
}

// randomFaultMode returns a random proxy mode other than modePass.
func (h *harness) randomFaultMode() mode {
	h.mu.Lock()
	defer h.mu.Unlock()
	return modeDelay + mode(h.rng.IntN(int(modeReset-modeDelay)+1))
}

// injectGatewayNetworkFault puts a proxy of the VM into a random fault mode for a
// random time.
func injectGatewayNetworkFault(h *harness, prefix string, v *vm, proxyOf func(*vm) *proxy) error {
	m, duration := h.randomFaultMode(), h.randomDuration(500*time.Millisecond, 6*time.Second)
	h.log("%s%s: %s for %v", prefix, v.name, m, duration)
	proxyOf(v).setMode(m)
	time.Sleep(duration)
	proxyOf(v).setMode(modePass)
	return nil
}

// injectUpstreamNetworkFault puts the proxy of an upstream into a random fault mode
// for a random time.
func injectUpstreamNetworkFault(h *harness) error {
	u := h.randomUpstream()
	if u == nil {
		return nil
	}
	m, duration := h.randomFaultMode(), h.randomDuration(500*time.Millisecond, 6*time.Second)
	h.log("%s: %s for %v", u.id, m, duration)
	u.proxy.setMode(m)
	time.Sleep(duration)
	u.proxy.setMode(modePass)
	return nil
}
