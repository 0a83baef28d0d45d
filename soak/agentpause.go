package soak

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Lengths of the agents' pauses.
const (
	agentPauseMin = 3 * time.Second
	agentPauseMax = 6 * time.Second
)

// pauseAgents stops agents by SIGSTOP at one of their calls or just after it. A third of the
// engines crash meanwhile.
func pauseAgents(f *Fleet, rng *rand.Rand, _ time.Duration) {
	f.forEachEngine(rng, func(e *fake.Target, agent *Process, rng *rand.Rand, end time.Time) {
		kind, d, offset := randomCall(rng), randomDuration(rng, agentPauseMin, agentPauseMax), time.Duration(0)
		if rng.IntN(2) == 0 {
			offset = randomDuration(rng, 0, momentOffset)
		}
		stop := func() { agent.Signal(syscall.SIGSTOP) }
		if !atNextCall(e, kind, end, func() fake.Delay {
			if offset == 0 {
				stop()
			} else {
				time.AfterFunc(offset, stop)
			}
			return fake.Delay{}
		}) {
			return
		}
		f.logf("%s pauses for %v, call %d", agent.node.Name, d.Round(time.Millisecond), kind)
		if rng.IntN(3) == 0 {
			time.AfterFunc(randomDuration(rng, 0, d), func() { f.restartEngine(e, agent, false) })
		}
		f.pause(agent, d)
	})
}

// killAgents kills agents at one of their calls and starts them again.
func killAgents(f *Fleet, rng *rand.Rand, _ time.Duration) {
	f.forEachEngine(rng, func(e *fake.Target, agent *Process, rng *rand.Rand, end time.Time) {
		if atNextCall(e, randomCall(rng), end, func() fake.Delay { return fake.Delay{Request: randomDuration(rng, 0, momentOffset)} }) {
			f.logf("%s killed", agent.node.Name)
			f.restart(agent, randomDuration(rng, 0, agentPauseMin), true)
		}
	})
}
