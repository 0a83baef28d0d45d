package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

func load(id string, n int) peer.TargetLoad { return peer.TargetLoad{Instance: id, Requests: n} }

func TestLoadReporterSendsChanges(t *testing.T) {
	a := newLoadReporter(time.Second)
	full := a.next(start, []peer.TargetLoad{load("a", 1), load("b", 2)})
	assert.Assert(t, full.Full)
	assert.Equal(t, len(full.Targets), 2)
	assert.Assert(t, a.next(start, []peer.TargetLoad{load("a", 1), load("b", 2)}) == nil)
	delta := a.next(start, []peer.TargetLoad{load("b", 3)})
	assert.Assert(t, !delta.Full)
	assert.DeepEqual(t, delta.Targets, []peer.TargetLoad{load("b", 3), load("a", 0)})
	assert.Assert(t, a.next(start.Add(time.Second), []peer.TargetLoad{load("b", 3)}).Full)
}

// With more entries, each sends load reports less often, so that the number of messages does
// not grow with the fleet.
func TestLoadReportsAreLessFrequentInLargeFleets(t *testing.T) {
	cfg := Config{}.applyDefaults()
	assert.Equal(t, cfg.loadInterval(4), cfg.Interval)
	for _, entries := range []int{14, 100, 390} {
		a := newLoadReporter(cfg.Heartbeat)
		sent := 0
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			if a.due(now, cfg.loadInterval(entries)) && a.next(now, []peer.TargetLoad{load("a", step)}) != nil {
				sent++
			}
		}
		perSecond := (sent - 1) * entries / 10 // the first one is sent at once
		assert.Assert(t, perSecond <= 700, "%d messages per second with %d entries", perSecond, entries)
	}
}

// A receiver of reports that were merged in any way ends up with the sender's loads.
func TestMergedLoadReportsPreserveState(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		a := newLoadReporter(20 * time.Millisecond)
		var pending *peer.Loads
		received := map[string]int{}
		current := map[string]int{}
		for step := range 50 {
			current[fmt.Sprint(rng.IntN(4))] = rng.IntN(3)
			var loads []peer.TargetLoad
			for id, n := range current {
				if n > 0 {
					loads = append(loads, load(id, n))
				}
			}
			if msg := a.next(start.Add(time.Duration(step)*time.Millisecond), loads); msg != nil {
				pending = mergeLoads(pending, msg)
			}
			if pending == nil || rng.IntN(3) > 0 && step < 49 {
				continue
			}
			if pending.Full {
				clear(received)
			}
			for _, l := range pending.Targets {
				received[l.Instance] = l.Requests
				if l.Requests == 0 {
					delete(received, l.Instance)
				}
			}
			pending = nil
			for id, n := range current {
				assert.Equal(t, received[id], n)
			}
		}
	}
}
