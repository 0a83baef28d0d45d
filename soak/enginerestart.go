package soak

import (
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of engines that restart.
const (
	restartMax = 5 * time.Millisecond // until the next incarnation
	// overtakenMax is how long a call is on its way at most while the engine restarts.
	overtakenMax     = 30 * time.Millisecond
	powerLossOneIn   = 4
	agentStartupTime = 500 * time.Millisecond // after a loss of power
)

// restartEngines restarts engines within milliseconds, at a call of their agents, which may
// reach the next incarnation, or just after it.
func restartEngines(f *Fleet, rng *rand.Rand, _ time.Duration) {
	f.forEachEngine(rng, func(e *fake.Target, agent *Process, rng *rand.Rand, end time.Time) {
		onTheWay := fake.Delay{Request: time.Duration(rng.IntN(2)) * randomDuration(rng, 0, overtakenMax)}
		if atNextCall(e, randomCall(rng), end, func() fake.Delay { return onTheWay }) {
			time.Sleep(randomDuration(rng, 0, momentOffset))
			f.restartEngine(e, agent, rng.IntN(powerLossOneIn) == 0)
		}
	})
}

// restartEngine makes an engine crash, or its host lose power, which ends the agent too.
func (f *Fleet) restartEngine(e *fake.Target, agent *Process, losePower bool) {
	f.logf("%s restarts, power lost: %v", e.Incarnation(), losePower)
	f.markTargetFaulty(e, settleTime)
	if !losePower {
		e.CrashFor(restartMax)
		return
	}
	e.LosePower(restartMax)
	f.restart(agent, agentStartupTime, true)
}
