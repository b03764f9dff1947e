package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/snipelift/snipelift/assembler"
	"github.com/snipelift/snipelift/caller"
	"github.com/snipelift/snipelift/configurer"
	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/faker"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/measurer"
)

const (
	entriesPerService = 3
	readHeaderTimeout = 5 * time.Second
	readyPollInterval = 50 * time.Millisecond
	readyTimeout      = 20 * time.Second
	memoryMB          = 64 << 10
)

// Service is a running service with its entries, fake workers and fake platform.
type Service struct {
	Document documenter.Document
	Platform *faker.Platform
	Workers  map[string]*faker.Worker
	// Callers has a client for each entry.
	Callers []caller.Client

	apps    []*fx.App
	servers []*http.Server
}

// Start starts a service with three entries on loopback and submits its document; cleanUp stops the entries and the fakes.
func Start(ctx context.Context, text []byte, logs io.Writer) (s *Service, cleanUp func(), err error) {
	d, err := documenter.Decode(text)
	if err != nil {
		return nil, nil, fmt.Errorf("read document: %w", err)
	}
	s = &Service{Document: d, Platform: faker.NewPlatform(), Workers: map[string]*faker.Worker{}}
	if err := s.start(ctx, text, logs); err != nil {
		s.stop()
		return nil, nil, err
	}
	return s, s.stop, nil
}

func (s *Service) start(ctx context.Context, text []byte, logs io.Writer) error {
	platform, err := s.serve(ctx, s.Platform)
	if err != nil {
		return err
	}
	vms, err := s.startWorkers(ctx)
	if err != nil {
		return err
	}
	var list []configurer.Settings
	for i := range entriesPerService {
		settings, err := s.settings(ctx, i, platform)
		if err != nil {
			return err
		}
		list = append(list, settings)
		vms = append(vms, lister.VM{ID: settings.Entry, Role: lister.RoleEntry, Address: settings.PeerAddress, Zone: settings.Zone})
	}
	s.Platform.SetVMs(vms)
	for _, settings := range list {
		app := assembler.New(assembler.Inputs{Settings: settings, LogOutput: logs})
		if err := app.Start(ctx); err != nil {
			return fmt.Errorf("start entry: %w", err)
		}
		s.apps = append(s.apps, app)
		s.Callers = append(s.Callers, caller.Client{BaseURL: "http://" + settings.HTTPAddress, HTTP: &http.Client{}})
	}
	if _, err := s.Callers[0].PutDocument(ctx, 0, text, "first", "demo"); err != nil {
		return fmt.Errorf("put document: %w", err)
	}
	return s.waitForOwner(ctx)
}

func (s *Service) startWorkers(ctx context.Context) ([]lister.VM, error) {
	var vms []lister.VM
	for _, info := range measurer.FleetOf(s.Document, memoryMB, 0) {
		w := faker.NewWorker(info)
		address, err := s.serve(ctx, w)
		if err != nil {
			return nil, err
		}
		s.Workers[info.ID] = w
		vms = append(vms, lister.VM{ID: info.ID, Role: lister.RoleWorker, Address: address, Zone: info.Zone, Rack: info.Rack})
	}
	return vms, nil
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (s *Service) serve(ctx context.Context, handler http.Handler) (string, error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return listener, nil
}

// freeAddress returns a loopback address with a port that was free when it was probed.
func freeAddress(ctx context.Context) (string, error) {
	listener, err := listen(ctx)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (s *Service) settings(ctx context.Context, i int, platform string) (configurer.Settings, error) {
	httpAddress, err := freeAddress(ctx)
	if err != nil {
		return configurer.Settings{}, err
	}
	peerAddress, err := freeAddress(ctx)
	if err != nil {
		return configurer.Settings{}, err
	}
	settings := configurer.Settings{
		Entry:       fmt.Sprintf("entry-%d", i+1),
		Zone:        s.Document.Workers[i%len(s.Document.Workers)].Zone,
		Service:     s.Document.Service,
		HTTPAddress: httpAddress,
		PeerAddress: peerAddress,
		Platform: configurer.Platform{
			TableURL:  "http://" + platform,
			ObjectURL: "http://" + platform,
			ListURL:   "http://" + platform + "/vms",
		},
		DrainMillis:     100,
		CheckInvariants: true,
	}.WithDefaults()
	if err := settings.Validate(); err != nil {
		return settings, fmt.Errorf("make settings: %w", err)
	}
	return settings, nil
}

// waitForOwner waits until each entry has a document and returns the status of an owner that knows all workers.
func (s *Service) waitForOwner(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, c := range s.Callers {
		for {
			status, err := c.Status(ctx)
			if err == nil && status.View != nil && len(status.View.Workers) == len(s.Workers) && status.Self.DocumentVersion > 0 {
				break
			}
			if ctx.Err() != nil {
				return errors.Join(errors.New("no owner became ready"), err)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (s *Service) stop() {
	var group sync.WaitGroup
	for _, app := range s.apps {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), app.StopTimeout())
			defer cancel()
			_ = app.Stop(ctx)
		})
	}
	group.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	for _, w := range s.Workers {
		w.Close()
	}
}
