package oriolecli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/platform/standin"
)

// StandinMain runs oriolestandin with the arguments and returns its exit
// status.
func StandinMain(args []string, stdout, stderr io.Writer) int {
	env, stop := newEnvironment(stdout, stderr)
	defer stop()
	parser := flags.NewNamedParser("oriolestandin", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "runs stand-ins for the platform's store and for upstreams"
	addCommand(parser, "store", "Run a stand-in for the platform's store", &storeCommand{env: env})
	addCommand(parser, "upstream", "Run stand-ins for the upstreams of a service", &upstreamCommand{env: env})
	return execute(parser, args, stdout, stderr)
}

// storeCommand runs a stand-in for the platform's store.
type storeCommand struct {
	env    *environment
	Listen string `long:"listen" default:"127.0.0.1:17000" description:"address to listen on"`
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute(args []string) (err error) {
	if err := noArguments(args); err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return usageError{errors.Wrap(err, "--listen")}
	}
	defer func() { err = errors.Wrap(err, "running the store") }()
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: standin.NewStore(), ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(c.env.ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Fprintln(c.env.stdout, "the store listens on", listener.Addr())
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// upstreamCommand runs stand-ins for the upstreams of a service in one process. When
// it is interrupted, it prints the number of misrouted requests and the invariant
// violations.
type upstreamCommand struct {
	env             *environment
	Store           string        `long:"store" default:"127.0.0.1:17000" description:"address of the store"`
	Service         string        `long:"service" required:"true" description:"name of the service"`
	Zones           []string      `long:"zone" required:"true" description:"availability zone; may be repeated: upstreams are placed in the zones round-robin"`
	Count           int           `long:"count" default:"4" description:"number of upstreams"`
	Sharded         bool          `long:"divided" description:"run requests only for keys that the upstream owns"`
	RequestDuration time.Duration `long:"work" default:"2ms" description:"processing time of a request"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	addr, err := netip.ParseAddrPort(c.Store)
	if err != nil {
		return usageError{errors.Wrap(err, "--store")}
	}
	if c.Count < 1 {
		return usageError{errors.New("--count: must be above 0")}
	}
	options := []standin.Option{standin.WithRequestDuration(c.RequestDuration)}
	if c.Sharded {
		options = append(options, standin.WithSharding())
	}
	checker, registry := standin.NewChecker(), standin.NewRemoteStore(addr)
	for i := range c.Count {
		id := c.Service + "-" + strconv.Itoa(i)
		_, cleanup, err := standin.NewUpstream(checker, registry, id, c.Service, c.Zones[i%len(c.Zones)], netip.AddrPort{}, options...)
		if err != nil {
			return err
		}
		defer cleanup()
	}
	fmt.Fprintf(c.env.stdout, "%d upstreams listen\n", c.Count)
	<-c.env.ctx.Done()
	return json.NewEncoder(c.env.stdout).Encode(struct {
		Misrouted  int      `json:"misplaced"`
		Violations []string `json:"broken"`
	}{checker.Misrouted(), checker.Violations()})
}
