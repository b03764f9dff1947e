// Package tracer makes the spans of a process and writes them where the settings say.
package tracer
