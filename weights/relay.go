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
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/loop"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/peer"
	"github.com/zeromicro/go-zero/core/syncx"
)

// Config holds the limits of a Relay.
type Config struct {
	// OriginTimeout bounds one read at the origin. Its link sends a whole
	// version in about 2 s, and all readers share it. Default 4 s.
	OriginTimeout time.Duration
	// PeerTimeout bounds one read at another entry, which may have to read
	// the origin first. Default 5 s.
	PeerTimeout time.Duration
	// OriginConns is how many reads at the origin run at once; two keep its
	// link busy. Default 3.
	OriginConns int
	// HolderWait is how long agents that hold the first version are awaited
	// before it is read from the origin. Default 4 s.
	HolderWait time.Duration
	// Tries is how often a corrupt or failed read is repeated. Default 4.
	Tries int
}

func (c Config) applyDefaults() Config {
	c.OriginTimeout = cmp.Or(c.OriginTimeout, 4*time.Second)
	c.PeerTimeout = cmp.Or(c.PeerTimeout, 5*time.Second)
	c.OriginConns = cmp.Or(c.OriginConns, 3)
	c.HolderWait = cmp.Or(c.HolderWait, 4*time.Second)
	c.Tries = cmp.Or(c.Tries, 4)
	return c
}

// maxHops bounds how often a request is passed on: to the reader of the own
// failure domain, and from there to the one of the origin's domain.
const maxHops = 2

// Caller asks another entry.
type Caller func(ctx context.Context, addr string, m peer.Message) (peer.Message, error)

// Holders returns the agents of a failure domain that have a version staged.
type Holders func(domain, model string, version int) []string

// Relay holds the pieces of the newest version of each model in an entry and
// serves them to agents and other entries.
type Relay struct {
	cfg     Config
	self    peer.Presence
	entries func() []peer.Presence // live ones, without this
	holders Holders
	origin  func() *fleet.Origin
	from    Origin
	call    Caller
	log     logrus.FieldLogger

	flight syncx.SingleFlight
	slots  chan struct{}

	mu       sync.Mutex
	versions map[string]*held // by model
}

// held is what a relay has of one version.
type held struct {
	version  int
	manifest *Manifest
	pieces   map[int][]byte
	fails    int // pieces that did not match in a row
}

// NewRelay returns an empty relay.
func NewRelay(cfg Config, self peer.Presence, entries func() []peer.Presence, holders Holders, origin func() *fleet.Origin, from Origin,
	call Caller, log logrus.FieldLogger) *Relay {
	cfg = cfg.applyDefaults()
	return &Relay{cfg: cfg, self: self, entries: entries, holders: holders, origin: origin, from: from, call: call, log: log,
		flight: syncx.NewSingleFlight(), slots: make(chan struct{}, cfg.OriginConns), versions: map[string]*held{}}
}

// PieceKey is what the readers of a piece are chosen by.
func PieceKey(model string, version, index int) string {
	return fmt.Sprintf("%s/%d/%d", model, version, index)
}

// ManifestKey is what the readers of a manifest are chosen by.
func ManifestKey(model string, version int) string { return fmt.Sprintf("%s/%d", model, version) }

// Want holds the pieces of a version in place of older ones. It reads those for
// which this entry is the reader of its failure domain before an agent asks for
// them: by then the origin may be away.
func (r *Relay) Want(ctx context.Context, model string, version, pieces int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.versions[model]; h != nil && h.version >= version {
		return
	}
	r.versions[model] = &held{version: version, pieces: map[int][]byte{}}
	go r.prefetch(ctx, model, version, pieces)
}

func (r *Relay) prefetch(ctx context.Context, model string, version, pieces int) {
	start := time.Now()
	r.awaitHolders(ctx, model, version)
	fetched := 0
	var wg sync.WaitGroup
	slots := make(chan struct{}, r.cfg.OriginConns)
	for i := range pieces {
		if r.reader(PieceKey(model, version, i), r.self.Domain) != r.self.Addr {
			continue
		}
		fetched++
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			if _, err := r.Piece(ctx, &peer.GetPiece{Model: model, Version: version, Index: i}); err != nil {
				r.log.WithError(err).WithFields(logrus.Fields{"model": model, "version": version, "piece": i}).Warn("Piece not read ahead.")
			}
		}()
	}
	wg.Wait()
	r.log.WithFields(logrus.Fields{"model": model, "version": version, "pieces": fetched,
		"ms": time.Since(start).Milliseconds()}).Info("Own pieces read.")
}

// awaitHolders waits for agents that have the version staged already, if there
// is reason to expect any: a version that engines held at their start.
func (r *Relay) awaitHolders(ctx context.Context, model string, version int) {
	if version > firstVersion {
		return
	}
	deadline := time.Now().Add(r.cfg.HolderWait)
	for time.Now().Before(deadline) && len(r.holders(r.self.Domain, model, version)) == 0 {
		if !loop.Sleep(ctx, holderPoll) {
			return
		}
	}
}

// firstVersion is the version that engines may hold when the fleet starts.
const firstVersion = 1

// holderPoll is the time between two looks for holders.
const holderPoll = 100 * time.Millisecond

// reader returns the entry of a failure domain that reads key, this one
// included, or "" if the domain has none.
func (r *Relay) reader(key, domain string) string {
	var addrs []string
	if r.self.Domain == domain {
		addrs = append(addrs, r.self.Addr)
	}
	for _, e := range r.entries() {
		if e.Domain == domain {
			addrs = append(addrs, e.Addr)
		}
	}
	return membership.First(key, addrs)
}

// pieceSources returns whom to ask for a piece: an agent nearby that has it
// staged goes first, since it costs neither the origin nor a link between
// regions.
func (r *Relay) pieceSources(key string, q *peer.GetPiece) []string {
	near := membership.First(key, r.holders(r.self.Domain, q.Model, q.Version))
	if near == "" || q.Hops > maxHops {
		return r.upstream(key, q.Hops)
	}
	return append([]string{near}, r.upstream(key, q.Hops)...)
}

// upstream returns whom to ask for key, in order; "" is the origin.
func (r *Relay) upstream(key string, hops int) []string {
	o := r.origin()
	if hops >= maxHops || o == nil {
		return []string{""}
	}
	var out []string
	if near := r.reader(key, r.self.Domain); near != r.self.Addr {
		out = append(out, near)
	}
	if r.self.Domain != o.Domain {
		if far := r.reader(key, o.Domain); far != "" {
			out = append(out, far)
		}
	}
	return append(out, "")
}

func (r *Relay) held(model string, version int) *held {
	h := r.versions[model]
	if h == nil || h.version != version {
		return nil
	}
	return h
}

// Manifest returns the manifest of a version.
func (r *Relay) Manifest(ctx context.Context, q *peer.GetManifest) (*Manifest, error) {
	r.mu.Lock()
	if h := r.held(q.Model, q.Version); h != nil && h.manifest != nil {
		defer r.mu.Unlock()
		return h.manifest, nil
	}
	r.mu.Unlock()
	key := ManifestKey(q.Model, q.Version)
	v, err := r.flight.Do(key, func() (any, error) { return r.readManifest(ctx, key, q) })
	if err != nil {
		return nil, err
	}
	return v.(*Manifest), nil
}

func (r *Relay) readManifest(ctx context.Context, key string, q *peer.GetManifest) (*Manifest, error) {
	var last error
	for range r.cfg.Tries {
		for _, addr := range r.upstream(key, q.Hops) {
			m, err := r.manifestFrom(ctx, addr, q)
			if err == nil {
				r.keepManifest(m)
				return m, nil
			}
			last = err
		}
	}
	return nil, errors.Wrapf(ErrNoSource, "manifest of %s version %d: %v", q.Model, q.Version, last)
}

func (r *Relay) manifestFrom(ctx context.Context, addr string, q *peer.GetManifest) (*Manifest, error) {
	if addr == "" {
		return r.originManifest(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.PeerTimeout)
	defer cancel()
	msg, err := r.call(ctx, addr, &peer.GetManifest{Model: q.Model, Version: q.Version, Hops: q.Hops + 1})
	if err != nil {
		return nil, err
	}
	return DecodeManifest(q.Model, q.Version, msg)
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
	ctx, cancel := context.WithTimeout(ctx, r.cfg.OriginTimeout)
	defer cancel()
	return r.from.Manifest(ctx, o.Addr, q.Model, q.Version)
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
	key := PieceKey(q.Model, q.Version, q.Index)
	v, err := r.flight.Do(key, func() (any, error) { return r.readPiece(ctx, key, q) })
	if err != nil {
		return nil, err
	}
	return v.([]byte), nil
}

func (r *Relay) readPiece(ctx context.Context, key string, q *peer.GetPiece) ([]byte, error) {
	var last error
	for range r.cfg.Tries {
		m, err := r.Manifest(ctx, &peer.GetManifest{Model: q.Model, Version: q.Version})
		if err != nil {
			return nil, err
		}
		for _, addr := range r.pieceSources(key, q) {
			data, err := r.pieceFrom(ctx, addr, q)
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
				"source": cmp.Or(addr, "origin")}).Info("Piece not had.")
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

func (r *Relay) pieceFrom(ctx context.Context, addr string, q *peer.GetPiece) ([]byte, error) {
	if addr == "" {
		return r.originPiece(ctx, q)
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.PeerTimeout)
	defer cancel()
	msg, err := r.call(ctx, addr, &peer.GetPiece{Model: q.Model, Version: q.Version, Index: q.Index, Hops: q.Hops + 1})
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
	r.slots <- struct{}{}
	defer func() { <-r.slots }()
	ctx, cancel := context.WithTimeout(ctx, r.cfg.OriginTimeout)
	defer cancel()
	return r.from.Piece(ctx, o.Addr, q.Model, q.Version, q.Index)
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
