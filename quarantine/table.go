package quarantine

import (
	"bytes"
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// Limits of a table, for callers that send many different contents that crash targets. A
// table takes about 250 B of memory per record and 125 B per crash. The contents of the
// caller with the most records are evicted first, so that one caller's flood does not evict
// the evidence on other callers' contents. Parts of prompts have no caller; their idle suspects
// are evicted first.
const (
	maxContents         = 512
	maxParts            = 2048            // several requests with hundreds of parts may be in flight at a crash
	maxCrashesPerRecord = 2 * manyMoments // the newest crashes are kept
	// pruneInterval is the minimum time between two searches for expired records.
	pruneInterval = time.Second
	// evictionBatch is how many records more than necessary are evicted at once, because the search
	// for them takes 10 ms of CPU time.
	evictionBatch = 32
	// idleSuspectAge is the time since its last crash after which a suspect, a content with
	// crashes that is not quarantined, is evicted before quarantined contents. A content that
	// is retried immediately crashes the next target sooner than that.
	idleSuspectAge = 2 * time.Second
)

// Incarnation identifies one process start of a target.
type Incarnation struct {
	Target  string // its ID
	StartMs int64  // Unix milliseconds; 0 if unknown
}

// Crash records that an incarnation of a target ended while a content, or a request with a part in
// its prompt, was in flight there.
type Crash struct {
	Subject     Fingerprint // the content or part
	Incarnation Incarnation
	At          time.Time // when the reporting entry lost the connection
	// InFlight is for how long the reporting entry had had requests with it in flight, in sum over them,
	// since there were none and since the last crash.
	InFlight time.Duration
	Reporter string // host of the reporting entry
	// Retracted is true if the incarnation was reached again later: it had not ended.
	Retracted bool
}

// Survival records that a target completed a request with a suspected content or part.
type Survival struct {
	Subject Fingerprint
	At      time.Time
}

// Update is the evidence that one process sends to another.
type Update struct {
	Crashes   []Crash
	Survivals []Survival
}

// Empty reports whether the update contains no evidence.
func (u Update) Empty() bool { return len(u.Crashes)+len(u.Survivals) == 0 }

// record holds the evidence on one content or part.
type record struct {
	crashes     []versioned[Crash] // by time
	lastSuccess versioned[time.Time]
	createdAt   time.Time // at this process
	lastProbe   time.Time // when this process last allowed the content to be sent as a probe
	// othersSent and othersSucceeded are when a request without the part was first sent by this
	// process, and first succeeded, after the first active crash of the part.
	othersSent, othersSucceeded time.Time
}

// versioned is a value with the sequence number under which this process recorded it.
type versioned[T any] struct {
	value T
	seq   uint64
	local bool // observed by this process itself
}

// Table holds the evidence. Its methods may be called concurrently.
type Table struct {
	mu          sync.Mutex
	records     map[Fingerprint]*record
	inFlight    map[Fingerprint]*inFlight
	contents    successCache
	parts       successCache
	seq         uint64
	changed     chan struct{}
	lastPrune   time.Time
	digest      uint64 // cached until seq changes, because every other entry requests the digest
	digestAt    uint64 // value of seq at which digest was computed
	findings    map[Fingerprint]Finding
	stale       bool      // the findings must be recomputed
	evaluatedAt time.Time // when the findings were last computed
	targets     int       // that are listed; 0 if not known
	// What has not been observed yet of requests without a suspected part.
	othersSent, othersSucceeded unobserved
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[Fingerprint]*record{}, inFlight: map[Fingerprint]*inFlight{}, changed: make(chan struct{}),
		othersSent:      unobserved{at: func(r *record) *time.Time { return &r.othersSent }},
		othersSucceeded: unobserved{at: func(r *record) *time.Time { return &r.othersSucceeded }}}
}

// SetTargets sets how many targets are listed, by which the rate of crashes is judged.
func (t *Table) SetTargets(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale = t.stale || t.targets != n
	t.targets = n
}

// RecordCrashes adds crashes that this process has observed. It reports whether any of
// them was new.
func (t *Table) RecordCrashes(now time.Time, crashes ...Crash) bool {
	return t.add(now, Update{Crashes: crashes}, true)
}

// Merge adds the evidence of another process. It reports whether any of it was new.
func (t *Table) Merge(now time.Time, u Update) bool { return t.add(now, u, false) }

func (t *Table) add(now time.Time, u Update, local bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.seq
	for _, c := range u.Crashes {
		t.addCrash(now, c, local)
	}
	for _, s := range u.Survivals {
		if r := t.records[s.Subject]; r != nil {
			t.updateSuccess(r, s.At, local)
		}
	}
	if t.seq == before {
		return false
	}
	t.evict(now)
	t.signal()
	return true
}

// RecordSuccess records that a target completed a request with this content, and with these parts
// in its prompt, that this process had sent.
func (t *Table) RecordSuccess(now time.Time, subjects ...Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range subjects {
		t.successesOf(f).add(f)
		if r := t.records[f]; r != nil && r.learnsFromSuccess(now, f.IsPart()) {
			t.updateSuccess(r, now, true)
			t.signal()
		}
	}
	t.othersSucceeded.record(t, now, subjects)
}

func (t *Table) successesOf(f Fingerprint) *successCache {
	if f.IsPart() {
		return &t.parts
	}
	return &t.contents
}

// learnsFromSuccess reports whether a success changes what is known. Parts without active crashes
// are not updated, because common ones succeed in most requests.
func (r *record) learnsFromSuccess(now time.Time, isPart bool) bool {
	return len(r.activeCrashes()) > 0 || !isPart && now.Sub(r.lastSuccess.value) >= successInterval
}

// RetractCrash records that an incarnation reported as crashed was reached again.
func (t *Table) RetractCrash(inc Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := false
	for _, r := range t.records {
		for i := range r.crashes {
			if c := &r.crashes[i]; c.value.Incarnation == inc && !c.value.Retracted {
				c.value.Retracted, c.seq, c.local, found = true, t.nextSeq(), true, true
			}
		}
	}
	if found {
		t.signal()
	}
}

func (t *Table) nextSeq() uint64 {
	t.seq++
	return t.seq
}

// signal wakes the receivers of Changed. The caller must hold the lock.
func (t *Table) signal() {
	t.stale = true
	close(t.changed)
	t.changed = make(chan struct{})
}

// addCrash adds a crash, or updates one that is already recorded.
func (t *Table) addCrash(now time.Time, c Crash, local bool) {
	if now.Sub(c.At) >= maxProbeDelay {
		return
	}
	r := t.records[c.Subject]
	if r == nil {
		r = &record{createdAt: now}
		t.records[c.Subject] = r
		if t.successesOf(c.Subject).has(c.Subject) {
			// The exact time of the success is unknown and irrelevant: it only has to precede the
			// crash.
			r.lastSuccess = versioned[time.Time]{c.At.Add(-1), t.nextSeq(), true}
		}
	}
	for i := range r.crashes {
		if old := &r.crashes[i]; old.value.Incarnation == c.Incarnation {
			if c.Retracted && !old.value.Retracted {
				old.value.Retracted, old.seq, old.local = true, t.nextSeq(), local
			}
			if c.InFlight > old.value.InFlight {
				old.value.InFlight, t.stale = c.InFlight, true
			}
			return
		}
	}
	t.restartInFlight(now, c.Subject)
	r.crashes = append(r.crashes, versioned[Crash]{c, t.nextSeq(), local})
	slices.SortFunc(r.crashes, func(a, b versioned[Crash]) int {
		return cmp.Or(a.value.At.Compare(b.value.At), cmp.Compare(a.value.Incarnation.Target, b.value.Incarnation.Target))
	})
	r.crashes = r.crashes[max(len(r.crashes)-maxCrashesPerRecord, 0):]
}

func (t *Table) updateSuccess(r *record, at time.Time, local bool) {
	if at.After(r.lastSuccess.value) {
		r.lastSuccess = versioned[time.Time]{at, t.nextSeq(), local}
	}
}

// activeCrashes returns the crashes that count as evidence: those after the content's last
// success that have not been retracted.
func (r *record) activeCrashes() []Crash {
	var out []Crash
	for _, c := range r.crashes {
		if !c.value.Retracted && c.value.At.After(r.lastSuccess.value) {
			out = append(out, c.value)
		}
	}
	return out
}

func (r *record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].value.At
}

// evict deletes expired records and, if the table is full, those beyond its limit and a batch more in
// the order of evictionOrder.
func (t *Table) evict(now time.Time) {
	if now.Sub(t.lastPrune) >= pruneInterval {
		t.lastPrune = now
		for f, r := range t.records {
			if now.Sub(r.lastCrash()) >= r.retention() {
				delete(t.records, f)
			}
		}
	}
	for _, parts := range []bool{false, true} {
		excess := t.count(parts) - maxRecords(parts)
		if excess <= 0 {
			continue
		}
		for _, f := range t.evictionOrder(now, parts)[:excess+evictionBatch] {
			delete(t.records, f)
		}
	}
}

// maxRecords returns how many records of parts, or of contents, a table holds.
func maxRecords(parts bool) int {
	if parts {
		return maxParts
	}
	return maxContents
}

// count returns the number of records of parts, or of contents.
func (t *Table) count(parts bool) (n int) {
	for f := range t.records {
		if f.IsPart() == parts {
			n++
		}
	}
	return n
}

func (r *record) retention() time.Duration {
	if len(r.activeCrashes()) >= crashThreshold {
		return maxProbeDelay
	}
	return suspectRetention
}

// evictionOrder returns all parts, or all contents, in the order in which they are evicted: those of the
// caller with the most records first, then those of all other callers. Each of these two
// groups begins with its idle suspects (see idleSuspect). Those that are otherwise equal
// are ordered by the time of their last crash, oldest first, and then by the number of their crashes.
// Parts that have crashed many targets come last while they are less than half of the table: one
// crash may bring hundreds of new suspects.
func (t *Table) evictionOrder(now time.Time, parts bool) []Fingerprint {
	var list []evictionCandidate
	count := map[Caller]int{}
	var largest Caller
	established := 0
	for f, r := range t.records {
		if f.IsPart() != parts {
			continue
		}
		x := evictionCandidate{subject: f, established: parts && len(r.activeCrashes()) >= crashThreshold, idle: r.idleSuspect(now), lastCrash: r.lastCrash(), crashes: len(r.crashes)}
		list = append(list, x)
		if x.established {
			established++
		}
		c := f.Caller()
		count[c]++
		if count[c] > count[largest] || count[c] == count[largest] && bytes.Compare(c[:], largest[:]) < 0 {
			largest = c
		}
	}
	protect := established <= maxParts/2
	slices.SortFunc(list, func(a, b evictionCandidate) int {
		return cmp.Or(
			compareBool(protect && a.established, protect && b.established),
			-compareBool(a.subject.Caller() == largest, b.subject.Caller() == largest),
			-compareBool(a.idle, b.idle),
			a.lastCrash.Compare(b.lastCrash),
			cmp.Compare(a.crashes, b.crashes),
			bytes.Compare(a.subject[:], b.subject[:]))
	})
	out := make([]Fingerprint, len(list))
	for i, x := range list {
		out[i] = x.subject
	}
	return out
}

// evictionCandidate holds what decides when a record is evicted.
type evictionCandidate struct {
	subject     Fingerprint
	established bool // a part that has crashed many targets
	idle        bool // see idleSuspect
	lastCrash   time.Time
	crashes     int
}

// idleSuspect reports whether a content is not quarantined and has not crashed a target
// recently.
func (r *record) idleSuspect(now time.Time) bool {
	return len(r.activeCrashes()) < crashThreshold && now.Sub(r.lastCrash()) >= idleSuspectAge
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

// Changed returns a channel that is closed at the next change of the evidence.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// LocalChanges returns the evidence that this process itself recorded after the given
// sequence number, and the current sequence number. Entries send this evidence to each other
// immediately.
func (t *Table) LocalChanges(since uint64) (Update, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var u Update
	if t.seq == since {
		return u, since
	}
	for f, r := range t.records {
		for _, c := range r.crashes {
			if c.local && c.seq > since {
				u.Crashes = append(u.Crashes, c.value)
			}
		}
		if r.lastSuccess.local && r.lastSuccess.seq > since {
			u.Survivals = append(u.Survivals, Survival{f, r.lastSuccess.value})
		}
	}
	return u, t.seq
}

// Changes returns all evidence on the contents with at least minCrashes crashes whose
// records changed after the given sequence number, and the current sequence number.
func (t *Table) Changes(since uint64, minCrashes int) (Update, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var u Update
	if t.seq == since {
		return u, since
	}
	for f, r := range t.records {
		if len(r.crashes) < minCrashes || r.lastSeq() <= since {
			continue
		}
		for _, c := range r.crashes {
			u.Crashes = append(u.Crashes, c.value)
		}
		if r.lastSuccess.seq > 0 {
			u.Survivals = append(u.Survivals, Survival{f, r.lastSuccess.value})
		}
	}
	return u, t.seq
}

// lastSeq returns the sequence number of the last change to the record.
func (r *record) lastSeq() uint64 {
	newest := r.lastSuccess.seq
	for _, c := range r.crashes {
		newest = max(newest, c.seq)
	}
	return newest
}

// Digest returns a hash of all crashes in the table, by which two processes find out whether
// they hold the same ones. It is 0 for an empty table and for one that is nearly full,
// because two full tables may have evicted different contents.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.digestAt != t.seq {
		t.digest, t.digestAt = t.computeDigest(), t.seq
	}
	return t.digest
}

// computeDigest returns the digest of the current records. The caller holds the lock.
func (t *Table) computeDigest() (digest uint64) {
	for _, parts := range []bool{false, true} {
		if t.count(parts) >= maxRecords(parts)-evictionBatch {
			return 0
		}
	}
	for _, r := range t.records {
		for _, c := range r.crashes {
			digest ^= c.value.digest()
		}
	}
	return digest
}

func (c Crash) digest() uint64 {
	h := fnv.New64a()
	retracted := byte(0)
	if c.Retracted {
		retracted = 1
	}
	// Write on a hash never returns an error.
	_, _ = h.Write(c.Subject[:])
	_, _ = h.Write([]byte(c.Incarnation.Target))
	_, _ = h.Write([]byte{retracted})
	return h.Sum64()
}
