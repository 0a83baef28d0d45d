package soak

import (
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that send more requests to targets that refuse them and request
// back-off than to other targets.
func TestSoakTargetsRequestBackoff(t *testing.T) {
	const seed = 9401
	runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("targets ask for rest"), Duration: time.Second, Entries: 5, Engines: 6,
		PlainTargets: 6, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
}

func TestJudgeBackoff(t *testing.T) {
	attempts := []Attempt{{ID: "refused", Incarnation: "e#1", EntryFaultFree: true}, {ID: "other", Incarnation: "e#2", EntryFaultFree: true}}
	arrivals := []Arrival{{"refused", 0}, {"other", 1000 * ms}}
	for id, at := range map[string]time.Duration{"soon": 400 * ms, "first": 600 * ms, "second": 700 * ms, "third": 2900 * ms, "after": 3100 * ms} {
		attempts = append(attempts, Attempt{ID: id, Incarnation: "e#1", EntryFaultFree: true})
		arrivals = append(arrivals, Arrival{id, at})
	}
	attempts = append(attempts, Attempt{ID: "paused", Incarnation: "e#1"})
	arrivals = append(arrivals, Arrival{"paused", 800 * ms})
	facts := Facts{Arrivals: map[string][]Arrival{"a": arrivals}, Backoffs: map[string][]Backoff{"a": {{"refused", 0, 3 * second}}}}
	assert.Equal(t, len(invariantsByID(t, attempts, facts)), 1)
}
