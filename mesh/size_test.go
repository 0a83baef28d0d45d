package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// processes is a fleet over several failure domains whose processes all start at once, over
// pipes that count what is sent.
type processes struct {
	members []*process // entries first
	byAddr  map[string]*process
	entries int
}

// process is an entry or an agent of the fleet.
type process struct {
	fleet *processes
	self  peer.Presence
	mesh  *Mesh
	pool  *peer.Pool
	meter *peer.Meter
	stop  context.CancelFunc

	balancer *dispatch.Balancer // at entries
	reserver *Reserver

	mu            sync.Mutex
	poweredOff    atomic.Bool // the host has no power
	down          bool        // refuses connections
	conns         []*peer.Conn
	engines       map[string]peer.EngineState // by engine address, as the mesh reported them
	assigned      map[string]bool             // at agents: entries that have sent an assignment
	assignedEarly bool                        // at agents: an assignment arrived from an entry that the agent did not yet know as live
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
		balancer := dispatch.NewBalancer(dispatch.Config{}, rand.New(rand.NewPCG(1, 2)))
		m.locked(func() { m.balancer = balancer })
		o.Listener, o.Table, o.TargetDomain = m, mirror.NewTable(""), balancer.DomainOf
		loads = m.ownLoads
	} else {
		o.OnAssignment = func(a peer.Assignment) {
			known := hasAddr(m.mesh.Entries(), a.Entry)
			m.locked(func() { m.assigned[a.Entry], m.assignedEarly = true, m.assignedEarly || !known })
		}
		o.OnEntryLost = func(addr string) { m.locked(func() { delete(m.assigned, addr) }) }
	}
	next := New(o)
	m.locked(func() { m.mesh, m.reserver = next, NewReserver(next, m.balancer, 0) })
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	m.locked(func() { m.down = false })
	go m.mesh.Run(ctx, loads)
	if m.self.Addr == "" {
		m.mesh.PublishEngineState(peer.EngineState{Addr: m.self.EngineAddr, Model: "m", Version: 1})
	}
}

func (m *process) serve(ctx context.Context, s *peer.Stream, first peer.Message) {
	var mesh *Mesh
	var reserver *Reserver
	m.locked(func() { mesh, reserver = m.mesh, m.reserver }) // replaced at a restart
	switch q := first.(type) {
	case *peer.Presence:
		mesh.Serve(ctx, s, q)
	case *peer.Place:
		reserver.ServePlace(ctx, s, q)
	}
}

// currentBalancer returns the balancer, which is replaced at a restart.
func (m *process) currentBalancer() (b *dispatch.Balancer) {
	m.locked(func() { b = m.balancer })
	return b
}

// ownLoads returns the loads of an entry as package gateway reports them.
func (m *process) ownLoads() []peer.TargetLoad {
	var out []peer.TargetLoad
	for id, l := range m.currentBalancer().OwnLoads() {
		out = append(out, peer.TargetLoad{Instance: id, Requests: l.Requests, PendingPrefill: l.PendingPrefill})
	}
	return out
}

func (m *process) dial(ctx context.Context, addr string) (net.Conn, error) {
	to := m.fleet.byAddr[addr]
	if to.poweredOff.Load() {
		<-ctx.Done() // the SYN is lost
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

func (m *process) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// Methods of Listener.
func (m *process) Loads(from string, l *peer.Loads) {
	loads := map[string]dispatch.Load{}
	for _, t := range l.Targets {
		loads[t.Instance] = dispatch.Load{Requests: t.Requests, PendingPrefill: t.PendingPrefill}
	}
	if l.Full {
		m.currentBalancer().SetLoads(from, loads)
	} else {
		m.currentBalancer().UpdateLoads(from, loads)
	}
}
func (m *process) EntryLost(addr string)                        { m.currentBalancer().SetLoads(addr, nil) }
func (*process) Announced(time.Time) []peer.ObservedVersion     { return nil }
func (*process) Notices() []peer.TargetNotice                   { return nil }
func (*process) Shortages(time.Time) map[string]overload.Report { return nil }
func (m *process) EngineState(a peer.Presence, s *peer.EngineState) {
	m.locked(func() {
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
	m.locked(func() {
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
	time.Sleep(time.Second) // until the pauses between dial attempts are over
}

// sent returns what all processes sent to peers of a locality: inside or outside the sender's
// failure domain.
func (c *processes) sent(b peer.Locality) (bytes, messages int64) {
	for _, m := range c.members {
		n, k := m.meter.SentAll(b)
		bytes, messages = bytes+n, messages+k
	}
	return bytes, messages
}

// missingReports returns how many engine reports the live entries lack, if each should know
// version of each engine.
func (c *processes) missingReports(version int) int {
	missing := 0
	for _, m := range c.members[:c.entries] {
		m.locked(func() {
			for _, agent := range c.members[c.entries:] {
				if !m.down && m.engines[agent.self.EngineAddr].Version != version {
					missing++
				}
			}
		})
	}
	return missing
}

func (c *processes) publish(version int) {
	for _, agent := range c.members[c.entries:] {
		agent.mesh.PublishEngineState(peer.EngineState{Addr: agent.self.EngineAddr, Model: "m", Version: version})
	}
}

// All entries know what all engines serve although agents link to few entries, also after a
// failure domain has lost all its entries and after these are back.
func TestEntriesKnowAllEnginesThroughFewLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFleet(20, 30)
		defer c.stop()
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.missingReports(1), 0)
		for _, agent := range c.members[c.entries:] {
			linked := len(agent.mesh.Entries())
			assert.Assert(t, linked >= 1+farLinks && linked <= nearLinks+farLinks, "%d links", linked)
			agent.locked(func() { assert.Equal(t, len(agent.assigned), linked) })
		}
		c.publish(2)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.missingReports(2), 0)

		var lost []*process
		for _, m := range c.members[:c.entries] {
			if m.self.Domain == "domain-1" {
				m.kill()
				lost = append(lost, m)
			}
		}
		time.Sleep(3 * time.Second)
		c.publish(3)
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, c.missingReports(3), 0, "agents of the domain must choose other forwarders")
		for _, agent := range c.members[c.entries:] {
			for _, m := range lost {
				agent.locked(func() { assert.Assert(t, !agent.assigned[m.self.Addr]) })
			}
		}
		for _, m := range lost {
			m.self.Incarnation++
			m.start()
		}
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.missingReports(3), 0)
		for _, agent := range c.members[c.entries:] {
			near := 0
			for _, p := range agent.mesh.Entries() {
				if p.Domain == agent.self.Domain {
					near++
				}
			}
			assert.Equal(t, near, 4, "agents must link to the entries of their domain again")
		}
	})
}

// The hosts of the entries get power up to 0.4 s later than an agent's host; the agent must then
// link to them soon.
func TestEntriesAreLinkedSoonAfterTheirHostsGetPower(t *testing.T) {
	for _, later := range []time.Duration{50, 150, 250, 350, 400} {
		synctest.Test(t, func(t *testing.T) {
			c := startFleet(5, 5)
			defer c.stop()
			for _, m := range c.members[:c.entries] {
				m.poweredOff.Store(true)
				m.kill()
			}
			agent := c.members[c.entries]
			agent.kill()
			time.Sleep(time.Second)
			agent.start()
			time.Sleep(later * time.Millisecond)
			for _, m := range c.members[:c.entries] {
				m.poweredOff.Store(false)
				m.start()
			}
			time.Sleep(250 * time.Millisecond)
			assert.Assert(t, len(agent.mesh.Entries()) > 0, "not linked; entries powered on %d ms after the agent", later)
		})
	}
}

// An agent that receives an assignment can at once send requests to the entry that sent it.
func TestAssigningEntryIsKnownToTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFleet(5, 5)
		defer c.stop()
		time.Sleep(2 * time.Second)
		for _, agent := range c.members[c.entries:] {
			agent.locked(func() { assert.Assert(t, !agent.assignedEarly, "an assignment arrived before its entry was known") })
		}
	})
}

// All entries drop the state of an agent's engine when the agent stops.
func TestStoppedAgentIsRemovedAtAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startFleet(10, 5)
		defer c.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.missingReports(1), 0)
		gone := c.members[len(c.members)-1]
		gone.kill()
		time.Sleep(200 * time.Millisecond)
		for _, m := range c.members[:c.entries] {
			m.locked(func() {
				_, known := m.engines[gone.self.EngineAddr]
				assert.Assert(t, !known)
				assert.Equal(t, len(m.engines), 4)
			})
		}
	})
}

// startBytes returns the mean number of bytes and messages that a process sends between
// failure domains in the first 4 s, and the bytes in the 4 s after that, for a fleet of which
// a quarter are entries.
func startBytes(t testing.TB, members int) (first, next, messages int64) {
	c := startFleet(members/4, members-members/4)
	defer c.stop()
	time.Sleep(4 * time.Second)
	first, messages = c.sent(peer.OtherDomain)
	time.Sleep(4 * time.Second)
	all, _ := c.sent(peer.OtherDomain)
	assert.Equal(t, c.missingReports(1), 0)
	n := int64(members)
	return first / n, (all - first) / n, messages / n
}

// What a process sends between failure domains when all start at once grows more slowly than
// the fleet. Sending full member lists to all at each change grew with the cube of the
// fleet's size.
func TestStartSendsLittleBetweenFailureDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		small, _, _ := startBytes(t, 24)
		large, _, _ := startBytes(t, 96)
		assert.Assert(t, large < 4*small, "%d B at 24 members, %d B at 96", small, large)
	})
}

// BenchmarkStart reports the bytes and messages that one process sends between failure domains
// in the first 4 s after all have started, and the bytes of the 4 s after that.
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
