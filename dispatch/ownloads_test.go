package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// ownReport is what an entry reports about its own requests.
type ownReport struct {
	Loads      map[string]Load
	Silent     []string
	Responsive map[string]bool
}

func reportOf(b *Balancer, now time.Time) ownReport {
	return ownReport{b.OwnLoads(), b.SilentTargets(now), b.ResponsiveTargets(now)}
}

// expectedReport visits all targets.
func expectedReport(b *Balancer, now time.Time) ownReport {
	r := ownReport{Loads: map[string]Load{}, Responsive: map[string]bool{}}
	for id, t := range b.byID {
		if t.own != (Load{}) {
			r.Loads[id] = t.own
		}
		if len(t.responsiveTo) == 0 && t.health.reportSilent(now, b.silenceLimit(now, t)) {
			r.Silent = append(r.Silent, id)
		}
		if t.own.Requests > 0 && now.Sub(t.health.activeAt) < activityWindow {
			r.Responsive[id] = true
		}
	}
	slices.Sort(r.Silent)
	return r
}

// The report of the own requests visits the used targets only and leaves out nothing, whatever
// becomes of targets and requests.
func TestReportOfOwnRequestsIsComplete(t *testing.T) {
	services := map[string]*fleet.Service{"s": {Name: "s"}}
	rapid.Check(t, func(t *rapid.T) {
		b := NewBalancer(Config{}, rand.New(rand.NewPCG(1, 2)))
		now := start
		listed := func(n int) (list []*fleet.Instance) {
			for i := range n {
				list = append(list, &fleet.Instance{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("a-", i)})
			}
			return list
		}
		b.Apply(listed(4), services)
		var inFlight []*Target
		take := func(t *rapid.T) *Target {
			if len(inFlight) == 0 {
				t.Skip()
			}
			n := rapid.IntRange(0, len(inFlight)-1).Draw(t, "request")
			target := inFlight[n]
			inFlight = slices.Delete(inFlight, n, n+1)
			return target
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				if choice, verdict := b.Pick(now, "s", Demand{}, nil); verdict == Chosen {
					inFlight = append(inFlight, choice.Target)
				}
			},
			"cancel":   func(t *rapid.T) { b.Cancel(take(t), Demand{}) },
			"answered": func(t *rapid.T) { b.Finish(now, take(t), Result{Latency: time.Millisecond}) },
			"abandon":  func(t *rapid.T) { b.Finish(now, take(t), Result{Failed: true, Silent: true}) },
			"activity": func(t *rapid.T) {
				target := take(t)
				b.RecordActivity(now, target, 0)
				inFlight = append(inFlight, target)
			},
			"late activity": func(t *rapid.T) { b.RecordActivity(now, take(t), 0) },
			"list":          func(t *rapid.T) { b.Apply(listed(rapid.IntRange(0, 4).Draw(t, "targets")), services) },
			"responsive": func(t *rapid.T) {
				b.SetResponsive("e", fmt.Sprint("i-", rapid.IntRange(0, 3).Draw(t, "target")), rapid.Bool().Draw(t, "yes"))
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				expected := expectedReport(b, now)
				assert.DeepEqual(t, reportOf(b, now), expected)
			},
		})
	})
}

// The cost of a round without requests.
func BenchmarkOwnReport(b *testing.B) {
	for _, targets := range []int{100, 700, 4400} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			all := make([]*fleet.Instance, targets)
			for i := range all {
				all[i] = &fleet.Instance{ID: fmt.Sprint("i-", i), Service: "s", Addr: fmt.Sprint("a-", i)}
			}
			balancer := NewBalancer(Config{}, rand.New(rand.NewPCG(1, 2)))
			balancer.Apply(all, map[string]*fleet.Service{"s": {Name: "s"}})
			for b.Loop() {
				reportOf(balancer, start)
			}
		})
	}
}
