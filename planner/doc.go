// Package planner says what the scheduler would do now with a given document and state.
package planner
