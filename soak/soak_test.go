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

func TestSoak(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/...").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	seeds := append([]uint64(nil), failedSeeds...)
	for i := range *soakSeeds {
		seeds = append(seeds, *soakSeed+uint64(i))
	}
	for _, seed := range seeds {
		cfg := Config{Seed: seed, Only: regexp.MustCompile(*soakOnly), Duration: *soakFor, Entries: *soakEntries, Engines: *soakEngines, Plains: 3, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf}
		r, err := Run(t.Context(), cfg)
		assert.NilError(t, err, "seed %d", seed)
		t.Logf("seed %d: %d attempts, %d served, faults %v", seed, r.Attempts, r.Served, r.Faults)
		for _, v := range r.Violations {
			t.Errorf("seed %d: %v", seed, v)
		}
		assert.Check(t, r.Differing == 0, "seed %d: copies of the store differ, %d lines", seed, r.Differing)
		assert.Check(t, r.OwnExits == 0, "seed %d: %d processes ended by themselves", seed, r.OwnExits)
		assert.Check(t, len(r.Mixed) == 0, "seed %d: weights that were not whole: %+v", seed, r.Mixed)
		assert.Check(t, len(r.Unserved) == 0, "seed %d: %v", seed, r.Unserved)
		assert.Check(t, r.Served > 0, "seed %d", seed)
	}
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
