// Package limiter keeps the memory and the file descriptors that clients and peers use within a budget that is derived from the limits of the process.
//
// A Budget is shared by all listeners of a process. It counts connections,
// header lines and bytes while they are read, and bodies while they are held.
// When the budget is exhausted, the connection that makes the least progress
// is closed. Requests that would exceed it are refused before they run.
//
// The files ledger.go, cost.go, shares.go and victim.go hold the decisions;
// they perform no I/O and read no clock.
package limiter
