package gateway

import (
	"net/http"
	"testing"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"gotest.tools/v3/assert"
)

// setTeams replaces the teams of the test's configuration, by API key.
func (f *testGateway) setTeams(teams map[string]*fleet.Team) {
	f.gateway.SetConfig(fleet.NewConfig(f.gateway.Config().Version+1, routes(), []*fleet.Service{{Name: "s"}}, teams, fleet.Limits{BodyBytes: 1 << 10}))
}

// rankedTeams are three teams whose requests have ranks 0, 1 and 2 of their service.
func rankedTeams() map[string]*fleet.Team {
	teams := map[string]*fleet.Team{}
	for i, key := range []string{"first", "secret", "last"} {
		teams[key] = &fleet.Team{Name: key, Priority: 3 * i, HasPriority: true}
	}
	return teams
}

func TestTargetIsToldTheRank(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newTestGateway(t, x)
	f.call(http.MethodGet, "/safe/x", "")
	assert.Equal(t, x.seen[0].Header.Get("Rank"), "", "all requests have one rank")
	f.setTeams(rankedTeams())
	f.call(http.MethodGet, "/safe/x", "")
	assert.Equal(t, x.seen[1].Header.Get("Rank"), "1")
	f.call(http.MethodGet, "/safe/x", "", "Key", "first")
	assert.Equal(t, x.seen[2].Header.Get("Rank"), "0")
	f.gateway.cfg.Off = f.gateway.cfg.Off.With(mechanism.Ranks)
	f.call(http.MethodGet, "/safe/x", "")
	assert.Equal(t, x.seen[3].Header.Get("Rank"), "")
}

func TestLessUrgentRetriesLeaveAPartOfTheBudget(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, notRunHandler)
	f := newTestGateway(t, x, y)
	f.setTeams(rankedTeams())
	f.passRetryWindow()
	f.gateway.cfg.RetryRatio, f.gateway.cfg.RetryBurst = 0.001, 4
	f.gateway.SetEntries(1)
	retries := func(key string) int {
		before := x.count() + y.count()
		for range 5 {
			f.call(http.MethodPost, "/unsafe/x", "b", "Key", key)
		}
		return x.count() + y.count() - before - 5
	}
	assert.Equal(t, retries("last"), 2, "half of the budget is left to others")
	assert.Equal(t, retries("secret"), 1, "a quarter of it is left to the most urgent")
	assert.Equal(t, retries("first"), 1)
}

func TestMoreUrgentCallersReturnFirst(t *testing.T) {
	earliest := urgency{rank: 0, ranks: 3}
	last := urgency{rank: 2, ranks: 3}
	assert.Assert(t, earliest.returnOrder(0) > last.returnOrder(0.999), "a higher number is an earlier return")
	assert.Equal(t, urgency{}.returnOrder(0.4), 0.4, "one rank: as before")
}
