package mirror

import (
	"encoding/binary"
	"hash/fnv"
)

// emptyDigest is the digest of a copy without items: the offset basis of FNV-1a. It is
// not 0 because 0 stands for an unknown digest.
const emptyDigest = 14695981039346656037

// digest returns a hash of the item's key and value. The revision is left out: after the store was
// restored, copies have the same item from different eras.
func (i Item) digest() uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64([]byte(i.Key), uint64(len(i.Key))))
	h.Write(i.Value)
	return h.Sum64()
}

// Digest returns a hash of all items of the copy, and the copy's revision. If two copies
// at the same revision have different digests, one of them missed a change. The digest
// is 0 (unknown) while the copy reflects some changes beyond its revision.
func (t *Table) Digest() (digest uint64, revision Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision < t.maxRevision {
		return 0, t.revision
	}
	return t.digest, t.revision
}

// FullCopies returns how often the copy was replaced by a whole one.
func (t *Table) FullCopies() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fullCopies
}

// OutdatedCopies returns how many full copies were ignored because they were older than the copy.
func (t *Table) OutdatedCopies() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outdatedCopies
}

// LateEvents returns the number of events that were ignored because their revision was
// not above the copy's revision: they came in responses that arrived out of order.
func (t *Table) LateEvents() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lateEvents
}
