package soak

import (
	"regexp"
	"testing"
	"time"
)

// Guards against entries that keep sending requests to targets that announce in their
// responses that they are leaving, because the targets are still listed as ready.
func TestSoakTargetsAnnounceLeaving(t *testing.T) {
	const seed = 9301
	runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("targets say that they leave"), Duration: time.Second, Entries: 5, Engines: 6,
		PlainTargets: 6, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
}
