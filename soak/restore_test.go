package soak

import (
	"net/http"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that follow a store no longer once it has been restored from an
// older copy, or that go back to what the copy says.
func TestSoakStoreRestored(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range []uint64{9502, 9505} {
		runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("store restored"), Duration: time.Second, Entries: 5, Engines: 6,
			PlainTargets: 6, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf})
	}
}

// What an entry knew when the store went away stays in force, whether or not the entry can
// reach the store afterwards.
func TestJudgeRestored(t *testing.T) {
	const denied = http.StatusUnauthorized
	facts := Facts{Restores: []Restore{{20 * second, map[string]bool{"e#1": true}}, {30 * second, map[string]bool{"e#2": true}}},
		Configs: map[int]Write{1: {0, 1 * ms}, 2: {10 * second, 10*second + 5*ms}, 3: {18 * second, 18*second + 5*ms}},
		Leaving: map[string]time.Duration{"gone": 17 * second, "gone lately": 18*second + 1*ms},
		Reached: map[string][]string{"late": {"gone"}, "late, lately": {"gone lately"}, "other entry": {"gone"}, "before": {"gone"},
			"second restore": {"gone lately"}, "other": {"stays"}}}
	attempts := []Attempt{
		{ID: "revoked", Incarnation: "e#1", Key: 1, Status: 200, Sent: 20*second + 1*ms},
		{ID: "denied", Incarnation: "e#2", Key: 3, Status: denied, Sent: 31 * second, Answered: 32 * second},
		{ID: "late", Incarnation: "e#1", Status: 200, Sent: 25 * second},
		{ID: "second restore", Incarnation: "e#2", Status: 200, Sent: 31 * second},

		{ID: "revoked lately", Incarnation: "e#1", Key: 2, Status: 200, Sent: 21 * second},
		{ID: "added lately", Incarnation: "e#1", Key: 3, Status: denied, Sent: 21 * second, Answered: 22 * second},
		{ID: "replaced since", Incarnation: "e#1", Key: 2, Status: denied, Sent: 21 * second, Answered: 22 * second},
		{ID: "revoked, started since", Incarnation: "e#9", Key: 1, Status: 200, Sent: 21 * second},
		{ID: "revoked, before", Incarnation: "e#2", Key: 1, Status: 200, Sent: 29 * second},
		{ID: "permanent", Incarnation: "e#1", Status: 200, Sent: 21 * second},
		{ID: "late, lately", Incarnation: "e#1", Status: 200, Sent: 25 * second},
		{ID: "other entry", Incarnation: "e#9", Status: 200, Sent: 25 * second},
		{ID: "before", Incarnation: "e#1", Status: 200, Sent: 19 * second},
		{ID: "other", Incarnation: "e#1", Status: 200, Sent: 25 * second},
	}
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{"revoked": InvariantKnownStays, "denied": InvariantKnownStays,
		"late": InvariantKnownStays, "second restore": InvariantKnownStays})
}
