package oriolecli

import (
	"encoding/json"

	"github.com/orioleswitch/orioleswitch/internal/oriolecapacity"
)

// capacityCommand measures the slopes of docs/CAPACITY.md.
type capacityCommand struct {
	env  *environment
	JSON bool `long:"json" description:"print JSON for programs"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	slopes := oriolecapacity.Measure()
	if c.JSON {
		return json.NewEncoder(c.env.stdout).Encode(slopes)
	}
	return oriolecapacity.Print(c.env.stdout, slopes)
}
