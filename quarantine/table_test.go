package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// content returns the fingerprint of content n of a caller.
func content(caller, n int) (f Fingerprint) {
	f[0], f[1] = byte(caller), byte(caller>>8)
	f[callerBytes], f[callerBytes+1], f[callerBytes+2] = byte(n), byte(n>>8), byte(caller)
	return f
}

func incarnation(n int) Incarnation { return Incarnation{fmt.Sprintf("i-%d", n), int64(n)} }

func crash(f Fingerprint, n int, when time.Duration) Crash {
	return Crash{Subject: f, Incarnation: incarnation(n), At: at(when), Reporter: "entry-0"}
}

// notHome is the home argument of Judge at an entry that probes no content.
func notHome(Fingerprint) bool { return false }

// refused reports whether an entry that does not probe keeps a request with these subjects from targets, for
// good or until a probe has decided.
func refused(t *Table, now time.Duration, subjects ...Fingerprint) bool {
	v, _ := t.Judge(at(now), subjects, notHome)
	return v == Refuse || v == Hold
}

var (
	bad  = content(1, 1) // crashes the targets that run it
	poll = content(2, 1) // is sent at regular intervals and crashes no target
)

func TestThirdCrashQuarantines(t *testing.T) {
	x := NewTable()
	x.RecordCrashes(at(0), crash(bad, 1, 0), crash(bad, 2, 100*time.Millisecond))
	x.RecordCrashes(at(0), crash(bad, 2, 200*time.Millisecond)) // the same incarnation
	assert.Assert(t, !refused(x, time.Second, bad))
	x.RecordCrashes(at(0), crash(bad, 3, 300*time.Millisecond))
	v, f := x.Judge(at(time.Second), []Fingerprint{bad}, notHome)
	assert.Equal(t, v, Refuse)
	assert.Assert(t, f.Evidence >= certainty)
	f.Evidence = 0
	assert.DeepEqual(t, f, Finding{Subject: bad, Crashes: 3, First: at(0), Last: at(300 * time.Millisecond), Reporters: []string{"entry-0"},
		ProbeAt: at(300*time.Millisecond + initialProbeDelay), Certain: true})
	assert.Assert(t, !refused(x, time.Second, poll))
}

// Requests that ran concurrently with the cause are not quarantined, not even one that was
// in flight at every crash.
func TestBystanders(t *testing.T) {
	x := NewTable()
	bystanders := make([]Fingerprint, 4)
	for i := range bystanders {
		bystanders[i] = content(3, i)
		for l := range i { // the last bystander was in flight at all three crashes
			x.RecordCrashes(at(0), crash(bystanders[i], l, time.Duration(l)*time.Second))
		}
	}
	for l := range 3 {
		x.RecordCrashes(at(0), crash(bad, l, time.Duration(l)*time.Second))
	}
	assert.Assert(t, !refused(x, 3*time.Second, bystanders[3]))
	assert.Assert(t, !refused(x, 3*time.Second, bad), "cannot be distinguished from the bystander yet")
	x.RecordCrashes(at(0), crash(bad, 3, 3*time.Second))
	assert.Assert(t, refused(x, 4*time.Second, bad))
	x.RecordCrashes(at(0), crash(bystanders[3], 4, 4*time.Second)) // a crash that bad did not cause
	for _, f := range bystanders {
		assert.Assert(t, !refused(x, 5*time.Second, f))
	}
}

// A poll that has not succeeded yet was in flight on five of the six targets that crashed:
// all of these crashes are explained by another content.
func TestBystanderAtManyCrashes(t *testing.T) {
	x := NewTable()
	for l := range 6 {
		when := time.Duration(l) * time.Second
		x.RecordCrashes(at(when), crash(bad, l, when))
		if l > 0 {
			x.RecordCrashes(at(when), crash(poll, l, when))
		}
	}
	assert.Assert(t, refused(x, 7*time.Second, bad))
	assert.Assert(t, !refused(x, 7*time.Second, poll))
}

// Three causes are active at once, and a bystander was in flight at one crash of each.
func TestBystanderOfSeveralCauses(t *testing.T) {
	x := NewTable()
	causes := []Fingerprint{content(1, 1), content(7, 2), content(8, 3)}
	for i, c := range causes {
		when := time.Duration(i) * time.Second
		x.RecordCrashes(at(when), crash(c, 10*i, when), crash(c, 10*i+1, when+time.Second), crash(poll, 10*i, when))
	}
	for _, f := range append(causes, poll) {
		assert.Assert(t, !refused(x, 5*time.Second, f))
	}
	for i, c := range causes {
		x.RecordCrashes(at(5*time.Second), crash(c, 10*i+2, 5*time.Second), crash(c, 10*i+3, 6*time.Second))
		assert.Assert(t, refused(x, 7*time.Second, c))
		assert.Assert(t, !refused(x, 7*time.Second, poll))
	}
}

// Two contents that each have one crash without the other cannot be distinguished yet.
func TestNearlyIdenticalCrashes(t *testing.T) {
	x := NewTable()
	other := content(3, 0)
	x.RecordCrashes(at(0), crash(bad, 1, 0), crash(bad, 2, 0), crash(bad, 3, 0), crash(other, 1, 0), crash(other, 2, 0), crash(other, 4, 0))
	assert.Assert(t, !refused(x, time.Second, bad))
	assert.Assert(t, !refused(x, time.Second, other))
	x.RecordCrashes(at(0), crash(bad, 5, time.Second))
	assert.Assert(t, refused(x, 2*time.Second, bad))
	assert.Assert(t, !refused(x, 2*time.Second, other))
}

// Of two contents that are in flight at the same crashes, bad is quarantined after
// ambiguousThreshold crashes.
func TestAmbiguousPairIsQuarantined(t *testing.T) {
	x := NewTable()
	pair := content(3, 0)
	for l := range ambiguousThreshold {
		assert.Assert(t, !refused(x, 9*time.Second, bad), "after %d crashes", l)
		x.RecordCrashes(at(0), crash(bad, l, time.Duration(l)*time.Second), crash(pair, l, time.Duration(l)*time.Second))
	}
	assert.Assert(t, refused(x, 9*time.Second, bad))
}

// A rack loses power: twelve targets crash, and a poll was in flight on four of them.
func TestCorrelatedCrashes(t *testing.T) {
	for name, succeeded := range map[string]bool{"succeeded before": true, "new": false} {
		x := NewTable()
		if succeeded {
			x.RecordSuccess(at(-time.Minute), poll)
		}
		for l := range 12 {
			x.RecordCrashes(at(0), crash(content(3, l), l, time.Duration(l)*time.Millisecond))
			if l < 4 {
				x.RecordCrashes(at(0), crash(poll, l, time.Duration(l)*time.Millisecond))
			}
		}
		assert.Assert(t, !refused(x, time.Second, poll), name)
	}
}

// Targets keep crashing for other reasons while a quarter of the runs of a poll are in
// flight there. Its successes at another entry keep it from being quarantined.
func TestPollsAreNotQuarantined(t *testing.T) {
	for seed := range uint64(20) {
		a, b := NewTable(), NewTable()
		b.RecordSuccess(at(0), poll)
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range 400 {
			now := time.Duration(i+1) * 250 * time.Millisecond
			if rng.IntN(4) == 0 {
				a.RecordCrashes(at(now), crash(poll, i, now))
			} else {
				b.RecordSuccess(at(now), poll)
			}
			exchange(a, b, at(now))
			assert.Assert(t, !refused(a, now, poll) && !refused(b, now, poll), "seed %d at %v", seed, now)
		}
	}
}

// A content that succeeded at first and then crashes every target is quarantined too.
func TestContentThatStartsToCrash(t *testing.T) {
	x := NewTable()
	x.RecordSuccess(at(0), bad)
	for l := range manyMoments {
		assert.Assert(t, !refused(x, time.Minute, bad), "after %d crashes", l)
		when := time.Duration(1+l) * 200 * time.Millisecond
		x.RecordCrashes(at(when), crash(bad, l, when))
	}
	assert.Assert(t, refused(x, time.Minute, bad))
}

func TestSuccessClearsEvidence(t *testing.T) {
	x, y := NewTable(), NewTable()
	for l := range 3 {
		x.RecordCrashes(at(0), crash(bad, l, time.Duration(l)*time.Second))
	}
	exchange(x, y, at(3*time.Second))
	assert.Assert(t, refused(y, 3*time.Second, bad))
	x.RecordSuccess(at(4*time.Second), bad)
	u, _ := x.LocalChanges(0)
	y.Merge(at(4*time.Second), u)
	assert.Assert(t, !refused(x, 5*time.Second, bad) && !refused(y, 5*time.Second, bad))
	y.Merge(at(5*time.Second), Update{Crashes: []Crash{crash(bad, 9, 3*time.Second)}}) // received late
	assert.Assert(t, !refused(y, 5*time.Second, bad))
}

// A target had not crashed: it was unreachable for a while and then answered again.
func TestRetractCrash(t *testing.T) {
	x, y := NewTable(), NewTable()
	for l := range 3 {
		x.RecordCrashes(at(0), crash(bad, l, time.Duration(l)*time.Second))
	}
	exchange(x, y, at(3*time.Second))
	x.RetractCrash(incarnation(1))
	assert.Assert(t, !refused(x, 4*time.Second, bad))
	assert.Assert(t, x.Digest() != y.Digest())
	u, _ := x.LocalChanges(0)
	y.Merge(at(4*time.Second), u)
	assert.Assert(t, !refused(y, 4*time.Second, bad))
	assert.Equal(t, x.Digest(), y.Digest())
}

// One entry probes a quarantined content once after half a minute, and then at growing
// intervals.
func TestProbe(t *testing.T) {
	x := NewTable()
	for l := range 3 { // one after the other, which rules out chance
		x.RecordCrashes(at(0), crash(bad, l, time.Duration(l-2)*time.Second))
	}
	probed := func(now time.Duration, home bool) bool {
		v, _ := x.Judge(at(now), []Fingerprint{bad}, func(Fingerprint) bool { return home })
		return v == Probe
	}
	assert.Assert(t, !probed(initialProbeDelay-1, true))
	assert.Assert(t, !probed(initialProbeDelay, false))
	assert.Assert(t, probed(initialProbeDelay, true))
	assert.Assert(t, !probed(initialProbeDelay+time.Second, true), "the outcome of the probe is not known yet")
	again := initialProbeDelay + time.Second
	x.RecordCrashes(at(again), crash(bad, 3, again))
	assert.Assert(t, !probed(again+initialProbeDelay*probeBackoffFactor-1, true))
	assert.Assert(t, probed(again+initialProbeDelay*probeBackoffFactor, true))
	assert.Equal(t, probeDelay(100), maxProbeDelay)
}

// Guards against one probe for each start of the entry that probes: the process before it may have
// sent one whose outcome is not known yet.
func TestStartedEntryDoesNotProbeAtOnce(t *testing.T) {
	before, started := NewTable(), NewTable()
	for l := range 3 {
		before.RecordCrashes(at(0), crash(bad, l, time.Duration(l-2)*time.Second))
	}
	now := initialProbeDelay + time.Second
	exchange(before, started, at(now))
	probes := func(after time.Duration) bool {
		v, _ := started.Judge(at(now+after), []Fingerprint{bad}, func(Fingerprint) bool { return true })
		return v == Probe
	}
	assert.Assert(t, !probes(0))
	assert.Assert(t, !probes(initialProbeDelay-1))
	assert.Assert(t, probes(initialProbeDelay))
}

// A thousand contents of one caller that all crash targets do not evict the records of
// other callers.
func TestFloodOfOneCaller(t *testing.T) {
	x := NewTable()
	for l := range 3 {
		x.RecordCrashes(at(0), crash(bad, l, time.Duration(l)*time.Second))
	}
	now := 4 * time.Second
	for i := range 1000 {
		for l := range 3 {
			now += 100 * time.Millisecond
			x.RecordCrashes(at(now), crash(content(9, i), 10+3*i+l, now))
		}
	}
	assert.Assert(t, refused(x, now, bad))
	u, _ := x.Changes(0, 1)
	assert.Assert(t, len(u.Crashes) <= maxContents*3, "%d crashes kept", len(u.Crashes))
	assert.Equal(t, x.Digest(), uint64(0), "nearly full tables are not compared")
	assert.Assert(t, refused(x, now, content(9, 999)), "newest content of the flood")
}

// Evidence on a suspect expires after suspectRetention, and on a quarantined content after
// maxProbeDelay.
func TestEvidenceExpires(t *testing.T) {
	x := NewTable()
	x.RecordCrashes(at(0), crash(poll, 1, 0), crash(bad, 2, 0), crash(bad, 3, time.Second), crash(bad, 4, 2*time.Second))
	x.RecordCrashes(at(suspectRetention), crash(content(5, 5), 9, suspectRetention))
	assert.Assert(t, refused(x, suspectRetention, bad))
	u, _ := x.Changes(0, 1)
	assert.Equal(t, len(u.Crashes), 4)
	x.RecordCrashes(at(5*time.Hour), crash(content(5, 5), 10, 5*time.Hour))
	assert.Assert(t, !refused(x, 5*time.Hour, bad))
	x.RecordCrashes(at(5*time.Hour), crash(bad, 2, 0)) // from a process where this crash has not expired yet
	assert.Assert(t, !refused(x, 5*time.Hour, bad))
}

// Tables that merged the same updates hold the same evidence, whatever the order and the
// number of repetitions.
func TestTablesConverge(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		var all []Update
		for i := range 30 {
			when := time.Duration(i) * 300 * time.Millisecond
			u := Update{Crashes: []Crash{crash(content(rng.IntN(2), rng.IntN(4)), rng.IntN(12), when)}}
			u.Crashes[0].Retracted = rng.IntN(8) == 0
			if rng.IntN(6) == 0 {
				u = Update{Survivals: []Survival{{content(rng.IntN(2), rng.IntN(4)), at(when)}}}
			}
			all = append(all, u)
		}
		a, b := NewTable(), NewTable()
		for _, i := range rng.Perm(len(all)) {
			a.Merge(at(10*time.Second), all[i])
		}
		for _, i := range append(rng.Perm(len(all)), rng.Perm(len(all))...) {
			b.Merge(at(10*time.Second), all[i])
		}
		exchange(a, b, at(10*time.Second))
		exchange(a, b, at(10*time.Second))
		assert.Equal(t, a.Digest(), b.Digest(), "seed %d", seed)
	}
}

// exchange merges all evidence of each of two tables into the other.
func exchange(a, b *Table, now time.Time) {
	u, _ := a.Changes(0, 1)
	b.Merge(now, u)
	u, _ = b.Changes(0, 1)
	a.Merge(now, u)
}
