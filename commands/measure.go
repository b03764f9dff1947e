package commands

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/documenter"
	"github.com/snipelift/snipelift/measurer"
)

func newMeasure() command {
	sub := flaggy.NewSubcommand("measure")
	sub.Description = "compare the scheduler with simpler ones on seeded workloads in virtual time"
	scenario, document := "berkep", ""
	seeds := 1
	asJSON := false
	sub.String(&scenario, "", "scenario", "berkep, qurum or target")
	sub.String(&document, "d", "document", "file with the document for berkep or qurum; examples/SCENARIO.json if empty")
	sub.Int(&seeds, "", "seeds", "number of seeds, from 1 on")
	sub.Bool(&asJSON, "j", "json", "print JSON")
	return command{sub: sub, run: func(_ context.Context, c console) (int, error) {
		s, err := scenarioOf(scenario, document)
		if err != nil {
			return 0, err
		}
		var reports []measurer.Report
		for seed := range seeds {
			for _, policy := range []measurer.Policy{
				measurer.Snipelift(s.Document, false),
				measurer.FirstFit(s.Document),
				measurer.Backfill(s.Document),
				measurer.Quota(s.Document),
			} {
				reports = append(reports, measurer.Run(s, policy, uint64(seed+1)))
			}
		}
		if asJSON {
			return ExitDone, c.printJSON(reports)
		}
		c.showReports(reports)
		return ExitDone, nil
	}}
}

func scenarioOf(name, path string) (measurer.Scenario, error) {
	if name == "target" {
		return measurer.Target(), nil
	}
	if name != "berkep" && name != "qurum" {
		return measurer.Scenario{}, fmt.Errorf("%w: --scenario %q, accepted are berkep, qurum and target", errUsage, name)
	}
	if path == "" {
		path = "examples/" + name + ".json"
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return measurer.Scenario{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	d, err := documenter.Decode(data)
	if err != nil {
		return measurer.Scenario{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	if name == "qurum" {
		return measurer.Qurum(d), nil
	}
	return measurer.Berkep(d), nil
}

func (c console) showReports(reports []measurer.Report) {
	for _, r := range reports {
		c.printf("%s, seed %d\n", r.Policy, r.Seed)
		for _, class := range r.Classes {
			c.printf("  %-18s %5d jobs %5d succeeded  slowdown mean %8.2f p99 %9.2f  wait p99 %9.1f s\n",
				class.Class, class.Jobs, class.Succeeded, class.SlowdownMean, class.SlowdownP99, class.WaitP99)
		}
		c.printf("  urgent in bound %.4f (within guarantee %.4f), gang wait p99 %.0f s, guarantee delay %.1f s\n",
			r.UrgentInBound, r.UrgentCovered, r.GangWaitP99, r.GuaranteeDelay)
		c.printf("  unusable free share %.3f, wasted %.1f accelerator-hours, unfinished %d, breaches %d\n",
			r.Unusable, r.WastedHours, r.Unfinished, r.Breaches)
		c.printf("  decision mean %.1f us p99 %.1f us, %.0f allocations, %d events\n",
			r.DecisionMean, r.DecisionP99, r.Allocations, r.Events)
	}
}
