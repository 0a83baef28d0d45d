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

// The oracle test runs the decisions of entries and agents over a network
// that drops, delays, doubles, reorders and crosses frames, while processes
// are killed, restarted and paused and the homes of keys move. The oracle
// knows what the targets really ran and what the callers really got.

const (
	simHosts  = 4
	simWindow = time.Minute
	simSkew   = 2 * time.Second
	simTTL    = 5 * time.Minute
	simTeam   = "team"
	service   = "service"
	// foreign is the try number that the shell gives to a frame of another
	// submission.
	foreign = 0
)

// sub is one submission as its caller sees it.
type sub struct {
	index   int
	id      [16]byte
	repeat  bool
	key     string // "" if none
	entry   int
	m       *submission.Machine
	host    string
	inc     uint64
	conn    *conn
	tried   map[string]bool
	got     []byte
	outcome outcome.Outcome
	reason  outcome.Reason
	aborted bool
	keyRan  int // how often the key had run when the outcome was told
}

// name is what the target's answer is made of: repeats of a key get the answer
// of the key.
func (s *sub) name() string {
	if s.key != "" {
		return s.key
	}
	return fmt.Sprintf("sub-%d", s.index)
}

func content(name string) []byte { return []byte("answer of " + name + " in several pieces") }

// conn is one connection of a submission to an agent incarnation.
type conn struct {
	agent *agentSim
}

// packet is a frame on its way.
type packet struct {
	sub     *sub
	conn    *conn
	sent    time.Time
	toAgent bool
	do      func()
}

type agentSim struct {
	name   string
	inc    uint64
	k      *intake.Intake
	start  time.Time
	dead   bool
	paused bool
	view   view
	works  map[idempotency.AttemptID]*workSim
	order  []*workSim
	asks   []func(reachable bool)
}

type workSim struct {
	id      idempotency.AttemptID
	sub     *sub
	conn    *conn
	waiting bool
	ran     bool
	ended   bool
	answer  []byte
	sent    int
}

// view is which revision a process has in force and what it knows of others.
type view struct {
	revision   int
	proof      time.Time
	knownSince time.Time
	past       []pastSim
}

type pastSim struct {
	revision int
	replaced time.Time
}

type world struct {
	now       time.Time
	incs      uint64
	revisions [][]string // hosts of the service by revision
	agents    map[string]*agentSim
	entries   []view
	subs      []*sub
	net       []*packet
	runs      map[int]int    // by submission
	keyRuns   map[string]int // by key
	keys      []string
	steps     int
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

func newWorld() *world {
	w := &world{now: time.Unix(1_800_000_000, 0), agents: map[string]*agentSim{}, runs: map[int]int{}, keyRuns: map[string]int{}}
	w.revisions = [][]string{{"h0", "h1", "h2"}}
	old := w.now.Add(-time.Hour)
	for i := range simHosts {
		w.spawn(hostName(i), view{proof: w.now, knownSince: old}, old)
	}
	w.entries = []view{{proof: w.now}, {proof: w.now}}
	return w
}

func (w *world) spawn(name string, v view, start time.Time) {
	w.incs++
	a := &agentSim{name: name, inc: w.incs, start: start, view: v, works: map[idempotency.AttemptID]*workSim{}}
	a.k = intake.New(idempotency.Config{KeyWindow: simWindow, ClockSkew: simSkew, AttemptTTL: simTTL}, start)
	a.k.Configure(w.now, admission.Limits{Concurrency: 2, Queue: 2}, []admission.TeamLimits{{Name: simTeam, Weight: 1}})
	w.agents[name] = a
}

func (w *world) send(s *sub, c *conn, toAgent bool, do func()) {
	w.net = append(w.net, &packet{sub: s, conn: c, sent: w.now, toAgent: toAgent, do: do})
}

// act carries out what the machine asks for, as an entry's shell does.
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
		case submission.Wait:
			a = s.m.Waited(rapid.IntRange(0, 9).Draw(t, "budget") > 0)
		case submission.Finish:
			s.outcome, s.reason, s.aborted = a.Outcome, a.Reason, a.Abort
			s.keyRan = w.keyRuns[s.key]
			if s.conn != nil {
				w.cancel(s)
			}
			return
		default:
			return
		}
	}
}

// cancel is the reset that a finished submission sends.
func (w *world) cancel(s *sub) {
	c := s.conn
	w.send(s, c, true, func() {
		for _, k := range c.agent.order {
			if k.sub == s && k.waiting {
				c.agent.k.Cancel(w.now, k.id)
				k.waiting, k.ended = false, true
			}
		}
	})
}

func (w *world) choose(t *rapid.T, s *sub) submission.Action {
	hosts := w.revisions[w.entries[s.entry].revision]
	if s.key != "" {
		s.host = idempotency.Home(idempotency.KeyID{Service: service, Team: simTeam, Key: s.key}, hosts)
		return s.m.Chosen()
	}
	h := rapid.SampledFrom(hosts).Draw(t, "host")
	if s.tried[h] {
		return s.m.NoHost(outcome.NoCandidate, 0)
	}
	s.tried[h] = true
	s.host = h
	return s.m.Chosen()
}

func (w *world) dispatch(s *sub) submission.Action {
	a := w.agents[s.host]
	if a.dead {
		return s.m.NotSent(outcome.ConnectFailed)
	}
	c := &conn{agent: a}
	s.conn, s.inc = c, a.inc
	id := idempotency.AttemptID{ID: s.id, Try: s.m.Try()}
	w.send(s, c, true, func() { w.arrive(s, c, id, false) })
	return submission.Action{}
}

// arrive is a dispatch that reaches its agent.
func (w *world) arrive(s *sub, c *conn, id idempotency.AttemptID, fenced bool) {
	a := c.agent
	att := intake.Attempt{ID: id, Incarnation: a.inc, Service: service, Team: simTeam, Key: s.key,
		Urgency: 3, Deadline: w.now.Add(time.Hour)}
	d, eff := a.k.Arrive(w.now, w.hostOf(a), att, fenced)
	switch d.Action {
	case intake.Run, intake.Wait:
		k := &workSim{id: id, sub: s, conn: c, waiting: d.Action == intake.Wait, answer: content(s.name())}
		a.works[id] = k
		a.order = append(a.order, k)
	case intake.Refuse:
		w.refuse(s, c, id, d.Reason)
	case intake.Replay:
		w.replay(s, c, id, content(s.name()))
	case intake.FenceHomes:
		a.asks = append(a.asks, func(reachable bool) { w.resolveAsk(s, c, id, att, d.Homes, reachable) })
	}
	w.apply(a, eff)
}

func (w *world) hostOf(a *agentSim) intake.HostState {
	p := idempotency.HomeHistory{Self: a.name, KnownSince: a.view.knownSince, HeadAge: w.now.Sub(a.view.proof),
		CurrentHosts: w.revisions[a.view.revision]}
	for _, x := range a.view.past {
		p.EarlierHosts = append(p.EarlierHosts, w.revisions[x.revision])
	}
	return intake.HostState{Incarnation: a.inc, Awake: true, HasIntent: true, Service: service, Ready: true, HomeHistory: p}
}

func (w *world) resolveAsk(s *sub, c *conn, id idempotency.AttemptID, att intake.Attempt, homes []string, reachable bool) {
	key := idempotency.KeyID{Service: service, Team: simTeam, Key: s.key}
	for _, h := range homes {
		o := w.agents[h]
		if !reachable || o.dead || o.paused || o.k.FenceKey(w.now, key) {
			d := c.agent.k.FencingFailed(w.now, att)
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
				s.got = append(s.got, b...)
			}
			return a
		})
	})
}

func (w *world) end(s *sub, c *conn, id idempotency.AttemptID, whole []byte) {
	w.send(s, c, false, func() {
		w.toEntry(s, func() submission.Action {
			return s.m.End(id.Try, int64(len(whole)), xxhash.Sum64(whole))
		})
	})
}

var entryT *rapid.T // of the step under way, for draws in the entry's shell

func (w *world) toEntry(s *sub, f func() submission.Action) { w.act(entryT, s, f()) }

func (w *world) apply(a *agentSim, e intake.Effects) {
	for _, id := range e.Started {
		a.works[id].waiting = false
	}
	for _, r := range e.Refused {
		k := a.works[r.ID]
		k.waiting, k.ended = false, true
		w.refuse(k.sub, k.conn, r.ID, r.Reason)
	}
}

func (w *world) fence(s *sub) submission.Action {
	a := w.agents[s.host]
	if a.dead {
		return s.m.FenceFailed()
	}
	if a.inc != s.inc {
		return s.m.FenceResult(s.m.Try(), submission.FenceGone, "")
	}
	c := &conn{agent: a}
	s.conn = c
	id := idempotency.AttemptID{ID: s.id, Try: s.m.Try()}
	w.send(s, c, true, func() {
		st, reason := a.k.Fence(w.now, id)
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
	if a.dead || a.inc != s.inc {
		return s.m.Lost()
	}
	c := &conn{agent: a}
	s.conn = c
	id := idempotency.AttemptID{ID: s.id, Try: s.m.Try()}
	w.send(s, c, true, func() {
		k := a.works[id]
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

// produce lets a target work: first it runs the request, then it answers.
func (w *world) produce(a *agentSim, k *workSim) {
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
		w.apply(a, a.k.Finished(w.now, k.id, true, time.Second))
	}
}

// live returns the agents that can act, in a fixed order.
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
	for i, p := range w.net {
		a := p.conn.agent
		if p.toAgent && (a.dead || a.paused || w.agents[a.name] != a) {
			continue
		}
		out = append(out, i)
	}
	return out
}

func (w *world) deliver(i int, keep bool) {
	p := w.net[i]
	if !keep {
		w.net = append(w.net[:i:i], w.net[i+1:]...)
	}
	p.do()
}

func (w *world) adopt(v *view, revision int) {
	if revision > v.revision+1 {
		v.knownSince = w.now // what was in force in between is not known
	}
	if revision > v.revision {
		v.past = append(v.past, pastSim{v.revision, w.now})
		v.revision = revision
	}
	if v.revision == len(w.revisions)-1 {
		v.proof = w.now
	}
}

// history is how long earlier revisions are remembered.
var history = idempotency.Config{KeyWindow: simWindow, ClockSkew: simSkew}.History()

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	kept := w.net[:0]
	for _, p := range w.net {
		if w.now.Sub(p.sent) < simTTL {
			kept = append(kept, p)
		}
	}
	w.net = kept
	for _, a := range w.live() {
		w.apply(a, a.k.Tick(w.now))
		past := a.view.past[:0:0]
		for _, x := range a.view.past {
			if w.now.Sub(x.replaced) <= history {
				past = append(past, x)
			}
		}
		a.view.past = past
	}
}

// check compares every submission with what really happened.
func (w *world) check(t *rapid.T) {
	for _, s := range w.subs {
		if !s.repeat && w.runs[s.index] > 1 {
			t.Fatalf("submission %d is not repeatable and ran %d times", s.index, w.runs[s.index])
		}
		if s.outcome == outcome.NotRun && w.runs[s.index] > 0 {
			t.Fatalf("submission %d was reported not-run (%s) and ran", s.index, s.reason)
		}
		if s.outcome == outcome.NotRun && s.key != "" && s.keyRan > 0 && s.reason != outcome.KeyMismatch {
			t.Fatalf("submission %d was reported not-run (%s), but its key had run", s.index, s.reason)
		}
		if s.outcome == outcome.Completed && string(s.got) != string(content(s.name())) {
			t.Fatalf("submission %d completed with %q", s.index, s.got)
		}
		if s.outcome != outcome.Completed && s.outcome != "" && len(s.got) > 0 && !s.aborted {
			t.Fatalf("submission %d: a part of an answer was not aborted", s.index)
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
	s := &sub{index: len(w.subs), tried: map[string]bool{}, entry: rapid.IntRange(0, 1).Draw(t, "entry")}
	s.id[0], s.id[1] = byte(s.index), byte(s.index>>8)
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		s.repeat = true
	case 1:
	case 2:
		s.key = keyAt(w.now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond), len(w.keys))
		w.keys = append(w.keys, s.key)
	case 3:
		if len(w.keys) > 0 {
			s.key = rapid.SampledFrom(w.keys).Draw(t, "key")
		}
	}
	w.subs = append(w.subs, s)
	m, a := submission.New(submission.Request{Repeatable: s.repeat, Keyed: s.key != ""})
	s.m = m
	w.act(t, s, a)
}
