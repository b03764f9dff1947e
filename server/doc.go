// Package server implements the HTTP API for callers and operators.
package server
