package hoster

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/director"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/relayer"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// storeTimeout bounds one call to the store; a slow store takes over half a second.
	storeTimeout = 1200 * time.Millisecond
	// checkTimeout bounds one look whether the store serves this VM again.
	checkTimeout = 400 * time.Millisecond
	// adviceTimeout bounds one question to the advice service, behind others that it may answer first.
	adviceTimeout = 5 * time.Second
	// workerTimeout bounds one order to a worker.
	workerTimeout = 900 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes bound what clients may keep open before the configuration is known.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// stopReserve is the part of the grace period that is left for requests under way when the listener closes.
	stopReserve = 1500 * time.Millisecond
	// contactLimit is the time without an answer of the store after which new connections should go elsewhere.
	contactLimit = 2500 * time.Millisecond
	// idlePart is the part of the descriptors for idle connections; at 1,100 workers an owner has as many calls under way and up to 400 starts.
	idlePart = 4
	// defaultGrace is the grace period if the settings give none.
	defaultGrace = 6 * time.Second
)

// Process is the process of one entry VM.
type Process struct {
	Settings platform.Settings
	Logger   *slog.Logger
	// Reload is sent to when the settings may have changed; nil means never.
	Reload <-chan struct{}

	draining atomic.Bool
	store    *platform.Store
	relay    *relayer.Relayer
	config   *follower.Follower
	accept   *acceptor.Acceptor
}

// Run serves until the context ends, then drains within the grace period.
func (h *Process) Run(ctx context.Context) error {
	client, closeClient := platform.NewHTTPClient(idleConnections(h.Settings.MaxOpenFiles))
	defer closeClient()
	metrics := newMetrics()
	direct := &platform.Store{Client: client, Address: h.Settings.StoreAddress, Timeout: checkTimeout}
	h.relay = &relayer.Relayer{Store: h.Settings.StoreAddress, Direct: client.Transport, Logger: h.Logger, CountEvent: metrics.count, Probe: func(ctx context.Context) error {
		_, err := direct.Get(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey)
		return err
	}}
	stopRelay := h.relay.Start()
	defer stopRelay()
	store := &platform.Store{Client: &http.Client{Transport: h.relay}, Address: h.Settings.StoreAddress, Timeout: storeTimeout, Observe: metrics.observeStore}
	h.store = store
	h.config = &follower.Follower{Store: store, Logger: h.Logger}
	h.accept = acceptor.New(store, h.config, h.Logger)
	servers, err := h.listen(ctx, metrics)
	if err != nil {
		return err
	}
	h.Logger.Info("process started", "zone", h.Settings.Zone, "front", h.Settings.ClientAddress)
	var group sync.WaitGroup
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() { h.config.Run(follow) })
	group.Go(func() { h.direct(ctx, store, client) })
	group.Go(func() { h.followPeers(ctx) })
	h.serveReloads(ctx)
	h.drain(servers)
	stopFollowing()
	group.Wait()
	h.Logger.Info("process stopped")
	return nil
}

// idleConnections returns how many of the descriptors connections without a call may take: the rest is for files, calls under way and clients.
func idleConnections(descriptors int) int { return descriptors / idlePart }

func (h *Process) direct(ctx context.Context, store *platform.Store, client *http.Client) {
	d := &director.Director{
		Node: h.Settings.Node, Incarnation: rand.Text(), Store: store,
		Workers: &platform.Workers{Client: client, Timeout: workerTimeout},
		Config:  h.config, Bounds: h.Settings.Bounds, Logger: h.Logger, Cores: h.Settings.Cores,
	}
	if h.Settings.AdviceAddress != "" {
		d.Advisor = &platform.Advisor{Client: client, Address: h.Settings.AdviceAddress, Timeout: adviceTimeout}
	}
	d.Run(ctx)
}

// serveReloads returns when the context ends.
func (h *Process) serveReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.Reload:
			h.Logger.Info("settings reloaded, nothing in them can change while the process runs")
		}
	}
}

// listen opens all addresses, so that a process that cannot serve ends at once.
func (h *Process) listen(ctx context.Context, m *metricSet) ([]*http.Server, error) {
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{h.Settings.ClientAddress, m.timed(h.accept)},
		{h.Settings.ReadinessAddress, http.HandlerFunc(h.serveReady)},
		{h.Settings.MetricsAddress, m},
		{h.Settings.PeerAddress, h.relay},
	}
	var servers []*http.Server
	for _, entry := range handlers {
		if entry.address == "" {
			continue
		}
		var config net.ListenConfig
		l, err := config.Listen(ctx, "tcp", entry.address)
		if err != nil {
			return nil, fmt.Errorf("listen on %s: %w", entry.address, err)
		}
		s := &http.Server{
			Handler: entry.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(h.Logger.Handler(), slog.LevelDebug),
		}
		servers = append(servers, s)
		go func() {
			if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				h.Logger.Error("listener failed", "address", entry.address, "error", err.Error())
			}
		}()
	}
	return servers, nil
}

// serveReady answers the platform's question whether new connections should come here.
func (h *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.config.Current() == nil || h.store.SinceLastResponse() > contactLimit {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// drain keeps serving open connections until shortly before the platform would kill the process.
func (h *Process) drain(servers []*http.Server) {
	grace := h.Settings.Bounds.GracePeriod
	if grace == 0 {
		grace = defaultGrace
	}
	h.Logger.Info("process draining", "grace", grace.String())
	h.draining.Store(true)
	h.accept.Draining.Store(true)
	sleeper.Sleep(context.Background(), grace-2*stopReserve)
	ctx, cancel := context.WithTimeout(context.Background(), stopReserve)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				h.Logger.Warn("requests cut off at the end", "error", err.Error())
			}
		})
	}
	group.Wait()
}
