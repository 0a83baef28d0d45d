package soak

import (
	"flag"
	"net/http"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds")
	soakFor     = flag.Duration("soak.for", 6*time.Second, "time under faults for each seed")
	soakEntries = flag.Int("soak.entries", 3, "number of entries")
	soakEngines = flag.Int("soak.engines", 4, "number of engines, each with an agent")
)

// failedSeeds are seeds that failed once, each with its cause.
var failedSeeds = []uint64{}

func TestSoak(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/...").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	seeds := append([]uint64(nil), failedSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for _, seed := range seeds {
		cfg := Config{Seed: seed, Duration: *soakFor, Entries: *soakEntries, Engines: *soakEngines, Plains: 3, Bin: bin, Dir: t.TempDir(), Logf: t.Logf}
		r, err := Run(t.Context(), cfg)
		assert.NilError(t, err, "seed %d", seed)
		t.Logf("seed %d: %d attempts, %d served, faults %v", seed, r.Attempts, r.Served, r.Faults)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		assert.Equal(t, r.OwnExits, 0, "seed %d: processes that ended by themselves", seed)
		assert.Equal(t, r.Mixed, int64(0), "seed %d: weights that were not whole", seed)
		assert.Equal(t, len(r.Unserved), 0, "seed %d: %v", seed, r.Unserved)
		assert.Assert(t, r.Served > 0)
	}
}

// The judge finds each broken promise, and nothing else.
func TestJudge(t *testing.T) {
	runs := map[string][]string{"twice": {"a", "b"}, "refused": {"a"}, "cut": {"a"}, "repeated": {"a", "b"}, "fine": {"a"}}
	attempts := []Attempt{
		{ID: "twice", Status: 200},
		{ID: "refused", Status: http.StatusServiceUnavailable, Repeatable: true},
		{ID: "garbled", Status: 200, Fault: "body of another"},
		{ID: "denied", Status: http.StatusUnauthorized},
		{ID: "cut", Calm: true},
		{ID: "new", Incarnation: "e#1", Key: 3, Status: 200, Began: 1, End: 2},
		{ID: "old", Incarnation: "e#1", Key: 2, Status: 200, Began: 3, End: 4},

		{ID: "fine", Status: 200},
		{ID: "repeated", Status: 200, Repeatable: true},
		{ID: "never sent", Status: 0, Calm: true},
		{ID: "old key", Key: 1, Status: http.StatusUnauthorized},
		{ID: "overlapping", Incarnation: "e#1", Key: 2, Status: 200, Began: 1, End: 5},
		{ID: "other process", Incarnation: "e#2", Key: 1, Status: 200, Began: 6, End: 7},
		{ID: "honest", Status: http.StatusServiceUnavailable},
	}
	want := map[string]string{"twice": PromiseOnce, "refused": PromiseNotRun, "garbled": PromiseWhole, "denied": PromiseAllowed,
		"cut": PromiseDrain, "old": PromiseForward}
	got := Judge(attempts, runs)
	assert.Equal(t, len(got), len(want))
	for _, v := range got {
		assert.Equal(t, v.Promise, want[v.Attempt.ID], v.Attempt.ID)
	}
}
