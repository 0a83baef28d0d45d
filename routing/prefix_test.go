package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"gotest.tools/v3/assert"
)

func TestPickPrefix(t *testing.T) {
	a, b := endpoint(0, "d"), endpoint(1, "e")
	tab := NewTable(Config{}, "d", []Candidate{ready(a, start), ready(b, start)})
	first := tab.PickPrefix(start, rng(), "p", nil).Endpoint
	for range 20 {
		assert.Equal(t, tab.PickPrefix(start, rng(), "p", nil).Endpoint, first)
	}
	other := NewTable(Config{}, "e", []Candidate{ready(b, start), ready(a, start)})
	assert.Equal(t, other.PickPrefix(start, rng(), "p", nil).Endpoint.Host, first.Host, "another entry selects the same host")
	assert.Assert(t, tab.PickPrefix(start, rng(), "p", []string{first.Host}).Endpoint != first)
	for range 9 {
		first.Started()
	}
	assert.Assert(t, tab.PickPrefix(start, rng(), "p", nil).Endpoint != first, "its load is above PrefixMaxLoad")
}

// The benchmark below compares strategies for routing to prompt caches, with
// simulated engines in virtual time. Engines batch requests and cache prompt
// blocks in limited memory; each turn of a conversation may use any entry.
const (
	simEngines = 12
	simEntries = 2
	simSlots   = 8
	simCache   = 1500 // blocks
	simSystem  = 16   // blocks at the start of every prompt that all conversations share
	simTurn    = 8    // blocks that each turn adds to the prompt of its conversation
	simTurns   = 6
	simBase    = 10 * time.Millisecond // first token of a cached prompt
	simPrefill = 3 * time.Millisecond  // for each block that is not cached
	simDecode  = 400 * time.Millisecond
	simThink   = 5 * time.Second // mean pause between turns
	simSpan    = 3 * time.Minute
	simLag     = time.Second // delay of cache events
	simLost    = 0.2         // fraction of cache events that are lost
	simReport  = 800 * time.Millisecond
)

// prefixIndex is the alternative to PickPrefix in the comparison. It records for
// each block the host to which the last prompt with that block was sent.
type prefixIndex struct {
	lru *simplelru.LRU[uint64, string]
}

// newPrefixIndex returns an index that holds at most the given number of blocks.
func newPrefixIndex(blocks int) *prefixIndex {
	l, err := simplelru.NewLRU[uint64, string](max(1, blocks), nil)
	if err != nil {
		panic(err) // NewLRU only fails for a size below one
	}
	return &prefixIndex{l}
}

// best returns the host of the longest known prefix and its length in blocks.
func (x *prefixIndex) best(blocks []uint64) (host string, length int) {
	for i, h := range blocks {
		v, ok := x.lru.Get(h)
		if !ok {
			break
		}
		host, length = v, i+1
	}
	return host, length
}

// record records that a prompt was sent to a host.
func (x *prefixIndex) record(blocks []uint64, host string) {
	for _, h := range blocks {
		x.lru.Add(h, host)
	}
}

// remove removes a block from the index if it is recorded for the host.
func (x *prefixIndex) remove(block uint64, host string) {
	if v, ok := x.lru.Peek(block); ok && v == host {
		x.lru.Remove(block)
	}
}

type simEngine struct {
	cache     *simplelru.LRU[uint64, bool]
	running   int
	queue     []func()
	endpoints []*Endpoint // one for each entry
}

type affinitySim struct {
	now       time.Duration
	seq       int
	events    simEvents
	rng       *rand.Rand
	mode      string
	engines   []*simEngine
	index     []*prefixIndex // one for each entry
	tables    []*Table
	ttft      []time.Duration
	hits      int
	blocks    int
	completed int
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}
type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (s *affinitySim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *affinitySim) clock() time.Time { return start.Add(s.now) }

func newAffinitySim(mode string) *affinitySim {
	s := &affinitySim{mode: mode, rng: rand.New(rand.NewPCG(1, 7))}
	for i := range simEngines {
		e := &simEngine{}
		e.cache, _ = simplelru.NewLRU[uint64, bool](simCache, func(b uint64, _ bool) { s.cacheEvent(i, b, false) })
		for range simEntries {
			e.endpoints = append(e.endpoints, endpoint(i, "d"))
		}
		s.engines = append(s.engines, e)
	}
	for range simEntries {
		s.index = append(s.index, newPrefixIndex(100000))
	}
	s.tables = make([]*Table, simEntries)
	s.report()
	return s
}

// report updates the status of all engines at all entries.
func (s *affinitySim) report() {
	for k := range simEntries {
		var cands []Candidate
		for _, e := range s.engines {
			c := ready(e.endpoints[k], s.clock())
			c.Report.Running, c.Report.Queued, c.Report.OwnInflight = e.running, len(e.queue), e.endpoints[k].Inflight()
			cands = append(cands, c)
		}
		s.tables[k] = NewTable(Config{}, "d", cands)
	}
	s.after(simReport, s.report)
}

// cacheEvent reports a block that an engine cached or evicted. Events are
// delayed, and some are lost.
func (s *affinitySim) cacheEvent(engine int, block uint64, cached bool) {
	if s.mode != "events" || s.rng.Float64() < simLost {
		return
	}
	s.after(simLag, func() {
		for _, x := range s.index {
			if cached {
				x.lru.Add(block, s.engines[engine].endpoints[0].Host)
			} else {
				x.remove(block, s.engines[engine].endpoints[0].Host)
			}
		}
	})
}

func (s *affinitySim) choose(entry int, blocks []uint64) int {
	t := s.tables[entry]
	var c *Candidate
	switch s.mode {
	case "approximate", "events":
		host, _ := s.index[entry].best(blocks)
		c = s.prefer(t, host)
	case "rendezvous": // by the first block that is specific to the conversation
		c = t.PickPrefix(s.clock(), s.rng, fmt.Sprint(blocks[simSystem]), nil)
	}
	if c == nil {
		c = t.Pick(s.clock(), s.rng, nil)
	}
	if s.mode == "approximate" {
		s.index[entry].record(blocks, c.Endpoint.Host)
	}
	return slices.IndexFunc(s.engines, func(e *simEngine) bool { return e.endpoints[0].Host == c.Endpoint.Host })
}

// prefer returns the named host if its load is at most PrefixMaxLoad.
func (s *affinitySim) prefer(t *Table, host string) *Candidate {
	for i := range t.local {
		if c := &t.local[i]; c.Endpoint.Host == host && t.load(c, s.clock()) <= t.cfg.PrefixMaxLoad {
			return c
		}
	}
	return nil
}

// turn sends one prompt of a conversation and then, after a while, the next.
func (s *affinitySim) turn(conversation, n int) {
	blocks := make([]uint64, simSystem+n*simTurn)
	for i := range blocks {
		blocks[i] = uint64(i + 1)
		if i >= simSystem {
			blocks[i] = uint64(conversation+1)<<20 | uint64(i)
		}
	}
	entry := s.rng.IntN(simEntries)
	i := s.choose(entry, blocks)
	e, arrivedAt := s.engines[i], s.now
	e.endpoints[entry].Started()
	run := func() { s.run(i, entry, blocks, arrivedAt, conversation, n) }
	if e.running < simSlots {
		e.running++
		run()
	} else {
		e.queue = append(e.queue, run)
	}
}

func (s *affinitySim) run(i, entry int, blocks []uint64, arrivedAt time.Duration, conversation, n int) {
	e, hit := s.engines[i], 0
	for _, b := range blocks {
		if _, ok := e.cache.Get(b); !ok {
			break
		}
		hit++
	}
	s.hits += hit
	s.blocks += len(blocks)
	prefill := simBase + time.Duration(len(blocks)-hit)*simPrefill
	s.ttft = append(s.ttft, s.now-arrivedAt+prefill)
	s.after(prefill, func() {
		for _, b := range blocks {
			if !e.cache.Contains(b) {
				s.cacheEvent(i, b, true)
			}
			e.cache.Add(b, true)
		}
	})
	s.after(prefill+simDecode, func() {
		s.completed++
		e.endpoints[entry].Finished(true, 1)
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			e.running++
			next()
		}
		if n < simTurns {
			s.after(time.Duration(s.rng.ExpFloat64()*float64(simThink)), func() { s.turn(conversation, n+1) })
		}
	})
}

// simulate starts conversations so that rate requests per second arrive.
func (s *affinitySim) simulate(rate float64) {
	conversations := 0
	var begin func()
	begin = func() {
		s.turn(conversations, 1)
		conversations++
		s.after(time.Duration(s.rng.ExpFloat64()*float64(time.Second)/(rate/simTurns)), begin)
	}
	s.after(0, begin)
	for len(s.events) > 0 && s.now < simSpan {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// BenchmarkAffinity reports the time to the first token and the hit rate of
// the prompt caches, at low load and at saturation.
func BenchmarkAffinity(b *testing.B) {
	// Without any cache hit a request takes a slot for 0.01 + 44 blocks * 0.003 + 0.4 s: the
	// first token, the prefill of a mean prompt, and decoding.
	capacity := float64(simEngines*simSlots) / 0.542
	for _, load := range []float64{0.3, 1.0} {
		for _, mode := range []string{"none", "approximate", "events", "rendezvous"} {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, mode), func(b *testing.B) {
				for range b.N {
					s := newAffinitySim(mode)
					s.simulate(load * capacity)
					slices.Sort(s.ttft)
					b.ReportMetric(float64(s.hits)/float64(s.blocks), "hit-rate")
					b.ReportMetric(float64(s.ttft[len(s.ttft)/2].Milliseconds()), "ttft-p50-ms")
					b.ReportMetric(float64(s.ttft[len(s.ttft)*95/100].Milliseconds()), "ttft-p95-ms")
					b.ReportMetric(float64(s.completed)/simSpan.Seconds(), "done/s")
				}
			})
		}
	}
}
