// Package counter counts what a process sends, receives and uses.
package counter
