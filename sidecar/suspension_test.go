package sidecar

import (
	"testing"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// The machine of an agent is suspended while the agent waits for its turn. Guards against two
// failures: a wait that is extended by the suspension, beyond the deadline by which all engines
// must serve the version, and an order to load a piece that became corrupt during the suspension,
// if the pieces had been checked just before it.
func TestSuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		machine := clocktest.New(t)
		e := &fakeEngine{staged: map[int]string{}, serves: 1}
		// High age limits: only a suspension makes the checks too old.
		runSidecar(t, Config{VerifyAge: 10 * time.Second, OrderAge: 12 * time.Second}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
			s.Assign(clock.Now(), newAssignment(2, 1, 2)) // the last turn comes after 6.7 s
			time.Sleep(2 * time.Second)
			assert.Equal(t, e.orders, 0, "before this engine's turn")
			e.set(func() { e.staged[2] = "corrupt" })
			machine.Suspend(d)
			time.Sleep(max(5*time.Second-d, time.Second))
			assert.Check(t, published().Version == 2, "after a suspension of %v", d)
			assert.Check(t, d < 10*time.Second || !e.loadedInvalid, "after a suspension of %v", d)
		})
	}
}
