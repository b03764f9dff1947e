package commands

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/planner"
)

func newPlan() command {
	sub := flaggy.NewSubcommand("plan")
	sub.Description = "say what the scheduler would do now with a document and a state"
	document, state := "", ""
	asJSON := false
	sub.String(&document, "d", "document", "file with the document")
	sub.String(&state, "s", "state", "file with the state, JSON")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(_ context.Context, c console) (int, error) {
		if document == "" || state == "" {
			return 0, fmt.Errorf("%w: plan needs --document FILE and --state FILE", errUsage)
		}
		steps, err := c.plan(document, state)
		if err != nil {
			return 0, err
		}
		if asJSON {
			return ExitDone, c.printJSON(steps)
		}
		for _, s := range steps {
			c.printf("%-9s %-12s %s\n", s.Action, s.Job, s.Why)
		}
		return ExitDone, nil
	}}
}

func (c console) plan(documentPath, statePath string) ([]planner.Step, error) {
	d, err := c.readDocument(documentPath)
	if err != nil {
		return nil, err
	}
	data, err := c.read(statePath)
	if err != nil {
		return nil, err
	}
	s, err := planner.Decode(data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return planner.Plan(d, s), nil
}
