// Package soak runs the entries as separate processes, injects network, process and store faults, and checks what clients and workers observe.
package soak
