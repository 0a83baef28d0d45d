package weights

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/clock"
)

// recovery wakes reads that are waiting to retry as soon as the origin has answered another
// read. Otherwise a read of high priority could still be in its back-off while reads that
// started later occupy the origin's link.
type recovery struct {
	mu      sync.Mutex
	failing bool
	signal  chan struct{} // closed at the first success after a failure
}

// record records the result of a read from the origin.
func (r *recovery) record(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil && !r.failing:
		r.failing = true
	case err == nil && r.failing:
		r.failing = false
		if r.signal != nil {
			close(r.signal)
			r.signal = nil
		}
	}
}

// recovered returns a channel that is closed at the first success after a failure.
func (r *recovery) recovered() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.signal == nil {
		r.signal = make(chan struct{})
	}
	return r.signal
}

// wait waits for d or until the origin answers again. It reports false if ctx has ended.
func (r *recovery) wait(ctx context.Context, d time.Duration) bool {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.recovered():
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
