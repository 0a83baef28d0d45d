package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/springgate/springgate/caller"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/standin"
	"gotest.tools/v3/assert"
)

// Parameters of the overload benchmark. overloadSlots is the number of requests that a
// target runs at once, and overloadLatency the time that a request takes there.
const (
	overloadTeams    = 10
	overloadHosts    = 2
	overloadSlots    = 8
	overloadLatency  = 20 * time.Millisecond
	overloadDuration = 5 * time.Second
)

// BenchmarkOverload offers a load of one and two times the capacity of the
// targets. Team t0 sends half of the requests, and nine small teams send the
// other half together.
func BenchmarkOverload(b *testing.B) {
	for _, factor := range []int{1, 2} {
		b.Run(fmt.Sprintf("offered=%dx", factor), func(b *testing.B) {
			for range b.N {
				overloadOnce(b, factor)
			}
		})
	}
}

func overloadOnce(b *testing.B, factor int) {
	f := newFleet(b, 0, 0)
	for i := range overloadHosts {
		p, err := standin.NewPlain(loopback, standin.PlainConfig{Latency: overloadLatency}, f.runs)
		assert.NilError(b, err)
		f.addHost(&testHost{name: fmt.Sprintf("p%d", i), url: p.URL(), plain: p})
	}
	f.publishHosts()
	f.platform.Publish(overloadFleetFile(f.names))
	f.waitFor("the service responds with 200", func() bool { return f.call("plain", "", caller.HeaderTeam, "t0").status == http.StatusOK })
	capacity := float64(overloadHosts*overloadSlots) / overloadLatency.Seconds()
	var done, refused, other atomic.Int64
	byTeam := make([]atomic.Int64, overloadTeams)
	var mu sync.Mutex
	refusals := hdrhistogram.New(1, int64(time.Minute), 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}
	send := func(team int) {
		start := time.Now()
		reason, ok := overloadCall(client, f, team)
		switch {
		case ok:
			done.Add(1)
			byTeam[team].Add(1)
		case outcome.Lookup(reason).Outcome == outcome.NotRun:
			refused.Add(1)
			mu.Lock()
			_ = refusals.RecordValue(int64(time.Since(start)))
			mu.Unlock()
		default:
			other.Add(1)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), overloadDuration)
	defer cancel()
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	start, sent := time.Now(), 0
	for ctx.Err() == nil {
		<-tick.C
		for due := int(time.Since(start).Seconds() * capacity * float64(factor)); sent < due; sent++ {
			team := 0
			if sent%2 == 1 {
				team = 1 + sent/2%(overloadTeams-1)
			}
			wg.Go(func() { send(team) })
		}
	}
	span := time.Since(start).Seconds()
	wg.Wait()
	worst := 1e9
	for i := 1; i < overloadTeams; i++ {
		worst = min(worst, float64(byTeam[i].Load())/(capacity*span/overloadTeams))
	}
	b.ReportMetric(float64(done.Load())/(capacity*span), "goodput/capacity")
	b.ReportMetric(float64(refusals.ValueAtPercentile(99))/1e6, "refused-p99-ms")
	b.ReportMetric(float64(refused.Load())/float64(sent), "refused/offered")
	b.ReportMetric(float64(other.Load()), "unknown")
	b.ReportMetric(worst, "worst-small-team/fair-share")
}

func overloadCall(client *http.Client, f *testFleet, team int) (outcome.Reason, bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.entry.CallerAddr()+"/plain/x", strings.NewReader("q"))
	if err != nil {
		return "", false
	}
	r.Header.Set(caller.HeaderTeam, fmt.Sprintf("t%d", team))
	resp, err := client.Do(r)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return outcome.Reason(resp.Header.Get(caller.HeaderReason)), resp.StatusCode == http.StatusOK
}

func overloadFleetFile(hosts []string) []byte {
	var teams []string
	for i := range overloadTeams {
		teams = append(teams, fmt.Sprintf("{name: t%d}", i))
	}
	return fmt.Appendf(nil, "format: 1\nfleet: over\nteams: [%s]\nservices:\n  - {name: plain, kind: plain, hosts: [{domain: d, names: [%s]}], limits: {concurrency: %d, queue: 32, timeout: 2s}}\n",
		strings.Join(teams, ", "), strings.Join(hosts, ", "), overloadSlots)
}
