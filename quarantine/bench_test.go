package quarantine

import (
	"testing"
	"time"
)

// A full table, as after a flood of contents that all crash targets. Evaluation after each
// new crash took 8.3 ms on a busy machine, with a load of 8 on 5 cores.
func BenchmarkJudgeFullTable(b *testing.B) {
	x := NewTable()
	now := time.Duration(0)
	for i := range maxContents - evictionBatch {
		for l := range 3 {
			now += 100 * time.Millisecond
			x.RecordCrashes(at(now), crash(content(9, i), 3*i+l, now))
		}
	}
	n := 0
	for b.Loop() {
		n++
		now += evaluationInterval
		x.RecordCrashes(at(now), crash(content(8, n%32), 100000+n, now))
		refused(x, now, content(8, n%32))
	}
}

// A crash storm: one content crashes targets while eight others are in flight on each.
func BenchmarkJudgeCrashStorm(b *testing.B) {
	x := NewTable()
	now := time.Duration(0)
	n := 0
	for b.Loop() {
		n++
		now += 100 * time.Millisecond
		x.RecordCrashes(at(now), crash(bad, n, now))
		for i := range 8 {
			x.RecordCrashes(at(now), crash(content(3, 8*n+i), n, now))
		}
		refused(x, now, bad)
	}
}

// A crash storm of a part behind 200 others, while eight requests with as many parts are in flight on
// each target.
func BenchmarkJudgeManyParts(b *testing.B) {
	x := NewTable()
	now := time.Duration(0)
	n := 0
	for b.Loop() {
		n++
		now += 100 * time.Millisecond
		crashes := []Crash{crash(badPart, n, now)}
		for i := range 8 * 200 {
			crashes = append(crashes, crash(part(1000+1600*n+i), n, now))
		}
		x.RecordCrashes(at(now), crashes...)
		refused(x, now, badPart)
	}
}
