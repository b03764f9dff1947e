// Package acceptor implements the client API: it stores submitted jobs and cancellation requests, and returns the states of jobs.
//
// It works without an owner, which reads the jobs and cancellations from the store.
package acceptor
