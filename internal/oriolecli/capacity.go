package oriolecli

import (
	"encoding/json"

	"github.com/orioleswitch/orioleswitch/internal/oriolecapacity"
)

// capacityCommand measures and prints the costs in docs/CAPACITY.md.
type capacityCommand struct {
	env  *environment
	JSON bool `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	fits := oriolecapacity.Measure()
	if c.JSON {
		return json.NewEncoder(c.env.stdout).Encode(fits)
	}
	return oriolecapacity.Print(c.env.stdout, fits)
}
