package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/springgate/springgate/fleet"
	"gotest.tools/v3/assert"
)

// Guards against targets that get no requests for the rest of their lives after one came too early.
func TestTargetThatWasAskedTooEarlyServesLater(t *testing.T) {
	var loaded atomic.Bool
	x := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if !loaded.Load() {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		okHandler(w, r)
	})
	f := newTestGateway(t, x)
	assert.Equal(t, f.call(http.MethodGet, "/safe/x", "").status, http.StatusServiceUnavailable)
	loaded.Store(true)
	f.gateway.balancer.Apply([]*fleet.Instance{{ID: "i-0", Service: "s", Addr: x.addr(), Domain: "0", Slots: 100, Revision: 2}}, f.gateway.Config().Services)
	assert.Equal(t, f.call(http.MethodGet, "/safe/x", "").status, http.StatusOK)
}
