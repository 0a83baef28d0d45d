package soak

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that ignore the limits announced by overloaded targets and send
// them as many requests as other targets.
func TestSoakTargetsAnnounceLimits(t *testing.T) {
	const seed = 9201
	runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("targets name limits"), Duration: time.Second, Entries: 5, Engines: 6,
		PlainTargets: 6, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
}

func TestJudgeRateLimit(t *testing.T) {
	facts := Facts{Limits: []LimitSpan{{Incarnation: "a", From: 0, To: 20 * second, PerS: 1}}, Arrivals: map[string][]Arrival{}}
	var attempts []Attempt
	arrive := func(at time.Duration, entryFaultFree bool) string {
		id := fmt.Sprint(len(attempts))
		attempts = append(attempts, Attempt{ID: id, Status: 200, EntryFaultFree: entryFaultFree})
		facts.Arrivals["a"] = append(facts.Arrivals["a"], Arrival{id, at})
		return id
	}
	for i := range 30 {
		arrive(time.Duration(i)*100*ms, true) // not counted: the entries need not apply the limit yet
	}
	for range 11 {
		arrive(5*second, true)
	}
	arrive(6*second, false)
	over := arrive(8900*ms, true)
	arrive(9*second, true)
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{over: InvariantRateLimit})
}
