package oriolecli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// memoryLimitFraction is the fraction of the process's memory that is set as the
// soft memory limit of the Go runtime, near which it collects garbage more often.
// The rest is left for exceeding the soft limit, such as by stacks, and for memory
// that the operating system counts but the runtime does not.
const memoryLimitFraction = 0.6

// gcPercent is how much the heap grows between garbage collections, in percent. It
// limits the garbage of a gateway to about what it keeps alive.
const gcPercent = 100

// runCommand runs one gateway.
type runCommand struct {
	env      *environment
	Settings string `long:"settings" description:"settings file of one gateway"`
	Base     string `long:"base" description:"base settings shared by all sites, instead of --settings"`
	Overlay  string `long:"overlay" description:"overlay settings of the site, with --base"`
	VM       string `long:"vm" description:"name of this VM in the settings, with --base"`
	Level    string `long:"log" default:"info" description:"lowest level that is logged"`
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
	level, err := log.ParseLevel(c.Level)
	if err != nil {
		return usageError{err}
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryLimit)))
	gateway, cleanup, err := oriolegateway.New(settings, c.env.stdout, level)
	if err != nil {
		return err
	}
	defer cleanup()
	return c.serve(gateway)
}

// load reads the settings from the file or files that the flags name.
func (c *runCommand) load() (settings oriolerouter.Settings, err error) {
	switch {
	case c.Settings != "" && (c.Base != "" || c.Overlay != "" || c.VM != ""):
		return settings, usageError{errors.New("--settings cannot be combined with --base, --overlay or --vm")}
	case c.Settings != "":
		return oriolerouter.LoadSettings(c.Settings)
	case c.Base == "" || c.VM == "":
		return settings, usageError{errors.New("--settings, or --base and --vm, must be given")}
	}
	site, err := orioleconfig.Load(c.Base, c.Overlay)
	if err != nil {
		return settings, err
	}
	vm, found := site.VM(c.VM)
	if !found {
		return settings, usageError{errors.Errorf("--vm: the settings have no VM named %q", c.VM)}
	}
	if c.Overlay == "" {
		return oriolerouter.SiteSettings(&site, vm, nil), nil
	}
	overlay, err := orioleconfig.LoadOverlay(c.Overlay)
	if err != nil {
		return settings, err
	}
	return oriolerouter.SiteSettings(&site, vm, &overlay), nil
}

// serve runs the gateway until a signal or a drain request, then drains it.
func (c *runCommand) serve(gateway *oriolegateway.Gateway) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	// Logged first: a request that is rejected at once logs a line as well.
	gateway.Log.Info(oriolelog.MessageStarted)
	done := gateway.ServeBackground(ctx)
	for {
		select {
		case err := <-done:
			return err
		case <-sighups:
			c.recheckSettings(gateway.Log)
			continue
		case <-c.env.ctx.Done():
		case <-gateway.DrainRequested():
		}
		err := gateway.Drain(context.Background())
		stop()
		<-done
		gateway.Log.Info(oriolelog.MessageStopped)
		return err
	}
}

// recheckSettings reads the settings again and logs whether they are valid. It does
// not apply them: the settings of a gateway are fixed when it starts.
func (c *runCommand) recheckSettings(logger log.Interface) {
	if _, err := c.load(); err != nil {
		logger.WithError(err).Warn("invalid settings")
		return
	}
	logger.Info("settings checked")
}
