package agent

import (
	"context"
	"sync"
	"time"

	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intake"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
)

// expireEvery is how often old records are looked for.
const expireEvery = time.Second

// work is one accepted attempt.
type work struct {
	attachment

	id       idempotency.AttemptID
	dispatch *peer.Dispatch
	deadline time.Time
	answer   *answer
	verdict  chan intake.Refusal // one value: a zero Reason means run
	started  time.Time
	ended    time.Time
	heldSize int64 // bytes of the held answer
}

// requests keeps the attempts of this agent. Its state is owned by one
// goroutine; the decisions are made by package intake.
type requests struct {
	cfg    Config
	node   *control.Node
	loop   *loop.Loop
	serves func() readiness
	active *sync.WaitGroup // requests that run or whose answer is not delivered

	intake   *intake.Intake
	works    map[idempotency.AttemptID]*work
	plain    []*work // with whole answers, kept for a resume; oldest first
	keyed    []*work // with whole answers, kept for their key; oldest first
	heldSize int64   // bytes of both
	revision intent.Ref
}

// readiness is what the engine's supervisor says about the target.
type readiness struct {
	ready   bool
	loadout string // what an answer must name; empty for plain services
}

func newRequests(cfg Config, node *control.Node, serves func() readiness, active *sync.WaitGroup) *requests {
	return &requests{cfg: cfg, node: node, loop: loop.New(), serves: serves, active: active,
		intake: intake.New(cfg.Idempotency, clock.Now()), works: map[idempotency.AttemptID]*work{}}
}

func (r *requests) run(ctx context.Context) {
	go r.loop.Every(ctx, expireEvery, r.tick)
	r.loop.Run(ctx)
}

func (r *requests) tick() {
	now := clock.Now()
	r.apply(now, r.intake.Tick(now))
	r.dropAnswers(now)
}

// configure takes the limits of the revision in force.
func (r *requests) configure(s *control.Snapshot) {
	f := s.Fleet()
	if f == nil || s.Accepted.Head.Ref() == r.revision {
		return
	}
	r.revision = s.Accepted.Head.Ref()
	svc := f.ServiceOf(r.cfg.Control.Host)
	if svc == nil {
		return
	}
	teams := make([]admission.TeamLimits, len(f.Teams))
	for i, t := range f.Teams {
		teams[i] = admission.TeamLimits(t)
	}
	now := clock.Now()
	r.apply(now, r.intake.Configure(now, admission.Limits{Concurrency: svc.Limits.Concurrency, Queue: svc.Limits.Queue}, teams))
}

// apply tells waiting attempts what was decided about them.
func (r *requests) apply(now time.Time, e intake.Effects) {
	for _, id := range e.Started {
		r.start(now, r.works[id])
	}
	for _, x := range e.Refused {
		w := r.works[x.ID]
		delete(r.works, x.ID)
		w.verdict <- x
	}
}

func (r *requests) start(now time.Time, w *work) {
	w.started = now
	r.active.Add(1)
	w.verdict <- intake.Refusal{}
}

// host describes this agent for a decision.
func (r *requests) host(service string) intake.HostState {
	s := r.node.Snapshot()
	h := intake.HostState{Incarnation: r.cfg.Control.Incarnation, Awake: r.node.Awake(clock.Now()), Ready: r.serves().ready}
	var current []string
	if f := s.Fleet(); f != nil {
		h.HasIntent = true
		if svc := f.ServiceOf(r.cfg.Control.Host); svc != nil {
			h.Service = svc.Name
			current = svc.HostNames()
		}
	}
	h.HomeHistory = idempotency.HomeHistory{Self: r.cfg.Control.Host, KnownSince: s.KnownSince, HeadAge: clock.Since(s.ConfirmedAt),
		CurrentHosts: current}
	for _, x := range s.PastHosts {
		if x.Service == service {
			h.HomeHistory.EarlierHosts = append(h.HomeHistory.EarlierHosts, x.Hosts)
		}
	}
	return h
}

// begun is the result of begin.
type begun struct {
	intake.Decision
	work   *work   // of Run and Wait
	answer *answer // of Replay
}

// begin decides on an attempt that has arrived.
func (r *requests) begin(d *peer.Dispatch, fenced bool) begun {
	return r.admit(r.host(d.Service), d, fenced)
}

// admit decides on an attempt by what the host says of itself.
func (r *requests) admit(h intake.HostState, d *peer.Dispatch, fenced bool) begun {
	now := clock.Now()
	w := &work{id: attemptID(d.Attempt), dispatch: d, answer: newAnswer(), verdict: make(chan intake.Refusal, 1),
		deadline: now.Add(time.Duration(d.TimeoutMs) * time.Millisecond)}
	dec, eff := r.intake.Arrive(now, h, attemptOf(d, w.deadline), fenced)
	b := begun{Decision: dec}
	switch dec.Action {
	case intake.Run:
		r.works[w.id] = w
		r.start(now, w)
		b.work = w
	case intake.Wait:
		r.works[w.id] = w
		b.work = w
	case intake.Replay:
		b.answer = r.heldAnswer(&b, dec.Source)
	}
	r.apply(now, eff)
	return b
}

func attemptOf(d *peer.Dispatch, deadline time.Time) intake.Attempt {
	return intake.Attempt{ID: attemptID(d.Attempt), Incarnation: d.Incarnation, Service: d.Service, Team: d.Team,
		Key: d.Key, Fingerprint: d.Print, Urgency: int(d.Urgency), Deadline: deadline}
}

// heldAnswer returns the answer of a finished attempt, or turns the decision
// into a refusal if it is gone.
func (r *requests) heldAnswer(b *begun, id idempotency.AttemptID) *answer {
	if w := r.works[id]; w != nil {
		return w.answer
	}
	b.Decision = intake.Decision{Action: intake.Refuse, Reason: outcome.KeyAnswerGone, RetryAfter: intake.MinRetryAfter}
	return nil
}

// cancelWaiting refuses a request that still waits because its entry is gone.
// It reports false if the request runs already.
func (r *requests) cancelWaiting(w *work) bool {
	if !r.intake.Cancel(clock.Now(), w.id) {
		return false
	}
	delete(r.works, w.id)
	return true
}

// notRun ends a request that was admitted but never reached the target.
func (r *requests) notRun(w *work, reason outcome.Reason) {
	now := clock.Now()
	delete(r.works, w.id)
	r.apply(now, r.intake.NotRun(now, w.id, reason))
}

// finished records that a request that ran has ended. whole is true if all of its answer
// has been received.
func (r *requests) finished(w *work, whole bool) {
	now := clock.Now()
	w.ended = now
	held := whole && w.answer.fromStart()
	if held {
		r.hold(w)
	} else {
		delete(r.works, w.id)
	}
	r.apply(now, r.intake.Finished(now, w.id, held, now.Sub(w.started)))
	r.dropAnswers(now)
}

// dropAnswers discards held answers that are old, and the oldest while there
// are too many bytes of them: first those that are only kept for a resume.
// Each answer is looked at once, when its turn has come.
func (r *requests) dropAnswers(now time.Time) {
	r.plain = r.dropOldest(now, r.plain, r.cfg.ResumeGrace)
	r.keyed = r.dropOldest(now, r.keyed, r.cfg.Idempotency.KeyWindow)
}

func (r *requests) dropOldest(now time.Time, held []*work, keep time.Duration) []*work {
	n := 0
	for ; n < len(held); n++ {
		w := held[n]
		if r.heldSize <= r.cfg.AnswerMemory && now.Sub(w.ended) <= keep {
			break
		}
		r.heldSize -= w.heldSize
		r.intake.AnswerDiscarded(w.id)
		delete(r.works, w.id)
	}
	return held[n:]
}

// hold keeps the whole answer of a request that has ended.
func (r *requests) hold(w *work) {
	w.heldSize = w.answer.size()
	r.heldSize += w.heldSize
	if w.dispatch.Key != "" {
		r.keyed = append(r.keyed, w)
	} else {
		r.plain = append(r.plain, w)
	}
}

// fence answers a query about an attempt.
func (r *requests) fence(f *peer.Fence) *peer.FenceReply {
	if f.Incarnation != r.cfg.Control.Incarnation {
		return &peer.FenceReply{State: peer.AttemptUnknown}
	}
	s, reason := r.intake.Fence(clock.Now(), attemptID(f.Attempt))
	return &peer.FenceReply{State: wireState(s), Reason: reason}
}

func wireState(s idempotency.State) peer.AttemptState {
	switch s {
	case idempotency.Fenced:
		return peer.AttemptFenced
	case idempotency.Refused:
		return peer.AttemptRefused
	case idempotency.Accepted:
		return peer.AttemptRunning
	case idempotency.Finished:
		return peer.AttemptFinished
	}
	return peer.AttemptGone
}

// leave refuses all that waits and all that comes.
func (r *requests) leave() {
	now := clock.Now()
	r.apply(now, r.intake.Leave(now))
}

func attemptID(a peer.Attempt) idempotency.AttemptID {
	return idempotency.AttemptID{ID: a.ID, Try: a.Try}
}
