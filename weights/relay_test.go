package weights

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
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/peer"
	"gotest.tools/v3/assert"
)

const (
	testModel  = "m"
	testPieces = 16
)

func piece(version, index int) []byte { return fmt.Appendf(nil, "version %d piece %d", version, index) }

// fakeOrigin counts the pieces that it serves, and corrupts replies on demand.
type fakeOrigin struct {
	mu               sync.Mutex
	down             bool
	silent           bool // requests for manifests get no answer
	manifests        int  // number of requests for manifests
	corruptPieces    int  // number of following pieces to corrupt
	shortManifests   int  // number of manifests, the first ones, that lack the last digest
	corruptManifests int
	pieces           map[int]int // number of times each piece was sent
}

func (o *fakeOrigin) Manifest(ctx context.Context, _, model string, version int) (*Manifest, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.manifests++
	if o.silent {
		o.mu.Unlock()
		<-ctx.Done()
		o.mu.Lock()
		return nil, ctx.Err()
	}
	if o.down {
		return nil, errors.New("origin down")
	}
	m := &Manifest{Model: model, Version: version}
	for i := range testPieces {
		m.Digests = append(m.Digests, sha256.Sum256(piece(version, i)))
	}
	if o.corruptManifests > 0 {
		o.corruptManifests--
		m.Digests[3][0] ^= 1
	}
	if o.shortManifests > 0 {
		o.shortManifests--
		m.Digests = m.Digests[:testPieces-1]
	}
	return m, nil
}

func (o *fakeOrigin) Piece(_ context.Context, _, _ string, version, index int) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, errors.New("origin down")
	}
	o.pieces[index]++
	if o.corruptPieces > 0 {
		o.corruptPieces--
		return []byte("corrupt"), nil
	}
	return piece(version, index), nil
}

// network connects relays and agents by address.
type network struct {
	origin  *fakeOrigin
	relays  map[string]*Relay
	agents  map[string]int    // staged version by address
	domains map[string]string // of the agents, by address
	silent  map[string]bool   // entries that do not answer
}

func newNetwork(entries map[string]string) *network {
	n := &network{origin: &fakeOrigin{pieces: map[int]int{}}, relays: map[string]*Relay{}, agents: map[string]int{}, domains: map[string]string{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for addr, domain := range entries {
		self := peer.Presence{Addr: addr, Domain: domain}
		others := func() []peer.Presence {
			var out []peer.Presence
			for a, d := range entries {
				if a != addr {
					out = append(out, peer.Presence{Addr: a, Domain: d})
				}
			}
			return out
		}
		origin := func() *fleet.Origin { return &fleet.Origin{Addr: "origin", Domain: "a"} }
		n.relays[addr] = NewRelay(Config{HolderWait: 1, RetryPause: 1}, self, others, n.holders, origin, func(string) int { return testPieces }, n.origin, n.call, log)
	}
	return n
}

func (n *network) holders(domain, _ string, version int) []string {
	var out []string
	for addr, v := range n.agents {
		if v == version && n.domains[addr] == domain {
			out = append(out, addr)
		}
	}
	return out
}

func (n *network) call(ctx context.Context, addr string, m peer.Message) (peer.Message, error) {
	if v, ok := n.agents[addr]; ok {
		q := m.(*peer.GetPiece)
		return &peer.Blob{Found: true, Data: piece(v, q.Index)}, nil
	}
	r := n.relays[addr]
	if r == nil {
		return nil, errors.New("no such peer")
	}
	if n.silent[addr] {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch q := m.(type) {
	case *peer.GetManifest:
		return r.manifestReply(ctx, q), nil
	case *peer.GetPiece:
		data, err := r.Piece(ctx, q)
		return &peer.Blob{Found: err == nil, Data: data}, nil
	}
	return nil, errors.New("unexpected message type")
}

// hold makes all relays hold a version without prefetching it.
func (n *network) hold(version int) {
	for _, r := range n.relays {
		r.Hold(testModel, version)
	}
}

func threeDomains() map[string]string {
	return map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
}

func readAll(t *testing.T, r *Relay, version int) {
	t.Helper()
	for i := range testPieces {
		data, err := r.Piece(t.Context(), &peer.GetPiece{Model: testModel, Version: version, Index: i})
		assert.NilError(t, err)
		assert.Equal(t, string(data), string(piece(version, i)))
	}
}

func TestVersionIsReadFromOriginOnce(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	for _, r := range n.relays {
		readAll(t, r, 2)
	}
	for i := range testPieces {
		assert.Equal(t, n.origin.pieces[i], 1, "piece %d", i)
	}
}

// Entries with slow links need their links for live requests, so they are not selected as
// readers.
func TestEntriesWithSlowLinksAreNotReaders(t *testing.T) {
	n := newNetwork(threeDomains())
	r := n.relays["a1"]
	r.self.LinkMbps = 40
	r.entries = func() []peer.Presence {
		return []peer.Presence{{Addr: "a2", Domain: "a", LinkMbps: 200}, {Addr: "b1", Domain: "b", LinkMbps: 40}, {Addr: "b2", Domain: "b", LinkMbps: 30}}
	}
	seen := map[string]bool{}
	for i := range testPieces {
		assert.Equal(t, r.reader(PieceKey(testModel, 2, i), "a"), "a2")
		seen[r.reader(PieceKey(testModel, 2, i), "b")] = true
	}
	assert.Equal(t, len(seen), 2, "both are readers, neither is much slower")
}

func TestCorruptPieceIsReadAgain(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	n.origin.corruptPieces = 2
	readAll(t, n.relays["b1"], 2)
}

// A manifest may be corrupted in transit. Valid pieces do not match the corrupt manifest,
// so it must be read again.
func TestCorruptManifestIsReadAgain(t *testing.T) {
	n := newNetwork(map[string]string{"a1": "a"})
	n.hold(2)
	n.origin.corruptManifests = 1
	readAll(t, n.relays["a1"], 2)
}

func TestAgentsOfSameDomainTakePrecedenceOverOrigin(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(1)
	for _, domain := range []string{"a", "b", "c"} {
		n.agents["agent-"+domain] = 1
		n.domains["agent-"+domain] = domain
	}
	_, err := n.relays["b1"].Manifest(t.Context(), &peer.GetManifest{Model: testModel, Version: 1})
	assert.NilError(t, err)
	n.origin.down = true
	readAll(t, n.relays["b1"], 1)
	assert.Equal(t, len(n.origin.pieces), 0)
}

// An agent that has staged another version since it reported the requested one serves
// different bytes.
func TestPieceOfAnotherVersionIsRejected(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	n.agents["agent-b"] = 1
	n.domains["agent-b"] = "b"
	n.relays["b1"].holders = func(string, string, int) []string { return []string{"agent-b"} }
	readAll(t, n.relays["b1"], 2)
}

// The origin refuses connections above its limit. Pieces are then read from any entry that
// has them in memory, not only from their readers.
func TestEntriesServeHeldVersionDuringOriginOutage(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	readAll(t, n.relays["c1"], 2)
	for _, reader := range []string{"a1", "a2"} {
		n.relays[reader].versions[testModel] = []*heldVersion{{version: 2, pieces: map[int][]byte{}}}
	}
	n.origin.down = true
	for _, addr := range []string{"a1", "b1", "b2"} {
		_, err := n.relays[addr].Manifest(t.Context(), &peer.GetManifest{Model: testModel, Version: 2})
		assert.NilError(t, err, addr)
		readAll(t, n.relays[addr], 2)
	}
}

// Requests with LocalOnly are not forwarded.
func TestLocalOnlyRequestIsNotForwarded(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	_, err := n.relays["b1"].Piece(t.Context(), &peer.GetPiece{Model: testModel, Version: 2, LocalOnly: true})
	assert.ErrorIs(t, err, ErrNoSource)
	_, err = n.relays["b1"].Manifest(t.Context(), &peer.GetManifest{Model: testModel, Version: 2, LocalOnly: true})
	assert.ErrorIs(t, err, ErrNoSource)
	assert.Equal(t, len(n.origin.pieces), 0)
}

// A version that was announced before an entry started is read when agents request it and
// is not prefetched.
func TestHeldVersionIsNotPrefetched(t *testing.T) {
	n := newNetwork(map[string]string{"a1": "a"})
	r := n.relays["a1"]
	assert.Assert(t, r.Hold(testModel, 2))
	assert.Assert(t, !r.Hold(testModel, 2))
	r.Prefetch(t.Context(), testModel, 2, testPieces)
	assert.Equal(t, len(n.origin.pieces), 0)
	readAll(t, r, 2)
}

// Engines may have to load the preceding version until the newer one is completely available,
// so both are served.
func TestPrecedingVersionIsServed(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	readAll(t, n.relays["b1"], 2)
	n.hold(3)
	n.origin.down = true
	readAll(t, n.relays["b1"], 2)
	_, err := n.relays["b1"].Piece(t.Context(), &peer.GetPiece{Model: testModel, Version: 3})
	assert.ErrorIs(t, err, ErrNoSource)
	r := n.relays["b1"]
	r.versions[testModel][0].since = time.Time{}
	n.hold(4)
	assert.Assert(t, r.held(testModel, 4) != nil && r.held(testModel, 3) == nil && r.held(testModel, 2) == nil)
}

// Prefetching resumes after an outage of the origin.
func TestPrefetchResumesAfterOriginOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(map[string]string{"a1": "a"})
		n.origin.down = true
		r := n.relays["a1"]
		r.Prefetch(t.Context(), testModel, 2, testPieces)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(r.missingOwnPieces(testModel, 2, testPieces)), testPieces)
		n.origin.mu.Lock()
		n.origin.down = false
		n.origin.mu.Unlock()
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(r.missingOwnPieces(testModel, 2, testPieces)), 0)
	})
}

func TestOriginConnectionsAreShared(t *testing.T) {
	n := newNetwork(threeDomains())
	r := n.relays["a1"]
	for _, c := range []struct{ accepted, want int }{{0, 3}, {48, 3}, {20, 1}, {3, 1}} {
		got := r.originConns(&fleet.Origin{MaxConns: c.accepted})
		assert.Equal(t, got, c.want, "of %d accepted connections", c.accepted)
	}
}

func TestLimiter(t *testing.T) {
	l := &limiter{}
	assert.NilError(t, l.acquire(t.Context(), 1, rank{}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, l.acquire(ctx, 1, rank{}), context.Canceled)
	assert.Equal(t, len(l.waiting), 0, "cancelled call is removed from the queue")
	assert.NilError(t, l.acquire(t.Context(), 2, rank{}), "a higher limit")
	l.release()
	newer, high, low, same := l.enqueue(1, rank{2, 0}), l.enqueue(1, rank{1, 7}), l.enqueue(1, rank{1, 3}), l.enqueue(1, rank{1, 3})
	for _, w := range []*waiter{low, same, high, newer} {
		l.release()
		<-w.admitted
	}
	assert.Equal(t, l.running, 1)
}

func TestNoSourceIsAnError(t *testing.T) {
	n := newNetwork(threeDomains())
	n.hold(2)
	n.origin.down = true
	_, err := n.relays["c1"].Piece(t.Context(), &peer.GetPiece{Model: testModel, Version: 2, Index: 0})
	assert.ErrorIs(t, err, ErrNoSource)
}

// Entries that disagree on the reader of a piece must not forward requests forever.
func TestHopsAreBounded(t *testing.T) {
	n := newNetwork(map[string]string{"a1": "a", "a2": "a"})
	n.hold(2)
	r := n.relays["a1"]
	for i := range testPieces {
		got := r.sources(PieceKey(testModel, 2, i), maxHops, 0)
		assert.Assert(t, len(got) == 1 && got[0].isOrigin())
	}
}

func TestOlderVersionDoesNotReplaceNewer(t *testing.T) {
	n := newNetwork(map[string]string{"a1": "a"})
	r := n.relays["a1"]
	n.hold(3)
	r.Prefetch(t.Context(), testModel, 2, testPieces)
	assert.Equal(t, r.versions[testModel][0].version, 3)
}

func TestManifestWithTooFewPiecesIsReadAgain(t *testing.T) {
	n := newNetwork(map[string]string{"a1": "a"})
	n.hold(1)
	n.origin.shortManifests = 1
	m, err := n.relays["a1"].Manifest(t.Context(), &peer.GetManifest{Model: testModel, Version: 1})
	assert.NilError(t, err)
	assert.Equal(t, len(m.Digests), testPieces)
}
