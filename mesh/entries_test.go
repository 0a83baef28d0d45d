package mesh

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/mirror"
	"github.com/springgate/springgate/overload"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/quarantine"
)

// entries is a set of entries wired as in the program, over an in-memory network.
type entries struct {
	t     *testing.T
	store *mirror.Table
	all   []*entry
	cuts  sync.RWMutex // guards unreachable of all entries
	// compacted is the revision up to which the store has forgotten its history.
	compacted atomic.Int64
}

// reaches reports whether two entries can connect.
func (f *entries) reaches(a, b *entry) bool {
	f.cuts.RLock()
	defer f.cuts.RUnlock()
	return !a.unreachable[b.addr] && !b.unreachable[a.addr]
}

// entry is one entry of the set.
type entry struct {
	fleet       *entries
	addr        string
	mesh        *Mesh
	table       *mirror.Table
	view        *storeView
	follower    *mirror.Follower
	pool        *peer.Pool
	stop        context.CancelFunc
	crashes     *quarantine.Table
	unreachable map[string]bool // addresses that this entry cannot reach
	starts      uint64          // number of starts
	delay       atomic.Int64    // transit time of all that the entry sends, in nanoseconds
	slowness    atomic.Int64    // how long the entry takes for a round and to dial, in nanoseconds
	mu          sync.Mutex
	down        bool
	conns       []*peer.Conn  // connections that other processes opened
	raw         []net.Conn    // all connections, also those whose handshake has not ended
	frozen      chan struct{} // closed when the entry is frozen
}

// freezableConn is one end of a connection; it passes no data while its entry is frozen.
type freezableConn struct {
	net.Conn
	frozen <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

func newFreezableConn(c net.Conn, e *entry) *freezableConn {
	return &freezableConn{Conn: c, frozen: e.frozen, closed: make(chan struct{})}
}

func (g *freezableConn) blockIfFrozen() {
	select {
	case <-g.frozen:
		<-g.closed
	default:
	}
}

func (g *freezableConn) Read(b []byte) (int, error) {
	g.blockIfFrozen()
	return g.Conn.Read(b)
}

func (g *freezableConn) Write(b []byte) (int, error) {
	g.blockIfFrozen()
	return g.Conn.Write(b)
}

func (g *freezableConn) Close() error {
	g.once.Do(func() { close(g.closed) })
	return g.Conn.Close()
}

// delayedConn is one end of a connection; what it sends arrives after a delay, in order.
// Write returns at once.
type delayedConn struct {
	net.Conn
	delay  *atomic.Int64
	sent   chan packet
	closed chan struct{}
	once   sync.Once
}

// packet is the data of one Write.
type packet struct {
	data []byte
	due  time.Time
}

// maxPacketsInFlight exceeds what a link sends during the longest delay of the tests.
const maxPacketsInFlight = 1000

func newDelayedConn(c net.Conn, e *entry) *delayedConn {
	s := &delayedConn{Conn: c, delay: &e.delay, sent: make(chan packet, maxPacketsInFlight), closed: make(chan struct{})}
	go s.deliver()
	return s
}

func (s *delayedConn) deliver() {
	for {
		select {
		case p := <-s.sent:
			time.Sleep(time.Until(p.due))
			if _, err := s.Conn.Write(p.data); err != nil {
				return
			}
		case <-s.closed:
			return
		}
	}
}

func (s *delayedConn) Write(b []byte) (int, error) {
	select {
	case s.sent <- packet{slices.Clone(b), time.Now().Add(time.Duration(s.delay.Load()))}:
		return len(b), nil
	case <-s.closed:
		return 0, net.ErrClosed
	}
}

func (s *delayedConn) Close() error {
	s.once.Do(func() { close(s.closed) })
	return s.Conn.Close()
}

// Loads, EntryLost, EngineState and Assignment implement Listener.
func (*entry) Loads(string, *peer.Loads)                                    {}
func (*entry) EntryLost(string)                                             {}
func (*entry) EngineState(peer.Presence, *peer.EngineState)                 {}
func (*entry) Assignment(peer.Presence) (*peer.Assignment, <-chan struct{}) { return nil, nil }

// Announced implements Listener.
func (*entry) Announced(time.Time) []peer.ObservedVersion { return nil }

// Notices implements Listener.
func (*entry) Notices() []peer.TargetNotice { return nil }

// Shortages implements Listener.
func (*entry) Shortages(time.Time) map[string]overload.Report { return nil }

// startEntries runs n entries until stop is called; the store is at revision 1.
func startEntries(t *testing.T, n int) *entries { return startEntriesStaggered(t, n, 0, 0) }

// startEntriesStaggered runs n entries whose messages are delayed; they start one after the
// other with a pause between them.
func startEntriesStaggered(t *testing.T, n int, delay, pause time.Duration) *entries {
	f := &entries{t: t, store: mirror.NewTable("")}
	f.store.Replace(time.Now(), mirror.Batch{Revision: 1})
	for i := range n {
		f.all = append(f.all, &entry{fleet: f, addr: fmt.Sprintf("10.1.0.%d:8723", i+1), frozen: make(chan struct{})})
	}
	for _, e := range f.all {
		e.delay.Store(int64(delay))
		e.start()
		time.Sleep(pause)
	}
	return f
}

func (e *entry) start() {
	e.starts++
	log := logrus.New()
	log.SetOutput(io.Discard)
	e.table = mirror.NewTable("")
	e.view = &storeView{store: e.fleet.store, compacted: &e.fleet.compacted, changed: make(chan struct{})}
	hello := peer.Hello{Host: "host of " + e.addr}
	e.pool = peer.NewPoolWithDialer(e.dial, hello, e.serve, &peer.Meter{})
	e.crashes = quarantine.NewTable()
	m := New(Options{Self: peer.Presence{Host: hello.Host, Domain: "a", Addr: e.addr, Incarnation: e.starts},
		Seeds: []string{e.fleet.all[0].addr}, Pool: e.pool, Listener: e, Table: e.table, Log: log, Crashes: e.crashes})
	e.follower = m.NewFollower(mirror.Config{}, e.view, log)
	e.mu.Lock()
	e.mesh = m // set when complete: connections from before a restart may use it at once
	e.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go e.follower.Run(ctx)
	go m.Run(ctx, func() []peer.TargetLoad {
		time.Sleep(time.Duration(e.slowness.Load()))
		return nil
	})
}

func (e *entry) serve(ctx context.Context, s *peer.Stream, first peer.Message) {
	e.mu.Lock()
	current := e.mesh
	e.mu.Unlock()
	switch m := first.(type) {
	case *peer.Presence:
		current.Serve(ctx, s, m)
	case *peer.MirrorRead:
		current.ServeMirror(ctx, s, m)
	}
}

// inject applies a fault to the entry.
func (e *entry) inject(f fault) {
	switch f {
	case killed:
		e.kill()
	case frozen:
		close(e.frozen)
		e.view.set(silent)
	default:
		e.view.set(f)
	}
}

// kill stops the entry and closes its connections.
func (e *entry) kill() {
	e.stop()
	e.pool.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	for _, c := range e.conns {
		c.Close()
	}
	for _, c := range e.raw {
		c.Close()
	}
}

// dial connects to another entry.
func (e *entry) dial(ctx context.Context, addr string) (net.Conn, error) {
	if d := time.Duration(e.slowness.Load()); d > 0 && !loop.Sleep(ctx, d) {
		return nil, ctx.Err()
	}
	to := e.fleet.all[slices.IndexFunc(e.fleet.all, func(e *entry) bool { return e.addr == addr })]
	to.mu.Lock()
	if to.down || !e.fleet.reaches(e, to) {
		to.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	accepted := newFreezableConn(newDelayedConn(far, to), to)
	to.raw = append(to.raw, accepted)
	to.mu.Unlock()
	go func() {
		c, err := peer.NewConn(accepted, peer.Hello{Host: addr}, false, to.serve, &peer.Meter{})
		if err != nil {
			return
		}
		to.mu.Lock()
		defer to.mu.Unlock()
		to.conns = append(to.conns, c)
	}()
	dialled := newFreezableConn(newDelayedConn(near, e), e)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.raw = append(e.raw, dialled)
	return dialled, nil
}

// stop stops all entries and waits until messages in flight have been dropped.
func (f *entries) stop() {
	longest := int64(0)
	for _, e := range f.all {
		e.kill()
		longest = max(longest, e.delay.Load())
	}
	time.Sleep(time.Duration(longest))
}

// sawOutage reports whether the entry has at any time detected an outage of the store.
func (e *entry) sawOutage() bool {
	down, ended := e.follower.Outage()
	return down || !ended.IsZero()
}

// change writes to the store and returns its new revision.
func (f *entries) change() mirror.Revision {
	r := f.store.Revision() + 1
	f.store.Apply(time.Now(), mirror.Batch{Revision: r,
		Events: []mirror.Event{{Item: mirror.Item{Key: "config", Value: fmt.Append(nil, r), Revision: r}}}})
	return r
}

// readers returns the three entries that have called the store most often since then.
func (f *entries) readers(since time.Time) []*entry {
	list := slices.Clone(f.all)
	slices.SortStableFunc(list, func(a, b *entry) int { return cmp.Compare(b.view.callsSince(since), a.view.callsSince(since)) })
	return list[:readerCount]
}

// lag returns how long each copy of list takes to reach a revision, at most limit. It always
// runs for limit.
func lag(list []*entry, revision mirror.Revision, limit time.Duration) map[string]time.Duration {
	begin := time.Now()
	out := map[string]time.Duration{}
	for time.Since(begin) < limit {
		for _, e := range list {
			if _, ok := out[e.addr]; !ok && e.table.Revision() >= revision {
				out[e.addr] = time.Since(begin)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, e := range list {
		if _, ok := out[e.addr]; !ok {
			out[e.addr] = limit
		}
	}
	return out
}

// except returns the entries that are not in list.
func (f *entries) except(list []*entry) []*entry {
	return slices.DeleteFunc(slices.Clone(f.all), func(e *entry) bool { return slices.Contains(list, e) })
}
