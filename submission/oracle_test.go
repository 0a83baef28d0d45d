package submission_test

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/submission"
	"pgregory.net/rapid"
)

func (w *world) actions() map[string]func(*rapid.T) {
	one := func(t *rapid.T, label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
	withLive := func(f func(*rapid.T, *agentSim)) func(*rapid.T) {
		return func(t *rapid.T) {
			live := w.live()
			if len(live) == 0 {
				t.Skip("no live agent")
			}
			f(t, live[one(t, "agent", len(live))])
		}
	}
	deliver := func(duplicate bool) func(*rapid.T) {
		return func(t *rapid.T) {
			at := w.deliverable()
			if len(at) == 0 {
				t.Skip("no packet in transit")
			}
			w.deliver(at[one(t, "packet", len(at))], duplicate)
		}
	}
	produce := withLive(func(t *rapid.T, a *agentSim) {
		for _, k := range a.order {
			if !k.waiting && !k.ended {
				w.produce(a, k)
				return
			}
		}
		t.Skip("no running request")
	})
	m := map[string]func(*rapid.T){
		"submit": w.submit, "deliver": deliver(false), "double": deliver(true), "produce": produce,
		"drop": func(t *rapid.T) {
			if len(w.inTransit) == 0 {
				t.Skip("no packet in transit")
			}
			i := one(t, "packet", len(w.inTransit))
			w.inTransit = append(w.inTransit[:i:i], w.inTransit[i+1:]...)
		},
		"break": func(t *rapid.T) {
			if len(w.submissions) == 0 {
				t.Skip("no submission")
			}
			s := w.submissions[one(t, "sub", len(w.submissions))]
			if s.outcome != "" {
				t.Skip("submission has ended")
			}
			w.act(t, s, s.m.ConnectionLost())
		},
		"fence fails": func(t *rapid.T) {
			if len(w.submissions) == 0 {
				t.Skip("no submission")
			}
			s := w.submissions[one(t, "sub", len(w.submissions))]
			w.act(t, s, s.m.FenceFailed())
		},
		"leave": func(t *rapid.T) {
			if len(w.submissions) == 0 {
				t.Skip("no submission")
			}
			s := w.submissions[one(t, "sub", len(w.submissions))]
			if rapid.Bool().Draw(t, "deadline") {
				w.act(t, s, s.m.DeadlineExceeded())
			} else {
				w.act(t, s, s.m.Abandon(outcome.CallerLeft))
			}
		},
		"cross": func(t *rapid.T) { // frames of another submission are delivered to this one
			if len(w.submissions) < 2 {
				t.Skip("no other submission")
			}
			s, o := w.submissions[one(t, "sub", len(w.submissions))], w.submissions[one(t, "other", len(w.submissions))]
			if s == o || s.outcome != "" {
				t.Skip("same submission, or submission has ended")
			}
			b := answerContent(o.answerID())
			w.act(t, s, s.m.Head(foreignTry))
			if a := s.m.Data(foreignTry, 0, b); a.Kind != submission.None {
				t.Fatal("frame of another submission was forwarded")
			}
			w.act(t, s, s.m.End(foreignTry, int64(len(b)), xxhash.Sum64(b)))
			w.act(t, s, s.m.Refused(foreignTry, outcome.QueueFull, 0))
		},
		"agent leaves": withLive(func(t *rapid.T, a *agentSim) {
			if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
				w.apply(a, a.intake.Leave(w.now))
			}
		}),
		"kill":  withLive(func(_ *rapid.T, a *agentSim) { a.dead = true }),
		"pause": withLive(func(_ *rapid.T, a *agentSim) { a.paused = true }),
		"wake": func(*rapid.T) {
			for i := range simHosts {
				w.agents[hostName(i)].paused = false
			}
		},
		"restart": func(t *rapid.T) {
			name := hostName(one(t, "host", simHosts))
			w.agents[name].dead = true
			w.spawn(name, w.initialView(name), w.now)
		},
		"ask": withLive(func(t *rapid.T, a *agentSim) {
			if len(a.keyFences) == 0 {
				t.Skip("no pending key fence")
			}
			f := a.keyFences[0]
			a.keyFences = a.keyFences[1:]
			f(rapid.IntRange(0, 3).Draw(t, "reachable") > 0)
		}),
		"publish": func(t *rapid.T) {
			if len(w.revisions) > 12 {
				t.Skip("maximum number of revisions reached")
			}
			skip := one(t, "without", simHosts)
			var hosts []string
			for i := range simHosts {
				if i != skip {
					hosts = append(hosts, hostName(i))
				}
			}
			w.revisions = append(w.revisions, hosts)
		},
		"adopt": func(t *rapid.T) {
			to := one(t, "revision", len(w.revisions))
			if rapid.Bool().Draw(t, "entry") {
				w.adopt(&w.entries[one(t, "entry", len(w.entries))], to)
			} else if live := w.live(); len(live) > 0 {
				w.adopt(&live[one(t, "agent", len(live))].view, to)
			}
		},
		"history": withLive(func(t *rapid.T, a *agentSim) {
			live := w.live()
			p := live[one(t, "peer", len(live))].view
			a.view.past = append(a.view.past, p.past...)
			if p.revision >= a.view.revision && p.knownSince.Before(a.view.knownSince) {
				a.view.knownSince = p.knownSince
			}
		}),
		"advance": func(t *rapid.T) {
			w.advance(time.Duration(rapid.SampledFrom([]int{100, 3000, 20000, 61000}).Draw(t, "ms")) * time.Millisecond)
		},
	}
	// Common actions are registered under several names, so that they are drawn more often.
	for _, n := range []string{"a", "b", "c"} {
		m["deliver "+n], m["produce "+n] = m["deliver"], m["produce"]
	}
	m["submit a"] = m["submit"]
	for name, f := range m {
		m[name] = func(t *rapid.T) {
			stepT = t
			w.steps++
			f(t)
			w.check(t)
		}
	}
	return m
}

// initialView is the view of a restarted process. It copies the history from a live peer,
// if there is one.
func (w *world) initialView(name string) view {
	newest := len(w.revisions) - 1
	for _, p := range w.live() {
		if p.name == name {
			continue
		}
		v := view{revision: p.view.revision, headConfirmed: p.view.headConfirmed, knownSince: p.view.knownSince}
		v.past = append(v.past, p.view.past...)
		if v.revision < newest {
			// The process reads the newest revision itself, which replaces the peer's.
			w.adopt(&v, newest)
		}
		return v
	}
	return view{revision: newest, headConfirmed: w.now, knownSince: w.now}
}

// TestOracleRequests checks all guarantees about requests against the oracle.
func TestOracleRequests(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(w.actions())
		// Deliver what is still in transit, and let the targets finish.
		stepT = t
		for range 200 {
			at := w.deliverable()
			if len(at) == 0 {
				break
			}
			w.deliver(at[0], false)
		}
		for _, a := range w.live() {
			for _, k := range a.order {
				for !k.waiting && !k.ended {
					w.produce(a, k)
				}
			}
		}
		w.check(t)
		total += w.steps
	})
	t.Logf("%d steps", total)
}
