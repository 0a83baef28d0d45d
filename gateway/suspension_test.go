package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// Guards against clocks that stop while the machine is suspended with requests in flight.
// After the resume, requests whose time had expired were sent to targets with remaining
// time that they no longer had, and were not ended until the length of the suspension after
// their route's timeout. The timeout of a version announced before the suspension was
// extended by as much.
func TestSuspension(t *testing.T) {
	for _, d := range []time.Duration{3 * time.Second, 10 * time.Second, 60 * time.Second} {
		machine := clocktest.New(t)
		first := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			machine.Suspend(d)
			notRunHandler(w, r)
		})
		second := newTarget(t, okHandler)
		a := newTestGateway(t, first, second).call(http.MethodPost, "/safe/x", "b", "Left-Ms", "2500")
		assert.Check(t, second.count() == 0, "%v: sent after its deadline", d)
		assert.Check(t, a.status == http.StatusServiceUnavailable || a.status == http.StatusGatewayTimeout, "%v: status %d", d, a.status)

		release := make(chan struct{})
		held := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
			machine.Suspend(d)
			select {
			case <-release:
			case <-r.Context().Done():
			}
		})
		giveUp := time.AfterFunc(2*time.Second, func() { close(release) })
		a = newTestGateway(t, held).call(http.MethodPost, "/unsafe/x", "b", "Left-Ms", "2900")
		assert.Check(t, giveUp.Stop(), "%v: held beyond its deadline", d)
		assert.Check(t, a.status == http.StatusGatewayTimeout, "%v: status %d", d, a.status)

		announced := &assignment{model: &fleet.EngineModel{Model: "m"}, version: 2, since: clock.Now(), explicit: true,
			order: []string{agentOf("s").EngineAddr}}
		c := &Control{assignments: map[string]*assignment{"s": announced}, cfg: ControlConfig{VersionTimeout: time.Hour}}
		machine.Suspend(d)
		got, _ := c.Assignment(agentOf("s"))
		assert.Check(t, got.AgeMs >= d.Milliseconds(), "%v: version reported as announced %d ms ago", d, got.AgeMs)
	}
}

func agentOf(service string) peer.Presence {
	return peer.Presence{Service: service, EngineAddr: "10.0.0.1:1"}
}
