package dispatch

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// flight is one request of the oracle that has not ended.
type flight struct {
	target *Target
	unread int
}

// TestLoadOracle runs random courses of picks, events, ends, accounts of other
// entries and changes of the list, and holds the book's loads against plain
// sums.
func TestLoadOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := book(engineModel(), Config{AdmitFraction: 100, AdmitGapFraction: 100}, engine(0, 1), engine(1, 1), engine(2, 1))
		var flights []flight
		others := map[string]map[string]Load{}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				c, v := b.Pick(start, testService, demand(), nil)
				if v == Chosen {
					flights = append(flights, flight{c.Target, demand().Prompt})
				}
			},
			"event": func(t *rapid.T) {
				if len(flights) == 0 {
					t.Skip()
				}
				f := &flights[rapid.IntRange(0, len(flights)-1).Draw(t, "flight")]
				b.RecordActivity(start, f.target, f.unread)
				f.unread = 0
			},
			"end": func(t *rapid.T) {
				if len(flights) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(flights)-1).Draw(t, "flight")
				b.Finish(start, flights[i].target, Result{PendingPrefill: flights[i].unread})
				flights = append(flights[:i], flights[i+1:]...)
			},
			"account": func(t *rapid.T) {
				from := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "from")
				account := map[string]Load{}
				for _, id := range []string{"i-0", "i-1", "i-2"} {
					if rapid.Bool().Draw(t, id) {
						account[id] = Load{rapid.IntRange(1, 9).Draw(t, "requests"), rapid.IntRange(0, 900).Draw(t, "unread")}
					}
				}
				others[from] = account
				b.SetLoads(from, account)
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
					for _, f := range flights {
						if f.target == target {
							want = want.add(Load{1, f.unread})
						}
					}
					assert.Equal(t, target.own, want)
					for _, account := range others {
						want = want.add(account[target.ID])
					}
					assert.Equal(t, target.load, want)
				}
			},
		})
	})
}

// A list that repeats an instance keeps its load; a new incarnation starts
// without.
func TestApplyKeepsLoadsOfTheSameIncarnation(t *testing.T) {
	b := book(engineModel(), Config{}, engine(1, 1))
	b.SetLoads("x", map[string]Load{"i-1": {Requests: 4}})
	services := map[string]*fleet.Service{testService: {Name: testService, Engine: engineModel()}}
	b.Apply([]*fleet.Instance{engine(1, 2), engine(2, 1)}, services)
	assert.Equal(t, b.byID["i-1"].load.Requests, 4)
	assert.Equal(t, b.byID["i-2"].load, Load{})
	assert.Assert(t, b.HasAddr("10.0.0.2:80") && !b.HasAddr("10.0.0.9:80"))
}
