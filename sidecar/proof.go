package sidecar

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/fleet"
)

// LayerRange is a range of a model's layers; To is exclusive.
type LayerRange struct{ From, To int }

func (l LayerRange) overlaps(o LayerRange) bool { return max(l.From, o.From) < min(l.To, o.To) }

// held are the layers of one version that an engine holds; the zero value is none.
type held struct {
	version int
	layers  LayerRange
}

// keepsLayersOf reports whether some layers may be the same loaded ones as before.
func (h held) keepsLayersOf(before held) bool {
	return h.version == before.version && h.layers.overlaps(before.layers)
}

// loadProof tracks whether the layers that the engine holds were loaded from valid pieces. An
// engine loads what is staged at the moment when it accepts an order. Checks before that moment
// prove nothing: a delayed put may replace a piece after its check, the agent may be paused before it
// sends the order, and the order may reach the next process of the engine, which has begun as many orders as
// the one that it was based on. So the staged pieces are read back after a load has begun.
// They are valid then only if they were valid when the load began, unless a piece was put since the
// last report without the load. An engine whose load is not proven is reported to hold no version.
type loadProof struct {
	model       string    // "" until the first report
	inherited   bool      // the loads are those of a previous agent, which is taken to have examined them
	startTimeMs int64     // of the engine process
	sequence    int64     // Report.Sequence up to which the loads have been examined
	asOf        time.Time // when the last report before the next load was requested
	staged      int       // version whose pieces were all valid after the last of these had begun; 0 if none
	due         bool      // a load has begun that has not been examined
	examined    bool      // a load has been examined that may not have ended yet
	skipped     bool      // a load began before the one before it was seen to have ended
	held        held      // after the last load that has ended
	unsound     bool      // some of the held layers are not proven
	dropOrdered bool      // the engine has been ordered once to drop the held layers
	attempts    int       // reads of the staged pieces that were not answered
}

// observe updates the proof from a report. unproven says that a previous agent may have left a load
// that it had not examined. observe reports whether a load is to be examined.
func (p *loadProof) observe(asOf time.Time, r Report, model string, h held, layers int, unproven bool) bool {
	switch {
	case p.model != model:
		p.trust(r, model, h, layers)
	case !fleet.SameIncarnation(p.startTimeMs, r.StartTimeMs) || r.Sequence < p.sequence:
		*p = loadProof{model: model, startTimeMs: r.StartTimeMs, asOf: p.asOf} // an engine holds no layers when it starts
	}
	if unproven && p.inherited {
		p.due, p.inherited, p.held = true, false, held{}
	}
	p.due = p.due || p.hasBegun(r, h)
	if !p.due {
		p.asOf = asOf
		return false
	}
	p.skipped = p.skipped || p.examined || r.Sequence > p.sequence+1
	return true
}

// hasBegun reports whether a load has begun since the last report. A load that the sequence does not
// show is one of an engine that does not count orders, or of a next process of the engine that has
// begun as many and does not report its start time.
func (p *loadProof) hasBegun(r Report, h held) bool {
	switch {
	case r.Sequence != p.sequence:
		return true
	case p.examined:
		return false
	}
	return r.Busy || h.version != 0 && h != p.held
}

// trust assumes that the loads of a previous agent are proven, except for one that is in progress.
// An engine holds only some of the layers while a previous agent has bad ones replaced.
func (p *loadProof) trust(r Report, model string, h held, layers int) {
	partial := h.version != 0 && r.serves(model, layers) == 0
	*p = loadProof{model: model, inherited: true, startTimeMs: r.StartTimeMs, sequence: r.Sequence, held: h, unsound: partial}
	if !r.Busy {
		return
	}
	p.sequence = r.Sequence - 1
	if !partial {
		p.held = held{}
	}
}

// record records the result of examining the last load that began. staged is the version whose
// pieces were all valid, or 0.
func (p *loadProof) record(r Report, staged int) {
	p.sequence, p.staged, p.attempts = r.Sequence, staged, 0
	p.inherited, p.due, p.examined, p.dropOrdered = false, false, true, false
}

// conclude updates the proof when no load is in progress any more.
func (p *loadProof) conclude(h held) {
	switch {
	case p.examined:
		kept := h.keepsLayersOf(p.held)
		proven := p.staged != 0 && p.staged == h.version && !p.skipped
		p.unsound = h.version != 0 && (!proven || kept && p.unsound)
		p.examined, p.skipped = false, false
	case h.version == 0:
		p.unsound = false
	}
	p.held = h
}

// nextLayers returns the layers to be ordered next for an engine to hold a version, or the
// zero value for all of them. An engine keeps the layers that it holds of the ordered version. To
// replace all of them, the first layer is ordered, which drops the others, and then the others,
// which drops the first.
func (p *loadProof) nextLayers(version, layers int) LayerRange {
	first := LayerRange{0, 1}
	switch {
	case p.held.version != version || layers < 2:
		return LayerRange{}
	case p.held.layers == first:
		return LayerRange{1, layers}
	case p.unsound:
		return first
	}
	return LayerRange{}
}

// toBeDropped reports whether the engine holds all layers of a version, is idle and has not been
// ordered yet to drop those that are not proven.
func (p *loadProof) toBeDropped(r Report, layers int) bool {
	return p.unsound && !p.dropOrdered && !r.Busy && layers >= 2 && p.held.layers == LayerRange{0, layers}
}

// drop orders the first layer alone of the held version, before the pieces for another load are staged. So
// neither an entry nor the next agent, which know of the load only what the engine reports, uses the engine.
func (s *Sidecar) drop(ctx context.Context, as assignmentState, r Report) time.Duration {
	s.proof.dropOrdered = true
	s.tokens.raiseAbovePrevious(clock.Now())
	return s.order(ctx, as, s.proof.held.version, r)
}

// stuck reports whether the engine cannot load a version, since it holds layers of the version that
// are not proven and cannot be dropped.
func (p *loadProof) stuck(version, layers int) bool {
	return p.unsound && p.held.version == version && layers < 2
}

// maxUnansweredReads is the number of attempts to read the staged pieces after which a load counts
// as not proven.
const maxUnansweredReads = 5

// prove examines a load that has begun, if there is one. It returns false if that has to be tried
// again.
func (s *Sidecar) prove(ctx context.Context, asOf time.Time, as assignmentState, r Report) bool {
	h := r.held(as.Model)
	if s.proof.observe(asOf, r, as.Model, h, as.Layers, as.unproven) {
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
