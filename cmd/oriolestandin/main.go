// Command oriolestandin runs stand-ins for the platform's store and for
// upstreams, so that gateways can be tried out on one machine.
package main

import (
	"os"

	"github.com/orioleswitch/orioleswitch/internal/oriolecli"
)

func main() { os.Exit(oriolecli.StandinMain(os.Args[1:], os.Stdout, os.Stderr)) }
