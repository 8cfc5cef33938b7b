// Package oriolecli holds the command lines of the programs.
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

// errBroken is returned when a command ran but what it checks does not hold.
var errBroken = errors.New("a promise was broken")

// usageError marks an error of the command line.
type usageError struct{ error }

// command is what each subcommand implements besides flags.Commander.
type environment struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// Main runs orioleswitch with the arguments and returns its exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &environment{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("orioleswitch", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "routes requests to servers that own keys exclusively"
	add(parser, "run", "Run a gateway", &runCommand{env: env})
	add(parser, "check", "Check settings", &checkCommand{env: env})
	add(parser, "demo", "Run a whole system in one process", &demoCommand{env: env})
	return finish(parser, args, stdout, stderr)
}

// add registers a subcommand. The definitions are constant, so that an error
// is a fault of the program.
func add(parser *flags.Parser, name, short string, data any) {
	if _, err := parser.AddCommand(name, short, short+".", data); err != nil {
		panic(err)
	}
}

// finish parses and runs, and turns errors into exit statuses.
func finish(parser *flags.Parser, args []string, stdout, stderr io.Writer) int {
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = usageError{errors.Errorf("unexpected argument %q", rest[0])}
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
		fmt.Fprintln(stderr, "orioleswitch:", err)
		return exitUsage
	}
	fmt.Fprintln(stderr, "orioleswitch:", err)
	return exitFailed
}
