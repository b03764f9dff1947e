// Package dispatcher sends commands to workers over HTTP and decodes the status of their tasks.
package dispatcher
