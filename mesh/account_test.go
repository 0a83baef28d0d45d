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

func TestAccountTellsWhatChanged(t *testing.T) {
	a := newAccount(time.Second)
	full := a.next(start, []peer.TargetLoad{load("a", 1), load("b", 2)})
	assert.Assert(t, full.Full)
	assert.Equal(t, len(full.Targets), 2)
	assert.Assert(t, a.next(start, []peer.TargetLoad{load("a", 1), load("b", 2)}) == nil)
	delta := a.next(start, []peer.TargetLoad{load("b", 3)})
	assert.Assert(t, !delta.Full)
	assert.DeepEqual(t, delta.Targets, []peer.TargetLoad{load("b", 3), load("a", 0)})
	assert.Assert(t, a.next(start.Add(time.Second), []peer.TargetLoad{load("b", 3)}).Full)
}

// The messages of one entry do not grow with the number of entries.
func TestAccountsAreFewerAmongManyEntries(t *testing.T) {
	cfg := Config{}.applyDefaults()
	assert.Equal(t, cfg.accountInterval(4), cfg.Interval)
	for _, entries := range []int{14, 100, 390} {
		a := newAccount(cfg.Heartbeat)
		told := 0
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 5 * time.Millisecond)
			if a.due(now, cfg.accountInterval(entries)) && a.next(now, []peer.TargetLoad{load("a", step)}) != nil {
				told++
			}
		}
		perSecond := (told - 1) * entries / 10 // the first one comes at once
		assert.Assert(t, perSecond <= 700, "%d messages a second among %d entries", perSecond, entries)
	}
}

// A receiver that gets accounts merged in any way ends with the sender's loads.
func TestMergedAccountsSayTheSame(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		a := newAccount(20 * time.Millisecond)
		var pending *peer.Loads
		heard := map[string]int{}
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
				pending = merge(pending, msg)
			}
			if pending == nil || rng.IntN(3) > 0 && step < 49 {
				continue
			}
			if pending.Full {
				clear(heard)
			}
			for _, l := range pending.Targets {
				heard[l.Instance] = l.Requests
				if l.Requests == 0 {
					delete(heard, l.Instance)
				}
			}
			pending = nil
			for id, n := range current {
				assert.Equal(t, heard[id], n)
			}
		}
	}
}
