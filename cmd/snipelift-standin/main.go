// Command snipelift-standin runs fakes of the platform and the workers, for tests and experiments.
package main

import (
	"os"

	"github.com/snipelift/snipelift/commands"
)

func main() {
	os.Exit(commands.MainStandIn(os.Args[1:], os.Stdout, os.Stderr))
}
