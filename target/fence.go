package target

import "time"

// Bits of a fencing number: the revision on top, then the incarnation.
const (
	incarnationBits = 38
	// incarnationUnit is the resolution of an incarnation in a fence.
	incarnationUnit = 10 * time.Millisecond
)

// fenceEpoch is the time from which incarnations in fences are counted. 38
// bits of 10 ms reach for 87 years.
var fenceEpoch = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// Incarnation returns the incarnation number of a process that starts at t.
// A later start has a higher number.
func Incarnation(t time.Time) uint64 {
	return uint64(t.Sub(fenceEpoch)/incarnationUnit) & (1<<incarnationBits - 1)
}

// Fence returns the fencing number of an order: one made from an older
// revision, or by an older incarnation from the same revision, is lower. 26
// bits of revision last 33 years at 5,500 revisions a day.
func Fence(revision, incarnation uint64) uint64 {
	return revision<<incarnationBits | incarnation&(1<<incarnationBits-1)
}
