// Package planner computes what the scheduler would do with a given document and state.
package planner
