package commands

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"
)

func newExplain() command {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "tell the reasons of what happened to a job"
	var t target
	t.addFlags(sub)
	id := ""
	asJSON := false
	sub.AddPositionalValue(&id, "job", 1, true, "ID of the job")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		client, err := t.client()
		if err != nil {
			return 0, err
		}
		e, err := client.Explain(ctx, id)
		if err != nil {
			return 0, fmt.Errorf("explain %s: %w", id, err)
		}
		if asJSON {
			return ExitDone, c.printJSON(e)
		}
		c.printf("%s %s\n", e.ID, e.State)
		for _, r := range e.Reasons {
			c.printf("%s  %s", r.At.Format("15:04:05.000"), r.Sentence)
			if r.Times > 1 {
				c.printf(" (%d times)", r.Times)
			}
			c.printf("\n")
		}
		if e.Now != "" {
			c.printf("now           %s\n", e.Now)
		}
		return ExitDone, nil
	}}
}
