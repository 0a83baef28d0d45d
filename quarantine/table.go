package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// Bounds of a table, for callers whose every request is another one that crashes: about
// 250 B a content and 125 B a crash. The contents of the caller that has most of them go
// first, so that nobody's flood drives out what is known of others.
const (
	maxContents = 512
	maxCrashes  = 2 * provenThreshold // kept for each content, the newest
	// pruneEvery is the least time between two searches for what is old.
	pruneEvery = time.Second
	// spare is how many contents are given up at once, so that the search for them is
	// seldom: it takes 10 ms of the processor.
	spare = 32
	// suspectFirst is how old the last crash of a content is that is given up before
	// those that are shut out: the next one follows sooner if it comes again at once.
	suspectFirst = 2 * time.Second
)

// Incarnation names one life of a target.
type Incarnation struct {
	Target string // its ID
	StartMs   int64  // Unix milliseconds; 0 if not known
}

// Crash says that a life of a target ended while a content was at work there.
type Crash struct {
	Content Fingerprint
	Incarnation    Incarnation
	At      time.Time // when the entry that saw it lost the connection
	Reporter    string    // host of that entry
	// Retracted is true if the target was heard after all: it had not ended.
	Retracted bool
}

// Survival says that a target has survived a run of a content that had been suspected.
type Survival struct {
	Content Fingerprint
	At      time.Time
}

// Update is what one process tells another.
type Update struct {
	Crashes   []Crash
	Survivals []Survival
}

// Empty reports whether there is nothing to tell.
func (n Update) Empty() bool { return len(n.Crashes)+len(n.Survivals) == 0 }

// record is what is known of one content.
type record struct {
	crashes  []noted[Crash] // by time
	survived noted[time.Time]
	probed   time.Time // when it was last let go as a probe by this process
}

// noted is something with its place in the order in which this process learned it.
type noted[T any] struct {
	is  T
	seq uint64
	own bool // this process saw it itself
}

// Table holds the evidence. Its methods may be called concurrently.
type Table struct {
	mu       sync.Mutex
	records  map[Fingerprint]*record
	proven   proven
	seq      uint64
	changed  chan struct{}
	pruned   time.Time
	digest   uint64 // as it was at digestAt, for it is asked for by each other entry
	digestAt uint64
	findings map[Fingerprint]Finding
	stale    bool      // the findings must be worked out again
	judgedAt time.Time // when they were
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*record{}, changed: make(chan struct{})}
}

// RecordCrashes takes crashes that this process has seen.
func (t *Table) RecordCrashes(now time.Time, crashes ...Crash) bool {
	return t.add(now, Update{Crashes: crashes}, true)
}

// Merge takes what another process tells. It reports whether any of it is news.
func (t *Table) Merge(now time.Time, n Update) bool { return t.add(now, n, false) }

func (t *Table) add(now time.Time, n Update, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.seq
	for _, c := range n.Crashes {
		t.addCrash(now, c, own)
	}
	for _, s := range n.Survivals {
		if r := t.records[s.Content]; r != nil {
			t.survived(r, s.At, own)
		}
	}
	if t.seq == before {
		return false
	}
	t.bound(now)
	t.signal()
	return true
}

// RecordSuccess notes that a target has survived a run of a content, at this entry.
func (t *Table) RecordSuccess(now time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proven.add(f)
	r := t.records[f]
	if r == nil || len(r.open()) == 0 && now.Sub(r.survived.is) < successInterval {
		return
	}
	t.survived(r, now, true)
	t.signal()
}

// RetractCrash notes that a life which had seemed to end was heard again.
func (t *Table) RetractCrash(life Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, r := range t.records {
		for i := range r.crashes {
			if c := &r.crashes[i]; c.is.Incarnation == life && !c.is.Retracted {
				c.is.Retracted, c.seq, c.own, found = true, t.next(), true, true
			}
		}
	}
	if found {
		t.signal()
	}
}

func (t *Table) next() uint64 {
	t.seq++
	return t.seq
}

// signal wakes those that wait for news; the lock is held.
func (t *Table) signal() {
	t.stale = true
	close(t.changed)
	t.changed = make(chan struct{})
}

// addCrash adds a crash, or what is new of one that is known.
func (t *Table) addCrash(now time.Time, c Crash, own bool) {
	if now.Sub(c.At) >= longestProbe {
		return
	}
	r := t.records[c.Content]
	if r == nil {
		r = &record{}
		t.records[c.Content] = r
		if t.proven.has(c.Content) {
			// When is not known, and does not matter: it was before the crash.
			r.survived = noted[time.Time]{c.At.Add(-1), t.next(), true}
		}
	}
	for i := range r.crashes {
		if old := &r.crashes[i]; old.is.Incarnation == c.Incarnation {
			if c.Retracted && !old.is.Retracted {
				old.is.Retracted, old.seq, old.own = true, t.next(), own
			}
			return
		}
	}
	r.crashes = append(r.crashes, noted[Crash]{c, t.next(), own})
	slices.SortFunc(r.crashes, func(a, b noted[Crash]) int {
		return cmp.Or(a.is.At.Compare(b.is.At), cmp.Compare(a.is.Incarnation.Target, b.is.Incarnation.Target))
	})
	r.crashes = r.crashes[max(len(r.crashes)-maxCrashes, 0):]
}

func (t *Table) survived(r *record, at time.Time, own bool) {
	if at.After(r.survived.is) {
		r.survived = noted[time.Time]{at, t.next(), own}
	}
}

// open returns the crashes that count: since the content last ended well, at targets that
// have not been heard since.
func (r *record) open() []Crash {
	var out []Crash
	for _, c := range r.crashes {
		if !c.is.Retracted && c.is.At.After(r.survived.is) {
			out = append(out, c.is)
		}
	}
	return out
}

func (r *record) newest() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].is.At
}

// bound drops what is old, and the least of the callers with most contents while there
// are too many.
func (t *Table) bound(now time.Time) {
	if now.Sub(t.pruned) >= pruneEvery {
		t.pruned = now
		for f, r := range t.records {
			if now.Sub(r.newest()) >= r.keptFor() {
				delete(t.records, f)
			}
		}
	}
	if len(t.records) > maxContents {
		for _, f := range t.least(now)[:spare] {
			delete(t.records, f)
		}
	}
}

func (r *record) keptFor() time.Duration {
	if len(r.open()) >= crashThreshold {
		return longestProbe
	}
	return suspectFor
}

// least returns the contents of the caller that has most, those that are given up first
// before others.
func (t *Table) least(now time.Time) []Fingerprint {
	count := map[Caller]int{}
	var most Caller
	for f := range t.records {
		c := f.Caller()
		count[c]++
		if count[c] > count[most] || count[c] == count[most] && bytes.Compare(c[:], most[:]) < 0 {
			most = c
		}
	}
	var out []Fingerprint
	for f := range t.records {
		out = append(out, f)
	}
	slices.SortFunc(out, func(f, g Fingerprint) int {
		return cmp.Or(
			-compareBool(f.Caller() == most, g.Caller() == most),
			-compareBool(t.idleSuspect(f, now), t.idleSuspect(g, now)),
			t.records[f].newest().Compare(t.records[g].newest()),
			bytes.Compare(f[:], g[:]))
	})
	return out
}

// idleSuspect reports whether a content is not shut out and has not ended a target lately.
func (t *Table) idleSuspect(f Fingerprint, now time.Time) bool {
	r := t.records[f]
	return len(r.open()) < crashThreshold && now.Sub(r.newest()) >= suspectFirst
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Changed returns a channel that is closed at the next news.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// LocalChanges returns what this process itself has seen after a place in the order, and the
// place reached. It is what entries tell each other at once.
func (t *Table) LocalChanges(place uint64) (Update, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n Update
	if t.seq == place {
		return n, place
	}
	for f, r := range t.records {
		for _, c := range r.crashes {
			if c.own && c.seq > place {
				n.Crashes = append(n.Crashes, c.is)
			}
		}
		if r.survived.own && r.survived.seq > place {
			n.Survivals = append(n.Survivals, Survival{f, r.survived.is})
		}
	}
	return n, t.seq
}

// Changes returns all that is known of the contents with so many crashes at the least of
// which something was learned after a place in the order, and the place reached.
func (t *Table) Changes(place uint64, crashes int) (Update, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n Update
	if t.seq == place {
		return n, place
	}
	for f, r := range t.records {
		if len(r.crashes) < crashes || r.seq() <= place {
			continue
		}
		for _, c := range r.crashes {
			n.Crashes = append(n.Crashes, c.is)
		}
		if r.survived.seq > 0 {
			n.Survivals = append(n.Survivals, Survival{f, r.survived.is})
		}
	}
	return n, t.seq
}

// seq returns the place at which something was last learned of the content.
func (r *record) seq() uint64 {
	newest := r.survived.seq
	for _, c := range r.crashes {
		newest = max(newest, c.seq)
	}
	return newest
}

// Digest tells whether two tables hold the same crashes; 0 if there are none, or about
// as many contents as there may be, so that what two tables gave up does not count as a difference.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) >= maxContents-spare {
		return 0
	}
	if t.digestAt != t.seq {
		t.digest, t.digestAt = 0, t.seq
		for _, r := range t.records {
			for _, c := range r.crashes {
				t.digest ^= c.is.digest()
			}
		}
	}
	return t.digest
}

func (c Crash) digest() uint64 {
	h := fnv.New64a()
	void := byte(0)
	if c.Retracted {
		void = 1
	}
	// A hash takes all that is written.
	_, _ = h.Write(c.Content[:])
	_, _ = h.Write([]byte(c.Incarnation.Target))
	_, _ = h.Write([]byte{void})
	return h.Sum64()
}
