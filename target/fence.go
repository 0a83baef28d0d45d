package target

import "time"

// Layout of a fencing token: the revision of the fleet file that the order follows
// in the upper bits, the incarnation (process start) of the agent that sends the
// order in the lower ones.
const (
	incarnationBits = 38
	// incarnationUnit is the resolution of the start time in an incarnation.
	incarnationUnit = 10 * time.Millisecond
)

// fenceEpoch is the start time that has incarnation number 0. 38 bits at a
// resolution of 10 ms last for 87 years.
var fenceEpoch = time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)

// Incarnation returns the incarnation number of a process started at t. A later
// start has a higher number.
func Incarnation(t time.Time) uint64 {
	return uint64(t.Sub(fenceEpoch)/incarnationUnit) & (1<<incarnationBits - 1)
}

// Fence returns the fencing token of an order. The token of an older revision,
// or of an older incarnation with the same revision, is lower. The 26 bits for
// the revision last for 33 years at 5,500 revisions per day.
func Fence(revision, incarnation uint64) uint64 {
	return revision<<incarnationBits | incarnation&(1<<incarnationBits-1)
}
