package clock

import (
	"context"
	"sync"
	"time"
)

// timers holds the pending timers. Timers of package time fire too late by the length of a
// suspension; the timers of this package are rescheduled when the clock is first read after
// the suspension. The mesh (the links between processes), which the gateway and sidecar
// commands run, reads the clock every 15 ms; the control node of the serve commands reads
// the clock every 250 ms.
type timers struct {
	mu      sync.Mutex
	pending map[*Timer]struct{}
}

func (w *timers) add(t *Timer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		w.pending = map[*Timer]struct{}{}
	}
	w.pending[t] = struct{}{}
}

func (w *timers) remove(t *Timer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, t)
}

// reschedule resets all pending timers for the current time now.
func (w *timers) reschedule(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for t := range w.pending {
		t.mu.Lock()
		if t.timer.Stop() {
			t.timer.Reset(max(t.at.Sub(now), 0))
		}
		t.mu.Unlock()
	}
}

// Timer is a time.Timer that uses the clock of this package.
type Timer struct {
	C <-chan time.Time // nil if created by AfterFunc

	registry *timers
	mu       sync.Mutex
	timer    *time.Timer
	at       time.Time
}

// NewTimer returns a timer that sends on C after d.
func NewTimer(d time.Duration) *Timer {
	c := make(chan time.Time, 1)
	t := AfterFunc(d, func() {
		select {
		case c <- Now():
		default:
		}
	})
	t.C = c
	return t
}

// AfterFunc calls f in its own goroutine after d.
func AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{at: Now().Add(d), registry: &current.Load().timers}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, func() {
		t.registry.remove(t)
		f()
	})
	t.registry.add(t)
	return t
}

// Stop prevents the timer from firing. It returns false if the timer has fired or was
// stopped before.
func (t *Timer) Stop() bool {
	t.registry.remove(t)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.timer.Stop()
}

// Reset makes the timer fire after d. The timer must have been created by AfterFunc or be
// stopped.
func (t *Timer) Reset(d time.Duration) {
	at := Now().Add(d) // may reschedule all timers, so t.mu must not be held here
	t.mu.Lock()
	t.at = at
	t.timer.Reset(d)
	t.mu.Unlock()
	t.registry.add(t)
}

// WithTimeout is context.WithTimeout with the clock of this package.
func WithTimeout(parent context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return WithDeadline(parent, Now().Add(d))
}

// WithDeadline is context.WithDeadline with the clock of this package.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	if old, ok := parent.Deadline(); ok && old.Before(at) {
		return context.WithCancel(parent)
	}
	c := &deadlineContext{Context: parent, at: at, done: make(chan struct{})}
	if Until(at) <= 0 {
		c.cancel(context.DeadlineExceeded)
		return c, func() {}
	}
	stop := context.AfterFunc(parent, func() { c.cancel(parent.Err()) })
	timer := AfterFunc(max(Until(at), 0), func() { c.cancel(context.DeadlineExceeded) })
	return c, func() {
		stop()
		timer.Stop()
		c.cancel(context.Canceled)
	}
}

// deadlineContext is a context with a deadline.
type deadlineContext struct {
	context.Context
	at   time.Time
	done chan struct{}

	mu        sync.Mutex
	err       error
	callbacks map[*func()]struct{}
}

// Deadline implements context.Context.
func (c *deadlineContext) Deadline() (time.Time, bool) { return c.at, true }

// Done implements context.Context.
func (c *deadlineContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context.
func (c *deadlineContext) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// AfterFunc is called by package context for contexts derived from this one. Without it
// each derived context needs a goroutine.
func (c *deadlineContext) AfterFunc(f func()) (stop func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		go f()
		return func() bool { return false }
	}
	if c.callbacks == nil {
		c.callbacks = map[*func()]struct{}{}
	}
	key := &f
	c.callbacks[key] = struct{}{}
	return func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		_, registered := c.callbacks[key]
		delete(c.callbacks, key)
		return registered
	}
}

// cancel ends the context with err unless it has ended before.
func (c *deadlineContext) cancel(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	close(c.done)
	for f := range c.callbacks {
		go (*f)()
	}
	c.callbacks = nil
}
