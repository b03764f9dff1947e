// Package sleeper provides a sleep that a context can interrupt.
package sleeper
