// Command orioleswitch runs gateways that route each request to the server that
// owns its key, and operates them.
package main

import (
	"os"

	"github.com/orioleswitch/orioleswitch/internal/oriolecli"
)

func main() { os.Exit(oriolecli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
