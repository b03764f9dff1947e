// Package dispatcher sends commands to workers and reads what they say of their tasks.
package dispatcher
