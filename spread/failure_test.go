package spread

import (
	"testing"
	"time"

	"github.com/springgate/springgate/intent"
	"gotest.tools/v3/assert"
)

const (
	failHosts  = 15
	failChunks = 128
	// maxTimeCopies is the number of copies of the version that the origin's link transfers in
	// one window.
	maxTimeCopies = 4
)

// TestSpreadThroughFailures causes one or two failures on the simulated links. Every live
// host must complete the version, and the chunks read from the origin must not exceed the
// given number of copies of the version.
func TestSpreadThroughFailures(t *testing.T) {
	at := func(l *links, d time.Duration, f func()) { l.after(d, f) }
	cases := map[string]struct {
		prepare func(l *links)
		copies  float64
	}{
		"the only host with a chunk fails": {func(l *links) {
			// Each of the two hosts fails just after its first chunk arrived from the origin.
			at(l, 3*time.Second, func() { l.kill(l.hosts[4]) })
			at(l, 6*time.Second, func() { l.kill(l.hosts[9]) })
		}, 1.3},
		"a link stalls without closing": {func(l *links) {
			at(l, 10*time.Second, func() { l.hosts[2].stalled = true })
		}, 1.5},
		"a peer reports chunks that it does not hold": {func(l *links) {
			l.hosts[3].misreports = true
			for _, h := range l.hosts {
				if h != l.hosts[3] {
					h.planner.PeerHolds("h003", []uint64{^uint64(0), ^uint64(0)})
				}
			}
		}, 1.3},
		"the origin is unreachable for a minute": {func(l *links) {
			l.originDown = func() bool { return l.now > 5*time.Second && l.now < 65*time.Second }
		}, 1.3},
		"the origin is slow": {func(l *links) {
			l.originTime *= 8 // all fetches queue for a long time, without a fault
		}, 1.1},
		"a failure domain is partitioned and reconnects": {func(l *links) {
			l.partitioned = func(a, b *linkHost) bool {
				return l.now > 10*time.Second && l.now < 70*time.Second && (a.node.Domain == "d1") != (b.node.Domain == "d1")
			}
		}, 2.2}, // during the partition both sides read from the origin independently
		"a host is paused for a minute": {func(l *links) {
			at(l, 20*time.Second, func() { l.hosts[5].pausedUntil = l.now + time.Minute })
		}, 1.3},
		"a pause and a host failure": {func(l *links) {
			at(l, 20*time.Second, func() { l.hosts[5].pausedUntil = l.now + time.Minute })
			at(l, 30*time.Second, func() { l.kill(l.hosts[8]) })
		}, 1.4},
		"a stall and corrupt chunks": {func(l *links) {
			l.corruptEvery = 50
			at(l, 10*time.Second, func() { l.hosts[2].stalled = true })
		}, 1.6},
		"a host fails while the origin is unreachable": {func(l *links) {
			l.originDown = func() bool { return l.now > 5*time.Second && l.now < 35*time.Second }
			at(l, 15*time.Second, func() { l.kill(l.hosts[6]) })
		}, 1.4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			for goal, maxCopies := range map[intent.Spread]float64{intent.SpreadOriginBytes: c.copies, intent.SpreadTime: maxTimeCopies} {
				l := newLinksWith(Config{Goal: goal}, failHosts, 3, failChunks, 1)
				c.prepare(l)
				took, ok := l.run(20 * time.Minute)
				assert.Assert(t, ok, "transfer not complete after %s", took)
				copies := float64(l.originChunks) / failChunks
				t.Logf("%s: %.2f times the lower bound, %.2f copies read from the origin", goal, took.Seconds()/l.lowerBound(failHosts, failChunks).Seconds(), copies)
				assert.Assert(t, copies <= maxCopies, "%.2f copies read from the origin", copies)
			}
		})
	}
}
