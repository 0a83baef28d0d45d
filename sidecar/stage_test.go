package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

// hookedEngine calls hooks before reads, puts and orders, and after puts.
type hookedEngine struct {
	*fakeEngine
	read    func(index int) error // an error stands for a read without an answer
	put     func(index int)
	wasPut  func(index int) // called before a put is answered
	ordered func(o LoadOrder)
}

func (w hookedEngine) StagedPiece(ctx context.Context, addr, model string, index int) ([]byte, error) {
	if w.read != nil {
		if err := w.read(index); err != nil {
			return nil, err
		}
	}
	return w.fakeEngine.StagedPiece(ctx, addr, model, index)
}

func (w hookedEngine) PutPiece(ctx context.Context, addr, model string, index int, data []byte) error {
	if w.put != nil {
		w.put(index)
	}
	err := w.fakeEngine.PutPiece(ctx, addr, model, index, data)
	if w.wasPut != nil {
		w.wasPut(index)
	}
	return err
}

func (w hookedEngine) StartLoad(ctx context.Context, addr string, o LoadOrder) (bool, error) {
	if w.ordered != nil {
		w.ordered(o)
	}
	return w.fakeEngine.StartLoad(ctx, addr, o)
}

func stagedVersion(version int) map[int]string {
	staged := map[int]string{}
	for i := range pieces {
		staged[i] = content(version, i)
	}
	return staged
}

// A restarted agent cannot read all pieces that the previous agent has staged and ordered to be
// loaded. Failed reads must not settle the order.
func TestUnansweredReadsDoNotSettleOrder(t *testing.T) {
	for name, fails := range map[string]func(index int) bool{
		"all but the first": func(i int) bool { return i > 0 },
		"the first":         func(i int) bool { return i == 0 },
		"all":               func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{staged: stagedVersion(2)}
				until := time.Now().Add(300 * time.Millisecond)
				w := hookedEngine{fakeEngine: e, read: func(index int) error {
					if fails(index) && time.Now().Before(until) {
						return errors.New("no answer")
					}
					return nil
				}}
				time.AfterFunc(700*time.Millisecond, func() { e.set(func() { _, _ = e.apply(LoadOrder{Model: "m", Version: 2, Token: 1}) }) })
				s, published, stop := startSidecar(t, Config{}, w, &fakeSource{delay: 500 * time.Millisecond})
				s.Assign(time.Now(), newAssignment(3, 0, 1))
				time.Sleep(30 * time.Second)
				stop()
				assert.Assert(t, !e.loadedInvalid, "loaded missing, corrupt or mixed pieces")
				assert.Equal(t, published().Version, 3)
			})
		})
	}
}

// One of the pieces that the previous agent has staged is missing or corrupt, possibly the
// first. The other pieces identify the version.
func TestStageWithOneBadPieceIsAdopted(t *testing.T) {
	for _, data := range []string{"", "corrupt"} {
		for index := range pieces {
			e := &fakeEngine{staged: stagedVersion(2)}
			e.staged[index] = data
			runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
				s.Assign(time.Now(), newAssignment(2, 0, 1))
				time.Sleep(2 * time.Second)
				assert.Equal(t, published().Version, 2, "piece %d", index)
				assert.Assert(t, !e.loadedInvalid)
			})
		}
	}
}

// The manifest of another version that may be staged is not available. Once the sample matches the
// assigned version, the agent does not wait for it.
func TestOtherManifestsAreNotAwaited(t *testing.T) {
	e := &fakeEngine{staged: stagedVersion(2)}
	runSidecar(t, Config{}, e, &fakeSource{silent: 1}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(s.cfg.InspectTimeout / 2)
		assert.Equal(t, published().Version, 2)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// If one of the staged pieces is missing, the previous agent may have ordered the load all
// the same.
func TestOrderIsRepeatedIfFirstPieceIsMissing(t *testing.T) {
	e := &fakeEngine{staged: stagedVersion(2)}
	delete(e.staged, 0)
	runSidecar(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		a := newAssignment(3, 0, 1)
		a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 1500}}
		s.Assign(time.Now(), a)
		time.AfterFunc(600*time.Millisecond, func() { e.set(func() { _, _ = e.apply(LoadOrder{Model: "m", Version: 2, Token: 1}) }) })
		time.Sleep(10 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// An agent that is paused during its checks, or whose reads are slow, repeats the checks before
// it sends the order.
func TestOrderRequiresRecentChecks(t *testing.T) {
	const pauseTime, latest = 8 * time.Second, 1500 * time.Millisecond
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	var mu sync.Mutex
	checked, paused := map[int]time.Time{}, false
	w := hookedEngine{fakeEngine: e, read: func(index int) error {
		mu.Lock()
		pauseNow := index == 5 && !paused
		paused = paused || pauseNow
		checked[index] = time.Now()
		mu.Unlock()
		if pauseNow {
			e.set(func() { e.staged[0] = "corrupt" })
			time.Sleep(pauseTime)
		}
		return nil
	}}
	w.put = func(index int) {
		mu.Lock()
		defer mu.Unlock()
		checked[index] = time.Now()
	}
	orders := 0
	w.ordered = func(o LoadOrder) {
		if o.Version != 2 {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		orders++
		for i, at := range checked {
			assert.Check(t, time.Since(at) < latest, "piece %d was read or put %s before the order", i, time.Since(at))
		}
	}
	runSidecar(t, Config{}, w, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 1, 2))
		time.Sleep(30 * time.Second)
		assert.Equal(t, published().Version, 2)
	})
	assert.Assert(t, paused && orders > 0)
	assert.Assert(t, !e.loadedInvalid)
}

// An engine that ignores tokens accepts the fencing order and older orders as well. Only
// the refusal of an order with a lower token proves that older orders are fenced.
func TestEngineIgnoringTokensIsNotConsideredFenced(t *testing.T) {
	e := &fakeEngine{staged: stagedVersion(2), serves: 1, ignoresTokens: true}
	runSidecar(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		time.AfterFunc(600*time.Millisecond, func() { e.set(func() { _, _ = e.apply(LoadOrder{Model: "m", Version: 2, Token: 1}) }) })
		s.Assign(time.Now(), thirdAfterSecond())
		time.Sleep(10 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid, "loaded missing, corrupt or mixed pieces")
	})
}

// refusingEngine leaves the first order for a version unanswered and refuses the others.
type refusingEngine struct {
	*fakeEngine
	version int
	sent    *atomic.Int64
}

func (r refusingEngine) StartLoad(ctx context.Context, addr string, o LoadOrder) (bool, error) {
	if o.Version != r.version {
		return r.fakeEngine.StartLoad(ctx, addr, o)
	}
	if r.sent.Add(1) == 1 {
		return false, ErrOrderInDoubt
	}
	return false, errors.New("status 503")
}

// The back-off between repeats of an order increases also when the repeats are refused,
// since each repeat reads all pieces.
func TestRefusedRepeatBacksOff(t *testing.T) {
	var sent atomic.Int64
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	runSidecar(t, Config{}, refusingEngine{e, 2, &sent}, &fakeSource{}, func(s *Sidecar, _ func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(10 * time.Second)
		n := sent.Load()
		assert.Assert(t, n > 5 && n < 20, "%d orders in 10 s", n)
	})
}

// Guards against load orders that are repeated without a pause: each needs recent checks of all pieces.
func TestRefusedOrdersBackOff(t *testing.T) {
	n := 0
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	w := refusingAllEngine{e, &n}
	runSidecar(t, Config{}, w, &fakeSource{}, func(s *Sidecar, _ func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(10 * time.Second)
	})
	assert.Assert(t, n > 5 && n < 40, "%d orders in 10 s", n)
}

// Guards against an engine that is out of use because it refuses the orders for a newer version.
func TestEngineThatRefusesOrdersStaysInUse(t *testing.T) {
	inUse, n := 0, 0
	w := refusingAllEngine{&fakeEngine{staged: map[int]string{}, serves: 1}, &n}
	runSidecar(t, Config{}, w, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			if p := published(); p.Version == 1 && !p.Loading {
				inUse++
			}
		}
	})
	assert.Assert(t, n > 5 && inUse > 900, "%d orders, in use %d times of 1000", n, inUse)
}

// refusingAllEngine refuses all orders for version 2.
type refusingAllEngine struct {
	*fakeEngine
	refused *int
}

func (r refusingAllEngine) StartLoad(ctx context.Context, addr string, o LoadOrder) (bool, error) {
	if o.Version != 2 {
		return r.fakeEngine.StartLoad(ctx, addr, o)
	}
	*r.refused++
	return false, errors.New("status 400")
}

// A piece becomes corrupt before the answer to its put arrives, seconds later.
func TestPieceCorruptedBeforeLateAnswerToItsPutIsStagedAgain(t *testing.T) {
	for _, answerTime := range seconds(3.1, 4.1, 5.1) {
		e := &fakeEngine{staged: map[int]string{}, serves: 1}
		var once sync.Once
		w := hookedEngine{fakeEngine: e, wasPut: func(index int) {
			if index == pieces-1 {
				once.Do(func() {
					e.set(func() { e.staged[index] = "corrupt" })
					time.Sleep(answerTime)
				})
			}
		}}
		runSidecar(t, Config{FirstStart: true}, w, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
			s.Assign(time.Now(), newAssignment(2, 0, 1))
			time.Sleep(20 * time.Second)
			assert.Equal(t, published().Version, 2)
		})
		assert.Assert(t, !e.loadedInvalid, "answer after %s", answerTime)
	}
}
