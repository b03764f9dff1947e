// Package scheduler decides which job runs on which workers; it is a state machine without input or output that takes events and the time and returns decisions.
package scheduler
