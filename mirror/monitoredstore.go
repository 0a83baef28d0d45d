package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// watchOverdueAfter is how long a watch may take beyond its wait before the store is
// counted as unreachable. A slow store answers within 0.4 s.
const watchOverdueAfter = 500 * time.Millisecond

// rangeOverdueAfter is how long a range read may take before the store is counted as
// unreachable. The read itself continues.
const rangeOverdueAfter = time.Second

// MonitoredStore wraps the store and tracks whether this process's calls to it fail.
// Its methods may be called concurrently.
type MonitoredStore struct {
	store Source
	log   logrus.FieldLogger

	mu           sync.Mutex
	lastCall     time.Time     // start of the last call
	lastSuccess  time.Time     // start of the last successful call
	failures     int           // since the last successful call
	failingSince time.Time     // when the first failure after the last success was recorded
	recovered    chan struct{} // closed and replaced when a call succeeds after failures
}

// NewMonitoredStore wraps a store that has not been called yet.
func NewMonitoredStore(store Source, log logrus.FieldLogger) *MonitoredStore {
	return &MonitoredStore{store: store, log: log, recovered: make(chan struct{})}
}

// Name implements Source.
func (s *MonitoredStore) Name() string { return s.store.Name() }

// Paid implements Paid.
func (s *MonitoredStore) Paid() bool {
	p, ok := s.store.(Paid)
	return ok && p.Paid()
}

// Failing reports whether the last call failed or is overdue.
func (s *MonitoredStore) Failing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures > 0
}

// callState returns the start of the last call and the number of failures since the
// last successful call.
func (s *MonitoredStore) callState() (lastCall time.Time, failures int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastCall, s.failures
}

// recovery returns a channel that is closed when a call succeeds after failures.
func (s *MonitoredStore) recovery() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// Range implements Source. Pages are read one after the other, so the result is as
// old as the first page.
func (s *MonitoredStore) Range(ctx context.Context, prefix string) (Batch, error) {
	call := s.begin()
	overdue := clock.AfterFunc(rangeOverdueAfter, func() { s.recordFailure(call, errors.New("mirror: full read of the store is overdue")) })
	b, err := s.store.Range(ctx, prefix)
	overdue.Stop()
	s.end(ctx, call, err)
	b.FromStore, b.Age = true, clock.Since(call.begun)
	return b, err
}

// Watch implements Source. A response without changes was created by the store at the end of
// the wait or later, so its age is less by the wait. One with changes may have been created at
// any time since the call started.
func (s *MonitoredStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error) {
	call := s.begin()
	overdue := clock.AfterFunc(wait+watchOverdueAfter, func() { s.recordFailure(call, errors.New("mirror: watch of the store is overdue")) })
	b, err := s.store.Watch(ctx, prefix, after, wait)
	overdue.Stop()
	s.end(ctx, call, err)
	b.FromStore, b.Age = true, clock.Since(call.begun)
	if len(b.Events) == 0 {
		b.Age = max(0, b.Age-wait)
	}
	return b, err
}

// storeCall is one call to the store.
type storeCall struct {
	begun  time.Time
	failed bool // already counted as a failure; guarded by MonitoredStore.mu
}

func (s *MonitoredStore) begin() *storeCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall = clock.Now()
	return &storeCall{begun: s.lastCall}
}

// end records the result of a call. A call that the caller cancelled is ignored.
func (s *MonitoredStore) end(ctx context.Context, call *storeCall, err error) {
	switch {
	case err == nil:
		s.recordSuccess(call.begun)
	case needsFullCopy(err): // the full read that follows tells whether the store works
	case !errors.Is(ctx.Err(), context.Canceled):
		s.recordFailure(call, err)
	}
}

// recordFailure records that a call failed, unless a later call succeeded. A call that
// is overdue and then fails is counted once.
func (s *MonitoredStore) recordFailure(call *storeCall, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call.failed || call.begun.Before(s.lastSuccess) {
		return
	}
	call.failed = true
	s.failures++
	if s.failures == 1 {
		s.failingSince = clock.Now()
		s.log.WithError(err).Warn("Store unreachable.")
	}
}

func (s *MonitoredStore) recordSuccess(begun time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSuccess = later(s.lastSuccess, begun)
	if s.failures > 0 {
		s.log.WithFields(logrus.Fields{"failures": s.failures, "ms": clock.Since(s.failingSince).Milliseconds()}).Info("Store reachable again.")
		close(s.recovered)
		s.recovered = make(chan struct{})
	}
	s.failures = 0
}
