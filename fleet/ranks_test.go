package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

func rankRoute(name string, priority int, public bool, services ...string) *Route {
	r := &Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Priority: priority, Public: public}
	for _, s := range services {
		r.Shares = append(r.Shares, Share{Service: s, Weight: 1})
	}
	return r
}

func TestRanksWithoutTeamsAreThoseOfTheRoutes(t *testing.T) {
	a, b, c := rankRoute("a", 5, false, "s"), rankRoute("b", 0, false, "s", "other"), rankRoute("c", 5, false, "s")
	cfg := NewConfig(1, []*Route{a, b, c}, nil, nil, Limits{})
	assert.Assert(t, !cfg.HasTeams())
	assert.Equal(t, cfg.Ranks("s"), 2)
	assert.Equal(t, cfg.Ranks("other"), 1)
	assert.Equal(t, cfg.Ranks("unknown"), 1)
	assert.Equal(t, cfg.RankOf("s", b, nil), 0)
	assert.Equal(t, cfg.RankOf("s", a, nil), 1)
	assert.Equal(t, cfg.RankOf("s", c, nil), 1)
	assert.Equal(t, cfg.RankOf("other", b, nil), 0)
	assert.Equal(t, cfg.RankOf("unknown", a, nil), 0)
}

func TestPriorityOfATeamTakesPrecedence(t *testing.T) {
	urgent, usual := &Team{Name: "urgent", Priority: 1, HasPriority: true}, &Team{Name: "usual"}
	r, public := rankRoute("a", 3, false, "s"), rankRoute("b", 7, true, "open")
	cfg := NewConfig(1, []*Route{r, public}, nil, map[string]*Team{"k1": urgent, "k2": usual}, Limits{})
	assert.Assert(t, cfg.HasTeams())
	assert.Equal(t, cfg.Ranks("s"), 2)
	assert.Equal(t, cfg.RankOf("s", r, urgent), 0)
	assert.Equal(t, cfg.RankOf("s", r, usual), 1)

	cfg = NewConfig(2, []*Route{r, public}, nil, map[string]*Team{"k1": urgent}, Limits{})
	assert.Equal(t, cfg.Ranks("s"), 1, "no team has the priority of the route")
	assert.Equal(t, cfg.Ranks("open"), 2, "callers without a key have the priority of the route")
	assert.Equal(t, cfg.RankOf("open", public, nil), 1)
}

func TestSharesWithoutWeightCarryNoRank(t *testing.T) {
	split, only := rankRoute("a", 3, false, "s", "t"), rankRoute("b", 1, false, "s")
	split.Shares[1].Weight, only.Shares[0].Weight = 0, 0
	cfg := NewConfig(1, []*Route{split, only}, nil, nil, Limits{})
	assert.Equal(t, cfg.Ranks("s"), 2)
	assert.Equal(t, cfg.Ranks("t"), 1)
	assert.Equal(t, cfg.RankOf("t", split, nil), 0)
}
