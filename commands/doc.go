// Package commands implements the subcommands of snipelift, one file each, and the main function of
// snipelift-standin.
package commands
