package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/scheduler"
)

// StandIns configures which fakes to run and at which addresses.
type StandIns struct {
	// Platform is the address of the platform. Workers is the address of the first worker; the others use the ports after it.
	Platform     string
	Workers      string
	Racks        int
	PerRack      int
	Accelerators int
	Zone         string
	// Entries are the peer addresses of the entries, which the VM list contains.
	Entries []string
}

// Run serves the platform and all workers until the context ends; once they accept connections, it writes the VM list to out as JSON.
func (o StandIns) Run(ctx context.Context, out io.Writer) error {
	platform := faker.NewPlatform()
	vms, err := o.startWorkers(ctx)
	if err != nil {
		return err
	}
	for i, address := range o.Entries {
		vms = append(vms, lister.VM{ID: fmt.Sprintf("entry-%d", i), Role: lister.RoleEntry, Address: address, Zone: o.Zone})
	}
	platform.SetVMs(vms)
	if err := serveUntil(ctx, o.Platform, platform); err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(vms); err != nil {
		return fmt.Errorf("print VMs: %w", err)
	}
	<-ctx.Done()
	return nil
}

func (o StandIns) startWorkers(ctx context.Context) ([]lister.VM, error) {
	first, err := net.ResolveTCPAddr("tcp", o.Workers)
	if err != nil {
		return nil, fmt.Errorf("resolve address of workers: %w", err)
	}
	var vms []lister.VM
	for i := range o.Racks * o.PerRack {
		vm := lister.VM{
			ID:      fmt.Sprintf("worker-%02d", i),
			Role:    lister.RoleWorker,
			Address: net.JoinHostPort(first.IP.String(), strconv.Itoa(first.Port+i)),
			Zone:    o.Zone,
			Rack:    fmt.Sprintf("rack-%d", i/o.PerRack),
		}
		w := faker.NewWorker(scheduler.Worker{
			ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Incarnation: "1",
			Accelerators: o.Accelerators, Slots: o.Accelerators, MemoryMB: memoryMB,
		})
		if err := serveUntil(ctx, vm.Address, w); err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// serveUntil starts an HTTP server on the address and stops it when the context ends.
func serveUntil(ctx context.Context, address string, handler http.Handler) error {
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
