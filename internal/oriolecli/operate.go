package oriolecli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/orioleswitch/orioleswitch/internal/oriolegateway"
	"github.com/orioleswitch/orioleswitch/internal/oriolegateway/oriolesight"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
	"github.com/orioleswitch/orioleswitch/pkg/oriole/orioleconfig"
)

// operatorTimeout bounds one call to a gateway; leaving takes longest.
const operatorTimeout = 12 * time.Second

// askTimeout bounds a call that a gateway answers at once.
const askTimeout = 2 * time.Second

// sitesFlags name the settings of one or more sites.
type sitesFlags struct {
	Base     string   `long:"base" required:"true" description:"base settings that all sites share"`
	Overlays []string `long:"overlay" required:"true" description:"settings of a site; may be repeated"`
}

// site is a VM that an operator's command talks to.
type site struct {
	vm       orioleconfig.VM
	settings orioleconfig.Settings
}

// sites returns all VMs of the sites.
func (f sitesFlags) sites() ([]site, error) {
	var sites []site
	for _, overlay := range f.Overlays {
		settings, err := orioleconfig.Load(f.Base, overlay)
		if err != nil {
			return nil, err
		}
		for _, vm := range settings.VMs {
			sites = append(sites, site{vm, settings})
		}
	}
	if len(sites) == 0 {
		return nil, usageError{errors.New("--overlay: the settings name no VMs")}
	}
	return sites, nil
}

// call asks a gateway's operator address and decodes its answer.
func call[T any](ctx context.Context, to netip.AddrPort, secret, method, path string) (answer T, err error) {
	defer func() { err = errors.Wrapf(err, "asking the gateway at %s", to) }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, nil)
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+secret)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, err
	}
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	err = json.Unmarshal(body, &answer)
	return answer, err
}

// reached is one gateway's answer, or why there is none.
type reached[T any] struct {
	VM     string `json:"vm"`
	Error  string `json:"error,omitempty"`
	Answer T      `json:"answer"`
}

// callAll asks all gateways at once.
func callAll[T any](ctx context.Context, sites []site, method, path string) []reached[T] {
	answers := make([]reached[T], len(sites))
	var group errgroup.Group
	for i, s := range sites {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			answer, err := call[T](ctx, s.vm.Operators, s.settings.Secret, method, path)
			answers[i] = reached[T]{VM: s.vm.Name, Answer: answer}
			if err != nil {
				answers[i].Error = err.Error()
			}
			return nil
		})
	}
	// The calls record their errors themselves.
	_ = group.Wait()
	return answers
}

// firstError returns an error that names the gateways that did not answer.
func firstError[T any](answers []reached[T]) error {
	var missing []string
	for _, a := range answers {
		if a.Error != "" {
			missing = append(missing, a.VM)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	return errors.Errorf("%d of %d gateways did not answer: %v", len(missing), len(answers), missing)
}

// statusCommand shows the state of gateways.
type statusCommand struct {
	env *environment
	sitesFlags
	JSON bool `long:"json" description:"print JSON for programs"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	sites, err := c.sites()
	if err != nil {
		return err
	}
	answers := callAll[oriolegateway.Status](c.env.ctx, sites, http.MethodGet, oriolegateway.StatusPath)
	if c.JSON {
		err = json.NewEncoder(c.env.stdout).Encode(answers)
	} else {
		err = printStatus(c.env.stdout, answers)
	}
	if err != nil {
		return err
	}
	return firstError(answers)
}

func printStatus(w io.Writer, answers []reached[oriolegateway.Status]) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "VM\tZONE\tREADY\tLEAVING\tSTORE\tPEERS\tOPEN\tSETTINGS\tOUT")
	for _, a := range answers {
		if a.Error != "" {
			fmt.Fprintf(table, "%s\t\taway\t\t\t\t\t\t%s\n", a.VM, a.Error)
			continue
		}
		s := a.Answer
		fmt.Fprintf(table, "%s\t%s\t%v\t%v\t%v\t%d\t%d\t%d\t%v\n", a.VM, s.Zone, s.Ready, s.Leaving, s.Store, s.Peers, s.Open, s.Settings, s.Out)
	}
	fmt.Fprintln(table, "\nGROUP\tKEEPER\tDEPUTY\tTERM\tSERVER\tZONE\tSLICES\tSTATE\tRUNNING\tLIMIT\tQUEUED")
	for _, a := range answers {
		printGroups(table, a.Answer)
	}
	return table.Flush()
}

// printGroups prints the groups that the gateway keeps, a line a server.
func printGroups(w io.Writer, s oriolegateway.Status) {
	for _, g := range s.Groups {
		for i, server := range g.Servers {
			var queue string
			for _, q := range s.Queues {
				if q.Group == g.Group && i < len(q.Servers) {
					queue = fmt.Sprintf("%d\t%d\t%d", q.Servers[i].Running, q.Servers[i].Limit, q.Servers[i].Queued)
				}
			}
			state := "up"
			switch {
			case server.Lost:
				state = "lost"
			case server.Down:
				state = "down"
			case server.Out:
				state = "out"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\n", g.Group, g.Keeper, g.Deputy, g.Term, server.Server, server.Zone, server.Slices, state, queue)
		}
	}
}

// timelineCommand shows the events of gateways in causal order.
type timelineCommand struct {
	env *environment
	sitesFlags
	Group  string        `long:"group" description:"only events of this group"`
	Server string        `long:"server" description:"only events of this upstream"`
	Since  time.Duration `long:"since" description:"only events of the last so long"`
	Follow bool          `long:"follow" description:"go on until interrupted"`
	JSON   bool          `long:"json" description:"print JSON, one event a line"`
}

// followInterval is the time between two looks for new events.
const followInterval = 500 * time.Millisecond

// Execute implements flags.Commander.
func (c *timelineCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	sites, err := c.sites()
	if err != nil {
		return err
	}
	after := make(map[string]uint64)
	for {
		if err := c.show(sites, after); err != nil {
			return err
		}
		if !c.Follow {
			return nil
		}
		select {
		case <-time.After(followInterval):
		case <-c.env.ctx.Done():
			return nil
		}
	}
}

// show prints the events that are new since the clocks in after.
func (c *timelineCommand) show(sites []site, after map[string]uint64) error {
	var events []oriolesight.Event
	var missing error
	for _, s := range sites {
		query := url.Values{"after": {strconv.FormatUint(after[s.vm.Name], 10)}}
		answers := callAll[[]oriolesight.Event](c.env.ctx, []site{s}, http.MethodGet, oriolegateway.TimelinePath+"?"+query.Encode())
		if err := firstError(answers); err != nil {
			missing = err
			continue
		}
		for _, e := range answers[0].Answer {
			after[s.vm.Name] = max(after[s.vm.Name], e.Clock)
			if c.wants(e) {
				events = append(events, e)
			}
		}
	}
	oriolesight.Sort(events)
	for _, e := range events {
		if err := c.print(e); err != nil {
			return err
		}
	}
	if c.Follow {
		return nil
	}
	return missing
}

func (c *timelineCommand) wants(e oriolesight.Event) bool {
	return (c.Group == "" || e.Group == oriole.GroupID(c.Group)) &&
		(c.Server == "" || e.Server == oriole.ServerID(c.Server)) &&
		(c.Since == 0 || time.Since(e.At) <= c.Since)
}

func (c *timelineCommand) print(e oriolesight.Event) error {
	if c.JSON {
		return json.NewEncoder(c.env.stdout).Encode(e)
	}
	_, err := fmt.Fprintln(c.env.stdout, e)
	return err
}

// drainCommand makes one gateway leave.
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
	sites, err := c.sites()
	if err != nil {
		return err
	}
	for _, s := range sites {
		if s.vm.Name != c.VM {
			continue
		}
		ctx, cancel := context.WithTimeout(c.env.ctx, operatorTimeout)
		defer cancel()
		if _, err := call[oriolegateway.Status](ctx, s.vm.Operators, s.settings.Secret, http.MethodPost, oriolegateway.DrainPath); err != nil {
			return err
		}
		fmt.Fprintf(c.env.stdout, "%s has handed over its duties and finished its requests\n", c.VM)
		return nil
	}
	return usageError{errors.Errorf("--vm: no VM of the settings is called %q", c.VM)}
}
