package oriolecli

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolebench"
)

// benchCommand compares dispatch policies under a simulated load.
type benchCommand struct {
	env         *environment
	Seed        uint64  `long:"seed" default:"1" description:"first seed"`
	Seeds       int     `long:"seeds" default:"5" description:"number of seeds; their results are added up"`
	Upstreams   int     `long:"upstreams" default:"8" description:"number of upstreams in the pool, at most 26"`
	Utilization float64 `long:"use" default:"0.9" description:"load as a fraction of the upstreams' capacity"`
	BurstFactor float64 `long:"burst" default:"1.7" description:"factor by which the load grows in the middle third of the run"`
	Plot        string  `long:"plot" value-name:"FILE" description:"write an SVG chart of the value earned in each second"`
}

// maxUpstreams is the number of upstream names in the simulation, a to z.
const maxUpstreams = 26

// Execute implements flags.Commander.
func (c *benchCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.Seeds < 1 || c.Upstreams < 1 || c.Upstreams > maxUpstreams || c.Utilization <= 0 || c.BurstFactor <= 0 {
		return usageError{errors.Errorf("--seeds, --upstreams (at most %d), --use and --burst must be above 0", maxUpstreams)}
	}
	workload := oriolebench.TypicalWorkload(c.Upstreams, c.Utilization, c.BurstFactor)
	table := tabwriter.NewWriter(c.env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POLICY\tVALUE\tKIND\tREQUESTS\tON TIME\tLATE\tREFUSED\tFAILED\tREFUSED TWICE")
	var all []oriolebench.Result
	for _, policy := range oriolebench.Policies() {
		all = append(all, c.runPolicy(table, workload, policy)...)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return c.plot(all)
}

// plot writes the chart to the file that --plot names, if any.
func (c *benchCommand) plot(all []oriolebench.Result) (err error) {
	if c.Plot == "" {
		return nil
	}
	file, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	return oriolebench.Plot(file, all)
}

// runPolicy runs the simulation once per seed, writes the policy's rows to the
// table, and returns its results in the order of the seeds.
func (c *benchCommand) runPolicy(table *tabwriter.Writer, workload oriolebench.Workload, policy oriolebench.Policy) (results []oriolebench.Result) {
	var sum oriolebench.Result
	valueRatio := 0.0
	for i := range c.Seeds {
		r := oriolebench.Run(workload, policy, c.Seed+uint64(i))
		results = append(results, r)
		valueRatio += r.ValueRatio() / float64(c.Seeds)
		if sum.Kinds == nil {
			sum.Kinds = make([]oriolebench.KindResult, len(r.Kinds))
		}
		for j, k := range r.Kinds {
			s := &sum.Kinds[j]
			s.Name = k.Name
			s.Requests, s.OnTime, s.Late = s.Requests+k.Requests, s.OnTime+k.OnTime, s.Late+k.Late
			s.Refused, s.Failed = s.Refused+k.Refused, s.Failed+k.Failed
		}
	}
	for j, k := range sum.Kinds {
		requests := float64(k.Requests)
		name, value, refusedTwice := "", "", ""
		if j == 0 {
			name, value, refusedTwice = policy.Name, fmt.Sprintf("%.3f", valueRatio), fmt.Sprint(sum.RefusedTwice())
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%s\n", name, value, k.Name, k.Requests,
			float64(k.OnTime)/requests, float64(k.Late)/requests, float64(k.Refused)/requests, float64(k.Failed)/requests, refusedTwice)
	}
	return results
}
