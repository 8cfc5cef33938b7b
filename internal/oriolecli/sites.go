package oriolecli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/orioleswitch/orioleswitch/internal/orioleauth"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
	"github.com/orioleswitch/orioleswitch/platform"
)

// callTimeout bounds a call to a gateway's admin address, which responds
// immediately.
const callTimeout = 2 * time.Second

// rolloutTimeout is how long a command waits until a change is in force on all
// gateways.
const rolloutTimeout = 7 * time.Second

// pollInterval is the pause between two rounds of status calls to all gateways.
const pollInterval = 20 * time.Millisecond

// sitesFlags are the flags that name the settings files of one or more sites.
type sitesFlags struct {
	Base     string   `long:"base" required:"true" description:"base settings shared by all sites"`
	Overlays []string `long:"overlay" description:"overlay settings of a site; may be repeated"`
}

// target is the VM of a gateway that an operator's command calls, with the settings
// of its site.
type target struct {
	vm       orioleconfig.VM
	settings orioleconfig.Settings
}

// load returns the base settings and the VMs of all settings files.
func (f sitesFlags) load() (base orioleconfig.Settings, targets []target, err error) {
	base, err = orioleconfig.Load(f.Base, "")
	if err != nil {
		return base, nil, err
	}
	for _, vm := range base.VMs {
		targets = append(targets, target{vm, base})
	}
	for _, overlay := range f.Overlays {
		settings, err := orioleconfig.Load(f.Base, overlay)
		if err != nil {
			return base, nil, err
		}
		for _, vm := range settings.VMs {
			targets = append(targets, target{vm, settings})
		}
	}
	return base, targets, nil
}

// gateways returns the VMs of all settings files. It is a usage error if there are
// none.
func (f sitesFlags) gateways() (targets []target, err error) {
	_, targets, err = f.load()
	if err == nil && len(targets) == 0 {
		err = usageError{errors.New("--overlay: the settings have no VMs")}
	}
	return targets, err
}

// newOperator returns a client of the platform's store and a function that closes
// its connections. Directory entries that can't be decoded are left out silently.
func newOperator(storeAddr netip.AddrPort) (*platform.Client, func()) {
	return platform.New(storeAddr, func(string, string, error) {})
}

// callGateway sends a request to a gateway's admin address and returns the
// response body.
func callGateway(ctx context.Context, t target, method, path string) (body []byte, err error) {
	defer func() { err = errors.Wrapf(err, "calling the gateway on %s", t.vm.Name) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.vm.AdminAddr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	req.Header = orioleauth.BearerHeader(t.settings.Secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return body, nil
}

// gatewayStatus is the status of a gateway, or the error of the call for it.
type gatewayStatus struct {
	VM     string              `json:"vm"`
	Error  string              `json:"error,omitempty"`
	Status oriolerouter.Status `json:"status"`
}

// fetchStatuses calls all gateways concurrently.
func fetchStatuses(ctx context.Context, targets []target) []gatewayStatus {
	results := make([]gatewayStatus, len(targets))
	var group errgroup.Group
	for i, t := range targets {
		group.Go(func() error {
			results[i].VM = t.vm.Name
			body, err := callGateway(ctx, t, http.MethodGet, oriolerouter.PathStatus)
			if err == nil {
				err = json.Unmarshal(body, &results[i].Status)
			}
			if err != nil {
				results[i].Error = err.Error()
			}
			return nil
		})
	}
	// The functions never return an error: they record it in their result.
	_ = group.Wait()
	return results
}

// awaitRollout waits until the change is in force according to the status of every
// target. Without targets it only reports that the change is stored.
func (env *environment) awaitRollout(targets []target, change string, inForce func(oriolerouter.Status) bool) error {
	if len(targets) == 0 {
		fmt.Fprintf(env.stdout, "%s is stored\n", change)
		return nil
	}
	start := time.Now()
	for {
		pending := 0
		for _, r := range fetchStatuses(env.ctx, targets) {
			if r.Error != "" || !inForce(r.Status) {
				pending++
			}
		}
		elapsed := time.Since(start)
		if pending == 0 {
			fmt.Fprintf(env.stdout, "%s is in force on %d gateways after %v\n", change, len(targets), elapsed.Round(time.Millisecond))
			return nil
		}
		if elapsed > rolloutTimeout {
			return errors.Errorf("%s is stored, but not in force on %d of %d gateways after %v", change, pending, len(targets), rolloutTimeout)
		}
		select {
		case <-time.After(pollInterval):
		case <-env.ctx.Done():
			return env.ctx.Err()
		}
	}
}

// storedConfig returns the stored configuration, or nil if there is none, and its
// version in the store.
func storedConfig(ctx context.Context, operator oriole.Operator) (cfg *oriole.Config, version oriole.Version, err error) {
	cfg, version, err = operator.ReadConfig(ctx)
	if errors.Is(err, oriole.ErrNotFound) {
		return nil, oriole.Version{}, nil
	}
	return cfg, version, errors.Wrap(err, "reading the stored configuration")
}
