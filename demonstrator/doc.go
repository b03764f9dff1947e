// Package demonstrator runs complete services on loopback addresses in one process, with fakes for the platform and the workers.
package demonstrator
