// Package loop runs functions one after the other on one goroutine, which so
// owns the state that they touch.
package loop

import (
	"context"

	"github.com/pkg/errors"
)

// queueLength bounds the functions that wait. Callers block beyond it.
const queueLength = 1024

// ErrStopped is returned when the loop has ended.
var ErrStopped = errors.New("loop: stopped")

// Loop is a queue of functions for one goroutine.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// New returns a loop that is not running yet.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run executes functions until ctx is done.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case f := <-l.queue:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// Post queues f. After the loop has ended f is dropped.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// Call runs f on the loop and waits for it.
func (l *Loop) Call(f func()) error {
	ran := make(chan struct{})
	l.Post(func() {
		f()
		close(ran)
	})
	select {
	case <-ran:
		return nil
	case <-l.done:
		return ErrStopped
	}
}
