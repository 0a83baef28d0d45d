package weights

import (
	"cmp"
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/peer"
	"github.com/zeromicro/go-zero/core/syncx"
)

// Config holds the limits of a Relay.
type Config struct {
	// Off are mechanisms that are switched off.
	Off mechanism.Off
	// OriginTimeout bounds one read at the origin. Its link sends a whole
	// version in about 2 s, and all readers share it. Default 4 s.
	OriginTimeout time.Duration
	// PeerTimeout bounds one read at another entry, which may have to read
	// the origin first. Default 5 s.
	PeerTimeout time.Duration
	// OriginConns is how many reads at the origin run at once at the most; two
	// keep its link busy. Default 3. Many entries take fewer each: the origin
	// resets connections beyond a number for all callers together.
	OriginConns int
	// HolderWait is how long agents that hold the first version are awaited
	// before it is read from the origin. Default 4 s.
	HolderWait time.Duration
	// Tries is how often the sources are gone through. Default 4; 2 for what
	// another entry asks for, which has tries of its own.
	Tries int
	// RetryPause is the pause after the first try; it doubles with each. Sources
	// that refuse at once are not asked in a tight loop. Default 50 ms.
	RetryPause time.Duration
	// PrefetchRetryPause is the pause before pieces that could not be read ahead are
	// tried again; the origin may be away for seconds. Default 200 ms.
	PrefetchRetryPause time.Duration
	// Overlap is how long the version before the newest is still handed out:
	// until the newest can be had whole, engines may have to change to it.
	// Default 10 s, somewhat more than a change of version takes.
	Overlap time.Duration
}

func (c Config) applyDefaults() Config {
	c.OriginTimeout = cmp.Or(c.OriginTimeout, 4*time.Second)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, 5*time.Second)
	c.OriginConns = cmp.Or(c.OriginConns, 3)
	c.HolderWait = cmp.Or(c.HolderWait, 4*time.Second)
	c.Tries = cmp.Or(c.Tries, 4)
	c.RetryPause = cmp.Or(c.RetryPause, 50*time.Millisecond)
	c.PrefetchRetryPause = cmp.Or(c.PrefetchRetryPause, 200*time.Millisecond)
	c.Overlap = cmp.Or(c.Overlap, 10*time.Second)
	return c
}

// PeerCall asks another entry.
type PeerCall func(ctx context.Context, addr string, m peer.Message) (peer.Message, error)

// Holders returns the agents of a failure domain that have a version staged.
type Holders func(domain, model string, version int) []string

// Relay holds the pieces of the newest version of each model in an entry, for a
// while also of the one before, and serves them to agents and other entries.
type Relay struct {
	cfg     Config
	self    peer.Presence
	entries func() []peer.Presence // live ones, without this
	holders Holders
	origin  func() *fleet.Origin
	from    Origin
	call    PeerCall
	log     logrus.FieldLogger

	flight   syncx.SingleFlight
	gate     gate // of reads at the origin
	recovery recovery

	mu       sync.Mutex
	versions map[string][]*held // by model, newest first
}

// held is what a relay has of one version.
type held struct {
	version  int
	since    time.Time
	manifest *Manifest
	pieces   map[int][]byte
	fails    int  // pieces that did not match in a row
	failing  bool // the last piece that was read ahead could not be had
}

// NewRelay returns an empty relay.
func NewRelay(cfg Config, self peer.Presence, entries func() []peer.Presence, holders Holders, origin func() *fleet.Origin, from Origin,
	call PeerCall, log logrus.FieldLogger) *Relay {
	cfg = cfg.applyDefaults()
	return &Relay{cfg: cfg, self: self, entries: entries, holders: holders, origin: origin, from: from, call: call, log: log,
		flight: syncx.NewSingleFlight(), versions: map[string][]*held{}}
}

// PieceKey is what the readers of a piece are chosen by.
func PieceKey(model string, version, index int) string {
	return fmt.Sprintf("%s/%d/%d", model, version, index)
}

// ManifestKey is what the readers of a manifest are chosen by.
func ManifestKey(model string, version int) string { return fmt.Sprintf("%s/%d", model, version) }

func (r *Relay) held(model string, version int) *held {
	for _, h := range r.versions[model] {
		if h.version == version {
			return h
		}
	}
	return nil
}

// Manifest returns the manifest of a version.
func (r *Relay) Manifest(ctx context.Context, q *peer.GetManifest) (*Manifest, error) {
	r.mu.Lock()
	if h := r.held(q.Model, q.Version); h != nil && h.manifest != nil {
		defer r.mu.Unlock()
		return h.manifest, nil
	}
	r.mu.Unlock()
	if q.HeldOnly {
		return nil, ErrNoSource
	}
	key := ManifestKey(q.Model, q.Version)
	v, err := r.flight.Do(key, func() (any, error) { return r.readManifest(ctx, key, q) })
	if err != nil {
		return nil, err
	}
	return v.(*Manifest), nil
}

func (r *Relay) readManifest(ctx context.Context, key string, q *peer.GetManifest) (*Manifest, error) {
	var last error
	for try := range r.tries(q.Hops) {
		if try > 0 && !r.recovery.pause(ctx, r.cfg.RetryPause<<(try-1)) {
			break
		}
		for _, src := range r.sources(key, q.Hops, try) {
			m, err := r.manifestFrom(ctx, src, q)
			if err == nil {
				r.keepManifest(m)
				return m, nil
			}
			last = err
			r.log.WithError(err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "try": try,
				"source": src.String()}).Debug("Manifest not had from a source.")
		}
	}
	return nil, errors.Wrapf(ErrNoSource, "manifest of %s version %d: %v", q.Model, q.Version, last)
}

func (r *Relay) manifestFrom(ctx context.Context, src source, q *peer.GetManifest) (*Manifest, error) {
	if src.isOrigin() {
		return r.originManifest(ctx, q)
	}
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.PeerTimeout)
	defer cancel()
	msg, err := r.call(ctx, src.addr, &peer.GetManifest{Model: q.Model, Version: q.Version, Hops: q.Hops + 1, HeldOnly: src.heldOnly})
	if err != nil {
		return nil, err
	}
	return DecodeManifest(q.Model, q.Version, msg)
}

// HasContent reports whether an entry's reply holds what it was asked for.
func HasContent(msg peer.Message) bool {
	switch m := msg.(type) {
	case *peer.Manifest:
		return len(m.Digests) > 0
	case *peer.Blob:
		return m.Found
	}
	return false
}

// DecodeManifest turns an entry's reply into a manifest.
func DecodeManifest(model string, version int, msg peer.Message) (*Manifest, error) {
	reply, ok := msg.(*peer.Manifest)
	if !ok || len(reply.Digests) == 0 {
		return nil, ErrNoSource
	}
	m := &Manifest{Model: model, Version: version}
	for _, d := range reply.Digests {
		if len(d) != sha256.Size {
			return nil, errors.Wrap(ErrCorrupt, "manifest")
		}
		m.Digests = append(m.Digests, [sha256.Size]byte(d))
	}
	return m, nil
}

func (r *Relay) originManifest(ctx context.Context, q *peer.GetManifest) (*Manifest, error) {
	o := r.origin()
	if o == nil {
		return nil, ErrNoSource
	}
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.OriginTimeout)
	defer cancel()
	if err := r.gate.enter(ctx, r.originConns(o), rank{q.Version, manifestIndex}); err != nil {
		return nil, err
	}
	defer r.gate.leave()
	m, err := r.from.Manifest(ctx, o.Addr, q.Model, q.Version)
	r.recovery.note(err)
	return m, err
}

func (r *Relay) keepManifest(m *Manifest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.held(m.Model, m.Version); h != nil {
		h.manifest = m
	}
}

// Piece returns one verified piece of a version.
func (r *Relay) Piece(ctx context.Context, q *peer.GetPiece) ([]byte, error) {
	r.mu.Lock()
	if h := r.held(q.Model, q.Version); h != nil && h.pieces[q.Index] != nil {
		defer r.mu.Unlock()
		return h.pieces[q.Index], nil
	}
	r.mu.Unlock()
	if q.HeldOnly {
		return nil, ErrNoSource
	}
	key := PieceKey(q.Model, q.Version, q.Index)
	v, err := r.flight.Do(key, func() (any, error) { return r.readPiece(ctx, key, q) })
	if err != nil {
		return nil, err
	}
	return v.([]byte), nil
}

func (r *Relay) readPiece(ctx context.Context, key string, q *peer.GetPiece) ([]byte, error) {
	var last error
	for try := range r.tries(q.Hops) {
		if try > 0 && !r.recovery.pause(ctx, r.cfg.RetryPause<<(try-1)) {
			break
		}
		m, err := r.Manifest(ctx, &peer.GetManifest{Model: q.Model, Version: q.Version})
		if err != nil {
			return nil, err
		}
		for _, src := range r.pieceSources(key, q, try) {
			data, err := r.pieceFrom(ctx, src, q)
			if err == nil {
				err = m.Verify(q.Index, data)
				r.verified(q, err == nil)
			}
			if err == nil {
				r.keepPiece(q, data)
				return data, nil
			}
			last = err
			r.log.WithError(err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "piece": q.Index,
				"try": try, "source": src.String()}).Debug("Piece not had from a source.")
		}
	}
	return nil, errors.Wrapf(ErrNoSource, "piece %d of %s version %d: %v", q.Index, q.Model, q.Version, last)
}

// suspectManifest is how many pieces in a row may fail before the manifest
// itself, which may arrive corrupted like any other answer, is read again.
const suspectManifest = 3

func (r *Relay) verified(q *peer.GetPiece, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held(q.Model, q.Version)
	if h == nil {
		return
	}
	if ok {
		h.fails = 0
		return
	}
	h.fails++
	if h.fails >= suspectManifest {
		h.fails, h.manifest = 0, nil
	}
}

func (r *Relay) keepPiece(q *peer.GetPiece, data []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.held(q.Model, q.Version); h != nil {
		h.pieces[q.Index] = data
	}
}

func (r *Relay) pieceFrom(ctx context.Context, src source, q *peer.GetPiece) ([]byte, error) {
	if src.isOrigin() {
		return r.originPiece(ctx, q)
	}
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.PeerTimeout)
	defer cancel()
	msg, err := r.call(ctx, src.addr, &peer.GetPiece{Model: q.Model, Version: q.Version, Index: q.Index, Hops: q.Hops + 1,
		HeldOnly: src.heldOnly})
	if err != nil {
		return nil, err
	}
	blob, ok := msg.(*peer.Blob)
	if !ok || !blob.Found {
		return nil, ErrNoSource
	}
	return blob.Data, nil
}

func (r *Relay) originPiece(ctx context.Context, q *peer.GetPiece) ([]byte, error) {
	o := r.origin()
	if o == nil {
		return nil, ErrNoSource
	}
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.OriginTimeout)
	defer cancel()
	if err := r.gate.enter(ctx, r.originConns(o), rank{q.Version, q.Index}); err != nil {
		return nil, err
	}
	defer r.gate.leave()
	data, err := r.from.Piece(ctx, o.Addr, q.Model, q.Version, q.Index)
	r.recovery.note(err)
	return data, err
}

// Serve answers a request for a manifest or a piece.
func (r *Relay) Serve(ctx context.Context, s *peer.Stream, first peer.Message) {
	var reply peer.Message
	switch q := first.(type) {
	case *peer.GetManifest:
		reply = r.manifestReply(ctx, q)
	case *peer.GetPiece:
		data, err := r.Piece(context.WithoutCancel(ctx), q)
		reply = &peer.Blob{Found: err == nil, Data: data}
	}
	// The asker notices a reply that does not arrive by its own timeout.
	_ = s.SendLast(ctx, reply)
}

func (r *Relay) manifestReply(ctx context.Context, q *peer.GetManifest) *peer.Manifest {
	reply := &peer.Manifest{}
	m, err := r.Manifest(context.WithoutCancel(ctx), q)
	if err != nil {
		r.log.WithError(err).Info("Manifest not had.")
		return reply
	}
	for _, d := range m.Digests {
		reply.Digests = append(reply.Digests, d[:])
	}
	return reply
}
