// Package tracer creates the OpenTelemetry tracer of a process, which writes spans to a file.
package tracer
