package oriolecli

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/orioletrace"
)

// explainCommand explains the outcome of a request, or lists requests to explain.
type explainCommand struct {
	env    *environment
	ID     string `long:"id" description:"ID of the request to explain"`
	Failed bool   `long:"failed" description:"list the requests without a response"`
	Slow   bool   `long:"slow" description:"list the requests with a response, slowest first; logs hold only a sample of them"`
	Limit  int    `long:"most" default:"20" description:"maximum number of requests to list"`
	Args   struct {
		Logs []string `positional-arg-name:"LOG" description:"log files of gateways; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	if c.ID == "" && !c.Failed && !c.Slow {
		return usageError{errors.New("one of --id, --failed and --slow must be given")}
	}
	lines, err := c.env.readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	switch {
	case c.Failed:
		return c.list(orioletrace.Failed(lines))
	case c.Slow:
		return c.list(orioletrace.Slow(lines))
	}
	trace, err := orioletrace.Explain(lines, c.ID)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.stdout, "request %s\n", trace.ID)
	for _, l := range trace.Lines {
		fmt.Fprintf(c.env.stdout, "  %s\n", l)
	}
	if len(trace.Related) > 0 {
		fmt.Fprintln(c.env.stdout, "related changes in cluster state at that time")
	}
	for _, l := range trace.Related {
		fmt.Fprintf(c.env.stdout, "  %s\n", l)
	}
	_, err = fmt.Fprintf(c.env.stdout, "cause: %s\n", trace.Cause)
	return err
}

func (c *explainCommand) list(requests []orioletrace.RequestSummary) error {
	table := tabwriter.NewWriter(c.env.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUEST\tOUTCOME\tREASON\tDURATION")
	for i, r := range requests {
		if i == c.Limit {
			break
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", r.ID, r.Outcome, r.Reason, r.Duration)
	}
	return table.Flush()
}

// readLogs returns the gateway log lines of all files, or of standard input if there
// are none, and reports to stderr how many other lines it skipped.
func (env *environment) readLogs(paths []string) (lines []orioletrace.Line, err error) {
	read := func(r io.Reader, name string) error {
		found, skipped, err := orioletrace.Read(r)
		if skipped > 0 {
			fmt.Fprintf(env.stderr, "%s: skipped %d lines that are not gateway log lines\n", name, skipped)
		}
		lines = append(lines, found...)
		return errors.Wrap(err, name)
	}
	if len(paths) == 0 {
		return lines, read(os.Stdin, "standard input")
	}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		err = read(file, path)
		_ = file.Close()
		if err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// timelineCommand shows the log lines of gateways in causal order.
type timelineCommand struct {
	env      *environment
	VM       string        `long:"vm" description:"only lines of the gateway on this VM"`
	Upstream string        `long:"upstream" description:"only lines about this upstream"`
	Since    time.Duration `long:"since" description:"only lines logged within this duration before the newest line"`
	Requests bool          `long:"requests" description:"include lines about requests"`
	Args     struct {
		Logs []string `positional-arg-name:"LOG" description:"log files of gateways; standard input if none is given"`
	} `positional-args:"true"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	lines, err := c.env.readLogs(c.Args.Logs)
	if err != nil {
		return err
	}
	orioletrace.Sort(lines)
	newest := time.Time{}
	for _, l := range lines {
		if l.Time.After(newest) {
			newest = l.Time
		}
	}
	for _, l := range lines {
		if !c.matches(l, newest) {
			continue
		}
		if _, err := fmt.Fprintln(c.env.stdout, l); err != nil {
			return err
		}
	}
	return nil
}

func (c *timelineCommand) matches(l orioletrace.Line, newest time.Time) bool {
	return (c.Requests || l.ID == "") &&
		(c.VM == "" || l.VM == c.VM) &&
		(c.Upstream == "" || l.Fields["upstream"] == c.Upstream) &&
		(c.Since == 0 || newest.Sub(l.Time) <= c.Since)
}
