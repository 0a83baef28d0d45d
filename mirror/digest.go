package mirror

import (
	"encoding/binary"
	"hash/fnv"
)

// digest returns a number that stands for the item's key and the revision of its last
// change. Values need not be compared: a revision is of one change.
func (i Item) digest() uint64 {
	h := fnv.New64a()
	h.Write(binary.BigEndian.AppendUint64([]byte(i.Key), uint64(i.Revision)))
	return h.Sum64()
}

// Digest returns a number that stands for all items of the copy, and the copy's
// revision. Two copies of one revision whose digests go on differing are not copies of
// the same store: a change was lost on the way to one of them.
func (t *Table) Digest() (digest uint64, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest, t.revision
}

// Late returns how many events came that the copy was beyond: answers that others had
// overtaken.
func (t *Table) Late() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.late
}

// newest returns the revision of the newest item of a batch.
func (b Batch) newest() int64 {
	newest := int64(0)
	for _, e := range b.Events {
		newest = max(newest, e.Revision)
	}
	return newest
}
