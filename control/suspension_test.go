package control

import (
	"testing"
	"time"

	"github.com/springgate/springgate/clock/clocktest"
	"gotest.tools/v3/assert"
)

// A process whose machine was suspended must detect the pause. Otherwise it acts on
// the state from before the suspension, including leases that have expired since.
func TestSuspension(t *testing.T) {
	machine := clocktest.New(t)
	f := startFleet(t, 3, 3, 1)
	defer f.close()
	f.publish(t, 3, 0)
	n := f.nodes[0]
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		pauses := n.count.pauses.Count()
		machine.Suspend(d)
		limit := time.Now().Add(4 * tickInterval)
		for n.count.pauses.Count() == pauses && time.Now().Before(limit) {
			time.Sleep(tickInterval / 4)
		}
		assert.Check(t, n.count.pauses.Count() > pauses, "suspended for %v", d)
	}
}
