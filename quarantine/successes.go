package quarantine

import "encoding/binary"

// successesPerGeneration bounds how many successful contents are remembered in each of two
// generations, which take 150 KB in all: when the current one is full, it replaces the
// previous one. At 30 requests/s a content that is sent once a minute is still remembered
// at its next request.
const successesPerGeneration = 2048

// successCache remembers the contents, or the parts of prompts, that succeeded recently at this
// entry, by a section of their fingerprint. If two share that section, one may wrongly count as
// successful, which raises the evidence required to quarantine it and never lowers it.
type successCache struct{ current, previous map[uint64]struct{} }

func (c *successCache) add(f Fingerprint) {
	if c.current == nil || len(c.current) >= successesPerGeneration {
		c.current, c.previous = make(map[uint64]struct{}), c.current
	}
	c.current[shortHash(f)] = struct{}{}
}

func (c *successCache) has(f Fingerprint) bool {
	_, current := c.current[shortHash(f)]
	_, previous := c.previous[shortHash(f)]
	return current || previous
}

func shortHash(f Fingerprint) uint64 { return binary.LittleEndian.Uint64(f[callerBytes:]) }
