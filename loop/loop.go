// Package loop runs functions sequentially on one goroutine, so that the state they use
// needs no lock.
package loop

import (
	"context"

	"github.com/pkg/errors"
)

// queueLength is the capacity of a loop's queue, in functions. Post and Call block while the
// queue is full.
const queueLength = 1024

// ErrStopped is returned by Call if the loop has stopped.
var ErrStopped = errors.New("loop: stopped")

// Loop is a queue of functions that one goroutine runs.
type Loop struct {
	queue chan func()
	done  chan struct{}
}

// New returns a loop; Run starts it.
func New() *Loop {
	return &Loop{queue: make(chan func(), queueLength), done: make(chan struct{})}
}

// Run runs the queued functions until ctx is done. Functions still queued then are dropped.
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

// Post queues f. If the loop has stopped, f is not run.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.done:
	}
}

// Call runs f on the loop and waits until it has returned.
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
