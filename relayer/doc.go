// Package relayer forwards requests to the store through another entry VM while the store is unavailable from this one.
//
// It handles outages in which the store rejects, or is unreachable from, only
// some of the VMs: without a relay, requests of clients of such a VM fail until
// the load balancer directs the clients to another VM.
package relayer
