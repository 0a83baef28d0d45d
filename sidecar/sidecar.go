package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
)

// Engine is the engine beside the agent.
type Engine interface {
	Report(ctx context.Context, addr string) (Report, error)
	PutPiece(ctx context.Context, addr, model string, index int, data []byte) error
	StagedPiece(ctx context.Context, addr, model string, index int) ([]byte, error)
	// Start orders the engine to load what is staged, after what is running.
	Start(ctx context.Context, addr, model string, version int) error
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

	stage   *stage
	said    peer.EngineState
	up      bool // the engine answered the last report
	asked   bool // a report was asked for before
	reached bool // the engine has answered a report
	step    Step

	mu         sync.Mutex
	assignment peer.Assignment
	announced  time.Time
	wake       chan struct{}
}

// New returns a sidecar of the engine at addr. say tells the entries.
func New(cfg Config, engine Engine, addr string, source Source, say func(peer.EngineState), stats *Stats,
	log logrus.FieldLogger) *Sidecar {
	return &Sidecar{cfg: cfg.applyDefaults(), engine: engine, engineAddr: addr, source: source, say: say, stats: stats, log: log,
		wake: make(chan struct{}, 1)}
}

// Assign takes an entry's assignment. All entries send theirs; the highest
// version counts, and of the same version the earliest announcement.
func (s *Sidecar) Assign(now time.Time, a peer.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	announced := now.Add(-time.Duration(a.AgeMs) * time.Millisecond)
	switch {
	case a.Model == s.assignment.Model && a.Version < s.assignment.Version:
		return
	case a.Model == s.assignment.Model && a.Version == s.assignment.Version:
		if s.announced.Before(announced) {
			announced = s.announced
		}
	default:
		s.log.WithFields(logrus.Fields{"model": a.Model, "version": a.Version, "age_ms": a.AgeMs, "turn": a.Turn,
			"turns": a.Turns}).Info("Version assigned.")
	}
	s.assignment, s.announced = a, announced
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Sidecar) assigned() (peer.Assignment, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment, s.announced
}

// Run works until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := s.turn(ctx)
		timer := time.NewTimer(pause)
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
	if !s.up {
		s.up, s.reached = true, true
		s.log.WithField("engine", s.engineAddr).Info("Engine reached.")
	}
	a, announced := s.assigned()
	if a.Model == "" {
		return s.cfg.Poll
	}
	s.tell(a, r.serves(a.Model, a.Layers), r.Busy)
	step := s.cfg.Plan(time.Now(), r, a, announced, s.stage.is(a) && s.stage.whole())
	if step != s.step {
		s.log.WithFields(logrus.Fields{"step": step.String(), "from": s.step.String(), "model": a.Model, "version": a.Version,
			"serves": r.serves(a.Model, a.Layers), "running": r.Running}).Info("Next step.")
		s.step = step
	}
	switch step {
	case Watch, Await:
		return s.cfg.PollBusy
	case Stage:
		return s.stageAll(ctx, a, r)
	case Load:
		return s.load(ctx, a, r)
	}
	s.stage = nil // loaded; the pieces take memory
	return s.cfg.Poll
}

// awaitEngine fetches pieces while a new engine is still starting; they are
// staged as soon as it answers.
func (s *Sidecar) awaitEngine(ctx context.Context) time.Duration {
	a, _ := s.assigned()
	if s.reached || s.cfg.FirstStart || a.Model == "" {
		return s.cfg.PollDown
	}
	if !s.stage.is(a) && s.begin(ctx, a) != nil {
		return s.cfg.PollDown // asked for again at the next turn
	}
	// Staging itself fails until the engine answers; what was fetched stays.
	_ = s.fetchMissing(ctx, s.cfg.Fetches)
	return s.cfg.PollDown
}

func (s *Sidecar) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
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
	if a, _ := s.assigned(); a.Model != "" {
		s.tell(a, 0, false)
	}
}

// tell says what the engine serves, if that has changed.
func (s *Sidecar) tell(a peer.Assignment, version int, loading bool) {
	state := peer.EngineState{Addr: s.engineAddr, Model: a.Model, Version: version, Loading: loading}
	if state == s.said {
		return
	}
	s.said = state
	s.log.WithFields(logrus.Fields{"model": a.Model, "version": version, "loading": loading}).Info("Engine state.")
	s.say(state)
}

func (s *Sidecar) stageAll(ctx context.Context, a peer.Assignment, r Report) time.Duration {
	if !s.stage.is(a) {
		if err := s.begin(ctx, a); err != nil {
			s.log.WithError(err).Warn("Staging could not begin.")
			return s.cfg.Poll
		}
	}
	parallel := s.cfg.Fetches
	if r.serves(a.Model, a.Layers) > 0 {
		parallel = s.cfg.FetchesServing
	}
	if err := s.fetchMissing(ctx, parallel); err != nil {
		s.log.WithError(err).WithField("missing", s.stage.missing).Warn("Staging is not complete.")
		return s.cfg.PollBusy
	}
	if s.stage.whole() {
		took := time.Since(s.stage.started).Milliseconds()
		s.stats.stageTime.Update(took)
		s.log.WithFields(logrus.Fields{"model": a.Model, "version": a.Version, "pieces": len(s.stage.staged),
			"ms": took}).Info("Staged.")
	}
	return 0
}

// load checks the staged pieces once more and orders the engine to load them.
func (s *Sidecar) load(ctx context.Context, a peer.Assignment, r Report) time.Duration {
	if !s.verify(ctx, s.cfg.VerifyAge) {
		return 0 // the next step stages what is bad
	}
	s.tell(a, r.serves(a.Model, a.Layers), true)
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	fields := logrus.Fields{"model": a.Model, "version": a.Version, "running": r.Running}
	if err := s.engine.Start(ctx, s.engineAddr, a.Model, a.Version); err != nil {
		s.stats.ordersFailed.Inc(1)
		s.log.WithFields(fields).WithError(err).Warn("Load order failed.")
		return s.cfg.PollBusy
	}
	s.stats.orders.Inc(1)
	s.log.WithFields(fields).Info("Load ordered.")
	return s.cfg.PollBusy
}

// ServePiece hands a piece that lies at the engine to an entry, which checks it.
func (s *Sidecar) ServePiece(ctx context.Context, st *peer.Stream, first peer.Message) {
	q, ok := first.(*peer.GetPiece)
	if !ok {
		return
	}
	data, err := s.engine.StagedPiece(ctx, s.engineAddr, q.Model, q.Index)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "piece": q.Index}).Info("Piece not handed out.")
	}
	// The asker notices a reply that does not arrive by its own timeout.
	_ = st.SendLast(ctx, &peer.Blob{Found: err == nil, Data: data})
}
