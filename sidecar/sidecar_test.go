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

func (e *fakeEngine) Start(_ context.Context, _, _ string, version int) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	for i := range pieces {
		e.spoilt = e.spoilt || e.staged[i] != content(version, i)
	}
	e.serves = version
	e.loading = time.Now().Add(300 * time.Millisecond)
	return nil
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

// run starts a sidecar in a bubble of its own time.
func run(t *testing.T, cfg Config, e *fakeEngine, source *fakeSource, f func(s *Sidecar, said func() peer.EngineState)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		var mu sync.Mutex
		var last peer.EngineState
		s := New(cfg, e, "engine", source, func(st peer.EngineState) {
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
		f(s, func() peer.EngineState {
			mu.Lock()
			defer mu.Unlock()
			return last
		})
		cancel()
		<-done
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
