package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/caller"
	"github.com/snipelift/snipelift/packer"
	"github.com/snipelift/snipelift/scheduler"
	"github.com/snipelift/snipelift/server"
)

const defaultWaitSeconds = 10

func newSubmit() command {
	sub := flaggy.NewSubcommand("submit")
	sub.Description = "submit a job and wait for its answer"
	var t target
	t.addFlags(sub)
	request := server.SubmitRequest{Shape: packer.Shape{Accelerators: 1}}
	key, within, payload := "", string(packer.WithinWorker), "{}"
	wait := float64(defaultWaitSeconds)
	asJSON := false
	sub.String(&request.Class, "c", "class", "class of the job")
	sub.Int(&request.Shape.Accelerators, "a", "accelerators", "number of adjacent accelerators")
	sub.String(&within, "", "within", "what the accelerators share: worker or rack")
	sub.String(&payload, "p", "payload", "JSON for the worker")
	sub.String(&key, "k", "key", "idempotency key; a random one if empty")
	sub.Int(&request.DeclaredSeconds, "", "declared", "run time that is expected, in seconds")
	sub.Int(&request.DeadlineSeconds, "", "deadline", "seconds after which the job need not start any more")
	sub.Int(&request.MemoryMB, "", "memory", "memory on each worker, in MB")
	sub.Float64(&wait, "w", "wait", "seconds to wait for the answer")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		if !json.Valid([]byte(payload)) {
			return 0, fmt.Errorf("%w: --payload is not JSON", errUsage)
		}
		if key == "" {
			key = randomID()
		}
		request.Payload = json.RawMessage(payload)
		request.Shape.Within = packer.Within(within)
		job, err := submitWithRetry(ctx, client, key, request, toDuration(wait))
		if err != nil {
			return 0, err
		}
		return c.showJob(job, asJSON)
	}}
}

// submitWithRetry submits a job and, while the outcome is unknown and the wait lasts, repeats the
// submission. The idempotency key makes it the same request.
func submitWithRetry(ctx context.Context, client caller.Client, key string, request server.SubmitRequest, wait time.Duration) (server.Job, error) {
	deadline := time.Now().Add(wait)
	for {
		job, err := client.Submit(ctx, key, request, max(0, time.Until(deadline)))
		if !errors.Is(err, caller.ErrOutcomeUnknown) || time.Now().After(deadline) || ctx.Err() != nil {
			return job, err
		}
		time.Sleep(retryDelay)
	}
}

const retryDelay = 300 * time.Millisecond

// showJob prints a job and returns the exit code for its outcome.
func (c console) showJob(job server.Job, asJSON bool) (int, error) {
	if asJSON {
		if err := c.printJSON(job); err != nil {
			return 0, err
		}
		return exitCode(job), nil
	}
	c.printf("%s %s", job.ID, job.State)
	if job.Outcome != "" {
		c.printf(" %s", job.Outcome)
	}
	c.printf("\n")
	if job.Why != "" {
		c.printf("%s\n", job.Why)
	}
	if len(job.Result) > 0 {
		c.printf("%s\n", job.Result)
	}
	if job.Error != "" {
		c.printf("%s\n", job.Error)
	}
	return exitCode(job), nil
}

func exitCode(job server.Job) int {
	switch {
	case job.State != server.StateDone:
		return ExitPending
	case job.Outcome == scheduler.OutcomeSucceeded:
		return ExitDone
	case job.Outcome == scheduler.OutcomeUnknown:
		return ExitUnknown
	case job.Ran == scheduler.NotRun:
		return ExitNotRun
	default:
		return ExitFailed
	}
}
