// Package commands holds the subcommands of snipelift, one file each.
package commands
