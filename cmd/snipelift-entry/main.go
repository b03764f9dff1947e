// Command snipelift-entry runs on an entry VM of the operated platform, where it accepts jobs and can become the owner.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/snipelift/snipelift/hoster"
	"github.com/snipelift/snipelift/limiter"
	"github.com/snipelift/snipelift/logger"
	"github.com/snipelift/snipelift/platform"
)

// gcPercent makes the garbage collector run more often than by default: an entry uses little CPU time, so memory is worth more.
const gcPercent = 50

func main() { os.Exit(run()) }

func run() int {
	debug.SetGCPercent(gcPercent)
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipelift-entry:", err)
		return 2
	}
	debug.SetMemoryLimit(limiter.Detect(settings.MemoryMB, settings.MaxOpenFiles).GoMemoryBytes())
	log, closeLog := logger.New(os.Stdout, slog.LevelInfo, "node", settings.Node)
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	process := &hoster.Process{Settings: settings, Logger: log, Reload: notifyReload(ctx)}
	if err := process.Run(ctx); err != nil {
		log.Error("process failed", "error", err.Error())
		return 1
	}
	return 0
}

// notifyReload returns a channel that receives a value for each SIGHUP.
func notifyReload(ctx context.Context) <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				out <- struct{}{}
			}
		}
	}()
	return out
}
