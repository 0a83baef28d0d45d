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

// fakeEngine loads the staged pieces when ordered, and records whether any of them was
// missing, corrupt or not of the ordered version.
type fakeEngine struct {
	mu            sync.Mutex
	down          bool
	staged        map[int]string
	serves        int
	layers        LayerRange   // held of the served version; the zero value is all
	badLayers     map[int]bool // held layers that were loaded from missing or corrupt pieces, or those of another version
	loadedInvalid bool         // an order took effect while pieces were missing, corrupt or of another version
	orders        int
	reads         int
	loading       time.Time
	late          []time.Duration // delays of the next orders, which get no answer; negative: never delivered

	// With noOrderCount, the engine neither counts orders nor enforces tokens or
	// preconditions, and refuses an order for the version that it serves. With
	// ignoresTokens, it does not enforce tokens.
	noOrderCount, ignoresTokens bool
	// With survivesRestart, delayed orders also reach the engine's next process.
	survivesRestart bool
	// With lateAll, orders for the served version are delayed too.
	lateAll     bool
	sequence    int64
	token       uint64        // highest token seen
	starts      int           // number of process starts
	startTimeMs int64         // Unix time of the last start; 0 if not reported
	pace        float64       // stated; 0 if not reported
	slow        bool          // puts get no answer and take effect after slowPut
	readTime    time.Duration // duration of the read of a staged piece
}

// slowPut is the delay after which an unanswered put takes effect: after the put has timed
// out, and before the last turn of a version that is announced when the put is sent.
const slowPut = 6400 * time.Millisecond

func (e *fakeEngine) Report(context.Context, string) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return Report{}, errors.New("refused")
	}
	r := Report{Busy: time.Now().Before(e.loading), Sequence: e.sequence, StartTimeMs: e.startTimeMs, Pace: e.pace}
	if e.serves > 0 {
		r.Layers = e.held()
		r.Models = []fleet.ModelVersion{{Model: "m", Version: e.serves, Layers: r.Layers.To - r.Layers.From}}
	}
	return r, nil
}

const engineLayers = 16

// held returns the layers that the engine holds if it serves a version.
func (e *fakeEngine) held() LayerRange {
	if e.layers == (LayerRange{}) {
		return LayerRange{0, engineLayers}
	}
	return e.layers
}

// orderedLayers returns the layers that the engine is to hold.
func orderedLayers(o LoadOrder) LayerRange {
	if o.Layers == (LayerRange{}) {
		return LayerRange{0, engineLayers}
	}
	return o.Layers
}

// loadLayers loads the ordered layers from the staged pieces, except for those that are held already.
func (e *fakeEngine) loadLayers(o LoadOrder) {
	before := held{e.serves, e.held()}
	e.serves, e.layers = o.Version, o.Layers
	kept := e.badLayers
	e.badLayers = map[int]bool{}
	now := e.held()
	for l := now.From; l < now.To; l++ {
		if before.version == o.Version && before.layers.overlaps(LayerRange{l, l + 1}) {
			e.badLayers[l] = kept[l]
			continue
		}
		for i := l * pieces / engineLayers; i*engineLayers < (l+1)*pieces; i++ {
			e.badLayers[l] = e.badLayers[l] || e.staged[i] != content(o.Version, i)
		}
		e.loadedInvalid = e.loadedInvalid || e.badLayers[l]
	}
}

// unsound reports whether the engine would make tokens with a bad layer.
func (e *fakeEngine) unsound() bool {
	for l := range engineLayers {
		if e.badLayers[l] {
			return e.serves != 0 && e.held() == LayerRange{0, engineLayers} && !time.Now().Before(e.loading)
		}
	}
	return false
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

func (e *fakeEngine) StartLoad(ctx context.Context, _ string, o LoadOrder) (begun bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || len(e.late) == 0 || o.Version == e.serves && !e.lateAll {
		return e.apply(o)
	}
	late, starts := e.late[0], e.starts
	e.late = e.late[1:]
	if late >= 0 {
		time.AfterFunc(late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.starts == starts || e.survivesRestart { // otherwise the order was lost with its connection
				_, _ = e.apply(o) // the caller has timed out
			}
		})
	}
	e.mu.Unlock()
	<-ctx.Done()
	e.mu.Lock()
	return false, ErrOrderInDoubt
}

// apply carries out an order on the currently staged pieces. It reports whether a load has begun.
func (e *fakeEngine) apply(o LoadOrder) (begun bool, err error) {
	switch {
	case e.down:
		return false, errors.New("refused")
	case !e.noOrderCount && !e.ignoresTokens && o.Token < e.token:
		return false, ErrOrderFenced
	case time.Now().Before(e.loading), !e.noOrderCount && o.Precondition != e.sequence, e.noOrderCount && e.serves == o.Version:
		return false, ErrOrderStale
	}
	e.token = max(e.token, o.Token)
	if e.serves == o.Version && e.held() == orderedLayers(o) {
		return false, nil
	}
	e.orders++
	if !e.noOrderCount {
		e.sequence++
	}
	e.loadLayers(o)
	e.loading = time.Now().Add(300 * time.Millisecond)
	return true, nil
}

// restart resets the state of the engine except for the staged pieces.
func (e *fakeEngine) restart() {
	e.set(func() {
		e.down = true
		e.newProcess()
	})
	time.Sleep(300 * time.Millisecond)
	e.set(func() { e.down = false })
}

// newProcess resets the state of the engine except for the staged pieces.
func (e *fakeEngine) newProcess() {
	e.serves, e.layers, e.badLayers, e.loading, e.sequence, e.token = 0, LayerRange{}, nil, time.Time{}, 0, 0
	e.starts++
}

// set calls f with the engine locked.
func (e *fakeEngine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// fakeSource provides pieces after a delay.
type fakeSource struct {
	mu          sync.Mutex
	delay       time.Duration
	fetched     int
	unavailable int // a version of which only the first piece is available
	silent      int // a version of which requests for the manifest get no answer
	spoilt      int // number of manifests, the first ones, in which a digest is wrong
	short       int // number of manifests, the first ones, that lack the last digest
}

func (s *fakeSource) Manifest(ctx context.Context, model string, version int) (*weights.Manifest, error) {
	if s.silent == version && version > 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	m := &weights.Manifest{Model: model, Version: version}
	for i := range pieces {
		m.Digests = append(m.Digests, sha256.Sum256([]byte(content(version, i))))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.spoilt > 0 {
		s.spoilt--
		m.Digests[pieces-1][0] ^= 1
	}
	if s.short > 0 {
		s.short--
		m.Digests = m.Digests[:pieces-1]
	}
	return m, nil
}

func (s *fakeSource) Piece(_ context.Context, m *weights.Manifest, index int) ([]byte, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Version == s.unavailable && index > 0 {
		return nil, weights.ErrNoSource
	}
	s.fetched++
	data := []byte(content(m.Version, index))
	return data, m.Verify(index, data)
}

// startSidecar starts a sidecar inside a synctest bubble. stop stops it.
func startSidecar(t *testing.T, cfg Config, e Engine, source *fakeSource) (s *Sidecar, published func() peer.EngineState, stop func()) {
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
	published = func() peer.EngineState {
		mu.Lock()
		defer mu.Unlock()
		return last
	}
	return s, published, func() {
		cancel()
		<-done
	}
}

// runSidecar runs f with a sidecar in a synctest bubble of its own.
func runSidecar(t *testing.T, cfg Config, e Engine, source *fakeSource, f func(s *Sidecar, published func() peer.EngineState)) {
	synctest.Test(t, func(t *testing.T) {
		s, published, stop := startSidecar(t, cfg, e, source)
		f(s, published)
		stop()
	})
}

func TestPaceIsPublished(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, pace: 1}
	runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(1, 0, 0))
		time.Sleep(time.Second)
		assert.Equal(t, published().PacePercent, 100)
		e.set(func() { e.pace = 2.5 })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, published().PacePercent, 250)
		e.set(func() { e.pace = 1 })
		time.Sleep(700 * time.Millisecond)
		assert.Equal(t, published().PacePercent, 250)
		time.Sleep(time.Second)
		assert.Equal(t, published().PacePercent, 100)
		e.set(func() { e.down = true })
		time.Sleep(time.Second)
		assert.Equal(t, published().PacePercent, 0)
	})
}

func TestEmptyEngineIsStagedAndLoaded(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}}
	runSidecar(t, Config{}, e, &fakeSource{delay: 30 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(1, 0, 0))
		time.Sleep(3 * time.Second)
		assert.Equal(t, published().Version, 1)
		assert.Assert(t, !published().Loading)
		assert.Assert(t, !e.loadedInvalid)
		assert.Equal(t, e.orders, 1)
	})
}

// Guards against engines that stay empty, or on the version before, because one digest of a manifest
// was corrupted on its way and the manifest was kept.
func TestManifestWithAWrongDigestIsReadAgain(t *testing.T) {
	for _, spoilt := range []int{1, 3} {
		e := &fakeEngine{staged: map[int]string{}}
		runSidecar(t, Config{}, e, &fakeSource{spoilt: spoilt}, func(s *Sidecar, published func() peer.EngineState) {
			s.Assign(time.Now(), newAssignment(1, 0, 0))
			time.Sleep(6 * time.Second)
			assert.Equal(t, published().Version, 1, "%d wrong manifests, none loaded", spoilt)
			assert.Assert(t, !e.loadedInvalid)
		})
		// The newer version is prefetched into memory first.
		e = &fakeEngine{staged: map[int]string{}, serves: 1}
		runSidecar(t, Config{}, e, &fakeSource{spoilt: spoilt}, func(s *Sidecar, published func() peer.EngineState) {
			s.Assign(time.Now(), newAssignment(2, 1, 2))
			time.Sleep(12 * time.Second)
			assert.Equal(t, published().Version, 2, "%d wrong manifests, version 1 loaded", spoilt)
			assert.Assert(t, !e.loadedInvalid)
		})
	}
}

// Guards against loads without the last piece because a manifest did not list it.
func TestManifestWithTooFewPiecesCompletesNoStage(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	runSidecar(t, Config{}, e, &fakeSource{short: 1}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(10 * time.Second)
		assert.Assert(t, !e.loadedInvalid)
		assert.Equal(t, published().Version, 2)
	})
}

// Staged bytes may become corrupt before the load is ordered, so they are checked again.
func TestCorruptPieceIsStagedAgain(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	runSidecar(t, Config{}, e, &fakeSource{delay: 30 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 1, 2)) // the last turn comes after 6.7 s
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.orders, 0, "before this engine's turn")
		e.set(func() { e.staged[2] = "corrupt" })
		time.Sleep(4 * time.Second)
		assert.Equal(t, published().Version, 2)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// In a slow transfer, the checks of the first pieces are outdated when the last one arrives.
func TestPiecesOfSlowTransferAreCheckedAgain(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}}
	runSidecar(t, Config{Fetches: 1}, e, &fakeSource{delay: time.Second}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(1, 0, 0))
		time.Sleep(5 * time.Second)
		e.set(func() { e.staged[0] = "corrupt" })
		time.Sleep(10 * time.Second)
		assert.Equal(t, published().Version, 1)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// Pieces are fetched while a new engine is starting.
func TestPiecesAreFetchedBeforeEngineAnswers(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, down: true}
	source := &fakeSource{delay: 100 * time.Millisecond}
	runSidecar(t, Config{}, e, source, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(1, 0, 0))
		time.Sleep(2 * time.Second)
		source.mu.Lock()
		assert.Equal(t, source.fetched, pieces)
		source.mu.Unlock()
		e.set(func() { e.down = false })
		time.Sleep(time.Second)
		assert.Equal(t, published().Version, 1)
		source.mu.Lock()
		assert.Equal(t, source.fetched, pieces, "no piece is fetched twice")
		source.mu.Unlock()
	})
}

// Pieces that were staged before a crash of the engine are reused.
func TestStagedPiecesSurviveEngineCrash(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	for i := range pieces {
		e.staged[i] = content(1, i)
	}
	source := &fakeSource{}
	runSidecar(t, Config{}, e, source, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(1, 0, 0))
		time.Sleep(time.Second)
		e.set(func() { e.down, e.serves = true, 0 })
		time.Sleep(time.Second)
		assert.Equal(t, published().Version, 0)
		e.set(func() { e.down = false })
		time.Sleep(2 * time.Second)
		assert.Equal(t, published().Version, 1)
		assert.Equal(t, source.fetched, 0)
	})
}

// A version that is announced while an older one is being staged replaces it.
func TestNewerVersionReplacesOneBeingStaged(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	runSidecar(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(700 * time.Millisecond)
		s.Assign(time.Now(), newAssignment(3, 0, 1))
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(10 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
		assert.Equal(t, e.orders, 1)
	})
}

// The origin becomes unavailable just after a newer version was announced. The older version
// is served by its deadline, and the newer one once the origin is available again.
func TestOlderVersionIsServedInTimeIfNewerIsUnavailable(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	source := &fakeSource{delay: 250 * time.Millisecond, unavailable: 3}
	runSidecar(t, Config{}, e, source, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 1, 2))
		time.Sleep(1600 * time.Millisecond)
		s.Assign(time.Now(), newAssignment(3, 1, 2))
		time.Sleep(6 * time.Second)
		assert.Equal(t, published().Version, 2, "within 8 s of its announcement")
		source.mu.Lock()
		source.unavailable = 0
		source.mu.Unlock()
		time.Sleep(4 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
		assert.Equal(t, e.orders, 2)
	})
}

// An engine that has not started to stage the newer version loads the older one if the newer
// is unavailable.
func TestStalledVersionIsDeferred(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}}
	runSidecar(t, Config{}, e, &fakeSource{unavailable: 3}, func(s *Sidecar, published func() peer.EngineState) {
		a := newAssignment(3, 0, 0)
		a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 2000}}
		s.Assign(time.Now(), a)
		time.Sleep(3 * time.Second)
		assert.Equal(t, published().Version, 2)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// A newer version that can be fetched in time is loaded instead of the older one, which is
// already staged.
func TestPrefetchedVersionIsLoadedDirectly(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	runSidecar(t, Config{}, e, &fakeSource{delay: 200 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 1, 2))
		time.Sleep(1400 * time.Millisecond)
		s.Assign(time.Now(), newAssignment(3, 1, 2))
		time.Sleep(8 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Equal(t, e.orders, 1)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// Guards against responses of one version that are generated with the weights of another. An
// order to load a checked version gets no answer, and the agent treats it as not carried out
// and stages a newer version over it. If the engine receives the order seconds later, it loads
// the staged pieces under the older version number, or reverts from the newer version to the
// older. So the staged pieces must not change while an order may still take effect.
func TestDelayedOrderLoadsOnlyCompleteVersion(t *testing.T) {
	for _, c := range []struct {
		name           string
		late           []time.Duration
		serves         int  // initially
		agentRestarts  bool // the agent is restarted before version 3 is assigned
		engineRestarts bool // the engine is restarted before version 3 is assigned
		ignoresTokens  bool // the engine does not enforce tokens
	}{
		{"while a newer version is staged", seconds(2.9), 1, false, false, false},
		{"after a newer version was loaded", seconds(9), 1, false, false, false},
		{"empty engine", seconds(6), 0, false, false, false},
		{"several unanswered", seconds(11, 7, 5, 4, 12, 8), 1, false, false, false},
		{"several never delivered", seconds(-1, -1, -1), 1, false, false, false},
		{"agent restarted while staging", seconds(2.5), 1, true, false, false},
		{"agent restarted, newer version loaded", seconds(8), 1, true, false, false},
		{"agent restarted, its orders unanswered", seconds(8, 5, 6, 3, 9), 1, true, false, false},
		{"agent restarted, empty engine", seconds(8), 0, true, false, false},
		{"agent restarted, several unanswered, empty engine", seconds(12, 9, 4), 0, true, false, false},
		{"engine restarted", seconds(6), 1, false, true, false},
		{"engine restarted, several unanswered", seconds(9, 7, 5), 1, false, true, false},
		{"engine and agent restarted", seconds(9, 7, 5), 1, true, true, false},
		{"tokens ignored", seconds(8), 1, false, false, true},
		{"tokens ignored, agent restarted", seconds(8), 1, true, false, true},
		{"tokens ignored, agent restarted, several unanswered", seconds(8, 7, 6, 5), 1, true, false, true},
		{"tokens ignored, engine and agent restarted", seconds(9, 7, 5), 1, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngine{staged: map[int]string{}, serves: c.serves, late: c.late, ignoresTokens: c.ignoresTokens}
				source := &fakeSource{delay: 200 * time.Millisecond}
				s, published, stop := startSidecar(t, Config{}, e, source)
				s.Assign(time.Now(), newAssignment(2, 0, 1))
				time.Sleep(1200 * time.Millisecond)
				if c.agentRestarts {
					stop()
					s, published, stop = startSidecar(t, Config{}, e, source)
				}
				if c.engineRestarts {
					e.restart()
				}
				s.Assign(time.Now(), thirdAfterSecond())
				time.Sleep(30 * time.Second)
				stop()
				assert.Assert(t, !e.loadedInvalid, "loaded missing, corrupt or mixed pieces")
				assert.Equal(t, e.serves, 3)
				assert.Equal(t, published().Version, 3)
				assert.Assert(t, !s.inDoubt.open)
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
	a := newAssignment(3, 0, 1)
	a.Earlier = []peer.AnnouncedVersion{{Version: 2, AgeMs: 1500}}
	return a
}

// An unanswered order is repeated until the engine's report or an answer settles it. The
// order counts once as in doubt, however often it is repeated.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, late: seconds(-1, -1)}
	runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(1, 0, 0))
		time.Sleep(2 * time.Second)
		assert.Equal(t, published().Version, 1)
		assert.Equal(t, e.orders, 1)
		assert.Equal(t, s.stats.ordersInDoubt.Count(), int64(1))
		assert.Equal(t, s.stats.ordersSettled.Count(), int64(1))
		assert.Equal(t, s.stats.ordersFailed.Count(), int64(2))
		assert.Equal(t, s.stats.orders.Count(), int64(1))
	})
}

// A piece that becomes corrupt while an order is in doubt is staged again. A newer version is
// staged only when the order is settled.
func TestPieceCorruptedWhileOrderIsInDoubtIsStagedAgain(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, late: seconds(6, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1)}
	runSidecar(t, Config{VerifyAge: time.Hour}, e, &fakeSource{delay: 30 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(time.Second)
		s.Assign(time.Now(), thirdAfterSecond())
		e.set(func() { e.staged[5] = "corrupt" })
		time.Sleep(3 * time.Second)
		e.set(func() {
			for i := range pieces {
				assert.Equal(t, e.staged[i], content(2, i))
			}
		})
		time.Sleep(20 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// If a corrupt piece of a version whose order is in doubt is no longer available, the order is
// fenced and the newer version is loaded.
func TestOrderWithUnavailablePiecesIsFenced(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, late: seconds(9, -1)}
	source := &fakeSource{}
	runSidecar(t, Config{}, e, source, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(300 * time.Millisecond)
		s.Assign(time.Now(), thirdAfterSecond())
		source.mu.Lock()
		source.unavailable = 2
		source.mu.Unlock()
		e.set(func() { e.staged[5] = "corrupt" })
		time.Sleep(5 * time.Second)
		assert.Equal(t, published().Version, 3, "before the delayed order arrives")
		time.Sleep(20 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// A piece becomes corrupt while an order is in doubt, and its source is slow to provide it
// again. The order would take effect 3.8 s after the corruption, beyond the 3 s for which a load
// of corrupt bytes is tolerated. The order must be fenced without waiting for the fetch.
func TestOrderIsFencedDuringSlowRepair(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, late: seconds(4.5, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1, -1)}
	source := &fakeSource{}
	runSidecar(t, Config{}, e, source, func(s *Sidecar, _ func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(700 * time.Millisecond)
		source.mu.Lock()
		source.unavailable, source.delay = 2, 5900*time.Millisecond
		source.mu.Unlock()
		e.set(func() { e.staged[5] = "corrupt" })
		time.Sleep(20 * time.Second)
	})
	assert.Assert(t, !e.loadedInvalid)
}

// The clock was stepped back after the previous agent had sent its orders, so the tokens of the
// new agent are too low at first.
func TestTokensAreRaisedAboveThoseOfPreviousAgent(t *testing.T) {
	for _, ahead := range []time.Duration{2 * time.Second, time.Hour} {
		e := &fakeEngine{staged: map[int]string{}, serves: 1, sequence: 4}
		runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
			e.set(func() { e.token = uint64(time.Now().Add(ahead).UnixMilli()) })
			s.Assign(time.Now(), newAssignment(2, 0, 1))
			time.Sleep(8 * time.Second)
			assert.Equal(t, published().Version, 2)
			assert.Assert(t, !e.loadedInvalid)
		})
	}
}

// Staged pieces of a version that is no longer known are kept until a delayed order for them
// can no longer arrive.
func TestUnknownStagedVersionIsKeptUntilOrdersExpire(t *testing.T) {
	for _, down := range []bool{false, true} {
		e := &fakeEngine{staged: map[int]string{}, down: down}
		for i := range pieces {
			e.staged[i] = content(1, i)
		}
		runSidecar(t, Config{}, e, &fakeSource{delay: 100 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
			s.Assign(time.Now(), newAssignment(5, 0, 0))
			time.Sleep(150 * time.Millisecond) // pieces are being fetched
			e.set(func() { e.down = false })
			time.Sleep(s.cfg.OrderGrace - time.Second)
			e.set(func() {
				for i := range pieces {
					assert.Equal(t, e.staged[i], content(1, i))
				}
			})
			time.Sleep(3 * time.Second)
			assert.Equal(t, published().Version, 5)
			assert.Assert(t, !e.loadedInvalid)
		})
	}
}

// The previous agent's clock was ahead when it sent an order that got no answer.
func TestOrderOfPreviousAgentWithFastClockIsFenced(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1}
	for i := range pieces {
		e.staged[i] = content(2, i)
	}
	runSidecar(t, Config{}, e, &fakeSource{delay: 100 * time.Millisecond}, func(s *Sidecar, published func() peer.EngineState) {
		late := LoadOrder{Model: "m", Version: 2, Token: uint64(time.Now().Add(3 * time.Second).UnixMilli())}
		time.AfterFunc(500*time.Millisecond, func() {
			e.set(func() {
				_, err := e.apply(late)
				assert.ErrorIs(t, err, ErrOrderFenced)
			})
		})
		s.Assign(time.Now(), newAssignment(3, 0, 1))
		time.Sleep(8 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// The first order is unanswered, its repeat succeeds, and the engine crashes. The delayed order
// reaches the engine's next process, which counts from 0 again, while a newer version is due.
func TestOrderReachesNextEngineProcess(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, late: seconds(3.5), survivesRestart: true}
	source := &fakeSource{}
	runSidecar(t, Config{}, e, source, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, published().Version, 2)
		source.mu.Lock()
		source.delay = 500 * time.Millisecond
		source.mu.Unlock()
		e.restart()
		s.Assign(time.Now(), thirdAfterSecond())
		time.Sleep(12 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// An engine restarts between two reports, and its order count is the same as before: only the
// start time reveals the restart. The order in doubt reaches the new process while a newer
// version is due.
func TestOrderReachesNextEngineProcessAfterUnobservedRestart(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, late: seconds(3.5), survivesRestart: true, serves: 1, startTimeMs: 1000}
	runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(510 * time.Millisecond)
		e.set(func() {
			e.serves, e.sequence, e.token, e.startTimeMs = 0, 0, 0, 2000
			e.starts++
		})
		s.Assign(time.Now(), thirdAfterSecond())
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, published().StartMs, int64(2000))
		time.Sleep(12 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// An order is not settled as begun by the order count of a later engine process.
func TestOrderIsNotSettledBySequenceOfAnotherProcess(t *testing.T) {
	d := inDoubtOrder{open: true, model: "m", version: 2, sequence: 0, startTimeMs: 1000, lastSent: start}
	assert.Equal(t, d.settled(start, "m", Report{Sequence: 1, StartTimeMs: 2000}, 0, time.Minute), "engine_restarted")
	assert.Equal(t, d.settled(start, "m", Report{Sequence: 1, StartTimeMs: 1000}, 0, time.Minute), "begun")
	assert.Equal(t, d.settled(start, "m", Report{Sequence: 1}, 0, time.Minute), "begun", "start time not reported")
}

// An engine that neither counts orders nor enforces tokens still gets new versions.
func TestEngineWithoutOrderCount(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, noOrderCount: true, late: seconds(1)}
	for i := range pieces {
		e.staged[i] = content(1, i)
	}
	runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(4 * time.Second)
		assert.Equal(t, published().Version, 2)
		assert.Assert(t, !s.inDoubt.open)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// An unanswered put takes effect late and overwrites the piece of a newer version.
func TestDelayedPutIsDetected(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, slow: true}
	runSidecar(t, Config{VerifyAge: time.Hour}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(100 * time.Millisecond)
		e.set(func() { e.slow = false })
		a := newAssignment(3, 1, 2) // the turn comes after the delayed puts
		s.Assign(time.Now(), a)
		time.Sleep(20 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// A put of the previous agent takes effect late and overwrites the piece of a newer version
// that the new agent has staged and checked.
func TestDelayedPutOfPreviousAgentIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := Config{VerifyAge: time.Hour}
		e := &fakeEngine{staged: map[int]string{}, serves: 1, slow: true}
		s, _, stop := startSidecar(t, cfg, e, &fakeSource{})
		s.Assign(time.Now(), newAssignment(2, 0, 1))
		time.Sleep(100 * time.Millisecond)
		e.set(func() { e.slow = false })
		stop()
		s, published, stop := startSidecar(t, cfg, e, &fakeSource{})
		s.Assign(time.Now(), newAssignment(3, 1, 2)) // the turn comes after the delayed puts
		time.Sleep(20 * time.Second)
		assert.Equal(t, published().Version, 3)
		assert.Assert(t, !e.loadedInvalid)
		stop()
	})
}

// Reads of staged pieces are so slow that with four concurrent reads the first checks are
// outdated before the load order is sent. The sidecar must read more pieces concurrently
// and send the order.
func TestSlowReadsDoNotPreventOrder(t *testing.T) {
	e := &fakeEngine{staged: map[int]string{}, serves: 1, readTime: 900 * time.Millisecond}
	runSidecar(t, Config{}, e, &fakeSource{}, func(s *Sidecar, published func() peer.EngineState) {
		s.Assign(time.Now(), newAssignment(2, 1, 2)) // the turn comes when the checks are outdated
		time.Sleep(12 * time.Second)
		assert.Equal(t, published().Version, 2)
		assert.Assert(t, !e.loadedInvalid)
	})
}

// An entry that reported that it failed to read the newest version is lost. The report must
// no longer cause the older version to be loaded.
func TestRemovedEntryNoLongerMakesVersionUnreadable(t *testing.T) {
	s := New(Config{}, &fakeEngine{}, "engine", &fakeSource{}, func(peer.EngineState) {}, NewStats(metrics.NewRegistry()), logrus.New())
	a := newAssignment(2, 0, 1)
	a.Entry, a.PiecesUnreadable = "entry-1", true
	s.Assign(start, a)
	assert.Assert(t, s.assigned().newestUnreadable())
	s.RemoveEntry("entry-2")
	assert.Assert(t, s.assigned().newestUnreadable())
	s.RemoveEntry("entry-1")
	assert.Assert(t, !s.assigned().newestUnreadable())
	assert.Equal(t, s.assigned().Version, 2, "the version stays")
}

// For any sequence of versions, restarts and delayed orders, the engine loads only complete
// versions and finally serves the newest.
func TestEngineLoadsOnlyCompleteVersions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(from, to int) *rapid.Generator[time.Duration] {
			return rapid.Map(rapid.IntRange(from, to), func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond })
		}
		e := &fakeEngine{staged: map[int]string{}, serves: rapid.IntRange(0, 1).Draw(rt, "serves"), ignoresTokens: rapid.Bool().Draw(rt, "unfenced"),
			lateAll: rapid.Bool().Draw(rt, "lose_all")}
		source := &fakeSource{delay: millis(0, 300).Draw(rt, "fetch")}
		late := rapid.SliceOfN(rapid.OneOf(millis(0, 12_000), rapid.Just(-time.Second)), 0, 6)
		turn := rapid.IntRange(0, 3)
		type event struct {
			after time.Duration
			kind  int // 0: new version, 1: agent restart, 2: engine restart, 3: delayed orders
			late  []time.Duration
			turn  int
		}
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{millis(0, 6000).Draw(rt, "after"), rapid.IntRange(0, 3).Draw(rt, "kind"), late.Draw(rt, "late"), turn.Draw(rt, "turn")}
		}), 1, 10).Draw(rt, "events")
		var last peer.EngineState
		version := 2
		synctest.Test(t, func(t *testing.T) {
			s, published, stop := startSidecar(t, Config{}, e, source)
			announced := map[int]time.Time{}
			turn := 0
			assign := func() {
				a := newAssignment(version, turn, 3)
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
					stop()
					time.Sleep(20 * time.Millisecond) // a real process takes longer to start
					s, published, stop = startSidecar(t, Config{}, e, source)
					assign()
				case 2:
					e.restart()
				case 3:
					e.set(func() { e.late = ev.late })
				}
			}
			time.Sleep(90 * time.Second)
			last = published()
			stop()
		})
		if e.loadedInvalid {
			rt.Fatalf("loaded missing, corrupt or mixed pieces")
		}
		if last.Version != version || e.serves != version {
			rt.Fatalf("serves version %d, published %d, want %d", e.serves, last.Version, version)
		}
	})
}
