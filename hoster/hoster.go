package hoster

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/snipelift/snipelift/acceptor"
	"github.com/snipelift/snipelift/director"
	"github.com/snipelift/snipelift/follower"
	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/platform"
	"github.com/snipelift/snipelift/registrar"
	"github.com/snipelift/snipelift/relayer"
	"github.com/snipelift/snipelift/sleeper"
)

const (
	// storeTimeout limits one request to the store; a slow store takes over half a second.
	storeTimeout = 1200 * time.Millisecond
	// probeTimeout limits one probe of whether the store serves this VM again.
	probeTimeout = 400 * time.Millisecond
	// adviceTimeout limits one request to the advice service, including the time for requests that it processes before.
	adviceTimeout = 5 * time.Second
	// workerTimeout limits one request to a worker.
	workerTimeout = 900 * time.Millisecond
	// headerTimeout, idleTimeout and maxHeaderBytes limit client connections; they are constants because the listeners open before the configuration is known.
	headerTimeout  = 3 * time.Second
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 16 << 10
	// shutdownTimeout is the part of the grace period that is reserved for requests in progress when the listeners close.
	shutdownTimeout = 1500 * time.Millisecond
	// maxStoreSilence is the time without a response of the store after which the process reports that it is not ready.
	maxStoreSilence = 2500 * time.Millisecond
	// idleDivisor determines the share of file descriptors for idle connections, which is 1/idleDivisor; with 1,100 workers an owner has as many requests in progress and up to 400 starts.
	idleDivisor = 4
	// defaultGrace is the grace period if the settings contain none.
	defaultGrace = 6 * time.Second
)

// Process is the process of one entry VM.
type Process struct {
	Settings platform.Settings
	Logger   *slog.Logger
	// Reload receives a value when the settings may have changed; it may be nil.
	Reload <-chan struct{}

	// startedAt is when the process started, and startedMillis the same by the store's clock, once that is known; only maintainPeers uses the latter.
	startedAt     time.Time
	startedMillis int64

	draining atomic.Bool
	store    *platform.Store
	relay    *relayer.Relayer
	config   *follower.Follower
	accept   *acceptor.Acceptor
}

// Run serves until the context is done, then drains within the grace period.
func (p *Process) Run(ctx context.Context) error {
	p.startedAt = time.Now()
	client, closeClient := platform.NewHTTPClient(idleConnections(p.Settings.MaxOpenFiles))
	defer closeClient()
	metrics := newMetrics()
	direct := &platform.Store{Client: client, Address: p.Settings.StoreAddress, Timeout: probeTimeout}
	p.relay = &relayer.Relayer{Store: p.Settings.StoreAddress, Direct: client.Transport, Logger: p.Logger, CountEvent: metrics.count, Probe: func(ctx context.Context) error {
		_, err := direct.Get(ctx, registrar.LeaseTable, registrar.OwnerPartition, registrar.LeaseKey)
		return err
	}}
	stopRelay := p.relay.Start()
	defer stopRelay()
	store := &platform.Store{Client: &http.Client{Transport: p.relay}, Address: p.Settings.StoreAddress, Timeout: storeTimeout, Observe: metrics.observeStoreRequest}
	p.store = store
	p.config = &follower.Follower{Store: store, Logger: p.Logger, Clock: director.SinceBoot}
	metrics.registerConfig(p.config)
	p.accept = acceptor.New(store, p.config, p.Logger)
	p.accept.ConfigDeadline, p.accept.ConfigStretch = p.Settings.Bounds.ConfigDeadline, p.Settings.Bounds.ConfigStretch
	budget := limiter.New(limiter.Detect(p.Settings.MemoryMB, p.Settings.MaxOpenFiles), p.Logger)
	defer budget.Close()
	budget.Register(metrics.registry)
	owner := p.newDirector(store, client, metrics)
	servers, err := p.listen(ctx, metrics, budget, owner)
	if err != nil {
		return err
	}
	p.Logger.Info("process started", "zone", p.Settings.Zone, "front", p.Settings.ClientAddress)
	var group sync.WaitGroup
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	group.Go(func() { p.config.Run(follow) })
	group.Go(func() { owner.Run(ctx) })
	group.Go(func() { p.maintainPeers(ctx) })
	p.awaitShutdown(ctx)
	p.drain(servers)
	stopFollowing()
	group.Wait()
	p.Logger.Info("process stopped")
	return nil
}

// idleConnections returns the maximum number of idle connections for a number of file descriptors: the others are for files, requests in progress and clients.
func idleConnections(descriptors int) int { return descriptors / idleDivisor }

// newDirector returns the director, which competes for the lease and acts as the owner while it holds it.
func (p *Process) newDirector(store *platform.Store, client *http.Client, m *metricSet) *director.Director {
	d := &director.Director{
		Node: p.Settings.Node, Incarnation: rand.Text(), Store: store,
		Workers: &platform.Workers{Client: client, Timeout: workerTimeout},
		Config:  p.config, Bounds: p.Settings.Bounds, Logger: p.Logger, Cores: p.Settings.Cores,
		SetGauge: m.setGauge, ObserveDuration: m.observeDuration,
	}
	if p.Settings.AdviceAddress != "" {
		d.Advisor = &platform.Advisor{Client: client, Address: p.Settings.AdviceAddress, Timeout: adviceTimeout}
	}
	return d
}

// awaitShutdown logs requests to reload the settings, and returns when the context is done.
func (p *Process) awaitShutdown(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Reload:
			p.Logger.Info("ignoring the request to reload: no setting can change while the process runs")
		}
	}
}

// listen opens all listeners before it returns, so that the process exits immediately if an address is unavailable.
func (p *Process) listen(ctx context.Context, m *metricSet, budget *limiter.Budget, owner *director.Director) ([]*http.Server, error) {
	endpoints := []struct {
		class   limiter.Class
		address string
		handler http.Handler
		headers []string
	}{
		{limiter.Clients, p.Settings.ClientAddress, m.instrument(p.accept), platform.ClientHeaders()},
		{limiter.Probes, p.Settings.ReadinessAddress, http.HandlerFunc(p.serveReadiness), nil},
		{limiter.Metrics, p.Settings.MetricsAddress, operatorHandler(m, &placementHandler{accept: p.accept, explain: owner.Explain}), nil},
		{limiter.Peers, p.Settings.PeerAddress, p.relay, platform.StoreHeaders()},
	}
	var servers []*http.Server
	for _, endpoint := range endpoints {
		if endpoint.address == "" {
			continue
		}
		l, err := limiter.Listen(ctx, endpoint.class, endpoint.address)
		if err != nil {
			return nil, fmt.Errorf("open listener for %s: %w", endpoint.class, err)
		}
		s := &http.Server{
			Handler: endpoint.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
			ErrorLog: slog.NewLogLogger(p.Logger.Handler(), slog.LevelDebug),
		}
		budget.Protect(s, endpoint.headers...)
		servers = append(servers, s)
		go func() {
			if err := s.Serve(budget.Wrap(endpoint.class, l)); !errors.Is(err, http.ErrServerClosed) {
				p.Logger.Error("listener failed", "address", endpoint.address, "error", err.Error())
			}
		}()
	}
	return servers, nil
}

// serveReadiness responds to the platform's readiness probe: with 503 the load balancer sends new connections to other VMs.
func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if p.draining.Load() || p.configOutdated() || p.store.SinceLastResponse() > maxStoreSilence {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// configOutdated reports whether clients are better served by a VM with a newer configuration.
func (p *Process) configOutdated() bool {
	age, known := p.config.Age()
	limit := p.Settings.Bounds.ConfigDeadline
	return !known || p.config.Current() == nil || (limit > 0 && age > limit)
}

// drain reports that the process is not ready, keeps serving, and shuts the servers down before the grace period ends.
func (p *Process) drain(servers []*http.Server) {
	grace := p.Settings.Bounds.GracePeriod
	if grace == 0 {
		grace = defaultGrace
	}
	p.Logger.Info("process draining", "grace", grace.String())
	p.draining.Store(true)
	p.accept.Draining.Store(true)
	sleeper.Sleep(context.Background(), grace-2*shutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				p.Logger.Warn("requests aborted at shutdown", "error", err.Error())
			}
		})
	}
	group.Wait()
}
