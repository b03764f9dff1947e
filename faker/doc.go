// Package faker holds small stand-ins for the platform and the workers, which can be told to fail.
package faker
