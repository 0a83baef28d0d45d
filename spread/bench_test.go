package spread

import (
	"fmt"
	"testing"
	"time"

	"github.com/springgate/springgate/intent"
)

const (
	benchChunks  = 1024
	benchDomains = 7
	benchLimit   = time.Hour
)

// BenchmarkSpread transfers one version to all hosts over simulated links. In one window (see
// the constant) the origin's link can transfer four copies of the version and each host's link
// two.
func BenchmarkSpread(b *testing.B) {
	for _, goal := range []intent.Spread{intent.SpreadTime, intent.SpreadOriginBytes} {
		for _, hosts := range []int{12, 100, 470} {
			for _, faults := range []bool{false, true} {
				name := fmt.Sprintf("hosts=%d/goal=%s", hosts, goal)
				if faults {
					name += "/faults"
				}
				b.Run(name, func(b *testing.B) {
					for i := range b.N {
						runTransfer(b, hosts, goal, faults, uint64(i+1))
					}
				})
			}
		}
	}
}

func runTransfer(b *testing.B, hosts int, goal intent.Spread, faults bool, seed uint64) {
	l := newLinks(hosts, min(benchDomains, hosts/3), benchChunks, goal, seed)
	if faults {
		l.corruptEvery = 1000
		for _, i := range l.rng.Perm(hosts)[:max(1, hosts/20)] {
			at := time.Duration(l.rng.Int64N(int64(window / 4)))
			l.after(at, func() { l.kill(l.hosts[i]) })
		}
	}
	took, ok := l.run(benchLimit)
	if !ok {
		b.Fatalf("transfer not complete after %s", took)
	}
	b.ReportMetric(took.Seconds()/l.lowerBound(hosts, benchChunks).Seconds(), "x-bound")
	b.ReportMetric(float64(l.originChunks)/benchChunks, "origin-copies")
	b.ReportMetric(float64(l.crossDomainChunks)/benchChunks, "cross-domain-copies")
	b.ReportMetric(float64(l.controlBytes)/float64(hosts)/took.Seconds(), "control-B/s/host")
}

// BenchmarkSpreadBaseline measures two baselines on the same links: all hosts read from the
// origin, and a binary tree.
func BenchmarkSpreadBaseline(b *testing.B) {
	for _, hosts := range []int{12, 100, 470} {
		b.Run(fmt.Sprintf("origin/hosts=%d", hosts), func(b *testing.B) {
			l := newLinks(1, 1, benchChunks, intent.SpreadTime, 1)
			for range b.N {
				took := time.Duration(hosts*benchChunks) * l.originTime
				b.ReportMetric(took.Seconds()/l.lowerBound(hosts, benchChunks).Seconds(), "x-bound")
				b.ReportMetric(float64(hosts), "origin-copies")
			}
		})
		b.Run(fmt.Sprintf("tree/hosts=%d", hosts), func(b *testing.B) {
			for range b.N {
				l := newLinks(1, 1, benchChunks, intent.SpreadTime, 1)
				took := treeTime(l, hosts)
				b.ReportMetric(took.Seconds()/l.lowerBound(hosts, benchChunks).Seconds(), "x-bound")
				b.ReportMetric(1, "origin-copies")
			}
		})
	}
}

// treeTime returns the transfer time of a binary tree in which each host forwards each chunk
// to two children as soon as it has received it.
func treeTime(l *links, hosts int) time.Duration {
	up := make([]time.Duration, hosts)
	arrival := make([]time.Duration, hosts)
	var last time.Duration
	for c := range benchChunks {
		arrival[0] = max(time.Duration(c+1)*l.chunkTime, time.Duration(c+1)*l.originTime)
		for i := 1; i < hosts; i++ {
			parent := (i - 1) / 2
			start := max(up[parent], arrival[parent])
			up[parent] = start + l.chunkTime
			arrival[i] = up[parent] + linkLatency
			last = max(last, arrival[i])
		}
	}
	return last
}

// BenchmarkAssign computes the readers of a version with benchChunks chunks for 470 hosts,
// as each host does when the host list changes.
func BenchmarkAssign(b *testing.B) {
	all := nodes(470, benchDomains)
	for b.Loop() {
		Assign("v", benchChunks, all)
	}
}
