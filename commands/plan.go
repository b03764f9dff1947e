package commands

import "github.com/integrii/flaggy"

func newPlan() command { return command{sub: flaggy.NewSubcommand("plan")} }
