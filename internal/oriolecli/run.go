package oriolecli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

var errNotPositive = errors.New("--duration, --rate and --gateways must be above 0")

// settingsFlags are the flags that name settings.
type settingsFlags struct {
	Base    string `long:"base" required:"true" description:"base settings that all sites share"`
	Overlay string `long:"overlay" description:"settings of the site"`
}

func (f settingsFlags) load() (orioleconfig.Settings, error) {
	return orioleconfig.Load(f.Base, f.Overlay)
}

func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError{errors.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// checkCommand checks settings.
type checkCommand struct {
	env *environment
	settingsFlags
	Print bool `long:"print" description:"print the merged settings, secrets left out"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	settings, err := c.load()
	if err != nil {
		return err
	}
	if !c.Print {
		fmt.Fprintf(c.env.stdout, "ok: %s has %d services in %d zones\n", settings.Name, len(settings.Services), len(settings.Zones))
		return nil
	}
	settings.Secret = ""
	encoder := json.NewEncoder(c.env.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// runCommand runs one gateway.
type runCommand struct {
	env *environment
	settingsFlags
	VM string `long:"vm" required:"true" description:"name of this VM in the settings"`
}

// Execute implements flags.Commander.
func (c *runCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	settings, err := c.load()
	if err != nil {
		return err
	}
	vm, found := settings.VM(c.VM)
	if !found {
		return usageError{errors.Errorf("--vm: no VM of the settings is called %q", c.VM)}
	}
	if settings.Secret == "" {
		return usageError{errors.New("settings: /secret: must be set to run a gateway")}
	}
	logger := &log.Logger{Handler: logfmt.New(c.env.stderr), Level: log.InfoLevel}
	options := []oriolegateway.Option{oriolegateway.WithLogger(logger)}
	if c.Overlay != "" {
		overlay, err := os.ReadFile(c.Overlay)
		if err != nil {
			return errors.Wrap(err, "reading the overlay")
		}
		options = append(options, oriolegateway.WithOverlay(overlay))
	}
	gateway, cleanup, err := oriolegateway.New(newID(vm.Name), &settings, vm, options...)
	if err != nil {
		return err
	}
	defer cleanup()
	return serve(c.env.ctx, gateway)
}

// newID returns an ID that no earlier run of the VM had.
func newID(vm string) oriole.GatewayID {
	return oriole.GatewayID(vm + "." + strconv.FormatInt(time.Now().UnixNano(), 36))
}

// serve runs the gateway until the first signal, then lets it leave; a second
// signal ends it at once.
func serve(ctx context.Context, gateway *oriolegateway.Gateway) error {
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- gateway.Serve(serveCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	second, restore := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer restore()
	err := gateway.Leave(second)
	stop()
	<-ended
	return err
}
