// Command snipelift-standin runs the stand-ins for the platform and the workers, for tests and trials.
package main

import (
	"os"

	"github.com/snipelift/snipelift/commands"
)

func main() {
	os.Exit(commands.MainStandIn(os.Args[1:], os.Stdout, os.Stderr))
}
