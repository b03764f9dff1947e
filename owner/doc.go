// Package owner runs the scheduler of one service for as long as its entry holds the lease: it records, dispatches, watches and answers.
package owner
