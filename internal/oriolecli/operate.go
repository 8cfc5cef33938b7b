package oriolecli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

func noArguments(args []string) error {
	if len(args) > 0 {
		return usageError{errors.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// checkCommand validates settings files.
type checkCommand struct {
	env     *environment
	Base    string `long:"base" required:"true" description:"base settings shared by all sites"`
	Overlay string `long:"overlay" description:"overlay settings of a site"`
	Print   bool   `long:"print" description:"print the merged settings without the secret and API keys"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	settings, err := orioleconfig.Load(c.Base, c.Overlay)
	if err != nil {
		return err
	}
	if !c.Print {
		fmt.Fprintf(c.env.stdout, "ok: %s has %d services and %d routes in %d zones\n",
			settings.Name, len(settings.Services), len(settings.Routes), len(settings.Zones))
		return nil
	}
	settings.Secret = ""
	encoder := json.NewEncoder(c.env.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(settings)
}

// statusCommand shows the state of gateways.
type statusCommand struct {
	env *environment
	sitesFlags
	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	targets, err := c.gateways()
	if err != nil {
		return err
	}
	results := fetchStatuses(c.env.ctx, targets)
	if c.JSON {
		err = json.NewEncoder(c.env.stdout).Encode(results)
	} else {
		err = printStatus(c.env.stdout, results)
	}
	if err != nil {
		return err
	}
	var missing []string
	for _, r := range results {
		if r.Error != "" {
			missing = append(missing, r.VM)
		}
	}
	if len(missing) > 0 {
		return errors.Errorf("%d of %d gateways did not respond: %v", len(missing), len(results), missing)
	}
	return nil
}

func printStatus(w io.Writer, results []gatewayStatus) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tZONE\tREADY\tDRAINING\tGATEWAYS\tIN FLIGHT\tCONFIG\tEVACUATED")
	for _, r := range results {
		if r.Error != "" {
			fmt.Fprintf(table, "%s\t\tunreachable\t\t\t\t\t%s\n", r.VM, r.Error)
			continue
		}
		s := r.Status
		fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%d\t%d\t%d\t%v\n", r.VM, s.Zone, s.Ready, s.Draining, s.Gateways, s.InFlight, s.Config, s.EvacuatedZones)
	}
	fmt.Fprintln(table, "\nREPORTED BY\tSERVICE\tUPSTREAMS\tUSABLE\tCOLD\tLEADER\tTERM\tSEQ\tRANGES\tPENDING RANGES")
	for _, r := range results {
		for _, s := range r.Status.Services {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\n",
				r.VM, s.Name, s.Upstreams, s.Usable, s.Cold, s.Leader, s.Term, s.AssignmentSeq, s.Ranges, s.PendingRanges)
		}
	}
	return table.Flush()
}

// drainCommand asks a gateway to drain; it does not wait for the end.
type drainCommand struct {
	env *environment
	sitesFlags
	VM string `long:"vm" required:"true" description:"name of the VM"`
}

// Execute implements flags.Commander.
func (c *drainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	targets, err := c.gateways()
	if err != nil {
		return err
	}
	for _, t := range targets {
		if t.vm.Name != c.VM {
			continue
		}
		if _, err := callGateway(c.env.ctx, t, http.MethodPost, oriolerouter.PathDrain); err != nil {
			return err
		}
		fmt.Fprintf(c.env.stdout, "%s hands over its work and stops\n", c.VM)
		return nil
	}
	return usageError{errors.Errorf("--vm: the settings have no VM named %q", c.VM)}
}
