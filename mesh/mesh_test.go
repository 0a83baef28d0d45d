package mesh

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// node is an entry or an agent of the tests on loopback.
type node struct {
	mesh     *Mesh
	table    *mirror.Table
	balancer *dispatch.Balancer
	reserver *Reserver
	server   *peer.Server

	mu          sync.Mutex
	loads       map[string]int // targets in the last load report, by sender
	short       map[string]overload.Report
	heard       map[string]map[string]overload.Report // by sender
	lost        map[string]bool                       // entries
	engines     map[string]*peer.EngineState
	assignments chan peer.Assignment
	changed     chan struct{}
}

// startNode runs a node until the test ends. Agents have no listener.
func startNode(t *testing.T, name string, incarnation uint64, seeds []string, agent bool, own []peer.TargetLoad) *node {
	t.Helper()
	n := &node{table: mirror.NewTable(""), loads: map[string]int{}, heard: map[string]map[string]overload.Report{}, lost: map[string]bool{}, engines: map[string]*peer.EngineState{},
		assignments: make(chan peer.Assignment, 16), changed: make(chan struct{}),
		balancer: dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))}
	hello, meter := peer.Hello{Host: name}, &peer.Meter{}
	self := peer.Presence{Host: name, Domain: "a", Incarnation: incarnation}
	if agent {
		self.EngineAddr = "engine-of-" + name
	} else {
		server, err := peer.Listen("127.0.0.1:0", hello, n.serve, meter)
		assert.NilError(t, err)
		t.Cleanup(server.Close)
		n.server, self.Addr = server, server.Addr()
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := Options{Self: self, Seeds: seeds, Pool: peer.NewPool(hello, n.serve, meter), Log: log,
		Config: Config{RetryAfter: 20 * time.Millisecond, CatchUpAfter: 20 * time.Millisecond}}
	if agent {
		o.OnAssignment = func(a peer.Assignment) { n.assignments <- a }
	} else {
		o.Listener, o.Table = n, n.table
	}
	n.mesh = New(o)
	n.reserver = NewReserver(n.mesh, n.balancer, 0)
	ctx, cancel := context.WithCancel(t.Context())
	var loads func() []peer.TargetLoad
	if !agent {
		loads = func() []peer.TargetLoad { return own }
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.mesh.Run(ctx, loads)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		o.Pool.Close()
	})
	return n
}

func (n *node) serve(ctx context.Context, s *peer.Stream, first peer.Message) {
	switch m := first.(type) {
	case *peer.Presence:
		n.mesh.Serve(ctx, s, m)
	case *peer.MirrorRead:
		n.mesh.ServeMirror(ctx, s, m)
	case *peer.Reserve:
		n.reserver.Serve(ctx, s, m)
	}
}

func (n *node) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *node) Loads(from string, l *peer.Loads) {
	n.update(func() {
		if l.Full {
			n.loads[from] = len(l.Targets)
			n.heard[from] = l.Added.Shortages
		}
		for _, x := range l.Notices {
			if notice, ok := x.Decode(); ok {
				n.balancer.MergeReport(clock.Now(), notice)
			}
		}
	})
}

func (n *node) EntryLost(addr string) { n.update(func() { n.lost[addr] = true }) }

func (n *node) Shortages(time.Time) map[string]overload.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.short
}

func (n *node) EngineState(agent peer.Presence, s *peer.EngineState) {
	n.update(func() { n.engines[agent.EngineAddr] = s })
}

func (n *node) Assignment(peer.Presence) (*peer.Assignment, <-chan struct{}) {
	return &peer.Assignment{Model: "m", Version: 7}, make(chan struct{})
}

func (*node) Announced(time.Time) []peer.ObservedVersion { return nil }

func (n *node) Notices() []peer.TargetNotice {
	var out []peer.TargetNotice
	for _, notice := range n.balancer.Reports() {
		out = append(out, peer.EncodeNotice(notice))
	}
	return out
}

// until waits until ok returns true; ok is called after each message and every 5 ms.
func (n *node) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for t.Context().Err() == nil {
		n.mu.Lock()
		done, changed := ok(), n.changed
		n.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-time.After(5 * time.Millisecond):
		case <-t.Context().Done():
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func TestEntriesFindEachOtherThroughOneSeed(t *testing.T) {
	a := startNode(t, "a", 1, nil, false, []peer.TargetLoad{{Instance: "i", Requests: 1}})
	seeds := []string{a.server.Addr()}
	b := startNode(t, "b", 1, seeds, false, nil)
	c := startNode(t, "c", 1, seeds, false, nil)
	b.until(t, "b to discover a and c", func() bool { return len(b.mesh.Entries()) == 2 })
	c.until(t, "c to discover a and b", func() bool { return len(c.mesh.Entries()) == 2 })
	b.until(t, "b to receive the load of a", func() bool { return b.loads[a.server.Addr()] == 1 })
}

// An entry that is cut off from the store reads a peer's copy.
func TestEntryCatchesUpFromAPeer(t *testing.T) {
	a := startNode(t, "a", 1, nil, false, nil)
	b := startNode(t, "b", 1, []string{a.server.Addr()}, false, nil)
	item := mirror.Event{Item: mirror.Item{Key: "k", Value: []byte("v"), Revision: 3}}
	b.table.Replace(time.Now(), mirror.Batch{Revision: 1})
	a.table.Replace(time.Now(), mirror.Batch{Events: []mirror.Event{item}, Revision: 4})
	b.until(t, "b to have the item", func() bool { return b.table.Revision() == 4 })
	items, _ := b.table.Items()
	assert.Equal(t, string(items[0].Value), "v")
}

func TestAgentReceivesAssignmentAndReportsItsEngine(t *testing.T) {
	a := startNode(t, "a", 1, nil, false, nil)
	b := startNode(t, "b", 1, []string{a.server.Addr()}, false, nil)
	agent := startNode(t, "agent", 1, []string{a.server.Addr()}, true, nil)
	assert.Equal(t, (<-agent.assignments).Version, 7)
	agent.mesh.PublishEngineState(peer.EngineState{Addr: "engine-of-agent", Model: "m", Version: 7})
	for _, n := range []*node{a, b} {
		n.until(t, "the state of the engine", func() bool {
			s := n.engines["engine-of-agent"]
			return s != nil && s.Version == 7
		})
	}
}

// The home entry of a target decides whether a request may be sent there; an entry that cannot
// reach the home decides on its own.
func TestReserveCallsTheHome(t *testing.T) {
	a := startNode(t, "a", 1, nil, false, nil)
	b := startNode(t, "b", 1, []string{a.server.Addr()}, false, nil)
	a.until(t, "both entries to discover each other", func() bool { return len(a.mesh.Entries()) == 1 && len(b.mesh.Entries()) == 1 })
	id := ""
	// The addresses, and so the homes, differ from run to run.
	for n := 0; id == ""; n++ {
		if candidate := fmt.Sprintf("i-%d", n); b.mesh.home(candidate, "a") == a.server.Addr() {
			id = candidate
		}
	}
	model := &fleet.EngineModel{Model: "m", Slots: 1, Step: 10 * time.Millisecond, PrefillRate: 1000, StepsPerPass: 1, MeanAnswer: 100, Layers: 1}
	instance := &fleet.Instance{ID: id, Service: "s", Domain: "a", Models: []fleet.ModelVersion{{Model: "m", Version: 1, Layers: 1}}}
	services := map[string]*fleet.Service{"s": {Name: "s", Engine: model}}
	for _, n := range []*node{a, b} {
		n.balancer.Apply([]*fleet.Instance{instance}, services)
	}
	b.reserver.timeout = time.Minute
	choice := dispatch.Choice{Instance: *instance, Admission: dispatch.Admission{MaxWait: 100 * time.Millisecond}}
	assert.Equal(t, b.reserver.Reserve(t.Context(), choice, 10), dispatch.ReservationGranted)
	assert.Equal(t, b.reserver.Reserve(t.Context(), choice, 10), dispatch.ReservationDenied, "the home has granted its only place")
	a.server.Close()
	assert.Equal(t, b.reserver.Reserve(t.Context(), choice, 10), dispatch.ReservationGranted, "the home is unreachable")
}
