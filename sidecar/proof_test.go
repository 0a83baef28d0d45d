package sidecar

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// runUsed runs a sidecar for 40 s. It returns what the engine was reported to serve in the end, and
// whether it was ever reported to serve a version while it held bad layers.
func runUsed(t *testing.T, cfg Config, e *fakeEngine, engine Engine, a peer.Assignment) (last peer.EngineState, usedUnsound bool) {
	synctest.Test(t, func(t *testing.T) {
		s, published, stop := startSidecar(t, cfg, engine, &fakeSource{})
		s.Assign(time.Now(), a)
		for range 4000 {
			time.Sleep(10 * time.Millisecond)
			p := published()
			e.set(func() { usedUnsound = usedUnsound || !p.Loading && p.Version == e.serves && e.unsound() })
		}
		last = published()
		stop()
	})
	return last, usedUnsound
}

// The engine restarts between a report and the fencing order that is based on it, so that the order
// loads whatever is staged.
func TestLoadByFencingOrderAtRestartedEngineIsNotUsed(t *testing.T) {
	for name, staged := range map[string]map[int]string{"nothing staged": {}, "another version staged": stagedVersion(7)} {
		for _, startTimeMs := range []int64{0, 1000} {
			e := &fakeEngine{staged: staged, serves: 1, startTimeMs: startTimeMs}
			fenced := false
			w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
				if o.Version == 1 && !fenced {
					fenced = true
					e.set(func() {
						e.newProcess()
						e.startTimeMs *= 2
					})
				}
			}}
			last, usedUnsound := runUsed(t, Config{}, e, w, newAssignment(2, 1, 2))
			assert.Assert(t, fenced && e.loadedInvalid, name)
			assert.Assert(t, !usedUnsound, name)
			assert.Equal(t, last.Version, 2, name)
			assert.Assert(t, !e.unsound(), name)
		}
	}
}

// The agent may be lost at any moment after it has sent a fencing order, so entries must know before.
func TestEngineIsOutOfUseWhenFencingOrdersAreSent(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	var inUse time.Time // when the engine was last reported to be usable
	fencing := 0
	w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
		if o.Version == 1 {
			fencing++
			e.set(func() { assert.Check(t, time.Since(inUse) >= 30*time.Millisecond) })
		}
	}}
	runSidecar(t, Config{}, w, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 1, 2))
		for range 200 {
			time.Sleep(5 * time.Millisecond)
			if p := published(); p.Version != 0 && !p.Loading {
				e.set(func() { inUse = time.Now() })
			}
		}
		assert.Equal(t, published(), peer.EngineState{Addr: "engine", Model: "m", Version: 1})
	})
	assert.Equal(t, fencing, 2)
}

// A delayed put of another version arrives after the last check and before the order.
func TestLoadOfPieceReplacedAfterItsCheckIsNotUsed(t *testing.T) {
	for index := range pieces {
		e := &fakeEngine{staged: map[int]string{}, serves: 1}
		replaced := false
		w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
			if o.Version == 2 && !replaced {
				replaced = true
				e.set(func() { e.staged[index] = content(7, index) })
			}
		}}
		last, usedUnsound := runUsed(t, Config{}, e, w, newAssignment(2, 0, 1))
		assert.Assert(t, replaced && e.loadedInvalid)
		assert.Assert(t, !usedUnsound, "piece %d", index)
		assert.Equal(t, last.Version, 2, "piece %d", index)
		assert.Assert(t, !e.unsound(), "piece %d", index)
	}
}

// The agent is paused between the last check and the order. Pieces become corrupt meanwhile.
func TestLoadAfterPauseBetweenCheckAndOrderIsNotUsed(t *testing.T) {
	for _, serves := range []int{0, 1} {
		e := &fakeEngine{staged: map[int]string{}, serves: serves}
		paused := false
		w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
			if o.Version == 2 && !paused {
				paused = true
				e.set(func() { e.staged[3] = "corrupt" })
				time.Sleep(4 * time.Second)
			}
		}}
		last, usedUnsound := runUsed(t, Config{}, e, w, newAssignment(2, 0, 1))
		assert.Assert(t, paused && e.loadedInvalid)
		assert.Assert(t, !usedUnsound)
		assert.Equal(t, last.Version, 2)
		assert.Assert(t, !e.unsound())
	}
}

// reportHookEngine calls a hook before each report, with the number of reports so far.
type reportHookEngine struct {
	*fakeEngine
	reports  *int
	reported func(n int)
}

func (w reportHookEngine) Report(ctx context.Context, addr string) (Report, error) {
	*w.reports++
	w.reported(*w.reports)
	return w.fakeEngine.Report(ctx, addr)
}

// The next process of an engine without a start time has begun as many orders, by a delayed one.
func TestLoadOfRestartedEngineWithSameOrderCountIsNotUsed(t *testing.T) {
	for _, staged := range []map[int]string{{}, stagedVersion(7)} {
		e := &fakeEngine{staged: map[int]string{}, serves: 1}
		w := reportHookEngine{fakeEngine: e, reports: new(int), reported: func(n int) {
			if n != 50 { // long after version 2 was loaded
				return
			}
			e.set(func() {
				assert.Equal(t, e.sequence, int64(1))
				e.newProcess()
				e.staged = staged
				begun, err := e.apply(LoadOrder{Model: "m", Version: 2, Token: 1})
				assert.Assert(t, begun && err == nil)
			})
		}}
		last, usedUnsound := runUsed(t, Config{}, e, w, newAssignment(2, 0, 1))
		assert.Assert(t, e.loadedInvalid)
		assert.Assert(t, !usedUnsound)
		assert.Equal(t, last.Version, 2)
		assert.Assert(t, !e.unsound())
	}
}

// The agent is restarted before or after an order by which bad layers are replaced.
func TestBadLayersAreReplacedBesideRestartsOfTheAgent(t *testing.T) {
	for _, atFrom := range []int{0, 1} {
		for _, delivered := range []bool{false, true} {
			if atFrom == 0 && !delivered {
				continue // no layer has been dropped yet
			}
			e := &fakeEngine{staged: map[int]string{}, serves: 1}
			var usedUnsound bool
			synctest.Test(t, func(t *testing.T) {
				killed := make(chan struct{})
				spoil := sync.OnceFunc(func() { e.set(func() { e.staged[0], e.staged[3] = "corrupt", "corrupt" }) })
				kill := sync.OnceFunc(func() { close(killed) })
				w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
					if o.Version == 2 {
						spoil()
					}
					if o.Layers != (LayerRange{}) && o.Layers.From == atFrom {
						kill()
						if !delivered {
							e.set(func() { e.late = seconds(-1) })
						}
					}
				}}
				s, _, stop := startSidecar(t, Config{}, w, &fakeSource{})
				s.Assign(time.Now(), newAssignment(2, 0, 1))
				<-killed
				stop()
				s, published, stop := startSidecar(t, Config{}, e, &fakeSource{})
				s.Assign(time.Now(), newAssignment(2, 0, 1))
				for range 4000 {
					time.Sleep(10 * time.Millisecond)
					p := published()
					e.set(func() { usedUnsound = usedUnsound || !p.Loading && p.Version == e.serves && e.unsound() })
				}
				assert.Equal(t, published().Version, 2)
				stop()
			})
			assert.Assert(t, e.loadedInvalid)
			assert.Assert(t, !usedUnsound, "from layer %d, delivered %v", atFrom, delivered)
		}
	}
}

// An agent finds a load bad and cannot replace it before it restarts, since a piece is unavailable.
func TestBadLoadIsNotUsedAfterRestartOfTheAgent(t *testing.T) {
	e, source := &fakeEngine{staged: map[int]string{}, serves: 1}, &fakeSource{}
	w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
		if o.Version == 2 {
			e.set(func() { e.staged[3] = "corrupt" })
			source.mu.Lock()
			defer source.mu.Unlock()
			source.unavailable = 2
		}
	}}
	synctest.Test(t, func(t *testing.T) {
		s, _, stop := startSidecar(t, Config{}, w, source)
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(2 * time.Second)
		stop()
		assert.Assert(t, e.loadedInvalid)
		s, published, stop := startSidecar(t, Config{}, e, source)
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			p, usedUnsound := published(), false
			e.set(func() { usedUnsound = !p.Loading && p.Version == e.serves && e.unsound() })
			assert.Assert(t, !usedUnsound)
		}
		source.mu.Lock()
		source.unavailable = 0
		source.mu.Unlock()
		time.Sleep(10 * time.Second)
		assert.Equal(t, published().Version, 2)
		assert.Assert(t, !e.unsound())
		stop()
	})
}

// Guards against loads that are whole and count as not proven, because the engine restarted before them.
func TestWholeLoadAfterRestartOfTheEngineIsUsed(t *testing.T) {
	for _, noOrderCount := range []bool{false, true} {
		e := &fakeEngine{staged: map[int]string{}, startTimeMs: 1000, noOrderCount: noOrderCount}
		restart := sync.OnceFunc(func() {
			e.set(func() {
				e.newProcess()
				e.startTimeMs++
			})
		})
		last, usedUnsound := runUsed(t, Config{}, e, hookedEngine{fakeEngine: e, ordered: func(LoadOrder) { restart() }}, newAssignment(2, 0, 1))
		assert.Assert(t, !usedUnsound)
		assert.Equal(t, last.Version, 2)
		assert.Equal(t, e.orders, 1)
	}
}

// A load of a previous agent has ended before anyone could examine it.
func TestBadLoadThatEndedBeforeTheAgentStartedIsNotUsed(t *testing.T) {
	e := &fakeEngine{staged: stagedVersion(2), startTimeMs: 1000}
	delete(e.staged, 3)
	begun, err := e.apply(LoadOrder{Model: "m", Version: 2, Token: 1})
	assert.Assert(t, begun && err == nil)
	e.loading = time.Time{}
	_, usedUnsound := runUsed(t, Config{}, e, e, newAssignment(2, 0, 1))
	assert.Assert(t, !usedUnsound)
}

// An engine whose layers cannot be ordered one by one holds a bad load until a newer version comes.
func TestBadLoadOfEngineWithoutLayersIsNotUsed(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	w := hookedEngine{fakeEngine: e, ordered: func(o LoadOrder) {
		if o.Version == 2 {
			e.set(func() { e.staged[3] = "corrupt" })
		}
	}}
	a := newAssignment(2, 0, 1)
	a.Layers = 1
	last, usedUnsound := runUsed(t, Config{}, e, w, a)
	assert.Assert(t, e.loadedInvalid && !usedUnsound)
	assert.Equal(t, last.Version, 0)
	assert.Equal(t, e.orders, 1)
}

// Guards against layers of a load that was never examined, because the next load began before it was seen to end.
func TestLoadAfterOneThatWasNotSeenToEndIsNotProven(t *testing.T) {
	as := assignmentState{Assignment: newAssignment(2, 0, 1)}
	report := func(sequence int64, busy bool, version int, layers LayerRange) Report {
		return Report{Sequence: sequence, Busy: busy, Layers: layers, Models: []fleet.ModelVersion{{Model: "m", Version: version}}}
	}
	all := LayerRange{0, engineLayers}
	p := loadProof{}
	p.observe(start, report(0, false, 1, all), as)
	first := report(1, true, 2, LayerRange{1, engineLayers})
	assert.Assert(t, p.observe(start, first, as))
	p.record(first, 0)
	second := report(2, false, 2, all)
	assert.Assert(t, p.observe(start, second, as))
	p.record(second, 2)
	p.conclude(second.held("m"))
	assert.Assert(t, p.unsound)
}

// An agent is lost before it has examined a load that is not whole, and entries tell the next agent so.
func TestUnprovenLoadOfPreviousAgentIsExamined(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		for name, staged := range map[string]string{"corrupt": "corrupt", "of another version": content(7, 3)} {
			e := &fakeEngine{staged: stagedVersion(2), serves: 1}
			e.staged[3] = staged
			_, err := e.apply(LoadOrder{Model: "m", Version: 2})
			assert.NilError(t, err)
			e.loading = time.Time{}
			assert.Assert(t, e.unsound())
			a := newAssignment(2, 0, 1)
			a.Added.Unproven = true
			last, usedUnsound := runUsed(t, Config{FirstStart: firstStart}, e, e, a)
			assert.Assert(t, !usedUnsound, name)
			assert.Equal(t, last.Version, 2, name)
			assert.Assert(t, !e.unsound(), name)
		}
	}
}

// An engine that was left with bad layers is loaded again layer by layer, whatever goes wrong meanwhile.
func TestEngineIsNeverUsedWithBadLayers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := &fakeEngine{staged: map[int]string{}, serves: rapid.IntRange(0, 1).Draw(rt, "serves"), startTimeMs: 1000,
			ignoresTokens: rapid.Bool().Draw(rt, "unfenced"), survivesRestart: true}
		// What happens as each of the first orders and reads reaches the engine.
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 12).Draw(rt, "orders")
		pausesMs := rapid.SliceOfN(rapid.IntRange(0, 4000), 12, 12).Draw(rt, "pauses")
		index := rapid.IntRange(0, pieces-1)
		indexes := rapid.SliceOfN(index, 12, 12).Draw(rt, "pieces")
		n := 0
		w := hookedEngine{fakeEngine: e, ordered: func(LoadOrder) {
			if n >= len(faults) {
				return
			}
			k := n
			n++
			e.set(func() {
				switch faults[k] {
				case 1:
					e.staged[indexes[k]] = "corrupt"
				case 2:
					e.staged[indexes[k]] = content(7, indexes[k])
				case 3, 4: // a crash, or a loss of power
					e.newProcess()
					e.startTimeMs++
					if faults[k] == 4 {
						e.staged = map[int]string{}
					}
				case 5:
					e.late = append(e.late, time.Duration(pausesMs[k])*time.Millisecond)
				}
			})
			if faults[k] < 5 {
				time.Sleep(time.Duration(pausesMs[k]) * time.Millisecond)
			}
		}}
		last, usedUnsound := runUsed(t, Config{}, e, w, newAssignment(2, 0, 1))
		if usedUnsound || e.unsound() {
			rt.Fatalf("used an engine with bad layers")
		}
		if last.Version != 2 {
			rt.Fatalf("serves version %d after %d orders", last.Version, n)
		}
	})
}
