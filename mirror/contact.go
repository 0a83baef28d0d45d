package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// overdueAfter is how late the answer to a watch may be before the store counts
// as not reached: longer than an answer of a store that is slow takes (0.4 s).
const overdueAfter = 500 * time.Millisecond

// rangeOverdueAfter is likewise of a read of a whole copy, which goes on all the same.
const rangeOverdueAfter = time.Second

// MonitoredStore is the store as this process reaches it: a Source that knows whether
// its calls fail. Its methods may be called concurrently.
type MonitoredStore struct {
	store Source
	log   logrus.FieldLogger

	mu       sync.Mutex
	called   time.Time // when the last call began
	worked   time.Time // when the last one that worked began
	failures int       // since the last call that worked
	failed   time.Time // when the first of these was noticed
	again    chan struct{}
}

// NewMonitoredStore returns the contact to a store that was not called yet.
func NewMonitoredStore(store Source, log logrus.FieldLogger) *MonitoredStore {
	return &MonitoredStore{store: store, log: log, again: make(chan struct{})}
}

// Name implements Source.
func (c *MonitoredStore) Name() string { return c.store.Name() }

// Paid implements Paid.
func (c *MonitoredStore) Paid() bool {
	p, ok := c.store.(Paid)
	return ok && p.Paid()
}

// Failing reports whether the last call failed, or waits for longer than it
// should.
func (c *MonitoredStore) Failing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures > 0
}

// last returns when the last call began and how many have failed since one
// worked.
func (c *MonitoredStore) last() (called time.Time, failures int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.called, c.failures
}

// reached returns a channel that is closed when a call works after others failed.
func (c *MonitoredStore) reached() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.again
}

// Range implements Source. Pages are read one after the other, so the copy is as
// old as the first.
func (c *MonitoredStore) Range(ctx context.Context, prefix string) (Batch, error) {
	call := c.begin()
	overdue := clock.AfterFunc(rangeOverdueAfter, func() { c.fail(call, errors.New("mirror: read of a whole copy is overdue")) })
	b, err := c.store.Range(ctx, prefix)
	overdue.Stop()
	c.end(ctx, call, err)
	b.FromStore, b.Age = true, clock.Since(call.begun)
	return b, err
}

// Watch implements Source. An answer without changes was made when the wait was
// over, or later; one with changes at any time since the call began.
func (c *MonitoredStore) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error) {
	call := c.begin()
	overdue := clock.AfterFunc(wait+overdueAfter, func() { c.fail(call, errors.New("mirror: watch is overdue")) })
	b, err := c.store.Watch(ctx, prefix, after, wait)
	overdue.Stop()
	c.end(ctx, call, err)
	b.FromStore, b.Age = true, clock.Since(call.begun)
	if len(b.Events) == 0 {
		b.Age = max(0, b.Age-wait)
	}
	return b, err
}

// storeCall is one call of the store.
type storeCall struct {
	begun  time.Time
	failed bool // it was counted; guarded by Contact.mu
}

func (c *MonitoredStore) begin() *storeCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.called = clock.Now()
	return &storeCall{begun: c.called}
}

// end notes the result of a call; one that was called off says nothing.
func (c *MonitoredStore) end(ctx context.Context, call *storeCall, err error) {
	switch {
	case err == nil || errors.Is(err, ErrCompacted):
		c.work(call.begun)
	case !errors.Is(ctx.Err(), context.Canceled):
		c.fail(call, err)
	}
}

// fail notes that a call failed, unless a later one worked. A call that is overdue
// and then fails counts once.
func (c *MonitoredStore) fail(call *storeCall, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call.failed || call.begun.Before(c.worked) {
		return
	}
	call.failed = true
	c.failures++
	if c.failures == 1 {
		c.failed = clock.Now()
		c.log.WithError(err).Warn("Store not reached.")
	}
}

func (c *MonitoredStore) work(begun time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.worked = later(c.worked, begun)
	if c.failures > 0 {
		c.log.WithFields(logrus.Fields{"failures": c.failures, "ms": clock.Since(c.failed).Milliseconds()}).Info("Store reached.")
		close(c.again)
		c.again = make(chan struct{})
	}
	c.failures = 0
}
