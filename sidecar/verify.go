package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// concurrentReads is the number of staged pieces that are read back concurrently. If they
// were read one at a time, the first check might exceed Config.OrderAge when the last one
// has finished. Each retry for the same order reads four times as many pieces concurrently,
// so that an engine with slow reads gets orders too.
const concurrentReads = 4

// maxVerifyAttempts limits how often one reconcile checks the staged pieces because the
// preceding checks took too long.
const maxVerifyAttempts = 3

// checkResult is the result of reading a staged piece.
type checkResult uint8

const (
	valid      checkResult = iota
	bad                    // missing or corrupt
	unanswered             // the engine did not answer
)

// checkPiece reads back and verifies one staged piece.
func (s *Sidecar) checkPiece(ctx context.Context, index int) checkResult {
	data, err := s.stagedPiece(ctx, s.stage.model, index)
	switch {
	case errors.Is(err, ErrNotStaged):
		return bad
	case err != nil:
		return unanswered
	case s.stage.manifest.Verify(index, data) != nil:
		return bad
	}
	return valid
}

// recordCheck records whether a piece is staged and valid as of a time.
func (s *Sidecar) recordCheck(index int, ok bool, asOf time.Time) {
	s.stage.checked[index] = asOf
	if s.stage.staged[index] == ok {
		return
	}
	s.stage.staged[index] = ok
	if ok {
		s.stage.missing--
	} else {
		s.stage.missing++
	}
}

// checkCounts counts the pieces that were not found valid.
type checkCounts struct{ bad, unanswered int }

// readBack reads and verifies the staged pieces whose last check is at least age old, since
// staged bytes may become corrupt, and those that a delayed put may overwrite. A piece
// whose read got no answer counts as missing until it is read or put successfully.
func (s *Sidecar) readBack(ctx context.Context, age time.Duration, concurrency int) checkCounts {
	var due []int
	for i, at := range s.stage.checked {
		if clock.Since(at) >= age || s.puts.mayArrive(i, clock.Now()) {
			due = append(due, i)
		}
	}
	var n checkCounts
	always := func() bool { return true }
	// There are no errors, since failed reads are counted. All reads are started even if
	// ctx ends, so that no piece is considered valid without being read.
	_ = forEachIndex(context.WithoutCancel(ctx), due, concurrency, always, func(i int) (func(), error) {
		began := clock.Now() // the bytes may become corrupt while the answer is in transit
		result := s.checkPiece(ctx, i)
		return func() {
			s.recordCheck(i, result == valid, began)
			switch result {
			case bad:
				n.bad++
			case unanswered:
				n.unanswered++
			}
		}, nil
	})
	return n
}

// verify calls readBack and reports whether all pieces that it read are valid.
func (s *Sidecar) verify(ctx context.Context, age time.Duration, concurrency int) bool {
	n := s.readBack(ctx, age, concurrency)
	if n == (checkCounts{}) {
		return true
	}
	s.stats.bad.Inc(int64(n.bad))
	s.log.WithFields(logrus.Fields{"pieces": n.bad, "unanswered": n.unanswered, "version": s.stage.version}).Info("Staged pieces are missing, corrupt or unreadable.")
	return false
}

// verifyForOrder verifies the staged pieces until no check is older than Config.OrderAge.
// Checks may be too old because the agent was paused since or because reads are slow.
func (s *Sidecar) verifyForOrder(ctx context.Context, age time.Duration) bool {
	concurrency := concurrentReads
	for range maxVerifyAttempts {
		if !s.verify(ctx, age, concurrency) {
			return false
		}
		concurrency *= 4
		if clock.Since(s.stage.oldestCheck()) < s.cfg.OrderAge {
			return true
		}
		age = s.cfg.VerifyAge
	}
	s.log.WithField("version", s.stage.version).Warn("Checks of staged pieces too slow; load order not sent.")
	return false
}
