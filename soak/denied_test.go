package soak

import (
	"fmt"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
)

// Guards against sound requests that are refused for good while targets crash for other reasons.
func TestSoakProperRequestsAreNotDeniedWhileTargetsCrash(t *testing.T) {
	bin := buildPrograms(t)
	for _, seed := range []uint64{10101} {
		runAndCheck(t, Config{Seed: seed, Only: regexp.MustCompile("targets crash in series"), Duration: time.Second, Entries: 5,
			Engines: 20, PlainTargets: plainTargets, EventInterval: 350 * time.Millisecond, Bin: bin, Dir: seedDir(t, seed), Logf: t.Logf})
	}
}

func TestJudgeDenied(t *testing.T) {
	var attempts []Attempt
	add := func(n int, a Attempt) {
		for range n {
			a.ID = fmt.Sprint(len(attempts))
			attempts = append(attempts, a)
		}
	}
	add(2*deniedOneIn, Attempt{Status: http.StatusOK, EntryFaultFree: true})
	denied := Attempt{Status: http.StatusBadRequest, EntryFaultFree: true}
	add(deniedAllowed+2, denied)
	for _, change := range []func(*Attempt){
		func(a *Attempt) { a.Signed = true },
		func(a *Attempt) { a.EntryFaultFree = false },
		func(a *Attempt) { a.Key = 1 },
		func(a *Attempt) { a.CrashingPart = fake.CrashPart },
		func(a *Attempt) { a.Body = fake.CrashPrefix },
		func(a *Attempt) { a.Status = http.StatusTooManyRequests },
	} {
		a := denied
		change(&a)
		add(10, a)
	}
	assert.Equal(t, len(deniedProperRequests(attempts)), 0)
	add(2, denied)
	assert.Equal(t, len(deniedProperRequests(attempts)), 2)
}

// Guards against a part that a third of all prompts have being refused for good after three crashes, at entries
// that have just started.
func TestSoakPopularPartIsNotDeniedBesideAllFaults(t *testing.T) {
	runSeed(t, 17047)
}

// Guards against a request that crashes targets being sent on while a paused target holds several of it.
func TestSoakCrashingRequestIsHeldBackBesideAllFaults(t *testing.T) {
	runSeed(t, 17040)
}

// Guards against a popular part of prompts being refused for good while all entries restart and a team asks for too much.
func TestSoakPopularPartIsNotDeniedBesideOverload(t *testing.T) {
	runSeed(t, 19146)
}

// Guards against a request that crashes targets being sent on at the end of a run with all faults.
func TestSoakCrashingRequestIsHeldBackToTheEnd(t *testing.T) {
	for _, seed := range []uint64{19115, 19129} {
		runSeed(t, seed)
	}
}

// runSeed runs a seed with all faults as TestSoak does, for 3 s.
func runSeed(t *testing.T, seed uint64) {
	t.Helper()
	runAndCheck(t, Config{Seed: seed, Duration: 3 * time.Second, Entries: 5, Engines: 4, PlainTargets: plainTargets,
		Bin: buildPrograms(t), Dir: seedDir(t, seed), Logf: t.Logf})
}
