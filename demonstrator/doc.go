// Package demonstrator runs whole services with their stand-ins in one process on loopback.
package demonstrator
