package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of a team that asks for more than the targets can do.
const (
	bulkKey       = "key-bulk"
	bulkPerEntry  = 12 // callers, each with one request at a time
	bulkDuration  = 8 * time.Second
	bulkPause     = 20 * time.Millisecond // between an answer or a refusal and the next request
	levelSettling = 2 * time.Second       // until entries have agreed on an admission level
)

// period is a time span relative to the start of the run.
type period struct{ from, to time.Duration }

// sendBulk makes callers of one team send streaming requests to all entries without regard to
// Retry-After.
func sendBulk(f *Fleet, rng *rand.Rand, _ time.Duration) {
	from := f.recorder.elapsed()
	ctx, cancel := context.WithTimeout(context.Background(), bulkDuration)
	defer cancel()
	var callers sync.WaitGroup
	for i, e := range f.entries {
		for k := range bulkPerEntry {
			c := newCaller(f, e, fmt.Sprintf("bulk%d-%d-%d", f.cfg.Seed, i, k), rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())))
			c.team, c.secret = "bulk", bulkKey
			callers.Go(func() { c.sendStreams(ctx) })
		}
	}
	callers.Wait()
	f.recorder.recordBulk(period{from + levelSettling, from + bulkDuration})
}

// sendStreams sends streaming requests until ctx ends.
func (c *caller) sendStreams(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.call(ctx, kinds[2], 0)
		time.Sleep(bulkPause)
	}
}

func (r *factRecorder) recordBulk(p period) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bulk = append(r.bulk, p)
}

// tally counts attempts and those with a complete response of status 200.
type tally struct{ Attempts, Served int }

// share returns the fraction that was served.
func (t tally) share() float64 { return float64(t.Served) / float64(max(t.Attempts, 1)) }

// tallyByTeam counts the streaming attempts sent while the bulk team sent.
func tallyByTeam(attempts []Attempt, bulk []period) map[string]tally {
	out := map[string]tally{}
	for _, a := range attempts {
		for _, p := range bulk {
			if a.Kind != kinds[2].name || a.Sent < p.from || a.Sent >= p.to {
				continue
			}
			t := out[a.Team]
			t.Attempts++
			if a.Status == 200 && !a.Truncated {
				t.Served++
			}
			out[a.Team] = t
		}
	}
	return out
}
