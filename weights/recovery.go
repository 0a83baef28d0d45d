package weights

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/clock"
)

// recovery tells those that wait before they try the origin again that it has answered
// another read. Without it a read that must go first may still be in its pause, while
// reads that began later take the origin's link.
type recovery struct {
	mu      sync.Mutex
	failing bool
	back    chan struct{} // closed at the first success after a failure
}

// note takes the end of a read at the origin.
func (r *recovery) note(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && !r.failing:
		r.failing = true
	case err == nil && r.failing:
		r.failing = false
		if r.back != nil {
			close(r.back)
			r.back = nil
		}
	}
}

// answers returns a channel that is closed when the origin answers after a failure.
func (r *recovery) answers() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.back == nil {
		r.back = make(chan struct{})
	}
	return r.back
}

// pause waits for d or until the origin answers again. It reports whether ctx still lives.
func (r *recovery) pause(ctx context.Context, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.answers():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
