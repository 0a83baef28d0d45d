package agent

import (
	"sync"
	"testing"
	"time"

	"github.com/springgate/springgate/admission"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intake"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/rollout"
	"gotest.tools/v3/assert"
)

// A host's machine was suspended for longer than its permit to switch lasts. The permit
// had been given to another host meanwhile, and both engines were out of service at once.
func TestSuspension(t *testing.T) {
	for _, d := range []time.Duration{rollout.DefaultLease, 60 * time.Second} {
		machine := clocktest.New(t)
		p := newPermits(Config{}, nil, nil)
		p.granted, p.held = true, true
		p.renewed()
		assert.Assert(t, p.fresh(p.granted))
		machine.Suspend(d)
		assert.Check(t, !p.fresh(p.granted), "after %v", d)
	}
}

// A request that waited for its turn while the machine was suspended began long after its
// caller's time was over, and took the place of one that had time left. One that ran went
// on as much too long.
func TestCallersTimeCountsASuspension(t *testing.T) {
	const timeout = 2 * time.Second
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		machine := clocktest.New(t)
		r := newRequests(Config{}, nil, nil, &sync.WaitGroup{})
		r.intake.Configure(clock.Now(), admission.Limits{Concurrency: 1, Queue: 10}, []admission.TeamLimits{{Name: "blue"}})
		host := intake.HostState{HasIntent: true, Awake: true, Ready: true, Service: "s"}
		arrive := func(try uint16) begun {
			return r.admit(host, &peer.Dispatch{Attempt: peer.Attempt{Try: try}, Service: "s", Team: "blue", TimeoutMs: timeout.Milliseconds()}, false)
		}
		runs, waits := arrive(1), arrive(2)
		assert.Equal(t, runs.Action, intake.Run)
		assert.Equal(t, waits.Action, intake.Wait)
		machine.Suspend(d)
		r.tick()
		select {
		case refused := <-waits.work.verdict:
			assert.Check(t, refused.Reason == outcome.DeadlineExceeded, "%v", refused)
		default:
			t.Errorf("still waits after a suspension of %v", d)
		}
		assert.Check(t, r.works[idempotency.AttemptID{Try: 2}] == nil)
		assert.Check(t, clock.Until(runs.work.deadline) <= 0, "runs on for %v", clock.Until(runs.work.deadline))
	}
}
