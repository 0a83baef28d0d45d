package sidecar

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/weights"
)

// readsAtOnce is how many staged pieces are read back at once. One at a time may
// take longer than a check may be old when an order is sent. Each further try for one
// order reads four times as many, so that an engine whose reads are slow gets orders.
const readsAtOnce = 4

// verifyTries is how often in one turn staged pieces are checked anew because the
// checks took too long.
const verifyTries = 3

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

// oldestCheck returns when the piece was checked that was not for the longest time.
func (s *stage) oldestCheck() time.Time { return slices.MinFunc(s.checked, time.Time.Compare) }

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

// errEarlierOrder is returned while the stage must not be changed because of an
// order of the agent before.
var errEarlierOrder = errors.New("sidecar: an earlier agent's order may still take effect")

// unsure are the indexes of pieces that were put without an answer, each with the
// time until which that piece may still come and lie over a newer one.
type unsure struct {
	mu    sync.Mutex
	until map[int]time.Time
	all   time.Time // likewise of pieces that the agent before may have put
}

func (u *unsure) add(index int, until time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.until == nil {
		u.until = map[int]time.Time{}
	}
	u.until[index] = until
}

func (u *unsure) has(index int, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.all) || now.Before(u.until[index])
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
	began := time.Now()
	if s.check(ctx, 0) == sound {
		s.mark(0, true, began)
		s.verify(ctx, 0, readsAtOnce)
	}
	return nil
}

// sampled returns the indexes of pieces that tell what is staged, where a version
// has n pieces: one of them may be missing or spoilt.
func sampled(n int) []int { return slices.Compact([]int{0, n / 2, max(n-1, 0)}) }

// sample reads some staged pieces. One that is not staged has no entry. It returns
// an error if a read got no answer, along with the others.
func (s *Sidecar) sample(ctx context.Context, o order) (map[int][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	found := map[int][]byte{}
	indexes := sampled(o.Pieces)
	always := func() bool { return true }
	err := each(ctx, indexes, len(indexes), always, func(i int) (func(), error) {
		data, err := s.engine.StagedPiece(ctx, s.engineAddr, o.Model, i)
		if errors.Is(err, ErrNotStaged) {
			return func() {}, nil
		}
		return func() { found[i] = data }, err
	})
	return found, err
}

// manifests reads those of several versions at once. A version of which it could
// not be had has no entry.
func (s *Sidecar) manifests(ctx context.Context, model string, versions []int) map[int]*weights.Manifest {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.InspectTimeout)
	defer cancel()
	found := map[int]*weights.Manifest{}
	always := func() bool { return true }
	_ = each(ctx, versions, len(versions), always, func(v int) (func(), error) {
		m, err := s.manifest(ctx, model, v)
		return func() { found[v] = m }, err
	})
	return found
}

// matching counts the pieces that are of a manifest's version.
func matching(m *weights.Manifest, sample map[int][]byte) int {
	n := 0
	for i, data := range sample {
		if i < len(m.Digests) && m.Verify(i, data) == nil {
			n++
		}
	}
	return n
}

// inspect finds out of which version the pieces are that an agent before has
// staged at the engine. An order that it gave is of that version, because it let
// no other be staged while the order was in doubt: so that order is repeated
// first. If nothing or too little is staged, it gave none. A read without an
// answer says nothing and is tried again.
func (s *Sidecar) inspect(ctx context.Context, o order, version int, r Report) time.Duration {
	sample, err := s.sample(ctx, o)
	if len(sample) == 0 {
		if err == nil {
			s.settle(time.Now(), "nothing_staged")
			return 0
		}
		return s.cfg.PollBusy
	}
	candidates := o.candidates(version)
	manifests := s.manifests(ctx, o.Model, candidates)
	var best *weights.Manifest
	for _, v := range candidates {
		if m := manifests[v]; m != nil && matching(m, sample) > 0 && (best == nil || matching(m, sample) > matching(best, sample)) {
			best = m
		}
	}
	if best != nil {
		return s.adopt(ctx, o, best, r)
	}
	if err == nil {
		s.strange(o, version, manifests, len(candidates))
	}
	return s.cfg.PollBusy
}

// strange notes that the staged pieces are of no version whose manifest could be
// had.
func (s *Sidecar) strange(o order, version int, manifests map[int]*weights.Manifest, candidates int) {
	if manifests[version] == nil {
		s.stall(version)
	}
	if s.stage.is(o.Model, version) {
		s.stage, s.ahead = nil, s.stage // pieces that were fetched while the engine started
	}
	unread := candidates - len(manifests)
	s.doubt.putOff(time.Now(), s.cfg)
	s.doubt.looked = unread == 0 || s.doubt.tries >= earlierTries
	s.log.WithFields(logrus.Fields{"version": version, "unread": unread, "tries": s.doubt.tries}).Warn("Pieces of an unknown version are staged.")
}

// adopt takes over what an agent before has staged, and its order. It settles the
// doubt only on what the engine answered, and returns the pause.
func (s *Sidecar) adopt(ctx context.Context, o order, m *weights.Manifest, r Report) time.Duration {
	if !s.stage.is(m.Model, m.Version) {
		if s.stage != nil {
			s.ahead = s.stage // pieces that were fetched while the engine started
		}
		s.stage = newStage(m)
	}
	unanswered := s.readBack(ctx, 0, readsAtOnce).unanswered
	least := s.stage.stagedProgress().share
	most := least + float64(unanswered)/float64(len(s.stage.staged))
	switch {
	case m.Version <= r.serves(o.Model, o.Layers), most < mostly:
		s.settle(time.Now(), "not_ordered")
		return 0
	case least < mostly:
		s.doubt.putOff(time.Now(), s.cfg)
		s.log.WithField("version", m.Version).WithField("unanswered", unanswered).Info("Staged pieces not all read.")
		return s.cfg.PollBusy
	}
	s.doubt.adopted, s.doubt.model, s.doubt.version, s.doubt.first = true, m.Model, m.Version, time.Now()
	s.stats.ordersInDoubt.Inc(1)
	s.log.WithFields(logrus.Fields{"model": m.Model, "version": m.Version, "missing": s.stage.missing}).Info("Staged pieces taken over.")
	return 0
}

// finding is what the read of a staged piece tells.
type finding uint8

const (
	sound      finding = iota
	bad                // missing or spoilt
	unanswered         // the engine did not answer
)

// check reads one staged piece back.
func (s *Sidecar) check(ctx context.Context, index int) finding {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	data, err := s.engine.StagedPiece(ctx, s.engineAddr, s.stage.model, index)
	switch {
	case errors.Is(err, ErrNotStaged):
		return bad
	case err != nil:
		return unanswered
	case s.stage.manifest.Verify(index, data) != nil:
		return bad
	}
	return sound
}

// mark notes what is known of a piece since a time.
func (s *Sidecar) mark(index int, ok bool, since time.Time) {
	s.stage.checked[index] = since
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

// findings counts the pieces that were not found sound.
type findings struct{ bad, unanswered int }

// readBack reads staged pieces back that were last checked longer than age ago,
// or over which another may come. Bytes may go bad while they lie there. A piece
// of which the read got no answer counts as missing until it is read or put.
func (s *Sidecar) readBack(ctx context.Context, age time.Duration, atOnce int) findings {
	var due []int
	for i, at := range s.stage.checked {
		if time.Since(at) >= age || s.unsure.has(i, time.Now()) {
			due = append(due, i)
		}
	}
	var n findings
	always := func() bool { return true }
	// There are no errors: what a read tells is counted. All are begun, also when
	// ctx ends, so that none is taken for sound unread.
	_ = each(context.WithoutCancel(ctx), due, atOnce, always, func(i int) (func(), error) {
		began := time.Now() // the bytes may go bad while the answer is on its way
		f := s.check(ctx, i)
		return func() {
			s.mark(i, f == sound, began)
			switch f {
			case bad:
				n.bad++
			case unanswered:
				n.unanswered++
			}
		}, nil
	})
	return n
}

// verify reads staged pieces back and reports whether all were found sound.
func (s *Sidecar) verify(ctx context.Context, age time.Duration, atOnce int) bool {
	n := s.readBack(ctx, age, atOnce)
	if n == (findings{}) {
		return true
	}
	s.stats.spoilt.Inc(int64(n.bad))
	s.log.WithFields(logrus.Fields{"pieces": n.bad, "unanswered": n.unanswered, "version": s.stage.version}).Info("Staged pieces are missing or spoilt.")
	return false
}

// verifyForOrder verifies until no check is older than an order allows: the agent may
// have been frozen in between, or reads may be slow.
func (s *Sidecar) verifyForOrder(ctx context.Context, age time.Duration) bool {
	atOnce := readsAtOnce
	for range verifyTries {
		if !s.verify(ctx, age, atOnce) {
			return false
		}
		atOnce *= 4
		if time.Since(s.stage.oldestCheck()) < s.cfg.OrderAge {
			return true
		}
		age = s.cfg.VerifyAge
	}
	s.log.WithField("version", s.stage.version).Warn("Checks of staged pieces take too long for an order.")
	return false
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
		return func() { s.mark(i, true, time.Now()) }, err
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
	if s.doubt.earlier() {
		return errEarlierOrder
	}
	began := time.Now()
	if err := s.engine.PutPiece(ctx, s.engineAddr, s.stage.model, index, s.stage.pieces[index]); err != nil {
		s.unsure.add(index, time.Now().Add(s.cfg.OrderGrace))
		return err
	}
	s.stage.spent.staging.Add(int64(time.Since(began)))
	s.stage.pieces[index] = nil // it lies at the engine; memory is paid for
	return nil
}

// keep fetches one piece into memory.
func (s *Sidecar) keep(ctx context.Context, st *stage, index int) error {
	began := time.Now()
	data, err := s.pieceInTime(ctx, st.manifest, index)
	if err != nil {
		return err
	}
	st.spent.fetching.Add(int64(time.Since(began)))
	st.pieces[index] = data
	s.stats.fetched.Inc(1)
	return nil
}

// pieceInTime asks the source for a piece and returns when ctx ends, also while the
// source is still opening a connection, which may take it seconds.
func (s *Sidecar) pieceInTime(ctx context.Context, m *weights.Manifest, index int) ([]byte, error) {
	type answer struct {
		data []byte
		err  error
	}
	answered := make(chan answer, 1)
	s.asking.Go(func() {
		data, err := s.source.Piece(ctx, m, index)
		answered <- answer{data, err}
	})
	select {
	case a := <-answered:
		return a.data, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
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
