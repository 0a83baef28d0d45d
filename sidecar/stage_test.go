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

// watchedEngine calls hooks before reads, puts and orders.
type watchedEngine struct {
	*fakeEngine
	read    func(index int) error // an error is no answer
	put     func(index int)
	ordered func(o LoadOrder)
}

func (w watchedEngine) StagedPiece(ctx context.Context, addr, model string, index int) ([]byte, error) {
	if w.read != nil {
		if err := w.read(index); err != nil {
			return nil, err
		}
	}
	return w.fakeEngine.StagedPiece(ctx, addr, model, index)
}

func (w watchedEngine) PutPiece(ctx context.Context, addr, model string, index int, data []byte) error {
	if w.put != nil {
		w.put(index)
	}
	return w.fakeEngine.PutPiece(ctx, addr, model, index, data)
}

func (w watchedEngine) StartLoad(ctx context.Context, addr string, o LoadOrder) error {
	if w.ordered != nil {
		w.ordered(o)
	}
	return w.fakeEngine.StartLoad(ctx, addr, o)
}

func stagedWhole(version int) map[int]string {
	staged := map[int]string{}
	for i := range pieces {
		staged[i] = content(version, i)
	}
	return staged
}

// An agent that starts anew cannot read all of what the one before has staged and
// ordered: that says nothing of the order.
func TestReadsWithoutAnAnswerDoNotSettleAnOrder(t *testing.T) {
	for name, fails := range map[string]func(index int) bool{
		"all but the first": func(i int) bool { return i > 0 },
		"the first":         func(i int) bool { return i == 0 },
		"all":               func(int) bool { return true },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{staged: stagedWhole(2)}
				until := time.Now().Add(300 * time.Millisecond)
				w := watchedEngine{fakeEngine: e, read: func(index int) error {
					if fails(index) && time.Now().Before(until) {
						return errors.New("no answer")
					}
					return nil
				}}
				time.AfterFunc(700*time.Millisecond, func() { e.set(func() { _ = e.take(LoadOrder{Model: "m", Version: 2, Token: 1}) }) })
				s, said, end := begin(t, Config{}, w, &fakeSource{delay: 500 * time.Millisecond})
				s.Assign(time.Now(), assignment(3, 0, 1))
				time.Sleep(30 * time.Second)
				end()
				assert.Assert(t, !e.spoilt, "loaded what was not whole")
				assert.Equal(t, said().Version, 3)
			})
		})
	}
}

// One piece of what the agent before has staged is missing or spoilt, also the
// first: the others tell which version it is.
func TestStageWithOneBadPieceIsTakenOver(t *testing.T) {
	for _, lies := range []string{"", "rot"} {
		for index := range pieces {
			e := &fakeEngine{staged: stagedWhole(2)}
			e.staged[index] = lies
			run(t, Config{}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
				s.Assign(time.Now(), assignment(2, 0, 1))
				time.Sleep(2 * time.Second)
				assert.Equal(t, said().Version, 2, "piece %d", index)
				assert.Assert(t, !e.spoilt)
			})
		}
	}
}

// One missing piece is no proof that nothing was ordered.
func TestOrderOfAStageWithoutItsFirstPieceIsRepeated(t *testing.T) {
	e := &fakeEngine{staged: stagedWhole(2)}
	delete(e.staged, 0)
	run(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		a := assignment(3, 0, 1)
		a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 1500}}
		s.Assign(time.Now(), a)
		time.AfterFunc(600*time.Millisecond, func() { e.set(func() { _ = e.take(LoadOrder{Model: "m", Version: 2, Token: 1}) }) })
		time.Sleep(10 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// An agent that is frozen in the midst of its checks, or whose reads are slow,
// checks anew before it sends the order.
func TestOrderIsSentOnlyOnChecksThatAreNotOld(t *testing.T) {
	const frozen, latest = 8 * time.Second, 1500 * time.Millisecond
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	var mu sync.Mutex
	checked, slept := map[int]time.Time{}, false
	w := watchedEngine{fakeEngine: e, read: func(index int) error {
		mu.Lock()
		freeze := index == 5 && !slept
		slept = slept || freeze
		checked[index] = time.Now()
		mu.Unlock()
		if freeze {
			e.set(func() { e.staged[0] = "rot" })
			time.Sleep(frozen)
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
	run(t, Config{}, w, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 1, 2))
		time.Sleep(30 * time.Second)
		assert.Equal(t, said().Version, 2)
	})
	assert.Assert(t, slept && orders > 0)
	assert.Assert(t, !e.spoilt)
}

// An engine that heeds no tokens takes the order that is to shut out older ones,
// and those too: only the refusal of a lower token tells.
func TestEngineThatHeedsNoTokensIsNotTakenForFenced(t *testing.T) {
	e := &fakeEngine{staged: stagedWhole(2), serves: 1, unfenced: true}
	run(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		time.AfterFunc(600*time.Millisecond, func() { e.set(func() { _ = e.take(LoadOrder{Model: "m", Version: 2, Token: 1}) }) })
		s.Assign(time.Now(), thirdAfterSecond())
		time.Sleep(10 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt, "loaded what was not whole")
	})
}

// refusingEngine refuses orders of one version, once it has left one unanswered.
type refusingEngine struct {
	*fakeEngine
	version int
	sent    *atomic.Int64
}

func (r refusingEngine) StartLoad(ctx context.Context, addr string, o LoadOrder) error {
	if o.Version != r.version {
		return r.fakeEngine.StartLoad(ctx, addr, o)
	}
	if r.sent.Add(1) == 1 {
		return ErrOrderInDoubt
	}
	return errors.New("status 503")
}

// The repeat of an order is put off longer each time, also if it is refused:
// all pieces are read for each.
func TestRefusedRepeatIsPutOff(t *testing.T) {
	var sent atomic.Int64
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	run(t, Config{}, refusingEngine{e, 2, &sent}, &fakeSource{}, func(s *Sidecar, _ func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(10 * time.Second)
		n := sent.Load()
		assert.Assert(t, n > 5 && n < 20, "%d orders in 10 s", n)
	})
}
