package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/weights"
)

// Source hands out manifests and verified pieces.
type Source interface {
	Manifest(ctx context.Context, model string, version int) (*weights.Manifest, error)
	Piece(ctx context.Context, m *weights.Manifest, index int) ([]byte, error)
}

// stage is what is known of the pieces of a version: those that lie at the
// engine and those in the agent's memory.
type stage struct {
	model    string
	version  int
	manifest *weights.Manifest
	staged   []bool      // at the engine
	pieces   [][]byte    // fetched and not staged yet
	checked  []time.Time // when each piece was last known to be sound
	missing  int         // at the engine
	started  time.Time
	spent    spent
}

// spent is the time that all pieces together took.
type spent struct{ fetching, staging atomic.Int64 } // ns

func newStage(m *weights.Manifest) *stage {
	n := len(m.Digests)
	return &stage{model: m.Model, version: m.Version, manifest: m, staged: make([]bool, n), pieces: make([][]byte, n),
		checked: make([]time.Time, n), missing: n, started: time.Now()}
}

func (s *stage) whole() bool { return s != nil && s.missing == 0 }

func (s *stage) is(model string, version int) bool {
	return s != nil && s.model == model && s.version == version
}

// stagedProgress is how much lies at the engine.
func (s *stage) stagedProgress() progress {
	if s == nil || len(s.staged) == 0 {
		return progress{}
	}
	return progress{version: s.version, whole: s.whole(), share: 1 - float64(s.missing)/float64(len(s.staged))}
}

// fetchedProgress is how much lies in the agent's memory.
func (s *stage) fetchedProgress() progress {
	if s == nil || len(s.pieces) == 0 {
		return progress{}
	}
	n := 0
	for _, p := range s.pieces {
		if p != nil {
			n++
		}
	}
	return progress{version: s.version, whole: n == len(s.pieces), share: float64(n) / float64(len(s.pieces))}
}

// manifest reads the manifest of a version.
func (s *Sidecar) manifest(ctx context.Context, model string, version int) (*weights.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FetchTimeout)
	defer cancel()
	m, err := s.source.Manifest(ctx, model, version)
	return m, errors.Wrap(err, "sidecar: manifest")
}

// begin makes the stage that of a version. Pieces that were fetched ahead are
// used; what lies at the engine already is found out: staged pieces survive a
// crash of the engine and restarts of the agent.
func (s *Sidecar) begin(ctx context.Context, model string, version int) error {
	if s.ahead.is(model, version) {
		s.stage, s.ahead = s.ahead, nil
		return nil
	}
	m, err := s.manifest(ctx, model, version)
	if err != nil {
		return err
	}
	s.stage = newStage(m)
	// The first piece tells whether the rest is worth reading.
	if s.check(ctx, 0) {
		s.verify(ctx, 0)
	}
	return nil
}

// check reads one staged piece back and notes whether it is whole.
func (s *Sidecar) check(ctx context.Context, index int) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	data, err := s.engine.StagedPiece(ctx, s.engineAddr, s.stage.model, index)
	ok := err == nil && s.stage.manifest.Verify(index, data) == nil
	s.mark(index, ok)
	return ok
}

func (s *Sidecar) mark(index int, ok bool) {
	s.stage.checked[index] = time.Now()
	if s.stage.staged[index] == ok {
		return
	}
	s.stage.staged[index] = ok
	if ok {
		s.stage.missing--
	} else {
		s.stage.missing++
	}
}

// verify reads staged pieces back that were last checked longer than age ago.
// Bytes may go bad while they lie there.
func (s *Sidecar) verify(ctx context.Context, age time.Duration) bool {
	bad := 0
	for i, at := range s.stage.checked {
		if time.Since(at) >= age && !s.check(ctx, i) {
			bad++
		}
	}
	if bad > 0 {
		s.stats.spoilt.Inc(int64(bad))
		s.log.WithField("pieces", bad).WithField("version", s.stage.version).Info("Staged pieces are missing or spoilt.")
	}
	return bad == 0
}

// fetchMissing fetches and stages the pieces that are missing, until a newer
// version is announced or more pieces may be fetched at once than when it began.
func (s *Sidecar) fetchMissing(ctx context.Context, parallel func() int) error {
	var missing []int
	for i, ok := range s.stage.staged {
		if !ok {
			missing = append(missing, i)
		}
	}
	announced, atOnce := s.assigned().Version, parallel()
	goOn := func() bool { return s.assigned().Version == announced && parallel() <= atOnce }
	return each(ctx, missing, atOnce, goOn, func(i int) (func(), error) {
		err := s.fetch(ctx, i)
		return func() { s.mark(i, true) }, err
	})
}

// each does something for all indexes, some at once, while goOn allows. Of the
// results, done is called for one at a time. It returns the first error.
func each(ctx context.Context, indexes []int, atOnce int, goOn func() bool, do func(i int) (done func(), err error)) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	slots := make(chan struct{}, atOnce)
	for _, i := range indexes {
		slots <- struct{}{}
		if !goOn() || ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			done, err := do(i)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				done()
			} else if firstErr == nil {
				firstErr = err
			}
		}()
	}
	wg.Wait()
	return firstErr
}

// fetch fetches one piece, unless that was done before, and stages it.
func (s *Sidecar) fetch(ctx context.Context, index int) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FetchTimeout)
	defer cancel()
	if s.stage.pieces[index] == nil {
		if err := s.keep(ctx, s.stage, index); err != nil {
			return err
		}
	}
	began := time.Now()
	if err := s.engine.PutPiece(ctx, s.engineAddr, s.stage.model, index, s.stage.pieces[index]); err != nil {
		return err
	}
	s.stage.spent.staging.Add(int64(time.Since(began)))
	s.stage.pieces[index] = nil // it lies at the engine; memory is paid for
	return nil
}

// keep fetches one piece into memory.
func (s *Sidecar) keep(ctx context.Context, st *stage, index int) error {
	began := time.Now()
	data, err := s.source.Piece(ctx, st.manifest, index)
	if err != nil {
		return err
	}
	st.spent.fetching.Add(int64(time.Since(began)))
	st.pieces[index] = data
	s.stats.fetched.Inc(1)
	return nil
}

// fetchAhead keeps pieces of the newest version in memory while an older one
// lies staged. After a while it begins no more of them, so that the next step is
// decided anew.
func (s *Sidecar) fetchAhead(ctx context.Context, o order, version, atOnce int) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FetchWait)
	defer cancel()
	if !s.ahead.is(o.Model, version) {
		m, err := s.manifest(ctx, o.Model, version)
		if err != nil {
			return err
		}
		s.ahead = newStage(m)
	}
	st := s.ahead
	var missing []int
	for i, data := range st.pieces {
		if data == nil {
			missing = append(missing, i)
		}
	}
	until := time.Now().Add(s.cfg.FetchRound)
	err := each(ctx, missing, atOnce, func() bool { return time.Now().Before(until) }, func(i int) (func(), error) {
		return func() {}, s.keep(ctx, st, i)
	})
	if st.fetchedProgress().whole {
		s.log.WithFields(logrus.Fields{"model": o.Model, "version": version, "pieces": len(st.pieces),
			"ms": time.Since(st.started).Milliseconds()}).Info("Fetched ahead.")
	}
	return err
}

// ServePiece hands a piece that lies at the engine to an entry, which checks it.
func (s *Sidecar) ServePiece(ctx context.Context, st *peer.Stream, first peer.Message) {
	q, ok := first.(*peer.GetPiece)
	if !ok {
		return
	}
	data, err := s.engine.StagedPiece(ctx, s.engineAddr, q.Model, q.Index)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "piece": q.Index}).Info("Piece not handed out.")
	}
	// The asker notices a reply that does not arrive by its own timeout.
	_ = st.SendLast(ctx, &peer.Blob{Found: err == nil, Data: data})
}
