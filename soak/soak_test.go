package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	soakSeed    = flag.Uint64("soak.seed", 1, "first seed of the soak")
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds")
	soakFor     = flag.Duration("soak.for", 6*time.Second, "time under faults for each seed")
	soakEntries = flag.Int("soak.entries", 5, "number of entries")
	soakDir     = flag.String("soak.dir", "", "folder in which settings and logs of each seed stay; none keeps none")
	soakOnly    = flag.String("soak.only", "", "regular expression of the names of faults that are injected; all if empty")
	soakEngines = flag.Int("soak.engines", 4, "number of engines, each with an agent")
)

// failedSeeds are seeds that failed once, each with its cause.
var failedSeeds = []uint64{
	814, // weights not whole: pieces of a newer version lay over those of an order without an answer
}

// failedScenarios are seeds that failed once with settings of their own, each with its
// cause.
var failedScenarios = []Config{
	// Requests to a target that had left, from two of 14 entries: its removal came between
	// two pages of a whole read, and followers of the entry that read them never heard of it.
	{Seed: 5012, Only: regexp.MustCompile("news overtaken"), Duration: 9 * time.Second, Entries: 14, Engines: 40},
}

// Callers of one service saw a tenth to three fifths of their requests refused for ten
// seconds, three times. A request that ends each target that runs it had come, and came
// again with another ID each time, at any entry. Each entry sent each attempt to two
// targets, 40 of which ended, and their other streams with them: nothing remembered the
// request from one attempt to the next, nor from one entry to another.
//
// The evidence: of each target that ended one request was lost without an event, of one
// team on one route each time, while the streams beside it broke midway and went on
// elsewhere.
func TestSoakRequestThatCrashesTargets(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range []uint64{9101, 9102, 9103} {
		cfg := Config{Seed: seed, Only: regexp.MustCompile("request crashes targets"), Duration: time.Second, Entries: 5, Engines: 20,
			PlainTargets: 12, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf}
		runAndCheck(t, cfg)
	}
}

func TestSoakFailedScenarios(t *testing.T) {
	bin := buildPrograms(t)
	for _, cfg := range failedScenarios {
		cfg.PlainTargets, cfg.Bin, cfg.Dir, cfg.Logf = plainTargets, bin, seedDir(t, cfg.Seed), t.Logf
		runAndCheck(t, cfg)
	}
}

// plainTargets is how many plain targets the fleets of the tests have.
const plainTargets = 3

// buildPrograms returns the folder of the real programs.
func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/...").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return bin
}

func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	seeds := append([]uint64(nil), failedSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for i, seed := range seeds {
		cfg := Config{Seed: seed, Only: regexp.MustCompile(*soakOnly), SkipOnceFaults: i < len(failedSeeds), Duration: *soakFor, Entries: *soakEntries, Engines: *soakEngines, PlainTargets: plainTargets, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf}
		runAndCheck(t, cfg)
	}
}

// runAndCheck runs a fleet; no promise may be broken.
func runAndCheck(t *testing.T, cfg Config) {
	seed := cfg.Seed
	r, err := Run(t.Context(), cfg)
	assert.NilError(t, err, "seed %d", seed)
	t.Logf("seed %d: %d attempts, %d served, faults %v", seed, r.Attempts, r.Served, r.Faults)
	for _, v := range r.Violations {
		t.Errorf("seed %d: %v", seed, v)
	}
	assert.Check(t, r.DifferingCopies == 0, "seed %d: copies of the store differ, %d lines", seed, r.DifferingCopies)
	assert.Check(t, r.UnexpectedExits == 0, "seed %d: %d processes ended by themselves", seed, r.UnexpectedExits)
	assert.Check(t, len(r.Mixed) == 0, "seed %d: weights that were not whole: %+v", seed, r.Mixed)
	assert.Check(t, len(r.Unserved) == 0, "seed %d: %v", seed, r.Unserved)
	assert.Check(t, r.Served > 0, "seed %d", seed)
}

// seedDir returns the folder of a seed's settings and logs.
func seedDir(t *testing.T, seed uint64) string {
	if *soakDir == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*soakDir, fmt.Sprintf("seed-%d", seed))
	assert.NilError(t, os.MkdirAll(dir, 0o750))
	return dir
}
