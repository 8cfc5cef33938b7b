package oriolecli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolesoak"
)

// soakCommand runs one soak test for each seed, one after the other.
type soakCommand struct {
	env       *environment
	Gateway   string        `long:"gateway" required:"true" description:"path of the orioleswitch executable"`
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Runs      int           `long:"runs" default:"1" description:"number of seeds, counting up from --seed"`
	Duration  time.Duration `long:"span" default:"30s" description:"duration of fault injection"`
	Gateways  int           `long:"gateways" default:"5" description:"number of gateways"`
	Upstreams int           `long:"upstreams" default:"9" description:"number of upstreams"`
	Callers   int           `long:"callers" default:"12" description:"number of callers"`
	Dir       string        `long:"dir" description:"directory for settings and logs; a new temporary one if absent"`
}

// SoakMain runs oriolesoak with the arguments and returns its exit status.
func SoakMain(args []string, stdout, stderr io.Writer) int {
	env, stop := newEnvironment(stdout, stderr)
	defer stop()
	command := &soakCommand{env: env}
	parser := flags.NewNamedParser("oriolesoak", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "runs gateway processes under random faults and checks their invariants"
	if _, err := parser.AddGroup("Options", "", command); err != nil {
		// Only a mistake in the definitions above can cause an error.
		panic(err)
	}
	return execute(parser, args, stdout, stderr, command.run)
}

func (c *soakCommand) run() error {
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "oriolesoak")
		if err != nil {
			return errors.Wrap(err, "making the directory for logs")
		}
		c.Dir = dir
	}
	failedSeeds := 0
	for i := range c.Runs {
		seed := c.Seed + uint64(i)
		dir := filepath.Join(c.Dir, strconv.FormatUint(seed, 10))
		report, err := oriolesoak.Run(c.env.ctx, oriolesoak.Config{
			Seed: seed, Duration: c.Duration, Gateways: c.Gateways, Upstreams: c.Upstreams, Callers: c.Callers, Workspaces: seed%2 == 0,
			Command: []string{c.Gateway}, Dir: dir,
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(c.env.stdout, "seed %d: %d requests, %d served, %d refused, %d failed, peak memory %d MB, violations: %d\n",
			seed, report.Requests, report.Served, report.Refused, report.Failed, report.PeakMB, len(report.Violations))
		if len(report.Violations) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return err
			}
			continue
		}
		failedSeeds++
		if err := c.saveReport(dir, report); err != nil {
			return err
		}
	}
	if failedSeeds > 0 {
		return errors.Wrapf(errViolation, "%d of %d seeds failed; logs are in %s", failedSeeds, c.Runs, c.Dir)
	}
	return nil
}

// saveReport prints the violations and writes the whole report to the directory of
// the logs.
func (c *soakCommand) saveReport(dir string, report oriolesoak.Report) error {
	for _, violation := range report.Violations {
		fmt.Fprintln(c.env.stdout, "  "+violation)
	}
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "report.json"), data, 0o600)
}
