package commands

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"github.com/snipelift/snipelift/assembler"
	"github.com/snipelift/snipelift/configurer"
	"github.com/snipelift/snipelift/limiter"
)

// gcPercent is below Go's default of 100 to save memory at the cost of CPU time: an entry VM has little
// memory, and the process uses little CPU time.
const gcPercent = 40

func newServe() command {
	sub := flaggy.NewSubcommand("serve")
	sub.Description = "run the process of an entry VM"
	var path string
	sub.String(&path, "s", "settings", "file with the settings, JSON")
	return command{sub: sub, run: func(ctx context.Context, c console) (int, error) {
		if path == "" {
			return 0, fmt.Errorf("%w: serve needs --settings FILE", errUsage)
		}
		settings, err := configurer.Load(path)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", errUsage, err)
		}
		return serve(ctx, c, settings)
	}}
}

// serve runs the entry VM's process until the context ends, then shuts it down.
func serve(ctx context.Context, c console, settings configurer.Settings) (int, error) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(limiter.Detect(settings.MemoryMB, settings.MaxOpenFiles).GoMemoryBytes())
	app := assembler.New(assembler.Inputs{Settings: settings, LogOutput: c.err})
	if err := app.Start(ctx); err != nil {
		return 0, fmt.Errorf("start: %w", err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return 0, fmt.Errorf("stop: %w", err)
	}
	return ExitDone, nil
}
