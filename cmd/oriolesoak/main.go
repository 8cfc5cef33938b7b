// Command oriolesoak runs gateway processes under random faults and checks
// their invariants.
package main

import (
	"os"

	"github.com/orioleswitch/orioleswitch/internal/oriolecli"
)

func main() { os.Exit(oriolecli.SoakMain(os.Args[1:], os.Stdout, os.Stderr)) }
