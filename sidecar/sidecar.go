package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
)

// ErrNotStaged is returned by an engine on which a piece is not staged.
var ErrNotStaged = errors.New("sidecar: piece is not staged")

// Engine is the client of the engine that the agent manages.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	PutPiece(ctx context.Context, addr, model string, index int, data []byte) error
	StagedPiece(ctx context.Context, addr, model string, index int) ([]byte, error)
	// StartLoad orders the engine to load the staged pieces once its running requests
	// have ended. It reports whether the engine has begun to load; an engine that holds the
	// ordered layers already accepts the order without a load. The errors of LoadOrder tell
	// whether the order may still take effect.
	StartLoad(ctx context.Context, addr string, o LoadOrder) (begun bool, err error)
}

// Sidecar is the agent of one engine. Run owns its state, except for the fields guarded by mu.
type Sidecar struct {
	cfg        Config
	engine     Engine
	engineAddr string
	source     Source
	publish    func(peer.EngineState)
	stats      *Stats
	log        logrus.FieldLogger

	stage      *stage // version being staged or staged at the engine
	prefetched *stage // pieces of a newer version in memory
	published  peer.EngineState
	pace       paceFilter
	up         bool // the last report was successful
	polled     bool // a report has been requested before
	reached    bool // a report was successful at least once
	step       Step
	inDoubt    inDoubtOrder
	tokens     tokens
	proof      loadProof
	puts       putLog
	refusals   int // load orders refused since the last accepted one

	sequence    int64     // Report.Sequence of the last report
	startTimeMs int64     // Report.StartTimeMs of the last report
	sentAtZero  time.Time // time of the last unanswered order with precondition 0

	stalled      int // version with a piece that could not be fetched
	stalledUntil time.Time

	sourceCalls sync.WaitGroup // calls to the source, including abandoned ones

	mu         sync.Mutex
	assignment assignmentState
	wake       chan struct{}
}

// New returns a sidecar for the engine at addr. publish sends the engine's state to the
// entries.
func New(cfg Config, engine Engine, addr string, source Source, publish func(peer.EngineState), stats *Stats,
	log logrus.FieldLogger) *Sidecar {
	cfg = cfg.applyDefaults()
	var putsUntil time.Time // until when a delayed put of a piece by a previous agent may arrive
	if !cfg.FirstStart {
		putsUntil = clock.Now().Add(cfg.OrderGrace)
	}
	return &Sidecar{cfg: cfg, puts: putLog{all: putsUntil}, engine: engine, engineAddr: addr, source: source, publish: publish, stats: stats, log: log,
		inDoubt: inDoubtOrder{open: true, lastSent: clock.Now()}, wake: make(chan struct{}, 1)}
}

// Assign merges an entry's assignment.
func (s *Sidecar) Assign(now time.Time, a peer.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.assignment
	s.assignment = before.merge(now, a)
	if s.assignment.Version != before.Version || s.assignment.Model != before.Model {
		s.log.WithFields(logrus.Fields{"model": a.Model, "version": a.Version, "age_ms": a.AgeMs, "turn": a.Turn,
			"turns": a.Turns, "earlier": len(a.Earlier)}).Info("Version assigned.")
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RemoveEntry drops a lost entry's report on whether that entry can read the newest
// version. The versions that it assigned stay assigned.
func (s *Sidecar) RemoveEntry(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignment = s.assignment.without(entry)
}

func (s *Sidecar) assigned() assignmentState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment
}

// Run reconciles the engine with the assignment until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	defer s.sourceCalls.Wait()
	for ctx.Err() == nil {
		pause := s.reconcile(ctx)
		timer := clock.NewTimer(pause)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reconcile reads the engine's report, carries out one step and returns the time until the
// next call.
func (s *Sidecar) reconcile(ctx context.Context) time.Duration {
	requested := clock.Now()
	r, err := s.report(ctx)
	if err != nil {
		s.engineLost(err)
		return s.awaitEngine(ctx)
	}
	as, now := s.assigned(), clock.Now()
	s.settleFromReport(now, as, r)
	s.reopenAfterRestart(now, r)
	if !s.up {
		s.up, s.reached = true, true
		s.log.WithField("engine", s.engineAddr).Info("Engine reached.")
	}
	if as.Model == "" {
		return s.cfg.Poll
	}
	if !s.prove(ctx, requested, as, r) {
		s.publishState(as.Model, 0, true, r.StartTimeMs)
		return s.cfg.PollBusy
	}
	if s.proof.unsound {
		r.Models = nil // the engine is to load a version as if it held none
		if s.proof.toBeDropped(r, as.Layers) && !s.inDoubt.open {
			return s.drop(ctx, as, r)
		}
	}
	serves := r.serves(as.Model, as.Layers)
	s.pace.update(now, r.Pace)
	s.publishState(as.Model, serves, r.Busy, r.StartTimeMs)
	step := s.cfg.Plan(now, r, as, s.holdings(now))
	if step != s.step {
		s.log.WithFields(logrus.Fields{"step": step.Action.String(), "from": s.step.Action.String(), "model": as.Model,
			"version": step.Version, "assigned": as.Version, "serves": serves, "running": r.Running}).Info("Step changed.")
		s.step = step
	}
	return s.do(ctx, step, as, r)
}

// holdings summarizes the available pieces for Plan.
func (s *Sidecar) holdings(now time.Time) holdings {
	h := holdings{staged: s.stage.stagedProgress(), fetched: s.prefetched.fetchedProgress(), inDoubt: s.inDoubt}
	if now.Before(s.stalledUntil) {
		h.stalled = s.stalled
	}
	return h
}

// do carries out one step and returns the time until the next reconcile.
func (s *Sidecar) do(ctx context.Context, step Step, as assignmentState, r Report) time.Duration {
	switch step.Action {
	case Watch, Await:
		return s.cfg.PollBusy
	case Stage:
		return s.stageAll(ctx, as, step.Version, r)
	case Fetch:
		return s.fetchNewer(ctx, as, step.Version, r)
	case Load:
		return s.load(ctx, as, step.Version, r)
	case Fence:
		return s.fence(ctx, as.Model, step.Version, r)
	case Inspect:
		return s.inspect(ctx, as, step.Version, r)
	}
	s.stage, s.prefetched = nil, nil // loaded; release the memory of the pieces
	return s.cfg.Poll
}

// fetchNewer prefetches a newer version than the staged one.
func (s *Sidecar) fetchNewer(ctx context.Context, as assignmentState, version int, r Report) time.Duration {
	err := s.prefetch(ctx, as, version, s.parallel(as, r))
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		return 0
	}
	s.log.WithError(err).WithField("version", version).Info("Prefetch of newer version failed.")
	s.stall(version)
	return s.cfg.PollBusy
}

// awaitEngine fetches pieces while a new engine is still starting. The pieces are staged as
// soon as the engine answers.
func (s *Sidecar) awaitEngine(ctx context.Context) time.Duration {
	as := s.assigned()
	if s.reached || s.cfg.FirstStart || as.Model == "" {
		return s.cfg.PollDown
	}
	if !s.stage.isFor(as.Model, as.Version) && s.beginStage(ctx, as.Model, as.Version) != nil {
		return s.cfg.PollDown // retried by the next reconcile
	}
	// Staging fails until the engine answers; the fetched pieces are kept.
	_ = s.fetchMissing(ctx, func() int { return s.cfg.Fetches })
	return s.cfg.PollDown
}

func (s *Sidecar) report(ctx context.Context) (Report, error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.engine.Report(ctx, s.engineAddr)
}

func (s *Sidecar) engineLost(err error) {
	if s.up || !s.polled {
		s.log.WithError(err).WithField("engine", s.engineAddr).Warn("Engine does not answer.")
	}
	s.up, s.polled = false, true
	if s.reached {
		s.stage = nil // the staged pieces are checked again
	}
	s.pace = paceFilter{}
	if as := s.assigned(); as.Model != "" {
		s.publishState(as.Model, 0, false, s.startTimeMs)
	}
}

// publishState publishes what the engine serves, if that has changed.
func (s *Sidecar) publishState(model string, version int, loading bool, startTimeMs int64) {
	state := peer.EngineState{Addr: s.engineAddr, Model: model, Version: version, Loading: loading, StartMs: startTimeMs, PacePercent: s.pace.published}
	if state == s.published {
		return
	}
	s.published = state
	s.log.WithFields(logrus.Fields{"model": model, "version": version, "loading": loading, "pace_percent": state.PacePercent}).Info("Engine state published.")
	s.publish(state)
}

func (s *Sidecar) stageAll(ctx context.Context, as assignmentState, version int, r Report) time.Duration {
	if s.inDoubt.fenceable(r.serves(as.Model, as.Layers)) {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithTimeout(ctx, s.cfg.RepairTimeout)
		defer cancel()
	}
	if !s.stage.isFor(as.Model, version) {
		if err := s.beginStage(ctx, as.Model, version); err != nil {
			s.log.WithError(err).WithField("version", version).Warn("Staging could not be started.")
			s.stall(version)
			return s.cfg.Poll
		}
	}
	if err := s.fetchMissing(ctx, func() int { return s.parallel(as, r) }); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"version": version, "missing": s.stage.missing}).Warn("Staging incomplete.")
		s.stall(version)
		return s.cfg.PollBusy
	}
	if s.stage.complete() {
		took := clock.Since(s.stage.started).Milliseconds()
		s.stats.stageTime.Update(took)
		s.log.WithFields(logrus.Fields{"model": as.Model, "version": version, "pieces": len(s.stage.staged),
			"ms": took, "fetch_ms": s.stage.transferTimes.fetching.Load() / int64(time.Millisecond),
			"put_ms": s.stage.transferTimes.staging.Load() / int64(time.Millisecond)}).Info("Version staged.")
	}
	return 0
}

// parallel returns the limit of concurrent piece fetches. An engine whose version is
// overdue receives no requests, so its link is free.
func (s *Sidecar) parallel(as assignmentState, r Report) int {
	serving := r.serves(as.Model, as.Layers)
	timeout := time.Duration(as.TimeoutMs) * time.Millisecond
	pending := as.pending(serving)
	overdue := len(pending) > 0 && timeout > 0 && clock.Since(pending[0].announced) > timeout-s.cfg.Margin
	if serving == 0 || overdue {
		return s.cfg.Fetches
	}
	return s.cfg.FetchesServing
}

// stall defers a version in favour of an older one for Config.StallFor, since its manifest
// or one of its pieces could not be fetched or staged.
func (s *Sidecar) stall(version int) {
	s.stalled, s.stalledUntil = version, clock.Now().Add(s.cfg.StallFor)
}

// load checks the staged pieces again and orders the engine to load them.
func (s *Sidecar) load(ctx context.Context, as assignmentState, version int, r Report) time.Duration {
	if s.proof.stuck(version, as.Layers) {
		return s.cfg.Poll
	}
	age := s.cfg.VerifyAge
	if s.inDoubt.known() {
		age = 0 // the order may take effect at any time until the next check
	}
	if !s.verifyForOrder(ctx, age) {
		return 0 // the next step stages the bad pieces again
	}
	return s.order(ctx, as, version, r)
}

// order orders the engine to load the staged pieces, and records the outcome.
func (s *Sidecar) order(ctx context.Context, as assignmentState, version int, r Report) time.Duration {
	if !s.inDoubt.known() { // while an order is repeated the engine may serve for long; it is not reported as loading
		s.publishState(as.Model, r.serves(as.Model, as.Layers), true, r.StartTimeMs)
	}
	order := s.newLoadOrder(as.Model, version, r)
	order.Layers = s.proof.nextLayers(version, as.Layers)
	fields := logrus.Fields{"model": as.Model, "version": version, "running": r.Running, "sequence": order.Precondition, "token": order.Token,
		"from_layer": order.Layers.From, "to_layer": order.Layers.To, "engine_start_ms": r.StartTimeMs}
	if s.stage != nil {
		fields["check_age_ms"], fields["unconfirmed_puts"] = clock.Since(s.stage.oldestCheck()).Milliseconds(), s.puts.unconfirmed(len(s.stage.staged), clock.Now())
	}
	begun, err := s.sendOrder(ctx, order)
	fields["begun"] = begun
	s.stats.count(err)
	switch {
	case err == nil:
		s.refusals = 0
		s.log.WithFields(fields).Info("Load order accepted.")
		if s.inDoubt.open {
			s.settle(clock.Now(), "answered")
		}
	case errors.Is(err, ErrOrderInDoubt):
		s.recordInDoubt(clock.Now(), order, err)
	default:
		s.log.WithFields(fields).WithError(err).Warn("Load order failed.")
		if errors.Is(err, ErrOrderFenced) {
			s.tokens.raise()
		}
		switch {
		case s.inDoubt.fencedBy(err):
			s.settle(clock.Now(), "fenced")
		case s.inDoubt.known():
			s.inDoubt.backOff(clock.Now(), s.cfg) // each repeat reads all pieces, which costs time
		case !errors.Is(err, ErrOrderFenced): // the next token may be high enough
			if !errors.Is(err, ErrOrderStale) {
				s.publishState(as.Model, r.serves(as.Model, as.Layers), r.Busy, r.StartTimeMs)
			}
			s.refusals++
			return s.refusalPause()
		}
	}
	return s.cfg.PollBusy
}

// refusalPause returns the time until the next reconcile after a refused order.
func (s *Sidecar) refusalPause() time.Duration {
	return min(s.cfg.PollBusy<<min(s.refusals, 16), s.cfg.Poll)
}

// newLoadOrder returns an order that is based on a report.
func (s *Sidecar) newLoadOrder(model string, version int, r Report) LoadOrder {
	return LoadOrder{Model: model, Version: version, Precondition: r.Sequence, Token: s.tokens.next(clock.Now())}
}

// sendOrder sends an order, and records the time if the order has precondition 0 and gets
// no answer (see reopenAfterRestart).
func (s *Sidecar) sendOrder(ctx context.Context, order LoadOrder) (begun bool, err error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.OrderTimeout)
	defer cancel()
	begun, err = s.engine.StartLoad(ctx, s.engineAddr, order)
	if errors.Is(err, ErrOrderInDoubt) && order.Precondition == 0 {
		s.sentAtZero = clock.Now()
	}
	return begun, err
}
