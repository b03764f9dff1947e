package commands

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/demonstrator"
)

// MainStandIn runs the fake platform and workers that the arguments describe and returns the exit code.
func MainStandIn(arguments []string, out, errOut io.Writer) int {
	c := console{out: out, err: errOut}
	o := demonstrator.StandIns{
		Platform: "127.0.0.1:8000", Workers: "127.0.0.1:9000",
		Racks: 1, PerRack: 2, Accelerators: 8, Zone: "zone-a",
	}
	parser := flaggy.NewParser("snipelift-standin")
	parser.Description = "runs stand-ins for the platform and the workers, for tests and trials"
	parser.String(&o.Platform, "p", "platform", "address of the platform, IP:port")
	parser.String(&o.Workers, "w", "workers", "address of the first worker, IP:port; the others follow on the next ports")
	parser.Int(&o.Racks, "r", "racks", "number of racks")
	parser.Int(&o.PerRack, "n", "workers-per-rack", "number of workers in a rack")
	parser.Int(&o.Accelerators, "a", "accelerators", "number of accelerators of a worker")
	parser.String(&o.Zone, "z", "zone", "availability zone of the workers")
	parser.StringSlice(&o.Entries, "e", "entry", "peer address of an entry, IP:port; may be repeated")
	if err := parser.ParseArgs(arguments); err != nil {
		return c.fail(fmt.Errorf("%w: %w", errUsage, err))
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := o.Run(ctx, out); err != nil {
		return c.fail(err)
	}
	return ExitDone
}
