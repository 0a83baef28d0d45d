package sidecar

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/weights"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const pieces = 8

func content(version, index int) string { return fmt.Sprintf("version %d piece %d", version, index) }

// fakeEngine loads what is staged and knows whether that was whole.
type fakeEngine struct {
	mu      sync.Mutex
	down    bool
	staged  map[int]string
	serves  int
	spoilt  bool // it was ever told to load what was not whole
	orders  int
	reads   int
	loading time.Time
	late    []time.Duration // how late the next orders take effect; these get no answer. Negative: never

	// uncounted: it neither counts orders nor heeds tokens or preconditions, and
	// refuses one of what it serves. unfenced: it heeds no tokens.
	uncounted, unfenced bool
	// outlive: late orders also reach the next process of the engine.
	outlive bool
	// loseAll: also orders of what it serves are late.
	loseAll  bool
	sequence int64
	token    uint64        // the highest seen
	lives    int           // starts
	born     int64         // Unix milliseconds of the last start; 0 if it does not tell
	slow     bool          // puts get no answer, and land slowPut later
	readTime time.Duration // of a staged piece
}

// slowPut is how late a piece lands of which the put got no answer: after the put
// was given up, and before the last turn of a version announced with it.
const slowPut = 6400 * time.Millisecond

func (e *fakeEngine) Report(context.Context, string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Report{}, errors.New("refused")
	}
	r := Report{Busy: time.Now().Before(e.loading), Sequence: e.sequence, StartTimeMs: e.born}
	if e.serves > 0 {
		r.Models = []fleet.ModelVersion{{Model: "m", Version: e.serves, Layers: 16}}
	}
	return r, nil
}

func (e *fakeEngine) PutPiece(ctx context.Context, _, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errors.New("refused")
	}
	if e.slow {
		time.AfterFunc(slowPut, func() { e.set(func() { e.staged[index] = string(data) }) })
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return ctx.Err()
	}
	e.staged[index] = string(data)
	return nil
}

func (e *fakeEngine) StagedPiece(_ context.Context, _, _ string, index int) ([]byte, error) {
	time.Sleep(e.readTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.down:
		return nil, errors.New("refused")
	case e.staged[index] == "":
		return nil, ErrNotStaged
	}
	e.reads++
	return []byte(e.staged[index]), nil
}

func (e *fakeEngine) StartLoad(ctx context.Context, _ string, o LoadOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || len(e.late) == 0 || o.Version == e.serves && !e.loseAll {
		return e.take(o)
	}
	late, life := e.late[0], e.lives
	e.late = e.late[1:]
	if late >= 0 {
		time.AfterFunc(late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.lives == life || e.outlive { // else it ended with its connection
				_ = e.take(o) // nobody hears of it
			}
		})
	}
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return ErrOrderInDoubt
}

// take lets an order take effect on what is staged now.
func (e *fakeEngine) take(o LoadOrder) error {
	switch {
	case e.down:
		return errors.New("refused")
	case !e.uncounted && !e.unfenced && o.Token < e.token:
		return ErrOrderFenced
	case time.Now().Before(e.loading), !e.uncounted && o.Precondition != e.sequence, e.uncounted && e.serves == o.Version:
		return ErrOrderStale
	}
	e.token = max(e.token, o.Token)
	if e.serves == o.Version {
		return nil
	}
	e.orders++
	if !e.uncounted {
		e.sequence++
	}
	for i := range pieces {
		e.spoilt = e.spoilt || e.staged[i] != content(o.Version, i)
	}
	e.serves = o.Version
	e.loading = time.Now().Add(300 * time.Millisecond)
	return nil
}

// restart makes the engine forget all but what is staged.
func (e *fakeEngine) restart() {
	e.set(func() {
		e.down, e.serves, e.loading, e.sequence, e.token = true, 0, time.Time{}, 0, 0
		e.lives++
	})
	time.Sleep(300 * time.Millisecond)
	e.set(func() { e.down = false })
}

// set changes the engine between steps.
func (e *fakeEngine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// fakeSource takes its time for each piece.
type fakeSource struct {
	mu      sync.Mutex
	delay   time.Duration
	fetched int
	lacks   int // a version of which only the first piece can be had
}

func (s *fakeSource) Manifest(_ context.Context, model string, version int) (*weights.Manifest, error) {
	m := &weights.Manifest{Model: model, Version: version}
	for i := range pieces {
		m.Digests = append(m.Digests, sha256.Sum256([]byte(content(version, i))))
	}
	return m, nil
}

func (s *fakeSource) Piece(_ context.Context, m *weights.Manifest, index int) ([]byte, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Version == s.lacks && index > 0 {
		return nil, weights.ErrNoSource
	}
	s.fetched++
	return []byte(content(m.Version, index)), nil
}

// begin starts a sidecar inside a bubble; end stops it.
func begin(t *testing.T, cfg Config, e Engine, source *fakeSource) (s *Sidecar, said func() peer.EngineState, end func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var mu sync.Mutex
	var last peer.EngineState
	s = New(cfg, e, "engine", source, func(st peer.EngineState) {
		mu.Lock()
		defer mu.Unlock()
		last = st
	}, NewStats(metrics.NewRegistry()), log)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	said = func() peer.EngineState {
		mu.Lock()
		defer mu.Unlock()
		return last
	}
	return s, said, func() {
		cancel()
		<-done
	}
}

// run starts a sidecar in a bubble of its own time.
func run(t *testing.T, cfg Config, e Engine, source *fakeSource, f func(s *Sidecar, said func() peer.EngineState)) {
	synctest.Test(t, func(t *testing.T) {
		s, said, end := begin(t, cfg, e, source)
		f(s, said)
		end()
	})
}

func TestEmptyEngineIsStagedAndLoaded(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}}
	run(t, Config{}, e, &fakeSource{delay: 30 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(1, 0, 0))
		time.Sleep(3 * time.Second)
		assert.Equal(t, said().Version, 1)
		assert.Assert(t, !said().Loading)
		assert.Assert(t, !e.spoilt)
		assert.Equal(t, e.orders, 1)
	})
}

// Staged bytes may go bad before the load is ordered; they are checked again.
func TestPieceThatWentBadIsStagedAgain(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	run(t, Config{}, e, &fakeSource{delay: 30 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 1, 2)) // the last turn comes after 6.7 s
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.orders, 0, "it is not this engine's turn")
		e.set(func() { e.staged[2] = "rot" })
		time.Sleep(4 * time.Second)
		assert.Equal(t, said().Version, 2)
		assert.Assert(t, !e.spoilt)
	})
}

// A slow transfer makes the first pieces old by the time the last has come.
func TestPiecesOfASlowTransferAreCheckedAgain(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}}
	run(t, Config{Fetches: 1}, e, &fakeSource{delay: time.Second}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(1, 0, 0))
		time.Sleep(5 * time.Second)
		e.set(func() { e.staged[0] = "rot" })
		time.Sleep(10 * time.Second)
		assert.Equal(t, said().Version, 1)
		assert.Assert(t, !e.spoilt)
	})
}

// The pieces of a new engine are fetched while it starts.
func TestPiecesAreFetchedBeforeTheEngineAnswers(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, down: true}
	source := &fakeSource{delay: 100 * time.Millisecond}
	run(t, Config{}, e, source, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(1, 0, 0))
		time.Sleep(2 * time.Second)
		source.mu.Lock()
		assert.Equal(t, source.fetched, pieces)
		source.mu.Unlock()
		e.set(func() { e.down = false })
		time.Sleep(time.Second)
		assert.Equal(t, said().Version, 1)
		source.mu.Lock()
		assert.Equal(t, source.fetched, pieces, "none is fetched twice")
		source.mu.Unlock()
	})
}

// What was staged before a crash of the engine is used again.
func TestStagedPiecesSurviveACrashOfTheEngine(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	for i := range pieces {
		e.staged[i] = content(1, i)
	}
	source := &fakeSource{}
	run(t, Config{}, e, source, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(1, 0, 0))
		time.Sleep(time.Second)
		e.set(func() { e.down, e.serves = true, 0 })
		time.Sleep(time.Second)
		assert.Equal(t, said().Version, 0)
		e.set(func() { e.down = false })
		time.Sleep(2 * time.Second)
		assert.Equal(t, said().Version, 1)
		assert.Equal(t, source.fetched, 0)
	})
}

// A version that is named while an older one is staged takes its place.
func TestNewerVersionTakesThePlaceOfOneBeingStaged(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	run(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(700 * time.Millisecond)
		s.Assign(time.Now(), assignment(3, 0, 1))
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(10 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
		assert.Equal(t, e.orders, 1)
	})
}

// The origin goes away just after a newer version was announced. The one before
// is served in time, and the newer one when it can be had.
func TestOlderVersionIsServedInTimeIfTheNewerCannotBeHad(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	source := &fakeSource{delay: 250 * time.Millisecond, lacks: 3}
	run(t, Config{}, e, source, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 1, 2))
		time.Sleep(1600 * time.Millisecond)
		s.Assign(time.Now(), assignment(3, 1, 2))
		time.Sleep(6 * time.Second)
		assert.Equal(t, said().Version, 2, "within 8 s of its announcement")
		source.mu.Lock()
		source.lacks = 0
		source.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
		assert.Equal(t, e.orders, 2)
	})
}

// An engine that has not begun to stage the newer version takes the one before
// if the newer cannot be had.
func TestStalledVersionGivesWayToTheOneBefore(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}}
	run(t, Config{}, e, &fakeSource{lacks: 3}, func(s *Sidecar, said func() peer.EngineState) {
		a := assignment(3, 0, 0)
		a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 2000}}
		s.Assign(time.Now(), a)
		time.Sleep(3 * time.Second)
		assert.Equal(t, said().Version, 2)
		assert.Assert(t, !e.spoilt)
	})
}

// A newer version that can be had in time is loaded in place of the older one,
// which is staged already.
func TestNewerVersionFetchedAheadIsLoadedAlone(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	run(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 1, 2))
		time.Sleep(1400 * time.Millisecond)
		s.Assign(time.Now(), assignment(3, 1, 2))
		time.Sleep(8 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Equal(t, e.orders, 1)
		assert.Assert(t, !e.spoilt)
	})
}

// What callers saw: tokens of version 3 that were made with other weights, some
// seconds after version 4 was named. What happened, in this order: version 3 was
// staged and checked; the order to load it got no answer; the agent gave it up
// and put the pieces of version 4 over those of 3; the engine took the first order
// then and loaded what was staged by that time under the number 3. Others went
// back from 4 to 3 by the same order. The cause: an order without an answer was
// held to be one that was not carried out, and what it refers to, the staged
// pieces, was changed while it could still take effect.
//
// What proved it: the engine's own numbering of orders puts the unanswered order
// of 3 after the puts of 4, some seconds after it was sent, and at that time the
// agent sent no order of 3; the staged pieces were checked less than a
// second before the order; of the puts none was given up for time, and those that
// failed were refused connections of engines that were down.
func TestLateOrderLoadsOnlyWhatIsWhole(t *testing.T) {
	for _, c := range []struct {
		name    string
		late    []time.Duration
		serves  int  // before
		anew    bool // the agent is started anew before version 3 is assigned
		restart bool // the engine is
		noToken bool // the engine heeds none
	}{
		{"while a newer version is staged", seconds(2.9), 1, false, false, false},
		{"after a newer version was loaded", seconds(9), 1, false, false, false},
		{"at an engine that serves nothing", seconds(6), 0, false, false, false},
		{"several without an answer", seconds(11, 7, 5, 4, 12, 8), 1, false, false, false},
		{"several that never come", seconds(-1, -1, -1), 1, false, false, false},
		{"agent started anew while it stages", seconds(2.5), 1, true, false, false},
		{"agent started anew and done", seconds(8), 1, true, false, false},
		{"agent started anew, its orders without an answer", seconds(8, 5, 6, 3, 9), 1, true, false, false},
		{"agent started anew at an engine that serves nothing", seconds(8), 0, true, false, false},
		{"agent started anew, several at an engine that serves nothing", seconds(12, 9, 4), 0, true, false, false},
		{"engine started anew", seconds(6), 1, false, true, false},
		{"engine started anew, several without an answer", seconds(9, 7, 5), 1, false, true, false},
		{"engine and agent started anew", seconds(9, 7, 5), 1, true, true, false},
		{"no tokens", seconds(8), 1, false, false, true},
		{"no tokens, agent started anew", seconds(8), 1, true, false, true},
		{"no tokens, agent started anew, several", seconds(8, 7, 6, 5), 1, true, false, true},
		{"no tokens, engine and agent started anew", seconds(9, 7, 5), 1, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{staged: map[int]string{}, serves: c.serves, late: c.late, unfenced: c.noToken}
				source := &fakeSource{delay: 200 * time.Millisecond}
				s, said, end := begin(t, Config{}, e, source)
				s.Assign(time.Now(), assignment(2, 0, 1))
				time.Sleep(1200 * time.Millisecond)
				if c.anew {
					end()
					s, said, end = begin(t, Config{}, e, source)
				}
				if c.restart {
					e.restart()
				}
				s.Assign(time.Now(), thirdAfterSecond())
				time.Sleep(30 * time.Second)
				end()
				assert.Assert(t, !e.spoilt, "loaded what was not whole")
				assert.Equal(t, e.serves, 3)
				assert.Equal(t, said().Version, 3)
				assert.Assert(t, !s.doubt.open)
			})
		})
	}
}

func seconds(s ...float64) (out []time.Duration) {
	for _, x := range s {
		out = append(out, time.Duration(x*float64(time.Second)))
	}
	return out
}

// thirdAfterSecond assigns version 3, announced 1.5 s after version 2.
func thirdAfterSecond() peer.Assignment {
	a := assignment(3, 0, 1)
	a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 1500}}
	return a
}

// An order without an answer is repeated until the engine's report or an answer
// settles it, and counted once.
func TestOrderWithoutAnAnswerIsRepeated(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, late: seconds(-1, -1)}
	run(t, Config{}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(1, 0, 0))
		time.Sleep(2 * time.Second)
		assert.Equal(t, said().Version, 1)
		assert.Equal(t, e.orders, 1)
		assert.Equal(t, s.stats.ordersInDoubt.Count(), int64(1))
		assert.Equal(t, s.stats.ordersSettled.Count(), int64(1))
		assert.Equal(t, s.stats.ordersFailed.Count(), int64(2))
		assert.Equal(t, s.stats.orders.Count(), int64(1))
	})
}

// A piece that goes bad while an order is in doubt is put there again, and a
// newer version only when the order is settled.
func TestPieceThatGoesBadWhileAnOrderIsInDoubtIsStagedAgain(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, late: seconds(6, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1)}
	run(t, Config{VerifyAge: time.Hour}, e, &fakeSource{delay: 30 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(time.Second)
		s.Assign(time.Now(), thirdAfterSecond())
		e.set(func() { e.staged[5] = "rot" })
		time.Sleep(3 * time.Second)
		e.set(func() {
			for i := range pieces {
				assert.Equal(t, e.staged[i], content(2, i))
			}
		})
		time.Sleep(20 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// A piece of a version whose order is in doubt cannot be had any more: the order
// is shut out, and the newer version takes its place.
func TestOrderWhosePiecesAreGoneIsShutOut(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, late: seconds(9, -1)}
	source := &fakeSource{}
	run(t, Config{}, e, source, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(300 * time.Millisecond)
		s.Assign(time.Now(), thirdAfterSecond())
		source.mu.Lock()
		source.lacks = 2
		source.mu.Unlock()
		e.set(func() { e.staged[5] = "rot" })
		time.Sleep(5 * time.Second)
		assert.Equal(t, said().Version, 3, "before the order comes")
		time.Sleep(20 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// A piece goes bad while an order is in doubt, and its source takes long to hand
// it out again. The order takes effect 3.8 s after that, later than the 3 s for
// which bytes that went bad are excused: it has to be shut out before the fetch is
// waited for.
func TestOrderIsShutOutWhileABadPieceIsFetched(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, late: seconds(4.5, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1)}
	source := &fakeSource{}
	run(t, Config{}, e, source, func(s *Sidecar, _ func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(700 * time.Millisecond)
		source.mu.Lock()
		source.lacks, source.delay = 2, 5900*time.Millisecond
		source.mu.Unlock()
		e.set(func() { e.staged[5] = "rot" })
		time.Sleep(20 * time.Second)
	})
	assert.Assert(t, !e.spoilt)
}

// The clock was stepped back since the agent before gave its orders, so that the
// tokens of the new one are too low at first.
func TestTokensAreLiftedOverThoseOfTheAgentBefore(t *testing.T) {
	for _, ahead := range []time.Duration{2 * time.Second, time.Hour} {
		e := &fakeEngine{staged: map[int]string{}, serves: 1, sequence: 4}
		run(t, Config{}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
			e.set(func() { e.token = uint64(time.Now().Add(ahead).UnixMilli()) })
			s.Assign(time.Now(), assignment(2, 0, 1))
			time.Sleep(8 * time.Second)
			assert.Equal(t, said().Version, 2)
			assert.Assert(t, !e.spoilt)
		})
	}
}

// What lies staged of a version that nobody knows any more is left there until no
// order of it can come.
func TestStageOfAnUnknownVersionIsLeftForAWhile(t *testing.T) {
	for _, down := range []bool{false, true} {
		e := &fakeEngine{staged: map[int]string{}, down: down}
		for i := range pieces {
			e.staged[i] = content(1, i)
		}
		run(t, Config{}, e, &fakeSource{delay: 100 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
			s.Assign(time.Now(), assignment(5, 0, 0))
			time.Sleep(150 * time.Millisecond) // pieces are being fetched
			e.set(func() { e.down = false })
			time.Sleep(s.cfg.OrderGrace - time.Second)
			e.set(func() {
				for i := range pieces {
					assert.Equal(t, e.staged[i], content(1, i))
				}
			})
			time.Sleep(3 * time.Second)
			assert.Equal(t, said().Version, 5)
			assert.Assert(t, !e.spoilt)
		})
	}
}

// The clock of the agent before was ahead when it gave an order that got no answer.
func TestOrderOfAnAgentWhoseClockWasAheadIsShutOut(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	for i := range pieces {
		e.staged[i] = content(2, i)
	}
	run(t, Config{}, e, &fakeSource{delay: 100 * time.Millisecond}, func(s *Sidecar, said func() peer.EngineState) {
		late := LoadOrder{Model: "m", Version: 2, Token: uint64(time.Now().Add(3 * time.Second).UnixMilli())}
		time.AfterFunc(500*time.Millisecond, func() {
			e.set(func() { assert.ErrorIs(t, e.take(late), ErrOrderFenced) })
		})
		s.Assign(time.Now(), assignment(3, 0, 1))
		time.Sleep(8 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// A first order is repeated with success, and the engine crashes. The order comes
// to its next process, which counts from 0 again, while a newer version is due.
func TestOrderThatOutlivesTheEnginesProcess(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, late: seconds(3.5), outlive: true}
	source := &fakeSource{}
	run(t, Config{}, e, source, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, said().Version, 2)
		source.mu.Lock()
		source.delay = 500 * time.Millisecond
		source.mu.Unlock()
		e.restart()
		s.Assign(time.Now(), thirdAfterSecond())
		time.Sleep(12 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// An engine starts anew within the time between two reports, and its count is again
// what it was: only the time of its start tells. The order in doubt comes to its next
// process, while a newer version is due.
func TestOrderThatOutlivesALifeThatEndedUnseen(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, late: seconds(3.5), outlive: true, serves: 1, born: 1000}
	run(t, Config{}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(510 * time.Millisecond)
		e.set(func() {
			e.serves, e.sequence, e.token, e.born = 0, 0, 0, 2000
			e.lives++
		})
		s.Assign(time.Now(), thirdAfterSecond())
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, said().Born, int64(2000))
		time.Sleep(12 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// An order is not settled by what a later life of the engine has begun.
func TestOrderIsNotSettledByTheCountOfAnotherLife(t *testing.T) {
	d := doubt{open: true, model: "m", version: 2, sequence: 0, born: 1000, last: start}
	assert.Equal(t, d.settled(start, "m", Report{Sequence: 1, StartTimeMs: 2000}, 0, time.Minute), "engine_restarted")
	assert.Equal(t, d.settled(start, "m", Report{Sequence: 1, StartTimeMs: 1000}, 0, time.Minute), "begun")
	assert.Equal(t, d.settled(start, "m", Report{Sequence: 1}, 0, time.Minute), "begun", "it does not tell")
}

// An engine that counts no orders and heeds no tokens is served all the same.
func TestEngineThatCountsNoOrders(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, uncounted: true, late: seconds(1)}
	for i := range pieces {
		e.staged[i] = content(1, i)
	}
	run(t, Config{}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(4 * time.Second)
		assert.Equal(t, said().Version, 2)
		assert.Assert(t, !s.doubt.open)
		assert.Assert(t, !e.spoilt)
	})
}

// A put without an answer lands late, over the piece of a newer version.
func TestPieceThatLandsLateIsNoticed(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, slow: true}
	run(t, Config{VerifyAge: time.Hour}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(100 * time.Millisecond)
		e.set(func() { e.slow = false })
		a := assignment(3, 1, 2) // the turn comes after those pieces
		s.Assign(time.Now(), a)
		time.Sleep(20 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
	})
}

// A put of the agent before lands late, over the piece of a newer version that the new
// agent has staged and checked.
func TestPieceOfTheAgentBeforeThatLandsLateIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{VerifyAge: time.Hour}
		e := &fakeEngine{staged: map[int]string{}, serves: 1, slow: true}
		s, _, end := begin(t, cfg, e, &fakeSource{})
		s.Assign(time.Now(), assignment(2, 0, 1))
		time.Sleep(100 * time.Millisecond)
		e.set(func() { e.slow = false })
		end()
		s, said, end := begin(t, cfg, e, &fakeSource{})
		s.Assign(time.Now(), assignment(3, 1, 2)) // the turn comes after those pieces
		time.Sleep(20 * time.Second)
		assert.Equal(t, said().Version, 3)
		assert.Assert(t, !e.spoilt)
		end()
	})
}

// Reads of staged pieces are so slow that four at a time take longer than a check may
// be old: more are read at once, and the order is sent.
func TestSlowReadsOfStagedPiecesDoNotKeepTheOrder(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, readTime: 900 * time.Millisecond}
	run(t, Config{}, e, &fakeSource{}, func(s *Sidecar, said func() peer.EngineState) {
		s.Assign(time.Now(), assignment(2, 1, 2)) // the turn comes when the checks are old
		time.Sleep(12 * time.Second)
		assert.Equal(t, said().Version, 2)
		assert.Assert(t, !e.spoilt)
	})
}

// An entry that could not read the newest version is gone: the older one is not loaded
// because of it.
func TestVersionWithheldByAnEntryThatIsGone(t *testing.T) {
	s := New(Config{}, &fakeEngine{}, "engine", &fakeSource{}, func(peer.EngineState) {}, NewStats(metrics.NewRegistry()), logrus.New())
	a := assignment(2, 0, 1)
	a.Entry, a.Withheld = "entry-1", true
	s.Assign(start, a)
	assert.Assert(t, s.assigned().withheld())
	s.RemoveEntry("entry-2")
	assert.Assert(t, s.assigned().withheld())
	s.RemoveEntry("entry-1")
	assert.Assert(t, !s.assigned().withheld())
	assert.Equal(t, s.assigned().Version, 2, "the version stays")
}

// Whatever order orders, restarts and versions come in, the engine loads only
// what is whole and serves the newest version in the end.
func TestEngineLoadsOnlyWhatIsWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(from, to int) *rapid.Generator[time.Duration] {
			return rapid.Map(rapid.IntRange(from, to), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
		}
		e := &fakeEngine{staged: map[int]string{}, serves: rapid.IntRange(0, 1).Draw(rt, "serves"), unfenced: rapid.Bool().Draw(rt, "unfenced"),
			loseAll: rapid.Bool().Draw(rt, "lose_all")}
		source := &fakeSource{delay: millis(0, 300).Draw(rt, "fetch")}
		late := rapid.SliceOfN(rapid.OneOf(millis(0, 12_000), rapid.Just(-time.Second)), 0, 6)
		turn := rapid.IntRange(0, 3)
		type event struct {
			after time.Duration
			kind  int // 0 version, 1 agent anew, 2 engine anew, 3 lost answers
			late  []time.Duration
			turn  int
		}
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{millis(0, 6000).Draw(rt, "after"), rapid.IntRange(0, 3).Draw(rt, "kind"), late.Draw(rt, "late"), turn.Draw(rt, "turn")}
		}), 1, 10).Draw(rt, "events")
		var last peer.EngineState
		version := 2
		synctest.Test(t, func(t *testing.T) {
			s, said, end := begin(t, Config{}, e, source)
			announced := map[int]time.Time{}
			turn := 0
			assign := func() {
				a := assignment(version, turn, 3)
				a.AgeMs = time.Since(announced[version]).Milliseconds()
				for v := 2; v < version; v++ {
					if age := time.Since(announced[v]); age < 8*time.Second {
						a.Earlier = append(a.Earlier, peer.AnnouncedVersion{Version: v, AgeMs: age.Milliseconds()})
					}
				}
				s.Assign(time.Now(), a)
			}
			announced[version] = time.Now()
			assign()
			for _, ev := range events {
				time.Sleep(ev.after)
				switch ev.kind {
				case 0:
					version++
					announced[version], turn = time.Now(), ev.turn
					assign()
				case 1:
					end()
					time.Sleep(20 * time.Millisecond) // a process takes longer to start
					s, said, end = begin(t, Config{}, e, source)
					assign()
				case 2:
					e.restart()
				case 3:
					e.set(func() { e.late = ev.late })
				}
			}
			time.Sleep(90 * time.Second)
			last = said()
			end()
		})
		if e.spoilt {
			rt.Fatalf("loaded what was not whole")
		}
		if last.Version != version || e.serves != version {
			rt.Fatalf("serves %d, said %d, want %d", e.serves, last.Version, version)
		}
	})
}
