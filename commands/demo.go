package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/demonstrator"
)

// maxShownWorkers limits how many workers of a gang the printed table lists.
const maxShownWorkers = 2

func newDemo() command {
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "run both example services with stand-ins on loopback and show what becomes of each job"
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		rows, err := demonstrator.Run(ctx, c.out, io.Discard)
		if errors.Is(err, context.Canceled) {
			c.printf("interrupted\n")
			return ExitDone, nil
		}
		if err != nil {
			return 0, fmt.Errorf("demo: %w", err)
		}
		return c.showDemo(rows), nil
	}}
}

func (c console) showDemo(rows []demonstrator.Row) int {
	code := ExitDone
	c.printf("%-17s %-17s %-19s %-11s %7s  %-22s %s\n", "organisation", "class", "shape", "outcome", "waited", "where", "why")
	for _, r := range rows {
		if r.Err != nil {
			code = ExitFailed
			c.printf("%-17s %-17s %-19s %v\n", r.Organisation, r.Class, r.Shape, r.Err)
			continue
		}
		if r.Job.Outcome != "succeeded" {
			code = ExitFailed
		}
		c.printf("%-17s %-17s %-19s %-11s %6.2fs  %-22s %s\n", r.Organisation, r.Class, r.Shape, r.Job.Outcome, r.Job.Waited, workerList(r), r.Why)
	}
	return code
}

// workerList lists the workers that the job ran on, shortened to maxShownWorkers for a gang.
func workerList(r demonstrator.Row) string {
	var names []string
	for i, m := range r.Job.Members {
		if i == maxShownWorkers {
			names = append(names, fmt.Sprintf("+%d", len(r.Job.Members)-maxShownWorkers))
			break
		}
		names = append(names, strings.TrimPrefix(m.Worker, "worker-"))
	}
	return strings.Join(names, " ")
}
