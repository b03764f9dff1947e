package owner

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// Tracer creates the trace spans of an owner; the zero value creates none.
type Tracer struct{ Tracer trace.Tracer }

// child starts a client span for a command to a worker as a child of the span in ctx, and returns a function that ends it.
func (t Tracer) child(ctx context.Context, name, worker string) (context.Context, func()) {
	if t.Tracer == nil {
		return ctx, func() {}
	}
	ctx, span := t.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("worker", worker)))
	return ctx, func() { span.End() }
}

// span starts a span for a job as a child of the span in traceparent, and returns a function that ends it.
func (t Tracer) span(ctx context.Context, name, job, traceparent string) (context.Context, func()) {
	if t.Tracer == nil {
		return ctx, func() {}
	}
	carrier := propagation.MapCarrier{"traceparent": traceparent}
	ctx = propagation.TraceContext{}.Extract(ctx, carrier)
	ctx, span := t.Tracer.Start(ctx, name, trace.WithAttributes(attribute.String("job", job)))
	return ctx, func() { span.End() }
}
