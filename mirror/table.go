// Package mirror keeps copies of the platform's key-value store in each entry (gateway process)
// of `springgate gateway`; a copy holds the keys with one prefix. A copy follows its source: the
// store or the copy of a peer, which is another entry. Revisions are those of the store, so a
// process may change its source at any time without going back to an older state. A source
// confirms a copy when it shows that the store had, at some time, nothing beyond the copy; the
// age of the copy is the time since then.
package mirror

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/revision"
)

// Revision identifies a state of the store.
type Revision = revision.Revision

// Errors of sources.
var (
	// ErrCompacted says that the source no longer has the history after the requested
	// revision: the full copy must be read.
	ErrCompacted = errors.New("mirror: history compacted")
	// ErrRestored says that the store was restored from an older copy of itself since the
	// requested revision: the full copy must be read.
	ErrRestored = errors.New("mirror: store restored from an older copy")
	// ErrOversized says that the changes since the requested revision do not fit into one response:
	// the full copy must be read, which holds only the last change of each key.
	ErrOversized = errors.New("mirror: changes exceed the size of a response")
	// ErrOutdated says that a full copy is older than the copy that it was to replace.
	ErrOutdated = errors.New("mirror: full copy is outdated")
	// ErrUnavailable says that a source answered but has no copy to serve.
	ErrUnavailable = errors.New("mirror: source unavailable")
	// ErrSourceChanged says that a call was cancelled because the source to follow
	// changed.
	ErrSourceChanged = errors.New("mirror: source changed")
)

// Item is one key of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision // store revision of the key's last change
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool
}

// Batch is the response of a source: all items of a prefix or the changes since a
// revision.
type Batch struct {
	Events        []Event
	Revision      Revision      // the next watch continues after this revision
	MaxRevision   Revision      // of a full copy: some changes between Revision and MaxRevision may be included
	Age           time.Duration // upper bound of the time since the source was confirmed to agree with the store
	AgeMeasuredAt time.Time     // when Age was measured; set by Table only
	// FromStore says that this process read the batch from the store, not from a peer.
	FromStore bool
}

// Source is the store or the copy of a peer.
type Source interface {
	// Name is used in logs.
	Name() string
	// Range returns all items of prefix.
	Range(ctx context.Context, prefix string) (Batch, error)
	// Watch waits up to wait for changes after a revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Batch, error)
}

// StoreReader is implemented by sources that read the store themselves if other sources fail.
type StoreReader interface{ ReadsStore() bool }

// Paid is implemented by sources whose calls may be billed.
type Paid interface{ Paid() bool }

// Table is the copy of one prefix. Its methods may be called concurrently.
//
// A copy reflects all changes up to its revision. It may also reflect some later changes,
// because a full copy is read in pages, each later than the one before. Therefore the
// state of a key does not show which changes the copy has received; only the revision
// does. Changes up to the revision are never applied again, and each later change goes into
// the history for followers, even if the copy already reflects that change.
type Table struct {
	prefix string

	mu            sync.Mutex
	items         map[string]Item
	history       history
	revision      Revision
	maxRevision   Revision  // the copy may reflect some changes between revision and maxRevision
	exactRevision Revision  // last revision at which the copy reflected no later changes
	firstRevision Revision  // revision of the first read
	inexactUntil  Revision  // items may have older revisions than the store's up to this one; see outlasted
	confirmedAt   time.Time // when the copy was last confirmed to agree with the store
	storeReadAt   time.Time // like confirmedAt, but by this process's own reads of the store only
	changed       chan struct{}
	confirmed     chan struct{} // closed when confirmedAt has moved on by confirmationStep
	signalledAt   time.Time     // confirmedAt when confirmed was last closed
	digest        uint64        // of all items
	lateEvents    int64         // events ignored because their revision was not above the copy's
	fullCopies    int64         // see FullCopies
	// outdatedCopies is the number of full copies that were ignored because the copy was newer.
	outdatedCopies int64
}

// NewTable returns an empty copy of prefix.
func NewTable(prefix string) *Table {
	return &Table{prefix: prefix, items: map[string]Item{}, digest: emptyDigest, changed: make(chan struct{}), confirmed: make(chan struct{})}
}

// Revision returns the store revision of the copy; zero before the first read.
func (t *Table) Revision() Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision
}

// FirstRevision returns the revision of the first read. It is not known how long ago changes up
// to that revision were made.
func (t *Table) FirstRevision() Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.firstRevision
}

// Items returns the items of the copy, and a channel that is closed at the next change.
func (t *Table) Items() ([]Item, <-chan struct{}) {
	items, _, changed := t.Snapshot()
	return items, changed
}

// Snapshot returns the items of the copy, its revision, and a channel that is closed at the next
// change.
func (t *Table) Snapshot() (items []Item, revision Revision, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	items = make([]Item, 0, len(t.items))
	for _, i := range t.items {
		items = append(items, i)
	}
	return items, t.revision, t.changed
}

// Apply applies the changes after the revision that the copy had when they were requested.
// Events up to the revision that the copy has reached since then are skipped: responses may
// arrive out of order, and a late one would add a target again after its removal was applied.
//
// If the copy's revision is within a gap of the batch (see history), the batch has all differences
// from the gap's start on: the copy takes over those that it lacks, and drops the keys that changed
// since then and are not mentioned.
//
// Apply returns false, and ignores the batch, if the full copy must be read instead: if the store was
// restored in such a gap, or since the copy's revision while the copy reflects later changes, or if
// the revisions of the copy's items do not tell which of them changed since the gap's start.
func (t *Table) Apply(now time.Time, b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, ok := beforeGaps(b.Events, t.revision)
	if !ok || b.Revision.Era() > t.revision.Era() && t.maxRevision > t.revision || from < t.revision && from < t.inexactUntil {
		return false
	}
	changed := t.removeLostInGaps(b, from)
	if from < t.revision {
		changed = t.mend(b, from) || changed
	}
	for _, e := range b.Events {
		if e.Revision <= t.revision {
			t.lateEvents++
			continue
		}
		changed = t.set(e) || changed
		t.history.record(e)
		t.readAhead(b, e)
	}
	t.maxRevision = max(t.maxRevision, b.MaxRevision)
	t.advance(now, b, changed)
	return true
}

// mend applies the differences from a gap's start up to the copy's revision, which is within the
// gap, and reports whether there were any. Only the last state of a key counts.
func (t *Table) mend(b Batch, from Revision) bool {
	last := make(map[string]Event, len(b.Events))
	for _, e := range b.Events {
		last[e.Key] = e
	}
	changed := false
	for key, e := range last {
		if _, isGap := e.gap(); isGap || e.Revision <= from || e.Revision > t.revision {
			continue
		}
		i, known := t.items[key]
		switch {
		case e.Deleted && known && i.Revision <= e.Revision:
			changed = t.remove(key, b.Revision) || changed
		case !e.Deleted && t.set(e):
			changed = true
			t.history.reset(b.Revision) // the copy had missed this change, and so have its followers
		}
	}
	return changed
}

// readAhead notes that the copy reflects a change that is later than the batch.
func (t *Table) readAhead(b Batch, e Event) {
	if e.Revision > b.Revision {
		t.maxRevision = max(t.maxRevision, e.Revision)
	}
}

// removeLostInGaps removes the keys that were created and deleted within a gap of the source's
// history, and reports whether there were any. The copy has such a key if its revision is within the
// gap, or if it was read in pages and reflects changes beyond its revision. The source does not
// mention the key, because it never had it. from is the copy's revision, or the start of the gap
// that it is in.
func (t *Table) removeLostInGaps(b Batch, from Revision) bool {
	if t.maxRevision <= t.revision && from == t.revision {
		return false
	}
	changed := false
	for _, e := range b.Events {
		if after, ok := e.gap(); ok && e.Revision > t.revision {
			changed = t.removeUnmentioned(b, max(after, from), e.Revision) || changed
		}
	}
	return changed
}

// removeUnmentioned removes the keys that changed after one revision, up to another, if the batch
// has no such change of them.
func (t *Table) removeUnmentioned(b Batch, after, until Revision) bool {
	mentioned := make(map[string]Revision, len(b.Events)) // latest revisions
	for _, e := range b.Events {
		mentioned[e.Key] = max(mentioned[e.Key], e.Revision)
	}
	changed := false
	for key, i := range t.items {
		if i.Revision > after && i.Revision <= until && mentioned[key] < i.Revision {
			changed = t.remove(key, until) || changed
		}
	}
	return changed
}

// remove deletes a key that the store does not have at a revision.
func (t *Table) remove(key string, revision Revision) bool {
	e := Event{Item: Item{Key: key, Revision: revision}, Deleted: true}
	t.history.record(e)
	return t.set(e)
}

// Replace replaces the copy by a batch with all items of the prefix. Keys that are missing
// from the batch are removed, unless they changed after the batch's revision. A batch older than
// the copy is ignored; Replace then returns false.
func (t *Table) Replace(now time.Time, b Batch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b.Revision < t.revision {
		t.outdatedCopies++
		return false
	}
	t.fullCopies++
	if t.revision == 0 {
		t.firstRevision = b.Revision
		t.history.reset(b.Revision)
	}
	changed := t.revision == 0
	changed = t.replaceItems(b) || changed
	switch {
	case t.revision == 0 || b.Revision == t.revision:
	case b.hasEarlierEras() && b.Revision.Era() == t.revision.Era():
		t.history.reset(b.Revision) // the batch does not tell all that changed
	default:
		t.history.record(gapMarker(t.exactRevision, b.Revision))
	}
	t.maxRevision = max(t.maxRevision, b.MaxRevision)
	t.advance(now, b, changed)
	return true
}

// replaceItems changes the items to those of a batch, records the differences for followers, and
// reports whether there were any.
func (t *Table) replaceItems(b Batch) bool {
	changed := false
	present := make(map[string]bool, len(b.Events))
	if b.hasEarlierEras() {
		t.inexactUntil = b.Revision
	}
	for _, e := range b.Events {
		present[e.Key] = true
		if t.outlasted(b, e) {
			continue
		}
		if t.dropLost(b, e) {
			t.history.reset(b.Revision)
		}
		isNew := t.set(e)
		changed = changed || isNew
		t.readAhead(b, e)
		switch {
		case t.revision == 0: // no follower had an earlier copy
		case e.Revision > t.revision:
			t.history.record(e)
		case isNew:
			// The copy had missed this change, and so have its followers.
			t.history.reset(b.Revision)
		}
	}
	for key, i := range t.items {
		if !present[key] && i.Revision <= b.Revision {
			changed = t.remove(key, b.Revision) || changed
		}
	}
	return changed
}

// hasEarlierEras reports whether a full copy has items that outlasted a restore of the store.
func (b Batch) hasEarlierEras() bool {
	return slices.ContainsFunc(b.Events, func(e Event) bool { return e.Revision.Era() < b.Revision.Era() })
}

// outlasted reports whether a full copy has the item that this copy has from another era: the
// restored store still has it, or it was written again. It keeps its revision, so that it is no
// change to those who use the copy and to followers. The store's may be later, but not later than
// inexactUntil.
func (t *Table) outlasted(b Batch, e Event) bool {
	old, known := t.items[e.Key]
	if !known || e.Revision.Era() == old.Revision.Era() || !bytes.Equal(e.Value, old.Value) {
		return false
	}
	return e.Revision <= b.Revision && (b.Revision.Era() > t.revision.Era() || e.Revision <= t.revision)
}

// dropLost removes the copy's item of an event's key if the full copy that the event is from has
// an older one though it is as late: the store was restored and has lost the copy's.
func (t *Table) dropLost(b Batch, e Event) bool {
	old, known := t.items[e.Key]
	if !known || e.Revision >= old.Revision || old.Revision > b.Revision {
		return false
	}
	t.digest ^= old.digest()
	delete(t.items, e.Key)
	return true
}

// set applies an event to its key, unless the copy has a later state of the key, and
// reports whether the copy changed.
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

func (t *Table) advance(now time.Time, b Batch, changed bool) {
	if t.revision > 0 && b.Revision.Era() > t.revision.Era() {
		t.inexactUntil = b.Revision
	}
	advanced := b.Revision > t.revision
	t.revision = max(t.revision, b.Revision)
	if t.maxRevision <= t.revision {
		t.exactRevision = t.revision
	} else {
		t.exactRevision = min(t.exactRevision, t.revision-1)
	}
	at := now.Add(-b.Age)
	t.confirm(at)
	if b.FromStore {
		t.storeReadAt = later(t.storeReadAt, at)
	}
	if changed || advanced {
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

// ConfirmedAt returns when the copy was last confirmed to agree with the store; zero
// before the first read.
func (t *Table) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt
}

// LastStoreRead returns when this process's own reads of the store last confirmed the
// copy, and the copy's revision. The copy reflects all changes that the store had then.
func (t *Table) LastStoreRead() (at time.Time, revision Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storeReadAt, t.revision
}

// Confirm records that another process found, at the given time, no changes in the store beyond
// the copy.
func (t *Table) Confirm(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at)
}

// confirmationStep is by how much a copy must have been confirmed anew for peers to be told.
const confirmationStep = 300 * time.Millisecond

// confirm records that the copy agreed with the store at a time. The lock must be held.
func (t *Table) confirm(at time.Time) {
	t.confirmedAt = later(t.confirmedAt, at)
	if t.confirmedAt.Sub(t.signalledAt) >= confirmationStep {
		t.signalledAt = t.confirmedAt
		close(t.confirmed)
		t.confirmed = make(chan struct{})
	}
}

// Range returns the full copy for a peer.
func (t *Table) Range(now time.Time) (Batch, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == 0 {
		return Batch{}, ErrUnavailable
	}
	b := Batch{Revision: t.revision, MaxRevision: t.maxRevision, Age: now.Sub(t.confirmedAt), AgeMeasuredAt: now}
	for _, i := range t.items {
		b.Events = append(b.Events, Event{Item: i})
	}
	return b, nil
}

// AwaitFirst waits until the table has been read for the first time, wait expires or ctx ends.
func (t *Table) AwaitFirst(ctx context.Context, wait time.Duration) {
	t.mu.Lock()
	isRead, changed := t.revision > 0, t.changed
	t.mu.Unlock()
	if isRead || wait <= 0 {
		return
	}
	timer := clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Watch waits for changes after a revision on behalf of a peer. It returns an empty batch
// when wait expires or ctx ends first.
func (t *Table) Watch(ctx context.Context, after Revision, wait time.Duration) (Batch, error) {
	return t.watch(ctx, after, wait, nil)
}

// WatchConfirmed is Watch for peers that pass the copy on: it also returns as soon as the copy has
// been confirmed by confirmationStep later than at the time that the peer was last told, so that
// confirmations reach a chain of peers without a wait at each.
func (t *Table) WatchConfirmed(ctx context.Context, after Revision, wait time.Duration, told time.Time) (Batch, error) {
	t.mu.Lock()
	confirmed, news := t.confirmed, t.confirmedAt.Sub(told) >= confirmationStep
	t.mu.Unlock()
	if news && !told.IsZero() {
		wait = 0
	}
	return t.watch(ctx, after, wait, confirmed)
}

func (t *Table) watch(ctx context.Context, after Revision, wait time.Duration, confirmed <-chan struct{}) (Batch, error) {
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
			continue
		case <-confirmed:
		case <-timer.C:
		case <-ctx.Done():
			return b, ctx.Err()
		}
		// Measure the age again: the age before the wait would be too low, and
		// the error would grow with each peer that relays the copy.
		b, _, err = t.since(clock.Now(), after)
		return b, err
	}
}

func (t *Table) since(now time.Time, after Revision) (Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision == 0 {
		return Batch{}, nil, ErrUnavailable
	}
	events, ok := t.history.since(after)
	if !ok {
		return Batch{}, nil, ErrCompacted
	}
	if after >= t.revision {
		events = nil // what the copy reflects beyond its revision comes again, with the change
	}
	b := Batch{Events: events, Revision: max(after, t.revision), MaxRevision: t.maxRevision, Age: now.Sub(t.confirmedAt), AgeMeasuredAt: now}
	return b, t.changed, nil
}
