// Package scheduler decides which job runs where; it takes events and the time and returns decisions, and does no input or output.
package scheduler
