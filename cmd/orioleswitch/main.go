// Command orioleswitch routes requests to servers that own keys exclusively.
package main

import (
	"os"

	"github.com/orioleswitch/orioleswitch/internal/oriolecli"
)

func main() { os.Exit(oriolecli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
