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
	late    []time.Duration // how late the next orders take effect; these get no answer
}

func (e *fakeEngine) Report(context.Context, string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Report{}, errors.New("refused")
	}
	r := Report{Busy: time.Now().Before(e.loading)}
	if e.serves > 0 {
		r.Models = []fleet.ModelVersion{{Model: "m", Version: e.serves, Layers: 16}}
	}
	return r, nil
}

func (e *fakeEngine) PutPiece(_ context.Context, _, _ string, index int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return errors.New("refused")
	}
	e.staged[index] = string(data)
	return nil
}

func (e *fakeEngine) StagedPiece(_ context.Context, _, _ string, index int) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.staged[index] == "" {
		return nil, errors.New("not there")
	}
	e.reads++
	return []byte(e.staged[index]), nil
}

func (e *fakeEngine) Start(ctx context.Context, _, _ string, version int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.late) == 0 {
		return e.take(version)
	}
	late := e.late[0]
	e.late = e.late[1:]
	time.AfterFunc(late, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		_ = e.take(version) // nobody hears of it
	})
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return ctx.Err()
}

// take lets an order take effect on what is staged now.
func (e *fakeEngine) take(version int) error {
	switch {
	case e.down || time.Now().Before(e.loading):
		return errors.New("refused")
	case e.serves == version:
		return nil
	}
	e.orders++
	for i := range pieces {
		e.spoilt = e.spoilt || e.staged[i] != content(version, i)
	}
	e.serves = version
	e.loading = time.Now().Add(300 * time.Millisecond)
	return nil
}

// restart makes the engine forget all but what is staged.
func (e *fakeEngine) restart() {
	e.set(func() { e.down, e.serves, e.loading = true, 0, time.Time{} })
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
func begin(t *testing.T, cfg Config, e *fakeEngine, source *fakeSource) (s *Sidecar, said func() peer.EngineState, end func()) {
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
func run(t *testing.T, cfg Config, e *fakeEngine, source *fakeSource, f func(s *Sidecar, said func() peer.EngineState)) {
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
// of 3 after the puts of 4, which came 2 to 12 s after it was sent, and no other
// order of 3 was sent in that time; the staged pieces were checked less than a
// second before the order, and no put failed.
func TestLateOrderLoadsOnlyWhatIsWhole(t *testing.T) {
	seconds := func(s ...float64) (out []time.Duration) {
		for _, x := range s {
			out = append(out, time.Duration(x*float64(time.Second)))
		}
		return out
	}
	both := func() peer.Assignment {
		a := assignment(3, 0, 1)
		a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 1500}}
		return a
	}
	for _, c := range []struct {
		name    string
		late    []time.Duration
		serves  int  // before
		anew    bool // the agent is started anew before version 3 is assigned
		restart bool // the engine is
	}{
		{"while a newer version is staged", seconds(2.9), 1, false, false},
		{"after a newer version was loaded", seconds(9), 1, false, false},
		{"at an engine that serves nothing", seconds(6), 0, false, false},
		{"several without an answer", seconds(11, 7, 5, 4, 12, 8), 1, false, false},
		{"agent started anew while it stages", seconds(2.5), 1, true, false},
		{"agent started anew and done", seconds(8), 1, true, false},
		{"engine started anew", seconds(6), 1, false, true},
		{"engine started anew, several without an answer", seconds(9, 7, 5), 1, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{staged: map[int]string{}, serves: c.serves, late: c.late}
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
				s.Assign(time.Now(), both())
				time.Sleep(30 * time.Second)
				end()
				assert.Assert(t, !e.spoilt, "loaded what was not whole")
				assert.Equal(t, e.serves, 3)
				assert.Equal(t, said().Version, 3)
			})
		})
	}
}
