package overload

// ReturnOrder maps a uniform random number in [0, 1) to the part of the usual spread of return
// times that belongs to a rank. A higher result stands for an earlier return: more urgent ranks
// return before less urgent ones, and the returns within a rank are spread.
func ReturnOrder(rank, ranks int, random float64) float64 {
	if ranks <= 1 {
		return random
	}
	rank = min(max(rank, 0), ranks-1)
	return (float64(ranks-1-rank) + random) / float64(ranks)
}

// maxRetryReserve is the part of the retry budget that the least urgent rank leaves to others.
const maxRetryReserve = 0.5

// RetryReserve returns the part of the retry budget that a request of the rank leaves to more
// urgent ones.
func RetryReserve(rank, ranks int) float64 {
	if ranks <= 1 {
		return 0
	}
	rank = min(max(rank, 0), ranks-1)
	return maxRetryReserve * float64(rank) / float64(ranks-1)
}

// maxYield is the part of the longest wait at a target that less urgent requests leave to others at
// most. More urgent requests find places there that others may no longer use; a larger part would
// leave targets idle between passes.
const maxYield = 0.25

// Yield returns the part of the longest wait at a target that requests leave to those that precede them
// while the service is short of room. preceding is their part of the work (see Decision.Preceding): the
// smaller it is, the less has to be left.
func Yield(preceding float64) float64 { return maxYield * min(2*preceding, 1) }
