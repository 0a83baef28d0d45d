package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// processes are a fleet over several failure domains whose processes all start at once,
// over pipes that count what is sent.
type processes struct {
	members []*process // entries first
	byAddr  map[string]*process
	entries int
}

// process is an entry or an agent of them.
type process struct {
	fleet *processes
	self  peer.Presence
	mesh  *Mesh
	pool  *peer.Pool
	meter *peer.Meter
	stop  context.CancelFunc

	mu       sync.Mutex
	dark     atomic.Bool // its host has no power
	down     bool        // refuses connections
	conns    []*peer.Conn
	engines  map[string]peer.EngineState // by address, as the mesh tells
	assigned map[string]bool             // entries that assign, at agents
	early    bool                        // one assigned before it was known as live
}

const fleetDomains = 5

// startFleet starts entries and agents. Three entries are seeds.
func startFleet(entries, agents int) *processes {
	c := &processes{byAddr: map[string]*process{}, entries: entries}
	for i := range entries + agents {
		m := &process{fleet: c, down: true, meter: &peer.Meter{}, engines: map[string]peer.EngineState{}, assigned: map[string]bool{}}
		m.self = peer.Presence{Host: fmt.Sprint("host-", i), Domain: fmt.Sprint("domain-", i%fleetDomains), Incarnation: 1, LinkMbps: 200}
		if i < entries {
			m.self.Addr = fmt.Sprintf("10.1.0.%d:8000", i)
			c.byAddr[m.self.Addr] = m
		} else {
			m.self.EngineAddr, m.self.PiecesAddr, m.self.Service = fmt.Sprint("engine-", i), fmt.Sprint("pieces-", i), "s"
		}
		c.members = append(c.members, m)
	}
	for _, m := range c.members {
		m.start()
	}
	return c
}

func (m *process) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	hello := peer.Hello{Host: m.self.Host, Domain: m.self.Domain}
	m.pool = peer.NewPoolWithDialer(m.dial, hello, m.serve, m.meter)
	o := Options{Self: m.self, Pool: m.pool, Log: log}
	for _, seed := range m.fleet.members[:3] {
		o.Seeds = append(o.Seeds, seed.self.Addr)
	}
	var loads func() []peer.TargetLoad
	if m.self.Addr != "" {
		o.Listener, o.Table = m, mirror.NewTable("")
		loads = func() []peer.TargetLoad { return nil }
	} else {
		o.Assigned = func(a peer.Assignment) {
			known := hasAddr(m.mesh.Entries(), a.Entry)
			m.note(func() { m.assigned[a.Entry], m.early = true, m.early || !known })
		}
		o.Unassigned = func(addr string) { m.note(func() { delete(m.assigned, addr) }) }
	}
	next := New(o)
	m.note(func() { m.mesh = next })
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.note(func() { m.down = false })
	go m.mesh.Run(ctx, loads)
	if m.self.Addr == "" {
		m.mesh.Say(peer.EngineState{Addr: m.self.EngineAddr, Model: "m", Version: 1})
	}
}

func (m *process) serve(ctx context.Context, s *peer.Stream, first peer.Message) {
	var mesh *Mesh
	m.note(func() { mesh = m.mesh }) // it is another one after a restart
	if p, ok := first.(*peer.Presence); ok {
		mesh.Serve(ctx, s, p)
	}
}

func (m *process) dial(ctx context.Context, addr string) (net.Conn, error) {
	to := m.fleet.byAddr[addr]
	if to.dark.Load() {
		<-ctx.Done() // the opening packet is lost
		return nil, ctx.Err()
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	if to.down {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go func() {
		c, err := peer.NewConn(far, peer.Hello{Host: to.self.Host, Domain: to.self.Domain}, false, to.serve, to.meter)
		if err != nil {
			return
		}
		to.mu.Lock()
		defer to.mu.Unlock()
		to.conns = append(to.conns, c)
		if to.down {
			c.Close()
		}
	}()
	return near, nil
}

func (m *process) note(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// Listener.
func (*process) Loads(string, *peer.Loads)              {}
func (*process) Lost(string)                            {}
func (*process) Announced(time.Time) []peer.ObservedVersion { return nil }
func (*process) Notices() []peer.TargetNotice           { return nil }
func (m *process) EngineState(a peer.Presence, s *peer.EngineState) {
	m.note(func() {
		if s == nil {
			delete(m.engines, a.EngineAddr)
			return
		}
		m.engines[a.EngineAddr] = *s
	})
}
func (m *process) Assignment(peer.Presence) (*peer.Assignment, <-chan struct{}) {
	return &peer.Assignment{Entry: m.self.Addr, Model: "m", Version: 1}, make(chan struct{})
}

func (m *process) kill() {
	m.stop()
	m.pool.Close()
	m.note(func() {
		m.down = true
		for _, c := range m.conns {
			c.Close()
		}
	})
}

func (c *processes) stop() {
	for _, m := range c.members {
		m.kill()
	}
	time.Sleep(time.Second) // pauses between attempts end
}

// sent sums up what all processes sent over a border.
func (c *processes) sent(b peer.Locality) (bytes, messages int64) {
	for _, m := range c.members {
		n, k := m.meter.SentAll(b)
		bytes, messages = bytes+n, messages+k
	}
	return bytes, messages
}

// lacking returns how many reports of engines the live entries lack, where each should
// know a version of each engine.
func (c *processes) lacking(version int) int {
	lacking := 0
	for _, m := range c.members[:c.entries] {
		m.note(func() {
			for _, agent := range c.members[c.entries:] {
				if !m.down && m.engines[agent.self.EngineAddr].Version != version {
					lacking++
				}
			}
		})
	}
	return lacking
}

func (c *processes) say(version int) {
	for _, agent := range c.members[c.entries:] {
		agent.mesh.Say(peer.EngineState{Addr: agent.self.EngineAddr, Model: "m", Version: version})
	}
}

// All entries learn what all engines serve, though agents are linked to few of them;
// also after a failure domain has lost all its entries, and when they are back.
func TestEntriesKnowAllEnginesThroughFewLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFleet(20, 30)
		defer c.stop()
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.lacking(1), 0)
		for _, agent := range c.members[c.entries:] {
			linked := len(agent.mesh.Entries())
			assert.Assert(t, linked >= 1+farLinks && linked <= nearLinks+farLinks, "%d links", linked)
			agent.note(func() { assert.Equal(t, len(agent.assigned), linked) })
		}
		c.say(2)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.lacking(2), 0)

		var lost []*process
		for _, m := range c.members[:c.entries] {
			if m.self.Domain == "domain-1" {
				m.kill()
				lost = append(lost, m)
			}
		}
		time.Sleep(3 * time.Second)
		c.say(3)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.lacking(3), 0, "agents of the domain name other speakers")
		for _, agent := range c.members[c.entries:] {
			for _, m := range lost {
				agent.note(func() { assert.Assert(t, !agent.assigned[m.self.Addr]) })
			}
		}
		for _, m := range lost {
			m.self.Incarnation++
			m.start()
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.lacking(3), 0)
		for _, agent := range c.members[c.entries:] {
			near := 0
			for _, p := range agent.mesh.Entries() {
				if p.Domain == agent.self.Domain {
					near++
				}
			}
			assert.Equal(t, near, 4, "agents find the entries of their domain again")
		}
	})
}

// The hosts of the entries get power back up to 0.4 s later than an agent's.
func TestEntriesAreReachedSoonAfterTheirHostsAreBack(t *testing.T) {
	for _, later := range []time.Duration{50, 150, 250, 350, 400} {
		synctest.Test(t, func(t *testing.T) {
			c := startFleet(5, 5)
			defer c.stop()
			for _, m := range c.members[:c.entries] {
				m.dark.Store(true)
				m.kill()
			}
			agent := c.members[c.entries]
			agent.kill()
			time.Sleep(time.Second)
			agent.start()
			time.Sleep(later * time.Millisecond)
			for _, m := range c.members[:c.entries] {
				m.dark.Store(false)
				m.start()
			}
			time.Sleep(250 * time.Millisecond)
			assert.Assert(t, len(agent.mesh.Entries()) > 0, "%d ms", later)
		})
	}
}

// An agent that is told what its engine is to serve can ask the entry that told it.
func TestEntryThatAssignsCanBeAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFleet(5, 5)
		defer c.stop()
		time.Sleep(2 * time.Second)
		for _, agent := range c.members[c.entries:] {
			agent.note(func() { assert.Assert(t, !agent.early, "an entry that assigned was not known yet") })
		}
	})
}

// An agent that ends is forgotten by all entries.
func TestAgentThatEndsIsForgottenEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFleet(10, 5)
		defer c.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.lacking(1), 0)
		gone := c.members[len(c.members)-1]
		gone.kill()
		time.Sleep(200 * time.Millisecond)
		for _, m := range c.members[:c.entries] {
			m.note(func() {
				_, known := m.engines[gone.self.EngineAddr]
				assert.Assert(t, !known)
				assert.Equal(t, len(m.engines), 4)
			})
		}
	})
}

// startBytes returns what one process sends between failure domains in the first 4 s, as
// the mean of a fleet of a quarter entries, and in the 4 s after that.
func startBytes(t testing.TB, members int) (first, next, messages int64) {
	c := startFleet(members/4, members-members/4)
	defer c.stop()
	time.Sleep(4 * time.Second)
	first, messages = c.sent(peer.OtherDomain)
	time.Sleep(4 * time.Second)
	all, _ := c.sent(peer.OtherDomain)
	assert.Equal(t, c.lacking(1), 0)
	n := int64(members)
	return first / n, (all - first) / n, messages / n
}

// What a process sends between failure domains when all start at once grows by less
// than the fleet does: whole lists to everybody at each change grew with its cube.
func TestStartSendsLittleBetweenFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small, _, _ := startBytes(t, 24)
		large, _, _ := startBytes(t, 96)
		assert.Assert(t, large < 4*small, "%d B at 24 members, %d B at 96", small, large)
	})
}

// BenchmarkStart states the bytes and messages that one process sends between failure
// domains in the first 4 s after all have started, and the bytes of the 4 s after that.
func BenchmarkStart(b *testing.B) {
	for _, members := range []int{12, 48, 150} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			var first, next, messages int64
			for range b.N {
				first, next, messages = startBytes(b, members)
			}
			b.ReportMetric(float64(first), "B/start")
			b.ReportMetric(float64(messages), "messages/start")
			b.ReportMetric(float64(next)/4, "B/s")
		})
	}
}
