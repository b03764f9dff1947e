package assembler

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/snipelift/snipelift/sleeper"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"github.com/snipelift/snipelift/configurer"
	"github.com/snipelift/snipelift/counter"
	"github.com/snipelift/snipelift/dispatcher"
	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/lister"
	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/router"
	"github.com/snipelift/snipelift/server"
	"github.com/snipelift/snipelift/storer"
	"github.com/snipelift/snipelift/tracer"
)

// Inputs hold the settings of an entry VM's process and the destination of its log.
type Inputs struct {
	Settings configurer.Settings
	// LogOutput receives the log lines.
	LogOutput io.Writer
}

const (
	// stopTimeout limits the whole graceful shutdown.
	stopTimeout = 30 * time.Second
	// idleConnections is the maximum number of idle connections to one host, such as a worker.
	idleConnections = 4
	idBytes         = 12
	// connectionBuffer is the size in bytes of the read and the write buffer of a connection. It is below the
	// default of 4 KiB, since an owner has a connection to every worker.
	connectionBuffer = 1 << 10
)

// New returns the fx application of an entry VM's process; the caller starts and stops it.
func New(inputs Inputs) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.StopTimeout(stopTimeout),
		fx.Supply(inputs, inputs.Settings),
		fx.Provide(
			newLogger,
			newTracer,
			newClients,
			newTable,
			newObjects,
			newWorkers,
			newList,
			newRouter,
			newHandler,
			newDrain,
			newRegistry,
			newBudget,
		),
		fx.Invoke(runPeerServer, runRouter, runHTTPServer),
	)
}

func newLogger(inputs Inputs) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(inputs.Settings.LogLevel)); err != nil {
		return nil, fmt.Errorf("read log level: %w", err)
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewJSONHandler(inputs.LogOutput, options)
	if inputs.Settings.LogFormat == "text" {
		handler = slog.NewTextHandler(inputs.LogOutput, options)
	}
	return slog.New(handler).With("entry", inputs.Settings.Entry, "service", inputs.Settings.Service), nil
}

func newTracer(lifecycle fx.Lifecycle, settings configurer.Settings) (trace.Tracer, error) {
	t, cleanUp, err := tracer.New(settings.TraceFile, settings.Entry)
	if err != nil {
		return nil, fmt.Errorf("create tracer: %w", err)
	}
	lifecycle.Append(fx.Hook{OnStop: cleanUp})
	return t, nil
}

// clients are the HTTP clients of a process, separate so that the traffic to the platform and the traffic to
// workers are counted separately.
type clients struct {
	platform *http.Client
	workers  *http.Client
}

func newClients(lifecycle fx.Lifecycle, registry metrics.Registry) clients {
	return clients{
		platform: newHTTPClient(lifecycle, registry, "platform"),
		workers:  newHTTPClient(lifecycle, registry, "workers"),
	}
}

func newHTTPClient(lifecycle fx.Lifecycle, registry metrics.Registry, name string) *http.Client {
	transport := &http.Transport{
		DialContext:         counter.InstrumentDial(registry, name, (&net.Dialer{Timeout: time.Second}).DialContext),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		ReadBufferSize:      connectionBuffer,
		WriteBufferSize:     connectionBuffer,
	}
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		transport.CloseIdleConnections()
		return nil
	}})
	return &http.Client{Transport: transport}
}

func newRegistry() metrics.Registry {
	registry := metrics.NewRegistry()
	counter.RegisterProcess(registry)
	return registry
}

// newBudget returns the budget that the listeners for callers and for other entries share.
func newBudget(lifecycle fx.Lifecycle, settings configurer.Settings, registry metrics.Registry, logger *slog.Logger) *limiter.Budget {
	budget := limiter.New(limiter.Detect(settings.MemoryMB, settings.MaxOpenFiles), logger)
	budget.Register(registry)
	lifecycle.Append(fx.Hook{OnStop: func(context.Context) error {
		budget.Close()
		return nil
	}})
	return budget
}

func credentialsOf(p configurer.Platform) aws.CredentialsProvider {
	if p.AccessKeyID == "" {
		return aws.AnonymousCredentials{}
	}
	return credentials.NewStaticCredentialsProvider(p.AccessKeyID, p.SecretAccessKey, "")
}

func newTable(settings configurer.Settings, c clients) storer.Table {
	return storer.NewDynamo(storer.DynamoOptions{
		Endpoint:    settings.Platform.TableURL,
		Region:      settings.Platform.Region,
		Table:       settings.Platform.Table,
		Service:     settings.Service,
		Credentials: credentialsOf(settings.Platform),
		HTTPClient:  c.platform,
		Timeout:     settings.Platform.Timeout(),
	})
}

func newObjects(settings configurer.Settings, c clients) storer.Objects {
	return storer.NewS3(storer.S3Options{
		Endpoint:    settings.Platform.ObjectURL,
		Region:      settings.Platform.Region,
		Bucket:      settings.Platform.Bucket,
		Credentials: credentialsOf(settings.Platform),
		HTTPClient:  c.platform,
		Timeout:     settings.Platform.Timeout(),
	})
}

func newWorkers(c clients) dispatcher.Client { return dispatcher.NewHTTP(c.workers) }

func newList(settings configurer.Settings, c clients) lister.List {
	return lister.NewHTTP(c.platform, settings.Platform.ListURL)
}

// newID returns a random ID, unique for all practical purposes.
func newID() string {
	var id [idBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

func newRouter(settings configurer.Settings, table storer.Table, objects storer.Objects, workers dispatcher.Client, list lister.List, logger *slog.Logger, t trace.Tracer, registry metrics.Registry) *router.Router {
	dial := counter.InstrumentDial(registry, "peers", (&net.Dialer{}).DialContext)
	return router.New(router.Options{
		Entry:       settings.Entry,
		Incarnation: newID(),
		Zone:        settings.Zone,
		Address:     settings.PeerAddress,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dial(ctx, "tcp", address)
		},
		Table:   table,
		Objects: objects,
		Workers: workers,
		List:    list,
		Random:  mathrand.Float64,
		NewID:   newID,
		Checked: settings.CheckInvariants,
		Logger:  logger,
		Tracer:  owner.Tracer{Tracer: t},
	})
}

// drain is closed at shutdown, when pending waits must end.
type drain chan struct{}

func newDrain() drain { return make(drain) }

func newHandler(settings configurer.Settings, r *router.Router, objects storer.Objects, logger *slog.Logger, t trace.Tracer, registry metrics.Registry, d drain) http.Handler {
	return server.NewHandler(server.Options{
		Service: server.Service{
			Submit:   r.Submit,
			Wait:     r.Wait,
			Cancel:   r.Cancel,
			View:     r.View,
			Result:   objects.Get,
			Ready:    r.Ready,
			Self:     r.Self,
			Entries:  r.Entries,
			Document: r.Document(),
			Draining: d,
		},
		Auth: server.Auth{
			Required:       settings.CallerAuth == configurer.CallerAuthKeys,
			OperatorSHA256: settings.OperatorKeySHA256,
			Document:       func() documenter.Document { return currentDocument(r) },
		},
		Logger:   logger,
		Tracer:   t,
		Registry: registry,
	})
}

func currentDocument(r *router.Router) documenter.Document {
	v, err := r.Document().Current()
	if err != nil {
		return documenter.Document{}
	}
	return v.Document
}

func runPeerServer(lifecycle fx.Lifecycle, settings configurer.Settings, r *router.Router, registry metrics.Registry, budget *limiter.Budget) {
	var cleanUp func()
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := limiter.Listen(ctx, limiter.Peers, settings.PeerAddress)
			if err != nil {
				return fmt.Errorf("serve other entries: %w", err)
			}
			cleanUp = messenger.Serve(budget.Wrap(limiter.Peers, counter.Listener(registry, "peers", listener)), r.Handlers())
			return nil
		},
		OnStop: func(context.Context) error {
			cleanUp()
			return nil
		},
	})
}

func runRouter(lifecycle fx.Lifecycle, r *router.Router) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			group.Go(func() { r.Run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			group.Wait()
			return nil
		},
	})
}

// runHTTPServer runs the HTTP server. At shutdown it first reports that the entry VM is not ready, keeps
// serving for the drain time so that the load balancer stops sending requests, and then completes the
// requests in progress.
func runHTTPServer(lifecycle fx.Lifecycle, settings configurer.Settings, handler http.Handler, r *router.Router, d drain, logger *slog.Logger, budget *limiter.Budget) {
	httpServer := server.NewHTTPServer(handler)
	budget.Protect(httpServer, server.Headers()...)
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := limiter.Listen(ctx, limiter.Clients, settings.HTTPAddress)
			if err != nil {
				return fmt.Errorf("serve callers: %w", err)
			}
			logger.Info("serving", "address", settings.HTTPAddress)
			go func() { _ = httpServer.Serve(budget.Wrap(limiter.Clients, listener)) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			r.Drain()
			logger.Info("draining")
			sleeper.Sleep(ctx, settings.Drain())
			close(d)
			if err := httpServer.Shutdown(ctx); err != nil {
				return fmt.Errorf("shut down: %w", err)
			}
			return nil
		},
	})
}
