// Package explainer extracts the lines about one job from the saved logs of all processes and merges them by
// time.
package explainer
