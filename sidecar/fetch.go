package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/weights"
)

// fetchMissing fetches and stages the missing pieces. It stops early if a newer version
// is announced or if the limit of concurrent fetches rises.
func (s *Sidecar) fetchMissing(ctx context.Context, parallel func() int) error {
	s.renewManifest(ctx, s.stage)
	var missing []int
	for i, ok := range s.stage.staged {
		if !ok {
			missing = append(missing, i)
		}
	}
	announced, concurrency := s.assigned().Version, parallel()
	proceed := func() bool { return s.assigned().Version == announced && parallel() <= concurrency }
	return forEachIndex(ctx, missing, concurrency, proceed, func(i int) (func(), error) {
		sent, err := s.fetch(ctx, i)
		return func() { s.recordCheck(i, true, sent) }, err
	})
}

// forEachIndex calls do for the indexes, up to concurrency at once, while proceed returns
// true. The done functions of successful calls are called one at a time. It returns the
// first error.
func forEachIndex(ctx context.Context, indexes []int, concurrency int, proceed func() bool, do func(i int) (done func(), err error)) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	slots := make(chan struct{}, concurrency)
	for _, i := range indexes {
		slots <- struct{}{}
		if !proceed() || ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			done, err := do(i)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				done()
			} else if firstErr == nil {
				firstErr = err
			}
		}()
	}
	wg.Wait()
	return firstErr
}

// fetch fetches one piece, unless the agent already has it in memory, and stages it. It returns the
// time at which the piece was sent to the engine: it may become corrupt there while the answer is
// in transit.
func (s *Sidecar) fetch(ctx context.Context, index int) (sent time.Time, err error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.FetchTimeout)
	defer cancel()
	if s.stage.pieces[index] == nil {
		if err := s.fetchToMemory(ctx, s.stage, index); err != nil {
			return time.Time{}, err
		}
	}
	if s.inDoubt.fromPreviousAgent() {
		return time.Time{}, errPreviousAgentOrder
	}
	sent = clock.Now()
	s.puts.recordSent(sent)
	if err := s.engine.PutPiece(ctx, s.engineAddr, s.stage.model, index, s.stage.pieces[index]); err != nil {
		s.puts.recordUnanswered(index, clock.Now().Add(s.cfg.OrderGrace))
		return time.Time{}, err
	}
	s.stage.transferTimes.staging.Add(int64(clock.Since(sent)))
	s.stage.pieces[index] = nil // staged at the engine; release the memory
	return sent, nil
}

// fetchToMemory fetches one piece into the agent's memory.
func (s *Sidecar) fetchToMemory(ctx context.Context, st *stage, index int) error {
	began := clock.Now()
	data, err := s.pieceWithContext(ctx, st.manifest, index)
	if errors.Is(err, weights.ErrCorrupt) {
		st.mismatched.Store(true)
	}
	if err != nil {
		return err
	}
	st.transferTimes.fetching.Add(int64(clock.Since(began)))
	st.pieces[index] = data
	s.stats.fetched.Inc(1)
	return nil
}

// pieceWithContext requests a piece from the source and returns as soon as ctx ends.
func (s *Sidecar) pieceWithContext(ctx context.Context, m *weights.Manifest, index int) ([]byte, error) {
	return callSource(ctx, &s.sourceCalls, func() ([]byte, error) { return s.source.Piece(ctx, m, index) })
}

// callSource calls the source and returns as soon as ctx ends, even while the source is still
// dialling, which may take seconds. Calls that it abandons count in calls until they return.
func callSource[T any](ctx context.Context, calls *sync.WaitGroup, call func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	calls.Go(func() {
		v, err := call()
		results <- result{v, err}
	})
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// prefetch fetches pieces of the newest version into the agent's memory while an older
// version stays staged. After Config.FetchRound it starts no more fetches, so that the next
// step is planned again.
func (s *Sidecar) prefetch(ctx context.Context, as assignmentState, version, concurrency int) error {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.FetchWait)
	defer cancel()
	if !s.prefetched.isFor(as.Model, version) {
		m, err := s.manifest(ctx, as.Model, version)
		if err != nil {
			return err
		}
		s.prefetched = newStage(m)
	}
	st := s.prefetched
	s.renewManifest(ctx, st)
	var missing []int
	for i, data := range st.pieces {
		if data == nil {
			missing = append(missing, i)
		}
	}
	until := clock.Now().Add(s.cfg.FetchRound)
	err := forEachIndex(ctx, missing, concurrency, func() bool { return clock.Now().Before(until) }, func(i int) (func(), error) {
		return func() {}, s.fetchToMemory(ctx, st, i)
	})
	if st.fetchedProgress().complete {
		s.log.WithFields(logrus.Fields{"model": as.Model, "version": version, "pieces": len(st.pieces),
			"ms": clock.Since(st.started).Milliseconds()}).Info("Version prefetched.")
	}
	return err
}
