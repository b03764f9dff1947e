// Package sleeper waits for a time or for the end of a context.
package sleeper
