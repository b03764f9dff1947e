package commands

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/explainer"
)

// newLogs returns the command "logs" and its subcommands.
func newLogs() (*flaggy.Subcommand, []command) {
	parent := flaggy.NewSubcommand("logs")
	parent.Description = "read saved logs of entry VMs"
	explain := newLogsExplain()
	parent.AttachSubcommand(explain.sub, 1)
	return parent, []command{explain}
}

func newLogsExplain() command {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "tell what the logs say of one job, in the order of what happened"
	job := ""
	var files []string
	sub.AddPositionalValue(&job, "job", 1, true, "ID of the job")
	sub.StringSlice(&files, "f", "file", "file with log lines; may be repeated; without one standard input is read")
	return command{sub: sub, run: func(_ context.Context, c console) (int, error) {
		logs := []io.Reader{c.in}
		if len(files) > 0 {
			logs = nil
		}
		for _, path := range files {
			file, err := os.Open(path)
			if err != nil {
				return 0, fmt.Errorf("%w: %w", errUsage, err)
			}
			defer func() { _ = file.Close() }()
			logs = append(logs, file)
		}
		count, err := explainer.Explain(logs, job, c.out)
		if err != nil {
			return 0, err
		}
		if count == 0 {
			return ExitFailed, fmt.Errorf("no line about job %s", job)
		}
		return ExitDone, nil
	}}
}
