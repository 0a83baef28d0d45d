package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/weights"
)

// sampleIndexes returns the indexes of the pieces that identify the staged version, for
// versions of n pieces. There are several, since one may be missing or corrupt.
func sampleIndexes(n int) []int { return slices.Compact([]int{0, n / 2, max(n-1, 0)}) }

// sample reads some staged pieces, by index. The result has no key for a piece that is not
// staged. If a read got no answer, sample returns an error along with the pieces that were
// read.
func (s *Sidecar) sample(ctx context.Context, as assignmentState) (map[int][]byte, error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	found := map[int][]byte{}
	indexes := sampleIndexes(as.Pieces)
	always := func() bool { return true }
	err := forEachIndex(ctx, indexes, len(indexes), always, func(i int) (func(), error) {
		data, err := s.engine.StagedPiece(ctx, s.engineAddr, as.Model, i)
		if errors.Is(err, ErrNotStaged) {
			return func() {}, nil
		}
		return func() { found[i] = data }, err
	})
	return found, err
}

// manifests reads the manifests of several versions concurrently until all are read or one of
// them matches the whole sample: some may have to be read from an origin that is far away or does
// not answer. The result has no key for a version whose manifest was not read.
func (s *Sidecar) manifests(ctx context.Context, model string, versions []int, sample map[int][]byte) map[int]*weights.Manifest {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.InspectTimeout)
	defer cancel()
	found := map[int]*weights.Manifest{}
	always := func() bool { return true }
	_ = forEachIndex(ctx, versions, len(versions), always, func(v int) (func(), error) {
		m, err := callSource(ctx, &s.sourceCalls, func() (*weights.Manifest, error) { return s.manifest(ctx, model, v) })
		return func() {
			found[v] = m
			if matching(m, sample) == len(sample) {
				cancel()
			}
		}, err
	})
	return found
}

// matching returns the number of sampled pieces that match the manifest.
func matching(m *weights.Manifest, sample map[int][]byte) int {
	n := 0
	for i, data := range sample {
		if i < len(m.Digests) && m.Verify(i, data) == nil {
			n++
		}
	}
	return n
}

// inspect identifies the version of the pieces that a previous agent has staged at the
// engine. Any order in doubt of that agent is for this version, because the agent staged no
// other one while the order was in doubt. So an order for this version is repeated first.
// If nothing or too little is staged, the previous agent sent no order. A read without an
// answer is inconclusive and is retried. inspect returns the time until the next reconcile.
func (s *Sidecar) inspect(ctx context.Context, as assignmentState, version int, r Report) time.Duration {
	sample, err := s.sample(ctx, as)
	if len(sample) == 0 {
		if err == nil {
			s.settle(clock.Now(), "nothing_staged")
			return 0
		}
		return s.cfg.PollBusy
	}
	candidates := as.candidates(version)
	manifests := s.manifests(ctx, as.Model, candidates, sample)
	var best *weights.Manifest
	for _, v := range candidates {
		if m := manifests[v]; m != nil && matching(m, sample) > 0 && (best == nil || matching(m, sample) > matching(best, sample)) {
			best = m
		}
	}
	if best != nil {
		return s.adopt(ctx, as, best, r)
	}
	if err == nil {
		s.recordUnknownStage(as, version, manifests, len(candidates))
	}
	return s.cfg.PollBusy
}

// recordUnknownStage records that the staged pieces match no manifest that could be read.
func (s *Sidecar) recordUnknownStage(as assignmentState, version int, manifests map[int]*weights.Manifest, candidates int) {
	if manifests[version] == nil {
		s.stall(version)
	}
	if s.stage.isFor(as.Model, version) {
		s.stage, s.prefetched = nil, s.stage // pieces fetched while the engine was starting
	}
	unread := candidates - len(manifests)
	s.inDoubt.backOff(clock.Now(), s.cfg)
	s.inDoubt.inspected = unread == 0 || s.inDoubt.attempts >= previousAgentAttempts
	s.log.WithFields(logrus.Fields{"version": version, "unread": unread, "tries": s.inDoubt.attempts}).Warn("Staged pieces match no known version.")
}

// adopt takes over the pieces that a previous agent has staged, and the order that the
// previous agent may have sent. adopt settles the order as never sent only if the reads that the
// engine answered prove that; unanswered reads prove nothing. It returns the time until the
// next reconcile.
func (s *Sidecar) adopt(ctx context.Context, as assignmentState, m *weights.Manifest, r Report) time.Duration {
	if !s.stage.isFor(m.Model, m.Version) {
		if s.stage != nil {
			s.prefetched = s.stage // pieces fetched while the engine was starting
		}
		s.stage = newStage(m)
	}
	unanswered := s.readBack(ctx, 0, concurrentReads).unanswered
	least := s.stage.stagedProgress().share
	most := least + float64(unanswered)/float64(len(s.stage.staged))
	switch {
	case m.Version <= r.serves(as.Model, as.Layers), most < commitShare:
		s.settle(clock.Now(), "not_ordered")
		return 0
	case least < commitShare:
		s.inDoubt.backOff(clock.Now(), s.cfg)
		s.log.WithField("version", m.Version).WithField("unanswered", unanswered).Info("Not all staged pieces could be read.")
		return s.cfg.PollBusy
	}
	s.inDoubt.adopted, s.inDoubt.model, s.inDoubt.version, s.inDoubt.firstSent = true, m.Model, m.Version, clock.Now()
	s.stats.ordersInDoubt.Inc(1)
	s.log.WithFields(logrus.Fields{"model": m.Model, "version": m.Version, "missing": s.stage.missing}).Info("Staged pieces of previous agent adopted.")
	return 0
}
