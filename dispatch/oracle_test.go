package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// inFlight is a request of the oracle that has not ended.
type inFlight struct {
	target         *Target
	pendingPrefill int
}

// TestLoadOracle runs random sequences of picks, events, completions, load reports of other
// entries and list changes, and compares the balancer's loads with plain sums.
func TestLoadOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestBalancer(engineModel(), Config{AdmitFraction: 100, AdmitGapFraction: 100}, engine(0, 1), engine(1, 1), engine(2, 1))
		var active []inFlight
		others := map[string]map[string]Load{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				c, v := b.Pick(start, testService, demand(), nil)
				if v == Chosen {
					active = append(active, inFlight{c.Target, demand().Prompt})
				}
			},
			"event": func(t *rapid.T) {
				if len(active) == 0 {
					t.Skip()
				}
				f := &active[rapid.IntRange(0, len(active)-1).Draw(t, "flight")]
				b.RecordActivity(start, f.target, f.pendingPrefill)
				f.pendingPrefill = 0
			},
			"end": func(t *rapid.T) {
				if len(active) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(active)-1).Draw(t, "flight")
				b.Finish(start, active[i].target, Result{PendingPrefill: active[i].pendingPrefill})
				active = append(active[:i], active[i+1:]...)
			},
			"account": func(t *rapid.T) {
				from := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "from")
				report := map[string]Load{}
				for _, id := range []string{"i-0", "i-1", "i-2"} {
					if rapid.Bool().Draw(t, id) {
						report[id] = Load{rapid.IntRange(1, 9).Draw(t, "requests"), rapid.IntRange(0, 900).Draw(t, "unread")}
					}
				}
				others[from] = report
				b.SetLoads(from, report)
			},
			"change": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"i-0", "i-1", "i-2"}).Draw(t, "id")
				l := Load{rapid.IntRange(0, 2).Draw(t, "requests"), 0}
				b.UpdateLoads("y", map[string]Load{id: l, "unknown": l})
				if others["y"] == nil {
					others["y"] = map[string]Load{}
				}
				others["y"][id] = l
			},
			"grant": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"i-0", "i-1", "i-2"}).Draw(t, "id")
				if b.Reserve(start, "x", id, demand().Prompt, Admission{MaxWait: time.Hour}).Granted {
					if others["x"] == nil {
						others["x"] = map[string]Load{}
					}
					others["x"][id] = others["x"][id].add(Load{1, demand().Prompt})
				}
			},
			"": func(t *rapid.T) {
				for _, target := range b.byID {
					want := Load{}
					for _, f := range active {
						if f.target == target {
							want = want.add(Load{1, f.pendingPrefill})
						}
					}
					assert.Equal(t, target.own, want)
					for _, report := range others {
						want = want.add(report[target.ID])
					}
					assert.Equal(t, target.load, want)
				}
			},
		})
	})
}

// An instance that stays listed keeps its load; a new instance starts with none.
func TestApplyKeepsLoadsOfTheSameIncarnation(t *testing.T) {
	b := newTestBalancer(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("x", map[string]Load{"i-1": {Requests: 4}})
	services := map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}}
	b.Apply([]*fleet.Instance{engine(1, 2), engine(2, 1)}, services)
	assert.Equal(t, b.byID["i-1"].load.Requests, 4)
	assert.Equal(t, b.byID["i-2"].load, Load{})
	assert.Assert(t, b.HasAddr("10.0.0.2:80") && !b.HasAddr("10.0.0.9:80"))
}
