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

// Shape of the overload.
const (
	overTeams    = 10
	overHosts    = 2
	overSlots    = 8
	overLatency  = 20 * time.Millisecond
	overDuration = 5 * time.Second
)

// BenchmarkOverload offers once and twice what the targets can carry. Team t0
// offers half of all, nine small teams share the rest.
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
	for i := range overHosts {
		p, err := standin.NewPlain(loopback, standin.PlainConfig{Latency: overLatency}, f.runs)
		assert.NilError(b, err)
		f.addHost(&testHost{name: fmt.Sprintf("p%d", i), url: p.URL(), plain: p})
	}
	f.publishHosts()
	f.platform.Publish(overFile(f.names))
	f.until("the service answers", func() bool { return f.call("plain", "", caller.HeaderTeam, "t0").status == http.StatusOK })
	capacity := float64(overHosts*overSlots) / overLatency.Seconds()
	var done, refused, other atomic.Int64
	byTeam := make([]atomic.Int64, overTeams)
	var mu sync.Mutex
	refusals := hdrhistogram.New(1, int64(time.Minute), 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}
	send := func(team int) {
		began := time.Now()
		reason, ok := overCall(client, f, team)
		switch {
		case ok:
			done.Add(1)
			byTeam[team].Add(1)
		case outcome.Lookup(reason).Outcome == outcome.NotRun:
			refused.Add(1)
			mu.Lock()
			_ = refusals.RecordValue(int64(time.Since(began)))
			mu.Unlock()
		default:
			other.Add(1)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), overDuration)
	defer cancel()
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	began, sent := time.Now(), 0
	for ctx.Err() == nil {
		<-tick.C
		for due := int(time.Since(began).Seconds() * capacity * float64(factor)); sent < due; sent++ {
			team := 0
			if sent%2 == 1 {
				team = 1 + sent/2%(overTeams-1)
			}
			wg.Go(func() { send(team) })
		}
	}
	span := time.Since(began).Seconds()
	wg.Wait()
	worst := 1e9
	for i := 1; i < overTeams; i++ {
		worst = min(worst, float64(byTeam[i].Load())/(capacity*span/overTeams))
	}
	b.ReportMetric(float64(done.Load())/(capacity*span), "goodput/capacity")
	b.ReportMetric(float64(refusals.ValueAtPercentile(99))/1e6, "refused-p99-ms")
	b.ReportMetric(float64(refused.Load())/float64(sent), "refused/offered")
	b.ReportMetric(float64(other.Load()), "unknown")
	b.ReportMetric(worst, "worst-small-team/fair-share")
}

func overCall(client *http.Client, f *testFleet, team int) (outcome.Reason, bool) {
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

func overFile(hosts []string) []byte {
	var teams []string
	for i := range overTeams {
		teams = append(teams, fmt.Sprintf("{name: t%d}", i))
	}
	return fmt.Appendf(nil, "format: 1\nfleet: over\nteams: [%s]\nservices:\n  - {name: plain, kind: plain, hosts: [{domain: d, names: [%s]}], limits: {concurrency: %d, queue: 32, timeout: 2s}}\n",
		strings.Join(teams, ", "), strings.Join(hosts, ", "), overSlots)
}
