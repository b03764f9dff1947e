// Command snipelift schedules multi-accelerator jobs under organisation guarantees.
package main

import (
	"os"

	"github.com/snipelift/snipelift/commands"
)

func main() {
	os.Exit(commands.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
