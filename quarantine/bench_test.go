package quarantine

import (
	"testing"
	"time"
)

// A full table, as after a flood of contents that all end targets. Judged anew after each
// piece of news it took 8.3 ms on a busy machine, with a load of 8 on 5 cores.
func BenchmarkJudgeOfAFullTable(b *testing.B) {
	x := NewTable()
	now := time.Duration(0)
	for i := range maxContents - spare {
		for l := range 3 {
			now += 100 * time.Millisecond
			x.RecordCrashes(at(now), crash(content(9, i), 3*i+l, now))
		}
	}
	n := 0
	for b.Loop() {
		n++
		now += judgeEvery
		x.RecordCrashes(at(now), crash(content(8, n%32), 100000+n, now))
		refused(x, now, content(8, n%32))
	}
}

// A storm: one content ends targets, with eight others at work on each.
func BenchmarkJudgeInAStorm(b *testing.B) {
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
