// Package soak runs the real programs as processes of their own under faults from outside, and checks what callers and workers see.
package soak
