// Package estimator learns how long the tasks of jobs run.
//
// It replaces declared run times that are wrong by a factor of up to two, in a
// load in which some tasks take several times as long as the others of their
// step. It performs no I/O and reads no clock. Work is the run time of a task
// multiplied by the rated speed of its worker, so that it is the run time on a
// worker of average speed. An Estimator is not safe for concurrent use.
package estimator
