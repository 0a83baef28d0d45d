package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock/clocktest"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/quarantine"
	"github.com/springgate/springgate/revision"
	"gotest.tools/v3/assert"
)

// crashHandler returns a handler that simulates a crash of the target: its listener is
// closed and the connection breaks.
func crashHandler(x **target) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		(*x).Listener.Close()
		panic(http.ErrAbortHandler)
	}
}

// newCrashingTargets returns targets that crash on a request with the header Crash.
func newCrashingTargets(t *testing.T, n int) []*target {
	out := make([]*target, n)
	for i := range out {
		crash := crashHandler(&out[i])
		out[i] = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Header.Get("Crash") != "":
				crash(w, r)
			case strings.HasPrefix(r.URL.Path, "/stream/"):
				streamHandler(2, 2)(w, r)
			default:
				okHandler(w, r)
			}
		})
	}
	return out
}

func totalRequests(targets []*target) (n int) {
	for _, x := range targets {
		n += x.count()
	}
	return n
}

// A request that crashes targets is sent to three of them, whatever the ID of the attempt,
// and is then answered at once with a status that callers do not retry. Other requests are
// served, including those of the same caller on the same path.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		targets := newCrashingTargets(t, 6)
		f := newTestGateway(t, targets...)
		var last answer
		for i := range 8 {
			last = f.call(http.MethodPost, "/"+route+"/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", i))
			assert.NilError(t, last.err)
		}
		assert.Equal(t, totalRequests(targets), 3, route)
		assert.Equal(t, last.status, http.StatusBadRequest, route)
		assert.Equal(t, last.header.Get("Retry-After"), "", route)
		assert.Assert(t, strings.Contains(last.body, string(ReasonCrashesTargets)), last.body)
		assert.Equal(t, f.call(http.MethodPost, "/"+route+"/x", "another").status, http.StatusOK, route)
	}
}

// A stream whose target crashes after its first event is resumed at another target, as any
// broken stream is, and the crash counts nevertheless.
func TestStreamThatCrashesTargetsMidway(t *testing.T) {
	targets := make([]*target, 6)
	for i := range targets {
		targets[i] = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Crash") != "" {
				targets[i].Listener.Close()
				streamHandler(9, 1)(w, r)
			}
			streamHandler(9, 9)(w, r)
		})
	}
	f := newTestGateway(t, targets...)
	call := func(id string) answer { return f.call(http.MethodPost, "/stream/x", "the one", "Crash", "1", "Id", id) }
	assert.Equal(t, call("first").body, wantEvents(2), "two targets")
	assert.Equal(t, call("second").body, wantEvents(1), "the third")
	for range 3 {
		assert.Equal(t, call("later").status, http.StatusBadRequest)
	}
	assert.Equal(t, totalRequests(targets), 3)
	assert.Equal(t, f.call(http.MethodPost, "/stream/x", "another").body, wantEvents(9))
}

// Entries with a shared table refuse a request whose crashes another entry has observed.
func TestEntriesShareCrashes(t *testing.T) {
	targets := newCrashingTargets(t, 12)
	table := quarantine.NewTable()
	var gateways []*testGateway
	for range 4 {
		f := newTestGateway(t, targets...)
		f.gateway.cfg.Crashes, f.gateway.crashDetector.table = table, table
		gateways = append(gateways, f)
	}
	for i := range 12 {
		gateways[i%len(gateways)].call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", i))
	}
	assert.Equal(t, totalRequests(targets), 3)
}

// If no entry or agent has the crash records any more, a request is quarantined again after
// the same number of crashes, three.
func TestRequestIsQuarantinedAgainAfterCrashRecordsAreLost(t *testing.T) {
	targets := newCrashingTargets(t, 12)
	for round := 1; round <= 2; round++ {
		f := newTestGateway(t, targets[6*(round-1):6*round]...)
		for i := range 8 {
			f.call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", round, i))
		}
		assert.Equal(t, totalRequests(targets), 3*round)
	}
}

// The same request arrives at all entries at once, before any of them has observed a
// crash. No attempt is sent to more targets than its route allows, and later attempts are
// not sent at all.
func TestSimultaneousArrivals(t *testing.T) {
	const entries, attempts = 4, 2
	targets := newCrashingTargets(t, 12)
	table := quarantine.NewTable()
	var gateways []*testGateway
	var wait sync.WaitGroup
	for i := range entries {
		f := newTestGateway(t, targets...)
		f.gateway.cfg.Crashes, f.gateway.crashDetector.table = table, table
		f.gateway.cfg.Domain = fmt.Sprint(i) // each prefers a different target
		gateways = append(gateways, f)
		wait.Go(func() { f.call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", i)) })
	}
	wait.Wait()
	reached := totalRequests(targets)
	t.Logf("sent %d times", reached)
	assert.Assert(t, reached <= entries*attempts, "%d", reached)
	for _, f := range gateways {
		f.call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", "later")
	}
	assert.Equal(t, totalRequests(targets), reached)
}

// Connections that break while the target keeps running do not count as crashes.
func TestResetsAreNotCrashes(t *testing.T) {
	targets := []*target{newTarget(t, abortHandler), newTarget(t, abortHandler), newTarget(t, abortHandler), newTarget(t, abortHandler), newTarget(t, abortHandler)}
	f := newTestGateway(t, targets...)
	for i := range 10 {
		a := f.call(http.MethodPost, "/unsafe/x", "the same", "Id", fmt.Sprint("r", i))
		assert.Equal(t, a.status, http.StatusBadGateway)
	}
	assert.Equal(t, totalRequests(targets), 10)
}

// The end of a draining target is planned and no crash, even if requests are still running
// there.
func TestPlannedEndsDoNotCount(t *testing.T) {
	targets := newCrashingTargets(t, 5)
	f := newTestGateway(t, targets...)
	var list []*fleet.Instance
	for i, x := range targets {
		list = append(list, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: x.addr(), Slots: 100})
	}
	for _, i := range list {
		inner := i
		for k, x := range targets {
			if x.addr() == inner.Addr {
				x.Config.Handler = leaveAndCrash(f, list, k, &targets[k])
			}
		}
	}
	for i := range 5 {
		a := f.call(http.MethodPost, "/unsafe/x", "the same", "Id", fmt.Sprint("r", i))
		assert.Equal(t, a.status, http.StatusBadGateway, "request %d", i)
	}
}

// leaveAndCrash returns a handler of the k-th target that marks the target as draining and
// then crashes it.
func leaveAndCrash(f *testGateway, list []*fleet.Instance, k int, x **target) http.HandlerFunc {
	crash := crashHandler(x)
	return func(w http.ResponseWriter, r *http.Request) {
		left := *list[k]
		left.Draining = true
		list[k] = &left
		f.gateway.balancer.Apply(list, f.gateway.Config().Services)
		crash(w, r)
	}
}

// A proxy in front of a target accepts connections although the target has ended. The
// target's next incarnation in the list shows that the previous one has ended.
func TestCrashDetectedByTheNextIncarnation(t *testing.T) {
	var targets []*target
	for range 5 {
		targets = append(targets, newTarget(t, abortHandler))
	}
	f := newTestGateway(t, targets...)
	for i := range 12 { // a failing target is avoided after a few failures
		f.call(http.MethodPost, "/unsafe/x", "the one", "Id", fmt.Sprint("r", i))
	}
	assert.Assert(t, targets[2].count() > 0)
	var next []*fleet.Instance
	for i, x := range targets {
		next = append(next, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), StartMs: 7, Service: "s", Addr: x.addr(), Slots: 100, Revision: 9})
	}
	f.gateway.crashDetector.compareListed(next)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "the one").status, http.StatusBadGateway, "the start of the previous incarnation is not known")
	for _, i := range next {
		i.ID += "-again"
	}
	f.gateway.crashDetector.compareListed(next)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "the one").status, http.StatusBadRequest)
	assert.Equal(t, totalRequests(targets), 13)
}

// An incarnation that a restored list shows again is earlier than the one whose connections broke,
// and does not show that this one has ended.
func TestRestoredIncarnationIsNoCrash(t *testing.T) {
	x := newTarget(t, abortHandler)
	f := newTestGateway(t, x)
	f.gateway.balancer.Apply([]*fleet.Instance{{ID: "i-0", StartMs: 9000, Service: "s", Addr: x.addr(), Slots: 100, Revision: 9}}, f.gateway.Config().Services)
	f.call(http.MethodPost, "/unsafe/x", "the one")
	restored := &fleet.Instance{ID: "earlier", StartMs: 1000, Service: "s", Addr: x.addr(), Slots: 100, Revision: revision.New(1, 5)}
	f.gateway.crashDetector.compareListed([]*fleet.Instance{restored})
	for _, suspect := range f.gateway.crashDetector.suspects {
		assert.Assert(t, !suspect.ended)
	}
	assert.Equal(t, len(f.gateway.crashDetector.suspects), 1)
}

// The address of a target refused a connection, but the same incarnation (run of the
// target's process) answers again. The crash recorded for it must be retracted.
func TestTargetThatAnswersAgainHadNotCrashed(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newTestGateway(t, x)
	g := f.gateway
	i := fleet.Instance{ID: "i-0", Addr: unusedAddr(t)}
	sent := time.Now()
	assert.Assert(t, g.crashDetector.connectionLost(t.Context(), i, []quarantine.Fingerprint{{1}}, sent, sent))
	n, _ := g.cfg.Crashes.Changes(0, 1)
	assert.Equal(t, len(n.Crashes), 1)
	g.crashDetector.recordAnswer(i, sent.Add(time.Second))
	n, _ = g.cfg.Crashes.Changes(0, 1)
	assert.Assert(t, n.Crashes[0].Retracted)
}

// 30 s after the last crash one request of a quarantined content is let through as a
// probe. It succeeds, and so do all later ones.
func TestProbeOfQuarantinedContent(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newTestGateway(t, x)
	content := f.gateway.cfg.Hasher.Fingerprint(quarantine.Content{Caller: "blue", Method: http.MethodPost, Host: "h.example", URI: "/safe/x", Body: []byte("b")})
	for i := range 3 {
		at := time.Now().Add(-time.Minute + time.Duration(i)*time.Second)
		f.gateway.cfg.Crashes.RecordCrashes(at, quarantine.Crash{Subject: content, Incarnation: quarantine.Incarnation{Target: fmt.Sprint(i)}, At: at})
	}
	f.gateway.cfg.Probes = func(quarantine.Fingerprint) bool { return false }
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusBadRequest)
	f.gateway.cfg.Probes = func(quarantine.Fingerprint) bool { return true }
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
	f.gateway.cfg.Probes = func(quarantine.Fingerprint) bool { return false }
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
	assert.Equal(t, x.count(), 2)
}

// unusedAddr returns an address at which nothing listens.
func unusedAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	return ln.Addr().String()
}

// Guards against a final refusal on a suspicion: a request that was in flight at targets that crashed
// together is told to come back, and is sent once a probe may decide.
func TestSuspectedRequestIsToldToComeBack(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newTestGateway(t, x)
	content := f.gateway.cfg.Hasher.Fingerprint(quarantine.Content{Caller: "blue", Method: http.MethodPost, Host: "h.example", URI: "/safe/x", Body: []byte("b")})
	crashed := time.Now()
	for i := range 4 {
		f.gateway.cfg.Crashes.RecordCrashes(crashed, quarantine.Crash{Subject: content, Incarnation: quarantine.Incarnation{Target: fmt.Sprint(i)}, At: crashed, InFlight: 20 * time.Millisecond})
	}
	f.gateway.cfg.Crashes.SetTargets(12)
	held := f.call(http.MethodPost, "/safe/x", "b", "Left-Ms", "9000")
	assert.Equal(t, held.status, http.StatusServiceUnavailable)
	assert.Assert(t, held.header.Get("Retry-After") != "" && strings.Contains(held.body, string(ReasonSuspected)), held.body)
	assert.Equal(t, x.count(), 0)
	machine := clocktest.New(t)
	machine.Suspend(2 * time.Second)
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
}

// Guards against a crash that is reported without the time for which requests had been in flight.
func TestCrashReportsHowLongRequestsWereInFlight(t *testing.T) {
	e := newCrashDetector(quarantine.NewTable(), "host", logrus.New())
	i, now, subjects := fleet.Instance{ID: "i-0", Addr: newTarget(t, okHandler).addr()}, time.Now(), []quarantine.Fingerprint{{1}}
	for _, ago := range []time.Duration{3 * time.Second, time.Second} {
		e.table.BeginRun(now.Add(-ago), subjects)
	}
	e.recordLoss(i, subjects, now.Add(-3*time.Second), now)
	e.mu.Lock()
	e.markEnded(e.suspects[incarnationOf(i)], "test")
	e.mu.Unlock()
	u, _ := e.table.Changes(0, 1)
	assert.Equal(t, len(u.Crashes), 1)
	assert.Equal(t, u.Crashes[0].InFlight, 4*time.Second)
}
