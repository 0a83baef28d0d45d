package memory

// What a process needs beside the budget.
const (
	// processBytes is the heap of a busy entry in a fleet of 300 hosts without large requests:
	// at most 61 MB of resident memory were measured, of which a fifth is not heap.
	processBytes = 48 << 20
	// garbageFactor is the size of the heap in relation to what is in use, with the garbage
	// collection that the commands set (a growth of 30 %).
	garbageFactor = 1.3
	// minShare is the least part of the heap limit, for hosts that are smaller than
	// processBytes requires; such hosts belong to small fleets.
	minShare = 0.2
)

// Size returns the size of a budget in bytes for a process whose heap is limited to heapLimit
// bytes, or zero if that is not known.
func Size(heapLimit int64) int64 {
	return max(int64(float64(heapLimit-processBytes)/garbageFactor), int64(minShare*float64(heapLimit)), 0)
}
