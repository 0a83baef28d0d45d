package entry_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// BenchmarkCapacityTargets measures what a fleet of one entry and a number of
// agents costs a process when no request runs: status messages, heartbeats,
// and the memory of the connections.
func BenchmarkCapacityTargets(b *testing.B) {
	for _, n := range []int{3, 12, 48} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, 0, n)
				f.publish(0)
				f.ready("plain")
				time.Sleep(2 * time.Second)
				in, cpu, began := f.trafficIn(), cpuTime(), time.Now()
				time.Sleep(4 * time.Second)
				span := time.Since(began).Seconds()
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

// trafficIn is how many bytes of traffic connections the entry has received.
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
