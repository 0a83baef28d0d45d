package mesh

import (
	"flag"
	"maps"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/springgate/springgate/peer"
)

// restSizes are the numbers of entries for which TestFleetAtRest measures a fleet.
var restSizes = flag.String("mesh.rest", "", "numbers of entries, to measure fleets at rest")

// agentsPerEntry is that of the largest deployment.
const agentsPerEntry = 685.0 / 303

// TestFleetAtRest prints what one entry sends, holds and computes while nobody calls and nothing
// changes. Memory and processor time are those of all processes, divided by the entries.
func TestFleetAtRest(t *testing.T) {
	for _, f := range strings.Fields(*restSizes) {
		entries, err := strconv.Atoi(f)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Test(t, func(t *testing.T) { measureAtRest(t, entries, int(agentsPerEntry*float64(entries))) })
	}
}

func measureAtRest(t *testing.T, entries, agents int) {
	const watched = 10 * time.Second
	memory := heapAndStacks()
	c := startFleet(entries, agents)
	defer c.stop()
	time.Sleep(watched)
	bytes, messages := c.sentAll()
	c.logSent(t)
	used := processorTime()
	time.Sleep(watched)
	moreBytes, moreMessages := c.sentAll()
	used = processorTime() - used
	t.Logf("%d entries, %d agents: first 10 s %d B a process; then %d B/s an entry, %d messages/s a process, %.1f MB an entry, %.2f %% of a core an entry; %d reports missing",
		entries, agents, bytes/int64(entries+agents), (moreBytes-bytes)/10/int64(entries), (moreMessages-messages)/10/int64(entries+agents),
		float64(heapAndStacks()-memory)/1e6/float64(entries), 100*used.Seconds()/watched.Seconds()/float64(entries), c.missingReports(1))
}

// logSent logs the bytes that all processes have sent, by locality and kind of message.
func (c *processes) logSent(t *testing.T) {
	total := map[string]int64{}
	for _, m := range c.members {
		r := metrics.NewRegistry()
		if err := m.meter.Register(r); err != nil {
			t.Fatal(err)
		}
		r.Each(func(name string, gauge any) { total[name] += gauge.(metrics.Gauge).Value() })
	}
	for _, name := range slices.Sorted(maps.Keys(total)) {
		if total[name] > 0 {
			t.Logf("%s: %d kB", name, total[name]/1000)
		}
	}
}

func (c *processes) sentAll() (bytes, messages int64) {
	for _, l := range []peer.Locality{peer.SameDomain, peer.OtherDomain} {
		b, n := c.sent(l)
		bytes, messages = bytes+b, messages+n
	}
	return bytes, messages
}

func heapAndStacks() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
