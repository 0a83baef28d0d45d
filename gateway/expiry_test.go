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

// newEngines is a gateway before engines of which the i-th serves version i+1. Version
// 2 was named so long ago that version 1 may be begun for left.
func newEngines(t *testing.T, left time.Duration, engines ...*target) *front {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	const timeout = time.Hour
	book := dispatch.NewBalancer(dispatch.Config{VersionTimeout: timeout, VersionMargin: time.Nanosecond}, rand.New(rand.NewPCG(1, 2)))
	model := &fleet.EngineModel{Model: "m", Slots: 16, Step: time.Millisecond, PrefillRate: 1e6, StepsPerPass: 1, MeanPrompt: 100, MeanAnswer: 20, Layers: 1}
	var list []*fleet.Instance
	for i, x := range engines {
		list = append(list, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: x.addr(), Domain: fmt.Sprint(i), Slots: 16,
			Models: []fleet.ModelVersion{{Model: "m", Version: i + 1, Layers: 1}}})
	}
	cfg := fleet.NewConfig(1, routes(), []*fleet.Service{{Name: "s", Engine: model}}, map[string]*fleet.Team{"secret": {Name: "blue"}},
		fleet.Limits{BodyBytes: 1 << 10})
	book.Apply(list, cfg.Services)
	book.SetVersion(fleet.VersionTarget{Model: "m", Version: 2}, time.Now().Add(left-timeout))
	// No other clock than the version's ends an attempt.
	g := New(Config{Domain: "0", RetryRatio: 1, RetryBurst: 100, FirstEventTimeout: time.Hour, TakeBack: time.Nanosecond}, testDialect{}, book,
		targetconn.NewPool(targetconn.Config{}), granted{}, NewStats(metrics.NewRegistry()), log)
	g.SetConfig(cfg)
	f := &front{t: t, gateway: g, server: httptest.NewServer(g)}
	t.Cleanup(f.server.Close)
	return f
}

// A request that waits at an engine until the time of the engine's version is over would
// begin on a version that must not be served any more: one began 8.63 s after the newer
// one was named, where 8 s are allowed. It is taken back and served by another.
func TestRequestThatHasNotBegunIsTakenBackWhenItsVersionIsOver(t *testing.T) {
	left := make(chan struct{})
	waits := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(left)
	})
	serves := newTarget(t, events(3, 3))
	a := newEngines(t, 300*time.Millisecond, waits, serves).call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.body, eventText(1)+eventText(2)+eventText(3))
	<-left // the engine was told
	assert.Equal(t, serves.count(), 1)
}

// One that has begun goes on with the version that it began on, and one that another
// engine must not run too is left where it is.
func TestRequestThatHasBegunOrMayRunOnceIsNotTakenBack(t *testing.T) {
	over := make(chan struct{})
	const left = 200 * time.Millisecond
	begun := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "by the target")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, eventText(1))
		w.(http.Flusher).Flush()
		<-over
		_, _ = io.WriteString(w, eventText(2))
	})
	other := newTarget(t, events(3, 3))
	f := newEngines(t, left, begun, other)
	time.AfterFunc(2*left, func() { close(over) })
	a := f.call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, eventText(1)+eventText(2))

	answer := make(chan struct{})
	once := newTarget(t, func(w http.ResponseWriter, r *http.Request) {
		<-answer
		ok(w, r)
	})
	f = newEngines(t, left, once, other)
	time.AfterFunc(2*left, func() { close(answer) })
	a = f.call(http.MethodPost, "/unsafe/x", "b")
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, other.count(), 0)
}
