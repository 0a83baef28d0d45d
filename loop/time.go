package loop

import (
	"context"
	"time"

	"github.com/springgate/springgate/clock"
)

// Sleep waits for d. It returns false if ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every runs f on the loop at intervals of d until ctx ends. Runs do not overlap; intervals
// missed during a slow run are skipped.
func (l *Loop) Every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			_ = l.Call(f)
		case <-ctx.Done():
			return
		}
	}
}
