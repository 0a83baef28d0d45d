package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/telemetry"
)

// expireEvery is how often old records are looked for.
const expireEvery = time.Second

// minRetryAfter is told to callers when no better time is known.
const minRetryAfter = time.Second

// work is one accepted attempt.
type work struct {
	attachment

	id       uint64
	attempt  idempotency.AttemptID
	dispatch *peer.Dispatch
	deadline time.Time
	answer   *answer
	verdict  chan admission.Refusal // one value: a zero Reason means run
	started  time.Time
	ended    time.Time
}

// requests decides on requests. Its state is owned by one goroutine; the
// decisions are made by idempotency and admission.
type requests struct {
	cfg    Config
	node   *control.Node
	log    *logrus.Entry
	reason *telemetry.Reasons
	loop   *loop.Loop
	serves func() readiness
	active *sync.WaitGroup // requests that run or whose answer is not delivered

	table    *idempotency.Table
	queue    *admission.Queue
	works    map[idempotency.AttemptID]*work
	byID     map[uint64]*work
	nextID   uint64
	held     []idempotency.AttemptID // finished answers, oldest first
	heldSize int64
	revision intent.Ref
	leaving  bool
}

// readiness is what the engine's supervisor says about the target.
type readiness struct {
	ready   bool
	loadout string // what an answer must name; empty for plain services
}

func newRequests(cfg Config, node *control.Node, log *logrus.Entry, r *telemetry.Reasons, serves func() readiness, active *sync.WaitGroup) *requests {
	return &requests{cfg: cfg, node: node, log: log, reason: r, loop: loop.New(), serves: serves, active: active,
		table: idempotency.NewTable(cfg.Idempotency, time.Now()),
		queue: admission.New(admission.Limits{Concurrency: 1}),
		works: map[idempotency.AttemptID]*work{}, byID: map[uint64]*work{}}
}

func (r *requests) run(ctx context.Context) {
	go func() {
		t := time.NewTicker(expireEvery)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				r.loop.Post(r.tick)
			case <-ctx.Done():
				return
			}
		}
	}()
	r.loop.Run(ctx)
}

func (r *requests) tick() {
	now := time.Now()
	r.table.Expire(now)
	r.apply(now, r.queue.Tick(now))
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
	limits := admission.Limits{Concurrency: svc.Limits.Concurrency, Queue: svc.Limits.Queue}
	now := time.Now()
	r.apply(now, r.queue.Configure(now, limits, teams))
}

// apply carries out what admission decided about waiting requests.
func (r *requests) apply(now time.Time, e admission.Effects) {
	for _, id := range e.Started {
		r.start(now, r.byID[id])
	}
	for _, x := range e.Refused {
		w := r.byID[x.ID]
		r.forget(w)
		r.table.Refuse(now, w.attempt, x.Reason)
		w.verdict <- x
	}
}

func (r *requests) start(now time.Time, w *work) {
	w.started = now
	r.active.Add(1)
	w.verdict <- admission.Refusal{}
}

func (r *requests) forget(w *work) {
	delete(r.byID, w.id)
	delete(r.works, w.attempt)
}

// begun is the result of begin.
type begun struct {
	work    *work          // set if the attempt was accepted
	replay  *answer        // set if a held answer is to be sent
	refuse  outcome.Reason // set if the attempt is refused
	after   time.Duration
	ask     []string // earlier homes to ask before begin is called again
	ignored bool     // a doubled frame: say nothing
}

// begin decides on an attempt that has arrived. asked is true once the
// earlier homes have been asked and have fenced the key.
func (r *requests) begin(d *peer.Dispatch, asked bool) begun {
	now := time.Now()
	id := attemptID(d.Attempt)
	if reason := r.precheck(now, d); reason != "" {
		return r.refuseNew(now, id, reason)
	}
	switch r.table.Begin(id) {
	case idempotency.Never:
	case idempotency.Fenced:
		return begun{refuse: outcome.Fenced}
	default:
		return begun{ignored: true}
	}
	if d.Key != "" {
		if b, done := r.beginKey(now, id, d, asked); done {
			return b
		}
	}
	if r.leaving {
		return r.refuse(now, id, outcome.Leaving, minRetryAfter)
	}
	if !r.serves().ready {
		return r.refuse(now, id, outcome.NotReady, minRetryAfter)
	}
	return r.admit(now, id, d)
}

// precheck refuses what does not depend on records.
func (r *requests) precheck(now time.Time, d *peer.Dispatch) outcome.Reason {
	s := r.node.Snapshot()
	switch f := s.Fleet(); {
	case d.Incarnation != r.cfg.Control.Incarnation:
		return outcome.Fenced
	case !r.node.Awake(now):
		return outcome.Stale
	case f == nil:
		return outcome.NoIntent
	case f.ServiceOf(r.cfg.Control.Host) == nil || f.ServiceOf(r.cfg.Control.Host).Name != d.Service:
		return outcome.NotReady
	}
	return ""
}

// refuseNew refuses an attempt unless it is known already.
func (r *requests) refuseNew(now time.Time, id idempotency.AttemptID, reason outcome.Reason) begun {
	if s := r.table.Begin(id); s != idempotency.Never && s != idempotency.Fenced {
		return begun{ignored: true}
	}
	return r.refuse(now, id, reason, minRetryAfter)
}

func (r *requests) refuse(now time.Time, id idempotency.AttemptID, reason outcome.Reason, after time.Duration) begun {
	r.table.Refuse(now, id, reason)
	return begun{refuse: reason, after: after}
}

func (r *requests) beginKey(now time.Time, id idempotency.AttemptID, d *peer.Dispatch, asked bool) (begun, bool) {
	k := idempotency.KeyID{Service: d.Service, Team: d.Team, Key: d.Key}
	dec := r.table.BeginKey(now, k, d.Print, r.past(now, d.Service))
	switch {
	case dec.Verdict == idempotency.KeyReplay:
		return r.replayKey(now, id, dec.Replay), true
	case dec.Verdict == idempotency.KeyRefuse:
		return r.refuse(now, id, dec.Reason, minRetryAfter), true
	case dec.Verdict == idempotency.KeyAsk && !asked:
		r.table.Forget(id)
		return begun{ask: dec.Ask}, true
	case r.leaving || !r.serves().ready:
		return begun{}, false
	}
	r.table.StartKey(now, k, d.Print, id)
	return begun{}, false
}

// past describes the time before this process for idempotency.
func (r *requests) past(now time.Time, service string) idempotency.Past {
	s := r.node.Snapshot()
	p := idempotency.Past{Self: r.cfg.Control.Host, KnownSince: s.KnownSince, HeadAge: now.Sub(s.Proof)}
	for _, x := range s.Past {
		if x.Service == service {
			p.Hosts = append(p.Hosts, x.Hosts)
		}
	}
	return p
}

// replayKey answers a repeated key with the held answer.
func (r *requests) replayKey(now time.Time, id, finished idempotency.AttemptID) begun {
	w := r.works[finished]
	if w == nil {
		return r.refuse(now, id, outcome.KeyAnswerGone, minRetryAfter)
	}
	r.table.Refuse(now, id, outcome.KeyRunning)
	return begun{replay: w.answer}
}

func (r *requests) admit(now time.Time, id idempotency.AttemptID, d *peer.Dispatch) begun {
	r.nextID++
	w := &work{id: r.nextID, attempt: id, dispatch: d, answer: newAnswer(),
		deadline: now.Add(time.Duration(d.TimeoutMs) * time.Millisecond), verdict: make(chan admission.Refusal, 1)}
	r.byID[w.id], r.works[id] = w, w
	v, eff := r.queue.Offer(now, admission.Request{ID: w.id, Team: d.Team, Urgency: int(d.Urgency),
		Retry: d.Attempt.Try > 1, Deadline: w.deadline})
	if v.Refused != "" {
		r.forget(w)
		return r.refuse(now, id, v.Refused, v.RetryAfter)
	}
	if v.Start {
		r.start(now, w)
	}
	r.apply(now, eff)
	return begun{work: w}
}

// cancelWaiting refuses a request that still waits because its entry is gone.
// It reports false if the request runs already.
func (r *requests) cancelWaiting(w *work) bool {
	now := time.Now()
	if !r.queue.Cancel(w.id) {
		return false
	}
	r.forget(w)
	r.table.Refuse(now, w.attempt, outcome.CallerLeft)
	return true
}

// notRun ends a request that was admitted but never reached the target.
func (r *requests) notRun(w *work, reason outcome.Reason) {
	now := time.Now()
	r.table.Refuse(now, w.attempt, reason)
	r.apply(now, r.queue.Done(now, w.id, now.Sub(w.started)))
	r.forget(w)
}

// finished ends a request that ran.
func (r *requests) finished(w *work) {
	now := time.Now()
	r.apply(now, r.queue.Done(now, w.id, now.Sub(w.started)))
	delete(r.byID, w.id)
	w.ended = now
	if !w.answer.whole() {
		r.table.Finish(now, w.attempt, false)
		delete(r.works, w.attempt)
		return
	}
	r.table.Finish(now, w.attempt, true)
	r.held = append(r.held, w.attempt)
	r.heldSize += w.answer.size()
	r.dropAnswers(now)
}

// dropAnswers discards held answers beyond the memory bound, oldest first.
// Answers without a key are only kept for a resume.
func (r *requests) dropAnswers(now time.Time) {
	kept := r.held[:0]
	for _, id := range r.held {
		w := r.works[id]
		keep := r.cfg.ResumeGrace
		if w.dispatch.Key != "" {
			keep = r.cfg.Idempotency.KeyWindow
		}
		if r.heldSize <= r.cfg.AnswerMemory && now.Sub(w.ended) <= keep {
			kept = append(kept, id)
			continue
		}
		r.heldSize -= w.answer.size()
		r.table.Drop(id)
		delete(r.works, id)
	}
	r.held = kept
}

// fence answers a query about an attempt.
func (r *requests) fence(f *peer.Fence) *peer.FenceReply {
	if f.Incarnation != r.cfg.Control.Incarnation {
		return &peer.FenceReply{State: peer.AttemptUnknown}
	}
	s, reason := r.table.Fence(time.Now(), attemptID(f.Attempt))
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
	r.leaving = true
	r.apply(time.Now(), r.queue.RefuseAll(outcome.Leaving))
}

// load is what a status message says about the queue.
type load struct {
	running, queued int
	service         time.Duration
}

func (r *requests) load() load {
	return load{r.queue.Running(), r.queue.Queued(), r.queue.ServiceTime()}
}

func attemptID(a peer.Attempt) idempotency.AttemptID {
	return idempotency.AttemptID{ID: a.ID, Try: a.Try}
}
