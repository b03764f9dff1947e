// Package owner runs the scheduler of one service while its entry holds the lease: it records jobs, dispatches them, monitors the workers and answers callers.
package owner
