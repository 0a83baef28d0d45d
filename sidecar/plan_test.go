package sidecar

import (
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1_800_000_000, 0)

func assignment(version, turn, turns int) peer.Assignment {
	return peer.Assignment{Model: "m", Version: version, Layers: 16, Pieces: 4, TimeoutMs: 8000, Turn: turn, Turns: turns}
}

func serving(version int) Report {
	return Report{Models: []fleet.ModelVersion{{Model: "m", Version: version, Layers: 16}}}
}

func TestPlan(t *testing.T) {
	cfg := Config{}.applyDefaults()
	busy := serving(1)
	busy.Busy = true
	for _, c := range []struct {
		name   string
		report Report
		a      peer.Assignment
		staged bool
		after  time.Duration
		want   Step
	}{
		{"nothing assigned", Report{}, peer.Assignment{}, false, 0, Rest},
		{"served already", serving(2), assignment(2, 0, 3), false, 0, Rest},
		{"newer than assigned", serving(3), assignment(2, 0, 3), false, 0, Rest},
		{"order in progress", busy, assignment(2, 0, 3), true, 0, Watch},
		{"pieces missing", serving(1), assignment(2, 0, 3), false, 0, Stage},
		{"some layers only", Report{Models: []fleet.ModelVersion{{Model: "m", Version: 2, Layers: 8}}}, assignment(2, 0, 3), true, 0, Load},
		{"empty engine does not wait", Report{}, assignment(2, 2, 3), true, 0, Load},
		{"first turn not come", serving(1), assignment(2, 0, 3), true, cfg.Lead - 1, Await},
		{"first turn", serving(1), assignment(2, 0, 3), true, cfg.Lead, Load},
		{"last turn not come", serving(1), assignment(2, 2, 3), true, cfg.Lead, Await},
		{"last turn", serving(1), assignment(2, 2, 3), true, 8*time.Second - cfg.Margin, Load},
	} {
		got := cfg.Plan(start.Add(c.after), c.report, c.a, start, c.staged)
		assert.Equal(t, got, c.want, c.name)
	}
}

func TestTurnsAreSpreadOverTheTimeAllowed(t *testing.T) {
	cfg := Config{}.applyDefaults()
	last := time.Duration(0)
	for turn := range 12 {
		at := cfg.turnAt(assignment(2, turn, 12))
		assert.Assert(t, at > last || turn == 0)
		last = at
	}
	assert.Equal(t, last, 8*time.Second-cfg.Margin)
	short := assignment(2, 1, 2)
	short.TimeoutMs = 1000
	assert.Equal(t, cfg.turnAt(short), time.Duration(0), "no time for turns")
}
