// Package counter provides metrics of a process: the traffic of its connections and its CPU and memory use.
package counter
