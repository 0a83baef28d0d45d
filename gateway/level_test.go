package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/overload"
	"gotest.tools/v3/assert"
)

// testLevel refuses all requests of one rank that have not begun, and records what it is told.
type testLevel struct {
	refusedRank int

	mu               sync.Mutex
	asked            []overload.Request
	placed, unplaced []overload.Request
}

func (l *testLevel) Admit(_ time.Time, r overload.Request) overload.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = append(l.asked, r)
	if r.Class.Rank == l.refusedRank && r.Standing != overload.Begun {
		return overload.Decision{Limited: true, Fraction: 0.25}
	}
	return overload.Decision{Admitted: true, Limited: true, Fraction: 1}
}

func (l *testLevel) RecordPlaced(_ time.Time, r overload.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placed = append(l.placed, r)
}

func (l *testLevel) RecordUnplaced(_ time.Time, r overload.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unplaced = append(l.unplaced, r)
}

// newLevelGateway returns a gateway whose stream route is less urgent than the others and is refused.
func newLevelGateway(t *testing.T, targets ...*target) (*testGateway, *testLevel, *test.Hook) {
	t.Helper()
	f := newTestGateway(t, targets...)
	log, lines := test.NewNullLogger()
	level := &testLevel{refusedRank: 1}
	f.gateway.log, f.gateway.cfg.Level = log, level
	f.setRoutes(map[string]*fleet.Team{"secret": {Name: "blue"}})
	return f, level, lines
}

// setRoutes applies routes of which the stream route has a lower priority.
func (f *testGateway) setRoutes(teams map[string]*fleet.Team) {
	list := routes()
	for _, r := range list {
		if r.Name == "stream" {
			r.Priority = 5
		}
	}
	f.gateway.config.Store(fleet.NewConfig(2, list, []*fleet.Service{{Name: "s"}}, teams, fleet.Limits{BodyBytes: 1 << 10}))
}

func TestRequestOverTheShareIsRefused(t *testing.T) {
	x := newTarget(t, streamHandler(2, 2))
	f, level, lines := newLevelGateway(t, x)
	a := f.call(http.MethodPost, "/stream/x", "b", "Left-Ms", "3000")
	assert.Equal(t, a.status, http.StatusServiceUnavailable)
	assert.Equal(t, a.body, "{\"status\":503,\"reason\":\"over_share\"}\n")
	after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0 && after <= 1, "a third of the time left")
	assert.Equal(t, x.count(), 0)
	assert.Equal(t, len(level.placed)+len(level.unplaced), 0)
	e := lines.LastEntry()
	assert.Equal(t, e.Message, "Not answered.")
	assert.DeepEqual(t, []any{e.Data["reason"], e.Data["rank"], e.Data["team"], e.Data["fraction"]}, []any{ReasonOverShare, 1, "blue", 0.25})
	assert.Equal(t, f.gateway.stats.refused[ReasonOverShare].Count(), int64(1))
	assert.Assert(t, f.gateway.stats.registry.Get("gateway.over_share.s.rank_1") != nil)
}

func TestUrgentRequestIsAdmittedAndCounted(t *testing.T) {
	x, y := newTarget(t, notRunHandler), newTarget(t, okHandler)
	f, level, _ := newLevelGateway(t, x, y)
	want := overload.Request{Service: "s", Class: overload.Class{Rank: 0, Team: "blue"}, Work: f.gateway.balancer.Work(time.Now(), "s", 0)}
	assert.Equal(t, f.call(http.MethodPost, "/unsafe/x", "b").status, http.StatusOK)
	assert.Equal(t, y.count(), 1, "the second attempt")
	assert.DeepEqual(t, level.asked, []overload.Request{want})
	assert.DeepEqual(t, level.placed, []overload.Request{want})
	assert.Equal(t, len(level.unplaced), 0)
}

func TestResumedStreamIsAdmitted(t *testing.T) {
	f, level, _ := newLevelGateway(t, newTarget(t, streamHandler(5, 5)))
	a := f.call(http.MethodPost, "/stream/x", "b", "Last", "3")
	assert.Equal(t, a.body, eventText(4)+eventText(5))
	assert.Equal(t, level.asked[0].Standing, overload.Begun)
	f.call(http.MethodPost, "/safe/x", "b", "Last", "3")
	assert.Equal(t, level.asked[1].Standing, overload.Fresh, "only a stream can have begun")
}

func TestRetryOfARefusedCallerIsRecognized(t *testing.T) {
	f, level, _ := newLevelGateway(t, newTarget(t, okHandler))
	f.call(http.MethodPost, "/safe/x", "b", "Left-Ms", "9000")
	f.call(http.MethodPost, "/safe/x", "b", "Left-Ms", "5000")
	f.gateway.cfg.Off = f.gateway.cfg.Off.With(mechanism.OverdueLast)
	f.call(http.MethodPost, "/safe/x", "b", "Left-Ms", "5000")
	var got []overload.Standing
	for _, r := range level.asked {
		got = append(got, r.Standing)
	}
	assert.DeepEqual(t, got, []overload.Standing{overload.Fresh, overload.Returned, overload.Fresh})
}

// The level is not asked where all requests are alike, or if it is switched off.
func TestLevelIsNotAskedWithoutClasses(t *testing.T) {
	f, level, _ := newLevelGateway(t, newTarget(t, okHandler))
	same := func(teams map[string]*fleet.Team) *fleet.Config {
		return fleet.NewConfig(3, routes(), []*fleet.Service{{Name: "s"}}, teams, fleet.Limits{BodyBytes: 1 << 10})
	}
	f.gateway.config.Store(same(nil))
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusOK)
	assert.Equal(t, len(level.asked), 0, "neither teams nor ranks")
	f.gateway.config.Store(same(map[string]*fleet.Team{"secret": {Name: "blue"}}))
	f.call(http.MethodPost, "/safe/x", "b")
	assert.Equal(t, len(level.asked), 1, "teams")
	f.setRoutes(nil)
	f.call(http.MethodPost, "/safe/x", "b")
	assert.Equal(t, len(level.asked), 2, "ranks")
	assert.Equal(t, level.asked[1].Class, overload.Class{})
	f.gateway.cfg.Off = f.gateway.cfg.Off.With(mechanism.AdmissionLevel)
	f.call(http.MethodPost, "/safe/x", "b")
	assert.Equal(t, len(level.asked), 2, "switched off")
}

func TestOnlyFullTargetsAreAShortage(t *testing.T) {
	f, level, _ := newLevelGateway(t, newTarget(t, okHandler))
	f.gateway.balancer.SetEvacuated([]string{"0"})
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusServiceUnavailable)
	f.gateway.balancer.SetEvacuated(nil)
	assert.Equal(t, len(level.unplaced), 0, "an evacuated domain")
	f.gateway.balancer.SetLoads("other", map[string]dispatch.Load{"i-0": {Requests: 100_000}})
	assert.Equal(t, f.call(http.MethodPost, "/safe/x", "b").status, http.StatusServiceUnavailable)
	assert.Equal(t, len(level.unplaced), 1, "a full target")
	f.gateway.balancer.Apply(nil, nil)
	f.call(http.MethodPost, "/safe/x", "b")
	assert.Equal(t, len(level.unplaced), 1, "no target")
	assert.Equal(t, len(level.asked), 3)
	assert.Equal(t, len(level.placed), 0)
}

// refusedRequest is a request over the share, without its body of 500 bytes.
const refusedRequest = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\nContent-Length: 500\r\n\r\n"

// dial connects to the gateway. It returns functions that send text and read a response.
func (f *testGateway) dial() (send func(string), receive func() *http.Response) {
	f.t.Helper()
	c, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close() })
	responses := bufio.NewReader(c)
	send = func(text string) {
		_, err := io.WriteString(c, text)
		assert.NilError(f.t, err)
	}
	receive = func() *http.Response {
		resp, err := http.ReadResponse(responses, nil)
		assert.NilError(f.t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(f.t, err)
		assert.NilError(f.t, resp.Body.Close())
		return resp
	}
	return send, receive
}

func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	f, _, lines := newLevelGateway(t, newTarget(t, okHandler))
	for _, head := range []string{refusedRequest, strings.Replace(refusedRequest, "500", "5000000", 1),
		strings.Replace(refusedRequest, "Content-Length: 500", "Transfer-Encoding: chunked", 1)} {
		send, receive := f.dial()
		send(head + "5\r\nbegin")
		resp := receive()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Close)
		assert.Equal(t, lines.LastEntry().Data["reason"], ReasonOverShare)
	}
}

func TestConnectionIsKeptAfterARefusal(t *testing.T) {
	f, _, _ := newLevelGateway(t, newTarget(t, okHandler))
	f.gateway.cfg.SkipBodyTimeout = time.Minute
	send, receive := f.dial()
	send(refusedRequest + strings.Repeat("x", 500))
	resp := receive()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, !resp.Close)
	send("GET /safe/x HTTP/1.1\r\nHost: h.example\r\nKey: secret\r\n\r\n")
	assert.Equal(t, receive().StatusCode, http.StatusOK)
}

func levelWith(service string, room float64, classes ...overload.ClassLevel) overload.Level {
	return overload.Level{Service: service, Room: room, Entries: 3, Classes: classes}
}

func classLevel(rank int, team string, offered, fraction float64) overload.ClassLevel {
	return overload.ClassLevel{Class: overload.Class{Rank: rank, Team: team}, Offered: offered, Fraction: fraction}
}

func TestLevelIsLoggedAndMeasured(t *testing.T) {
	log, lines := test.NewNullLogger()
	f := newTestGateway(t)
	m := newLevelMonitor(f.gateway.stats.registry, log)
	now := time.Unix(1_800_000_000, 0)
	value := func(name string) float64 { return m.gauge("s", name).Value() }
	m.update(now, nil)
	assert.Equal(t, len(lines.AllEntries()), 0)

	big, small, low := classLevel(0, "big", 4, 0.5), classLevel(0, "small", 1, 1), classLevel(2, "big", 2, 0)
	m.update(now, []overload.Level{levelWith("s", 3, big, small, low)})
	e := lines.LastEntry()
	assert.Equal(t, e.Message, levelBegan)
	assert.Equal(t, e.Level, logrus.WarnLevel)
	assert.DeepEqual(t, e.Data, logrus.Fields{"service": "s", "room": 3.0, "offered": 7.0, "entries": 3, "limited_teams": 1,
		"ranks":  []string{"0: fraction 0.60 of 5.0, 1 teams limited", "2: fraction 0.00 of 2.0, 1 teams limited"},
		"lowest": []string{"2 big: fraction 0.00 of 2.0", "0 big: fraction 0.50 of 4.0"}})
	assert.DeepEqual(t, []float64{value("room"), value("offered"), value("entries"), value("limited_teams"), value("rank_0.offered"),
		value("rank_0.fraction"), value("rank_1.fraction"), value("rank_2.fraction")}, []float64{3, 7, 3, 1, 5, 0.6, 1, 0})

	m.update(now.Add(900*time.Millisecond), nil)
	assert.Equal(t, len(lines.AllEntries()), 1, "one record a second")
	assert.DeepEqual(t, []float64{value("room"), value("rank_0.fraction"), value("rank_2.fraction"), value("rank_2.offered")}, []float64{0, 1, 1, 0})
	m.update(now.Add(time.Second), nil)
	assert.Equal(t, lines.LastEntry().Message, levelEnded)
	m.update(now.Add(9*time.Second), nil)
	assert.Equal(t, len(lines.AllEntries()), 2)
}

func TestConsiderableChangesOfALevelAreLogged(t *testing.T) {
	l := levelLog{services: map[string]*loggedLevel{}}
	now := time.Unix(1_800_000_000, 0)
	next := func(after time.Duration, room, fraction float64) string {
		now = now.Add(after)
		s := summarize(levelWith("s", room, classLevel(0, "a", 1, fraction)))
		return l.next(now, "s", &s)
	}
	assert.Equal(t, next(0, 4, 0.5), levelBegan)
	assert.Equal(t, next(2*time.Second, 4.1, 0.55), "")
	assert.Equal(t, next(2*time.Second, 4, 0.7), levelChanged)
	assert.Equal(t, next(2*time.Second, 6, 0.7), levelChanged)
	assert.Equal(t, next(time.Millisecond, 6, 0.1), "", "at most one a second")
	assert.Equal(t, next(time.Second, 6, 0.1), levelChanged)
	assert.Equal(t, next(levelRepeat, 6, 0.1), levelChanged)
}

// Records stay small however many classes there are.
func TestLevelRecordsAreBounded(t *testing.T) {
	var classes []overload.ClassLevel
	for i := range 500 {
		classes = append(classes, classLevel(i%3, fmt.Sprint(i), 1, 0.5))
	}
	f := summarize(levelWith("s", 1, classes...)).fields("s")
	assert.Equal(t, len(f["lowest"].([]string)), maxLowestLogged)
	assert.Equal(t, len(f["ranks"].([]string)), 3)
}
