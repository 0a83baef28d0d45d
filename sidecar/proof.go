package sidecar

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
)

// maxUnansweredReads is the number of attempts to read the staged pieces after which a load counts
// as not proven.
const maxUnansweredReads = 5

// prove examines a load that has begun, if there is one. It returns false if that has to be tried
// again.
func (s *Sidecar) prove(ctx context.Context, requested time.Time, as assignmentState, r Report) bool {
	h := r.held(as.Model)
	if s.proof.observe(requested, r, as) {
		staged, ok := s.stagedAfterLoad(ctx, as.Model, r, h)
		if !ok {
			return false
		}
		s.proof.record(r, staged)
		s.logProof(r, staged)
	}
	if !r.Busy {
		s.proof.conclude(h)
	}
	return true
}

// stagedAfterLoad reads all staged pieces back and returns the version whose pieces are all valid, or
// 0. It returns false if that is not known yet. Only what is staged by this agent is known before the
// load has ended; then the engine reports which version it holds.
func (s *Sidecar) stagedAfterLoad(ctx context.Context, model string, r Report, h held) (version int, ok bool) {
	if !r.Busy && h.version == 0 {
		return 0, true // another load has ended without any layers
	}
	if !r.Busy && !s.stage.isFor(model, h.version) {
		if err := s.examineStageOf(ctx, model, h.version); err != nil {
			return 0, s.unansweredRead()
		}
	}
	if s.stage == nil {
		return 0, false
	}
	n := s.readBack(ctx, 0, concurrentReads)
	switch {
	case s.stage.complete() && !s.puts.sentSince(s.proof.asOf):
		return s.stage.version, true
	case n.bad == 0 && n.unanswered > 0:
		return 0, s.unansweredRead()
	}
	return 0, true
}

// examineStageOf makes the pieces that are staged the ones to be examined as those of a version.
func (s *Sidecar) examineStageOf(ctx context.Context, model string, version int) error {
	m, err := s.manifest(ctx, model, version)
	if err != nil {
		return err
	}
	s.stage = newStage(m)
	return nil
}

// unansweredRead counts a failed attempt to examine a load. It reports whether the load counts as
// not proven.
func (s *Sidecar) unansweredRead() bool {
	s.proof.attempts++
	return s.proof.attempts >= maxUnansweredReads
}

func (s *Sidecar) logProof(r Report, staged int) {
	fields := logrus.Fields{"model": s.proof.model, "sequence": r.Sequence, "engine_start_ms": r.StartTimeMs, "version": staged}
	if staged != 0 {
		s.stats.loadsProven.Inc(1)
		s.log.WithFields(fields).Info("Staged pieces are valid after the load has begun.")
		return
	}
	s.stats.loadsUnproven.Inc(1)
	if s.stage != nil {
		fields["missing"], fields["staging"] = s.stage.missing, s.stage.version
		fields["unconfirmed_puts"] = s.puts.unconfirmed(len(s.stage.staged), clock.Now())
	}
	s.log.WithFields(fields).Warn("Staged pieces are not valid after a load has begun; the engine is not used.")
}

// drop orders the first layer alone of the held version, before the pieces for another load are staged. So
// neither an entry nor the next agent, which know of the load only what the engine reports, uses the engine.
func (s *Sidecar) drop(ctx context.Context, as assignmentState, r Report) time.Duration {
	s.proof.dropOrdered = true
	s.tokens.raiseAbovePrevious(clock.Now())
	return s.order(ctx, as, s.proof.held.version, r)
}
