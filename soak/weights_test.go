package soak

import (
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tokens made with weights that were not whole when they were loaded: a check of
// the staged pieces and the order to load them are two steps, between which pieces rot, late
// puts arrive, engines restart, and agents stop.
func TestSoakWeightsStayWhole(t *testing.T) {
	runAndCheck(t, Config{Seed: 18001, Only: regexp.MustCompile("^weights"), Duration: 8 * time.Second, Entries: 2, Engines: 8, PlainTargets: 1,
		Bin: buildPrograms(t), Dir: seedDir(t, 18001), Logf: t.Logf})
}

// Faults that last for the whole run come only in runs that name them.
func TestNamed(t *testing.T) {
	for expr, want := range map[string]int{"": 0, ".*": 0, "agents (pause|killed)": 2, "^weights": len(weightFaults), "agent paused": 0} {
		assert.Equal(t, len(named(regexp.MustCompile(expr), weightFaults)), want, expr)
	}
	assert.Equal(t, len(named(nil, weightFaults)), 0)
}
