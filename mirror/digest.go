package mirror

import (
	"encoding/binary"
	"hash/fnv"
)

// emptyDigest is the digest of a copy without items, so that 0 is none: the offset basis
// of FNV-1a.
const emptyDigest = 14695981039346656037

// digest returns a number that stands for the item's key and the revision of its last
// change. Values need not be compared: a revision is of one change.
func (i Item) digest() uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64([]byte(i.Key), uint64(i.Revision)))
	return h.Sum64()
}

// Digest returns a number that stands for all items of the copy, and the copy's
// revision. If two copies of one revision have different digests, a change was lost on
// the way to one of them. It is 0 while the copy reflects some changes beyond its
// revision.
func (t *Table) Digest() (digest uint64, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision < t.upTo {
		return 0, t.revision
	}
	return t.digest, t.revision
}

// LateEvents returns how many events came that the copy was beyond: answers that others had
// overtaken.
func (t *Table) LateEvents() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.late
}
