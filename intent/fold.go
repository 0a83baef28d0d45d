package intent

import (
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
)

// Bounds of what a Fold remembers.
const (
	maxCandidates = 8
	maxRejected   = 64
)

// Accepted is a revision that was whole and valid when it was accepted.
type Accepted struct {
	Head  Head
	Fleet *Fleet
	At    time.Time // when this process accepted it
}

// Rejection tells why a revision is refused.
type Rejection struct {
	Ref Ref
	Err error
}

// HeadVerdict is the result of offering a head.
type HeadVerdict uint8

// Verdicts on a head.
const (
	HeadStale    HeadVerdict = iota + 1 // not above the accepted revision
	HeadCurrent                         // the accepted revision itself
	HeadPending                         // parts are missing
	HeadAccepted                        // now in force
	HeadRejected                        // whole, but not valid
)

type candidate struct {
	head Head
}

// Tracker accepts revisions in order. It only ever moves to a higher Ref, and
// only to one whose every part matches and whose file is valid. It is owned
// by one goroutine.
type Tracker struct {
	accepted   *Accepted
	candidates []candidate // ascending by Ref, all above accepted
	rejected   []Rejection // oldest first
	parts      map[digest.Digest][]byte
	history    []Accepted // accepted before, oldest first
	keep       time.Duration
}

// NewTracker returns a Fold that remembers earlier accepted revisions for keep.
func NewTracker(keep time.Duration) *Tracker {
	return &Tracker{parts: map[digest.Digest][]byte{}, keep: keep}
}

// Accepted returns the revision in force, or nil.
func (f *Tracker) Accepted() *Accepted { return f.accepted }

// Ref returns the identity of the revision in force, or the zero Ref.
func (f *Tracker) Ref() Ref {
	if f.accepted == nil {
		return Ref{}
	}
	return f.accepted.Head.Ref()
}

// Pending returns the highest head that waits for parts, or nil.
func (f *Tracker) Pending() *Head {
	if len(f.candidates) == 0 {
		return nil
	}
	return &f.candidates[len(f.candidates)-1].head
}

// LastRejection returns the highest revision rejected above the accepted one.
func (f *Tracker) LastRejection() *Rejection {
	var top *Rejection
	for i := range f.rejected {
		r := &f.rejected[i]
		if f.Ref().Less(r.Ref) && (top == nil || top.Ref.Less(r.Ref)) {
			top = r
		}
	}
	return top
}

// History returns the revisions accepted before the one in force and replaced
// less than the keep time ago, oldest first.
func (f *Tracker) History() []Accepted { return slices.Clone(f.history) }

// OfferHead takes note of a published head.
func (f *Tracker) OfferHead(now time.Time, h Head) (HeadVerdict, error) {
	ref := h.Ref()
	switch {
	case ref == f.Ref() && f.accepted != nil:
		return HeadCurrent, nil
	case f.accepted != nil && !f.Ref().Less(ref):
		return HeadStale, nil
	}
	if r := f.rejection(ref); r != nil {
		return HeadRejected, r.Err
	}
	if err := h.check(); err != nil {
		f.reject(ref, err)
		return HeadRejected, err
	}
	f.addCandidate(h)
	return f.settle(now, ref)
}

// OfferPart adds a part that some candidate misses; others are ignored. It
// reports whether the part was wanted.
func (f *Tracker) OfferPart(now time.Time, b []byte) bool {
	d := digest.Of(b)
	if !slices.Contains(f.Missing(), d) {
		return false
	}
	f.parts[d] = b
	_, _ = f.settle(now, Ref{})
	return true
}

// Missing returns the parts that candidates wait for, highest revision first.
func (f *Tracker) Missing() []digest.Digest {
	var out []digest.Digest
	seen := map[digest.Digest]bool{}
	for i := len(f.candidates) - 1; i >= 0; i-- {
		for _, p := range f.candidates[i].head.Parts {
			if f.parts[p.Digest] == nil && !seen[p.Digest] {
				seen[p.Digest] = true
				out = append(out, p.Digest)
			}
		}
	}
	return out
}

// Part returns a part held for the accepted or a pending revision, or nil.
func (f *Tracker) Part(d digest.Digest) []byte { return f.parts[d] }

func (f *Tracker) addCandidate(h Head) {
	for _, c := range f.candidates {
		if c.head.Ref() == h.Ref() {
			return
		}
	}
	f.candidates = append(f.candidates, candidate{head: h})
	sort.Slice(f.candidates, func(i, j int) bool {
		return f.candidates[i].head.Ref().Less(f.candidates[j].head.Ref())
	})
	if len(f.candidates) > maxCandidates {
		f.dropLowest(h.Ref())
	}
}

// dropLowest forgets the lowest candidate but the newcomer, whose parts are
// about to be offered: heads that never become whole must not keep a valid
// one out.
func (f *Tracker) dropLowest(newcomer Ref) {
	at := 0
	if f.candidates[0].head.Ref() == newcomer {
		at = 1
	}
	f.candidates = slices.Delete(f.candidates, at, at+1)
	f.prune()
}

// settle activates the highest whole and valid candidate and returns the
// verdict on ref.
func (f *Tracker) settle(now time.Time, ref Ref) (HeadVerdict, error) {
	for i := len(f.candidates) - 1; i >= 0; i-- {
		h := f.candidates[i].head
		b, whole := f.assemble(h)
		if !whole {
			continue
		}
		f.candidates = slices.Delete(f.candidates, i, i+1)
		fleet, err := validate(h, b)
		if err != nil {
			f.reject(h.Ref(), err)
			continue
		}
		f.accept(now, h, fleet)
		break
	}
	f.prune()
	switch {
	case f.Ref() == ref:
		return HeadAccepted, nil
	case f.rejection(ref) != nil:
		return HeadRejected, f.rejection(ref).Err
	}
	return HeadPending, nil
}

func (f *Tracker) assemble(h Head) ([]byte, bool) {
	b := make([]byte, 0, h.Size)
	for _, p := range h.Parts {
		part, ok := f.parts[p.Digest]
		if !ok {
			return nil, false
		}
		b = append(b, part...)
	}
	return b, true
}

// Errors of a whole file.
var (
	ErrDigest       = errors.New("intent: file does not match the digest of its head")
	ErrFormatDiffer = errors.New("intent: format of file and head differ")
)

// validate is a pure function of the published bytes.
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

func (f *Tracker) accept(now time.Time, h Head, fleet *Fleet) {
	if f.accepted != nil {
		old := *f.accepted
		old.At = now // the time it was replaced
		f.history = append(f.history, old)
	}
	f.accepted = &Accepted{Head: h, Fleet: fleet, At: now}
	f.candidates = slices.DeleteFunc(f.candidates, func(c candidate) bool {
		return !h.Ref().Less(c.head.Ref())
	})
	f.Expire(now)
}

// Expire forgets earlier revisions that were replaced longer than the keep
// time ago.
func (f *Tracker) Expire(now time.Time) {
	f.history = slices.DeleteFunc(f.history, func(a Accepted) bool {
		return now.Sub(a.At) > f.keep
	})
}

func (f *Tracker) reject(ref Ref, err error) {
	f.rejected = append(f.rejected, Rejection{Ref: ref, Err: err})
	if len(f.rejected) > maxRejected {
		f.rejected = f.rejected[1:]
	}
}

func (f *Tracker) rejection(ref Ref) *Rejection {
	for i := range f.rejected {
		if f.rejected[i].Ref == ref {
			return &f.rejected[i]
		}
	}
	return nil
}

// RejectedBetween reports whether every revision number between two, both
// excluded, was seen and rejected, so that no process had it in force.
func (f *Tracker) RejectedBetween(lo, hi uint64) bool {
	if hi-lo > maxRejected {
		return false
	}
	for r := lo + 1; r < hi; r++ {
		if !slices.ContainsFunc(f.rejected, func(x Rejection) bool { return x.Ref.Revision == r }) {
			return false
		}
	}
	return true
}

// prune drops parts that neither the accepted nor a pending head names.
func (f *Tracker) prune() {
	wanted := map[digest.Digest]bool{}
	mark := func(h Head) {
		for _, p := range h.Parts {
			wanted[p.Digest] = true
		}
	}
	if f.accepted != nil {
		mark(f.accepted.Head)
	}
	for _, c := range f.candidates {
		mark(c.head)
	}
	for d := range f.parts {
		if !wanted[d] {
			delete(f.parts, d)
		}
	}
}
