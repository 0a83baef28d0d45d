package submission_test

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intake"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/submission"
	"pgregory.net/rapid"
)

// The oracle test simulates entries and agents, with their real decision code, over a
// network that drops, delays, duplicates, reorders and misroutes frames. Processes are
// killed, restarted and paused, and the homes of keys change. The oracle records what the
// targets actually ran and what the callers actually received, and the test compares the
// reported outcomes with this record.

const (
	simHosts  = 4
	simWindow = time.Minute
	simSkew   = 2 * time.Second
	simTTL    = 5 * time.Minute
	simTeam   = "team"
	service   = "service"
	// foreignTry is the try number that the driver reports for a frame of another
	// submission.
	foreignTry = 0
)

// sub is one submission with what its caller has received.
type sub struct {
	index            int
	id               [16]byte
	repeatable       bool
	key              string // idempotency key, "" if none
	entry            int
	m                *submission.Machine
	host             string
	incarnation      uint64
	conn             *conn
	tried            map[string]bool
	received         []byte
	outcome          outcome.Outcome
	reason           outcome.Reason
	aborted          bool
	keyRunsAtOutcome int // how often the key had run when the outcome was reported
}

// answerID determines the content of the target's answer. All submissions with the same
// key have the same answer.
func (s *sub) answerID() string {
	if s.key != "" {
		return s.key
	}
	return fmt.Sprintf("sub-%d", s.index)
}

func answerContent(name string) []byte { return []byte("answer of " + name + " in several pieces") }

// conn is one connection of a submission to an agent incarnation.
type conn struct {
	agent *agentSim
}

// packet is a frame in transit.
type packet struct {
	sub     *sub
	conn    *conn
	sent    time.Time
	toAgent bool
	handle  func()
}

type agentSim struct {
	name        string
	incarnation uint64
	intake      *intake.Intake
	start       time.Time
	dead        bool
	paused      bool
	view        view
	attempts    map[idempotency.AttemptID]*attemptSim
	order       []*attemptSim
	keyFences   []func(reachable bool)
}

type attemptSim struct {
	id      idempotency.AttemptID
	sub     *sub
	conn    *conn
	waiting bool
	ran     bool
	ended   bool
	answer  []byte
	sent    int
}

// view is the revision that a process has in force and what it knows about earlier ones.
type view struct {
	revision      int
	headConfirmed time.Time
	knownSince    time.Time
	past          []pastSim
}

type pastSim struct {
	revision int
	replaced time.Time
}

type world struct {
	now             time.Time
	lastIncarnation uint64
	revisions       [][]string // hosts of the service by revision
	agents          map[string]*agentSim
	entries         []view
	submissions     []*sub
	inTransit       []*packet
	runs            map[int]int    // how often each submission has run
	keyRuns         map[string]int // how often each key has run
	keys            []string
	steps           int
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

func newWorld() *world {
	w := &world{now: time.Unix(1_800_000_000, 0), agents: map[string]*agentSim{}, runs: map[int]int{}, keyRuns: map[string]int{}}
	w.revisions = [][]string{{"h0", "h1", "h2"}}
	old := w.now.Add(-time.Hour)
	for i := range simHosts {
		w.spawn(hostName(i), view{headConfirmed: w.now, knownSince: old}, old)
	}
	w.entries = []view{{headConfirmed: w.now}, {headConfirmed: w.now}}
	return w
}

func (w *world) spawn(name string, v view, start time.Time) {
	w.lastIncarnation++
	a := &agentSim{name: name, incarnation: w.lastIncarnation, start: start, view: v, attempts: map[idempotency.AttemptID]*attemptSim{}}
	a.intake = intake.New(idempotency.Config{KeyWindow: simWindow, ClockSkew: simSkew, AttemptTTL: simTTL}, start)
	a.intake.Configure(w.now, admission.Limits{Concurrency: 2, Queue: 2}, []admission.TeamLimits{{Name: simTeam, Weight: 1}})
	w.agents[name] = a
}

func (w *world) send(s *sub, c *conn, toAgent bool, handle func()) {
	w.inTransit = append(w.inTransit, &packet{sub: s, conn: c, sent: w.now, toAgent: toAgent, handle: handle})
}

// act carries out the machine's actions, as the entry's driver does.
func (w *world) act(t *rapid.T, s *sub, a submission.Action) {
	for {
		switch a.Kind {
		case submission.Choose:
			a = w.choose(t, s)
		case submission.Dispatch:
			a = w.dispatch(s)
		case submission.Fence:
			a = w.fence(s)
		case submission.Resume:
			a = w.resume(s, a.Offset)
		case submission.Backoff:
			a = s.m.BackoffElapsed(rapid.IntRange(0, 9).Draw(t, "budget") > 0)
		case submission.Finish:
			s.outcome, s.reason, s.aborted = a.Outcome, a.Reason, a.Abort
			s.keyRunsAtOutcome = w.keyRuns[s.key]
			if s.conn != nil {
				w.cancel(s)
			}
			return
		default:
			return
		}
	}
}

// cancel sends the stream reset of a finished submission, which cancels its attempt if
// that is still queued.
func (w *world) cancel(s *sub) {
	c := s.conn
	w.send(s, c, true, func() {
		for _, k := range c.agent.order {
			if k.sub == s && k.waiting {
				c.agent.intake.Cancel(w.now, k.id)
				k.waiting, k.ended = false, true
			}
		}
	})
}

func (w *world) choose(t *rapid.T, s *sub) submission.Action {
	hosts := w.revisions[w.entries[s.entry].revision]
	if s.key != "" {
		s.host = idempotency.Home(idempotency.KeyID{Service: service, Team: simTeam, Key: s.key}, hosts)
		return s.m.HostChosen()
	}
	h := rapid.SampledFrom(hosts).Draw(t, "host")
	if s.tried[h] {
		return s.m.NoHost(outcome.NoCandidate, 0)
	}
	s.tried[h] = true
	s.host = h
	return s.m.HostChosen()
}

func (w *world) dispatch(s *sub) submission.Action {
	a := w.agents[s.host]
	if a.dead {
		return s.m.NotSent(outcome.ConnectFailed)
	}
	c := &conn{agent: a}
	s.conn, s.incarnation = c, a.incarnation
	id := idempotency.AttemptID{ID: s.id, Try: s.m.Try()}
	w.send(s, c, true, func() { w.arrive(s, c, id, false) })
	return submission.Action{}
}

// arrive delivers a dispatch to its agent.
func (w *world) arrive(s *sub, c *conn, id idempotency.AttemptID, fenced bool) {
	a := c.agent
	att := intake.Attempt{ID: id, Incarnation: a.incarnation, Service: service, Team: simTeam, Key: s.key,
		Urgency: 3, Deadline: w.now.Add(time.Hour)}
	d, eff := a.intake.Arrive(w.now, w.hostState(a), att, fenced)
	switch d.Action {
	case intake.Run, intake.Wait:
		k := &attemptSim{id: id, sub: s, conn: c, waiting: d.Action == intake.Wait, answer: answerContent(s.answerID())}
		a.attempts[id] = k
		a.order = append(a.order, k)
	case intake.Refuse:
		w.refuse(s, c, id, d.Reason)
	case intake.Replay:
		w.replay(s, c, id, answerContent(s.answerID()))
	case intake.FenceHomes:
		a.keyFences = append(a.keyFences, func(reachable bool) { w.resolveKeyFence(s, c, id, att, d.Homes, reachable) })
	}
	w.apply(a, eff)
}

func (w *world) hostState(a *agentSim) intake.HostState {
	p := idempotency.HomeHistory{Self: a.name, KnownSince: a.view.knownSince, HeadAge: w.now.Sub(a.view.headConfirmed),
		CurrentHosts: w.revisions[a.view.revision]}
	for _, x := range a.view.past {
		p.EarlierHosts = append(p.EarlierHosts, w.revisions[x.revision])
	}
	return intake.HostState{Incarnation: a.incarnation, Awake: true, HasIntent: true, Service: service, Ready: true, HomeHistory: p}
}

func (w *world) resolveKeyFence(s *sub, c *conn, id idempotency.AttemptID, att intake.Attempt, homes []string, reachable bool) {
	key := idempotency.KeyID{Service: service, Team: simTeam, Key: s.key}
	for _, h := range homes {
		o := w.agents[h]
		if !reachable || o.dead || o.paused || o.intake.FenceKey(w.now, key) {
			d := c.agent.intake.FencingFailed(w.now, att)
			w.refuse(s, c, id, d.Reason)
			return
		}
	}
	w.arrive(s, c, id, true)
}

func (w *world) refuse(s *sub, c *conn, id idempotency.AttemptID, r outcome.Reason) {
	w.send(s, c, false, func() { w.toEntry(s, func() submission.Action { return s.m.Refused(id.Try, r, 0) }) })
}

func (w *world) replay(s *sub, c *conn, id idempotency.AttemptID, b []byte) {
	w.send(s, c, false, func() { w.toEntry(s, func() submission.Action { return s.m.Head(id.Try) }) })
	w.data(s, c, id, 0, b)
	w.end(s, c, id, b)
}

func (w *world) data(s *sub, c *conn, id idempotency.AttemptID, at int, b []byte) {
	w.send(s, c, false, func() {
		w.toEntry(s, func() submission.Action {
			a := s.m.Data(id.Try, int64(at), b)
			if a.Kind == submission.Forward {
				s.received = append(s.received, b...)
			}
			return a
		})
	})
}

func (w *world) end(s *sub, c *conn, id idempotency.AttemptID, answer []byte) {
	w.send(s, c, false, func() {
		w.toEntry(s, func() submission.Action {
			return s.m.End(id.Try, int64(len(answer)), xxhash.Sum64(answer))
		})
	})
}

var stepT *rapid.T // the rapid.T of the current step, for random draws in act

func (w *world) toEntry(s *sub, f func() submission.Action) { w.act(stepT, s, f()) }

func (w *world) apply(a *agentSim, e intake.Effects) {
	for _, id := range e.Started {
		a.attempts[id].waiting = false
	}
	for _, r := range e.Refused {
		k := a.attempts[r.ID]
		k.waiting, k.ended = false, true
		w.refuse(k.sub, k.conn, r.ID, r.Reason)
	}
}

func (w *world) fence(s *sub) submission.Action {
	a := w.agents[s.host]
	if a.dead {
		return s.m.FenceFailed()
	}
	if a.incarnation != s.incarnation {
		return s.m.FenceResult(s.m.Try(), submission.FenceGone, "")
	}
	c := &conn{agent: a}
	s.conn = c
	id := idempotency.AttemptID{ID: s.id, Try: s.m.Try()}
	w.send(s, c, true, func() {
		st, reason := a.intake.Fence(w.now, id)
		w.send(s, c, false, func() {
			w.toEntry(s, func() submission.Action { return s.m.FenceResult(id.Try, fenceState(st), reason) })
		})
	})
	return submission.Action{}
}

func fenceState(st idempotency.State) submission.FenceState {
	switch st {
	case idempotency.Fenced, idempotency.Refused:
		return submission.FenceNotRun
	case idempotency.Accepted, idempotency.Finished:
		return submission.FenceRunning
	}
	return submission.FenceFailed
}

func (w *world) resume(s *sub, offset int64) submission.Action {
	a := w.agents[s.host]
	if a.dead || a.incarnation != s.incarnation {
		return s.m.ConnectionLost()
	}
	c := &conn{agent: a}
	s.conn = c
	id := idempotency.AttemptID{ID: s.id, Try: s.m.Try()}
	w.send(s, c, true, func() {
		k := a.attempts[id]
		if k == nil || k.ended && !k.ran {
			w.refuse(s, c, id, outcome.TargetFailed)
			return
		}
		k.conn = c
		w.send(s, c, false, func() { w.toEntry(s, func() submission.Action { return s.m.Head(id.Try) }) })
		w.data(s, c, id, int(offset), k.answer[min(int(offset), k.sent):k.sent])
		if k.ended {
			w.end(s, c, id, k.answer)
		}
	})
	return submission.Action{}
}

// produce advances a target by one step: it starts the request, sends data or ends the
// answer.
func (w *world) produce(a *agentSim, k *attemptSim) {
	switch {
	case !k.ran:
		k.ran = true
		w.runs[k.sub.index]++
		if k.sub.key != "" {
			w.keyRuns[k.sub.key]++
		}
		s, c, id := k.sub, k.conn, k.id
		w.send(s, c, false, func() { w.toEntry(s, func() submission.Action { return s.m.Head(id.Try) }) })
	case k.sent < len(k.answer):
		n := min(len(k.answer), k.sent+12)
		w.data(k.sub, k.conn, k.id, k.sent, k.answer[k.sent:n])
		k.sent = n
	default:
		k.ended = true
		w.end(k.sub, k.conn, k.id, k.answer)
		w.apply(a, a.intake.Finished(w.now, k.id, true, time.Second))
	}
}

// live returns the agents that are neither dead nor paused, in a fixed order.
func (w *world) live() []*agentSim {
	var out []*agentSim
	for i := range simHosts {
		if a := w.agents[hostName(i)]; !a.dead && !a.paused {
			out = append(out, a)
		}
	}
	return out
}

func (w *world) deliverable() []int {
	var out []int
	for i, p := range w.inTransit {
		a := p.conn.agent
		if p.toAgent && (a.dead || a.paused || w.agents[a.name] != a) {
			continue
		}
		out = append(out, i)
	}
	return out
}

func (w *world) deliver(i int, duplicate bool) {
	p := w.inTransit[i]
	if !duplicate {
		w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
	}
	p.handle()
}

func (w *world) adopt(v *view, revision int) {
	if revision > v.revision+1 {
		v.knownSince = w.now // the revisions that the process skipped are not known
	}
	if revision > v.revision {
		v.past = append(v.past, pastSim{v.revision, w.now})
		v.revision = revision
	}
	if v.revision == len(w.revisions)-1 {
		v.headConfirmed = w.now
	}
}

// history is how long earlier revisions are retained.
var history = idempotency.Config{KeyWindow: simWindow, ClockSkew: simSkew}.History()

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	kept := w.inTransit[:0]
	for _, p := range w.inTransit {
		if w.now.Sub(p.sent) < simTTL {
			kept = append(kept, p)
		}
	}
	w.inTransit = kept
	for _, a := range w.live() {
		w.apply(a, a.intake.Tick(w.now))
		past := a.view.past[:0:0]
		for _, x := range a.view.past {
			if w.now.Sub(x.replaced) <= history {
				past = append(past, x)
			}
		}
		a.view.past = past
	}
}

// check verifies the outcome of every submission against what the oracle recorded.
func (w *world) check(t *rapid.T) {
	for _, s := range w.submissions {
		if !s.repeatable && w.runs[s.index] > 1 {
			t.Fatalf("submission %d is not repeatable and ran %d times", s.index, w.runs[s.index])
		}
		if s.outcome == outcome.NotRun && w.runs[s.index] > 0 {
			t.Fatalf("submission %d was reported not-run (%s), but ran", s.index, s.reason)
		}
		if s.outcome == outcome.NotRun && s.key != "" && s.keyRunsAtOutcome > 0 && s.reason != outcome.KeyMismatch {
			t.Fatalf("submission %d was reported not-run (%s), but its key had run", s.index, s.reason)
		}
		if s.outcome == outcome.Completed && string(s.received) != string(answerContent(s.answerID())) {
			t.Fatalf("submission %d completed with %q", s.index, s.received)
		}
		if s.outcome != outcome.Completed && s.outcome != "" && len(s.received) > 0 && !s.aborted {
			t.Fatalf("submission %d: connection not aborted after a partial answer", s.index)
		}
	}
	for k, n := range w.keyRuns {
		if n > 1 {
			t.Fatalf("key %s ran %d times", k, n)
		}
	}
}

func keyAt(at time.Time, n int) string {
	var u uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (8 * (5 - i)))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(n)
	u[14] = byte(n >> 8)
	return u.String()
}

func (w *world) submit(t *rapid.T) {
	s := &sub{index: len(w.submissions), tried: map[string]bool{}, entry: rapid.IntRange(0, 1).Draw(t, "entry")}
	s.id[0], s.id[1] = byte(s.index), byte(s.index>>8)
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		s.repeatable = true
	case 1:
	case 2:
		s.key = keyAt(w.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond), len(w.keys))
		w.keys = append(w.keys, s.key)
	case 3:
		if len(w.keys) > 0 {
			s.key = rapid.SampledFrom(w.keys).Draw(t, "key")
		}
	}
	w.submissions = append(w.submissions, s)
	m, a := submission.New(submission.Request{Repeatable: s.repeatable, Keyed: s.key != ""})
	s.m = m
	w.act(t, s, a)
}
