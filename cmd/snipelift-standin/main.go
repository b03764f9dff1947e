// Command snipelift-standin runs the stand-ins for the platform and the workers, for tests and trials.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/scheduler"
)

const readHeaderTimeout = 5 * time.Second

type options struct {
	platform     string
	workers      string
	racks        int
	perRack      int
	accelerators int
	zone         string
	entries      []string
}

func main() {
	o := options{platform: "127.0.0.1:8000", workers: "127.0.0.1:9000", racks: 1, perRack: 2, accelerators: 8, zone: "zone-a"}
	parser := flaggy.NewParser("snipelift-standin")
	parser.String(&o.platform, "p", "platform", "address of the platform, IP:port")
	parser.String(&o.workers, "w", "workers", "address of the first worker, IP:port; the others follow on the next ports")
	parser.Int(&o.racks, "r", "racks", "number of racks")
	parser.Int(&o.perRack, "n", "workers-per-rack", "number of workers in a rack")
	parser.Int(&o.accelerators, "a", "accelerators", "number of accelerators of a worker")
	parser.String(&o.zone, "z", "zone", "availability zone of the workers")
	parser.StringSlice(&o.entries, "e", "entry", "peer address of an entry, IP:port")
	if err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "snipelift-standin:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipelift-standin:", err)
		os.Exit(1)
	}
}

// run serves the platform and all workers until the context ends.
func run(ctx context.Context, o options) error {
	platform := faker.NewPlatform()
	vms, err := startWorkers(ctx, o)
	if err != nil {
		return err
	}
	for i, address := range o.entries {
		vms = append(vms, lister.VM{ID: fmt.Sprintf("entry-%d", i), Role: lister.RoleEntry, Address: address, Zone: o.zone})
	}
	platform.SetVMs(vms)
	if err := serve(ctx, o.platform, platform); err != nil {
		return err
	}
	var line bytes.Buffer
	if err := json.NewEncoder(&line).Encode(vms); err != nil {
		return fmt.Errorf("print VMs: %w", err)
	}
	_, _ = os.Stdout.Write(line.Bytes())
	<-ctx.Done()
	return nil
}

func startWorkers(ctx context.Context, o options) ([]lister.VM, error) {
	first, err := net.ResolveTCPAddr("tcp", o.workers)
	if err != nil {
		return nil, fmt.Errorf("read address of workers: %w", err)
	}
	var vms []lister.VM
	for i := range o.racks * o.perRack {
		address := net.JoinHostPort(first.IP.String(), fmt.Sprint(first.Port+i))
		vm := lister.VM{
			ID:      fmt.Sprintf("worker-%02d", i),
			Role:    lister.RoleWorker,
			Address: address,
			Zone:    o.zone,
			Rack:    fmt.Sprintf("rack-%d", i/o.perRack),
		}
		w := faker.NewWorker(scheduler.Worker{
			ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Incarnation: "1",
			Accelerators: o.accelerators, Slots: o.accelerators, MemoryMB: 64 << 10,
		})
		if err := serve(ctx, address, w); err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.Serve(listener) }()
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	return nil
}
