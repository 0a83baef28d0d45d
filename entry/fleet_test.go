package entry_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	loopback  = "127.0.0.1:0"
	keyWindow = 4 * time.Second
	patience  = 20 * time.Second
)

// testHost is one agent with its target.
type testHost struct {
	name   string
	url    string
	engine *standin.Engine
	plain  *standin.Plain
	agent  *agent.Agent
	stop   context.CancelFunc
}

// testFleet is a whole fleet on loopback: stand-ins, agents and one entry.
type testFleet struct {
	t        testing.TB
	log      *logrus.Logger
	platform *standin.Platform
	origin   *standin.Source
	store    *standin.Source // nil if there is none
	runs     *standin.Runs
	hosts    map[string]*testHost
	names    []string
	entry    *entry.Entry
	versions map[digest.Digest]*spread.Manifest
	ids      []digest.Digest
	affinity int // bytes of a body that name a conversation
}

func newFleet(t testing.TB, engines, plains int) *testFleet {
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
		f.ids = append(f.ids, id)
	}
	for i := range engines {
		f.addEngine(fmt.Sprintf("e%d", i))
	}
	for i := range plains {
		p, err := standin.NewPlain(loopback, standin.PlainConfig{}, f.runs)
		assert.NilError(t, err)
		f.addHost(&testHost{name: fmt.Sprintf("p%d", i), url: p.URL(), plain: p})
	}
	f.entry, err = entry.New(entry.Config{Control: f.control("entry"), Listen: loopback, Notice: time.Millisecond},
		configservice.New(f.platform.URL()), hostlist.New(f.platform.URL()), f.log)
	assert.NilError(t, err)
	go f.entry.Run(t.Context())
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

func (f *testFleet) control(name string) control.Config {
	return control.Config{Host: name, Domain: "d", Addr: loopback, Heartbeat: 100 * time.Millisecond}
}

func (f *testFleet) startAgent(h *testHost) {
	cfg := agent.Config{Control: f.control(h.name), TargetURL: h.url, LoadTimeout: 200 * time.Millisecond,
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

// publish makes version v of the model the one in force.
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
			fmt.Fprintf(&b, ", fenced: true, affinity_bytes: %d, model: {name: m, manifest: %q}", f.affinity, f.ids[v])
		}
		b.WriteString("}\n")
	}
	return f.platform.Publish([]byte(b.String()))
}

func (f *testFleet) until(what string, ok func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
}

func (f *testFleet) serves(v int) func() bool {
	want := target.Loadout{Model: f.ids[v], Role: "mixed"}.ID()
	return func() bool {
		for _, h := range f.hosts {
			if h.engine != nil && h.engine.Loadout() != want {
				return false
			}
		}
		return true
	}
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	problem caller.Problem
}

func (f *testFleet) call(service, name string, header ...string) answer {
	r, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.entry.CallerAddr()+"/"+service+"/x?tokens=5", strings.NewReader("body"))
	assert.NilError(f.t, err)
	r.Header.Set(standin.CallHeader, name)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(b), err: err}
	if resp.Header.Get("Content-Type") == caller.ProblemType {
		_ = json.Unmarshal(b, &a.problem)
	}
	return a
}

func (f *testFleet) ready(service string) {
	f.until(service+" answers", func() bool { return f.call(service, "").status == http.StatusOK })
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

func TestWholePathAndNewVersion(t *testing.T) {
	f := newFleet(t, 2, 1)
	f.publish(0)
	f.until("version 0", f.serves(0))
	f.ready("engine")
	f.ready("plain")
	a := f.call("plain", "c1")
	assert.NilError(t, a.err)
	assert.Equal(t, a.body, "c1 POST /x?tokens=5 body")
	a = f.call("engine", "c2")
	assert.NilError(t, a.err)
	assert.Equal(t, strings.Count(a.body, "data: c2 "), 5)
	f.publish(1)
	f.until("version 1", f.serves(1))
	for _, h := range f.hosts {
		if h.engine != nil {
			assert.Equal(t, h.engine.Mixed(), int64(0))
		}
	}
}

func TestRefusalsNameTheirReason(t *testing.T) {
	f := newFleet(t, 0, 1)
	a := f.call("plain", "c")
	assert.Equal(t, a.problem.Reason, outcome.NoIntent)
	assert.Equal(t, a.header.Get("Retry-After"), "1")
	f.publish(0)
	f.ready("plain")
	for header, want := range map[string]outcome.Reason{caller.HeaderTeam: outcome.NoTeam, caller.HeaderRepeatable: outcome.BadRequest} {
		a = f.call("plain", "c", header, "nonsense")
		assert.Equal(t, a.problem.Reason, want)
		assert.Equal(t, a.problem.Outcome, outcome.NotRun)
	}
	assert.Equal(t, f.call("nothing", "c").problem.Reason, outcome.NoService)
	assert.Equal(t, f.call("plain", "c", caller.HeaderKey, "opaque").problem.Reason, outcome.KeyInvalid)
	assert.Equal(t, f.runs.Count("c"), 0)
}

func TestKeyRunsOnceAndIsReplayed(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.publish(0)
	f.ready("plain")
	var key string
	f.until("a key may run", func() bool { // its homes must be known for a window
		key = newKey()
		return f.call("plain", key, caller.HeaderKey, key, caller.HeaderRepeatable, "no").status == http.StatusOK
	})
	a := f.call("plain", key, caller.HeaderKey, key, caller.HeaderRepeatable, "no")
	assert.Equal(t, a.header.Get(caller.HeaderReplayed), "yes", "%d %+v", a.status, a.problem)
	assert.Equal(t, a.body, key+" POST /x?tokens=5 body")
	assert.Equal(t, f.runs.Count(key), 1)

	// The agent that knows is replaced: the key is older than the new one.
	h := f.hosts[a.header.Get(caller.HeaderHost)]
	h.stop()
	f.startAgent(h)
	f.publishHosts()
	f.until("the new agent decides", func() bool {
		return f.call("plain", key, caller.HeaderKey, key, caller.HeaderRepeatable, "no").problem.Reason == outcome.KeyTooOld
	})
	assert.Equal(t, f.runs.Count(key), 1)
}

func TestCutAnswerNeverLooksWhole(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.until("version 0", f.serves(0))
	f.ready("engine")
	f.hosts["e0"].engine.Faults.Truncate.Store(true)
	a := f.call("engine", "cut")
	assert.Assert(t, a.err != nil, "the caller must see that the answer is cut")
}

func TestKilledAgentIsNotSilent(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.until("version 0", f.serves(0))
	f.ready("engine")
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.entry.CallerAddr()+"/engine/x?tokens=100000", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	assert.Assert(t, sc.Scan())
	f.hosts["e0"].stop()
	for sc.Scan() {
	}
	assert.Assert(t, sc.Err() != nil, "the caller must see that the answer is cut")
}

// A stream that runs when its agent and its entry are told to leave ends whole.
func TestDrainCutsNothing(t *testing.T) {
	f := newFleet(t, 2, 0)
	f.publish(0)
	f.until("version 0", f.serves(0))
	f.ready("engine")
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

func TestLeavingHostGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 0, 2)
	f.publish(0)
	f.ready("plain")
	f.hosts["p0"].agent.Leave()
	f.until("work goes elsewhere", func() bool {
		return f.call("plain", "c").header.Get(caller.HeaderHost) == "p1"
	})
	for range 20 {
		a := f.call("plain", "c")
		assert.Equal(t, a.status, http.StatusOK)
		assert.Equal(t, a.header.Get(caller.HeaderHost), "p1")
	}
}

func TestCallerLeavingCancelsTheRun(t *testing.T) {
	f := newFleet(t, 1, 0)
	f.publish(0)
	f.until("version 0", f.serves(0))
	f.ready("engine")
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.entry.CallerAddr()+"/engine/x?tokens=100000", nil)
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, f.hosts["e0"].engine.Running(), int64(1))
	cancel()
	f.until("the engine stops", func() bool { return f.hosts["e0"].engine.Running() == 0 })
}

// The origin sends corrupt chunks, the engine refuses orders, and an agent is
// restarted with empty memory, all at once; the version still arrives whole.
func TestVersionArrivesThroughFaults(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.origin.Faults.Corrupt.Store(10)
	f.hosts["e1"].engine.Faults.RefuseLoad.Store(true)
	f.publish(0)
	f.until("the others load", func() bool { return f.hosts["e0"].engine.Loadout() != "" && f.hosts["e2"].engine.Loadout() != "" })
	assert.Equal(t, f.hosts["e1"].engine.Loadout(), "")
	f.hosts["e0"].stop()
	f.hosts["e0"].engine.Restart()
	f.startAgent(f.hosts["e0"])
	f.publishHosts()
	f.hosts["e1"].engine.Faults.RefuseLoad.Store(false)
	f.until("all load", f.serves(0))
	f.publish(1)
	f.until("version 1", f.serves(1))
	for _, h := range f.hosts {
		assert.Equal(t, h.engine.Mixed(), int64(0))
	}
}

// Requests of one conversation go to one engine.
func TestConversationStaysWithItsEngine(t *testing.T) {
	f := newFleet(t, 3, 0)
	f.affinity = 4
	f.publish(0)
	f.until("version 0", f.serves(0))
	f.ready("engine")
	f.until("one host answers all", func() bool { // once the entry knows all three
		hosts := map[string]bool{}
		for range 10 {
			hosts[f.call("engine", "c").header.Get(caller.HeaderHost)] = true
		}
		return len(hosts) == 1
	})
}

// A store that corrupts all it sends, an origin that truncates for a while,
// and an engine that accepts an order and goes on with the old version.
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
	f.until("the origin is asked", func() bool { return f.origin.Requests() > 3 })
	assert.Equal(t, f.hosts["e0"].engine.Loadout(), "")
	f.origin.Faults.Truncate.Store(false)
	f.until("version 0", f.serves(0))
	old := f.hosts["e1"].engine
	old.Faults.KeepOld.Store(true)
	orders := old.Orders()
	f.publish(1)
	f.until("the engine is told again", func() bool { return old.Orders() >= orders+2 })
	f.until("the other goes on", func() bool { return f.hosts["e0"].engine.Loadout() != old.Loadout() })
	f.until("the old version is still served", func() bool { return f.call("engine", "c").status == http.StatusOK })
	old.Faults.KeepOld.Store(false)
	f.until("version 1", f.serves(1))
	for _, h := range f.hosts {
		assert.Equal(t, h.engine.Mixed(), int64(0))
	}
}

// While the platform is down, shows an older head, or an invalid file is
// published, the last accepted revision stays in force, also in a process
// that starts meanwhile.
func TestIntentStaysInForce(t *testing.T) {
	f := newFleet(t, 0, 2)
	revision := f.publish(0)
	f.ready("plain")
	at := func(h *testHost) int64 {
		g, ok := h.agent.Metrics().Get("control.revision").(interface{ Value() int64 })
		assert.Assert(t, ok)
		return g.Value()
	}
	all := func(want uint64) func() bool {
		return func() bool { return at(f.hosts["p0"]) == int64(want) && at(f.hosts["p1"]) == int64(want) }
	}
	f.until("in force", all(revision))
	f.platform.Publish([]byte("format: 1\nfleet: broken\n"))
	f.hosts["p0"].stop()
	f.startAgent(f.hosts["p0"])
	f.publishHosts()
	f.until("the new process hears it from a peer", all(revision))
	f.platform.SetStale(true)
	last := f.publish(0)
	assert.Assert(t, all(revision)())
	f.platform.SetStale(false)
	f.until("the newest is in force", all(last))
	f.platform.SetDown(true)
	f.hosts["p1"].stop()
	f.startAgent(f.hosts["p1"]) // nobody can learn its address
	answeredInRow := 0
	f.until("the other host answers", func() bool { // a call to the process that was stopped may be cut
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
