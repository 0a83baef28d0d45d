package sidecar

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var paceStart = time.Unix(1000, 0)

func TestPaceLevels(t *testing.T) {
	for pace, level := range map[float64]int{0: 0, -1: 0, math.Inf(1): 800, 0.5: 100, 1: 100, 1.3: 100, 1.44: 150, 1.5: 150, 2.45: 250, 2.5: 250, 100: 800} {
		assert.Equal(t, paceLevel(pace), level, "%v", pace)
	}
	assert.Equal(t, paceLevel(math.NaN()), 0)
}

func TestPaceRisesAtOnceAndFallsCautiously(t *testing.T) {
	f := paceFilter{}
	at := func(ms int, pace float64) int {
		return f.update(paceStart.Add(time.Duration(ms)*time.Millisecond), pace)
	}
	assert.Equal(t, at(0, 1), 100)
	assert.Equal(t, at(400, 2.5), 250)
	assert.Equal(t, at(800, 1), 250)
	assert.Equal(t, at(1200, 1), 250)
	assert.Equal(t, at(1300, 2.5), 250) // slow again: the wait begins anew
	assert.Equal(t, at(1400, 1.5), 250)
	assert.Equal(t, at(1800, 1), 250)
	assert.Equal(t, at(2200, 1), 150) // the slowest of the last 800 ms
	assert.Equal(t, at(2600, 1), 150)
	assert.Equal(t, at(3400, 1), 100)
	assert.Equal(t, at(3500, 0), 0) // the engine states no pace any more
}

// TestNoisyPacePublishesLittle checks that noise around a pace publishes at most one change, and
// that any paces publish at most one rise per paceInterval and one fall per paceReturn.
func TestNoisyPacePublishesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean, noise := rapid.Float64Range(0.9, 4).Draw(t, "mean"), rapid.Float64Range(0, 0.1).Draw(t, "noise")
		f, changes, last := paceFilter{}, 0, 0
		for i := range 200 {
			pace := mean * (1 + noise*rapid.Float64Range(-1, 1).Draw(t, "error"))
			if p := f.update(paceStart.Add(time.Duration(i)*40*time.Millisecond), pace); p != last {
				changes, last = changes+1, p
			}
		}
		assert.Assert(t, changes <= 2+200*40/int(paceReturn.Milliseconds())*2, "%d", changes)
	})
}
