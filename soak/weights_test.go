package soak

import (
	"math/rand/v2"
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
)

// Guards against tokens made with weights that were not whole when they were loaded: a check of
// the staged pieces and the order to load them are two steps, between which pieces rot, late
// puts arrive, engines restart, and agents stop.
func TestSoakWeightsStayWhole(t *testing.T) {
	runAndCheck(t, Config{Seed: 18609, Only: regexp.MustCompile("^weights"), Duration: 6 * time.Second, Entries: 2, Engines: 8, PlainTargets: 1,
		Bin: buildPrograms(t), Dir: seedDir(t, 18609), Logf: t.Logf})
}

// Guards against an agent that trusts what its engine holds: the agent before it ordered that at
// another process of the engine, and was killed before it could see the load.
func TestSoakLoadsOfKilledAgentsStayWhole(t *testing.T) {
	runAndCheck(t, Config{Seed: 18704, Only: regexp.MustCompile("^weights"), Duration: 8 * time.Second, Entries: 2, Engines: 8, PlainTargets: plainTargets,
		Bin: buildPrograms(t), Dir: seedDir(t, 18704), Logf: t.Logf})
}

// Faults that last for the whole run come only in runs that name them.
func TestNamed(t *testing.T) {
	for expr, want := range map[string]int{"": 0, ".*": 0, "agents (pause|killed)": 2, "^weights": len(weightFaults), "agent paused": 0} {
		assert.Equal(t, len(named(regexp.MustCompile(expr), weightFaults)), want, expr)
	}
	assert.Equal(t, len(named(nil, weightFaults)), 0)
}

// A fault strikes at the next call of its kind, once, and not after the run.
func TestAtNextCall(t *testing.T) {
	store, err := fake.NewStore()
	assert.NilError(t, err)
	defer store.Close()
	origin, err := fake.NewOrigin(model, 1)
	assert.NilError(t, err)
	defer origin.Close()
	e, err := fake.NewTarget(fake.TargetConfig{Service: engineService, Model: model}, store, fake.NewRequestLog(), origin)
	assert.NilError(t, err)
	defer e.Close()
	get := func(path string) {
		resp, err := http.Get("http://" + e.Addr() + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	strikes := make(chan struct{}, 9)
	strike := func() fake.Delay {
		strikes <- struct{}{}
		return fake.Delay{}
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for len(strikes) == 0 {
			get(fake.StagedPiecePath("m", 0))
			get("/report")
		}
		get("/report")
	}()
	assert.Assert(t, atNextCall(e, fake.ReportCall, time.Now().Add(time.Minute), strike))
	<-ended
	assert.Equal(t, len(strikes), 1)
	assert.Assert(t, !atNextCall(e, fake.OrderCall, time.Now().Add(10*time.Millisecond), strike))
	assert.Equal(t, len(strikes), 1)
}

// Answers to reports and reads are late, but not the calls: these change nothing.
func TestDelaysOfCalls(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	longest := map[fake.AgentCall]fake.Delay{}
	for range 1000 {
		for call := range fake.AgentCalls {
			d := randomDelay(rng, call)
			assert.Assert(t, d.Request == 0 || d.Response == 0)
			longest[call] = fake.Delay{Request: max(longest[call].Request, d.Request), Response: max(longest[call].Response, d.Response)}
		}
	}
	const agentGivesPutUp = 6 * time.Second
	assert.Assert(t, longest[fake.PutCall].Request > agentGivesPutUp && longest[fake.PutCall].Response < agentGivesPutUp)
	assert.Assert(t, longest[fake.OrderCall].Request > time.Second && longest[fake.OrderCall].Response > time.Second)
	assert.Equal(t, longest[fake.ReportCall].Request+longest[fake.GetCall].Request, time.Duration(0))
	assert.Assert(t, longest[fake.GetCall].Response > time.Second)
}
