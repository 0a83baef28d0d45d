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

// Guards against a host that uses its permit to switch versions after its machine was
// suspended for longer than the lease. The issuer has then granted the permit to another
// host, and both engines would be out of service at the same time.
func TestPermitExpiresDuringSuspension(t *testing.T) {
	for _, d := range []time.Duration{rollout.DefaultLease, 60 * time.Second} {
		machine := clocktest.New(t)
		p := newPermits(Config{}, nil, nil)
		p.granted, p.registered = true, true
		p.recordRenewal()
		assert.Assert(t, p.fresh(p.granted))
		machine.Suspend(d)
		assert.Check(t, !p.fresh(p.granted), "permit still valid after a suspension of %v", d)
	}
}

// Guards against deadlines that do not include the time of a suspension of the machine. A
// queued request would then start after its deadline and occupy the slot of a request with
// time left, and a running request would continue past its deadline.
func TestDeadlineIncludesSuspension(t *testing.T) {
	const timeout = 2 * time.Second
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		machine := clocktest.New(t)
		r := newRequests(Config{}, nil, nil, &sync.WaitGroup{})
		r.intake.Configure(clock.Now(), admission.Limits{Concurrency: 1, Queue: 10}, []admission.TeamLimits{{Name: "blue"}})
		host := intake.HostState{HasIntent: true, Awake: true, Ready: true, Service: "s"}
		arrive := func(try uint16) beginResult {
			return r.admit(host, &peer.Dispatch{Attempt: peer.Attempt{Try: try}, Service: "s", Team: "blue", TimeoutMs: timeout.Milliseconds()}, false)
		}
		running, waiting := arrive(1), arrive(2)
		assert.Equal(t, running.Action, intake.Run)
		assert.Equal(t, waiting.Action, intake.Wait)
		machine.Suspend(d)
		r.tick()
		select {
		case refused := <-waiting.attempt.admissionResult:
			assert.Check(t, refused.Reason == outcome.DeadlineExceeded, "refused with %v", refused)
		default:
			t.Errorf("request still queued after a suspension of %v", d)
		}
		assert.Check(t, r.attempts[idempotency.AttemptID{Try: 2}] == nil)
		assert.Check(t, clock.Until(running.attempt.deadline) <= 0, "request may run for another %v", clock.Until(running.attempt.deadline))
	}
}
