package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
)

// BenchmarkPath compares a small request through entry and agent with the same
// request sent directly to the stand-in, sequentially and in parallel.
func BenchmarkPath(b *testing.B) {
	f := newFleet(b, 0, 1)
	f.publish(0)
	f.waitReady("plain")
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for name, url := range map[string]string{
		"straight": f.hosts["p0"].url + "/x",
		"through":  "http://" + f.entry.CallerAddr() + "/plain/x",
	} {
		get := func() error {
			resp, err := client.Get(url)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.Copy(io.Discard, resp.Body)
			return err
		}
		b.Run(name+"/one", func(b *testing.B) {
			h := hdrhistogram.New(1, int64(time.Minute), 3)
			for b.Loop() {
				start := time.Now()
				assert.NilError(b, get())
				_ = h.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(float64(h.ValueAtPercentile(50))/1000, "p50-µs")
			b.ReportMetric(float64(h.ValueAtPercentile(99))/1000, "p99-µs")
		})
		b.Run(name+"/many", func(b *testing.B) {
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := get(); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
