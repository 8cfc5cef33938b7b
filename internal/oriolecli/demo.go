package oriolecli

import (
	"encoding/json"
	"io"
	"time"

	"github.com/orioleswitch/orioleswitch/internal/orioledemo"
)

// demoCommand runs a whole system in one process.
type demoCommand struct {
	env      *environment
	Duration time.Duration `long:"duration" default:"10s" description:"time of the load"`
	Seed     uint64        `long:"seed" default:"1" description:"seed of all chance"`
	Rate     int           `long:"rate" default:"500" description:"requests a second"`
	Gateways int           `long:"gateways" default:"8" description:"number of gateways"`
	Faults   []string      `long:"fault" description:"fault to inject; may be repeated"`
	Timeline bool          `long:"timeline" description:"print the events of all gateways at the end"`
	JSON     bool          `long:"json" description:"print the summary as one JSON object on the last line"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if err := orioledemo.CheckFaults(c.Faults); err != nil {
		return usageError{err}
	}
	if c.Duration <= 0 || c.Rate <= 0 || c.Gateways <= 0 {
		return usageError{errNotPositive}
	}
	var progress io.Writer
	if !c.JSON {
		progress = c.env.stdout
	}
	var timeline io.Writer
	if c.Timeline {
		timeline = c.env.stdout
	}
	summary, err := orioledemo.Run(c.env.ctx, orioledemo.Config{
		Duration: c.Duration,
		Seed:     c.Seed,
		Faults:   c.Faults,
		Rate:     c.Rate,
		Gateways: c.Gateways,
		Progress: progress,
		Timeline: timeline,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(c.env.stdout).Encode(summary); err != nil {
			return err
		}
	} else {
		summary.Print(c.env.stdout)
	}
	if summary.Broken() {
		return errBroken
	}
	return nil
}
