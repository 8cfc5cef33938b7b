// Package oriolecli implements the command lines of orioleswitch, oriolestandin
// and oriolesoak.
package oriolecli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errViolation is returned by a command that ran to its end and found an invariant
// violation.
var errViolation = errors.New("an invariant was violated")

// usageError is an error in the command line; it leads to exitUsage.
type usageError struct{ error }

// environment holds the context and the output streams that all commands share.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// newEnvironment returns an environment whose context is canceled by the first
// SIGINT or SIGTERM, and a function that restores the default signal handling.
func newEnvironment(stdout, stderr io.Writer) (env *environment, stop func()) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return &environment{ctx: ctx, stdout: stdout, stderr: stderr}, stop
}

// Main runs orioleswitch with the arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	env, stop := newEnvironment(stdout, stderr)
	defer stop()
	parser := flags.NewNamedParser("orioleswitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "routes requests to servers that own keys exclusively"
	addCommand(parser, "run", "Run a gateway", &runCommand{env: env})
	addCommand(parser, "check", "Check settings", &checkCommand{env: env})
	addCommand(parser, "capacity", "Measure how time, memory and message sizes scale", &capacityCommand{env: env})
	addCommand(parser, "bench", "Compare dispatch policies under a simulated load", &benchCommand{env: env})
	addCommand(parser, "demo", "Run a site in one process under load and fault scenarios", &demoCommand{env: env})
	addCommand(parser, "status", "Show the state of gateways", &statusCommand{env: env})
	addCommand(parser, "explain", "Explain the outcome of a request from gateway logs", &explainCommand{env: env})
	addCommand(parser, "timeline", "Show the log lines of several gateways in causal order", &timelineCommand{env: env})
	addCommand(parser, "apply", "Publish base settings to all sites", &applyCommand{env: env})
	zone := addCommand(parser, "zone", "Evacuate an availability zone, or end its evacuation", &struct{}{})
	addSubcommand(zone, "out", "Evacuate an availability zone", &zoneCommand{env: env, evacuate: true})
	addSubcommand(zone, "in", "End the evacuation of an availability zone", &zoneCommand{env: env})
	addCommand(parser, "drain", "Drain a gateway: it hands over its work and stops", &drainCommand{env: env})
	return execute(parser, args, stdout, stderr)
}

// addCommand registers a command of the program.
func addCommand(parser *flags.Parser, name, short string, data any) *flags.Command {
	return addSubcommand(parser.Command, name, short, data)
}

// addSubcommand registers a subcommand of a command. It panics on an error, which
// can only be a mistake in the definitions.
func addSubcommand(parent *flags.Command, name, short string, data any) *flags.Command {
	command, err := parent.AddCommand(name, short, short+".", data)
	if err != nil {
		panic(err)
	}
	return command
}

// execute parses the arguments, which runs the command that they name, then calls
// run, and returns the exit status for the first error.
func execute(parser *flags.Parser, args []string, stdout, stderr io.Writer, run ...func() error) int {
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = usageError{errors.Errorf("unexpected argument %q", rest[0])}
	}
	for _, f := range run {
		if err == nil {
			err = f()
		}
	}
	var flagsErr *flags.Error
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagsErr.Message)
		return exitOK
	case errors.As(err, &flagsErr), errors.As(err, &usage):
		fmt.Fprintf(stderr, "%s: %v\n", parser.Name, err)
		return exitUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", parser.Name, err)
	return exitFailed
}
