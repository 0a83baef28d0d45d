package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/targetconn"
	"gotest.tools/v3/assert"
)

// newVersionedGateway returns a gateway in front of engines, of which the i-th serves
// version i+1. Version 1 expires after left, since version 2 was announced long enough
// ago.
func newVersionedGateway(t *testing.T, left time.Duration, engines ...*target) *testGateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	const timeout = time.Hour
	balancer := dispatch.NewBalancer(dispatch.Config{VersionTimeout: timeout, VersionMargin: time.Nanosecond}, rand.New(rand.NewPCG(1, 2)))
	model := &fleet.EngineModel{Model: "m", Slots: 16, Step: time.Millisecond, PrefillRate: 1e6, StepsPerPass: 1, MeanPrompt: 100, MeanAnswer: 20, Layers: 1}
	var list []*fleet.Instance
	for i, x := range engines {
		list = append(list, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: x.addr(), Domain: fmt.Sprint(i), Slots: 16,
			Models: []fleet.ModelVersion{{Model: "m", Version: i + 1, Layers: 1}}})
	}
	cfg := fleet.NewConfig(1, routes(), []*fleet.Service{{Name: "s", Engine: model}}, map[string]*fleet.Team{"secret": {Name: "blue"}},
		fleet.Limits{BodyBytes: 1 << 10})
	balancer.Apply(list, cfg.Services)
	balancer.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, time.Now().Add(left-timeout))
	// All other timeouts are too long to end an attempt.
	g := New(Config{Domain: "0", RetryRatio: 1, RetryBurst: 100, FirstEventTimeout: time.Hour, CancelLead: time.Nanosecond}, testDialect{}, balancer,
		targetconn.NewPool(targetconn.Config{}), grantAll{}, NewStats(metrics.NewRegistry()), log)
	g.SetConfig(cfg)
	f := &testGateway{t: t, gateway: g, server: httptest.NewServer(g)}
	t.Cleanup(f.server.Close)
	return f
}

// Guards against a request that queues at an engine until the engine's version expires and
// then starts on a version that must not be served any more: one started 8.63 s after the
// newer version was announced, where 8 s are allowed. It must be cancelled and served by
// another engine.
func TestQueuedRequestIsRetriedWhenItsVersionExpires(t *testing.T) {
	cancelled := make(chan struct{})
	queueing := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	serving := newTarget(t, streamHandler(3, 3))
	a := newVersionedGateway(t, 300*time.Millisecond, queueing, serving).call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.body, eventText(1)+eventText(2)+eventText(3))
	<-cancelled // the engine's connection was closed
	assert.Equal(t, serving.count(), 1)
}

// A request that has started completes on the version on which it started, and one that
// must not run on another engine is not cancelled.
func TestStartedOrUnsafeRequestIsNotCancelledWhenItsVersionExpires(t *testing.T) {
	expired := make(chan struct{})
	const left = 200 * time.Millisecond
	started := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "by the target")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventText(1))
		w.(http.Flusher).Flush()
		<-expired
		_, _ = io.WriteString(w, eventText(2))
	})
	other := newTarget(t, streamHandler(3, 3))
	f := newVersionedGateway(t, left, started, other)
	time.AfterFunc(2*left, func() { close(expired) })
	a := f.call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, eventText(1)+eventText(2))

	release := make(chan struct{})
	unsafe := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		okHandler(w, r)
	})
	f = newVersionedGateway(t, left, unsafe, other)
	time.AfterFunc(2*left, func() { close(release) })
	a = f.call(http.MethodPost, "/unsafe/x", "b")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, other.count(), 0)
}
