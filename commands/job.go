package commands

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/caller"
	"github.com/snipelift/snipelift/server"
)

// newJobCommand returns a subcommand that takes the ID of a job and prints the job.
func newJobCommand(name, description string, run func(ctx context.Context, client caller.Client, id string, wait float64) (server.Job, error)) command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	var t target
	t.addFlags(sub)
	id := ""
	wait := float64(defaultWaitSeconds)
	asJSON := false
	sub.AddPositionalValue(&id, "job", 1, true, "ID of the job")
	sub.Float64(&wait, "w", "wait", "seconds to wait for the answer")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		job, err := run(ctx, client, id, wait)
		if err != nil {
			return 0, fmt.Errorf("%s %s: %w", name, id, err)
		}
		return c.showJob(job, asJSON)
	}}
}

func newWait() command {
	return newJobCommand("wait", "wait for the answer of a job",
		func(ctx context.Context, client caller.Client, id string, wait float64) (server.Job, error) {
			return client.Get(ctx, id, toDuration(wait))
		})
}

func newCancel() command {
	return newJobCommand("cancel", "cancel a job and tell what became of it",
		func(ctx context.Context, client caller.Client, id string, _ float64) (server.Job, error) {
			return client.Cancel(ctx, id)
		})
}
