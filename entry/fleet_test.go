package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/agent"
	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/entry"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/standin"
	"github.com/springgate/springgate/target"
	"github.com/springgate/springgate/telemetry"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	loopback    = "127.0.0.1:0"
	keyWindow   = 4 * time.Second
	pollTimeout = 20 * time.Second
)

// testHost is an agent with its target.
type testHost struct {
	name   string
	url    string
	engine *standin.Engine
	plain  *standin.Plain
	agent  *agent.Agent
	stop   context.CancelFunc
}

// testFleet is a complete fleet on the loopback interface: stand-ins for the
// platform and the targets, agents, and one entry.
type testFleet struct {
	t          testing.TB
	log        *logrus.Logger
	platform   *standin.Platform
	origin     *standin.Source
	store      *standin.Source // nil if the fleet has no weight store
	runs       *standin.Runs
	hosts      map[string]*testHost
	names      []string
	entry      *entry.Entry
	stopEntry  context.CancelFunc
	versions   map[digest.Digest]*spread.Manifest
	versionIDs []digest.Digest
	affinity   int // length of the body prefix used for affinity, in bytes
}

func newFleet(t testing.TB, engines, plains int, options ...func(*entry.Config)) *testFleet {
	f := &testFleet{t: t, runs: standin.NewRuns(), hosts: map[string]*testHost{}, versions: map[digest.Digest]*spread.Manifest{}}
	var err error
	f.log, err = telemetry.NewLogger(io.Discard, "error", telemetry.FormatText)
	assert.NilError(t, err)
	assert.NilError(t, telemetry.ConfigureGoZero(f.log))
	f.platform, err = standin.NewPlatform(loopback)
	assert.NilError(t, err)
	f.origin, err = standin.NewSource(loopback, 0)
	assert.NilError(t, err)
	for i := range 2 {
		id, m, err := f.origin.Add("v", 1<<12, standin.Content(1<<17, uint64(i)))
		assert.NilError(t, err)
		f.versions[id] = m
		f.versionIDs = append(f.versionIDs, id)
	}
	for i := range engines {
		f.addEngine(fmt.Sprintf("e%d", i))
	}
	for i := range plains {
		p, err := standin.NewPlain(loopback, standin.PlainConfig{}, f.runs)
		assert.NilError(t, err)
		f.addHost(&testHost{name: fmt.Sprintf("p%d", i), url: p.URL(), plain: p})
	}
	cfg := entry.Config{Control: f.controlConfig("entry"), Listen: loopback, ShutdownDelay: time.Millisecond}
	for _, o := range options {
		o(&cfg)
	}
	f.entry, err = entry.New(cfg,
		configservice.New(f.platform.URL()), hostlist.New(f.platform.URL()), f.log)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	f.stopEntry = stop
	go f.entry.Run(ctx)
	f.publishHosts()
	t.Cleanup(f.platform.Close)
	return f
}

func (f *testFleet) addEngine(name string) {
	cfg := standin.EngineConfig{Tokens: 5, Slots: 8, Fenced: true, NextToken: time.Millisecond}
	e, err := standin.NewEngine(loopback, cfg, f.runs, func(d digest.Digest) *spread.Manifest { return f.versions[d] })
	assert.NilError(f.t, err)
	f.addHost(&testHost{name: name, url: e.URL(), engine: e})
}

func (f *testFleet) addHost(h *testHost) {
	f.hosts[h.name] = h
	f.names = append(f.names, h.name)
	f.startAgent(h)
}

func (f *testFleet) controlConfig(name string) control.Config {
	return control.Config{Host: name, Domain: "d", Addr: loopback, HeartbeatInterval: 100 * time.Millisecond}
}

func (f *testFleet) startAgent(h *testHost) {
	cfg := agent.Config{Control: f.controlConfig(h.name), TargetURL: h.url, LoadTimeout: 200 * time.Millisecond,
		Idempotency: idempotency.Config{KeyWindow: keyWindow, ClockSkew: time.Millisecond}}
	a, err := agent.New(cfg, configservice.New(f.platform.URL()), hostlist.New(f.platform.URL()), f.log)
	assert.NilError(f.t, err)
	ctx, stop := context.WithCancel(f.t.Context())
	h.agent, h.stop = a, stop
	go a.Run(ctx)
}

func (f *testFleet) publishHosts() {
	list := []hostlist.Host{{Host: "entry", Addr: f.entry.Addr(), Domain: "d", Role: string(membership.Entry)}}
	for _, n := range f.names {
		list = append(list, hostlist.Host{Host: n, Addr: f.hosts[n].agent.Addr(), Domain: "d", Role: string(membership.Agent)})
	}
	f.platform.SetHosts(list)
}

// publish publishes a fleet file with version v of the model.
func (f *testFleet) publish(v int) uint64 {
	var b strings.Builder
	sources := fmt.Sprintf("{name: o, kind: origin, url: %q}", f.origin.URL())
	if f.store != nil {
		sources += fmt.Sprintf(", {name: s, kind: store, url: %q}", f.store.URL())
	}
	fmt.Fprintf(&b, "format: 1\nfleet: test\nsources: [%s]\nteams: [{name: default}]\nservices:\n", sources)
	for _, kind := range []string{"engine", "plain"} {
		var names []string
		for _, n := range f.names {
			if (f.hosts[n].engine != nil) == (kind == "engine") {
				names = append(names, n)
			}
		}
		if len(names) == 0 {
			continue
		}
		fmt.Fprintf(&b, "  - {name: %s, kind: %s, hosts: [{domain: d, names: [%s]}], limits: {timeout: 30s}", kind, kind, strings.Join(names, ","))
		if kind == "engine" {
			fmt.Fprintf(&b, ", fenced: true, affinity_bytes: %d, model: {name: m, manifest: %q}", f.affinity, f.versionIDs[v])
		}
		b.WriteString("}\n")
	}
	return f.platform.Publish([]byte(b.String()))
}

func (f *testFleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(pollTimeout), poll.WithDelay(5*time.Millisecond))
}

// waitForSteps is waitFor with a limit that does not depend on how busy the machine is: agents
// read the status of their engines in each step, at most once per superviseInterval unless there
// is something to do. It fails once each agent has taken as many steps as it takes in pollTimeout.
func (f *testFleet) waitForSteps(what string, ok func() bool) {
	f.t.Helper()
	const superviseInterval = 100 * time.Millisecond // of the agents
	begin := map[string]int64{}
	for name, h := range f.hosts {
		begin[name] = h.engine.StatusReads()
	}
	for !ok() {
		fewest := int64(math.MaxInt64)
		for name, h := range f.hosts {
			fewest = min(fewest, h.engine.StatusReads()-begin[name])
		}
		if fewest > int64(pollTimeout/superviseInterval) {
			f.t.Fatalf("not reached after %d steps of each agent: %s", fewest, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *testFleet) allServe(v int) func() bool {
	want := target.Loadout{Model: f.versionIDs[v], Role: "mixed"}.ID()
	return func() bool {
		for _, h := range f.hosts {
			if h.engine != nil && h.engine.Loadout() != want {
				return false
			}
		}
		return true
	}
}

// response is the response to a call, or the error of the call.
type response struct {
	status  int
	header  http.Header
	body    string
	err     error
	problem caller.Problem
}

func (f *testFleet) call(service, callID string, header ...string) response {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.entry.CallerAddr()+"/"+service+"/x?tokens=5", strings.NewReader("body"))
	assert.NilError(f.t, err)
	r.Header.Set(standin.CallHeader, callID)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
	if resp.Header.Get("Content-Type") == caller.ProblemType {
		_ = json.Unmarshal(b, &a.problem)
	}
	return a
}

func (f *testFleet) waitReady(service string) {
	f.waitFor(service+" responds with 200", func() bool { return f.call(service, "").status == http.StatusOK })
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func TestRequestPathAndVersionUpdate(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	f.waitReady("plain")
	a := f.call("plain", "c1")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, "c1 POST /x?tokens=5 body")
	a = f.call("engine", "c2")
	assert.NilError(t, a.err)
	assert.Equal(t, strings.Count(a.body, "data: c2 "), 5)
	f.publish(1)
	f.waitFor("version 1", f.allServe(1))
	for _, h := range f.hosts {
		if h.engine != nil {
			assert.Equal(t, h.engine.Mixed(), int64(0))
		}
	}
}

func TestRejectionsStateReason(t *testing.T) {
	f := newFleet(t, 0, 1)
	a := f.call("plain", "c")
	assert.Equal(t, a.problem.Reason, outcome.NoIntent)
	assert.Equal(t, a.header.Get("Retry-After"), "1")
	f.publish(0)
	f.waitReady("plain")
	for header, want := range map[string]outcome.Reason{caller.HeaderTeam: outcome.NoTeam, caller.HeaderRepeatable: outcome.BadRequest} {
		a = f.call("plain", "c", header, "nonsense")
		assert.Equal(t, a.problem.Reason, want)
		assert.Equal(t, a.problem.Outcome, outcome.NotRun)
	}
	assert.Equal(t, f.call("nothing", "c").problem.Reason, outcome.NoService)
	assert.Equal(t, f.call("plain", "c", caller.HeaderIdempotencyKey, "opaque").problem.Reason, outcome.KeyInvalid)
	assert.Equal(t, f.runs.Count("c"), 0)
}

func TestIdempotencyKeyRunsOnceAndIsReplayed(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.publish(0)
	f.waitReady("plain")
	var key string
	f.waitFor("an idempotency key is accepted", func() bool { // once the agents know the service's past hosts for a full key window
		key = newKey()
		return f.call("plain", key, caller.HeaderIdempotencyKey, key, caller.HeaderRepeatable, "no").status == http.StatusOK
	})
	a := f.call("plain", key, caller.HeaderIdempotencyKey, key, caller.HeaderRepeatable, "no")
	assert.Equal(t, a.header.Get(caller.HeaderReplayed), "yes", "%d %+v", a.status, a.problem)
	assert.Equal(t, a.body, key+" POST /x?tokens=5 body")
	assert.Equal(t, f.runs.Count(key), 1)

	// The agent that holds the record of the key is restarted. The new process
	// must reject the key, because the key is older than the process.
	h := f.hosts[a.header.Get(caller.HeaderHost)]
	h.stop()
	f.startAgent(h)
	f.publishHosts()
	f.waitFor("the restarted agent rejects the key as too old", func() bool {
		return f.call("plain", key, caller.HeaderIdempotencyKey, key, caller.HeaderRepeatable, "no").problem.Reason == outcome.KeyTooOld
	})
	assert.Equal(t, f.runs.Count(key), 1)
}

func TestTruncatedResponseIsReported(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	f.hosts["e0"].engine.Faults.Truncate.Store(true)
	a := f.call("engine", "cut")
	assert.Assert(t, a.err != nil, "the caller must receive an error for a truncated response")
}

func TestAgentFailureAbortsResponse(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.entry.CallerAddr()+"/engine/x?tokens=100000", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	assert.Assert(t, scanner.Scan())
	f.hosts["e0"].stop()
	for scanner.Scan() {
	}
	assert.Assert(t, scanner.Err() != nil, "the caller must receive an error for a truncated response")
}

// A stream that is in flight when its agent and its entry start to drain must
// complete.
func TestDrainCompletesStreams(t *testing.T) {
	f := newFleet(t, 2, 0)
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.entry.CallerAddr()+"/engine/x?tokens=400", nil)
	assert.NilError(t, err)
	r.Header.Set(standin.CallHeader, "long")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	h := f.hosts[resp.Header.Get(caller.HeaderHost)]
	drained := make(chan struct{})
	go func() {
		h.agent.Drain(t.Context())
		f.entry.Drain(t.Context())
		h.stop()
		close(drained)
	}()
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(b), "data: long "), 400)
	assert.Assert(t, strings.Contains(string(b), "[DONE]"))
	<-drained
	assert.Assert(t, !f.entry.Ready())
}

func TestLeavingHostReceivesNoNewRequests(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.publish(0)
	f.waitReady("plain")
	f.hosts["p0"].agent.Leave()
	f.waitFor("requests are routed to the other host", func() bool {
		return f.call("plain", "c").header.Get(caller.HeaderHost) == "p1"
	})
	for range 20 {
		a := f.call("plain", "c")
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.header.Get(caller.HeaderHost), "p1")
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.entry.CallerAddr()+"/engine/x?tokens=100000", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, f.hosts["e0"].engine.Running(), int64(1))
	cancel()
	f.waitFor("the engine stops the request", func() bool { return f.hosts["e0"].engine.Running() == 0 })
}

// A version must load completely although the origin sends corrupt chunks, an
// engine refuses load orders, and another agent and its engine restart.
func TestVersionLoadsDespiteFaults(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.origin.Faults.Corrupt.Store(10)
	f.hosts["e1"].engine.Faults.RefuseLoad.Store(true)
	f.publish(0)
	f.waitFor("the other engines load version 0", func() bool { return f.hosts["e0"].engine.Loadout() != "" && f.hosts["e2"].engine.Loadout() != "" })
	assert.Equal(t, f.hosts["e1"].engine.Loadout(), "")
	f.hosts["e0"].stop()
	f.hosts["e0"].engine.Restart()
	f.startAgent(f.hosts["e0"])
	f.publishHosts()
	f.hosts["e1"].engine.Faults.RefuseLoad.Store(false)
	f.waitFor("all engines load version 0", f.allServe(0))
	f.publish(1)
	f.waitFor("version 1", f.allServe(1))
	for _, h := range f.hosts {
		assert.Equal(t, h.engine.Mixed(), int64(0))
	}
}

// Requests with the same body prefix must be routed to the same engine.
func TestPrefixAffinity(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.affinity = 4
	f.publish(0)
	f.waitFor("version 0", f.allServe(0))
	f.waitReady("engine")
	f.waitFor("one host responds to all requests", func() bool { // holds once all three hosts are in the routing table
		hosts := map[string]bool{}
		for range 10 {
			hosts[f.call("engine", "c").header.Get(caller.HeaderHost)] = true
		}
		return len(hosts) == 1
	})
}

// A version must load although the store corrupts every chunk, the origin
// temporarily truncates its responses, and an engine accepts a load order but
// keeps serving the old version.
func TestVersionArrivesPastBadSources(t *testing.T) {
	f := newFleet(t, 2, 0)
	var err error
	f.store, err = standin.NewSource(loopback, 0)
	assert.NilError(t, err)
	for i := range 2 {
		_, _, err = f.store.Add("v", 1<<12, standin.Content(1<<17, uint64(i)))
		assert.NilError(t, err)
	}
	f.store.Faults.Corrupt.Store(1)
	f.origin.Faults.Truncate.Store(true)
	f.publish(0)
	f.waitForSteps("chunks are requested from the origin", func() bool { return f.origin.Requests() > 3 })
	assert.Equal(t, f.hosts["e0"].engine.Loadout(), "")
	f.origin.Faults.Truncate.Store(false)
	f.waitForSteps("version 0", f.allServe(0))
	stuck := f.hosts["e1"].engine
	stuck.Faults.IgnoreLoad.Store(true)
	orders := stuck.Orders()
	f.publish(1)
	f.waitForSteps("the load order is repeated", func() bool { return stuck.Orders() >= orders+2 })
	f.waitForSteps("the other engine loads the new version", func() bool { return f.hosts["e0"].engine.Loadout() != stuck.Loadout() })
	f.waitForSteps("the old version is still served", func() bool { return f.call("engine", "c").status == http.StatusOK })
	stuck.Faults.IgnoreLoad.Store(false)
	f.waitForSteps("version 1", f.allServe(1))
	for _, h := range f.hosts {
		assert.Equal(t, h.engine.Mixed(), int64(0))
	}
}

// The last accepted revision must stay in force while the platform is down or
// serves an older head, and after an invalid file is published. This includes
// processes that start in the meantime.
func TestAcceptedRevisionStaysInForce(t *testing.T) {
	f := newFleet(t, 0, 2)
	revision := f.publish(0)
	f.waitReady("plain")
	revisionOf := func(h *testHost) int64 {
		g, ok := h.agent.Metrics().Get("control.revision").(interface{ Value() int64 })
		assert.Assert(t, ok)
		return g.Value()
	}
	bothAt := func(want uint64) func() bool {
		return func() bool {
			return revisionOf(f.hosts["p0"]) == int64(want) && revisionOf(f.hosts["p1"]) == int64(want)
		}
	}
	f.waitFor("the published revision is in force", bothAt(revision))
	f.platform.Publish([]byte("format: 1\nfleet: broken\n"))
	f.hosts["p0"].stop()
	f.startAgent(f.hosts["p0"])
	f.publishHosts()
	f.waitFor("the restarted agent receives the revision from a peer", bothAt(revision))
	f.platform.SetStale(true)
	last := f.publish(0)
	assert.Assert(t, bothAt(revision)())
	f.platform.SetStale(false)
	f.waitFor("the newest revision is in force", bothAt(last))
	f.platform.SetDown(true)
	f.hosts["p1"].stop()
	f.startAgent(f.hosts["p1"]) // the host list cannot be updated, so no process learns the new address
	answeredInRow := 0
	f.waitFor("only the running host responds", func() bool { // requests to the stopped process may fail at first
		a := f.call("plain", "c")
		assert.Assert(t, a.problem.Reason != outcome.NoIntent)
		if a.status != http.StatusOK || a.header.Get(caller.HeaderHost) != "p0" {
			answeredInRow = 0
			return false
		}
		answeredInRow++
		return answeredInRow == 20
	})
}
