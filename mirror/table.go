// Package mirror keeps copies of prefixes of the platform's key-value store in each entry of
// `springgate gateway`. A copy follows the store directly or, where the store
// cannot be reached, the copy of a peer: revisions are the store's own, so
// that a process may change its source at any time and never goes back.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
)

// Errors of sources.
var (
	// ErrCompacted says that the history after a revision is gone: read all.
	ErrCompacted = errors.New("mirror: history compacted")
	// ErrUnavailable says that a source answered but cannot serve.
	ErrUnavailable = errors.New("mirror: source unavailable")
	// ErrSourceChanged says that a watch was called off because another source is to be
	// followed.
	ErrSourceChanged = errors.New("mirror: another source is followed")
)

// Item is one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // of its last change
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool
}

// Batch is what a source returns: a whole prefix or the changes since a
// revision.
type Batch struct {
	Events   []Event
	Revision int64         // continue from here
	MaxRevision     int64         // changes up to this may be in it too, but not all; of a whole copy
	Age      time.Duration // how long ago the store was known to agree with the source, at most
	AgeMeasuredAt       time.Time     // when Age was read; set by Tables only
	// FromStore says that this process read it from the store itself.
	FromStore bool
}

// Source is the store or a peer's copy of it.
type Source interface {
	// Name is used in logs.
	Name() string
	// Range returns all items of prefix.
	Range(ctx context.Context, prefix string) (Batch, error)
	// Watch waits for changes after a revision, at most for wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (Batch, error)
}

// Paid is a Source that may cost something each time it is called.
type Paid interface{ Paid() bool }

// Bounds of the changes that a table keeps for peers that follow it. A follower
// that is further behind reads the whole copy, about 1 MB at 3,000 targets, and
// when those register at once all followers are: a few hundred changes come
// between two watches. A change has a few hundred bytes, a configuration tens of
// thousands.
const (
	historyLength = 4096
	historyBytes  = 1 << 20
)

// Table is the copy of one prefix. Its methods may be called concurrently.
//
// A copy has a revision: it reflects each change up to that. It may reflect some
// changes beyond it, because a whole copy is read in pages, each later than the one
// before. So what a copy knows of a key does not tell which changes it has been told
// of; only the revision does. Changes up to the revision are never taken again, and
// each beyond it goes into the history for followers, also if its effect is known.
type Table struct {
	prefix string

	mu        sync.Mutex
	items     map[string]Item
	history   []Event // in order of revisions
	size      int     // of the history in bytes
	start     int64   // history is complete after this revision
	revision  int64
	upTo      int64     // changes up to this may be reflected, beyond revision not all
	first     int64     // revision of the first read
	contactAt time.Time // when the store was last known to agree
	readAt    time.Time // when it was, by this process's own reads
	changed   chan struct{}
	digest    uint64 // of all items
	late      int64  // events that were not taken because the copy was beyond them
}

// NewTable returns an empty copy of prefix.
func NewTable(prefix string) *Table {
	return &Table{prefix: prefix, items: map[string]Item{}, digest: emptyDigest, changed: make(chan struct{})}
}

// Revision returns the store's revision of the copy; zero before the first read.
func (t *Table) Revision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// FirstRevision returns the revision of the first read: changes up to it may be
// of any age.
func (t *Table) FirstRevision() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.first
}

// Items returns the items of the copy, and a channel closed at the next change.
func (t *Table) Items() ([]Item, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Item, 0, len(t.items))
	for _, i := range t.items {
		out = append(out, i)
	}
	return out, t.changed
}

// Apply takes the changes after a revision that the copy had reached when they were
// asked for. What it has reached meanwhile is skipped: answers overtake each other, and
// one that is late would list a target again whose removal the copy has.
func (t *Table) Apply(now time.Time, b Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, e := range b.Events {
		if e.Revision <= t.revision {
			t.late++
			continue
		}
		changed = t.set(e) || changed
		t.record(e)
	}
	t.advance(now, b, changed)
}

// Replace takes a whole prefix. Keys that it lacks are gone, unless they
// changed after its revision. A replacement older than the copy is ignored.
func (t *Table) Replace(now time.Time, b Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Revision < t.revision {
		return
	}
	named := make(map[string]bool, len(b.Events))
	changed := t.revision == 0
	for _, e := range b.Events {
		named[e.Key] = true
		changed = t.set(e) || changed
	}
	for key, i := range t.items {
		if !named[key] && i.Revision <= b.Revision {
			changed = t.set(Event{Item: Item{Key: key, Revision: b.Revision}, Deleted: true}) || changed
		}
	}
	if t.revision == 0 {
		t.first = b.Revision
	}
	t.upTo = max(t.upTo, b.MaxRevision)
	// Keys that came and went since the last read were not seen here, so a
	// peer that is behind must read all too.
	t.start, t.history, t.size = b.Revision, nil, 0
	t.advance(now, b, changed)
}

// set brings a key to what a change made of it, unless more is known of the key, and
// reports whether that changed the copy.
func (t *Table) set(e Event) bool {
	old, known := t.items[e.Key]
	if known && e.Revision <= old.Revision && !e.Deleted {
		return false
	}
	if e.Deleted && (!known || e.Revision < old.Revision) {
		return false
	}
	if known {
		t.digest ^= old.digest()
	}
	if e.Deleted {
		delete(t.items, e.Key)
	} else {
		t.items[e.Key] = e.Item
		t.digest ^= e.Item.digest()
	}
	return true
}

// record keeps a change for followers. Without those whose effect is known already,
// half of 14 entries held three targets in an old state for good after one whole read.
func (t *Table) record(e Event) {
	t.history = append(t.history, e)
	t.size += e.size()
	t.trim()
}

// eventOverhead is what an event takes beside its key and value, in bytes.
const eventOverhead = 64

func (e Event) size() int { return len(e.Key) + len(e.Value) + eventOverhead }

// trim drops the oldest half of a history that is over its bounds, so that it is
// not copied at each change.
func (t *Table) trim() {
	if len(t.history) < 2 || len(t.history) <= historyLength && t.size <= historyBytes {
		return
	}
	keep := t.history[len(t.history)/2:]
	t.start = max(t.start, t.history[len(t.history)/2-1].Revision)
	t.history = append([]Event(nil), keep...)
	t.size = 0
	for _, e := range t.history {
		t.size += e.size()
	}
}

func (t *Table) advance(now time.Time, b Batch, changed bool) {
	moved := b.Revision > t.revision
	t.revision = max(t.revision, b.Revision)
	at := now.Add(-b.Age)
	t.contactAt = later(t.contactAt, at)
	if b.FromStore {
		t.readAt = later(t.readAt, at)
	}
	if changed || moved {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ConfirmedAt returns when the store was last known to agree with the copy; zero
// before the first read.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.contactAt
}

// LastStoreRead returns when this process's own reads last found that the store agrees
// with the copy, and the copy's revision: what the store had then lies within it.
func (t *Table) LastStoreRead() (at time.Time, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readAt, t.revision
}

// Confirm notes that the store had nothing beyond the copy at a moment, as
// another process found.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contactAt = later(t.contactAt, at)
}

// Range returns the whole copy for a peer.
func (t *Table) Range(now time.Time) (Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == 0 {
		return Batch{}, ErrUnavailable
	}
	b := Batch{Revision: t.revision, MaxRevision: t.upTo, Age: now.Sub(t.contactAt), AgeMeasuredAt: now}
	for _, i := range t.items {
		b.Events = append(b.Events, Event{Item: i})
	}
	return b, nil
}

// Watch waits for changes after a revision for a peer. It returns an empty
// batch when wait or ctx ends first.
func (t *Table) Watch(ctx context.Context, after int64, wait time.Duration) (Batch, error) {
	if wait <= 0 {
		b, _, err := t.since(clock.Now(), after)
		return b, err
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := t.since(clock.Now(), after)
		if err != nil || len(b.Events) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			// The age as it is now: the one from before the wait would make the
			// copy younger with each peer that passes it on.
			b, _, err = t.since(clock.Now(), after)
			return b, err
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

func (t *Table) since(now time.Time, after int64) (Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == 0 {
		return Batch{}, nil, ErrUnavailable
	}
	if after < t.start {
		return Batch{}, nil, ErrCompacted
	}
	b := Batch{Revision: max(after, t.revision), Age: now.Sub(t.contactAt), AgeMeasuredAt: now}
	for _, e := range t.history {
		if e.Revision > after {
			b.Events = append(b.Events, e)
		}
	}
	return b, t.changed, nil
}
