package server

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipelift/snipelift/messenger"
	"github.com/snipelift/snipelift/owner"
	"github.com/snipelift/snipelift/recorder"
	"github.com/snipelift/snipelift/router"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/spreader"
)

// Service holds the functions of the entry VM that the handlers call; a test can replace each one.
type Service struct {
	Submit   func(ctx context.Context, record recorder.OpenJob) (router.SubmitResult, error)
	Wait     func(ctx context.Context, id string) (owner.Progress, error)
	Cancel   func(ctx context.Context, id string) error
	View     func(ctx context.Context, withJobs bool) (scheduler.View, error)
	Result   func(ctx context.Context, key string) ([]byte, error)
	Ready    func() bool
	Self     func() messenger.Ping
	Entries  func() map[string]messenger.Ping
	Document *spreader.Spreader
	// Draining is closed at shutdown; pending waits then respond with the job's progress.
	Draining <-chan struct{}
}

// Options configure the handler that NewHandler returns.
type Options struct {
	Service  Service
	Auth     Auth
	Logger   *slog.Logger
	Tracer   trace.Tracer
	Registry metrics.Registry
}

const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	writeTimeout      = maxWait + 30*time.Second
	idleTimeout       = 90 * time.Second
)

type server struct{ options Options }

// NewHandler returns the handler of the HTTP API, which docs/HTTP.md describes.
func NewHandler(options Options) http.Handler {
	gin.SetMode(gin.ReleaseMode)
	s := &server{options: options}
	engine := gin.New()
	engine.Use(gin.Recovery(), s.observe)
	engine.GET("/healthz", func(c *gin.Context) { c.Status(http.StatusOK) })
	engine.GET("/readyz", s.ready)
	engine.GET("/metrics", s.metrics)
	v1 := engine.Group("/v1")
	v1.POST("/jobs", s.submit)
	v1.GET("/jobs/:id", s.get)
	v1.GET("/jobs/:id/explanation", s.explain)
	v1.DELETE("/jobs/:id", s.cancel)
	v1.GET("/document", s.getDocument)
	v1.PUT("/document", s.putDocument)
	v1.GET("/document/history", s.history)
	v1.GET("/status", s.status)
	return engine
}

// Headers returns the canonical names of the headers that the handlers read.
func Headers() []string {
	return []string{
		"Authorization", "Prefer", "If-Match", "If-None-Match", "Traceparent", "Tracestate",
		HeaderIdempotencyKey, HeaderOrganisation, HeaderEditID, HeaderEditor,
	}
}

// NewHTTPServer returns an HTTP server for the handler with timeouts and a header size limit.
func NewHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// observe is the middleware that records the metrics and the span of each request.
func (s *server) observe(c *gin.Context) {
	start := time.Now()
	ctx, span := s.options.Tracer.Start(withRemoteTrace(c), "entry "+c.Request.Method+" "+c.FullPath())
	defer span.End()
	c.Request = c.Request.WithContext(ctx)
	c.Next()
	name := "http." + c.Request.Method + "." + http.StatusText(c.Writer.Status())
	metrics.GetOrRegisterCounter(name, s.options.Registry).Inc(1)
	metrics.GetOrRegisterTimer("http.latency", s.options.Registry).UpdateSince(start)
}

func (s *server) ready(c *gin.Context) {
	if !s.options.Service.Ready() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

func (s *server) metrics(c *gin.Context) {
	c.Header("Content-Type", "application/json")
	metrics.WriteJSONOnce(s.options.Registry, c.Writer)
}

// Status is the body of GET /v1/status.
type Status struct {
	Self            messenger.Ping            `json:"self"`
	Entries         map[string]messenger.Ping `json:"entries"`
	DocumentTrusted bool                      `json:"documentTrusted"`
	StoreSeen       bool                      `json:"storeSeen"`
	View            *scheduler.View           `json:"view,omitempty"`
}

const statusTimeout = 3 * time.Second

func (s *server) status(c *gin.Context) {
	if !s.options.Auth.requireOperator(c) {
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), statusTimeout)
	defer cancel()
	status := Status{
		Self:            s.options.Service.Self(),
		Entries:         s.options.Service.Entries(),
		DocumentTrusted: s.options.Service.Document.Fresh(),
		StoreSeen:       s.options.Service.Document.ConfirmedByTable(),
	}
	view, err := s.options.Service.View(ctx, c.Query("jobs") == "true")
	if err == nil {
		status.View = &view
	}
	c.JSON(http.StatusOK, status)
}
