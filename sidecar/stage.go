package sidecar

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/weights"
)

// Source provides manifests and verified pieces.
type Source interface {
	Manifest(ctx context.Context, model string, version int) (*weights.Manifest, error)
	Piece(ctx context.Context, m *weights.Manifest, index int) ([]byte, error)
}

// stage is the state of the pieces of a version, both at the engine and in the agent's
// memory.
type stage struct {
	model         string
	version       int
	manifest      *weights.Manifest
	staged        []bool      // at the engine
	pieces        [][]byte    // in the agent's memory: fetched, but not staged yet; by index
	checked       []time.Time // when each staged piece was last known to be valid
	missing       int         // number of pieces not staged at the engine
	mismatched    atomic.Bool // a piece does not match the manifest, of which either may be corrupt
	started       time.Time
	transferTimes transferTimes
}

// transferTimes are the times, summed over all pieces, of the transfers from the entries to
// the agent (fetching) and from the agent to the engine (staging).
type transferTimes struct{ fetching, staging atomic.Int64 } // ns

func newStage(m *weights.Manifest) *stage {
	n := len(m.Digests)
	return &stage{model: m.Model, version: m.Version, manifest: m, staged: make([]bool, n), pieces: make([][]byte, n),
		checked: make([]time.Time, n), missing: n, started: clock.Now()}
}

// replaceManifest takes over another manifest of the version. What is known of pieces with the same
// digest as before is kept.
func (s *stage) replaceManifest(m *weights.Manifest) {
	old := s.manifest
	s.manifest = m
	for i := range m.Digests {
		if m.Digests[i] == old.Digests[i] {
			continue
		}
		s.pieces[i], s.checked[i] = nil, time.Time{}
		if s.staged[i] {
			s.staged[i] = false
			s.missing++
		}
	}
}

func (s *stage) complete() bool { return s != nil && s.missing == 0 }

func (s *stage) isFor(model string, version int) bool {
	return s != nil && s.model == model && s.version == version
}

// oldestCheck returns the time of the least recent check of a piece.
func (s *stage) oldestCheck() time.Time { return slices.MinFunc(s.checked, time.Time.Compare) }

// stagedProgress returns the progress of staging at the engine.
func (s *stage) stagedProgress() progress {
	if s == nil || len(s.staged) == 0 {
		return progress{}
	}
	return progress{version: s.version, complete: s.complete(), share: 1 - float64(s.missing)/float64(len(s.staged))}
}

// fetchedProgress returns the progress of fetching into the agent's memory.
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
	return progress{version: s.version, complete: n == len(s.pieces), share: float64(n) / float64(len(s.pieces))}
}

// errPreviousAgentOrder is returned while the staged pieces must not be changed because of
// an order of the previous agent.
var errPreviousAgentOrder = errors.New("sidecar: load order of a previous agent may still take effect")

// manifest reads the manifest of a version. It returns an error if the manifest does not list as many
// pieces as the assignment.
func (s *Sidecar) manifest(ctx context.Context, model string, version int) (*weights.Manifest, error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.FetchTimeout)
	defer cancel()
	m, err := s.source.Manifest(ctx, model, version)
	if as := s.assigned(); err == nil && as.Model == model {
		err = m.CheckLength(as.Pieces)
	}
	if err != nil {
		return nil, errors.Wrap(err, "sidecar: read manifest")
	}
	return m, nil
}

// renewManifest reads the manifest of a stage again if a piece has not matched it: the manifest, too, may
// have been corrupted on its way. The entries do the same, so that their manifest is no worse.
func (s *Sidecar) renewManifest(ctx context.Context, st *stage) {
	if !st.mismatched.Swap(false) {
		return
	}
	m, err := s.manifest(ctx, st.model, st.version)
	if err != nil || len(m.Digests) != len(st.manifest.Digests) {
		st.mismatched.Store(true) // tried again with the next fetches
		s.log.WithError(err).WithField("version", st.version).Info("Manifest could not be read again.")
		return
	}
	changed := !slices.Equal(m.Digests, st.manifest.Digests)
	s.log.WithFields(logrus.Fields{"version": st.version, "changed": changed}).Warn("Manifest read again, since a piece did not match it.")
	if changed {
		st.replaceManifest(m)
	}
}

// beginStage starts the staging of a version. It uses the prefetched pieces if there are any.
// Otherwise it checks which pieces are staged already, since these survive crashes of the
// engine and restarts of the agent.
func (s *Sidecar) beginStage(ctx context.Context, model string, version int) error {
	if s.prefetched.isFor(model, version) {
		s.stage, s.prefetched = s.prefetched, nil
		return nil
	}
	m, err := s.manifest(ctx, model, version)
	if err != nil {
		return err
	}
	s.stage = newStage(m)
	// If the first piece is not staged or not valid, the others are not read: probably no
	// piece of this version is staged.
	began := clock.Now()
	if s.checkPiece(ctx, 0) == valid {
		s.recordCheck(0, true, began)
		s.verify(ctx, 0, concurrentReads)
	}
	return nil
}

// stagedPiece reads a piece that is staged at the engine.
func (s *Sidecar) stagedPiece(ctx context.Context, model string, index int) ([]byte, error) {
	ctx, cancel := clock.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.engine.StagedPiece(ctx, s.engineAddr, model, index)
}

// ServePiece sends a piece that is staged at the engine to an entry, which verifies it.
func (s *Sidecar) ServePiece(ctx context.Context, st *peer.Stream, first peer.Message) {
	q, ok := first.(*peer.GetPiece)
	if !ok {
		return
	}
	data, err := s.stagedPiece(ctx, q.Model, q.Index)
	if err != nil {
		s.log.WithError(err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "piece": q.Index}).Info("Staged piece could not be read for entry.")
	}
	// If the reply is lost, the requester's own timeout detects it.
	_ = st.SendLast(ctx, &peer.Blob{Found: err == nil, Data: data})
}
