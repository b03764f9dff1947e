package commands

import "github.com/integrii/flaggy"

func newDemo() command { return command{sub: flaggy.NewSubcommand("demo")} }

func newPlan() command { return command{sub: flaggy.NewSubcommand("plan")} }
