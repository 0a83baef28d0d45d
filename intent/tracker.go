package intent

import (
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
)

// Limits on the state of a Tracker.
const (
	maxCandidates = 8
	maxRejected   = 64
)

// Accepted is a complete and valid revision that this process has accepted.
type Accepted struct {
	Head  Head
	Fleet *Fleet
	At    time.Time // time of acceptance; in the results of History, time of replacement
}

// Rejection records why a revision was rejected.
type Rejection struct {
	Ref Ref
	Err error
}

// HeadVerdict is the result of OfferHead.
type HeadVerdict uint8

// Verdicts on a head.
const (
	HeadStale    HeadVerdict = iota + 1 // below the accepted revision
	HeadCurrent                         // the accepted revision itself
	HeadPending                         // parts of the file are missing
	HeadAccepted                        // now the revision in force
	HeadRejected                        // malformed, or complete but invalid
)

type candidate struct {
	head Head
}

// Tracker decides which published revision is in force. It replaces that
// revision only by one with a higher Ref, and only once every part of the new
// one is present, the digests match and the file is valid. It is not safe for concurrent use.
type Tracker struct {
	accepted   *Accepted
	candidates []candidate // heads with missing parts, ascending by Ref, all above accepted
	rejected   []Rejection // oldest first
	parts      map[digest.Digest][]byte
	history    []Accepted // accepted earlier and since replaced, oldest first
	retention  time.Duration
}

// NewTracker returns a Tracker that retains replaced revisions for the given
// time.
func NewTracker(retention time.Duration) *Tracker {
	return &Tracker{parts: map[digest.Digest][]byte{}, retention: retention}
}

// Accepted returns the revision in force, or nil.
func (t *Tracker) Accepted() *Accepted { return t.accepted }

// Ref returns the identity of the revision in force, or the zero Ref.
func (t *Tracker) Ref() Ref {
	if t.accepted == nil {
		return Ref{}
	}
	return t.accepted.Head.Ref()
}

// Pending returns the highest candidate, a head with missing parts, or nil.
func (t *Tracker) Pending() *Head {
	if len(t.candidates) == 0 {
		return nil
	}
	return &t.candidates[len(t.candidates)-1].head
}

// LastRejection returns the rejection with the highest Ref above the revision in
// force, or nil.
func (t *Tracker) LastRejection() *Rejection {
	var top *Rejection
	for i := range t.rejected {
		r := &t.rejected[i]
		if t.Ref().Less(r.Ref) && (top == nil || top.Ref.Less(r.Ref)) {
			top = r
		}
	}
	return top
}

// History returns the revisions that were in force earlier and were replaced
// within the retention period, oldest first.
func (t *Tracker) History() []Accepted { return slices.Clone(t.history) }

// OfferHead adds a published head as a candidate, unless it is stale, already in
// force or rejected, and returns the verdict on it.
func (t *Tracker) OfferHead(now time.Time, h Head) (HeadVerdict, error) {
	ref := h.Ref()
	switch {
	case ref == t.Ref() && t.accepted != nil:
		return HeadCurrent, nil
	case t.accepted != nil && !t.Ref().Less(ref):
		return HeadStale, nil
	}
	if r := t.rejection(ref); r != nil {
		return HeadRejected, r.Err
	}
	if err := h.check(); err != nil {
		t.reject(ref, err)
		return HeadRejected, err
	}
	t.addCandidate(h)
	return t.evaluate(now, ref)
}

// OfferPart stores a part that a candidate is missing and ignores any other. It
// reports whether the part was stored.
func (t *Tracker) OfferPart(now time.Time, b []byte) bool {
	d := digest.Of(b)
	if !slices.Contains(t.Missing(), d) {
		return false
	}
	t.parts[d] = b
	_, _ = t.evaluate(now, Ref{})
	return true
}

// Missing returns the digests of the parts that candidates are missing, highest
// revision first.
func (t *Tracker) Missing() []digest.Digest {
	var out []digest.Digest
	seen := map[digest.Digest]bool{}
	for i := len(t.candidates) - 1; i >= 0; i-- {
		for _, p := range t.candidates[i].head.Parts {
			if t.parts[p.Digest] == nil && !seen[p.Digest] {
				seen[p.Digest] = true
				out = append(out, p.Digest)
			}
		}
	}
	return out
}

// Part returns a stored part of the accepted or a pending revision, or nil.
func (t *Tracker) Part(d digest.Digest) []byte { return t.parts[d] }

func (t *Tracker) addCandidate(h Head) {
	for _, c := range t.candidates {
		if c.head.Ref() == h.Ref() {
			return
		}
	}
	t.candidates = append(t.candidates, candidate{head: h})
	sort.Slice(t.candidates, func(i, j int) bool {
		return t.candidates[i].head.Ref().Less(t.candidates[j].head.Ref())
	})
	if len(t.candidates) > maxCandidates {
		t.evictLowest(h.Ref())
	}
}

// evictLowest removes the lowest candidate other than added, whose parts are
// about to be offered: if heads that never become complete fill the list, a
// valid lower head must still get in.
func (t *Tracker) evictLowest(added Ref) {
	at := 0
	if t.candidates[0].head.Ref() == added {
		at = 1
	}
	t.candidates = slices.Delete(t.candidates, at, at+1)
	t.prune()
}

// evaluate accepts the highest complete and valid candidate, rejects complete but
// invalid ones above that candidate, and returns the verdict on ref.
func (t *Tracker) evaluate(now time.Time, ref Ref) (HeadVerdict, error) {
	for i := len(t.candidates) - 1; i >= 0; i-- {
		h := t.candidates[i].head
		b, complete := t.assemble(h)
		if !complete {
			continue
		}
		t.candidates = slices.Delete(t.candidates, i, i+1)
		fleet, err := validate(h, b)
		if err != nil {
			t.reject(h.Ref(), err)
			continue
		}
		t.accept(now, h, fleet)
		break
	}
	t.prune()
	switch {
	case t.Ref() == ref:
		return HeadAccepted, nil
	case t.rejection(ref) != nil:
		return HeadRejected, t.rejection(ref).Err
	}
	return HeadPending, nil
}

func (t *Tracker) assemble(h Head) ([]byte, bool) {
	b := make([]byte, 0, h.Size)
	for _, p := range h.Parts {
		part, ok := t.parts[p.Digest]
		if !ok {
			return nil, false
		}
		b = append(b, part...)
	}
	return b, true
}

// Errors of a file whose parts are all present.
var (
	ErrDigest       = errors.New("intent: file does not match the digest of its head")
	ErrFormatDiffer = errors.New("intent: format of file and head differ")
)

// validate depends only on the published bytes, so that all processes reach the
// same result.
func validate(h Head, b []byte) (*Fleet, error) {
	if digest.Of(b) != h.Digest {
		return nil, ErrDigest
	}
	fleet, err := Parse("fleet file", b)
	if err != nil {
		return nil, err
	}
	if fleet.Format != h.Format {
		return nil, ErrFormatDiffer
	}
	return fleet, nil
}

func (t *Tracker) accept(now time.Time, h Head, fleet *Fleet) {
	if t.accepted != nil {
		old := *t.accepted
		old.At = now // from here on the time of replacement
		t.history = append(t.history, old)
	}
	t.accepted = &Accepted{Head: h, Fleet: fleet, At: now}
	t.candidates = slices.DeleteFunc(t.candidates, func(c candidate) bool {
		return !h.Ref().Less(c.head.Ref())
	})
	t.Expire(now)
}

// Expire removes revisions that were replaced longer ago than the retention
// period.
func (t *Tracker) Expire(now time.Time) {
	t.history = slices.DeleteFunc(t.history, func(a Accepted) bool {
		return now.Sub(a.At) > t.retention
	})
}

func (t *Tracker) reject(ref Ref, err error) {
	t.rejected = append(t.rejected, Rejection{Ref: ref, Err: err})
	if len(t.rejected) > maxRejected {
		t.rejected = t.rejected[1:]
	}
}

func (t *Tracker) rejection(ref Ref) *Rejection {
	for i := range t.rejected {
		if t.rejected[i].Ref == ref {
			return &t.rejected[i]
		}
	}
	return nil
}

// RejectedBetween reports whether every revision number strictly between lo and
// hi was rejected by this tracker. As all processes reject the same revisions,
// none of these was then in force at any process.
func (t *Tracker) RejectedBetween(lo, hi uint64) bool {
	if hi-lo > maxRejected {
		return false
	}
	for r := lo + 1; r < hi; r++ {
		if !slices.ContainsFunc(t.rejected, func(x Rejection) bool { return x.Ref.Revision == r }) {
			return false
		}
	}
	return true
}

// prune deletes parts that neither the accepted head nor a candidate
// references.
func (t *Tracker) prune() {
	referenced := map[digest.Digest]bool{}
	mark := func(h Head) {
		for _, p := range h.Parts {
			referenced[p.Digest] = true
		}
	}
	if t.accepted != nil {
		mark(t.accepted.Head)
	}
	for _, c := range t.candidates {
		mark(c.head)
	}
	for d := range t.parts {
		if !referenced[d] {
			delete(t.parts, d)
		}
	}
}
