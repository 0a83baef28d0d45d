package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"gotest.tools/v3/assert"
)

func limit(perS float64) notice.Statement {
	return notice.Statement{Limit: notice.Limit{Declared: true, PerS: perS}}
}

// entryGroup is a group of entries, the first of which is the home entry of the only target.
type entryGroup struct {
	entries []*Balancer
	sent    []time.Time
}

func newEntryGroup(n int) *entryGroup {
	f := &entryGroup{}
	for range n {
		f.entries = append(f.entries, newTestBalancer(nil, Config{}, plain(1)))
	}
	return f
}

// send lets an entry choose the target, request a reservation from its home entry, and record
// the response.
func (f *entryGroup) send(now time.Time, entry int, statement notice.Statement) {
	b, home := f.entries[entry], f.entries[0]
	c, v := b.Pick(now, testService, demand(), nil)
	if v != Chosen {
		return
	}
	if entry > 0 {
		home.MergeReport(now, b.ReportOf(c.Target.ID))
		p := home.Reserve(now, "x", c.Target.ID, 0, Admission{MaxWait: time.Hour})
		home.SetLoads("x", nil)
		b.MergeReport(now, p.Report)
		if !p.Granted {
			b.Cancel(c.Target, demand())
			b.BackOff(now, c.Target.ID, p.Wait)
			return
		}
	}
	f.sent = append(f.sent, now)
	b.RecordStatement(now.Add(5*time.Millisecond), c.Instance, statement, now)
	b.Finish(now, c.Target, Result{Latency: time.Millisecond})
}

// most returns the largest number of requests within a span.
func most(sent []time.Time, span time.Duration) (n int) {
	for i, at := range sent {
		k := i
		for k < len(sent) && sent[k].Sub(at) < span {
			k++
		}
		n = max(n, k-i)
	}
	return n
}

// A target's limit applies to all entries together, not to each of them.
func TestLimitAppliesToAllEntriesTogether(t *testing.T) {
	const known, end, window = 3 * time.Second, 13 * time.Second, 4 * time.Second
	for _, perS := range []float64{0, 0.2, 1, 3, 20, 1000} {
		f, rng := newEntryGroup(8), rand.New(rand.NewPCG(1, 2))
		for ms := 0; ms < int(end.Milliseconds()); ms++ {
			f.send(start.Add(time.Duration(ms)*time.Millisecond), rng.IntN(len(f.entries)), limit(perS))
		}
		from := slices.IndexFunc(f.sent, func(at time.Time) bool { return at.Sub(start) >= known })
		assert.Assert(t, from >= 0, "%v/s: no requests sent", perS)
		sent := f.sent[from:]
		assert.Assert(t, float64(most(sent, window)) <= 1.5*window.Seconds()*perS+5, "%v/s: %d requests in the window", perS, most(sent, window))
		want := min(max(perS, minRate), 1000) * (end - known).Seconds()
		assert.Assert(t, float64(len(sent)) >= 0.7*want-1, "%v/s: %d of %v requests sent", perS, len(sent), want)
	}
}

func TestLimitIsRaisedAndLifted(t *testing.T) {
	f := newEntryGroup(3)
	course := []struct {
		statement notice.Statement
		most      int // within the last of ten seconds
		all       bool
	}{{limit(1), 1, false}, {limit(0), 1, false}, {limit(10), 10, false}, {limit(2), 2, false}, {notice.Statement{}, 0, true}}
	for i, c := range course {
		f.sent = nil
		const steps = 1000
		for k := range steps {
			at := start.Add(time.Duration(i)*10*time.Second + time.Duration(k)*10*time.Millisecond)
			f.send(at, k%len(f.entries), c.statement)
		}
		last := f.sent[len(f.sent)-1].Add(-time.Second)
		n := 0
		for _, at := range f.sent {
			if at.After(last) {
				n++
			}
		}
		assert.Assert(t, c.all && n > 50 || !c.all && n <= c.most, "step %d: %d requests in the last second", i, n)
	}
}

// A limit that changes with each response must not reset the pacer.
func TestVaryingLimitDoesNotResetPacing(t *testing.T) {
	f, rng := newEntryGroup(2), rand.New(rand.NewPCG(1, 2))
	for ms := 0; ms < 20000; ms += 5 {
		f.send(start.Add(time.Duration(ms)*time.Millisecond), rng.IntN(2), limit(2+rng.Float64()))
	}
	assert.Assert(t, len(f.sent) >= 30 && len(f.sent) <= 62, "%d requests in 20 s", len(f.sent))
}

func TestPacedTargetIsSkipped(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1), plain(2))
	b.RecordStatement(start, *plain(1), limit(1), start)
	for range 20 {
		assert.Equal(t, picked(b, start), "p-2")
	}
	c, v := b.Pick(start, testService, demand(), []string{"p-2"})
	assert.Equal(t, v, Paced)
	assert.Equal(t, c.FreeAt, start.Add(time.Second))
	assert.Equal(t, picked(b, start.Add(time.Second), "p-2"), "p-1")
	assert.Equal(t, picked(b, start.Add(time.Second), "p-2"), "paced")
}

// A canceled choice frees its quota for the next request.
func TestCancelRestoresQuota(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1))
	b.RecordStatement(start, *plain(1), limit(1), start)
	now := start.Add(time.Second)
	c, _ := b.Pick(now, testService, demand(), nil)
	b.Cancel(c.Target, demand())
	assert.Equal(t, picked(b, now), "p-1")
}

func TestLimitSurvivesMissingListEntry(t *testing.T) {
	b := newTestBalancer(nil, Config{}, plain(1))
	services := map[string]*fleet.Service{testService: {Name: testService}}
	b.RecordStatement(start, *plain(1), limit(1), start)
	b.Apply(nil, services)
	b.UpdateNotices(start.Add(5 * time.Second))
	b.Apply([]*fleet.Instance{plain(1)}, services)
	assert.Equal(t, b.ReportOf("p-1").Limit.PerS, 1.0)
	assert.Equal(t, picked(b, start.Add(10*time.Second)), "p-1")
	assert.Equal(t, picked(b, start.Add(10*time.Second)), "paced")
}

// A limit does not apply to the next incarnation of a target with the same ID.
func TestLimitEndsWithTheIncarnation(t *testing.T) {
	first, second := plain(1), plain(1)
	first.StartMs, second.StartMs = 1000, 2000
	b := newTestBalancer(nil, Config{}, first)
	b.RecordStatement(start, *first, limit(1), start)
	b.Apply([]*fleet.Instance{second}, map[string]*fleet.Service{testService: {Name: testService}})
	for range 5 {
		assert.Equal(t, picked(b, start), "p-1")
	}
}

// Entries that start at the same time know few other entries, so each assumes that it is the
// home entry of the first engine that serves. Each would then grant the full cold rate.
func TestSimultaneousEntryStartsDoNotOverloadColdTarget(t *testing.T) {
	const entries, perS, coldFor = 15, 26, 5 * time.Second
	var balancers []*Balancer
	for range entries {
		e := engine(1, 1)
		e.ColdFor, e.ColdUntil = coldFor, start.Add(coldFor)
		b := newTestBalancer(engineModel(), Config{AdmitFraction: 100, AdmitGapFraction: 100})
		b.Apply([]*fleet.Instance{e}, map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel(), ColdRate: perS}})
		balancers = append(balancers, b)
	}
	var sent []time.Time
	for ms := 0; ms < 1000; ms += 5 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for _, b := range balancers {
			if _, v := b.Pick(now, testService, demand(), nil); v == Chosen {
				sent = append(sent, now)
			}
		}
	}
	assert.Assert(t, len(sent) <= perS*3/2+5, "%d requests sent", len(sent))
	assert.Assert(t, len(sent) >= entries/2, "%d requests sent", len(sent))
	assert.Equal(t, picked(balancers[0], start.Add(time.Second)), "i-1", "after one second the target is used normally")
}
