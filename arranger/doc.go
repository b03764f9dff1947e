// Package arranger schedules the tasks of jobs on workers and chooses the runs to preempt.
//
// It performs no I/O and reads no clock: the caller reports each event with its
// time and carries out the returned orders. An Arranger is not safe for
// concurrent use.
package arranger
