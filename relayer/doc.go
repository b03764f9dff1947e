// Package relayer brings calls to the store through another entry VM while the store does not serve this one.
//
// It answers the load in which the store turns some VMs away, or some cannot
// reach it, while it serves the others: without it every client of such a VM is
// refused until the balancer sends it elsewhere.
package relayer
