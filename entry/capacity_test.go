package entry_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// BenchmarkCapacityTargets measures the cost per process of an idle fleet with
// one entry and a number of agents: status messages, heartbeats and the memory
// of the connections.
func BenchmarkCapacityTargets(b *testing.B) {
	for _, n := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, 0, n)
				f.publish(0)
				f.waitReady("plain")
				time.Sleep(2 * time.Second)
				in, cpu, start := f.trafficIn(), cpuTime(), time.Now()
				time.Sleep(4 * time.Second)
				span := time.Since(start).Seconds()
				b.ReportMetric(float64(f.trafficIn()-in)/span, "entry-status-B/s")
				b.ReportMetric(100*(cpuTime()-cpu).Seconds()/span/float64(n+1), "cpu-%/process")
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				b.ReportMetric(float64(m.HeapAlloc+m.StackInuse)/1024/float64(n+1), "KiB/process")
			}
		})
	}
}

// trafficIn returns how many bytes the entry has received on traffic connections.
func (f *testFleet) trafficIn() int64 {
	g, ok := f.entry.Metrics().Get("control.traffic_bytes_in").(interface{ Value() int64 })
	if !ok {
		return 0
	}
	return g.Value()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
