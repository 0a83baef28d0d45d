package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/weights"
)

// stage is what is known of the pieces that lie at the engine.
type stage struct {
	model    string
	version  int
	manifest *weights.Manifest
	staged   []bool
	pieces   [][]byte    // fetched and not staged yet
	checked  []time.Time // when each piece was last known to be sound
	missing  int
	started  time.Time
}

func (s *stage) whole() bool { return s != nil && s.manifest != nil && s.missing == 0 }

func (s *stage) is(a peer.Assignment) bool {
	return s != nil && s.model == a.Model && s.version == a.Version
}

// Source hands out manifests and verified pieces.
type Source interface {
	Manifest(ctx context.Context, model string, version int) (*weights.Manifest, error)
	Piece(ctx context.Context, m *weights.Manifest, index int) ([]byte, error)
}

// begin reads the manifest and finds out which pieces lie at the engine
// already: they survive a crash of the engine and restarts of the agent.
func (s *Sidecar) begin(ctx context.Context, a peer.Assignment) error {
	st := &stage{model: a.Model, version: a.Version, started: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FetchTimeout)
	defer cancel()
	m, err := s.source.Manifest(ctx, a.Model, a.Version)
	if err != nil {
		return errors.Wrap(err, "sidecar: manifest")
	}
	st.manifest = m
	st.staged = make([]bool, len(m.Digests))
	st.pieces = make([][]byte, len(m.Digests))
	st.checked = make([]time.Time, len(m.Digests))
	st.missing = len(m.Digests)
	s.stage = st
	// The first piece tells whether the rest is worth reading.
	if s.check(ctx, 0) {
		s.verify(ctx, 0)
	}
	return nil
}

// check reads one staged piece back and notes whether it is whole.
func (s *Sidecar) check(ctx context.Context, index int) bool {
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

// fetchMissing fetches and stages the pieces that are missing.
func (s *Sidecar) fetchMissing(ctx context.Context, parallel int) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var firstErr error
	slots := make(chan struct{}, parallel)
	for i, ok := range s.stage.staged {
		if ok {
			continue
		}
		if s.superseded() || ctx.Err() != nil {
			break
		}
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			err := s.fetch(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				s.mark(i, true)
			} else if firstErr == nil {
				firstErr = err
			}
		}()
	}
	wg.Wait()
	return firstErr
}

// superseded reports whether a newer version was assigned meanwhile.
func (s *Sidecar) superseded() bool {
	a, _ := s.assigned()
	return !s.stage.is(a)
}

func (s *Sidecar) fetch(ctx context.Context, index int) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.FetchTimeout)
	defer cancel()
	data := s.stage.pieces[index]
	if data == nil {
		var err error
		if data, err = s.source.Piece(ctx, s.stage.manifest, index); err != nil {
			return err
		}
		s.stage.pieces[index] = data
		s.stats.fetched.Inc(1)
	}
	if err := s.engine.PutPiece(ctx, s.engineAddr, s.stage.model, index, data); err != nil {
		return err
	}
	s.stage.pieces[index] = nil // it lies at the engine; memory is paid for
	return nil
}
