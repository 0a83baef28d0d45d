package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
)

// second and ms are units for times since the start of a run.
const (
	second = time.Second
	ms     = time.Millisecond
)

// invariantsByID maps the ID of each attempt that violated an invariant to that invariant.
func invariantsByID(t *testing.T, attempts []Attempt, facts Facts) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, v := range Judge(attempts, facts) {
		_, twice := out[v.Attempt.ID]
		assert.Assert(t, !twice, v.Attempt.ID)
		out[v.Attempt.ID] = v.Invariant
	}
	return out
}

// Judge reports each violated invariant and nothing else.
func TestJudge(t *testing.T) {
	badTokens := map[string]int{"not whole": 1, "not whole, caller left": 2}
	runs := map[string][]string{"twice": {"a", "b"}, "refused": {"a"}, "cut": {"a"}, "repeated": {"a", "b"}, "fine": {"a"}}
	attempts := []Attempt{
		{ID: "twice", Status: 200},
		{ID: "refused", Status: http.StatusServiceUnavailable, Repeatable: true},
		{ID: "not whole", Status: 200, Repeatable: true},
		{ID: "not whole, caller left", Repeatable: true},
		{ID: "garbled", Status: 200, Fault: "body of another"},
		{ID: "denied", Status: http.StatusUnauthorized},
		{ID: "cut", FaultFree: true},
		{ID: "new", Incarnation: "e#1", Key: 3, Status: 200, Began: 1, End: 2},
		{ID: "old", Incarnation: "e#1", Key: 2, Status: 200, Began: 3, End: 4},

		{ID: "fine", Status: 200},
		{ID: "repeated", Status: 200, Repeatable: true},
		{ID: "never sent", Status: 0, FaultFree: true},
		{ID: "old key", Key: 1, Status: http.StatusUnauthorized},
		{ID: "overlapping", Incarnation: "e#1", Key: 2, Status: 200, Began: 1, End: 5},
		{ID: "other process", Incarnation: "e#2", Key: 1, Status: 200, Began: 6, End: 7},
		{ID: "refused, not run", Status: http.StatusServiceUnavailable},
	}
	assert.DeepEqual(t, invariantsByID(t, attempts, Facts{Runs: runs, BadTokens: badTokens}), map[string]string{
		"not whole": InvariantWholeWeights, "not whole, caller left": InvariantWholeWeights,
		"twice": InvariantRunsOnce, "refused": InvariantRefusedNotRun,
		"garbled": InvariantResponseIntact, "denied": InvariantValidKeyAccepted, "cut": InvariantGracefulStop, "old": InvariantConfigMonotonic})
}

// An entry that can reach the store must accept a rotating key from propagationBound after
// the write that adds it, and deny it from propagationBound after the write that removes
// it.
func TestJudgeFresh(t *testing.T) {
	const denied = http.StatusUnauthorized
	facts := Facts{Configs: map[int]Write{1: {0, 1 * ms}, 2: {10 * second, 10*second + 5*ms}, 3: {20 * second, 20*second + 5*ms}}}
	attempts := []Attempt{
		{ID: "removed", Key: 1, Status: 200, StoreReachable: true, Sent: 12*second + 6*ms},
		{ID: "removed long ago", Key: 1, Status: 200, StoreReachable: true, Sent: 25 * second},
		{ID: "added", Key: 2, Status: denied, StoreReachable: true, Sent: 12*second + 6*ms, Answered: 13 * second},
		{ID: "newest", Key: 3, Status: denied, StoreReachable: true, Sent: 40 * second, Answered: 41 * second},

		{ID: "removed just now", Key: 1, Status: 200, StoreReachable: true, Sent: 12*second + 5*ms},
		{ID: "removed, store unreachable", Key: 1, Status: 200, Sent: 15 * second},
		{ID: "removed, denied", Key: 1, Status: denied, StoreReachable: true, Sent: 15 * second, Answered: 16 * second},
		{ID: "added just now", Key: 2, Status: denied, StoreReachable: true, Sent: 12*second + 5*ms, Answered: 13 * second},
		{ID: "added, store unreachable", Key: 2, Status: denied, Sent: 15 * second, Answered: 16 * second},
		{ID: "removed meanwhile", Key: 2, Status: denied, StoreReachable: true, Sent: 19 * second, Answered: 20*second + 1*ms},
		{ID: "allowed", Key: 2, Status: 200, StoreReachable: true, Sent: 15 * second},
		{ID: "not served", Key: 1, Status: http.StatusServiceUnavailable, StoreReachable: true, Sent: 15 * second},
		{ID: "of another incarnation", Key: -1, Status: denied, StoreReachable: true, Sent: 15 * second},
		{ID: "not written yet", Key: 4, Status: denied, StoreReachable: true, Sent: 50 * second, Answered: 51 * second},
	}
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{"removed": InvariantConfigFresh, "removed long ago": InvariantConfigFresh,
		"added": InvariantConfigFresh, "newest": InvariantConfigFresh})
}

// An entry that can reach the store must not send a request to a target that was marked as
// leaving more than propagationBound before.
func TestJudgeLeaving(t *testing.T) {
	facts := Facts{Leaving: map[string]time.Duration{"gone": 10 * second, "gone later": 20 * second},
		Runs: map[string][]string{"late": {"gone"}, "second choice": {"stays", "gone"}, "both": {"gone later", "gone"},
			"in time": {"gone"}, "before": {"gone"}, "store unreachable": {"gone"}, "other": {"stays"}, "early": {"gone later"}}}
	attempts := []Attempt{
		{ID: "late", Status: 200, StoreReachable: true, Sent: 12*second + 1*ms},
		{ID: "second choice", Status: 200, Repeatable: true, StoreReachable: true, Sent: 13 * second},
		{ID: "both", Status: 200, Repeatable: true, StoreReachable: true, Sent: 13 * second},

		{ID: "in time", Status: 200, StoreReachable: true, Sent: 12 * second},
		{ID: "before", Status: 200, StoreReachable: true, Sent: 1 * second},
		{ID: "store unreachable", Status: 200, Sent: 13 * second},
		{ID: "other", Status: 200, StoreReachable: true, Sent: 13 * second},
		{ID: "early", Status: 200, StoreReachable: true, Sent: 13 * second},
		{ID: "never ran", Status: http.StatusServiceUnavailable, StoreReachable: true, Sent: 13 * second},
	}
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{"late": InvariantLeavingTarget, "second choice": InvariantLeavingTarget,
		"both": InvariantLeavingTarget})
}

// A request that crashed three targets may reach targets at most three more times through
// entries that must know about the crashes.
func TestJudgeCrashed(t *testing.T) {
	facts := Facts{Crashes: map[string][]time.Duration{"bad": {1 * second, 2 * second, 4 * second}, "twice only": {1 * second, 2 * second}},
		Reached: map[string][]string{"at once": {"t"}, "first": {"t", "u"}, "third": {"v"}, "fourth": {"t"}, "fifth": {"u"},
			"store unreachable": {"t"}, "entry faulty": {"t"}, "other": {"t"}}}
	late := func(id, body string) Attempt {
		return Attempt{ID: id, Body: body, Status: http.StatusBadGateway, StoreReachable: true, EntryFaultFree: true, Repeatable: true, Sent: 8 * second}
	}
	attempts := []Attempt{late("at once", "bad"), late("first", "bad"), late("third", "bad"), late("fourth", "bad"), late("fifth", "bad"),
		late("store unreachable", "bad"), late("entry faulty", "bad"), late("refused", "bad"), late("other", "twice only")}
	attempts[0].Sent = 7 * second
	attempts[5].StoreReachable = false
	attempts[6].EntryFaultFree = false
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{"fourth": InvariantCrashLimit, "fifth": InvariantCrashLimit})
}

// A part of prompts that crashed five targets may reach targets at most three more times, in
// whichever requests.
func TestJudgeCrashingPart(t *testing.T) {
	facts := Facts{Crashes: map[string][]time.Duration{"dead1": {1 * second, 2 * second, 3 * second, 4 * second, 5 * second},
		"dead2": {1 * second, 2 * second, 3 * second, 4 * second}}, Reached: map[string][]string{}}
	var attempts []Attempt
	add := func(id, part string, sent time.Duration, reached ...string) {
		facts.Reached[id] = reached
		attempts = append(attempts, Attempt{ID: id, CrashingPart: part, Status: http.StatusBadGateway, StoreReachable: true, EntryFaultFree: true,
			Repeatable: true, Sent: sent})
	}
	add("at once", "dead1", 8*second, "t", "u")
	add("first", "dead1", 9*second, "t", "u")
	add("refused", "dead1", 10*second)
	add("four only", "dead2", 9*second, "t", "u", "v", "w")
	add("third", "dead1", 11*second, "t")
	add("fourth", "dead1", 12*second, "t")
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{"fourth": InvariantPartCrashLimit})
}

// The store counts as reachable if there was no fault for storeReachableWindow.
func TestReachability(t *testing.T) {
	var r reachability
	assert.Assert(t, r.reachable())
	r.faultBegan()
	r.faultBegan()
	r.faultEnded()
	r.lastEnded = r.lastEnded.Add(-storeReachableWindow)
	assert.Assert(t, !r.reachable(), "another fault is in progress")
	r.faultEnded()
	assert.Assert(t, !r.reachable(), "the last fault ended less than storeReachableWindow ago")
	r.lastEnded = r.lastEnded.Add(-storeReachableWindow)
	assert.Assert(t, r.reachable())
}

func TestRetryBudgetIsCheckedInSlidingWindows(t *testing.T) {
	var attempts []Attempt
	facts := Facts{Arrivals: map[string][]Arrival{}}
	add := func(id string, at time.Duration, sends int) {
		attempts = append(attempts, Attempt{ID: id, Kind: fake.KindSafe, Sent: at})
		for i := range sends {
			facts.Arrivals["i-1"] = append(facts.Arrivals["i-1"], Arrival{id, at + time.Duration(i)*time.Millisecond})
		}
	}
	for i := range 10 { // allows 2 retries, and 1 extra
		add(fmt.Sprint("first ", i), time.Duration(i)*time.Second, 1)
	}
	add("a", 9*time.Second, 2)
	add("b", 10*time.Second, 3)
	assert.Equal(t, len(overRetryBudget(attempts, facts, 1)), 0)
	add("c", 11*time.Second, 2)
	out := overRetryBudget(attempts, facts, 1)
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Attempt.ID, "c")
	facts.Arrivals["i-1"][len(facts.Arrivals["i-1"])-1].At = 25 * time.Second
	assert.Equal(t, len(overRetryBudget(attempts, facts, 1)), 0, "outside the window")
}
