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

// expireInterval is how often expired records of attempts and keys are removed.
const expireInterval = time.Second

// attempt is one accepted attempt of a request.
type attempt struct {
	attachment

	id              idempotency.AttemptID
	dispatch        *peer.Dispatch
	deadline        time.Time
	answer          *answer
	admissionResult chan intake.Refusal // receives one value: the attempt may run if Reason is empty
	started         time.Time
	ended           time.Time
	heldBytes       int64 // size of the answer while it is retained after the end, in bytes
}

// requests tracks the attempts of this agent. Its state is owned by the loop's
// goroutine. The decisions are made by package intake.
type requests struct {
	cfg             Config
	node            *control.Node
	loop            *loop.Loop
	targetReadiness func() readiness
	active          *sync.WaitGroup // requests that run or whose answer is not delivered

	intake    *intake.Intake
	attempts  map[idempotency.AttemptID]*attempt
	plain     []*attempt // finished without an idempotency key, answer retained for a resume; oldest first
	keyed     []*attempt // finished with an idempotency key, answer retained for its repeats; oldest first
	heldBytes int64      // bytes of the answers in plain and keyed
	revision  intent.Ref
}

// readiness is the target's state as determined by the supervisor.
type readiness struct {
	ready   bool
	loadout string // ID of the loadout that the target's answers must name; empty for plain services
}

func newRequests(cfg Config, node *control.Node, targetReadiness func() readiness, active *sync.WaitGroup) *requests {
	return &requests{cfg: cfg, node: node, loop: loop.New(), targetReadiness: targetReadiness, active: active,
		intake: intake.New(cfg.Idempotency, clock.Now()), attempts: map[idempotency.AttemptID]*attempt{}}
}

func (r *requests) run(ctx context.Context) {
	go r.loop.Every(ctx, expireInterval, r.tick)
	r.loop.Run(ctx)
}

func (r *requests) tick() {
	now := clock.Now()
	r.apply(now, r.intake.Tick(now))
	r.dropAnswers(now)
}

// configure applies the limits of the revision in force.
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

// apply passes the decisions on queued attempts to their goroutines.
func (r *requests) apply(now time.Time, e intake.Effects) {
	for _, id := range e.Started {
		r.start(now, r.attempts[id])
	}
	for _, x := range e.Refused {
		att := r.attempts[x.ID]
		delete(r.attempts, x.ID)
		att.admissionResult <- x
	}
}

func (r *requests) start(now time.Time, att *attempt) {
	att.started = now
	r.active.Add(1)
	att.admissionResult <- intake.Refusal{}
}

// hostState returns the state of this host that decisions depend on.
func (r *requests) hostState(service string) intake.HostState {
	s := r.node.Snapshot()
	h := intake.HostState{Incarnation: r.cfg.Control.Incarnation, Awake: r.node.Awake(clock.Now()), Ready: r.targetReadiness().ready}
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

// beginResult is the result of begin.
type beginResult struct {
	intake.Decision
	attempt *attempt // set for Run and Wait
	answer  *answer  // set for Replay
}

// begin decides on an attempt that has arrived. fenced is true once the earlier homes of
// its key have fenced the key.
func (r *requests) begin(d *peer.Dispatch, fenced bool) beginResult {
	return r.admit(r.hostState(d.Service), d, fenced)
}

// admit decides on an attempt for a given state of the host.
func (r *requests) admit(h intake.HostState, d *peer.Dispatch, fenced bool) beginResult {
	now := clock.Now()
	att := &attempt{id: attemptID(d.Attempt), dispatch: d, answer: newAnswer(), admissionResult: make(chan intake.Refusal, 1),
		deadline: now.Add(time.Duration(d.TimeoutMs) * time.Millisecond)}
	dec, eff := r.intake.Arrive(now, h, attemptOf(d, att.deadline), fenced)
	b := beginResult{Decision: dec}
	switch dec.Action {
	case intake.Run:
		r.attempts[att.id] = att
		r.start(now, att)
		b.attempt = att
	case intake.Wait:
		r.attempts[att.id] = att
		b.attempt = att
	case intake.Replay:
		b.answer = r.heldAnswer(&b, dec.Source)
	}
	r.apply(now, eff)
	return b
}

func attemptOf(d *peer.Dispatch, deadline time.Time) intake.Attempt {
	return intake.Attempt{ID: attemptID(d.Attempt), Incarnation: d.Incarnation, Service: d.Service, Team: d.Team,
		Key: d.Key, Fingerprint: d.Fingerprint, Urgency: int(d.Urgency), Deadline: deadline}
}

// heldAnswer returns the retained answer of a finished attempt. If the answer has been
// discarded, heldAnswer changes the decision in b to a refusal and returns nil.
func (r *requests) heldAnswer(b *beginResult, id idempotency.AttemptID) *answer {
	if att := r.attempts[id]; att != nil {
		return att.answer
	}
	b.Decision = intake.Decision{Action: intake.Refuse, Reason: outcome.KeyAnswerGone, RetryAfter: intake.MinRetryAfter}
	return nil
}

// cancelQueued cancels a queued request whose stream has ended, and reports whether the
// request was still queued.
func (r *requests) cancelQueued(att *attempt) bool {
	if !r.intake.Cancel(clock.Now(), att.id) {
		return false
	}
	delete(r.attempts, att.id)
	return true
}

// recordNotRun records that an admitted request has ended without reaching the target.
func (r *requests) recordNotRun(att *attempt, reason outcome.Reason) {
	now := clock.Now()
	delete(r.attempts, att.id)
	r.apply(now, r.intake.NotRun(now, att.id, reason))
}

// recordFinished records that a request that ran has ended. complete is true if its whole
// answer has been received.
func (r *requests) recordFinished(att *attempt, complete bool) {
	now := clock.Now()
	att.ended = now
	held := complete && att.answer.fromStart()
	if held {
		r.holdAnswer(att)
	} else {
		delete(r.attempts, att.id)
	}
	r.apply(now, r.intake.Finished(now, att.id, held, now.Sub(att.started)))
	r.dropAnswers(now)
}

// dropAnswers discards expired answers and, while the retained answers exceed AnswerMemory,
// the oldest ones. Answers that are retained only for a resume are discarded before those
// that are retained for repeats of their idempotency key. Both lists are sorted by age, so
// each scan ends at the first answer to keep.
func (r *requests) dropAnswers(now time.Time) {
	r.plain = r.dropOldest(now, r.plain, r.cfg.ResumeGrace)
	r.keyed = r.dropOldest(now, r.keyed, r.cfg.Idempotency.KeyWindow)
}

func (r *requests) dropOldest(now time.Time, held []*attempt, keep time.Duration) []*attempt {
	n := 0
	for ; n < len(held); n++ {
		att := held[n]
		if r.heldBytes <= r.cfg.AnswerMemory && now.Sub(att.ended) <= keep {
			break
		}
		r.heldBytes -= att.heldBytes
		r.intake.AnswerDiscarded(att.id)
		delete(r.attempts, att.id)
	}
	return held[n:]
}

// holdAnswer retains the complete answer of a finished request.
func (r *requests) holdAnswer(att *attempt) {
	att.heldBytes = att.answer.size()
	r.heldBytes += att.heldBytes
	if att.dispatch.Key != "" {
		r.keyed = append(r.keyed, att)
	} else {
		r.plain = append(r.plain, att)
	}
}

// fence returns the state of an attempt, and bars the attempt from running if it has not
// arrived yet.
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
	return peer.AttemptAnswerDiscarded
}

// leave refuses all queued requests and all that arrive from now on.
func (r *requests) leave() {
	now := clock.Now()
	r.apply(now, r.intake.Leave(now))
}

func attemptID(a peer.Attempt) idempotency.AttemptID {
	return idempotency.AttemptID{ID: a.ID, Try: a.Try}
}
