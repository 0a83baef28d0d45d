package soak

import (
	"regexp"
	"testing"
	"time"
)

// Targets that said in their answers that they leave went on getting requests while the
// list named them as ready.
func TestSoakTargetsSayThatTheyLeave(t *testing.T) {
	const seed = 9301
	runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("targets say that they leave"), Duration: time.Second, Entries: 5, Engines: 6,
		PlainTargets: 6, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
}
