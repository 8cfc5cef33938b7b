package oriolecli

import (
	"encoding/json"
	"fmt"

	"github.com/orioleswitch/orioleswitch/internal/oriolesite"
)

// demoCommand runs scenarios, each on a new site in this process.
type demoCommand struct {
	env       *environment
	Scenarios []string `long:"trouble" description:"scenario to run under load; may be repeated; all if absent"`
	JSON      bool     `long:"json" description:"print each summary as a JSON object"`
}

// Numbers of upstreams of a site's sharded and unsharded service.
const (
	demoShardedUpstreams   = 4
	demoUnshardedUpstreams = 2
)

// Execute implements flags.Commander.
func (c *demoCommand) Execute(args []string) (err error) {
	if err := noArguments(args); err != nil {
		return err
	}
	scenarios := oriolesite.Scenarios()
	if len(c.Scenarios) > 0 {
		scenarios = nil
		for _, name := range c.Scenarios {
			scenario, err := oriolesite.FindScenario(name)
			if err != nil {
				return usageError{err}
			}
			scenarios = append(scenarios, scenario)
		}
	}
	violated := false
	for _, scenario := range scenarios {
		summary, err := runScenario(scenario)
		if err != nil {
			return err
		}
		violated = violated || len(summary.Violations) > 0
		if err := c.print(scenario.Name, summary); err != nil {
			return err
		}
	}
	if violated {
		return errViolation
	}
	return nil
}

// runScenario starts a new site with load and runs the scenario on it.
func runScenario(scenario oriolesite.Scenario) (summary oriolesite.Summary, err error) {
	s, cleanup, err := oriolesite.New(oriolesite.Config{ShardedUpstreams: demoShardedUpstreams, UnshardedUpstreams: demoUnshardedUpstreams, VMs: oriolesite.VMs})
	if err != nil {
		return summary, err
	}
	defer cleanup()
	stop := s.StartLoad(oriolesite.VMs...)
	err = scenario.Run(s)
	return stop(), err
}

func (c *demoCommand) print(name string, s oriolesite.Summary) error {
	if c.JSON {
		return json.NewEncoder(c.env.stdout).Encode(struct {
			Scenario string `json:"trouble"`
			oriolesite.Summary
		}{name, s})
	}
	_, err := fmt.Fprintf(c.env.stdout, "%-12s %5d requests, %d served, %d refused, %d failed, %d misrouted, %d store calls, violations: %d\n",
		name, s.Requests, s.Served, s.Refused, s.Failed, s.Misrouted, s.StoreCalls, len(s.Violations))
	return err
}
