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
	// Off lists the mechanisms that are disabled.
	Off mechanism.Off
	// OriginTimeout bounds one read from the origin. The origin's link transfers a
	// complete version in about 2 s, and all readers share it. Default 4 s.
	OriginTimeout time.Duration
	// PeerTimeout bounds one read from another entry, which may have to read
	// from the origin first. Default 5 s.
	PeerTimeout time.Duration
	// OriginConns is the maximum number of concurrent reads of this entry from the origin.
	// Two reads saturate the origin's link. Default 3. With many entries each of them uses
	// fewer, because the origin resets connections above a total limit.
	OriginConns int
	// HolderWait is the maximum wait for agents that have staged the first version (see
	// firstVersion), before it is read from the origin. Default 4 s.
	HolderWait time.Duration
	// Tries is the number of passes over the sources of a piece or manifest (see
	// Relay.sources). Default 4. Requests of other entries, which retry themselves, get at
	// most 2.
	Tries int
	// RetryPause is the back-off after the first pass, which doubles with each
	// further one. It prevents tight loops on sources that refuse immediately.
	// Default 50 ms.
	RetryPause time.Duration
	// PrefetchRetryPause is the pause before failed prefetches are retried. The
	// origin may be unavailable for seconds. Default 200 ms.
	PrefetchRetryPause time.Duration
	// Overlap is the age below which a held version is kept when a newer one arrives:
	// engines may have to load the older one until the newest is completely available.
	// Default 10 s, which is somewhat longer than a version change.
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

// PeerCall sends a request to an entry or agent and returns the reply.
type PeerCall func(ctx context.Context, addr string, m peer.Message) (peer.Message, error)

// PieceCount returns the number of pieces that a model's weights are split into, or 0 if it is not
// known.
type PieceCount func(model string) int

// Holders returns the addresses of the agents in a failure domain that have a version staged.
type Holders func(domain, model string, version int) []string

// Relay holds the pieces of the newest version of each model in an entry, and those of the
// preceding version if that was recent (see Config.Overlap). It serves them to agents and other
// entries.
type Relay struct {
	cfg          Config
	self         peer.Presence
	entries      func() []peer.Presence // live entries except this one
	holders      Holders
	origin       func() *fleet.Origin
	pieceCount   PieceCount
	originClient Origin
	call         PeerCall
	log          logrus.FieldLogger

	inFlight      syncx.SingleFlight
	originLimiter limiter // of reads from the origin
	recovery      recovery

	mu       sync.Mutex
	versions map[string][]*heldVersion // by model, newest first
}

// heldVersion is the state of one version in a relay.
type heldVersion struct {
	version    int
	since      time.Time      // when the relay began to hold the version
	manifest   *Manifest      // nil until it has been read
	pieces     map[int][]byte // by index
	mismatches int            // consecutive pieces that did not match the manifest
	failing    bool           // the latest prefetch of a piece failed
}

// NewRelay returns an empty relay.
func NewRelay(cfg Config, self peer.Presence, entries func() []peer.Presence, holders Holders, origin func() *fleet.Origin, pieceCount PieceCount,
	originClient Origin, call PeerCall, log logrus.FieldLogger) *Relay {
	cfg = cfg.applyDefaults()
	return &Relay{cfg: cfg, self: self, entries: entries, holders: holders, origin: origin, pieceCount: pieceCount, originClient: originClient, call: call, log: log,
		inFlight: syncx.NewSingleFlight(), versions: map[string][]*heldVersion{}}
}

// PieceKey returns the key by which the readers of a piece are selected.
func PieceKey(model string, version, index int) string {
	return fmt.Sprintf("%s/%d/%d", model, version, index)
}

// ManifestKey returns the key by which the readers of a manifest are selected.
func ManifestKey(model string, version int) string { return fmt.Sprintf("%s/%d", model, version) }

func (r *Relay) held(model string, version int) *heldVersion {
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
	if q.LocalOnly {
		return nil, ErrNoSource
	}
	key := ManifestKey(q.Model, q.Version)
	v, err := r.inFlight.Do(key, func() (any, error) { return r.readManifest(ctx, key, q) })
	if err != nil {
		return nil, err
	}
	return v.(*Manifest), nil
}

func (r *Relay) readManifest(ctx context.Context, key string, q *peer.GetManifest) (*Manifest, error) {
	var last error
	for try := range r.tries(q.Hops) {
		if try > 0 && !r.recovery.wait(ctx, r.retryPause(try)) {
			break
		}
		srcs := r.sources(key, q.Hops, try)
		if try == 0 {
			srcs = append(srcs, beside(r.others(key, srcs))...)
		}
		m, err := r.firstManifest(ctx, srcs, q)
		if err == nil {
			r.storeManifest(m)
			return m, nil
		}
		last = err
	}
	return nil, errors.Wrapf(ErrNoSource, "manifest of %s version %d: %v", q.Model, q.Version, last)
}

// manifestFrom reads the manifest from a source. One that lists another number of pieces than the
// configuration is corrupt: a stage with all its pieces would look complete.
func (r *Relay) manifestFrom(ctx context.Context, src source, q *peer.GetManifest) (*Manifest, error) {
	read := r.peerManifest
	if src.isOrigin() {
		read = r.originManifest
	}
	m, err := read(ctx, src, q)
	if err != nil {
		return nil, err
	}
	return m, m.CheckLength(r.pieceCount(q.Model))
}

func (r *Relay) peerManifest(ctx context.Context, src source, q *peer.GetManifest) (*Manifest, error) {
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.PeerTimeout)
	defer cancel()
	msg, err := r.call(ctx, src.addr, &peer.GetManifest{Model: q.Model, Version: q.Version, Hops: q.Hops + 1, LocalOnly: src.localOnly})
	if err != nil {
		return nil, err
	}
	return DecodeManifest(q.Model, q.Version, msg)
}

// retryPause returns the pause before a pass over the sources of a manifest; try counts from 0. It
// does not grow while this entry has no configuration yet and so knows no origin.
func (r *Relay) retryPause(try int) time.Duration {
	if r.origin() == nil {
		return r.cfg.RetryPause
	}
	return r.cfg.RetryPause << (try - 1)
}

// HasContent reports whether an entry's reply contains the requested manifest or piece.
func HasContent(msg peer.Message) bool {
	switch m := msg.(type) {
	case *peer.Manifest:
		return len(m.Digests) > 0
	case *peer.Blob:
		return m.Found
	}
	return false
}

// DecodeManifest decodes the manifest in an entry's reply.
func DecodeManifest(model string, version int, msg peer.Message) (*Manifest, error) {
	reply, ok := msg.(*peer.Manifest)
	if !ok || len(reply.Digests) == 0 {
		return nil, ErrNoSource
	}
	m := &Manifest{Model: model, Version: version}
	for _, d := range reply.Digests {
		if len(d) != sha256.Size {
			return nil, errors.Wrap(ErrCorrupt, "manifest digest has wrong length")
		}
		m.Digests = append(m.Digests, [sha256.Size]byte(d))
	}
	return m, nil
}

func (r *Relay) originManifest(ctx context.Context, _ source, q *peer.GetManifest) (*Manifest, error) {
	o := r.origin()
	if o == nil {
		return nil, ErrNoSource
	}
	ctx, cancel := clock.WithTimeout(ctx, r.cfg.OriginTimeout)
	defer cancel()
	if err := r.originLimiter.acquire(ctx, r.originConns(o), rank{q.Version, manifestIndex}); err != nil {
		return nil, err
	}
	defer r.originLimiter.release()
	m, err := r.originClient.Manifest(ctx, o.Addr, q.Model, q.Version)
	if !errors.Is(ctx.Err(), context.Canceled) { // another source was faster
		r.recovery.record(err)
	}
	return m, err
}

func (r *Relay) storeManifest(m *Manifest) {
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
	if q.LocalOnly {
		return nil, ErrNoSource
	}
	key := PieceKey(q.Model, q.Version, q.Index)
	v, err := r.inFlight.Do(key, func() (any, error) { return r.readPiece(ctx, key, q) })
	if err != nil {
		return nil, err
	}
	return v.([]byte), nil
}

func (r *Relay) readPiece(ctx context.Context, key string, q *peer.GetPiece) ([]byte, error) {
	var last error
	for try := range r.tries(q.Hops) {
		if try > 0 && !r.recovery.wait(ctx, r.cfg.RetryPause<<(try-1)) {
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
				r.recordVerification(q, err == nil)
			}
			if err == nil {
				r.storePiece(q, data)
				return data, nil
			}
			last = err
			r.log.WithError(err).WithFields(logrus.Fields{"model": q.Model, "version": q.Version, "piece": q.Index,
				"try": try, "source": src.String()}).Debug("Read of piece from source failed.")
		}
	}
	return nil, errors.Wrapf(ErrNoSource, "piece %d of %s version %d: %v", q.Index, q.Model, q.Version, last)
}

// maxPieceMismatches is the number of consecutive mismatching pieces after which the manifest
// is read again, since it may itself have been corrupted in transit.
const maxPieceMismatches = 3

func (r *Relay) recordVerification(q *peer.GetPiece, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held(q.Model, q.Version)
	if h == nil {
		return
	}
	if ok {
		h.mismatches = 0
		return
	}
	h.mismatches++
	if h.mismatches >= maxPieceMismatches {
		h.mismatches, h.manifest = 0, nil
	}
}

func (r *Relay) storePiece(q *peer.GetPiece, data []byte) {
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
		LocalOnly: src.localOnly})
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
	if err := r.originLimiter.acquire(ctx, r.originConns(o), rank{q.Version, q.Index}); err != nil {
		return nil, err
	}
	defer r.originLimiter.release()
	data, err := r.originClient.Piece(ctx, o.Addr, q.Model, q.Version, q.Index)
	r.recovery.record(err)
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
	// If the reply is lost, the requester's own timeout detects it.
	_ = s.SendLast(ctx, reply)
}

func (r *Relay) manifestReply(ctx context.Context, q *peer.GetManifest) *peer.Manifest {
	reply := &peer.Manifest{}
	m, err := r.Manifest(context.WithoutCancel(ctx), q)
	if err != nil {
		r.log.WithError(err).Info("Manifest not available.")
		return reply
	}
	for _, d := range m.Digests {
		reply.Digests = append(reply.Digests, d[:])
	}
	return reply
}
