package tracer

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const filePermissions = 0o600

// New returns a tracer that appends spans to a file in batches, as JSON, or a no-op tracer if path is empty. The
// function cleanUp flushes the remaining spans and closes the file.
func New(path, entry string) (tracer trace.Tracer, cleanUp func(ctx context.Context) error, err error) {
	if path == "" {
		return noop.NewTracerProvider().Tracer(entry), func(context.Context) error { return nil }, nil
	}
	file, exporter, err := open(path)
	if err != nil {
		return nil, nil, err
	}
	provider := sdk.NewTracerProvider(sdk.WithBatcher(exporter))
	cleanUp = func(ctx context.Context) error {
		shutdownErr := provider.Shutdown(ctx)
		if err := file.Close(); err != nil {
			return fmt.Errorf("close trace file: %w", err)
		}
		if shutdownErr != nil {
			return fmt.Errorf("flush spans: %w", shutdownErr)
		}
		return nil
	}
	return provider.Tracer(entry), cleanUp, nil
}

// NewSynchronous returns a tracer for a short-lived process, which writes each span to the file as soon as it ends.
func NewSynchronous(path, process string) (trace.Tracer, error) {
	_, exporter, err := open(path)
	if err != nil {
		return nil, err
	}
	return sdk.NewTracerProvider(sdk.WithSyncer(exporter)).Tracer(process), nil
}

func open(path string) (*os.File, *stdouttrace.Exporter, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, filePermissions)
	if err != nil {
		return nil, nil, fmt.Errorf("open trace file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, nil, fmt.Errorf("create span exporter: %w", err)
	}
	return file, exporter, nil
}

// Traceparent returns the W3C trace context of the span in ctx, or an empty string.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}
