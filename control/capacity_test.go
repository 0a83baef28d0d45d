package control

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/standin"
	"github.com/springgate/springgate/telemetry"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// simFleet is a fleet of real nodes in one process.
type simFleet struct {
	platform *standin.Platform
	nodes    []*Node
	servers  []*peer.Server
	pools    []*peer.Pool
	cancel   context.CancelFunc
	memory   *memoryNet // used instead of sockets if not nil
}

// startFleet starts the given number of nodes. listed is the number of entries in
// the host list: those beyond the number of nodes are additional names of the same
// nodes, so that each node holds the state of a fleet of listed hosts.
func startFleet(t testing.TB, nodes, listed, domains int) *simFleet {
	p, err := standin.NewPlatform("127.0.0.1:0")
	assert.NilError(t, err)
	f := &simFleet{platform: p}
	f.start(t, nodes, listed, domains)
	return f
}

// startFleetInMemory is like startFleet, but uses no sockets, for tests in virtual
// time.
func startFleetInMemory(t testing.TB, nodes, listed, domains int) *simFleet {
	p, handler := standin.NewPlatformHandler()
	f := &simFleet{platform: p, memory: &memoryNet{platform: handler, nodes: map[string]memoryNode{}}}
	f.start(t, nodes, listed, domains)
	return f
}

func (f *simFleet) start(t testing.TB, nodes, listed, domains int) {
	log, err := telemetry.NewLogger(io.Discard, "error", telemetry.FormatText)
	assert.NilError(t, err)
	assert.NilError(t, telemetry.ConfigureGoZero(log))
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range nodes {
		f.startNode(t, ctx, fmt.Sprintf("n%05d", i), fmt.Sprintf("d%d", i%domains), i)
	}
	var list []hostlist.Host
	for i := range listed {
		n := f.nodes[i%nodes]
		list = append(list, hostlist.Host{Host: fmt.Sprintf("n%05d", i), Addr: n.cfg.Addr,
			Domain: fmt.Sprintf("d%d", i%domains), Role: string(membership.Agent)})
	}
	f.platform.SetHosts(list)
}

func (f *simFleet) startNode(t testing.TB, ctx context.Context, name, domain string, seed int) {
	log, err := telemetry.NewLogger(io.Discard, "error", telemetry.FormatText)
	assert.NilError(t, err)
	var n *Node
	ready := make(chan struct{})
	handler := func(ctx context.Context, s *peer.Stream, m peer.Message) {
		<-ready
		n.Handle(ctx, s, m)
	}
	self := peer.Hello{Host: name, Incarnation: 1, Domain: domain}
	addr, pool := f.listen(t, self, handler)
	service, hosts := f.clients()
	cfg := Config{Host: name, Addr: addr, Domain: domain, Role: membership.Agent, Incarnation: 1, FleetSize: 100}
	n = New(cfg, service, hosts, pool, telemetry.Part(log, "control"), metrics.NewRegistry(), rand.New(rand.NewPCG(1, uint64(seed))))
	close(ready)
	f.nodes = append(f.nodes, n)
	f.pools = append(f.pools, pool)
	go n.Run(ctx)
}

// listen starts the peer listener of a node and returns its address and its pool.
func (f *simFleet) listen(t testing.TB, self peer.Hello, h peer.Handler) (string, *peer.Pool) {
	meter := &peer.Meter{}
	if f.memory != nil {
		f.memory.listen(self.Host, self, h)
		return self.Host, peer.NewPoolWithDialer(f.memory.dial, self, h, meter)
	}
	srv, err := peer.Listen("127.0.0.1:0", self, h, meter)
	assert.NilError(t, err)
	f.servers = append(f.servers, srv)
	return srv.Addr(), peer.NewPool(self, h, meter)
}

func (f *simFleet) clients() (*configservice.Client, *hostlist.Client) {
	if f.memory != nil {
		return f.memory.clients()
	}
	return configservice.New(f.platform.URL()), hostlist.New(f.platform.URL())
}

func (f *simFleet) close() {
	f.cancel()
	for _, p := range f.pools {
		p.Close()
	}
	if f.memory != nil {
		f.memory.close()
		return
	}
	for _, s := range f.servers {
		s.Close()
	}
	f.platform.Close()
}

// fleetFile returns a fleet file with the given number of hosts. n distinguishes
// the file from others with the same hosts.
func fleetFile(hosts, n int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "format: 1\nfleet: f\nteams: [{name: t%d}]\nservices:\n  - name: s\n    kind: plain\n    hosts:\n      - domain: d0\n        names:\n", n)
	for i := range hosts {
		fmt.Fprintf(&b, "          - n%05d\n", i)
	}
	return []byte(b.String())
}

// publish publishes a revision, waits until it is in force on all nodes, and
// returns the time that this took for each node, in ascending order.
func (f *simFleet) publish(t testing.TB, hosts, n int) []time.Duration {
	at := make([]time.Time, len(f.nodes))
	began := time.Now()
	revision := f.platform.Publish(fleetFile(hosts, n))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		remaining := 0
		for i, node := range f.nodes {
			if s := node.Snapshot(); s.Revision() >= revision && at[i].IsZero() {
				at[i] = s.Accepted.At
			}
			if at[i].IsZero() {
				remaining++
			}
		}
		if remaining > 0 {
			return poll.Continue("%d nodes do not have the revision in force", remaining)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
	out := make([]time.Duration, len(at))
	for i := range at {
		out[i] = at[i].Sub(began)
	}
	slices.Sort(out)
	return out
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func (f *simFleet) controlBytes() int64 {
	var sum int64
	for _, p := range f.pools {
		in, out := p.Meter().Bytes(peer.Control)
		sum += in + out
	}
	return sum
}

// Duration of the warm-up and of a measurement, and the number of revisions
// published in a measurement.
const (
	warmUpTime  = 4 * time.Second
	measureTime = 4 * time.Second
	revisions   = 5
)

// BenchmarkCapacity measures the CPU time, memory and traffic of this package
// per node, by the number of nodes and the size of the host list.
func BenchmarkCapacity(b *testing.B) {
	for _, c := range []struct{ nodes, listed int }{{3, 3}, {12, 12}, {48, 48}, {150, 150}, {48, 500}, {48, 1500}, {48, 4790}, {150, 4790}} {
		b.Run(fmt.Sprintf("nodes=%d/listed=%d", c.nodes, c.listed), func(b *testing.B) {
			for range b.N {
				measureCapacity(b, c.nodes, c.listed)
			}
		})
	}
}

// BenchmarkCapacityAtLimit measures how long a revision takes to come into force
// while the configuration service rejects most calls.
func BenchmarkCapacityAtLimit(b *testing.B) {
	for _, nodes := range []int{12, 48, 150} {
		b.Run(fmt.Sprintf("nodes=%d/refused=8of10", nodes), func(b *testing.B) {
			for range b.N {
				f := startFleet(b, nodes, nodes, 7)
				f.publish(b, nodes, 0)
				f.platform.SetRateLimited(8)
				var all []time.Duration
				for i := range revisions {
					all = append(all, f.publish(b, nodes, i+1)...)
				}
				f.close()
				slices.Sort(all)
				b.ReportMetric(all[len(all)/2].Seconds()*1000, "p50-ms")
				b.ReportMetric(all[len(all)*99/100].Seconds()*1000, "p99-ms")
				b.ReportMetric(all[len(all)-1].Seconds()*1000, "max-ms")
			}
		})
	}
}

func measureCapacity(b *testing.B, nodes, listed int) {
	before := heapBytes()
	f := startFleet(b, nodes, listed, 7)
	defer f.close()
	f.publish(b, listed, 0)
	time.Sleep(warmUpTime)
	bytes, cpu := f.controlBytes(), cpuTime()
	calls, _ := f.platform.Calls()
	began := time.Now()
	time.Sleep(measureTime)
	span := time.Since(began).Seconds()
	perNode := func(v float64) float64 { return v / span / float64(nodes) }
	b.ReportMetric(perNode(float64(f.controlBytes()-bytes)), "idle-B/s/node")
	b.ReportMetric(100*perNode((cpuTime()-cpu).Seconds()), "idle-cpu-%/node")
	later, _ := f.platform.Calls()
	b.ReportMetric(float64(later-calls)/span, "calls/s")
	b.ReportMetric(float64(heapBytes()-before)/float64(nodes)/1024, "KiB/node")
	bytes, cpu = f.controlBytes(), cpuTime()
	var all []time.Duration
	for i := range revisions {
		all = append(all, f.publish(b, listed, i+1)...)
	}
	slices.Sort(all)
	b.ReportMetric(all[len(all)/2].Seconds()*1000, "p50-ms")
	b.ReportMetric(all[len(all)*99/100].Seconds()*1000, "p99-ms")
	b.ReportMetric(all[len(all)-1].Seconds()*1000, "max-ms")
	b.ReportMetric(float64(f.controlBytes()-bytes)/revisions/float64(nodes), "B/revision/node")
	b.ReportMetric((cpuTime()-cpu).Seconds()*1000/revisions/float64(nodes), "cpu-ms/revision/node")
}
