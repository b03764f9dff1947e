// Package caller is a Go client of the HTTP API.
package caller
