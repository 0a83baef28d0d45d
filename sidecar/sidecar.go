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

// ErrNotStaged is returned by an engine at which a piece does not lie.
var ErrNotStaged = errors.New("sidecar: piece is not staged")

// Engine is the engine beside the agent.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	PutPiece(ctx context.Context, addr, model string, index int, data []byte) error
	StagedPiece(ctx context.Context, addr, model string, index int) ([]byte, error)
	// StartLoad orders the engine to load what is staged, after what is running. The
	// errors say what is known of the order.
	StartLoad(ctx context.Context, addr string, o LoadOrder) error
}

// Sidecar is the agent of one engine. Run owns its state.
type Sidecar struct {
	cfg        Config
	engine     Engine
	engineAddr string
	source     Source
	say        func(peer.EngineState)
	stats      *Stats
	log        logrus.FieldLogger

	stage   *stage // what lies at the engine
	ahead   *stage // what is kept in memory of a newer version
	said    peer.EngineState
	up      bool // the engine answered the last report
	asked   bool // a report was asked for before
	reached bool // the engine has answered a report
	step    Step
	doubt   doubt
	tokens  tokens
	unsure  unsure

	sequence   int64     // of the last report
	born       int64     // likewise
	sentAtZero time.Time // when an order with the precondition 0 got no answer

	stalled      int // version of which a piece could not be had
	stalledUntil time.Time

	asking sync.WaitGroup // questions to the source, also those not waited for

	mu    sync.Mutex
	order order
	wake  chan struct{}
}

// New returns a sidecar of the engine at addr. say tells the entries.
func New(cfg Config, engine Engine, addr string, source Source, say func(peer.EngineState), stats *Stats,
	log logrus.FieldLogger) *Sidecar {
	cfg = cfg.applyDefaults()
	var before time.Time // until when a piece of the agent before may come
	if !cfg.FirstStart {
		before = clock.Now().Add(cfg.OrderGrace)
	}
	return &Sidecar{cfg: cfg, unsure: unsure{all: before}, engine: engine, engineAddr: addr, source: source, say: say, stats: stats, log: log,
		doubt: doubt{open: true, last: clock.Now()}, wake: make(chan struct{}, 1)}
}

// Assign takes an entry's assignment.
func (s *Sidecar) Assign(now time.Time, a peer.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.order
	s.order = before.merge(now, a)
	if s.order.Version != before.Version || s.order.Model != before.Model {
		s.log.WithFields(logrus.Fields{"model": a.Model, "version": a.Version, "age_ms": a.AgeMs, "turn": a.Turn,
			"turns": a.Turns, "earlier": len(a.Earlier)}).Info("Version assigned.")
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// RemoveEntry forgets what an entry said that is not heard any more: whether it can read
// a version may have changed. The versions themselves stay.
func (s *Sidecar) RemoveEntry(entry string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = s.order.without(entry)
}

func (s *Sidecar) assigned() order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order
}

// Run works until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	defer s.asking.Wait()
	for ctx.Err() == nil {
		pause := s.turn(ctx)
		timer := clock.NewTimer(pause)
		select {
		case <-timer.C:
		case <-s.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// turn reads the engine's report, does one step and returns the pause.
func (s *Sidecar) turn(ctx context.Context) time.Duration {
	r, err := s.report(ctx)
	if err != nil {
		s.engineLost(err)
		return s.awaitEngine(ctx)
	}
	o, now := s.assigned(), clock.Now()
	s.review(now, o, r)
	s.revive(now, r)
	if !s.up {
		s.up, s.reached = true, true
		s.log.WithField("engine", s.engineAddr).Info("Engine reached.")
	}
	if o.Model == "" {
		return s.cfg.Poll
	}
	serves := r.serves(o.Model, o.Layers)
	s.tell(o.Model, serves, r.Busy, r.StartTimeMs)
	step := s.cfg.Plan(now, r, o, s.holdings(now))
	if step != s.step {
		s.log.WithFields(logrus.Fields{"step": step.Action.String(), "from": s.step.Action.String(), "model": o.Model,
			"version": step.Version, "assigned": o.Version, "serves": serves, "running": r.Running}).Info("Next step.")
		s.step = step
	}
	return s.do(ctx, step, o, r)
}

// holdings sums up what the agent has.
func (s *Sidecar) holdings(now time.Time) holdings {
	h := holdings{staged: s.stage.stagedProgress(), fetched: s.ahead.fetchedProgress(), doubt: s.doubt}
	if now.Before(s.stalledUntil) {
		h.stalled = s.stalled
	}
	return h
}

// do takes one step and returns the pause after it.
func (s *Sidecar) do(ctx context.Context, step Step, o order, r Report) time.Duration {
	switch step.Action {
	case Watch, Await:
		return s.cfg.PollBusy
	case Stage:
		return s.stageAll(ctx, o, step.Version, r)
	case Fetch:
		return s.fetchNewer(ctx, o, step.Version, r)
	case Load:
		return s.load(ctx, o, step.Version, r)
	case Fence:
		return s.fence(ctx, o.Model, step.Version, r)
	case Inspect:
		return s.inspect(ctx, o, step.Version, r)
	}
	s.stage, s.ahead = nil, nil // loaded; the pieces take memory
	return s.cfg.Poll
}

// fetchNewer fetches a newer version than the one that waits for its turn.
func (s *Sidecar) fetchNewer(ctx context.Context, o order, version int, r Report) time.Duration {
	err := s.fetchAhead(ctx, o, version, s.parallel(o, r))
	if err == nil || errors.Is(err, context.DeadlineExceeded) {
		return 0
	}
	s.log.WithError(err).WithField("version", version).Info("Newer version not fetched yet.")
	s.stall(version)
	return s.cfg.PollBusy
}

// awaitEngine fetches pieces while a new engine is still starting; they are
// staged as soon as it answers.
func (s *Sidecar) awaitEngine(ctx context.Context) time.Duration {
	o := s.assigned()
	if s.reached || s.cfg.FirstStart || o.Model == "" {
		return s.cfg.PollDown
	}
	if !s.stage.is(o.Model, o.Version) && s.begin(ctx, o.Model, o.Version) != nil {
		return s.cfg.PollDown // asked for again at the next turn
	}
	// Staging itself fails until the engine answers; what was fetched stays.
	_ = s.fetchMissing(ctx, func() int { return s.cfg.Fetches })
	return s.cfg.PollDown
}

func (s *Sidecar) report(ctx context.Context) (Report, error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.engine.Report(ctx, s.engineAddr)
}

func (s *Sidecar) engineLost(err error) {
	if s.up || !s.asked {
		s.log.WithError(err).WithField("engine", s.engineAddr).Warn("Engine lost.")
	}
	s.up, s.asked = false, true
	if s.reached {
		s.stage = nil // what lies there is checked again
	}
	if o := s.assigned(); o.Model != "" {
		s.tell(o.Model, 0, false, s.born)
	}
}

// tell says what the engine serves, if that has changed.
func (s *Sidecar) tell(model string, version int, loading bool, born int64) {
	state := peer.EngineState{Addr: s.engineAddr, Model: model, Version: version, Loading: loading, Born: born}
	if state == s.said {
		return
	}
	s.said = state
	s.log.WithFields(logrus.Fields{"model": model, "version": version, "loading": loading}).Info("Engine state.")
	s.say(state)
}

func (s *Sidecar) stageAll(ctx context.Context, o order, version int, r Report) time.Duration {
	if s.doubt.fenceable(r.serves(o.Model, o.Layers)) {
		var cancel context.CancelFunc
		ctx, cancel = clock.WithTimeout(ctx, s.cfg.RepairTimeout)
		defer cancel()
	}
	if !s.stage.is(o.Model, version) {
		if err := s.begin(ctx, o.Model, version); err != nil {
			s.log.WithError(err).WithField("version", version).Warn("Staging could not begin.")
			s.stall(version)
			return s.cfg.Poll
		}
	}
	if err := s.fetchMissing(ctx, func() int { return s.parallel(o, r) }); err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"version": version, "missing": s.stage.missing}).Warn("Staging is not complete.")
		s.stall(version)
		return s.cfg.PollBusy
	}
	if s.stage.whole() {
		took := clock.Since(s.stage.started).Milliseconds()
		s.stats.stageTime.Update(took)
		s.log.WithFields(logrus.Fields{"model": o.Model, "version": version, "pieces": len(s.stage.staged),
			"ms": took, "fetch_ms": s.stage.spent.fetching.Load() / int64(time.Millisecond),
			"put_ms": s.stage.spent.staging.Load() / int64(time.Millisecond)}).Info("Staged.")
	}
	return 0
}

// parallel returns how many pieces are fetched at once. An engine whose version
// is overdue gets no requests, so its link is free.
func (s *Sidecar) parallel(o order, r Report) int {
	serving := r.serves(o.Model, o.Layers)
	timeout := time.Duration(o.TimeoutMs) * time.Millisecond
	pending := o.pending(serving)
	overdue := len(pending) > 0 && timeout > 0 && clock.Since(pending[0].announced) > timeout-s.cfg.Margin
	if serving == 0 || overdue {
		return s.cfg.Fetches
	}
	return s.cfg.FetchesServing
}

// stall puts a version behind an older one for a while.
func (s *Sidecar) stall(version int) {
	s.stalled, s.stalledUntil = version, clock.Now().Add(s.cfg.StallFor)
}

// load checks the staged pieces once more and orders the engine to load them.
func (s *Sidecar) load(ctx context.Context, o order, version int, r Report) time.Duration {
	age := s.cfg.VerifyAge
	if s.doubt.ours() {
		age = 0 // it may take effect at any time until the next check
	}
	if !s.verifyForOrder(ctx, age) {
		return 0 // the next step stages what is bad
	}
	if !s.doubt.ours() { // an engine whose order is repeated may serve on for long
		s.tell(o.Model, r.serves(o.Model, o.Layers), true, r.StartTimeMs)
	}
	order := s.newOrder(o.Model, version, r)
	fields := logrus.Fields{"model": o.Model, "version": version, "running": r.Running, "sequence": order.Precondition, "token": order.Token}
	err := s.start(ctx, order)
	s.stats.count(err)
	switch {
	case err == nil:
		s.log.WithFields(fields).Info("Load ordered.")
		if s.doubt.open {
			s.settle(clock.Now(), "answered")
		}
	case errors.Is(err, ErrOrderInDoubt):
		s.doubtful(clock.Now(), order, err)
	default:
		s.log.WithFields(fields).WithError(err).Warn("Load order failed.")
		if errors.Is(err, ErrOrderFenced) {
			s.tokens.lift()
		}
		switch {
		case s.doubt.fencedBy(err):
			s.settle(clock.Now(), "fenced")
		case s.doubt.ours():
			s.doubt.putOff(clock.Now(), s.cfg) // all pieces are read for each repeat
		}
	}
	return s.cfg.PollBusy
}

// newOrder returns an order that is decided on a report.
func (s *Sidecar) newOrder(model string, version int, r Report) LoadOrder {
	return LoadOrder{Model: model, Version: version, Precondition: r.Sequence, Token: s.tokens.next(clock.Now())}
}

// start sends an order.
func (s *Sidecar) start(ctx context.Context, order LoadOrder) error {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.OrderTimeout)
	defer cancel()
	err := s.engine.StartLoad(ctx, s.engineAddr, order)
	if errors.Is(err, ErrOrderInDoubt) && order.Precondition == 0 {
		s.sentAtZero = clock.Now()
	}
	return err
}

// fence makes the engine refuse older orders: an order of what it serves changes
// nothing there, but its token counts. One with a lower token must then be
// refused, or the engine does not heed tokens.
func (s *Sidecar) fence(ctx context.Context, model string, serving int, r Report) time.Duration {
	var err error
	if s.doubt.shut == 0 {
		s.tokens.aheadOf(clock.Now())
		lower := s.newOrder(model, serving, r)
		err = s.start(ctx, s.newOrder(model, serving, r))
		switch {
		case err == nil:
			s.doubt.shut = lower.Token
		case errors.Is(err, ErrOrderFenced):
			s.tokens.lift()
			return s.cfg.PollBusy
		}
	}
	if s.doubt.shut != 0 {
		lower := s.newOrder(model, serving, r)
		lower.Token = s.doubt.shut
		err = s.start(ctx, lower)
		if errors.Is(err, ErrOrderFenced) {
			s.settle(clock.Now(), "fenced")
			return 0
		}
		s.doubt.unfenced = err == nil
	}
	s.doubt.putOff(clock.Now(), s.cfg)
	if err != nil && !errors.Is(err, ErrOrderInDoubt) && s.doubt.tries >= earlierTries {
		s.doubt.unfenced = true
	}
	s.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": serving, "tries": s.doubt.tries,
		"unfenced": s.doubt.unfenced}).Info("Older orders not shut out.")
	return s.cfg.PollBusy
}
