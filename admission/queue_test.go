package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/outcome"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func queue(l Limits, teams ...TeamLimits) *Queue {
	q := New(l)
	for i := range teams {
		teams[i].Weight = max(1, teams[i].Weight)
	}
	q.Configure(start, l, teams)
	return q
}

func req(id uint64, team string) Request {
	return Request{ID: id, Team: team, Urgency: neutralUrgency, Deadline: start.Add(time.Hour)}
}

func TestRefusals(t *testing.T) {
	q := queue(Limits{1, 1}, TeamLimits{Name: "a", Rate: 2}, TeamLimits{Name: "b", Concurrency: 1})
	offer := func(id uint64, team string) Verdict {
		v, _ := q.Offer(start, req(id, team))
		return v
	}
	assert.Equal(t, offer(1, "nobody").Refused, outcome.NoTeam)
	assert.Assert(t, offer(2, "b").Start)
	assert.Equal(t, offer(3, "b").Refused, outcome.Reason(""))
	assert.Equal(t, offer(4, "b").Refused, outcome.TeamLimit)
	assert.Equal(t, offer(5, "a").Refused, outcome.QueueFull)
	assert.Equal(t, offer(6, "a").Refused, outcome.QueueFull)
	v := offer(7, "a")
	assert.Equal(t, v.Refused, outcome.TeamRate)
	assert.Assert(t, v.RetryAfter >= time.Second)
}

func TestDeadlineRefusedBeforeWork(t *testing.T) {
	q := queue(Limits{1, 10}, TeamLimits{Name: "a"})
	q.Offer(start, req(1, "a"))
	q.Done(start, 1, time.Second) // requests take a second
	q.Offer(start, req(2, "a"))
	short := req(3, "a")
	short.Deadline = start.Add(1500 * time.Millisecond)
	v, _ := q.Offer(start, short)
	assert.Equal(t, v.Refused, outcome.DeadlineExceeded)
	long := req(4, "a")
	long.Deadline = start.Add(3 * time.Second)
	v, _ = q.Offer(start, long)
	assert.Equal(t, v.Refused, outcome.Reason(""))
	e := q.Tick(start.Add(2500 * time.Millisecond))
	assert.DeepEqual(t, e.Refused[0].ID, uint64(4))
}

func TestUrgentFirstThenFirstAttempts(t *testing.T) {
	q := queue(Limits{1, 10}, TeamLimits{Name: "a"})
	q.Offer(start, req(1, "a"))
	late, retry, urgent := req(2, "a"), req(3, "a"), req(4, "a")
	retry.Retry = true
	urgent.Urgency = 1
	for _, r := range []Request{retry, late, urgent} {
		q.Offer(start, r)
	}
	var order []uint64
	for id := uint64(1); len(order) < 3; id = order[len(order)-1] {
		order = append(order, q.Done(start, id, time.Millisecond).Started...)
	}
	assert.DeepEqual(t, order, []uint64{4, 2, 3})
}

// A steady stream of first attempts must not starve a retry.
func TestRetryIsServedEventually(t *testing.T) {
	q := queue(Limits{1, 4}, TeamLimits{Name: "a"})
	q.Offer(start, req(1, "a"))
	retry := req(2, "a")
	retry.Retry = true
	q.Offer(start, retry)
	running := uint64(1)
	for id := uint64(10); id < 30; id++ {
		q.Offer(start, req(id, "a"))
		if running = q.Done(start, running, time.Millisecond).Started[0]; running == 2 {
			return
		}
	}
	t.Fatal("the retry never ran")
}

func TestTeamMayNotBeMoreUrgentThanAllowed(t *testing.T) {
	q := queue(Limits{1, 10}, TeamLimits{Name: "a", Priority: 3}, TeamLimits{Name: "b", Priority: 3})
	q.Offer(start, req(1, "a"))
	urgent := req(2, "a")
	urgent.Urgency = 0
	q.Offer(start, urgent)
	assert.Equal(t, q.teams["a"].queue[0].Urgency, 3)
}

func TestRetriesMayNotFillTheQueue(t *testing.T) {
	q := queue(Limits{1, 8}, TeamLimits{Name: "a"})
	q.Offer(start, req(1, "a"))
	admitted := 0
	for i := range uint64(20) {
		r := req(10+i, "a")
		r.Retry = true
		if v, _ := q.Offer(start, r); v.Refused == "" {
			admitted++
		}
	}
	assert.Equal(t, admitted, 2)
	v, _ := q.Offer(start, req(50, "a"))
	assert.Equal(t, v.Refused, outcome.Reason(""))
}

func TestSmallTeamGetsIntoAFullQueue(t *testing.T) {
	q := queue(Limits{1, 4}, TeamLimits{Name: "big"}, TeamLimits{Name: "small"})
	for i := range uint64(5) {
		q.Offer(start, req(1+i, "big"))
	}
	v, eff := q.Offer(start, req(9, "small"))
	assert.Equal(t, v.Refused, outcome.Reason(""))
	assert.DeepEqual(t, eff.Refused[0].ID, uint64(5))
	assert.DeepEqual(t, q.Done(start, 1, time.Millisecond).Started, []uint64{9})
}

// TestOracleQueue checks every result of the queue against a model that counts
// running and waiting requests.
func TestOracleQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 6).Draw(t, "queue")}
		teams := []TeamLimits{{Name: "a", Weight: 3}, {Name: "b", Weight: 1, Concurrency: 1}, {Name: "c", Weight: 1}}
		q := queue(l, teams...)
		now, next := start, uint64(0)
		waiting, running, team := map[uint64]bool{}, map[uint64]bool{}, map[uint64]string{}
		apply := func(t *rapid.T, e Effects) {
			for _, id := range e.Started {
				if !waiting[id] {
					t.Fatalf("%d started, but was not waiting", id)
				}
				delete(waiting, id)
				running[id] = true
			}
			for _, r := range e.Refused {
				if !waiting[r.ID] {
					t.Fatalf("%d refused, but was not waiting", r.ID)
				}
				delete(waiting, r.ID)
			}
		}
		anyOf := func(t *rapid.T, m map[uint64]bool) uint64 {
			for id := uint64(1); id <= next; id++ {
				if m[id] && rapid.Bool().Draw(t, "this") {
					return id
				}
			}
			t.Skip("none")
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				r := Request{ID: next, Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
					Urgency: rapid.IntRange(0, 7).Draw(t, "urgency"), Retry: rapid.Bool().Draw(t, "retry"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)}
				v, e := q.Offer(now, r)
				apply(t, e)
				team[next] = r.Team
				switch {
				case v.Start:
					running[next] = true
				case v.Refused == "":
					waiting[next] = true
				case v.Refused == outcome.QueueFull && v.RetryAfter < time.Second:
					t.Fatal("refused for a full queue without Retry-After")
				}
			},
			"done": func(t *rapid.T) {
				id := anyOf(t, running)
				delete(running, id)
				apply(t, q.Done(now, id, time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*time.Millisecond))
			},
			"cancel": func(t *rapid.T) {
				id := anyOf(t, waiting)
				if !q.Cancel(id) {
					t.Fatalf("%d was waiting and could not be cancelled", id)
				}
				delete(waiting, id)
			},
			"time":  func(t *rapid.T) { now = now.Add(300 * time.Millisecond); apply(t, q.Tick(now)) },
			"leave": func(t *rapid.T) { apply(t, q.RefuseAll(outcome.Leaving)) },
			"": func(t *rapid.T) {
				if len(running) != q.Running() || len(waiting) != q.Queued() {
					t.Fatalf("running %d/%d, waiting %d/%d", len(running), q.Running(), len(waiting), q.Queued())
				}
				if len(running) > l.Concurrency || len(waiting) > l.Queue {
					t.Fatalf("limits exceeded: %d running, %d waiting", len(running), len(waiting))
				}
				b := 0
				for id := range running {
					if team[id] == "b" {
						b++
					}
				}
				if b > 1 {
					t.Fatalf("team b runs %d requests", b)
				}
			},
		})
	})
}

// overload offers twice what the slots can serve. It returns the number of
// requests that each team completed in time, and the number that the slots can
// serve. Team t0 offers half of all requests.
func overload(teams int, rounds int) (done map[string]int, peak int) {
	const slots, service = 8, 50 * time.Millisecond
	var limits []TeamLimits
	for i := range teams {
		limits = append(limits, TeamLimits{Name: fmt.Sprintf("t%d", i), Weight: 1})
	}
	q := queue(Limits{slots, 64}, limits...)
	done = map[string]int{}
	ends := map[uint64]time.Time{}
	team, deadline := map[uint64]string{}, map[uint64]time.Time{}
	run := func(now time.Time, ids []uint64) {
		for _, id := range ids {
			ends[id] = now.Add(service)
		}
	}
	perTick := 2 * slots * float64(time.Millisecond) / float64(service) // offered in a millisecond
	now, id, due := start, uint64(0), 0.0
	for range rounds {
		now = now.Add(time.Millisecond)
		for k, at := range ends {
			if !now.Before(at) {
				delete(ends, k)
				if !now.After(deadline[k]) {
					done[team[k]]++
				}
				run(now, q.Done(now, k, service).Started)
			}
		}
		for due += perTick; due >= 1; due-- {
			id++
			name := "t0" // the big team, which offers half of all requests
			if id%2 == 0 {
				name = fmt.Sprintf("t%d", 1+int(id/2)%(teams-1))
			}
			team[id], deadline[id] = name, now.Add(time.Second)
			v, e := q.Offer(now, Request{ID: id, Team: name, Urgency: neutralUrgency, Deadline: deadline[id]})
			if v.Start {
				run(now, []uint64{id})
			}
			run(now, e.Started)
		}
	}
	return done, int(float64(rounds) * slots * float64(time.Millisecond) / float64(service))
}

// TestOverloadIsFair offers twice the capacity. The number of requests completed
// in time (goodput) must be at least 90% of the number that the slots can serve,
// and each small team must receive at least 90% of its fair share.
func TestOverloadIsFair(t *testing.T) {
	const teams = 10
	done, peak := overload(teams, 20000)
	total := 0
	for _, n := range done {
		total += n
	}
	assert.Assert(t, total*10 >= peak*9, "goodput %d of %d", total, peak)
	// A small team offers 1/18 of twice the peak, which is more than its fair share, a tenth
	// of the peak.
	fair := peak / teams
	for i := 1; i < teams; i++ {
		n := done[fmt.Sprintf("t%d", i)]
		assert.Assert(t, n*10 >= fair*9, "team %d: %d of its fair share of %d", i, n, fair)
	}
	t.Logf("goodput %.3f of the peak; small team %.3f of its share; big team %.3f of its share",
		float64(total)/float64(peak), float64(done["t1"])/float64(fair), float64(done["t0"])/float64(fair))
}

func BenchmarkOffer(b *testing.B) {
	q := queue(Limits{8, 64}, TeamLimits{Name: "a"}, TeamLimits{Name: "b"})
	id := uint64(0)
	for b.Loop() {
		id++
		if v, _ := q.Offer(start, req(id, "a")); v.Start {
			q.Done(start, id, time.Millisecond)
		}
	}
}
