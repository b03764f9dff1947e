package sleeper

import (
	"context"
	"time"
)

// Sleep returns after d, or earlier when the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
