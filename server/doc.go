// Package server answers callers and operators over HTTP.
package server
