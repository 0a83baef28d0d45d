package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/notice"
	"github.com/springgate/springgate/routing"
	"github.com/springgate/springgate/targetconn"
	"gotest.tools/v3/assert"
)

// testMaxParts is how many parts of a prompt testDialect lists.
const testMaxParts = 256

// testDialect uses header names of its own.
type testDialect struct{}

func (testDialect) Decode(h http.Header) Call {
	ms, _ := strconv.Atoi(h.Get("Left-Ms"))
	c := Call{ID: h.Get("Id"), Key: h.Get("Key"), LastEvent: h.Get("Last"), Remaining: time.Duration(ms) * time.Millisecond}
	if h.Get("Parts") != "" {
		c.Parts = strings.Split(h.Get("Parts"), ",")
		if len(c.Parts) > testMaxParts {
			c.Parts, c.MoreParts = c.Parts[:testMaxParts], true
		}
	}
	return c
}

func (testDialect) EncodeForward(h http.Header, s ForwardInfo) {
	h.Del("Key")
	h.Set("Team", s.Team)
	h.Set("Instance", s.Instance)
	h.Set("Left-Ms", fmt.Sprint(s.Remaining.Milliseconds()))
	h.Set("Last", s.LastEvent)
	if s.Ranked {
		h.Set("Rank", strconv.Itoa(s.Rank))
	}
}

func (testDialect) DecodeResponse(status int, h http.Header) ResponseInfo {
	info := ResponseInfo{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		OtherInstance: status == http.StatusMisdirectedRequest}
	if perS, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		info.Notice.Limit = notice.Limit{Declared: true, PerS: perS}
	}
	info.Notice.Leaving = h.Get("Leaving") != ""
	restMs, _ := strconv.Atoi(h.Get("Rest-Ms"))
	info.Notice.Backoff = time.Duration(restMs) * time.Millisecond
	return info
}

// grantAll grants all reservations.
type grantAll struct{}

func (grantAll) Reserve(context.Context, dispatch.Choice, int) dispatch.Reservation {
	return dispatch.ReservationGranted
}

// target is a fake target that records the requests that reached it.
type target struct {
	*httptest.Server
	mu     sync.Mutex
	seen   []*http.Request
	bodies []string
}

func newTarget(t *testing.T, h http.HandlerFunc) *target {
	x := &target{}
	x.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		x.mu.Lock()
		x.seen = append(x.seen, r)
		x.bodies = append(x.bodies, string(b))
		x.mu.Unlock()
		w.Header().Set("Id", r.Header.Get("Id"))
		h(w, r)
	}))
	t.Cleanup(x.Close)
	return x
}

func (x *target) addr() string { return x.Listener.Addr().String() }

func (x *target) count() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.seen)
}

func writeSigned(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Signed", "by the target")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

func okHandler(w http.ResponseWriter, r *http.Request) {
	writeSigned(w, http.StatusOK, "done "+r.URL.RequestURI())
}

func notRunHandler(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func failHandler(w http.ResponseWriter, _ *http.Request) {
	writeSigned(w, http.StatusInternalServerError, "broken")
}

// abortHandler closes the connection without a response.
func abortHandler(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func eventText(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }

// streamHandler streams up to most events after the last one that the caller has, and
// breaks off inside an event unless total is reached.
func streamHandler(total, most int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last"))
		w.Header().Set("Signed", "by the target")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		for i := last + 1; i <= total && i <= last+most; i++ {
			_, _ = io.WriteString(w, eventText(i))
			w.(http.Flusher).Flush()
		}
		if last+most < total {
			_, _ = io.WriteString(w, "id: 99\ndata: half an ev") // breaks off inside an event
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

const testTimeout = 30 * time.Second

func routes() []*fleet.Route {
	route := func(name string, kind fleet.RouteKind, timeout time.Duration) *fleet.Route {
		return &fleet.Route{Name: name, Host: "h.example", Prefix: "/" + name + "/", Kind: kind, Timeout: timeout,
			Objective: time.Second, MaxAttempts: 2, Shares: []fleet.Share{{Service: "s", Weight: 1}}, Resumable: true}
	}
	return []*fleet.Route{route("safe", fleet.Safe, testTimeout), route("unsafe", fleet.Unsafe, testTimeout),
		route("stream", fleet.Streaming, testTimeout), route("short", fleet.Unsafe, 50*time.Millisecond)}
}

// testGateway is a gateway in front of targets, the first of which is preferred.
type testGateway struct {
	t       *testing.T
	gateway *Gateway
	server  *httptest.Server
}

func newTestGateway(t *testing.T, targets ...*target) *testGateway {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	balancer := dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))
	var list []*fleet.Instance
	for i, x := range targets {
		// Targets after the first are in other failure domains, which makes them slightly
		// more costly.
		list = append(list, &fleet.Instance{ID: fmt.Sprintf("i-%d", i), Service: "s", Addr: x.addr(), Domain: fmt.Sprint(i), Slots: 100})
	}
	services := []*fleet.Service{{Name: "s"}}
	teams := map[string]*fleet.Team{"secret": {Name: "blue"}}
	cfg := fleet.NewConfig(1, routes(), services, teams, fleet.Limits{BodyBytes: 1 << 10})
	balancer.Apply(list, cfg.Services)
	g := New(Config{Domain: "0", RetryRatio: 1, RetryBurst: 100}, testDialect{}, balancer, targetconn.NewPool(targetconn.Config{}),
		grantAll{}, NewStats(metrics.NewRegistry()), log)
	g.SetConfig(cfg)
	f := &testGateway{t: t, gateway: g, server: httptest.NewServer(g)}
	t.Cleanup(f.server.Close)
	return f
}

// passRetryWindow makes the gateway one that has run for long enough to hold its whole retry budget.
func (f *testGateway) passRetryWindow() {
	f.gateway.startedAt = time.Now().Add(-routing.ReserveAt(time.Time{}, f.gateway.cfg.RetryWindow).Sub(time.Time{}))
}

// answer is the response that the caller received; err is set if it was cut off.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

func (f *testGateway) call(method, path, body string, header ...string) answer {
	f.t.Helper()
	r, err := http.NewRequestWithContext(f.t.Context(), method, f.server.URL+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	r.Host = "h.example"
	r.Header.Set("Id", "r1")
	r.Header.Set("Key", "secret")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}).Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, string(b), resp.Header, err}
}

func TestResponseIsRelayed(t *testing.T) {
	x := newTarget(t, okHandler)
	a := newTestGateway(t, x).call(http.MethodPost, "/unsafe/a%2Fb?q=1", "the body", "Team", "forged", "Left-Ms", "1000")
	assert.NilError(t, a.err)
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, a.body, "done /unsafe/a%2Fb?q=1")
	assert.Equal(t, a.header.Get("Signed"), "by the target")
	r := x.seen[0]
	assert.Equal(t, x.bodies[0], "the body")
	assert.Equal(t, r.Header.Get("Team"), "blue")
	assert.Equal(t, r.Header.Get("Key"), "")
	assert.Equal(t, r.Header.Get("Instance"), "i-0")
	left, err := strconv.Atoi(r.Header.Get("Left-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 1000, "left %d", left)
}

// For each way in which a request can end at the first target: the status that the caller
// gets, and whether another target may be tried.
func TestOutcomes(t *testing.T) {
	unsignedOK := func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "spoilt") }
	encoded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "gzip")
		writeSigned(w, http.StatusOK, "spoilt")
	}
	misdirected := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	wrongID := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		writeSigned(w, http.StatusOK, "another's answer")
	}
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		writeSigned(w, http.StatusOK, "cut")
	}
	for _, c := range []struct {
		name      string
		first     http.HandlerFunc
		route     string
		want      int
		wantOther int // requests that reach the second target
	}{
		{"unsafe, not run", notRunHandler, "unsafe", http.StatusOK, 1},
		{"unsafe, other instance", misdirected, "unsafe", http.StatusOK, 1},
		{"unsafe, connection lost", abortHandler, "unsafe", http.StatusBadGateway, 0},
		{"unsafe, failed", failHandler, "unsafe", http.StatusInternalServerError, 0},
		{"unsafe, unsigned success", unsignedOK, "unsafe", http.StatusBadGateway, 0},
		{"unsafe, encoded", encoded, "unsafe", http.StatusBadGateway, 0},
		{"unsafe, cut", cut, "unsafe", http.StatusBadGateway, 0},
		{"unsafe, answer to another", wrongID, "short", http.StatusGatewayTimeout, 0},
		{"safe, not run", notRunHandler, "safe", http.StatusOK, 1},
		{"safe, connection lost", abortHandler, "safe", http.StatusOK, 1},
		{"safe, failed", failHandler, "safe", http.StatusOK, 1},
		{"safe, cut", cut, "safe", http.StatusOK, 1},
		{"safe, unsigned success", unsignedOK, "safe", http.StatusOK, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			first, second := newTarget(t, c.first), newTarget(t, okHandler)
			a := newTestGateway(t, first, second).call(http.MethodPost, "/"+c.route+"/x", "b")
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, c.want)
			assert.Equal(t, second.count(), c.wantOther)
			if c.want != http.StatusOK && c.want != http.StatusInternalServerError {
				assert.Equal(t, a.header.Get("Signed"), "", "responses of the gateway are not signed")
			}
		})
	}
}

// A status that means that the request did not run is returned only if no target was
// reached, or each stated that it did not run it.
func TestRefusalStatusIsAccurate(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, notRunHandler)
	a := newTestGateway(t, x, y).call(http.MethodPost, "/unsafe/x", "b")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, x.count()+y.count(), 2, "attempts are bounded")

	x, y = newTarget(t, abortHandler), newTarget(t, notRunHandler)
	a = newTestGateway(t, x, y).call(http.MethodPost, "/safe/x", "b")
	assert.Equal(t, a.status, http.StatusBadGateway, "the first target may have run it")
}

func TestFailureOfTheLastTargetIsRelayed(t *testing.T) {
	x, y := newTarget(t, failHandler), newTarget(t, failHandler)
	a := newTestGateway(t, x, y).call(http.MethodGet, "/safe/x", "")
	assert.Equal(t, a.status, http.StatusInternalServerError)
	assert.Equal(t, a.body, "broken")
}

func TestUnreachableTargetIsNotCountedAsAttempt(t *testing.T) {
	x, y := newTarget(t, okHandler), newTarget(t, okHandler)
	f := newTestGateway(t, x, y)
	x.Close()
	a := f.call(http.MethodPost, "/unsafe/x", "b")
	assert.Equal(t, a.status, http.StatusOK)
}

func TestGatewayTimeoutAtTheTimeoutOfTheRoute(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	x := newTarget(t, func(http.ResponseWriter, *http.Request) { <-release })
	a := newTestGateway(t, x).call(http.MethodPost, "/short/x", "b")
	assert.Equal(t, a.status, http.StatusGatewayTimeout)
}

func TestResponsesOfTheGateway(t *testing.T) {
	x := newTarget(t, okHandler)
	f := newTestGateway(t, x)
	assert.Equal(t, f.call(http.MethodGet, "/none/x", "").status, http.StatusNotFound)
	assert.Equal(t, f.call(http.MethodGet, "/safe", "").status, http.StatusNotFound, "a prefix ends with its slash")
	assert.Equal(t, f.call(http.MethodGet, "/safe/x", "", "Key", "revoked").status, http.StatusUnauthorized)
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", strings.Repeat("x", 2<<10)).status, http.StatusRequestEntityTooLarge)
	f.gateway.config.Store(nil)
	assert.Equal(t, f.call(http.MethodGet, "/none/x", "").status, http.StatusServiceUnavailable, "no configuration yet")
	assert.Equal(t, x.count(), 0)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newTestGateway(t, newTarget(t, okHandler))
	assert.Assert(t, !f.gateway.SetConfig(fleet.NewConfig(1, nil, nil, nil, fleet.Limits{})))
	assert.Assert(t, f.gateway.SetConfig(fleet.NewConfig(7, routes(), nil, nil, fleet.Limits{})))
	assert.Assert(t, !f.gateway.SetConfig(fleet.NewConfig(6, nil, nil, nil, fleet.Limits{})))
	assert.Equal(t, f.gateway.Config().Version, int64(7))
}

func TestDrainingClosesConnectionsAfterTheResponse(t *testing.T) {
	f := newTestGateway(t, newTarget(t, okHandler))
	assert.Assert(t, f.gateway.Ready())
	f.gateway.Drain(time.Now().Add(time.Minute))
	assert.Assert(t, !f.gateway.Ready())
	r := httptest.NewRequest(http.MethodGet, "http://h.example/safe/x", nil)
	r.Header.Set("Key", "secret")
	w := httptest.NewRecorder()
	f.gateway.ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusOK, "requests are still served")
	assert.Equal(t, w.Header().Get("Connection"), "close")
}

func wantEvents(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(eventText(i))
	}
	return b.String()
}

func TestStreamIsRelayed(t *testing.T) {
	a := newTestGateway(t, newTarget(t, streamHandler(5, 5))).call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, wantEvents(5))
}

// A stream that breaks inside an event is resumed at another target after the last
// complete event.
func TestBrokenStreamIsResumedElsewhere(t *testing.T) {
	x, y := newTarget(t, streamHandler(7, 3)), newTarget(t, streamHandler(7, 7))
	a := newTestGateway(t, x, y).call(http.MethodPost, "/stream/x", "b")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, wantEvents(7))
	assert.Equal(t, y.seen[0].Header.Get("Last"), "3")
	assert.Equal(t, y.seen[0].Header.Get("Instance"), "i-1")
}

func TestCallerResumesAStream(t *testing.T) {
	a := newTestGateway(t, newTarget(t, streamHandler(5, 5))).call(http.MethodPost, "/stream/x", "b", "Last", "3")
	assert.Equal(t, a.body, eventText(4)+eventText(5))
}

// A stream that cannot be completed must not look complete.
func TestStreamThatCannotBeCompletedIsBrokenOff(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{"breaks too": streamHandler(9, 2), "fails": failHandler, "refuses": notRunHandler} {
		a := newTestGateway(t, newTarget(t, streamHandler(9, 3)), newTarget(t, second)).call(http.MethodPost, "/stream/x", "b")
		assert.Assert(t, a.err != nil, name)
		assert.Assert(t, strings.HasPrefix(wantEvents(9), a.body), name)
	}
}

func TestLargeResponseBrokenMidwayIsNotContinuedByAnotherTarget(t *testing.T) {
	const size = 600 << 10
	respond := func(w http.ResponseWriter, body string) {
		w.Header().Set("Content-Length", fmt.Sprint(size))
		writeSigned(w, http.StatusOK, body)
	}
	breaking := newTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		respond(w, strings.Repeat("a", size/2))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	whole := newTarget(t, func(w http.ResponseWriter, _ *http.Request) { respond(w, strings.Repeat("b", size)) })
	a := newTestGateway(t, breaking, whole).call(http.MethodGet, "/safe/x", "")
	assert.Assert(t, a.err != nil)
	assert.Equal(t, strings.Count(a.body, "b"), 0)
	assert.Equal(t, whole.count(), 0)
}

// If the caller disconnects, the connection to the target is closed at once.
func TestDisconnectOfCallerCancelsTheRequest(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	x := newTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	f := newTestGateway(t, x)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.server.URL+"/safe/x", nil)
	assert.NilError(t, err)
	r.Host = "h.example"
	r.Header.Set("Key", "secret")
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(r)
	assert.ErrorIs(t, err, context.Canceled)
	<-ended
}

func TestRetryBudgetIsShared(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, notRunHandler)
	f := newTestGateway(t, x, y)
	f.passRetryWindow()
	f.gateway.cfg.RetryRatio, f.gateway.cfg.RetryBurst = 0.01, 8
	f.gateway.SetEntries(4) // this entry's share of the 8 retries is 2
	for range 10 {
		f.call(http.MethodPost, "/unsafe/x", "b")
	}
	assert.Equal(t, x.count()+y.count(), 12)
}

// Guards against a retry budget that is refilled by each change in the number of entries,
// as happens during a network partition or when hosts are busy. The total number of
// retries then had no bound.
func TestRetryBudgetSurvivesChangesOfTheEntries(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, notRunHandler)
	f := newTestGateway(t, x, y)
	f.passRetryWindow()
	f.gateway.cfg.RetryRatio, f.gateway.cfg.RetryBurst = 0.01, 8
	f.gateway.SetEntries(4) // this entry's share of the 8 retries is 2
	for i := range 10 {
		f.call(http.MethodPost, "/unsafe/x", "b")
		f.gateway.SetEntries(3 + i%2)
	}
	assert.Equal(t, x.count()+y.count(), 12)
}

// Guards against restarts of an entry that each come with a full retry budget.
func TestRestartsDoNotRenewTheRetryBudget(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, notRunHandler)
	const restarts, calls, share, ratio = 5, 10, 2, 0.01
	for range restarts {
		f := newTestGateway(t, x, y)
		f.gateway.cfg.RetryRatio, f.gateway.cfg.RetryBurst = ratio, 4*share
		f.gateway.SetEntries(4)
		for range calls {
			f.call(http.MethodPost, "/unsafe/x", "b")
		}
	}
	retries := x.count() + y.count() - restarts*calls
	assert.Assert(t, float64(retries) <= share+restarts*calls*ratio, "%d retries", retries)
}

// Guards against an entry that has not counted the others yet, and holds the retries of all.
func TestEntryThatKnowsNoOthersHoldsOneRetry(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, notRunHandler)
	f := newTestGateway(t, x, y)
	f.passRetryWindow()
	f.gateway.cfg.RetryRatio, f.gateway.cfg.RetryBurst = 0.01, 8
	for range 10 {
		f.call(http.MethodPost, "/unsafe/x", "b")
	}
	assert.Assert(t, x.count()+y.count() <= 11, "%d sends", x.count()+y.count())
}

// With fewer entries, each may accumulate more retries from its own requests.
func TestRetryBudgetGrowsWithTheShareOfTheEntry(t *testing.T) {
	f := newTestGateway(t, newTarget(t, okHandler))
	f.gateway.cfg.RetryRatio, f.gateway.cfg.RetryBurst = 1, 8
	f.gateway.SetEntries(4)
	for f.gateway.budget("s").Spend(time.Now()) {
	}
	f.gateway.SetEntries(1)
	for range 20 {
		f.gateway.budget("s").Success()
	}
	n := 0
	for f.gateway.budget("s").Spend(time.Now()) {
		n++
	}
	assert.Equal(t, n, 8)
}

// A request that may wait longer than others wins the places at targets that the others
// give up, so the longest wait of all requests is derived from the tightest objective of
// their service's callers.
func TestMaxWaitFollowsTheTightestObjective(t *testing.T) {
	g := &Gateway{cfg: Config{}.applyDefaults()}
	x := &exchange{g: g, route: &fleet.Route{Objective: 1500 * time.Millisecond}, tightest: 250 * time.Millisecond, start: time.Now(),
		deadline: time.Now().Add(time.Minute)}
	assert.Assert(t, x.maxWait() <= 25*time.Millisecond)
}

func TestTimeoutsFollowTheForecast(t *testing.T) {
	a := &attempt{x: &exchange{g: &Gateway{cfg: Config{}.applyDefaults()}, route: &fleet.Route{Kind: fleet.Streaming, MaxGap: 300 * time.Millisecond}}}
	assert.Equal(t, a.responsiveLimit(), 2200*time.Millisecond)
	assert.Equal(t, a.stallTimeout(), 900*time.Millisecond)
	a.choice.Forecast = dispatch.Forecast{FirstEvent: 2 * time.Second, Gap: time.Second}
	assert.Equal(t, a.responsiveLimit(), 8*time.Second)
	assert.Equal(t, a.stallTimeout(), 3*time.Second)
}

func TestEventReader(t *testing.T) {
	read := func(s string) (ids []string, err error) {
		e := eventReader{r: bufio.NewReaderSize(strings.NewReader(s), 16), memory: &allocation{}}
		for {
			ev, err := e.next()
			if err != nil {
				return ids, err
			}
			ids = append(ids, ev.id)
		}
	}
	ids, err := read("id: 1\ndata: a long line beyond the buffer's size\n\nid:2\r\ndata: x\r\n\r\n: comment\n\n")
	assert.ErrorIs(t, err, io.EOF)
	assert.DeepEqual(t, ids, []string{"1", "2", ""})
	ids, err = read("id: 1\n\nid: 2\nda")
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.DeepEqual(t, ids, []string{"1"})
}
