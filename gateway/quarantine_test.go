package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/quarantine"
	"gotest.tools/v3/assert"
)

// crashes returns a handler under which the target ends: nothing listens any more, and the
// connection breaks.
func crashes(x **target) http.HandlerFunc {
	return func(http.ResponseWriter, *http.Request) {
		(*x).Listener.Close()
		panic(http.ErrAbortHandler)
	}
}

// crashing returns targets that end under a request whose body says so.
func crashing(t *testing.T, n int) []*target {
	out := make([]*target, n)
	for i := range out {
		crash := crashes(&out[i])
		out[i] = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Header.Get("Crash") != "":
				crash(w, r)
			case strings.HasPrefix(r.URL.Path, "/stream/"):
				events(2, 2)(w, r)
			default:
				ok(w, r)
			}
		})
	}
	return out
}

func reachedBy(targets []*target) (n int) {
	for _, x := range targets {
		n += x.count()
	}
	return n
}

// A request that ends targets is sent to three, whatever its attempt's ID, and then
// answered at once with a status that callers do not repeat it after. Other requests, also
// of the same caller on the same path, are served.
func TestRequestThatEndsTargetsIsSentNoMore(t *testing.T) {
	for _, route := range []string{"safe", "unsafe", "stream"} {
		targets := crashing(t, 6)
		f := newFront(t, targets...)
		var last answer
		for i := range 8 {
			last = f.call(http.MethodPost, "/"+route+"/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", i))
			assert.NilError(t, last.err)
		}
		assert.Equal(t, reachedBy(targets), 3, route)
		assert.Equal(t, last.status, http.StatusBadRequest, route)
		assert.Equal(t, last.header.Get("Retry-After"), "", route)
		assert.Assert(t, strings.Contains(last.body, string(ReasonEndsTargets)), last.body)
		assert.Equal(t, f.call(http.MethodPost, "/"+route+"/x", "another").status, http.StatusOK, route)
	}
}

// A stream under which targets end after its first event goes on elsewhere, as any that
// breaks, and counts all the same.
func TestStreamThatEndsTargetsMidway(t *testing.T) {
	targets := make([]*target, 6)
	for i := range targets {
		targets[i] = newTarget(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Crash") != "" {
				targets[i].Listener.Close()
				events(9, 1)(w, r)
			}
			events(9, 9)(w, r)
		})
	}
	f := newFront(t, targets...)
	call := func(id string) answer { return f.call(http.MethodPost, "/stream/x", "the one", "Crash", "1", "Id", id) }
	assert.Equal(t, call("first").body, wantEvents(2), "two targets")
	assert.Equal(t, call("second").body, wantEvents(1), "the third")
	for range 3 {
		assert.Equal(t, call("later").status, http.StatusBadRequest)
	}
	assert.Equal(t, reachedBy(targets), 3)
	assert.Equal(t, f.call(http.MethodPost, "/stream/x", "another").body, wantEvents(9))
}

// Entries that know the same table refuse what another has seen.
func TestEntriesShareWhatEndsTargets(t *testing.T) {
	targets := crashing(t, 12)
	known := quarantine.NewTable()
	var fronts []*front
	for range 4 {
		f := newFront(t, targets...)
		f.gateway.cfg.Crashes, f.gateway.endings.table = known, known
		fronts = append(fronts, f)
	}
	for i := range 12 {
		fronts[i%len(fronts)].call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", i))
	}
	assert.Equal(t, reachedBy(targets), 3)
}

// When all that knew are gone, entries and agents, it is learned again at the same price.
func TestWhatIsForgottenIsLearnedAgainAtTheSamePrice(t *testing.T) {
	targets := crashing(t, 12)
	for life := 1; life <= 2; life++ {
		f := newFront(t, targets[6*(life-1):6*life]...)
		for i := range 8 {
			f.call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", life, i))
		}
		assert.Equal(t, reachedBy(targets), 3*life)
	}
}

// It arrives at all entries at the same moment, before any knows of an end. No attempt has
// more sends than its route allows, and no later one has any.
func TestArrivalsAtTheSameMoment(t *testing.T) {
	const entries, attempts = 4, 2
	targets := crashing(t, 12)
	known := quarantine.NewTable()
	var fronts []*front
	var wait sync.WaitGroup
	for i := range entries {
		f := newFront(t, targets...)
		f.gateway.cfg.Crashes, f.gateway.endings.table = known, known
		f.gateway.cfg.Domain = fmt.Sprint(i) // each has a target of its own that it prefers
		fronts = append(fronts, f)
		wait.Go(func() { f.call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", fmt.Sprint("r", i)) })
	}
	wait.Wait()
	reached := reachedBy(targets)
	t.Logf("sent %d times", reached)
	assert.Assert(t, reached <= entries*attempts, "%d", reached)
	for _, f := range fronts {
		f.call(http.MethodPost, "/safe/x", "the one", "Crash", "1", "Id", "later")
	}
	assert.Equal(t, reachedBy(targets), reached)
}

// Connections that break while the target lives on are no end of it.
func TestResetsAreNoEnds(t *testing.T) {
	targets := []*target{newTarget(t, abort), newTarget(t, abort), newTarget(t, abort), newTarget(t, abort), newTarget(t, abort)}
	f := newFront(t, targets...)
	for i := range 10 {
		a := f.call(http.MethodPost, "/unsafe/x", "the same", "Id", fmt.Sprint("r", i))
		assert.Equal(t, a.status, http.StatusBadGateway)
	}
	assert.Equal(t, reachedBy(targets), 10)
}

// A target that was leaving ends by plan, also with requests at work.
func TestPlannedEndsDoNotCount(t *testing.T) {
	targets := crashing(t, 5)
	f := newFront(t, targets...)
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

// leaveAndCrash returns a handler of the k-th target under which it says that it leaves,
// and ends.
func leaveAndCrash(f *front, list []*fleet.Instance, k int, x **target) http.HandlerFunc {
	crash := crashes(x)
	return func(w http.ResponseWriter, r *http.Request) {
		left := *list[k]
		left.Draining = true
		list[k] = &left
		f.gateway.book.Apply(list, f.gateway.Config().Services)
		crash(w, r)
	}
}

// Before a target stands something that takes connections although it has ended. Its next
// life shows that.
func TestEndThatTheNextLifeShows(t *testing.T) {
	var targets []*target
	for range 5 {
		targets = append(targets, newTarget(t, abort))
	}
	f := newFront(t, targets...)
	for i := range 12 { // one that fails is left for the next after a few
		f.call(http.MethodPost, "/unsafe/x", "the one", "Id", fmt.Sprint("r", i))
	}
	assert.Assert(t, targets[2].count() > 0)
	var next []*fleet.Instance
	for i, x := range targets {
		next = append(next, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), StartMs: 7, Service: "s", Addr: x.addr(), Slots: 100, Revision: 9})
	}
	f.gateway.endings.listed(next)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "the one").status, http.StatusBadGateway, "the life before has no known birth")
	for _, i := range next {
		i.ID += "-again"
	}
	f.gateway.endings.listed(next)
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "the one").status, http.StatusBadRequest)
	assert.Equal(t, reachedBy(targets), 13)
}

// Nothing seemed to listen, but the same life answers again.
func TestTargetThatAnswersAgainHadNotEnded(t *testing.T) {
	x := newTarget(t, ok)
	f := newFront(t, x)
	g := f.gateway
	i := fleet.Instance{ID: "i-0", Addr: refusing(t)}
	sent := time.Now()
	assert.Assert(t, g.endings.lost(t.Context(), i, quarantine.Fingerprint{1}, sent, sent))
	n, _ := g.cfg.Crashes.Changes(0, 1)
	assert.Equal(t, len(n.Crashes), 1)
	g.endings.answered(i, sent.Add(time.Second))
	n, _ = g.cfg.Crashes.Changes(0, 1)
	assert.Assert(t, n.Crashes[0].Void)
}

// Half a minute after the last end one request of the content is let through. It ends well,
// and so do all after it.
func TestContentThatIsTriedAgain(t *testing.T) {
	x := newTarget(t, ok)
	f := newFront(t, x)
	content := f.gateway.cfg.Hasher.Fingerprint(quarantine.Content{Caller: "blue", Method: http.MethodPost, Host: "h.example", URI: "/safe/x", Body: []byte("b")})
	for i := range 3 {
		at := time.Now().Add(-time.Minute + time.Duration(i)*time.Second)
		f.gateway.cfg.Crashes.RecordCrashes(time.Now(), quarantine.Crash{Content: content, Life: quarantine.Life{Target: fmt.Sprint(i)}, At: at})
	}
	f.gateway.cfg.Probes = func(quarantine.Fingerprint) bool { return false }
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusBadRequest)
	f.gateway.cfg.Probes = func(quarantine.Fingerprint) bool { return true }
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
	f.gateway.cfg.Probes = func(quarantine.Fingerprint) bool { return false }
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
	assert.Equal(t, x.count(), 2)
}

// refusing returns an address that nothing listens at.
func refusing(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ln.Close())
	return ln.Addr().String()
}
