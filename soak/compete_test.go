package soak

import (
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a team that asks for several times what the targets can do and takes their room
// from a team that asks for little.
func TestSoakTeamWithinItsShareIsServed(t *testing.T) {
	const seed = 9601
	r := runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("a team asks for too much"), Duration: time.Second, Entries: 3, Engines: 4, Slots: 2, StepMs: 20,
		PlainTargets: plainTargets, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
	small, bulk := r.ByTeam[lastingTeam], r.ByTeam["bulk"]
	t.Logf("team within its share %+v, bulk team %+v", small, bulk)
	assert.Assert(t, bulk.share() < 0.8, "no shortage: %.2f of the bulk team's requests served", bulk.share())
	assert.Assert(t, bulk.Served > 0, "the bulk team got nothing")
	assert.Assert(t, small.share() >= 0.9, "%.2f of the requests of the team within its share served", small.share())
}

// Guards against entries that hold the bodies of all uploads and exceed their host's memory.
func TestSoakIncompleteUploads(t *testing.T) {
	const seed = 9701
	runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("incomplete uploads"), Duration: time.Second, Entries: 3, Engines: 3,
		PlainTargets: plainTargets, Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
}
