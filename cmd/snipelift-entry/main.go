// Command snipelift-entry is the process of an entry VM on the operated platform.
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
	"github.com/snipelift/snipelift/logger"
	"github.com/snipelift/snipelift/platform"
)

// gcPercent trades processor time, of which an entry uses little, for memory.
const gcPercent = 50

func main() { os.Exit(run()) }

func run() int {
	debug.SetGCPercent(gcPercent)
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipelift-entry:", err)
		return 2
	}
	log, closeLog := logger.New(os.Stdout, slog.LevelInfo, "node", settings.Node)
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h := &hoster.Process{Settings: settings, Logger: log, Reload: reloads(ctx)}
	if err := h.Run(ctx); err != nil {
		log.Error("process failed", "error", err.Error())
		return 1
	}
	return 0
}

// reloads returns a channel that tells of each SIGHUP.
func reloads(ctx context.Context) <-chan struct{} {
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
