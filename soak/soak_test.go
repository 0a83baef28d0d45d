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
	soakSeed    = flag.Uint64("soak.seed", 1, "first seed")
	soakSeeds   = flag.Int("soak.seeds", 1, "number of seeds")
	soakFor     = flag.Duration("soak.for", 6*time.Second, "duration of fault injection for each seed")
	soakEntries = flag.Int("soak.entries", 5, "number of entries")
	soakDir     = flag.String("soak.dir", "", "directory for the settings and logs of each seed; they are not kept if empty")
	soakOnly    = flag.String("soak.only", "", "regular expression for the names of the faults to inject; all if empty")
	soakEngines = flag.Int("soak.engines", 4, "number of engines, each with an agent")
)

// failedSeeds are seeds that exposed a fault, each with its cause.
var failedSeeds = []uint64{
	814, // mixed weights: pieces of a newer version overwrote those of an order that got no response
}

// failedScenarios are seeds that exposed a fault with settings of their own, each with its
// cause.
var failedScenarios = []Config{
	// Two of 14 entries sent requests to a target that had left: its removal was written
	// between the reads of two pages by an entry, and the entries that copy the store's
	// content from that entry did not receive the removal.
	{Seed: 5012, Only: regexp.MustCompile("news overtaken"), Duration: 9 * time.Second, Entries: 14, Engines: 40},
}

// Guards against a request that crashes each target that runs it and is sent again with a
// new ID to any entry. Each entry sent each attempt to two targets, and crashes were
// remembered neither between attempts nor between entries. 40 targets crashed, breaking
// their other streams, and in three incidents between a tenth and three fifths of one
// service's requests were refused for ten seconds.
//
// On each crashed target one request was lost before its first event; within an incident,
// all of these came from one team on one route. The other streams on the target broke
// midway and resumed elsewhere.
func TestSoakRequestThatCrashesTargets(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range []uint64{9101, 9102, 9103} {
		cfg := Config{Seed: seed, Only: regexp.MustCompile("request crashes targets"), Duration: time.Second, Entries: 5, Engines: 20,
			PlainTargets: 12, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf}
		runAndCheck(t, cfg)
	}
}

// Guards against requests that differ in all but one part of their prompts, which crashes targets:
// 85 targets crashed where five are allowed.
func TestSoakPartOfPromptsThatCrashesTargets(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range []uint64{9801, 9802} {
		runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("part of prompts crashes targets"), Duration: time.Second, Entries: 5,
			Engines: 20, PlainTargets: plainTargets, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf})
	}
}

// Guards against answers with neither a length nor chunks that are cut off or taken for broken while
// entries and agents stop and configurations change. Nothing breaks answers off in this run.
func TestSoakAnswersThatEndWithTheirConnections(t *testing.T) {
	runAndCheck(t, Config{Seed: 9901, Only: regexp.MustCompile("entry stopped|agent stopped|settings changed|^configuration$"), Duration: 4 * time.Second, Entries: 5,
		Engines: 4, PlainTargets: plainTargets, Unframed: true, Bin: buildPrograms(t), Dir: seedDir(t, 9901), Logf: t.Logf})
}

// Guards against a retry budget that starts full with each process, so that entries that are
// restarted in a series retry without bound.
func TestSoakRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	cfg := Config{Seed: 9701, Only: regexp.MustCompile("entries restart while targets refuse"), Duration: time.Second, Entries: 5, Engines: 4,
		PlainTargets: plainTargets, RetryExtra: 60, Bin: buildPrograms(t), Dir: seedDir(t, 9701), Logf: t.Logf}
	runAndCheck(t, cfg)
}

func TestSoakFailedScenarios(t *testing.T) {
	bin := buildPrograms(t)
	for _, cfg := range failedScenarios {
		cfg.PlainTargets, cfg.Bin, cfg.Dir, cfg.Logf = plainTargets, bin, seedDir(t, cfg.Seed), t.Logf
		runAndCheck(t, cfg)
	}
}

// Guards against requests beyond the limit of a target that names none, beside restarts and pauses.
func TestSoakLimitsAreKeptBesideRestartsAndPauses(t *testing.T) {
	runAndCheck(t, Config{Seed: 16046, Duration: 3 * time.Second, Entries: 5, Engines: 4, PlainTargets: plainTargets,
		Bin: buildPrograms(t), Dir: seedDir(t, 16046), Logf: t.Logf})
}

// plainTargets is the number of plain targets in the fleets of the tests.
const plainTargets = 3

// buildPrograms builds the real programs and returns their directory.
func buildPrograms(t *testing.T) string {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "../cmd/...").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return bin
}

// TestSoakFailedSeeds runs the seeds that exposed a fault, with the faults that are drawn.
func TestSoakFailedSeeds(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range failedSeeds {
		cfg := soakConfig(t, bin, seed)
		cfg.SkipOnceFaults = true
		runAndCheck(t, cfg)
	}
}

func TestSoak(t *testing.T) {
	bin := buildPrograms(t)
	for i := range *soakSeeds {
		runAndCheck(t, soakConfig(t, bin, *soakSeed+uint64(i)))
	}
}

// soakConfig returns the run of a seed as the flags describe it.
func soakConfig(t *testing.T, bin string, seed uint64) Config {
	return Config{Seed: seed, Only: regexp.MustCompile(*soakOnly), Duration: *soakFor, Entries: *soakEntries, Engines: *soakEngines,
		PlainTargets: plainTargets, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf}
}

// runAndCheck runs a fleet and fails the test if an invariant is violated, a process exits
// unexpectedly or exceeds its host's memory, copies of the store differ, a token is made with weights that were not whole or requests are not served.
func runAndCheck(t *testing.T, cfg Config) *Result {
	seed := cfg.Seed
	r, err := Run(t.Context(), cfg)
	assert.NilError(t, err, "seed %d", seed)
	t.Logf("seed %d: %d attempts, %d served, faults %v", seed, r.Attempts, r.Served, r.Faults)
	for _, v := range r.Violations {
		t.Errorf("seed %d: %v", seed, v)
	}
	assert.Check(t, r.DifferingCopies == 0, "seed %d: copies of the store differ according to %d log lines", seed, r.DifferingCopies)
	assert.Check(t, r.UnexpectedExits == 0, "seed %d: %d unexpected process exits", seed, r.UnexpectedExits)
	badTokens := 0
	for _, x := range r.BadLoads {
		badTokens += x.Tokens
		t.Logf("seed %d: load that was not whole: %+v", seed, x)
	}
	assert.Check(t, badTokens == 0, "seed %d: %d tokens were made with weights that were not whole", seed, badTokens)
	assert.Check(t, len(r.Unserved) == 0, "seed %d: not served after the faults: %v", seed, r.Unserved)
	assert.Check(t, r.Served > 0, "seed %d: no request was served", seed)
	assert.Check(t, len(r.OverMemory) == 0, "seed %d: over the memory limit: %v", seed, r.OverMemory)
	return r
}

// seedDir returns the directory for a seed's settings and logs.
func seedDir(t *testing.T, seed uint64) string {
	if *soakDir == "" {
		return t.TempDir()
	}
	dir := filepath.Join(*soakDir, fmt.Sprintf("seed-%d", seed))
	assert.NilError(t, os.MkdirAll(dir, 0o750))
	return dir
}
